package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against hedges of lost attempts that are refused while retries are allowed, and against any that exceed the budget.
func TestLateHedge(t *testing.T) {
	now := time.Unix(0, 0)
	table := New(Options{})
	var targets []Target
	for _, name := range []string{"a", "b"} {
		targets = append(targets, Target{
			Name:            name,
			Service:         "stock",
			Slots:           4,
			ColdConcurrency: 1,
		})
	}
	table.SetTargets(now, targets)
	for _, target := range targets {
		table.SetWarm(now, target.Name, "1", 0)
	}
	for range 25 { // They earn 2.5 retries.
		now = now.Add(10 * time.Millisecond)
		p, reason := table.Pick(now, "stock", idempotent)
		assert.Assert(t, p != nil, "refused: %s", reason)
		p.Done(now, succeededAfter(time.Millisecond))
	}
	assert.Assert(t, table.Hedge(now, "stock", idempotent) == nil, "a hedge used the reserve")
	assert.Assert(t, table.LateHedge(now, "stock", Query{}) == nil, "a call that may run once was hedged")
	for range 2 {
		assert.Assert(t, table.LateHedge(now, "stock", idempotent) != nil)
	}
	assert.Assert(t, table.LateHedge(now, "stock", idempotent) == nil, "a hedge exceeded the budget")
	assert.Assert(t, table.Retry(now, "stock", idempotent) == nil)
}
