package route

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkbeam/outcome"
)

const (
	registeredObjective = 400 * time.Millisecond
	registeredDeadline  = 1600 * time.Millisecond
	registeredSlots     = 4
)

// registeredTargets returns n registered targets in a failure domain.
func registeredTargets(domain string, n int) []Target {
	list := make([]Target, n)
	for i := range list {
		list[i] = Target{
			Name:     fmt.Sprintf("%s%d", domain, i),
			Service:  "stock",
			Domain:   domain,
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+i)),
			Slots:    registeredSlots,
			ColdRate: 2,
			Instance: fmt.Sprintf("%s%d.1", domain, i),
		}
	}
	return list
}

// registeredTable returns the table of an entry in failure domain a.
func registeredTable(targets ...Target) *Table {
	t := New(Options{
		Entries: 2,
		Domain:  "a",
	})
	t.SetLeaseFunc(func(time.Time, string) (time.Time, bool) { return time.Time{}, true })
	t.SetTargets(epoch, targets)
	return t
}

// observeLoad records a report of the target with the given load.
func observeLoad(t *Table, now time.Time, name string, active int, slowdown float64) Event {
	return t.Observe(now, name, outcome.Report{
		Instance: name + ".1",
		Phase:    outcome.PhaseWarm,
		Active:   active,
		Slots:    registeredSlots,
		Slowdown: slowdown,
	})
}

// queryAged describes a call that arrived the given time ago.
func queryAged(age time.Duration) Query {
	return Query{
		Idempotent:         true,
		Kind:               "stock",
		LatencyObjective:   registeredObjective,
		TimeToSoftDeadline: registeredObjective - age,
		TimeToDeadline:     registeredDeadline - age,
	}
}

// learnServiceTime makes calls with the given service time until the table has learned it.
func learnServiceTime(t *testing.T, table *Table, now time.Time, name string, serviceTime time.Duration) {
	t.Helper()
	for range 200 {
		observeLoad(table, now, name, 0, 1)
		p, reason := table.Pick(now, "stock", queryAged(0))
		assert.Assert(t, p != nil, "%v", reason)
		p.Done(now, succeededAfter(serviceTime))
	}
}

// Guards against calls that hold a slot for a second during a slow period and are canceled at the deadline, although
// four calls could have been answered after its end. Load: one target with free slots on a host with busy neighbors.
func TestSlowPeriod(t *testing.T) {
	tests := []struct {
		name     string
		age      time.Duration
		slowness float64
		want     bool
	}{
		{
			name:     "not slow",
			slowness: 1,
			want:     true,
		},
		{
			name:     "in time although slow",
			slowness: 2,
			want:     true,
		},
		{
			name:     "late if placed now, in time if it waits",
			slowness: 4,
		},
		{
			name:     "late during a slow period",
			age:      500 * time.Millisecond,
			slowness: 4,
		},
		{
			name:     "late and not slow",
			age:      500 * time.Millisecond,
			slowness: 1,
			want:     true,
		},
		{
			name:     "cannot be answered before the deadline while it is slow",
			age:      registeredDeadline - 250*time.Millisecond,
			slowness: 3,
		},
		{
			name:     "can be answered before the deadline at the usual speed",
			age:      registeredDeadline - 250*time.Millisecond,
			slowness: 1,
			want:     true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := registeredTable(registeredTargets("a", 1)...)
			learnServiceTime(t, table, epoch, "a0", 150*time.Millisecond)
			now := epoch.Add(time.Second)
			observeLoad(table, now, "a0", 0, tt.slowness)
			p, reason := table.Pick(now, "stock", queryAged(tt.age))
			assert.Equal(t, p != nil, tt.want, "%v", reason)
			if p == nil {
				assert.Equal(t, reason, outcome.QueueFull)
			}
		})
	}
}

