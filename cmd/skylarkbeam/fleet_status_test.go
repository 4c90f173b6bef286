package main

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"skylarkbeam/entry"
)

// answerOf returns the brief status of an entry.
func answerOf(version uint64, waiting int, refused uint64) *entry.Status {
	return &entry.Status{
		Contact:     true,
		BaseVersion: version,
		Services: []entry.ServiceStatus{
			{
				Service: "stock",
				Targets: map[string]int{
					entry.UseWarm: 3,
				},
				InFlight: 2,
				Waiting:  waiting,
			},
		},
		Counts: map[string]uint64{
			"refused deadline": refused,
			"retried hedge":    7,
		},
	}
}

// Guards against a summary that hides an entry that is silent, behind, or refuses more than the others, or a target that
// only some entries can reach, and against rates from counters that began anew.
func TestFleetSummary(t *testing.T) {
	var members []member
	start := time.Now()
	before := sample{
		at:      start,
		answers: map[string]*entry.Status{},
	}
	after := sample{
		at:      start.Add(2 * time.Second),
		answers: map[string]*entry.Status{},
		silent: map[string]error{
			"h": errors.New("no answer"),
		},
	}
	for i, name := range strings.Split("abcdefgh", "") {
		members = append(members, member{
			name:    name,
			domain:  []string{"cairns", "mackay"}[i%2],
			control: "10.0.0." + name + ":81",
		})
		if name != "h" {
			before.answers[name], after.answers[name] = answerOf(5, 0, 10), answerOf(5, 0, 10)
		}
	}
	after.answers["b"] = answerOf(4, 0, 10)
	after.answers["c"] = answerOf(5, 12, 30)
	after.answers["d"] = answerOf(5, 0, 2) // has restarted
	after.answers["e"].Leaving = true
	for name, s := range after.answers {
		targets := `{"target": "stock-3", "service": "stock", "use": "cold"}`
		if name == "a" || name == "b" {
			targets += `, {"target": "stock-2", "service": "stock", "use": "unreachable"}`
		}
		assert.NilError(t, json.Unmarshal([]byte(`{"phases": [`+targets+`]}`), s))
	}
	var out strings.Builder
	summarize(members, before, after).print(&out)
	golden.Assert(t, out.String(), "fleet.golden")
}

// Guards against a summary that waits for an entry that does not answer, or that an operator cannot wait for.
func TestFleetStatus(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, `{}`)
	p.pause(p.entry(3))
	defer p.wake(p.entry(3))
	start := time.Now()
	out, err := p.command("status", "-all")
	assert.NilError(t, err, out)
	assert.Assert(t, time.Since(start) < 4*time.Second, "took %s", time.Since(start))
	assert.Assert(t, strings.Contains(out, "6 entries in 3 failure domains, 5 answered"), out)
	assert.Assert(t, strings.Contains(out, "silent   entry-3 at "+p.entry(3).control), out)
	out, err = p.command("status", "-all", "-json")
	assert.NilError(t, err, out)
	assert.Assert(t, strings.Contains(out, `"members": 6`), out)
}
