package rollout

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a sum of the exposures of all entries above the bound, whatever happens to the entries: they are isolated in
// groups, cut off from the store, frozen, restarted and added, and requests arrive at few or all of them.
func TestExposureBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SampledFrom([]int{5, 12, 56}).Draw(t, "entries")
		rate := rapid.SampledFrom([]float64{0.2, 2, 20}).Draw(t, "rate")
		f := newSimFleet(entries, rate)
		f.sent = map[string]int{}
		f.place("v2", 12)
		// Once a good version is promoted, the bound no longer holds for it.
		promoted := func() bool {
			return slices.ContainsFunc(f.store.writes, func(row Row) bool { return row.Phase == Promote{} })
		}
		for !f.final() && f.now.Before(time.Unix(120, 0)) {
			e := f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				e.group = rapid.IntRange(0, 2).Draw(t, "group")
			case 1:
				e.cut = !e.cut
			case 2:
				e.frozen = !e.frozen
			case 3:
				f.restart(e)
			case 4:
				if len(f.entries) < 2*entries {
					f.entries = append(f.entries, &simEntry{
						name:  "new-" + rapid.StringMatching("[a-z]{8}").Draw(t, "name"),
						group: rapid.IntRange(0, 2).Draw(t, "group"),
					})
				}
			case 5:
				f.store.down = !f.store.down
			}
			f.run(rapid.SampledFrom([]time.Duration{simStep, time.Second}).Draw(t, "time"))
			if promoted() {
				return
			}
			bound := f.bounds.Share*float64(f.sent["v1"]+f.sent["v2"]) + f.bounds.Slack
			if sent := float64(f.sent["v2"]); sent > bound {
				t.Fatalf("%g requests to the new version, the bound is %g", sent, bound)
			}
		}
	})
}

// Guards against evidence that is lost to rounding: with many entries and few requests, the part of each entry stays below
// one request.
func TestExposureOfManyEntries(t *testing.T) {
	for _, entries := range []int{5, 56, 189} {
		f := newSimFleet(entries, 20/float64(entries))
		f.sent = map[string]int{}
		f.place("v2", 12)
		f.runUntil(t, func() bool { return f.phase() == (Promote{}) })
		total := float64(f.sent["v1"] + f.sent["v2"])
		t.Logf("%d entries: %d of %g requests", entries, f.sent["v2"], total)
		// An entry with one request has it when half of the slack is released, on average.
		assert.Assert(t, float64(f.sent["v2"]) >= (0.08*total+25)/2, "%d entries: %d requests", entries, f.sent["v2"])
		assert.Assert(t, float64(f.sent["v2"]) <= 0.1*total+50)
	}
}

// Guards against a trial in which no target of the new version runs under its load, or in which some have no turn.
func TestGroups(t *testing.T) {
	now := time.Unix(0, 0)
	for _, targets := range []int{1, 2, 3, 4, 10, 40} {
		p := NewParticipant(now, NewOrder("s", "v2", 60, 1, 0), Bounds{
			Share: 0.1,
		}, true)
		p.Hear(now, &Reply{
			Phase: Trial{}.String(),
		})
		used := map[int]bool{}
		smallest := targets
		for at := time.Duration(0); at < 39*time.Second; at += groupTime {
			first, count := p.Group(now.Add(at), targets)
			assert.Assert(t, first >= 0 && first < targets && count > 0 && count <= targets)
			smallest = min(smallest, count)
			for i := range count {
				used[(first+i)%targets] = true
			}
		}
		assert.Equal(t, len(used), targets)
		assert.Equal(t, smallest, max(1, (8*targets+99)/100))
	}
	p := NewParticipant(now, NewOrder("s", "v2", 60, 1, 0), Bounds{}, true)
	_, count := p.Group(now, 0)
	assert.Equal(t, count, 0)
}

// Guards against requests to a bad version after the time in which it must be rolled back.
func TestRollbackTime(t *testing.T) {
	for _, rate := range []float64{0.5, 4, 40} {
		f := newSimFleet(56, rate)
		f.fails = failing("v2", 0.3)
		f.place("v2", 30)
		var fiftieth time.Time
		f.runUntil(t, func() bool {
			if f.bad >= 50 && fiftieth.IsZero() {
				fiftieth = f.now
			}
			return f.final()
		})
		sent := f.sent["v2"]
		f.run(2 * ReportInterval)
		t.Logf("%g/s: %d bad answers, %d requests", 56*rate, f.bad, f.sent["v2"])
		assert.Equal(t, f.phase(), Phase(RolledBack{}))
		if !fiftieth.IsZero() {
			assert.Assert(t, f.now.Sub(fiftieth) < f.bounds.Rollback)
		}
		f.run(10 * time.Second)
		assert.Assert(t, f.sent["v2"]-sent < 100)
	}
}
