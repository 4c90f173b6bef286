package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/simulation"
)

// Guards against targets that are all dropped at once when their registrations lapse, against lapsed targets that are
// retained although they do not come back, and against the retention of single targets that have left.
func TestRetainLapsed(t *testing.T) {
	registered := func(from, to int) []RegisteredTarget {
		var list []RegisteredTarget
		for i := from; i < to; i++ {
			list = append(list, RegisteredTarget{
				Name: fmt.Sprintf("t%02d", i),
			})
		}
		return list
	}
	renewal := retention{
		time: renewalTime,
	}
	now := time.Now()
	former := &State{
		RegisteredTargets: registered(0, 20),
	}
	single := &State{
		RegisteredTargets: registered(2, 20),
	}
	assert.Equal(t, retainLapsed(now, former, single, renewal), time.Duration(0))
	assert.Equal(t, len(single.RegisteredTargets), 18)

	lapsed := &State{}
	assert.Equal(t, retainLapsed(now, former, lapsed, renewal), renewalTime)
	assert.Equal(t, len(lapsed.RegisteredTargets), 20)

	// Half of the targets come back. The rest is retained until the original time is over.
	half := &State{
		RegisteredTargets: registered(0, 10),
	}
	assert.Equal(t, retainLapsed(now.Add(time.Second), lapsed, half, renewal), renewalTime-time.Second)
	assert.Equal(t, len(half.RegisteredTargets), 20)
	assert.Assert(t, half.RegisteredTargets[0].RetainedUntil.IsZero() && !half.RegisteredTargets[19].RetainedUntil.IsZero())
	late := &State{
		RegisteredTargets: registered(0, 10),
	}
	assert.Equal(t, retainLapsed(now.Add(renewalTime), half, late, renewal), time.Duration(0))
	assert.Equal(t, len(late.RegisteredTargets), 10)

	// The time counts from the removal, if that is known.
	late = &State{}
	removed := retention{
		time: renewalTime,
		removedAt: func(target string) (time.Time, bool) {
			return now.Add(-time.Second), target < "t10"
		},
	}
	assert.Equal(t, retainLapsed(now, former, late, removed), renewalTime-time.Second)
	assert.Equal(t, late.RegisteredTargets[0].RetainedUntil, now.Add(renewalTime-time.Second))
	assert.Equal(t, late.RegisteredTargets[19].RetainedUntil, now.Add(renewalTime))
	removed.time = time.Second
	late = &State{}
	assert.Equal(t, retainLapsed(now, former, late, removed), time.Second)
	assert.Equal(t, len(late.RegisteredTargets), 10)

	// Targets that announced that they leave are not retained.
	leaving := &State{
		RegisteredTargets: registered(0, 20),
	}
	for i := range leaving.RegisteredTargets {
		leaving.RegisteredTargets[i].Leaving = true
	}
	assert.Equal(t, retainLapsed(now, leaving, &State{}, renewal), time.Duration(0))
}

// Guards against targets that have left together without a word and are retained until they end, although the registry
// was not down; also while a single entry has lost the store, and after an outage that entries remember which do not call
// the store since. The control has an outage, in which registrations lapse: targets are retained until these may have been
// renewed.
func TestVanishedTargets(t *testing.T) {
	const interval = 10 * time.Millisecond // between two looks at the targets
	tests := []struct {
		name   string
		cutOff func(entry int) bool // for 4 s
		outage bool                 // which ends
		before time.Duration        // between the end of the outage and the removal
		min    time.Duration        // for which the targets are retained
		max    time.Duration
	}{
		{
			name:   "store in operation",
			cutOff: func(int) bool { return false },
			min:    testDrainTime / 2,
			max:    testDrainTime,
		},
		{
			name:   "one entry cut off",
			cutOff: func(entry int) bool { return entry == 0 },
			min:    testDrainTime / 2,
			max:    testDrainTime,
		},
		{
			name:   "outage",
			cutOff: func(int) bool { return true },
			outage: true,
			min:    renewalTime,
			max:    2 * renewalTime,
		},
		{
			name:   "after an outage",
			cutOff: func(int) bool { return true },
			outage: true,
			before: 4 * time.Second,
			min:    testDrainTime / 2,
			max:    testDrainTime,
		},
	}
	for _, tt := range tests {
		for _, entries := range []int{6, 60} {
			t.Run(fmt.Sprintf("%s/%d", tt.name, entries), func(t *testing.T) {
				simulation.Run(t, func(t *testing.T) {
					registry := newMemoryStore("op", "servers", "entries")
					var stores []*partialStore
					_, list := startFollowers(t, entries, func(int) Store {
						stores = append(stores, &partialStore{
							memoryStore: registry,
						})
						return stores[len(stores)-1]
					})
					for i := range 12 {
						registry.set("servers", fmt.Sprintf("s%02d", i), "x")
					}
					time.Sleep(10 * time.Second)
					for i, s := range stores {
						s.down.Store(tt.cutOff(i))
					}
					time.Sleep(4 * time.Second)
					if tt.before == 0 {
						registry.remove("servers", "s00", "s01", "s02")
					}
					for i, s := range stores {
						s.down.Store(tt.cutOff(i) && !tt.outage)
					}
					if tt.before > 0 {
						time.Sleep(tt.before)
						registry.remove("servers", "s00", "s01", "s02")
					}
					removedAt := time.Now()
					retained := make([]time.Duration, len(list))
					for time.Since(removedAt) < 2*renewalTime {
						time.Sleep(interval)
						for i, f := range list {
							if len(f.State().RegisteredTargets) > 9 {
								retained[i] = time.Since(removedAt) + interval
							}
						}
					}
					for i, d := range retained {
						if !tt.cutOff(i) || tt.outage {
							assert.Check(t, d >= tt.min && d < tt.max, "entry %d retained them for %s", i, d)
						}
					}
				})
			})
		}
	}
}
