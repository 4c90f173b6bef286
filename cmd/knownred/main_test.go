package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a failed test whose reason is lost before the output of the programs that it ran.
func TestMessages(t *testing.T) {
	output := []string{
		"=== RUN   TestFlood\n",
		"    flood_test.go:102: assertion failed: 89 (int) != 90 (int)\n",
		"        {\"level\":\"debug\",\"msg\":\"answered\"}\n",
		"        entry_test.go: no line of a test\n",
		"--- FAIL: TestFlood (60.80s)\n",
	}
	assert.DeepEqual(t, messages(output), output[1:2])
}
