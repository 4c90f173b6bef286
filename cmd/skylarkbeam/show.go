package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkbeam/setting"
)

const showUsage = `show prints the settings that a folder adds up to.

Usage:
  skylarkbeam show [-json] DIR

The merged settings come first, as JSON with the defaults filled in. Then there is one line for each value:
"field: file", with "default" instead of a file for a value that no file set.

Flags:
  -json  print only the merged settings

The keys of workspaces are not printed.

Values with faults are left out, the number of faults is printed to standard error, and the exit status is 1.

Examples:
  skylarkbeam show examples/beaconwatch
  skylarkbeam show -json examples/mandacaru
`

func newShow(s streams) *ffcli.Command {
	var onlyJSON bool
	command := newCommand(s, "show", "print the merged settings and where each value is from", showUsage,
		func(_ context.Context, args []string) error {
			dir, err := oneFolder(args, showUsage)
			if err != nil {
				return err
			}
			return show(s, dir, !onlyJSON)
		})
	command.FlagSet.BoolVar(&onlyJSON, "json", false, "print only the merged settings")
	return command
}

func show(s streams, dir string, origins bool) error {
	folder, err := setting.LoadDir(dir)
	if err != nil {
		return err
	}
	data, err := folder.Settings.WithoutKeys().Encode()
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		return errors.Wrap(err, "show settings")
	}
	fmt.Fprintln(s.Out, indented.String())
	if origins {
		if err := showOrigins(s, folder); err != nil {
			return err
		}
	}
	if faults := folder.Validate(); len(faults) > 0 {
		return errors.Newf("%s in %s; \"skylarkbeam check\" prints them", count(len(faults), "fault"), dir)
	}
	return nil
}

func showOrigins(s streams, folder *setting.Folder) error {
	leaves, err := folder.FieldOrigins()
	if err != nil {
		return err
	}
	fmt.Fprintln(s.Out)
	for _, leaf := range leaves {
		fmt.Fprintf(s.Out, "%s: %s\n", leaf.Field, leaf.Origin)
	}
	return nil
}