// Guards against excluding a target because of one lost packet, and against calls to a target that is gone.
func TestMissedReads(t *testing.T) {
	table := registeredTable(registeredTargets("a", 1)...)
	observeLoad(table, epoch, "a0", 0, 1)
	usable := func(now time.Time) bool {
		p, _ := table.Pick(now, "stock", queryAged(0))
		return p != nil
	}
	now := epoch.Add(100 * time.Millisecond)
	assert.Equal(t, table.LoadReadFailed(now, now, "a0"), nil)
	assert.Assert(t, usable(now), "excluded after one missed read")
	assert.Equal(t, table.LoadReadFailed(now, now, "a0"), Unreachable{
		Target: "a0",
	})
	assert.Assert(t, !usable(now), "used after two missed reads")
	due := table.LoadReads(now.Add(minUnreachableBackoff-time.Millisecond), "stock", queryAged(0), nil).Background
	assert.Equal(t, len(due), 0)
	due = table.LoadReads(now.Add(minUnreachableBackoff+time.Millisecond), "stock", queryAged(0), nil).Background
	assert.DeepEqual(t, due, []string{"a0"})
	now = now.Add(2 * minUnreachableBackoff)
	assert.Equal(t, observeLoad(table, now, "a0", 0, 1), Recovered{
		Target:   "a0",
		Downtime: 2 * minUnreachableBackoff,
	})
	assert.Assert(t, usable(now))
	now = now.Add(2 * missedReadGrace)
	assert.Equal(t, table.LoadReadFailed(now, now, "a0"), Unreachable{
		Target: "a0",
	}, "a read may be missed although the last response is old")
}

// Guards against refusing calls because the machine of the entry paused while several load reads were in flight.
// TestOverload has shown this on a busy machine: load reads of one target that failed within 5 ms of each other made it
// unreachable and counted separately, and all waiting calls were refused with 900 ms left.
func TestConcurrentMissedReads(t *testing.T) {
	table := registeredTable(registeredTargets("a", 1)...)
	observeLoad(table, epoch, "a0", 0, 1)
	full := table.ExpectedThroughput(epoch, "stock", queryAged(0))
	assert.Assert(t, full > 0)
	sent := epoch.Add(30 * time.Millisecond)
	now := sent.Add(20 * time.Millisecond)
	assert.Equal(t, table.LoadReadFailed(now, sent, "a0"), nil)
	lost := now.Add(time.Millisecond)
	assert.Equal(t, table.LoadReadFailed(lost, sent.Add(time.Millisecond), "a0"), Unreachable{
		Target: "a0",
	})
	for i := range 4 {
		now = lost.Add(time.Duration(i) * time.Millisecond)
		assert.Equal(t, table.LoadReadFailed(now, sent.Add(5*time.Millisecond), "a0"), nil)
	}
	assert.Equal(t, table.ExpectedThroughput(now, "stock", queryAged(0)), full,
		"throughput drops before a later load read has failed")
	due := table.LoadReads(lost.Add(minUnreachableBackoff+time.Millisecond), "stock", queryAged(0), nil).Background
	assert.DeepEqual(t, due, []string{"a0"})

	sent = lost.Add(minUnreachableBackoff)
	now = sent.Add(20 * time.Millisecond)
	assert.Equal(t, table.LoadReadFailed(now, sent, "a0"), nil)
	assert.Equal(t, table.ExpectedThroughput(now, "stock", queryAged(0)), 0.0)
}

// Guards against targets that count as slow because the network round trip dominates very short calls, and against a
// target whose reports hide that it is slow. Load: a kind of call with a service time of 1 ms and a round trip of 20
// ms.
func TestLatencyRatio(t *testing.T) {
	table := registeredTable(registeredTargets("a", 2)...)
	now := epoch
	pick := func() *Permit {
		now = now.Add(100 * time.Millisecond)
		observeLoad(table, now, "a0", 0, 1)
		observeLoad(table, now, "a1", registeredSlots, 1)
		q := queryAged(0)
		q.LatencyObjective, q.TimeToDeadline = 0, 0
		p, reason := table.Pick(now, "stock", q)
		assert.Assert(t, p != nil && p.Target == "a0", "%v", reason)
		return p
	}
	learnServiceTime(t, table, now, "a0", time.Millisecond)
	for range 10 {
		pick().Done(now, succeededAfter(20*time.Millisecond))
	}
	assert.Equal(t, pick().Estimate.LatencyRatio, 1.0)

	learnServiceTime(t, table, now, "a0", 100*time.Millisecond)
	for range 3 {
		pick().Done(now, succeededAfter(600*time.Millisecond))
	}
	slow := 0
	for range 1000 {
		observeLoad(table, now, "a0", 0, 1)
		observeLoad(table, now, "a1", 0, 1)
		p, _ := table.Pick(now, "stock", queryAged(0))
		if p.Target == "a0" {
			slow++
		}
		p.Done(now, Result{
			Kind: Canceled,
		})
	}
	assert.Assert(t, slow < 10, "%d of 1000 calls went to a slow target", slow)
	now = now.Add(3 * latencyRatioTimeConstant)
	ratio := pick().Estimate.LatencyRatio
	assert.Assert(t, ratio < 1.2, "latency ratio %.2f after %v without calls", ratio, 3*latencyRatioTimeConstant)
}

