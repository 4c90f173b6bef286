package main

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an entry that replaces a killed one and refuses calls for as long as it may not check connections: the
// other entries can take them.
func TestReplacedEntry(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, `{}`)
	killed := p.entry(2)
	p.kill(killed)
	replacement := p.startEntry(killed.name, killed.domain)
	p.until("the replacement has settings and contact", func() bool {
		s := p.status(replacement)
		return s != nil && s.Contact && s.BaseVersion > 0
	})
	refused := map[string]int{}
	for i := range 300 {
		path := fmt.Sprintf("/availability/%d", i)
		r := p.call(p.client, replacement.caller, "GET", path, "web", "", "")
		if !r.whole("GET", path, "", "") {
			refused[fmt.Sprintf("%d %s %s %v", r.status, r.outcome(), r.header.Get("Skylarkbeam-Reason"), r.err)]++
		}
	}
	assert.Equal(t, len(refused), 0, "%v", refused)
}
