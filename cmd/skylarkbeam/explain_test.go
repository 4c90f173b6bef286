package main

import (
	"strings"
	"testing"

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