// Guards against traffic between failure domains that costs more than the responses are worth, and against calls that
// fail because they wait for a target in their own domain. Load: all targets of the own failure domain are full.
func TestWaitsForOwnDomain(t *testing.T) {
	tests := []struct {
		name  string
		size  int
		age   time.Duration
		alone bool // no target of the own failure domain is in operation
		want  bool
	}{
		{
			name: "small",
			size: 100,
			want: true,
		},
		{
			name: "large with time left",
			size: 40_000,
		},
		{
			name: "large near its soft deadline",
			size: 40_000,
			age:  300 * time.Millisecond,
			want: true,
		},
		{
			name: "very large near its soft deadline",
			size: 100_000,
			age:  300 * time.Millisecond,
		},
		{
			name: "very large near its deadline",
			size: 100_000,
			age:  registeredDeadline - 250*time.Millisecond,
			want: true,
		},
		{
			name:  "large without targets in the own domain",
			size:  100_000,
			alone: true,
			want:  true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near := registeredTargets("a", 2)
			for i := range near {
				near[i].Leaving = tt.alone
			}
			table := registeredTable(append(near, registeredTargets("b", 2)...)...)
			now := epoch
			for _, name := range []string{"a0", "a1"} {
				observeLoad(table, now, name, registeredSlots, 1)
			}
			for _, name := range []string{"b0", "b1"} {
				observeLoad(table, now, name, 0, 1)
			}
			q := queryAged(tt.age)
			q.BodySize = tt.size
			q.Kind = ""
			p, _ := table.Pick(now, "stock", q)
			assert.Equal(t, p != nil, tt.want)
		})
	}
}

// Guards against targets that no entry uses, and against entries that use far more targets than one aperture. Load: 300
// targets in a failure domain with 50 entries.
func TestAperture(t *testing.T) {
	const entries, targets = 50, 300
	use := map[string]int{}
	for i := range entries {
		table := registeredTable(registeredTargets("a", targets)...)
		table.SetPosition(i, entries)
		seen := map[string]bool{}
		for range 1000 {
			p, _ := table.Pick(epoch, "stock", queryAged(0))
			seen[p.Target] = true
			p.Done(epoch, Result{
				Kind: Canceled,
			})
		}
		assert.Assert(t, len(seen) <= ApertureSize, "entry %d uses %d targets", i, len(seen))
		for name := range seen {
			use[name]++
		}
	}
	assert.Equal(t, len(use), targets, "number of targets in use")
	for name, n := range use {
		assert.Assert(t, n <= 3, "%s is used by %d entries", name, n)
	}
}

// Guards against an aperture that does not grow while all targets in it are full.
func TestApertureFull(t *testing.T) {
	table := registeredTable(registeredTargets("a", 2*ApertureSize)...)
	for i := range ApertureSize * registeredSlots {
		p, reason := table.Pick(epoch, "stock", queryAged(0))
		assert.Assert(t, p != nil, "call %d: %v", i, reason)
	}
	p, reason := table.Pick(epoch, "stock", queryAged(0))
	assert.Assert(t, p != nil, "%v", reason)
}

