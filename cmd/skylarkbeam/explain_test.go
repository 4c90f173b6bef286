package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against a story that lacks a decision, mixes requests, or tells of changes of state that have nothing to do with
// the request, and against bad lines that stop it.
func TestExplain(t *testing.T) {
	status, stdout, stderr := runArgs("explain id-1 testdata/entry.log")
	assert.Equal(t, stderr, "")
	assert.Equal(t, status, 0)
	golden.Assert(t, stdout, "explain.golden")
}

// Guards against an unknown request that passes for one without decisions.
func TestExplainUnknown(t *testing.T) {
	status, stdout, stderr := runArgs("explain id-9 testdata/entry.log")
	assert.Equal(t, status, 1)
	assert.Equal(t, stdout, "")
	assert.Assert(t, strings.Contains(stderr, `no line tells of request "id-9"; 9 lines were read, 2 were no log lines`), stderr)
	status, _, stderr = runArgs("explain")
	assert.Equal(t, status, 2)
	assert.Assert(t, strings.Contains(stderr, "need the id of a request"), stderr)
}

// Guards against memory that grows with the logs: of a day of many entries, only the changes of state around the request are
// kept, also while the logs of its entry go on for long.
func TestRequestLogMemory(t *testing.T) {
	const lines = 100_000
	l := newRequestLog("id-1", 5*time.Second)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	add := func(i int, fields string) {
		l.add(fmt.Appendf(nil, `{"level":"info","ts":%q,"msg":"m","entry":"entry-%d"%s}`,
			start.Add(time.Duration(i)*100*time.Millisecond).Format(time.RFC3339Nano), i%3, fields))
	}
	for i := range lines {
		add(i, "")
		add(i, `,"request":"id-2"`)
		if i == lines/2 {
			add(i, `,"request":"id-1","elapsed":"1s"`)
		}
	}
	kept := 0
	for _, e := range l.entries {
		kept += len(e.kept) + len(e.recent)
	}
	perEntry := int(l.window/(300*time.Millisecond)) + 1
	assert.Equal(t, len(l.story), 1)
	assert.Assert(t, kept <= 4*perEntry, "%d lines kept", kept)
}
