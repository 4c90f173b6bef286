package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
)

// leased returns an Owner with a lease from one time to another.
func leased(from, until time.Time) LeaseFunc {
	return func(now time.Time, _ string) (time.Time, bool) {
		return until, !now.Before(from) && now.Before(until)
	}
}

func coldTable(owner LeaseFunc) *Table {
	table := New(Options{
		Entries: 6,
	})
	table.SetTargets(epoch, specs(1))
	table.SetLeaseFunc(owner)
	return table
}

// Guards against two owners at once: the old one's calls end with its lease, the new one waits. In the control the new
// owner does not wait, and the target that bears one call gets two.
func TestOwnerChange(t *testing.T) {
	const lease = 4 * time.Second
	for wait, want := range map[time.Duration]int{5 * time.Second: 1, 0: 2} {
		t.Run(fmt.Sprint("wait ", wait), func(t *testing.T) {
			tables := []*Table{
				coldTable(leased(epoch, epoch.Add(lease))),
				coldTable(leased(epoch.Add(time.Second+wait), epoch.Add(time.Minute))),
			}
			most := 0
			var open []*Permit
			for now := epoch; now.Before(epoch.Add(10 * time.Second)); now = now.Add(50 * time.Millisecond) {
				kept := open[:0]
				for _, p := range open {
					if now.Before(p.LeaseEnd) {
						kept = append(kept, p)
						continue
					}
					p.Done(now, Result{
						Kind: Canceled,
					})
				}
				open = kept
				for _, table := range tables {
					if p, _ := table.Pick(now, "stock", Query{}); p != nil {
						assert.Assert(t, p.Cold && p.LeaseEnd.After(now))
						open = append(open, p)
					}
				}
				most = max(most, len(open))
			}
			assert.Equal(t, want, most)
		})
	}
}

// Guards against a cold start that ends before its time, or while the target still says that it is cold, or that is not
// timed anew for a new instance.
func TestWarming(t *testing.T) {
	table := coldTable(leased(epoch, epoch.Add(time.Hour)))
	type step struct {
		after    time.Duration
		instance string
		phase    outcome.Phase
		want     Event
	}
	report := func(after time.Duration, instance string, phase outcome.Phase, want Event) step {
		return step{
			after:    after,
			instance: instance,
			phase:    phase,
			want:     want,
		}
	}
	steps := []step{
		report(0, "a", outcome.PhaseWarm, ColdDetected{"t0", "a", "", 0}),
		report(time.Millisecond, "a", outcome.PhaseWarm, nil),
		report(500*time.Millisecond, "b", outcome.PhaseWarm, ColdDetected{"t0", "b", "", 0}),
		report(time.Millisecond, "b", outcome.PhaseCold, nil),
		report(999*time.Millisecond, "b", outcome.PhaseWarm, nil),
		report(2*time.Millisecond, "b", outcome.PhaseCold, nil),
		report(time.Millisecond, "b", outcome.PhaseUnknown, Warmed{"t0", "b", 0}),
		report(4*time.Second, "b", outcome.PhaseCold, ColdDetected{"t0", "b", "b", 1}),
		report(fallPause, "b", outcome.PhaseCold, nil),
		report(2*time.Second, "b", outcome.PhaseUnknown, Warmed{"t0", "b", 1}),
	}
	now := epoch
	for i, step := range steps {
		now = now.Add(step.after)
		p, reason := table.Pick(now, "stock", Query{})
		assert.Assert(t, p != nil, "step %d: %v", i, reason)
		now = now.Add(time.Microsecond)
		have := p.Done(now, Result{
			Latency: time.Microsecond,
			Report: outcome.Report{
				Instance: step.instance,
				Phase:    step.phase,
			},
		})
		assert.Equal(t, step.want, have, "step %d", i)
	}
}

// Guards against late news: a report of a process that is gone, or another entry's sighting of it, must not make the
// current instance cold, and a fact that arrives before the instance is seen must count.
func TestInstances(t *testing.T) {
	table := coldTable(leased(epoch, epoch))
	now := epoch
	table.SetWarm(now, "t0", "a", 0)
	old, _ := table.Pick(now.Add(rampTime), "stock", Query{})
	assert.Equal(t, "a", old.Instance)
	now = now.Add(2 * rampTime)
	assert.Equal(t, ColdDetected{"t0", "b", "a", 1}, table.Observe(now, "t0", from("b")))
	_, reason := table.Pick(now, "stock", Query{})
	assert.Equal(t, outcome.Cold, reason)
	table.SetWarm(now, "t0", "b", 0)
	assert.Equal(t, nil, old.Done(now, Result{
		Report: from("a"),
	}))
	table.ObserveInstance(now, "t0", "a")
	table.SetWarm(now, "t0", "a", 0)
	p, _ := table.Pick(now, "stock", Query{})
	assert.Equal(t, "b", p.Instance)
	table.SetWarm(now, "t0", "c", 0)
	p, _ = table.Pick(now.Add(rampTime), "stock", Query{})
	assert.Equal(t, "c", p.Instance)
	table.ObserveInstance(now, "t0", "d")
	_, reason = table.Pick(now, "stock", Query{})
	assert.Equal(t, outcome.Cold, reason)
}

