// Package settings describes the flags and environment variables of a program
// from the struct that go-arg reads them into. The tags unit and range hold
// the unit of a setting and what is allowed; messages and the settings page
// are both made from them, so that they do not differ.
package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
)

// Setting describes one setting or argument.
type Setting struct {
	// Command is the subcommand that has the setting; empty for all.
	Command string
	// Flag is the long name with its dashes, the name of an argument, or
	// empty for a setting that only the environment holds.
	Flag string
	// Env is the environment variable; empty when there is none.
	Env     string
	Unit    string
	Default string
	Range   string
	Help    string
}

// Name returns how errors name the setting.
func (r Setting) Name() string {
	if r.Flag != "" {
		return r.Flag
	}
	return r.Env
}

// List returns the settings of the struct that v points to and of all its
// subcommands, in the order of their declaration.
func List(v any) []Setting { return list("", reflect.TypeOf(v).Elem()) }

func list(command string, t reflect.Type) []Setting {
	var own, below []Setting
	for i := range t.NumField() {
		f := t.Field(i)
		tag, ok := f.Tag.Lookup("arg")
		if !ok {
			continue
		}
		if name, isCommand := subcommandName(tag); isCommand {
			path := strings.TrimSpace(command + " " + name)
			below = append(below, list(path, f.Type.Elem())...)
			continue
		}
		own = append(own, newSetting(command, f, tag))
	}
	return append(own, below...)
}

func subcommandName(tag string) (string, bool) {
	for part := range strings.SplitSeq(tag, ",") {
		if name, ok := strings.CutPrefix(part, "subcommand:"); ok {
			return name, true
		}
	}
	return "", false
}

func newSetting(command string, f reflect.StructField, tag string) Setting {
	r := Setting{
		Command: command,
		Unit:    f.Tag.Get("unit"),
		Default: f.Tag.Get("default"),
		Range:   f.Tag.Get("range"),
		Help:    f.Tag.Get("help"),
	}
	for part := range strings.SplitSeq(tag, ",") {
		switch {
		case part == "positional":
			r.Flag = f.Tag.Get("placeholder")
		case strings.HasPrefix(part, "--") && part != "--":
			r.Flag = part
		case strings.HasPrefix(part, "env:"):
			r.Env = strings.TrimPrefix(part, "env:")
		}
	}
	applyType(&r, f.Type)
	return r
}

// applyType fills in what follows from the type of a setting.
func applyType(r *Setting, t reflect.Type) {
	switch {
	case t.Kind() == reflect.Bool:
		r.Unit, r.Default, r.Range = "switch", "off", "given or not"
	case t == reflect.TypeFor[time.Duration]() && r.Unit == "":
		r.Unit = "duration, such as 1m30s"
	}
	if r.Default == "" {
		r.Default = "none"
	}
}

// Table returns the rows as a Markdown table.
func Table(rows []Setting) string {
	var b strings.Builder
	b.WriteString("| command | flag or argument | environment variable | unit | default | allowed | meaning |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		cells := []string{codeSpan(r.Command), codeSpan(r.Flag), codeSpan(r.Env), r.Unit, codeSpan(r.Default), r.Range, r.Help}
		fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | "))
	}
	return b.String()
}

func codeSpan(s string) string {
	if s == "" || s == "none" || s == "off" {
		return s
	}
	return "`" + s + "`"
}

// Checker collects the faults of settings.
type Checker struct {
	ranges    map[string]string
	errorList []error
}

// NewChecker returns a checker for the settings that v points to.
func NewChecker(v any) *Checker {
	c := &Checker{ranges: make(map[string]string)}
	for _, r := range List(v) {
		c.ranges[r.Name()] = r.Range
	}
	return c
}

// Reject records that the value of a setting is not allowed. Values of keys
// are given as "(hidden)".
func (c *Checker) Reject(name, value string) {
	c.Add(fault.New(&fault.Invalid, fault.ReasonMalformed, "check settings", name, "%q is not allowed; want %s", value, c.ranges[name]))
}

// Add records a fault.
func (c *Checker) Add(err error) { c.errorList = append(c.errorList, err) }

// Err returns all faults joined.
func (c *Checker) Err() error { return errors.Join(c.errorList...) }
