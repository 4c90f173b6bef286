package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkbeam/entry"
)

// Guards against a roll-out of which operators do not see what it waits for, or the exposure against its bound.
func TestPrintRollouts(t *testing.T) {
	var out strings.Builder
	printRollouts(&out, []entry.RolloutStatus{
		{
			Service:     "stock",
			To:          "v2",
			Base:        []string{"v1"},
			Phase:       "trial",
			Duration:    "12s",
			Coordinator: "entry-3",
			Whole:       true,
			Requests:    400,
			Taken:       41,
			Allowed:     90,
			Old: entry.VersionStatus{
				Answers:  355,
				Failures: 2,
				Median:   "20ms",
			},
			New: entry.VersionStatus{
				Answers:  40,
				Failures: 1,
				Median:   "21ms",
			},
			Waiting: "the end of the trial in 3s",
			Reason:  "ordered",
		},
	})
	assert.Equal(t, out.String(), `roll-out	stock to v2 in 12s: trial, coordinated by entry-3
	at all entries: 41 of 400 requests to the new version, bound 90
	v2: 1 of 40 failed, median 21ms
	v1: 2 of 355 failed, median 20ms
	reason: ordered
	waits for the end of the trial in 3s
`)
}
