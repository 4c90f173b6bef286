package main

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkbeam/platform"
	"skylarkbeam/setting"
)

const checkUsage = `check reads settings and prints every fault in them.

Usage:
  skylarkbeam check DIR
  skylarkbeam check FILE ...

DIR is a folder of settings. FILE is a file of the users' platform: the settings file of
a machine, which serve -boot reads, the deploy file, or a desired state (JSON), whose
workspaces are checked; what is in it tells which. No key is printed.

Each fault is printed as "file: field: reason", the count last. The exit status is 1 if
there are faults.

Examples:
  skylarkbeam check examples/beaconwatch
  skylarkbeam check /etc/skylarkbeam/settings.toml deploy/system.toml
  skylarkbeam check /etc/skylarkbeam && skylarkbeam show -json /etc/skylarkbeam
`

func newCheck(s streams) *ffcli.Command {
	return newCommand(s, "check", "print every fault in settings", checkUsage,
		func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return &usageError{
					reason: "need a folder of settings, or files",
					usage:  checkUsage,
				}
			}
			return check(s, args)
		})
}

func check(s streams, paths []string) error {
	var violations setting.Violations
	for _, path := range paths {
		found, err := violationsIn(path)
		if err != nil {
			return err
		}
		violations = append(violations, found...)
	}
	for _, violation := range violations {
		fmt.Fprintln(s.Out, violation)
	}
	fmt.Fprintln(s.Out, count(len(violations), "fault"))
	if len(violations) > 0 {
		return errReported
	}
	return nil
}

// violationsIn returns the faults in a folder of settings or in a file of the platform.
func violationsIn(path string) (setting.Violations, error) {
	if info, err := os.Stat(path); err == nil && !info.IsDir() {
		return platform.Check(path)
	}
	folder, err := setting.LoadDir(path)
	if err != nil {
		return nil, err
	}
	return folder.Validate(), nil
}

// count returns a number with its noun.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