// Guards against a cold target that gets more calls than its rate. Load: four entries that share it and send as many
// calls as they can.
func TestColdRate(t *testing.T) {
	cold := registeredTargets("a", 1)
	cold[0].ColdUntil = epoch.Add(10 * time.Second)
	var tables []*Table
	for range sendersPerColdTarget {
		tables = append(tables, registeredTable(cold...))
	}
	var sent []time.Time
	for now := epoch; now.Before(cold[0].ColdUntil); now = now.Add(10 * time.Millisecond) {
		for _, table := range tables {
			observeLoad(table, now, "a0", 0, 1)
			if p, _ := table.Pick(now, "stock", queryAged(0)); p != nil {
				assert.Assert(t, p.Estimate.Cold)
				sent = append(sent, now)
				p.Done(now, succeededAfter(time.Millisecond))
			}
		}
	}
	want := int(10 * cold[0].ColdRate)
	assert.Assert(t, len(sent) > want/2 && len(sent) <= want+sendersPerColdTarget, "%d calls, want %d", len(sent), want)
	p, reason := tables[0].Pick(cold[0].ColdUntil, "stock", queryAged(0))
	assert.Assert(t, p != nil && !p.Estimate.Cold, "still cold after the cold start: %v", reason)
}

// Guards against calls to a process that now listens at the address of another instance.
func TestWrongInstance(t *testing.T) {
	table := registeredTable(registeredTargets("a", 1)...)
	table.Observe(epoch, "a0", instanceReport("other"))
	_, reason := table.Pick(epoch, "stock", queryAged(0))
	assert.Equal(t, reason, outcome.Drained)
	observeLoad(table, epoch, "a0", 0, 1)
	p, reason := table.Pick(epoch, "stock", queryAged(0))
	assert.Assert(t, p != nil, "%v", reason)
}

// Guards against unnecessary load reads: of targets with a recent report, of more than a few targets, while a target is
// known to be idle, and of full targets again and again.
func TestLoadReads(t *testing.T) {
	table := registeredTable(registeredTargets("a", 6)...)
	reads := func(now time.Time) int {
		names := table.LoadReads(now, "stock", queryAged(0), nil).Targets
		return len(names)
	}
	assert.Equal(t, reads(epoch), MaxLoadReads)
	for i := range 6 {
		observeLoad(table, epoch, fmt.Sprintf("a%d", i), registeredSlots-1, 1)
	}
	assert.Equal(t, reads(epoch), 0)
	assert.Equal(t, reads(epoch.Add(2*maxReportAge)), MaxLoadReads)
	observeLoad(table, epoch.Add(2*maxReportAge), "a3", 0, 1)
	assert.Equal(t, reads(epoch.Add(2*maxReportAge)), 0)
	// While all are full, their calls take longer than a few reads.
	for i := range 6 {
		observeLoad(table, epoch, fmt.Sprintf("a%d", i), registeredSlots, 1)
	}
	assert.Equal(t, reads(epoch.Add(fullRecheckInterval)), 0)
	assert.Equal(t, reads(epoch.Add(fullRecheckInterval+time.Millisecond)), MaxLoadReads)
}

// Guards against a call that is placed by an estimate while a target that is just as good is known to be idle, or before the
// read of a target that may be better has ended.
func TestRecentReportFirst(t *testing.T) {
	for range 50 {
		table := registeredTable(registeredTargets("a", 2)...)
		observeLoad(table, epoch, "a0", 0, 1)
		p, reason := table.Pick(epoch, "stock", queryAged(0))
		assert.Assert(t, p != nil, "%v", reason)
		assert.Equal(t, p.Target, "a0")
	}
	table := registeredTable(registeredTargets("a", 2)...)
	observeLoad(table, epoch, "a1", 0, 1)
	observeLoad(table, epoch.Add(time.Second), "a0", 0, maxIdleSlowdown)
	now := epoch.Add(time.Second)
	reading := []string{"a1"}
	assert.Assert(t, !table.LoadReads(now, "stock", queryAged(0), reading).Idle)
	observeLoad(table, now, "a1", 0, 1)
	assert.Assert(t, table.LoadReads(now, "stock", queryAged(0), reading).Idle)
}

