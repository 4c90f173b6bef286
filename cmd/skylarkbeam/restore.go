package main

import "github.com/peterbourgon/ff/v3/ffcli"

const restoreUsage = `restore puts drained failure domains and targets into operation again.

Usage:
  skylarkbeam restore [flags] domain=NAME|target=NAME ...

Targets that were restarted meanwhile go through their cold start first; the others get
their part of the work back gradually.

` + operatorFlags + `
Examples:
  skylarkbeam restore domain=cairns
`

func newRestore(s streams) *ffcli.Command {
	return newOperation(s, "restore", "put drained failure domains or targets into operation", restoreUsage)
}
