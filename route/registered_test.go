package route

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
)

const (
	registeredAim      = 400 * time.Millisecond
	registeredDeadline = 1600 * time.Millisecond
	registeredSlots    = 4
)

// registeredSpecs returns n registered targets in a failure domain.
func registeredSpecs(domain string, n int) []Target {
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

// reports lets the target report its load at the time.
func reports(t *Table, now time.Time, name string, active int, slowness float64) Event {
	return t.Observe(now, name, outcome.Report{
		Instance: name + ".1",
		Phase:    outcome.PhaseWarm,
		Active:   active,
		Slots:    registeredSlots,
		Slowdown: slowness,
	})
}

// calls is a call that arrived a time ago.
func calls(age time.Duration) Query {
	return Query{
		Idempotent:         true,
		Kind:               "stock",
		LatencyObjective:   registeredAim,
		TimeToSoftDeadline: registeredAim - age,
		TimeToDeadline:     registeredDeadline - age,
	}
}

// learn lets the table measure that calls usually take a time.
func learn(t *testing.T, table *Table, now time.Time, name string, work time.Duration) {
	t.Helper()
	for range 200 {
		reports(table, now, name, 0, 1)
		p, reason := table.Pick(now, "stock", calls(0))
		assert.Assert(t, p != nil, "%v", reason)
		p.Done(now, took(work))
	}
}

// Guards against calls that take a slot for a second of a slow spell and are cut off at the deadline, while waiting for its
// end would have answered four of them. Load: one target with free slots whose host's neighbours are busy.
func TestSlowSpell(t *testing.T) {
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
			name:     "late and a slow spell",
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
			table := registeredTable(registeredSpecs("a", 1)...)
			learn(t, table, epoch, "a0", 150*time.Millisecond)
			now := epoch.Add(time.Second)
			reports(table, now, "a0", 0, tt.slowness)
			p, reason := table.Pick(now, "stock", calls(tt.age))
			assert.Equal(t, p != nil, tt.want, "%v", reason)
			if p == nil {
				assert.Equal(t, reason, outcome.QueueFull)
			}
		})
	}
}

// Guards against a target that is left out for a lost packet, and against one that is sent to although it is gone.
func TestMissedReads(t *testing.T) {
	table := registeredTable(registeredSpecs("a", 1)...)
	reports(table, epoch, "a0", 0, 1)
	usable := func(now time.Time) bool {
		p, _ := table.Pick(now, "stock", calls(0))
		return p != nil
	}
	now := epoch.Add(100 * time.Millisecond)
	assert.Equal(t, table.LoadReadFailed(now, now, "a0"), nil)
	assert.Assert(t, usable(now), "left out after one missed read")
	assert.Equal(t, table.LoadReadFailed(now, now, "a0"), Unreachable{
		Target: "a0",
	})
	assert.Assert(t, !usable(now), "used after two missed reads")
	_, due := table.LoadReadCandidates(now.Add(absentFloor-time.Millisecond), "stock", calls(0))
	assert.Equal(t, len(due), 0)
	_, due = table.LoadReadCandidates(now.Add(absentFloor+time.Millisecond), "stock", calls(0))
	assert.DeepEqual(t, due, []string{"a0"})
	now = now.Add(2 * absentFloor)
	assert.Equal(t, reports(table, now, "a0", 0, 1), Recovered{
		Target:   "a0",
		Downtime: 2 * absentFloor,
	})
	assert.Assert(t, usable(now))
	now = now.Add(2 * absentGrace)
	assert.Equal(t, table.LoadReadFailed(now, now, "a0"), Unreachable{
		Target: "a0",
	}, "a read is missed although the last answer is old")
}

