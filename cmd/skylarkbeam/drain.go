package main

import (
	"context"
	"net/http"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkbeam/entry"
)

const drainUsage = `drain takes failure domains and targets out of operation.

Usage:
  skylarkbeam drain [flags] domain=NAME|target=NAME ...

At most 5 s after "accepted" no entry sends new work there; calls in flight are not cut.

` + operatorFlags + `
Examples:
  skylarkbeam drain domain=cairns
  skylarkbeam drain target=stock-04 target=stock-07
`

func newDrain(s streams) *ffcli.Command {
	return newOperation(s, "drain", "take failure domains or targets out of operation", drainUsage)
}

// newOperation returns drain or restore, which differ only in the path of the request.
func newOperation(s streams, name, summary, usage string) *ffcli.Command {
	var o operator
	command := newCommand(s, name, summary, usage,
		func(ctx context.Context, args []string) error {
			c, err := parseNames(args, usage)
			if err != nil {
				return err
			}
			return o.change(ctx, s.Out, http.MethodPost, name, c)
		})
	o.register(command.FlagSet)
	return command
}

func parseNames(args []string, usage string) (entry.Change, error) {
	var c entry.Change
	for _, arg := range args {
		kind, name, ok := strings.Cut(arg, "=")
		switch {
		case ok && kind == "domain" && name != "":
			c.Domains = append(c.Domains, name)
		case ok && kind == "target" && name != "":
			c.Targets = append(c.Targets, name)
		default:
			return c, &usageError{
				reason: "need domain=NAME or target=NAME, not \"" + arg + "\"",
				usage:  usage,
			}
		}
	}
	if len(args) == 0 {
		return c, &usageError{
			reason: "no failure domain and no target given",
			usage:  usage,
		}
	}
	return c, nil
}
