package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// failing makes a version fail.
func failing(version string, share float64) func(string) float64 {
	return func(v string) float64 {
		if v == version {
			return share
		}
		return 0
	}
}

// Guards against a roll-out that takes more calls to the store than one for each phase, or does not end in time.
func TestGoodVersion(t *testing.T) {
	f := newSimFleet(6, 30)
	f.place("v2", 12)
	took := f.runUntil(t, f.final)
	assert.DeepEqual(t, f.states(), []string{"v2 trial", "v2 promote", "v2 done"})
	assert.Assert(t, took < 12*time.Second, "took %v", took)
	assert.Equal(t, f.store.calls, 4)
	f.run(time.Minute)
	assert.Equal(t, f.store.calls, 4, "calls to the store after the end")
}

// Guards against a bad version that gets requests too long.
func TestBadVersion(t *testing.T) {
	f := newSimFleet(6, 30)
	f.fails = failing("v2", 0.5)
	f.place("v2", 12)
	f.runUntil(t, f.final)
	assert.DeepEqual(t, f.states(), []string{"v2 trial", "v2 rolled_back"})
	f.run(time.Second)
	sent := f.sent["v2"]
	f.run(10 * time.Second)
	assert.Equal(t, f.sent["v2"], sent, "requests after it was rolled back")
}

// Guards against a roll-out that nobody finishes after the loss of its coordinator, in each phase.
func TestCoordinatorKilled(t *testing.T) {
	for _, phase := range []Phase{Unknown{}, Trial{}, Promote{}} {
		f := newSimFleet(6, 30)
		f.place("v2", 12)
		f.entries[3].inflightOld = 1 // keeps the promotion from ending
		f.runUntil(t, func() bool { return f.phase() == phase })
		f.coordinator().dead = true
		f.run(time.Second)
		f.entries[3].inflightOld = 0
		took := f.runUntil(t, f.final)
		assert.Equal(t, f.phase(), Phase(Done{}), "killed in phase %q", phase)
		assert.Assert(t, took < 12*time.Second)
	}
}

// Guards against a coordinator that was frozen and acts on its old view when it wakes.
func TestCoordinatorFrozen(t *testing.T) {
	f := newSimFleet(6, 30)
	f.place("v2", 12)
	f.run(4 * time.Second)
	former := f.coordinator()
	former.frozen = true
	f.run(time.Second)
	f.fails = failing("v2", 1)
	f.runUntil(t, f.final)
	assert.Equal(t, f.phase(), Phase(RolledBack{}))
	// It wakes with a trial in its view, whose time is over.
	f.run(5 * time.Second)
	writes, sent := len(f.store.writes), f.sent["v2"]
	former.frozen = false
	f.run(10 * time.Second)
	assert.Equal(t, len(f.store.writes), writes, "%v", f.states())
	assert.Equal(t, f.sent["v2"], sent)
	assert.Equal(t, former.participant.Phase(), Phase(RolledBack{}))
}

// Guards against an isolated part of the fleet that decides on its own, or sends to the new version.
func TestIsolatedMinority(t *testing.T) {
	f := newSimFleet(6, 30)
	f.place("v2", 12)
	f.run(2 * time.Second)
	alone := f.entries[0] // the coordinator, as it reaches the store and is the first by rank
	alone.group = 1
	f.run(2 * time.Second)
	sent := alone.toNew
	f.fails = failing("v2", 0.5)
	f.runUntil(t, f.final)
	assert.Equal(t, f.phase(), Phase(RolledBack{}))
	assert.Equal(t, alone.toNew, sent, "requests of the isolated entry to the new version")
	f.run(2 * time.Second)
	assert.Equal(t, alone.participant.Phase(), Phase(RolledBack{}))
}

// Guards against an isolated entry that still sends to old targets when they stop.
func TestIsolatedLearnsPromotion(t *testing.T) {
	f := newSimFleet(6, 30)
	f.place("v2", 12)
	f.run(2 * time.Second)
	alone := f.entries[5]
	alone.group = 1
	f.runUntil(t, f.final)
	assert.Equal(t, f.phase(), Phase(Done{}))
	sent := alone.toOld
	f.run(3 * time.Second)
	assert.Equal(t, alone.toOld, sent, "requests to old targets after done")
}