// Guards against calls that are refused because the machine of the entry paused for a moment while several load reads were
// under way. Load: as recorded in TestOverload on a busy machine, where reads of a target that failed within 5 ms of each
// other made it absent and counted as several, and all calls that waited were refused with 900 ms left.
func TestMissedTogether(t *testing.T) {
	table := registeredTable(registeredSpecs("a", 1)...)
	reports(table, epoch, "a0", 0, 1)
	full := table.ExpectedThroughput(epoch, "stock", calls(0))
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
	assert.Equal(t, table.ExpectedThroughput(now, "stock", calls(0)), full, "calls are refused before a read that was sent since then fails")
	_, due := table.LoadReadCandidates(lost.Add(absentFloor+time.Millisecond), "stock", calls(0))
	assert.DeepEqual(t, due, []string{"a0"})

	sent = lost.Add(absentFloor)
	now = sent.Add(20 * time.Millisecond)
	assert.Equal(t, table.LoadReadFailed(now, sent, "a0"), nil)
	assert.Equal(t, table.ExpectedThroughput(now, "stock", calls(0)), 0.0)
}

// Guards against targets that count as slow because calls with hardly any work take the time of the way, and against a
// target whose reports hide that it is slow. Load: a kind of call that takes 1 ms and whose way takes 20 ms.
func TestDrag(t *testing.T) {
	table := registeredTable(registeredSpecs("a", 2)...)
	now := epoch
	pick := func() *Permit {
		now = now.Add(100 * time.Millisecond)
		reports(table, now, "a0", 0, 1)
		reports(table, now, "a1", registeredSlots, 1)
		q := calls(0)
		q.LatencyObjective, q.TimeToDeadline = 0, 0
		p, reason := table.Pick(now, "stock", q)
		assert.Assert(t, p != nil && p.Target == "a0", "%v", reason)
		return p
	}
	learn(t, table, now, "a0", time.Millisecond)
	for range 10 {
		pick().Done(now, took(20*time.Millisecond))
	}
	assert.Equal(t, pick().Estimate.LatencyRatio, 1.0)

	learn(t, table, now, "a0", 100*time.Millisecond)
	for range 3 {
		pick().Done(now, took(600*time.Millisecond))
	}
	slow := 0
	for range 1000 {
		reports(table, now, "a0", 0, 1)
		reports(table, now, "a1", 0, 1)
		p, _ := table.Pick(now, "stock", calls(0))
		if p.Target == "a0" {
			slow++
		}
		p.Done(now, Result{
			Kind: Canceled,
		})
	}
	assert.Assert(t, slow < 10, "%d of 1000 calls at a target that is slow", slow)
	now = now.Add(3 * dragMemory)
	drag := pick().Estimate.LatencyRatio
	assert.Assert(t, drag < 1.2, "drag %.2f after %v without calls", drag, 3*dragMemory)
}

