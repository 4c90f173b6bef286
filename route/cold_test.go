package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
)

// leaseBetween returns a LeaseFunc that grants a lease from one time to another.
func leaseBetween(from, until time.Time) LeaseFunc {
	return func(now time.Time, _ string) (time.Time, bool) {
		return until, !now.Before(from) && now.Before(until)
	}
}

func coldTable(owner LeaseFunc) *Table {
	table := New(Options{
		Entries: 6,
	})
	table.SetTargets(epoch, testTargets(1))
	table.SetLeaseFunc(owner)
	return table
}

// Guards against two entries that own a cold target at once. Calls of the old owner end with its lease, and the new
// owner waits for that. In the control the new owner does not wait, and a target that can run one call gets two.
func TestOwnerChange(t *testing.T) {
	const lease = 4 * time.Second
	for wait, want := range map[time.Duration]int{5 * time.Second: 1, 0: 2} {
		t.Run(fmt.Sprint("wait ", wait), func(t *testing.T) {
			tables := []*Table{
				coldTable(leaseBetween(epoch, epoch.Add(lease))),
				coldTable(leaseBetween(epoch.Add(time.Second+wait), epoch.Add(time.Minute))),
			}
			peak := 0
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
				peak = max(peak, len(open))
			}
			assert.Equal(t, want, peak)
		})
	}
}

// Guards against a cold start that ends too early, that ends while the target still reports cold, or that is not timed
// again for a new instance.
func TestWarming(t *testing.T) {
	table := coldTable(leaseBetween(epoch, epoch.Add(time.Hour)))
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
		report(coldTransitionPause, "b", outcome.PhaseCold, nil),
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

// Guards against stale information: a late report of a process that is gone, or another entry's report of it, must not
// turn the current instance cold. A fact that arrives before its instance is seen must count.
func TestInstances(t *testing.T) {
	table := coldTable(leaseBetween(epoch, epoch))
	now := epoch
	table.SetWarm(now, "t0", "a", 0)
	old, _ := table.Pick(now.Add(slowStartWindow), "stock", Query{})
	assert.Equal(t, "a", old.Instance)
	now = now.Add(2 * slowStartWindow)
	assert.Equal(t, ColdDetected{"t0", "b", "a", 1}, table.Observe(now, "t0", instanceReport("b")))
	_, reason := table.Pick(now, "stock", Query{})
	assert.Equal(t, outcome.Cold, reason)
	table.SetWarm(now, "t0", "b", 0)
	assert.Equal(t, nil, old.Done(now, Result{
		Report: instanceReport("a"),
	}))
	table.ObserveInstance(now, "t0", "a")
	table.SetWarm(now, "t0", "a", 0)
	p, _ := table.Pick(now, "stock", Query{})
	assert.Equal(t, "b", p.Instance)
	table.SetWarm(now, "t0", "c", 0)
	p, _ = table.Pick(now.Add(slowStartWindow), "stock", Query{})
	assert.Equal(t, "c", p.Instance)
	table.ObserveInstance(now, "t0", "d")
	_, reason = table.Pick(now, "stock", Query{})
	assert.Equal(t, outcome.Cold, reason)
}

// Guards against all entries using a target at once when it becomes warm, and against calls to a draining target
// because a stale load read reports it as warm.
func TestSlowStartAndDrain(t *testing.T) {
	table := New(Options{})
	table.SetTargets(epoch, testTargets(2))
	table.SetWarm(epoch, "t1", "x", 0)
	now := epoch.Add(time.Minute)
	table.SetWarm(now, "t0", "a", 0)
	pickedCalls := func(after time.Duration) int {
		n := 0
		for range 1000 {
			p, _ := table.Pick(now.Add(after), "stock", Query{})
			if p.Target == "t0" {
				n++
			}
			p.Done(now.Add(after), succeededAfter(time.Millisecond))
		}
		return n
	}
	observe := func(after time.Duration, phase outcome.Phase) {
		report := instanceReport("a")
		report.Phase = phase
		table.Observe(now.Add(after), "t0", report)
	}
	early, late := pickedCalls(0), pickedCalls(slowStartWindow)
	assert.Assert(t, early > 0 && early < 150, "early %d", early)
	assert.Assert(t, late > 350, "late %d", late)
	observe(10*time.Second, outcome.PhaseDraining)
	assert.Equal(t, 0, pickedCalls(11*time.Second))
	observe(12*time.Second, outcome.PhaseWarm)
	assert.Equal(t, 0, pickedCalls(13*time.Second))
	observe(30*time.Second, outcome.PhaseWarm)
	assert.Assert(t, pickedCalls(60*time.Second) > 0)
}

// Guards against a cold target that gets another call while it may still run one whose attempt ended without a
// response, and against waiting for such a call after its instance is gone.
func TestStillRunning(t *testing.T) {
	const deadline = time.Second
	tests := []struct {
		name         string
		stillRunning bool
		end          time.Duration // when the attempt ends
		newInstance  string        // instance that is observed after the attempt
		after        time.Duration
		want         outcome.Reason
	}{
		{
			name: "ended",
		},
		{
			name:         "ended by the deadline",
			stillRunning: true,
			end:          deadline,
			after:        deadline + time.Millisecond,
			want:         outcome.Cold,
		},
		{
			name:         "before the deadline",
			stillRunning: true,
			after:        deadline - time.Millisecond,
			want:         outcome.Cold,
		},
		{
			name:         "right after the deadline",
			stillRunning: true,
			after:        deadline + deadlineMargin - time.Millisecond,
			want:         outcome.Cold,
		},
		{
			name:         "later",
			stillRunning: true,
			after:        deadline + deadlineMargin,
		},
		{
			name:         "new instance",
			stillRunning: true,
			newInstance:  "b",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := coldTable(leaseBetween(epoch, epoch.Add(time.Hour)))
			table.ObserveInstance(epoch, "t0", "a")
			p, reason := table.Pick(epoch, "stock", Query{})
			assert.Assert(t, p != nil, reason)
			r := Result{
				Kind: Canceled,
			}
			if tt.stillRunning {
				r.RunningUntil = epoch.Add(deadline)
			}
			p.Done(epoch.Add(tt.end), r)
			if tt.newInstance != "" {
				table.ObserveInstance(epoch, "t0", tt.newInstance)
			}
			_, reason = table.Pick(epoch.Add(tt.after), "stock", Query{})
			assert.Equal(t, reason, tt.want)
		})
	}
}

