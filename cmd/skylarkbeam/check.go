package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkbeam/setting"
)

const checkUsage = `check reads a folder of settings and prints every fault in it.

Usage:
  skylarkbeam check DIR

Each fault is printed as "file: field: reason", the count last. The exit status is 1 if there are faults.

Examples:
  skylarkbeam check examples/beaconwatch
  skylarkbeam check /etc/skylarkbeam && skylarkbeam show -json /etc/skylarkbeam
`

func newCheck(s streams) *ffcli.Command {
	return newCommand(s, "check", "print every fault in a folder of settings", checkUsage,
		func(_ context.Context, args []string) error {
			dir, err := oneFolder(args, checkUsage)
			if err != nil {
				return err
			}
			return check(s, dir)
		})
}

func check(s streams, dir string) error {
	folder, err := setting.LoadDir(dir)
	if err != nil {
		return err
	}
	faults := folder.Validate()
	for _, fault := range faults {
		fmt.Fprintln(s.Out, fault)
	}
	fmt.Fprintln(s.Out, count(len(faults), "fault"))
	if len(faults) > 0 {
		return errReported
	}
	return nil
}

// count returns a number with its noun.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