// Guards against all entries at once taking up a target that became warm, and against a target that drains getting work
// because a load read that lags says that it is warm.
func TestJoinAndDrain(t *testing.T) {
	table := New(Options{})
	table.SetTargets(epoch, specs(2))
	table.SetWarm(epoch, "t1", "x", 0)
	now := epoch.Add(time.Minute)
	table.SetWarm(now, "t0", "a", 0)
	used := func(after time.Duration) int {
		n := 0
		for range 1000 {
			p, _ := table.Pick(now.Add(after), "stock", Query{})
			if p.Target == "t0" {
				n++
			}
			p.Done(now.Add(after), took(time.Millisecond))
		}
		return n
	}
	observe := func(after time.Duration, phase outcome.Phase) {
		report := from("a")
		report.Phase = phase
		table.Observe(now.Add(after), "t0", report)
	}
	early, late := used(0), used(rampTime)
	assert.Assert(t, early > 0 && early < 150, "early %d", early)
	assert.Assert(t, late > 350, "late %d", late)
	observe(10*time.Second, outcome.PhaseDraining)
	assert.Equal(t, 0, used(11*time.Second))
	observe(12*time.Second, outcome.PhaseWarm)
	assert.Equal(t, 0, used(13*time.Second))
	observe(30*time.Second, outcome.PhaseWarm)
	assert.Assert(t, used(60*time.Second) > 0)
}

// Guards against a cold target that gets a call while it may still run one whose attempt has ended without an answer, and
// against a call that is waited for although its instance is gone.
func TestStillRunning(t *testing.T) {
	const deadline = time.Second
	tests := []struct {
		name    string
		running bool
		end     time.Duration // when the attempt ends
		fall    string        // instance that is seen after the attempt
		after   time.Duration
		want    outcome.Reason
	}{
		{
			name: "ended",
		},
		{
			name:    "ended by the deadline",
			running: true,
			end:     deadline,
			after:   deadline + time.Millisecond,
			want:    outcome.Cold,
		},
		{
			name:    "before the deadline",
			running: true,
			after:   deadline - time.Millisecond,
			want:    outcome.Cold,
		},
		{
			name:    "right after the deadline",
			running: true,
			after:   deadline + stopTime - time.Millisecond,
			want:    outcome.Cold,
		},
		{
			name:    "later",
			running: true,
			after:   deadline + stopTime,
		},
		{
			name:    "new instance",
			running: true,
			fall:    "b",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := coldTable(leased(epoch, epoch.Add(time.Hour)))
			table.ObserveInstance(epoch, "t0", "a")
			p, reason := table.Pick(epoch, "stock", Query{})
			assert.Assert(t, p != nil, reason)
			r := Result{
				Kind: Canceled,
			}
			if tt.running {
				r.RunningUntil = epoch.Add(deadline)
			}
			p.Done(epoch.Add(tt.end), r)
			if tt.fall != "" {
				table.ObserveInstance(epoch, "t0", tt.fall)
			}
			_, reason = table.Pick(epoch.Add(tt.after), "stock", Query{})
			assert.Equal(t, reason, tt.want)
		})
	}
}

// Guards against a target that stays cold for the entries that do not own it, or warm for those that have not called it,
// after it fell cold without a new instance, and against facts that change their meaning with the order of arrival.
func TestFalls(t *testing.T) {
	type step struct {
		warm     bool // else fallen
		instance string
		falls    int
	}
	tests := []struct {
		name  string
		steps []step
		want  bool
	}{
		{
			name:  "fell",
			steps: []step{{false, "a", 1}},
			want:  false,
		},
		{
			name:  "fell and warm again",
			steps: []step{{false, "a", 1}, {true, "a", 1}},
			want:  true,
		},
		{
			name:  "warm again is heard first",
			steps: []step{{true, "a", 1}, {false, "a", 1}},
			want:  true,
		},
		{
			name:  "an old fact is repeated",
			steps: []step{{false, "a", 1}, {true, "a", 0}},
			want:  false,
		},
		{
			name:  "fell twice",
			steps: []step{{false, "a", 2}, {true, "a", 1}},
			want:  false,
		},
		{
			name:  "a new instance",
			steps: []step{{false, "a", 1}, {true, "b", 0}},
			want:  true,
		},
		{
			name:  "a fall of a former instance",
			steps: []step{{true, "b", 0}, {false, "a", 1}},
			want:  true,
		},
		{
			name:  "a fall that is known before the instance",
			steps: []step{{false, "b", 1}, {true, "b", 0}},
			want:  false,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := coldTable(leased(epoch, epoch))
			table.SetWarm(epoch, "t0", "a", 0)
			for _, s := range tt.steps {
				if s.warm {
					table.SetWarm(epoch, "t0", s.instance, s.falls)
				} else {
					table.SetColdTransitions(epoch, "t0", s.instance, s.falls)
				}
			}
			p, _ := table.Pick(epoch.Add(rampTime), "stock", Query{})
			assert.Equal(t, p != nil, tt.want)
		})
	}
}

// Guards against an owner that sends to a target which has fallen cold while calls are still on their way that other
// entries sent before they knew.
func TestFallPause(t *testing.T) {
	table := coldTable(leased(epoch, epoch.Add(time.Minute)))
	table.SetWarm(epoch, "t0", "a", 0)
	fell := epoch.Add(rampTime)
	table.SetColdTransitions(fell, "t0", "a", 1)
	tests := []struct {
		after time.Duration
		want  bool
	}{
		{
			after: 0,
			want:  false,
		},
		{
			after: fallPause / 2,
			want:  false,
		},
		{
			after: fallPause,
			want:  true,
		},
	}
	for _, test := range tests {
		p, _ := table.Pick(fell.Add(test.after), "stock", Query{})
		assert.Equal(t, p != nil, test.want, "%s after the fall", test.after)
		if p != nil {
			assert.Assert(t, p.Cold)
		}
	}
}
