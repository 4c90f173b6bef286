package rollout

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an order for a version that is not there, which must wait without harm and end in time.
func TestOrderWithoutTargets(t *testing.T) {
	f := newSimFleet(6, 30)
	f.registered = []string{"v1"}
	f.place("v9", 12)
	took := f.runUntil(t, f.final)
	assert.Equal(t, f.phase(), Phase(RolledBack{}))
	assert.Equal(t, f.store.row.Reason, "no target of the version is ready")
	assert.Assert(t, took <= 12*time.Second, "took %v", took)

	// Targets that come later, but early enough, have their trial.
	f = newSimFleet(6, 30)
	f.registered = []string{"v1"}
	f.place("v2", 12)
	f.run(4 * time.Second)
	f.registered = []string{"v1", "v2"}
	f.runUntil(t, f.final)
	assert.Equal(t, f.phase(), Phase(Done{}))
}

// Guards against an order for a service without any target.
func TestOrderWithoutService(t *testing.T) {
	f := newSimFleet(3, 30)
	for i := range f.entries {
		f.restart(f.entries[i])
	}
	f.registered = nil
	f.place("v2", 12)
	took := f.runUntil(t, f.final)
	assert.Equal(t, f.phase(), Phase(RolledBack{}))
	assert.Assert(t, took <= 12*time.Second)
}

// Guards against a second order whose requests go to the version of the first one.
func TestOrderOfThirdVersion(t *testing.T) {
	f := newSimFleet(6, 30)
	f.place("v2", 12)
	f.run(3 * time.Second)
	f.registered = append(f.registered, "v3")
	f.place("v3", 12)
	f.run(simStep)
	sent := f.sent["v2"]
	f.runUntil(t, f.final)
	assert.Equal(t, f.store.row.Order.To, "v3")
	assert.Equal(t, f.phase(), Phase(Done{}))
	assert.DeepEqual(t, f.store.row.Base, []string{"v1"})
	assert.Equal(t, f.sent["v2"], sent)
}

// Guards against a trial that starts again when the operator writes the same order once more.
func TestSameOrderAgain(t *testing.T) {
	f := newSimFleet(6, 30)
	f.place("v2", 12)
	f.run(6 * time.Second)
	f.place("v2", 12)
	took := f.runUntil(t, f.final)
	assert.Assert(t, took < 6*time.Second, "took %v", took)
	assert.DeepEqual(t, f.states(), []string{"v2 trial", "v2 promote", "v2 done"})
}

// Guards against a second trial that is refused, and against one that is not wanted: a version that was rolled back can be
// ordered again.
func TestOrderAfterRollback(t *testing.T) {
	f := newSimFleet(6, 30)
	f.fails = failing("v2", 0.5)
	f.place("v2", 12)
	f.runUntil(t, f.final)
	assert.Equal(t, f.phase(), Phase(RolledBack{}))
	f.run(5 * time.Second)
	f.fails = func(string) float64 { return 0 }
	f.place("v2", 12)
	f.run(simStep)
	f.runUntil(t, f.final)
	assert.Equal(t, len(f.states()), 2)
	f.run(time.Second)
	f.runUntil(t, f.final)
	assert.Equal(t, f.phase(), Phase(Done{}), "%v", f.states())
}

// Guards against an order back to the version in service that ends while calls are still sent to the other one.
func TestOrderBack(t *testing.T) {
	f := newSimFleet(6, 30)
	f.place("v2", 12)
	f.run(3 * time.Second)
	assert.Assert(t, f.sent["v2"] > 0)
	f.place("v1", 12)
	f.run(simStep)
	sent := f.sent["v2"]
	f.runUntil(t, func() bool { return f.final() && f.store.row.Order.To == "v1" })
	assert.Equal(t, f.phase(), Phase(Done{}))
	assert.Equal(t, f.sent["v2"], sent)
	f.run(5 * time.Second)
	assert.Equal(t, f.sent["v2"], sent)
}

