package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"

	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/settings"
)

// Exit statuses of the tool.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitNotRun   = 4
	exitUnknown  = 5
)

// exitError is an error with the exit status that it leads to.
type exitError struct {
	status int
	err    error
}

// Error returns the text of the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func newExitError(status int, step, format string, args ...any) error {
	kind, reason := &fault.Invalid, fault.ReasonMalformed
	if status == exitUnknown {
		kind, reason = &fault.Unknown, fault.ReasonConnectionLost
	}
	return &exitError{status, fault.New(kind, reason, step, "", format, args...)}
}

// command is one subcommand without subcommands of its own.
type command interface {
	check(*settings.Checker)
	run(context.Context, *session) error
}

// offlineCommand is a command that calls no entry host.
type offlineCommand interface{ offline() }

// Main runs the tool with its arguments and returns the exit status.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var s Settings
	parser, err := arg.NewParser(arg.Config{Program: "fuchsiactl", Out: stderr, Exit: func(int) {}}, &s)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return exitOK
	}
	if err != nil {
		return report(&s, stderr, &exitError{exitUsage, err})
	}
	c, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
		return report(&s, stderr, newExitError(exitUsage, "read command line", "name one of the subcommands; --help lists them"))
	}
	if err := s.validate(c); err != nil {
		return report(&s, stderr, &exitError{exitUsage, err})
	}
	out := &output{asJSON: s.JSON, stdout: stdout, stderr: stderr}
	if s.Check {
		return report(&s, stderr, out.printLine("the settings are valid"))
	}
	return report(&s, stderr, c.run(ctx, newSession(&s, out)))
}

// report prints an error and returns the exit status.
func report(s *Settings, stderr io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	status := exitFailed
	var exit *exitError
	if errors.As(err, &exit) {
		status = exit.status
	}
	printError(stderr, s.JSON, status, err)
	return status
}
