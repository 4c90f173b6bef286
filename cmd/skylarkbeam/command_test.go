package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against a wrong exit status, output on the wrong stream, faults that go unreported and settings that are shown
// with a wrong origin. The examples, which must have no fault, are the control for the folder of broken files.
func TestRun(t *testing.T) {
	tests := []struct {
		name   string
		args   string
		status int
		golden string
		stderr string
	}{
		{"check valid", "check ../../examples/beaconwatch", 0, "valid.golden", ""},
		{"check second valid", "check ../../examples/mandacaru", 0, "valid.golden", ""},
		{"check broken", "check testdata/broken", 1, "broken.golden", ""},
		{"check empty", "check testdata/empty", 1, "empty.golden", ""},
		{"check no folder", "check testdata/absent", 1, "", "load settings: open testdata/absent"},
		{"check no argument", "check", 2, "", "need one folder of settings, not 0 arguments"},
		{"show", "show ../../examples/beaconwatch", 0, "beaconwatch.golden", ""},
		{"show second", "show ../../examples/mandacaru", 0, "mandacaru.golden", ""},
		{"show only JSON", "show -json testdata/empty", 1, "json.golden", "3 faults in testdata/empty"},
		{"show two folders", "show a b", 2, "", "need one folder of settings, not 2 arguments"},
		{"unknown flag", "show -xml a", 2, "", "flag provided but not defined: -xml"},
		{"unknown command", "chek a", 2, "", `unknown command "chek"`},
		{"no command", "", 2, "", "no command given"},
		{"help", "check -h", 0, "", "Usage:\n  skylarkbeam check DIR"},
		{"version argument", "version 1", 2, "", "version takes no arguments"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			status := run(context.Background(), strings.Fields(test.args), streams{
				Out: &stdout,
				Err: &stderr,
			})
			assert.Equal(t, status, test.status)
			if test.golden == "" {
				assert.Equal(t, stdout.String(), "")
			} else {
				golden.Assert(t, stdout.String(), test.golden)
			}
			if test.stderr == "" {
				assert.Equal(t, stderr.String(), "")
			} else {
				assert.Assert(t, strings.Contains(stderr.String(), test.stderr), stderr.String())
			}
		})
	}
}

// Guards against usage without an example.
func TestUsage(t *testing.T) {
	for _, subcommand := range newRoot(streams{}).Subcommands {
		usage := subcommand.UsageFunc(subcommand)
		assert.Assert(t, strings.Contains(usage, "Examples:\n  skylarkbeam "+subcommand.Name), usage)
	}
}