// Guards against two outcomes of one roll-out, or a decision that is announced but not stored, when an answer of the store
// is lost or a write takes effect late.
func TestLostAnswers(t *testing.T) {
	for _, fault := range []simFault{loseAnswer, loseWrite, delayWrite} {
		for at, phase := range []Phase{Unknown{}, Trial{}, Promote{}} {
			for _, bad := range []bool{false, true} {
				f := newSimFleet(6, 30)
				f.entries[3].inflightOld = 1
				f.place("v2", 12)
				f.runUntil(t, func() bool { return f.phase() == phase })
				f.store.fault = fault
				f.run(simStep)
				f.entries[3].inflightOld = 0
				if bad && at < 2 {
					f.fails = failing("v2", 0.5)
				}
				f.runUntil(t, f.final)
				want := Phase(Done{})
				if bad && at < 2 {
					want = RolledBack{}
				}
				assert.Equal(t, f.phase(), want, "fault %v in phase %q", fault, phase)
				f.run(10 * time.Second)
				assert.Equal(t, f.phase(), want)
				for _, e := range f.entries {
					assert.Equal(t, e.participant.Phase(), want)
				}
			}
		}
	}
}

// Guards against a write from before the evidence that takes effect after the opposite decision, or a decision that was put
// in force although a delayed write has won.
func TestDelayedPromotion(t *testing.T) {
	f := newSimFleet(6, 30)
	f.place("v2", 12)
	f.run(7*time.Second + 500*time.Millisecond)
	f.store.fault = delayWrite
	f.runUntil(t, func() bool { return len(f.store.delayed) == 1 })
	f.fails = failing("v2", 1)
	f.runUntil(t, f.final)
	f.run(10 * time.Second)
	assert.Equal(t, len(f.store.delayed), 0)
	for _, e := range f.entries {
		assert.Equal(t, e.participant.Phase(), f.phase())
	}
}

// Guards against requests to a bad version while the store is unavailable, and against a decision that is forgotten.
func TestStoreDown(t *testing.T) {
	f := newSimFleet(6, 30)
	f.place("v2", 30)
	f.run(time.Second)
	f.store.down = true
	f.run(time.Second)
	f.fails = failing("v2", 0.5)
	f.run(6 * time.Second)
	sent, calls := f.sent["v2"], f.store.calls
	f.run(10 * time.Second)
	assert.Equal(t, f.sent["v2"], sent)
	assert.Assert(t, f.store.calls-calls <= 6, "%d calls to a store that is down", f.store.calls-calls)
	assert.Equal(t, f.entries[4].participant.Phase(), Phase(Suspended{}))
	f.store.down = false
	f.run(3 * time.Second)
	assert.Equal(t, f.phase(), Phase(RolledBack{}))
}

// Guards against a good version that is lost to an outage of the store in the middle of its trial.
func TestStoreDownGood(t *testing.T) {
	f := newSimFleet(6, 30)
	f.place("v2", 12)
	f.run(2 * time.Second)
	f.store.down = true
	f.run(7 * time.Second)
	f.store.down = false
	f.runUntil(t, f.final)
	assert.Equal(t, f.phase(), Phase(Done{}))
}

// Guards against a final state that a restore of the store from an older copy takes back.
func TestRestore(t *testing.T) {
	for _, lost := range []bool{true, false} {
		for _, bad := range []bool{true, false} {
			f := newSimFleet(6, 30)
			if bad {
				f.fails = failing("v2", 0.5)
			}
			f.place("v2", 12)
			f.run(time.Second)
			row, version := f.store.row, f.store.version
			f.runUntil(t, f.final)
			want := f.phase()
			f.run(2 * time.Second)
			if lost {
				row, version = nil, 0
			}
			f.store.row, f.store.version, f.store.era = row, version, f.store.era+1
			f.fails = func(string) float64 { return 0 } // The evidence does not return.
			f.place("v2", 12)                           // The operator writes the order again.
			f.run(3 * time.Second)
			assert.Equal(t, f.phase(), want, "row lost: %v", lost)
			f.run(time.Minute)
			assert.Equal(t, f.phase(), want)
			assert.Equal(t, f.sent["v2"] > 0, true)
		}
	}
}