// Guards against a target that stays cold for entries that do not own it, or warm for entries that have not called it,
// after a cold transition of the same instance. Also guards against facts whose meaning depends on the order of
// arrival.
func TestColdTransitions(t *testing.T) {
	type step struct {
		warm     bool // otherwise a cold transition
		instance string
		falls    int
	}
	tests := []struct {
		name  string
		steps []step
		want  bool
	}{
		{
			name:  "cold transition",
			steps: []step{{false, "a", 1}},
			want:  false,
		},
		{
			name:  "cold transition and warm again",
			steps: []step{{false, "a", 1}, {true, "a", 1}},
			want:  true,
		},
		{
			name:  "warm again arrives first",
			steps: []step{{true, "a", 1}, {false, "a", 1}},
			want:  true,
		},
		{
			name:  "repeated old fact",
			steps: []step{{false, "a", 1}, {true, "a", 0}},
			want:  false,
		},
		{
			name:  "two cold transitions",
			steps: []step{{false, "a", 2}, {true, "a", 1}},
			want:  false,
		},
		{
			name:  "new instance replaces it",
			steps: []step{{false, "a", 1}, {true, "b", 0}},
			want:  true,
		},
		{
			name:  "cold transition of a previous instance",
			steps: []step{{true, "b", 0}, {false, "a", 1}},
			want:  true,
		},
		{
			name:  "cold transition known before the instance",
			steps: []step{{false, "b", 1}, {true, "b", 0}},
			want:  false,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := coldTable(leaseBetween(epoch, epoch))
			table.SetWarm(epoch, "t0", "a", 0)
			for _, s := range tt.steps {
				if s.warm {
					table.SetWarm(epoch, "t0", s.instance, s.falls)
				} else {
					table.SetColdTransitions(epoch, "t0", s.instance, s.falls)
				}
			}
			p, _ := table.Pick(epoch.Add(slowStartWindow), "stock", Query{})
			assert.Equal(t, p != nil, tt.want)
		})
	}
}

// Guards against an owner that sends to a target right after a cold transition, while calls are in flight that other
// entries sent before they learned of it.
func TestColdTransitionPause(t *testing.T) {
	table := coldTable(leaseBetween(epoch, epoch.Add(time.Minute)))
	table.SetWarm(epoch, "t0", "a", 0)
	transition := epoch.Add(slowStartWindow)
	table.SetColdTransitions(transition, "t0", "a", 1)
	tests := []struct {
		after time.Duration
		want  bool
	}{
		{
			after: 0,
			want:  false,
		},
		{
			after: coldTransitionPause / 2,
			want:  false,
		},
		{
			after: coldTransitionPause,
			want:  true,
		},
	}
	for _, tt := range tests {
		p, _ := table.Pick(transition.Add(tt.after), "stock", Query{})
		assert.Equal(t, p != nil, tt.want, "%s after the cold transition", tt.after)
		if p != nil {
			assert.Assert(t, p.Cold)
		}
	}
}
