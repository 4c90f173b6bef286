package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
)

// versionTargets returns three registered targets of each version.
func versionTargets(versions ...string) []Target {
	var list []Target
	for _, version := range versions {
		for _, t := range registeredTargets("a"+version, 3) {
			t.Domain = "a"
			t.Version = version
			list = append(list, t)
		}
	}
	return list
}

// testBudget is a TrialBudget that allows a number of attempts.
type testBudget struct {
	left, taken, requested int
	stopped                bool
}

func (b *testBudget) MayTake(time.Time, string) bool { return b.left > b.taken }
func (b *testBudget) MaySend(time.Time) bool         { return !b.stopped }
func (b *testBudget) Took(string)                    { b.taken++ }
func (b *testBudget) Requested(string)               { b.requested++ }

func (b *testBudget) Group(_ time.Time, targets int) (first, count int) { return 0, min(targets, 2) }

func trialOf(budget *testBudget, never ...string) TrialVersion {
	return TrialVersion{
		OnlyVersions: OnlyVersions{
			Versions: []string{"1"},
			Never:    never,
		},
		To:     "2",
		Budget: budget,
	}
}

// pickVersions makes calls and returns how many each version got.
func pickVersions(t *testing.T, table *Table, n int, q Query) map[string]int {
	t.Helper()
	got := map[string]int{}
	for range n {
		p, reason := table.Pick(epoch, "stock", q)
		if p == nil {
			got[string(reason)]++
			continue
		}
		got[p.Version]++
		p.Done(epoch, succeededAfter(10*time.Millisecond))
	}
	return got
}

// Guards against calls at a version that is held, against refused calls while only such targets are ready, and against calls at
// a version that was rolled back, which must not get any even then.
func TestOnlyVersions(t *testing.T) {
	table := registeredTable(versionTargets("1", "2")...)
	table.SetVersionPolicy("stock", OnlyVersions{
		Versions: []string{"1"},
	})
	assert.DeepEqual(t, pickVersions(t, table, 50, queryAged(0)), map[string]int{"1": 50})
	for _, name := range table.LoadReads(epoch, "stock", queryAged(0), nil).Targets {
		assert.Equal(t, name[:2], "a1", "load read of a target that is held")
	}
	// The last targets of the version in service say that they leave: the registry has not heard of it.
	for _, name := range []string{"a10", "a11", "a12"} {
		table.Observe(epoch, name, outcome.Report{
			Instance: name + ".1",
			Leaving:  true,
		})
	}
	assert.DeepEqual(t, pickVersions(t, table, 50, queryAged(0)), map[string]int{"2": 50})
	// Others of the version register.
	table.SetTargets(epoch, append(versionTargets("2"), registeredTargets("b", 1)[0].withVersion("1")))
	assert.DeepEqual(t, pickVersions(t, table, 50, queryAged(0)), map[string]int{"1": 50})
	table.SetTargets(epoch, versionTargets("2"))
	assert.DeepEqual(t, pickVersions(t, table, 50, queryAged(0)), map[string]int{"2": 50})
	table.SetVersionPolicy("stock", OnlyVersions{
		Versions: []string{"1"},
		Never:    []string{"2"},
	})
	assert.DeepEqual(t, pickVersions(t, table, 50, queryAged(0)), map[string]int{string(outcome.Drained): 50})
}

func (t Target) withVersion(version string) Target {
	t.Version = version
	return t
}

// Guards against calls that are refused while it is not known which version is in service, instead of waiting a moment.
func TestNoVersions(t *testing.T) {
	table := registeredTable(versionTargets("1", "2")...)
	table.SetVersionPolicy("stock", NoVersions{})
	assert.DeepEqual(t, pickVersions(t, table, 5, queryAged(0)), map[string]int{string(outcome.QueueFull): 5})
	assert.Assert(t, table.ExpectedThroughput(epoch, "stock", queryAged(0)) > 0)
	table.SetVersionPolicy("stock", AllVersions{})
	assert.Equal(t, pickVersions(t, table, 50, queryAged(0))["queue"], 0)
}