// Guards against requests to a version before the restarted fleet knows the phase.
func TestFleetRestarted(t *testing.T) {
	for _, phase := range []Phase{Trial{}, Promote{}, Done{}, RolledBack{}} {
		f := newSimFleet(6, 30)
		if (phase == RolledBack{}) {
			f.fails = failing("v2", 0.5)
		}
		f.entries[3].inflightOld = 1
		f.place("v2", 12)
		f.runUntil(t, func() bool {
			if f.phase() == (Promote{}) && phase == (Done{}) {
				f.entries[3].inflightOld = 0
			}
			return f.phase() == phase
		})
		for i := range f.entries {
			f.restart(f.entries[i])
		}
		f.sent = map[string]int{}
		f.run(3 * time.Second)
		switch phase.(type) {
		case Promote, Done:
			assert.Equal(t, f.sent["v1"], 0, "phase %s", phase)
			assert.Assert(t, f.sent["v2"] > 0)
		case RolledBack:
			assert.Equal(t, f.sent["v2"], 0)
			assert.Assert(t, f.sent["v1"] > 0)
		default:
			assert.Assert(t, f.sent["v1"] > 0)
			assert.Assert(t, float64(f.sent["v2"]) <= 0.1*float64(f.sent["v1"])+50)
		}
	}
}

// Guards against an entry that starts while a roll-out runs, or after its end, and sends to the wrong version.
func TestEntryStarts(t *testing.T) {
	for _, phase := range []Phase{Promote{}, Done{}, RolledBack{}} {
		f := newSimFleet(6, 30)
		if (phase == RolledBack{}) {
			f.fails = failing("v2", 0.5)
		}
		f.entries[3].inflightOld = 1
		f.place("v2", 12)
		f.runUntil(t, func() bool {
			if f.phase() == (Promote{}) && phase == (Done{}) {
				f.entries[3].inflightOld = 0
			}
			return f.phase() == phase
		})
		f.run(time.Second)
		f.restart(f.entries[5])
		e := &simEntry{
			name: "entry-999",
		}
		f.entries = append(f.entries, e)
		f.run(4 * time.Second)
		for _, e := range []*simEntry{f.entries[5], e} {
			if (phase == RolledBack{}) {
				assert.Equal(t, e.toNew, 0)
				assert.Assert(t, e.toOld > 0)
			} else {
				assert.Equal(t, e.toOld, 0, "phase %s", phase)
				assert.Assert(t, e.toNew > 0)
			}
		}
	}
}

// Guards against old targets that stop while calls are in flight there.
func TestPromotionWaitsForCalls(t *testing.T) {
	f := newSimFleet(6, 30)
	f.place("v2", 60)
	f.entries[2].inflightOld = 3
	f.runUntil(t, func() bool { return f.phase() == (Promote{}) })
	f.run(5 * time.Second)
	assert.Equal(t, f.phase(), Phase(Promote{}))
	assert.Equal(t, f.coordinator().coordinator.Waiting(f.now), "3 calls are in flight at other versions")
	f.entries[2].inflightOld = 0
	f.run(2 * time.Second)
	assert.Equal(t, f.phase(), Phase(Done{}))
}

// Guards against a promotion to targets that are still cold, or too few.
func TestPromotionWaitsForWarmTargets(t *testing.T) {
	f := newSimFleet(6, 30)
	f.cold["v2"] = true
	f.place("v2", 20)
	f.run(15 * time.Second)
	assert.Equal(t, f.phase(), Phase(Trial{}))
	f.cold["v2"] = false
	f.runUntil(t, f.final)
	assert.Equal(t, f.phase(), Phase(Done{}))

	f = newSimFleet(6, 30)
	f.cold["v2"] = true
	f.place("v2", 20)
	f.runUntil(t, f.final)
	assert.Equal(t, f.phase(), Phase(RolledBack{}))
}

// Guards against a version that fails only under the whole load and is put in service.
func TestFailsUnderLoad(t *testing.T) {
	f := newSimFleet(6, 30)
	f.entries[2].inflightOld = 1
	f.place("v2", 20)
	f.runUntil(t, func() bool { return f.phase() == (Promote{}) })
	f.fails = failing("v2", 0.9)
	f.runUntil(t, f.final)
	assert.Equal(t, f.phase(), Phase(RolledBack{}))
	assert.Assert(t, f.bad < 300, "%d bad answers", f.bad)
}
