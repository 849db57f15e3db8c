// Package settings describes the flags and environment variables of a program,
// derived from the struct into which go-arg parses them. The tags unit and range
// hold the unit and the allowed values of a setting. Error messages and the
// settings page are both generated from them, so that they agree.
package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
)

// Setting describes one setting or positional argument.
type Setting struct {
	// Command is the subcommand that has the setting; empty if all have it.
	Command string
	// Flag is the long flag with its dashes or the name of an argument; empty
	// for a setting that can only be set in the environment.
	Flag string
	// Env is the environment variable; empty if there is none.
	Env     string
	Unit    string
	Default string
	Range   string
	Help    string
}

// Name returns the name that error messages use for the setting.
func (s Setting) Name() string {
	if s.Flag != "" {
		return s.Flag
	}
	return s.Env
}

// List returns the settings of the struct that v points to and of all its
// subcommands, in declaration order.
func List(v any) []Setting { return list("", reflect.TypeOf(v).Elem()) }

func list(command string, t reflect.Type) []Setting {
	var settings, nested []Setting
	for i := range t.NumField() {
		f := t.Field(i)
		tag, ok := f.Tag.Lookup("arg")
		if !ok {
			continue
		}
		if name, isSubcommand := subcommandName(tag); isSubcommand {
			path := strings.TrimSpace(command + " " + name)
			nested = append(nested, list(path, f.Type.Elem())...)
			continue
		}
		settings = append(settings, newSetting(command, f, tag))
	}
	return append(settings, nested...)
}

func subcommandName(tag string) (string, bool) {
	for part := range strings.SplitSeq(tag, ",") {
		if name, ok := strings.CutPrefix(part, "subcommand:"); ok {
			return name, true
		}
	}
	return "", false
}

func newSetting(command string, field reflect.StructField, tag string) Setting {
	s := Setting{
		Command: command,
		Unit:    field.Tag.Get("unit"),
		Default: field.Tag.Get("default"),
		Range:   field.Tag.Get("range"),
		Help:    field.Tag.Get("help"),
	}
	for part := range strings.SplitSeq(tag, ",") {
		switch {
		case part == "positional":
			s.Flag = field.Tag.Get("placeholder")
		case strings.HasPrefix(part, "--") && part != "--":
			s.Flag = part
		case strings.HasPrefix(part, "env:"):
			s.Env = strings.TrimPrefix(part, "env:")
		}
	}
	applyType(&s, field.Type)
	return s
}

// applyType sets the fields of s that follow from its Go type.
func applyType(s *Setting, t reflect.Type) {
	switch {
	case t.Kind() == reflect.Bool:
		s.Unit, s.Default, s.Range = "switch", "off", "given or not"
	case t == reflect.TypeFor[time.Duration]() && s.Unit == "":
		s.Unit = "duration, such as 1m30s"
	}
	if s.Default == "" {
		s.Default = "none"
	}
}

// Table returns the settings as a Markdown table.
func Table(settings []Setting) string {
	var b strings.Builder
	b.WriteString("| command | flag or argument | environment variable | unit | default | allowed | meaning |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range settings {
		cells := []string{codeSpan(s.Command), codeSpan(s.Flag), codeSpan(s.Env), s.Unit, codeSpan(s.Default), s.Range, s.Help}
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

// Checker collects the errors found in settings.
type Checker struct {
	ranges    map[string]string
	errorList []error
}

// NewChecker returns a checker for the settings that v points to.
func NewChecker(v any) *Checker {
	c := &Checker{ranges: make(map[string]string)}
	for _, s := range List(v) {
		c.ranges[s.Name()] = s.Range
	}
	return c
}

// Reject records that the value of a setting is not allowed. Callers pass
// "(hidden)" as the value of a key.
func (c *Checker) Reject(name, value string) {
	c.Add(fault.New(&fault.Invalid, fault.ReasonMalformed, "check settings", name, "%q is not allowed; want %s", value, c.ranges[name]))
}

// Add records an error.
func (c *Checker) Add(err error) { c.errorList = append(c.errorList, err) }

// Err returns all errors joined, or nil if there are none.
func (c *Checker) Err() error { return errors.Join(c.errorList...) }
