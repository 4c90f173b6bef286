package main

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const versionUsage = `version prints the version of the program, the revision it was built from, and the version of Go.

Usage:
  skylarkbeam version

Examples:
  skylarkbeam version
`

func newVersion(s streams) *ffcli.Command {
	return newCommand(s, "version", "print the version of the program", versionUsage,
		func(_ context.Context, args []string) error {
			if err := noArguments(args, "version", versionUsage); err != nil {
				return err
			}
			fmt.Fprintf(s.Out, "skylarkbeam %s %s %s/%s\n", revision(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return nil
		})
}

// revision returns the version of the module and, if the build recorded it, the revision of the source.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return version
}
