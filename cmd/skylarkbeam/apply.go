package main

import (
	"context"
	"fmt"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkbeam/entry"
	"skylarkbeam/setting"
)

const applyUsage = `apply puts a folder of settings in force at all entries.

Usage:
  skylarkbeam apply [flags] DIR

The folder is checked first; nothing changes if it has faults. "accepted" is final: the
settings are in the platform's table and never revert. If another operator was faster,
nothing changes, and the conflict names who and what. If the outcome is undecided, the
command to find out is printed.

` + operatorFlags + `
Examples:
  skylarkbeam apply examples/beaconwatch
  skylarkbeam apply -entry 127.0.0.1:7202 -base 41 /etc/skylarkbeam
`

func newApply(s streams) *ffcli.Command {
	var o operator
	command := newCommand(s, "apply", "put a folder of settings in force", applyUsage,
		func(ctx context.Context, args []string) error {
			dir, err := oneFolder(args, applyUsage)
			if err != nil {
				return err
			}
			folder, err := setting.LoadDir(dir)
			if err != nil {
				return err
			}
			if faults := folder.Validate(); len(faults) > 0 {
				for _, fault := range faults {
					fmt.Fprintln(s.Out, fault)
				}
				fmt.Fprintln(s.Out, count(len(faults), "fault"))
				return errReported
			}
			data, err := folder.Settings.Encode()
			if err != nil {
				return err
			}
			return o.change(ctx, s.Out, http.MethodPut, "settings", entry.Change{
				Settings: data,
			})
		})
	o.register(command.FlagSet)
	return command
}