// Guards against an exposure beyond the budget of the trial: by first attempts, retries, hedges and attempts that were not
// written yet when the trial was suspended.
func TestTrialVersion(t *testing.T) {
	table := registeredTable(versionTargets("1", "2")...)
	budget := &testBudget{
		left: 7,
	}
	table.SetVersionPolicy("stock", trialOf(budget))
	for _, name := range table.LoadReads(epoch, "stock", queryAged(0), nil).Targets {
		assert.Equal(t, name[:2], "a2", "the load is read of targets to which the call does not go")
	}
	got := pickVersions(t, table, 50, queryAged(0))
	assert.DeepEqual(t, got, map[string]int{"1": 43, "2": 7})
	assert.Equal(t, budget.requested, 50)
	assert.Equal(t, budget.taken, 7)

	budget.left = 1000
	retry := queryAged(0)
	retry.Redispatch = true
	assert.DeepEqual(t, pickVersions(t, table, 50, retry), map[string]int{"1": 50})
	hedge := queryAged(0)
	hedge.Tried = []string{"a10"}
	for range 5 {
		if p := table.Hedge(epoch, "stock", hedge); p != nil {
			assert.Equal(t, p.Version, "1")
			p.Done(epoch, succeededAfter(10*time.Millisecond))
		}
	}
	assert.Equal(t, budget.requested, 50)

	p, _ := table.Pick(epoch, "stock", queryAged(0))
	assert.Equal(t, p.Version, "2")
	assert.Equal(t, p.Reserve(epoch), outcome.Reason(""))
	budget.stopped = true
	assert.Equal(t, p.Reserve(epoch), outcome.VersionHeld)
}

// Guards against attempts at old targets that are written after all calls have moved to the new version, and against calls in
// flight there that are not counted because their targets are no longer registered.
func TestInflightElsewhere(t *testing.T) {
	table := registeredTable(versionTargets("1", "2")...)
	table.SetVersionPolicy("stock", OnlyVersions{
		Versions: []string{"1"},
	})
	p, _ := table.Pick(epoch, "stock", queryAged(0))
	table.SetVersionPolicy("stock", OnlyVersions{
		Versions: []string{"2"},
		Never:    []string{"1"},
	})
	assert.Equal(t, p.Reserve(epoch), outcome.VersionHeld)
	assert.Equal(t, table.InflightElsewhere("stock", "2"), 1)
	table.SetTargets(epoch, versionTargets("2"))
	other, _ := table.Pick(epoch, "stock", queryAged(0))
	assert.Equal(t, other.Version, "2")
	assert.Equal(t, table.InflightElsewhere("stock", "2"), 1)
	p.Done(epoch, succeededAfter(time.Millisecond))
	assert.Equal(t, table.InflightElsewhere("stock", "2"), 0)
}

// Guards against a trial that sends more to a cold target than it stands, or that loses its part of the calls to it: the limit
// of cold targets holds as without a roll-out.
func TestTrialOfColdTargets(t *testing.T) {
	targets := versionTargets("1", "2")
	for i := range targets {
		if targets[i].Version == "2" {
			targets[i].ColdUntil = epoch.Add(time.Minute)
		}
	}
	table := registeredTable(targets...)
	table.SetVersionPolicy("stock", trialOf(&testBudget{
		left: 1000,
	}))
	got := pickVersions(t, table, 50, queryAged(0))
	assert.Equal(t, got["2"], 2, "one for each target that takes part")
	assert.Equal(t, got["1"], 48)
}

// Guards against calls of a trial in a drained failure domain.
func TestTrialInDrainedDomain(t *testing.T) {
	targets := versionTargets("1", "2")
	for i := range targets {
		targets[i].Drained = targets[i].Version == "2"
	}
	table := registeredTable(targets...)
	table.SetVersionPolicy("stock", trialOf(&testBudget{
		left: 1000,
	}))
	assert.DeepEqual(t, pickVersions(t, table, 50, queryAged(0)), map[string]int{"1": 50})
}

// Guards against slow answers of a trial that come from single machines: while the group of the trial says that it is slow, others
// of the version get the calls, as among the old targets. If all say so, the version is slow.
func TestTrialAvoidsSlowTargets(t *testing.T) {
	table := registeredTable(versionTargets("1", "2")...)
	table.SetVersionPolicy("stock", trialOf(&testBudget{
		left: 1000,
	}))
	group := map[string]bool{}
	for range 50 {
		p, _ := table.Pick(epoch, "stock", queryAged(0))
		group[p.Target] = true
		p.Done(epoch, succeededAfter(10*time.Millisecond))
	}
	assert.Equal(t, len(group), 2)
	for name := range group {
		assert.Equal(t, name[:2], "a2")
		observeLoad(table, epoch, name, 0, 5)
	}
	p, _ := table.Pick(epoch, "stock", queryAged(0))
	assert.Equal(t, p.Version, "2")
	assert.Assert(t, !group[p.Target])
	p.Done(epoch, succeededAfter(10*time.Millisecond))
	observeLoad(table, epoch, p.Target, 0, 5)
	p, _ = table.Pick(epoch, "stock", queryAged(0))
	assert.Equal(t, p.Version, "2", "all targets of the version are slow")
}
