package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// commands builds each subcommand, in the order of the usage text.
var commands = []func(streams) *ffcli.Command{
	newDemo,
	newServe,
	newCheck,
	newShow,
	newApply,
	newStatus,
	newDrain,
	newRestore,
	newExplain,
	newVersion,
}

const rootUsage = `skylarkbeam is a load balancer for servers whose load shifts in milliseconds.

Usage:
  skylarkbeam COMMAND [flags] [arguments]

Commands:
%s
"skylarkbeam COMMAND -h" prints the usage of a command.
`

// errReported is returned by a command that failed and has printed why.
var errReported = errors.New("failed")

// streams are the outputs of a command.
type streams struct {
	Out, Err io.Writer
}

// usageError is incorrect usage of a command.
type usageError struct {
	reason string
	usage  string
}

// Error implements error.
func (e *usageError) Error() string {
	return e.reason
}

// newCommand returns a command without flags; the caller adds flags to its FlagSet.
func newCommand(s streams, name, summary, usage string, exec func(ctx context.Context, args []string) error) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(s.Err)
	return &ffcli.Command{
		Name:      name,
		ShortHelp: summary,
		UsageFunc: func(*ffcli.Command) string { return strings.TrimSuffix(usage, "\n") },
		FlagSet:   flags,
		Exec:      exec,
	}
}

// newRoot returns the command that only dispatches to the others.
func newRoot(s streams) *ffcli.Command {
	subcommands := make([]*ffcli.Command, 0, len(commands))
	var list strings.Builder
	for _, build := range commands {
		subcommand := build(s)
		subcommands = append(subcommands, subcommand)
		fmt.Fprintf(&list, "  %-8s %s\n", subcommand.Name, subcommand.ShortHelp)
	}
	usage := fmt.Sprintf(rootUsage, list.String())
	root := newCommand(s, "skylarkbeam", "", usage, func(_ context.Context, args []string) error {
		reason := "no command given"
		if len(args) > 0 {
			reason = fmt.Sprintf("unknown command %q", args[0])
		}
		return &usageError{
			reason: reason,
			usage:  usage,
		}
	})
	root.Subcommands = subcommands
	return root
}

// oneFolder returns the only argument of a command that takes a folder of settings.
func oneFolder(args []string, usage string) (string, error) {
	if len(args) != 1 {
		return "", &usageError{
			reason: fmt.Sprintf("need one folder of settings, not %d arguments", len(args)),
			usage:  usage,
		}
	}
	return args[0], nil
}

// noArguments returns an error if a command that takes no arguments has some.
func noArguments(args []string, name, usage string) error {
	if len(args) == 0 {
		return nil
	}
	return &usageError{
		reason: name + " takes no arguments",
		usage:  usage,
	}
}