// Guards against a trial of the version that is in service already.
func TestOrderOfVersionInService(t *testing.T) {
	f := newSimFleet(6, 30)
	f.registered = []string{"v1"}
	f.place("v1", 12)
	f.run(time.Second)
	assert.Equal(t, f.phase(), Phase(Done{}))
	assert.DeepEqual(t, f.states(), []string{"v1 done"})
}

// Guards against a roll-out that goes on without its order.
func TestOrderRemoved(t *testing.T) {
	for _, phase := range []Phase{Trial{}, Promote{}} {
		f := newSimFleet(6, 30)
		f.entries[2].inflightOld = 1
		f.place("v2", 12)
		f.runUntil(t, func() bool { return f.phase() == phase })
		f.run(time.Second)
		f.order = nil
		f.run(time.Second)
		sent := f.sent["v2"]
		f.run(5 * time.Second)
		assert.Equal(t, f.phase(), Phase(RolledBack{}))
		assert.Equal(t, f.sent["v2"], sent)
	}
	// After its end, a removal changes nothing.
	f := newSimFleet(6, 30)
	f.place("v2", 12)
	f.runUntil(t, f.final)
	f.order = nil
	f.run(5 * time.Second)
	assert.Equal(t, f.phase(), Phase(Done{}))
}

// Guards against requests to the ordered version by entries that start with the order, before anything is decided.
func TestOrderAtStart(t *testing.T) {
	f := newSimFleet(6, 30)
	f.place("v2", 12)
	for i := range f.entries {
		f.restart(f.entries[i])
	}
	f.sent = map[string]int{}
	f.run(3 * time.Second)
	assert.Assert(t, float64(f.sent["v2"]) <= 0.1*float64(f.sent["v1"])+50)
	f.runUntil(t, f.final)
	assert.Equal(t, f.phase(), Phase(Done{}))
}

// Guards against durations that make a trial without end, or without an end.
func TestDurations(t *testing.T) {
	for _, seconds := range []float64{0, -5} {
		f := newSimFleet(6, 30)
		f.place("v2", seconds)
		f.run(3 * time.Second)
		assert.Equal(t, f.phase(), Phase(RolledBack{}))
		assert.Equal(t, f.sent["v2"], 0)
	}
	f := newSimFleet(3, 5)
	f.place("v2", 1e18)
	took := f.runUntil(t, f.final)
	assert.Equal(t, f.phase(), Phase(Done{}))
	assert.Assert(t, took > maxTrial && took < maxTrial+5*time.Second, "took %v", took)
}

// Guards against evidence that is lost on the way to the coordinator.
func TestReportJSON(t *testing.T) {
	report := newBenchReports(1, "v2")[0]
	data, err := json.Marshal(report)
	assert.NilError(t, err)
	var read Report
	assert.NilError(t, json.Unmarshal(data, &read))
	assert.DeepEqual(t, read, *report)
	assert.Assert(t, json.Unmarshal([]byte(`{"answers":1,"failures":0,"latencies":[64,1]}`), &Results{}) != nil)
}

// Guards against a service that is without targets after its only versions have been replaced without an order, or while the
// registrations lapse for a moment.
func TestVersionsInService(t *testing.T) {
	now := time.Unix(0, 0)
	var v Versions
	target := func(version string, startedAt int64) Target {
		return Target{
			Service:   "s",
			Version:   version,
			StartedAt: startedAt,
		}
	}
	v.Update(now, []Target{target("v2", 20), target("v1", 10)})
	assert.DeepEqual(t, v.InService("s"), []string{"v1"})
	v.Update(now, []Target{target("v2", 20)})
	v.Update(now.Add(5*time.Second), []Target{target("v2", 20)})
	v.Update(now.Add(6*time.Second), []Target{target("v1", 30), target("v2", 20)})
	assert.DeepEqual(t, v.InService("s"), []string{"v1"}) // the registrations are back
	v.Update(now.Add(7*time.Second), []Target{target("v2", 20)})
	v.Update(now.Add(18*time.Second), []Target{target("v2", 20)})
	assert.DeepEqual(t, v.InService("s"), []string{"v2"})
}
