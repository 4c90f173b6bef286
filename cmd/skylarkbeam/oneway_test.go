package main

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/standin"
)

// Guards against new work in a drained failure domain later than 5 s after the drain was accepted, and against too many
// calls at cold targets, while connections pass bytes in one direction only. One entry gets no answers of the table, the
// requests of another do not reach it, and two more entries have the same with the table and their peers. In the negative
// control for the drain these two serve without contact; that for cold targets is in TestColdStart.
func TestOneWayCuts(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		serve []string
	}{
		{
			name: "stop",
		},
		{
			name:  "serve",
			serve: []string{"entry-4", "entry-5"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := startSetup(t, setup{
				extra:   `{}`,
				forward: true,
				serve:   tt.serve,
			})
			t.Logf("seed %d", seed)
			cairns := p.targetsIn(func(_, domain string) bool { return domain == "cairns" })
			cutOff := p.entries[1:5]
			cold := p.ownedOutside(cutOff, cairns)
			kinds := newTally()
			calls := p.mixedLoad(2, func(e *entryProcess, r result) { kinds.add(e.name + " " + r.kind()) })
			a := p.follow(cairns)
			p.until("each entry uses the failure domain", func() bool { return len(byEntry(a.since(nil))) == len(p.entries) })
			cutOff[0].table.PartitionOneWay(standin.Responses)
			cutOff[1].table.PartitionOneWay(standin.Requests)
			p.isolateOneWay(cutOff[2], standin.Responses)
			p.isolateOneWay(cutOff[3], standin.Requests)
			p.fall(cold)
			go p.command("drain", "domain=cairns")
			accepted := p.waitDrained("cairns")
			time.Sleep(time.Until(accepted.Add(drainLimit)))
			a.scan()
			before := a.snapshot()
			for i, e := range cutOff {
				s := p.status(e)
				assert.Assert(t, s != nil && s.Contact == (i < 2 || len(tt.serve) > 0), "%s: %+v", e.name, s)
			}
			// The former owners have no lease any more, and new ones wait until they may have one.
			p.fall(cold)
			p.until("each cold target has a new owner", func() bool { return p.takenOver(cold, cutOff) })
			for _, name := range cold {
				n := p.counts(name).Calls
				p.until("the new owner calls "+name, func() bool { return p.counts(name).Calls > n })
			}
			calls.stop()
			a.load.stop()
			a.scan()
			late := byEntry(a.since(before))
			sum, text := p.violations(cold)
			t.Logf("last new call in the failure domain after the acceptance: %s", a.report(accepted))
			t.Logf("late calls: %v; new owners after %s; cold targets:%s results: %v", late,
				time.Since(accepted).Round(10*time.Millisecond), text, kinds)
			for _, name := range tt.serve {
				assert.Assert(t, late[name] > 0, "no late call at %s, which serves without contact", name)
				delete(late, name)
			}
			assert.Equal(t, len(late), 0, "late calls: %v", late)
			assert.Equal(t, sum, 0, text)
		})
	}
}

// ownedOutside returns a target of each of the entries that own one outside the given targets, of a service that
// mixedLoad calls.
func (p *processes) ownedOutside(entries []*entryProcess, targets []string) []string {
	var owned []string
	s := p.status(p.entry(1))
	assert.Assert(p.t, s != nil)
	for _, e := range entries {
		for _, row := range s.TargetStatuses {
			if row.Owner == e.name && row.Service != "documents" && !slices.Contains(targets, row.Target) {
				owned = append(owned, row.Target)
				break
			}
		}
	}
	assert.Assert(p.t, len(owned) > 0)
	p.t.Logf("cold targets, one of each of %d entries that owns any: %v", len(entries), owned)
	return owned
}

// fall restarts targets, which then are cold for longer than the test takes and count from zero how many calls arrive.
func (p *processes) fall(targets []string) {
	for _, name := range targets {
		p.control(name, "PATCH", "switches", `{"cold":"60s"}`)
		p.restart(name, false)
	}
}

// takenOver tells whether other entries than the former ones own the targets.
func (p *processes) takenOver(targets []string, former []*entryProcess) bool {
	s := p.status(p.entry(1))
	if s == nil {
		return false
	}
	for _, row := range s.TargetStatuses {
		owns := func(e *entryProcess) bool { return e.name == row.Owner }
		if slices.Contains(targets, row.Target) && slices.ContainsFunc(former, owns) {
			return false
		}
	}
	return true
}