// Guards against a late call that takes a slot as soon as it becomes free, although a call of another entry could still
// meet its soft deadline there. Also guards against a late call that keeps waiting for a slot that nobody else wants.
func TestLateCallHoldoff(t *testing.T) {
	table := registeredTable(registeredTargets("a", 1)...)
	now := epoch
	learnServiceTime(t, table, now, "a0", 100*time.Millisecond)
	tests := []struct {
		age   time.Duration // age of the call
		after time.Duration // time since the slot became free
		want  bool
	}{
		{
			age:   0,
			after: 0,
			want:  true,
		},
		{
			age:   registeredObjective,
			after: 0,
			want:  false,
		},
		{
			age:   registeredObjective,
			after: lateCallHoldoff / 2,
			want:  false,
		},
		{
			age:   registeredObjective,
			after: lateCallHoldoff,
			want:  true,
		},
	}
	for _, tt := range tests {
		now = now.Add(time.Minute)
		observeLoad(table, now, "a0", registeredSlots, 1)
		now = now.Add(time.Millisecond)
		observeLoad(table, now, "a0", registeredSlots-1, 1)
		now = now.Add(tt.after)
		observeLoad(table, now, "a0", registeredSlots-1, 1)
		p, _ := table.Pick(now, "stock", queryAged(tt.age))
		assert.Equal(t, p != nil, tt.want, "call of age %s, %s after the slot became free", tt.age, tt.after)
		if p != nil {
			p.Done(now, Result{
				Kind: Canceled,
			})
		}
	}
}

// Guards against a call that waits until its deadline for a target that never answers, because the entry has too few
// calls to have measured how long they take. Load: an entry that has just started, with two calls a second.
func TestHedgeDelayUnmeasured(t *testing.T) {
	const serviceTime = 100 * time.Millisecond
	table := registeredTable(registeredTargets("a", 2)...)
	observeLoad(table, epoch, "a0", 0, 1)
	observeLoad(table, epoch, "a1", 0, 4)
	for calls := range minLatencySamples + 1 {
		p, reason := table.Pick(epoch, "stock", queryAged(0))
		assert.Assert(t, p != nil, "%v", reason)
		expected := p.Estimate.ExpectedLatency
		delay, ok := table.HedgeDelay("stock", p.Estimate)
		assert.Assert(t, ok)
		if calls < minLatencySamples {
			assert.Equal(t, delay, unmeasuredHedgeFactor*expected, "after %d calls", calls)
			assert.Assert(t, delay < registeredDeadline)
		} else {
			assert.Assert(t, delay < 2*serviceTime, "the 95th percentile, not %s", delay)
		}
		p.Done(epoch, succeededAfter(serviceTime))
	}
	_, ok := table.HedgeDelay("stock", Estimate{})
	assert.Assert(t, ok, "measured")
	_, ok = registeredTable(registeredTargets("a", 2)...).HedgeDelay("stock", Estimate{})
	assert.Assert(t, !ok, "neither measured nor expected")
}

// Guards against a table that depends on how it was filled: changes one by one must lead to the same targets, in the
// same order, as the whole list at once.
func TestUpdateTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updated, replaced := registeredTable(), registeredTable()
		current := map[string]Target{}
		for range rapid.IntRange(1, 20).Draw(t, "updates") {
			var changed []Target
			var removed []string
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 15), 0, 5, rapid.ID).Draw(t, "targets") {
				name := fmt.Sprint("t", i)
				if rapid.IntRange(0, 2).Draw(t, "change") == 0 {
					removed = append(removed, name)
					delete(current, name)
					continue
				}
				spec := Target{
					Name:     name,
					Service:  rapid.SampledFrom([]string{"stock", "orders"}).Draw(t, "service"),
					Domain:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"),
					Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(rapid.IntRange(7000, 7003).Draw(t, "port"))),
					Slots:    2,
					Instance: name,
					Leaving:  rapid.Bool().Draw(t, "leaving"),
				}
				changed = append(changed, spec)
				current[name] = spec
			}
			updated.UpdateTargets(epoch, changed, removed)
			replaced.SetTargets(epoch, slices.Collect(maps.Values(current)))
			have, want := updated.view.Load(), replaced.view.Load()
			assert.Equal(t, len(have.targets), len(want.targets))
			assert.Equal(t, len(have.services), len(want.services))
			for name, s := range want.services {
				assert.Equal(t, have.services[name].ownTargets, s.ownTargets)
				assert.Equal(t, len(have.services[name].targets), len(s.targets))
				for i, tgt := range s.targets {
					other := have.services[name].targets[i].Target
					assert.Assert(t, other == tgt.Target, "%v, not %v", other, tgt.Target)
				}
			}
		}
	})
}
