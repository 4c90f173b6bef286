package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/simulation"
)

// learnTime is the time within which all entries must learn of a change of the registry. The rest of testDrainTime is left
// for the calls that are on their way to a target that leaves.
const learnTime = testDrainTime - 500*time.Millisecond

// connectTime is the time after the end of an outage of the store from which on entries count as connected.
const connectTime = 3 * time.Second

// checkLearned changes the registry and checks that all entries learn of it within learnTime.
func checkLearned(t *testing.T, store *outageStore, list []*Follower, key string) {
	t.Helper()
	store.set("servers", key, "x")
	time.Sleep(learnTime)
	for _, f := range list {
		known := slices.ContainsFunc(f.State().RegisteredTargets, func(r RegisteredTarget) bool { return r.Name == key })
		assert.Check(t, known, "%s has not learned of %s", f.opt.Name, key)
	}
}

// Guards against watches of the registry that an outage has made the store forget and that entries wait for: requests reach
// targets that have left. Load: silent outages of each length that the client of the store can tell apart, after a
// change at which the readers began their watches together.
func TestOutageLosesWatches(t *testing.T) {
	for length := 100 * time.Millisecond; length <= 4*time.Second; length += 20 * time.Millisecond {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			simulation.Run(t, func(t *testing.T) {
				store := newOutageStore(newMemoryStore("op", "servers", "entries"))
				_, list := startFollowers(t, 6, func(int) Store { return store })
				time.Sleep(7 * time.Second)
				store.set("op", "config", "1")
				time.Sleep(1600 * time.Millisecond)
				store.begin(true)
				time.Sleep(length)
				store.end()
				time.Sleep(connectTime)
				checkLearned(t, store, list, "i-1")
				checkLearned(t, store, list, "i-2")
			})
		})
	}
}

// Guards against a watch that is lost without an outage, such as by an outage that ends before another call is made: no
// call fails, so only the version of the store shows it. The store forgets the watches of the registry at any time between
// two answers.
func TestLostWatches(t *testing.T) {
	for after := time.Duration(0); after < 1500*time.Millisecond; after += 100 * time.Millisecond {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			simulation.Run(t, func(t *testing.T) {
				store := newOutageStore(newMemoryStore("op", "servers", "entries"))
				_, list := startFollowers(t, 6, func(int) Store { return store })
				time.Sleep(5*time.Second + after)
				store.lose("servers")
				checkLearned(t, store, list, "i-1")
			})
		})
	}
}

// checkDropped checks that no entry has a target any more.
func checkDropped(t *testing.T, list []*Follower, key string) {
	t.Helper()
	for _, f := range list {
		known := slices.ContainsFunc(f.State().RegisteredTargets, func(r RegisteredTarget) bool { return r.Name == key })
		assert.Check(t, !known, "%s has not dropped %s", f.opt.Name, key)
	}
}

// Guards against targets that have left together, of which entries learn late and which they then retain for half of the drain
// time from that moment on: they get requests after they have ended. The store forgets the watches of the registry at any time
// between two answers.
func TestLateVanishedTargets(t *testing.T) {
	for after := time.Duration(0); after < 1500*time.Millisecond; after += 100 * time.Millisecond {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			simulation.Run(t, func(t *testing.T) {
				store := newOutageStore(newMemoryStore("op", "servers", "entries"))
				for i := range 12 {
					store.set("servers", fmt.Sprintf("s%02d", i), "x")
				}
				_, list := startFollowers(t, 6, func(int) Store { return store })
				time.Sleep(5*time.Second + after)
				store.lose("servers")
				store.remove("servers", "s00", "s01", "s02", "s03")
				time.Sleep(learnTime)
				checkDropped(t, list, "s00")
			})
		})
	}
}

// Guards against a watch that is lost again when it is sent again: without the answer of another call that shows it, the change
// was unknown for as long as a watch may wait. The store does not answer calls for the registry for a second.
func TestRepeatedWatchLost(t *testing.T) {
	for after := time.Duration(0); after < 1500*time.Millisecond; after += 100 * time.Millisecond {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			simulation.Run(t, func(t *testing.T) {
				store := newOutageStore(newMemoryStore("op", "servers", "entries"))
				_, list := startFollowers(t, 6, func(int) Store { return store })
				time.Sleep(5*time.Second + after)
				store.mute("servers", true)
				store.set("servers", "i-1", "x")
				time.Sleep(1300 * time.Millisecond)
				store.mute("servers", false)
				time.Sleep(connectTime)
				for _, f := range list {
					known := slices.ContainsFunc(f.State().RegisteredTargets, func(r RegisteredTarget) bool { return r.Name == "i-1" })
					assert.Check(t, known, "%s has not learned of the change", f.opt.Name)
				}
			})
		})
	}
}