// Guards against bytes between failure domains that cost more than the answers are worth, and against calls that fail
// because they wait for a target in their own domain. Load: all targets of the own failure domain are full.
func TestStaysNear(t *testing.T) {
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
			name: "large near its aim",
			size: 40_000,
			age:  300 * time.Millisecond,
			want: true,
		},
		{
			name: "very large near its aim",
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
			name:  "large without targets nearby",
			size:  100_000,
			alone: true,
			want:  true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near := registeredSpecs("a", 2)
			for i := range near {
				near[i].Leaving = tt.alone
			}
			table := registeredTable(append(near, registeredSpecs("b", 2)...)...)
			now := epoch
			for _, name := range []string{"a0", "a1"} {
				reports(table, now, name, registeredSlots, 1)
			}
			for _, name := range []string{"b0", "b1"} {
				reports(table, now, name, 0, 1)
			}
			q := calls(tt.age)
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
		table := registeredTable(registeredSpecs("a", targets)...)
		table.SetPosition(i, entries)
		seen := map[string]bool{}
		for range 1000 {
			p, _ := table.Pick(epoch, "stock", calls(0))
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
	assert.Equal(t, len(use), targets, "targets that are used")
	for name, n := range use {
		assert.Assert(t, n <= 3, "%s is used by %d entries", name, n)
	}
}

// Guards against an aperture that stays as it is while all targets in it are full.
func TestApertureFull(t *testing.T) {
	table := registeredTable(registeredSpecs("a", 2*ApertureSize)...)
	for i := range ApertureSize * registeredSlots {
		p, reason := table.Pick(epoch, "stock", calls(0))
		assert.Assert(t, p != nil, "call %d: %v", i, reason)
	}
	p, reason := table.Pick(epoch, "stock", calls(0))
	assert.Assert(t, p != nil, "%v", reason)
}

// Guards against a cold target that gets more calls than it bears. Load: four entries that share it and send all they can.
func TestColdRate(t *testing.T) {
	cold := registeredSpecs("a", 1)
	cold[0].ColdUntil = epoch.Add(10 * time.Second)
	var tables []*Table
	for range coldSharers {
		tables = append(tables, registeredTable(cold...))
	}
	var sent []time.Time
	for now := epoch; now.Before(cold[0].ColdUntil); now = now.Add(10 * time.Millisecond) {
		for _, table := range tables {
			reports(table, now, "a0", 0, 1)
			if p, _ := table.Pick(now, "stock", calls(0)); p != nil {
				assert.Assert(t, p.Estimate.Cold)
				sent = append(sent, now)
				p.Done(now, took(time.Millisecond))
			}
		}
	}
	want := int(10 * cold[0].ColdRate)
	assert.Assert(t, len(sent) > want/2 && len(sent) <= want+coldSharers, "%d calls, want %d", len(sent), want)
	p, reason := tables[0].Pick(cold[0].ColdUntil, "stock", calls(0))
	assert.Assert(t, p != nil && !p.Estimate.Cold, "still cold after its time: %v", reason)
}

// Guards against calls to the process that now listens at the address of another one.
func TestStrangeInstance(t *testing.T) {
	table := registeredTable(registeredSpecs("a", 1)...)
	table.Observe(epoch, "a0", from("other"))
	_, reason := table.Pick(epoch, "stock", calls(0))
	assert.Equal(t, reason, outcome.Drained)
	reports(table, epoch, "a0", 0, 1)
	p, reason := table.Pick(epoch, "stock", calls(0))
	assert.Assert(t, p != nil, "%v", reason)
}

// Guards against load reads without use: of targets whose report is fresh, of more than a few, and while a target is known
// to be idle.
func TestSurvey(t *testing.T) {
	table := registeredTable(registeredSpecs("a", 6)...)
	survey := func(now time.Time) int {
		names, _ := table.LoadReadCandidates(now, "stock", calls(0))
		return len(names)
	}
	assert.Equal(t, survey(epoch), surveySize)
	for i := range 6 {
		reports(table, epoch, fmt.Sprintf("a%d", i), registeredSlots-1, 1)
	}
	assert.Equal(t, survey(epoch), 0)
	assert.Equal(t, survey(epoch.Add(2*surveyAge)), surveySize)
	reports(table, epoch.Add(2*surveyAge), "a3", 0, 1)
	assert.Equal(t, survey(epoch.Add(2*surveyAge)), 0)
}

// Guards against a call that will be late in a slot that has just become free, which a call of another entry that can be in
// time needs, and against a late call that waits although nobody else wants the slot.
func TestLateTurn(t *testing.T) {
	table := registeredTable(registeredSpecs("a", 1)...)
	now := epoch
	learn(t, table, now, "a0", 100*time.Millisecond)
	tests := []struct {
		age   time.Duration // of the call
		after time.Duration // since the slot became free
		want  bool
	}{
		{
			age:   0,
			after: 0,
			want:  true,
		},
		{
			age:   registeredAim,
			after: 0,
			want:  false,
		},
		{
			age:   registeredAim,
			after: lateTurn / 2,
			want:  false,
		},
		{
			age:   registeredAim,
			after: lateTurn,
			want:  true,
		},
	}
	for _, test := range tests {
		now = now.Add(time.Minute)
		reports(table, now, "a0", registeredSlots, 1)
		now = now.Add(time.Millisecond)
		reports(table, now, "a0", registeredSlots-1, 1)
		now = now.Add(test.after)
		reports(table, now, "a0", registeredSlots-1, 1)
		p, _ := table.Pick(now, "stock", calls(test.age))
		assert.Equal(t, p != nil, test.want, "call of age %s, %s after the slot became free", test.age, test.after)
		if p != nil {
			p.Done(now, Result{
				Kind: Canceled,
			})
		}
	}
}
