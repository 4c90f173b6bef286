package target

import (
	"context"
	"sort"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkbeam/standin"
)

// limiter is the interface of the limiters that TestBudgetWindow compares.
type limiter interface {
	Take(now time.Time) (time.Duration, bool)
	Done(end time.Time)
}

// fixedWindow counts probes by the second in which they start. It can exceed its quota across the boundary of two
// seconds.
type fixedWindow struct {
	quota, taken int
	second       time.Time
}

func (f *fixedWindow) Take(now time.Time) (time.Duration, bool) {
	if s := now.Truncate(time.Second); s != f.second {
		f.second, f.taken = s, 0
	}
	if f.taken >= f.quota {
		return 0, false
	}
	f.taken++
	return 0, true
}

func (f *fixedWindow) Done(time.Time) {}

// maxProbesPerSecond draws probes at a limiter and returns the largest number that the target executes in any window of
// one second. A probe is executed at a drawn time between its start and its end.
func maxProbesPerSecond(t *rapid.T, l limiter, start time.Time) int {
	type probe struct{ run, end time.Time }
	var inFlight []probe
	var runs []time.Time
	now := start
	for range rapid.IntRange(1, 200).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Millisecond)
		kept := inFlight[:0]
		for _, f := range inFlight {
			if f.end.After(now) {
				kept = append(kept, f)
				continue
			}
			l.Done(f.end)
		}
		inFlight = kept
		if _, ok := l.Take(now); ok {
			duration := time.Duration(rapid.IntRange(0, 1500).Draw(t, "duration")) * time.Millisecond
			run := now.Add(duration * time.Duration(rapid.IntRange(0, 100).Draw(t, "run")) / 100)
			runs = append(runs, run)
			inFlight = append(inFlight, probe{
				run: run,
				end: now.Add(duration),
			})
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].Before(runs[j]) })
	maxCount := 0
	for i, first := range runs {
		n := sort.Search(len(runs), func(j int) bool { return runs[j].Sub(first) >= time.Second })
		maxCount = max(maxCount, n-i)
	}
	return maxCount
}

// Guards against calls of the gate for probes beyond the quota, which would count probes that are never sent, and
// against probes that the gate does not allow.
func TestBudgetGate(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := start.Add(2 * probeWindow)
	b := NewProbeBudget(2, start)
	allow, calls := true, 0
	b.SetGate(func(time.Time) bool {
		calls++
		return allow
	})
	for range 5 {
		b.Take(now)
	}
	assert.Equal(t, 2, calls)
	b.Done(now)
	b.Done(now)
	allow = false
	_, ok := b.Take(now.Add(2 * probeWindow))
	assert.Assert(t, !ok, "a probe started although the gate did not allow it")
	assert.Equal(t, 3, calls)
	allow = true
	_, ok = b.Take(now.Add(2 * probeWindow))
	assert.Assert(t, ok, "a probe that the gate refused counts against the quota")
}

// Guards against more probes than the quota in any second at the target, however long probes take. The control is a
// limiter with fixed windows.
func TestBudgetWindow(t *testing.T) {
	start := time.Date(2026, 7, 31, 0, 0, 0, 0, time.UTC)
	exceeded := 0
	rapid.Check(t, func(t *rapid.T) {
		quota := rapid.IntRange(1, 4).Draw(t, "quota")
		if have := maxProbesPerSecond(t, NewProbeBudget(quota, start), start); have > quota {
			t.Fatalf("%d probes in one second, quota %d", have, quota)
		}
		if maxProbesPerSecond(t, &fixedWindow{
			quota: quota,
		}, start) > quota {
			exceeded++
		}
	})
	assert.Assert(t, exceeded > 0, "the control never exceeded its quota")
}

// Guards against probes in the first second of a process or while they are blocked, and against an early raise of the
// quota.
func TestBudgetTimes(t *testing.T) {
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	take := func(b *ProbeBudget, d time.Duration) bool {
		_, ok := b.Take(at(d))
		return ok
	}
	b := NewProbeBudget(1, start)
	wait, ok := b.Take(at(999 * time.Millisecond))
	assert.Assert(t, !ok && wait == time.Millisecond)
	assert.Assert(t, take(b, time.Second))
	assert.Assert(t, !take(b, 9*time.Second), "the first probe has not ended")
	b.Done(at(9 * time.Second))
	assert.Assert(t, !take(b, 10*time.Second))
	assert.Assert(t, take(b, 10*time.Second+1))
	b.Cancel()
	b.SetQuota(2, at(12*time.Second))
	assert.Assert(t, take(b, 11*time.Second))
	assert.Assert(t, !take(b, 12*time.Second-1))
	assert.Assert(t, take(b, 12*time.Second))
	b.SetQuota(1, at(0))
	b.Cancel()
	assert.Assert(t, !take(b, 13*time.Second))
	b.Cancel()
	b.BlockUntil(at(20 * time.Second))
	assert.Assert(t, !take(b, 20*time.Second-1))
	assert.Assert(t, take(b, 20*time.Second))
}

// Guards against more load reads than agreed in any second, as counted by the target, while six entries probe as often
// as they may, are killed and restart. The control lets a new process probe at once.
func TestBudgetOfEntries(t *testing.T) {
	const entries, quota = 6, 2
	run := func(age time.Duration) standin.Counts {
		target, first := startTarget(t, standin.Behavior{}, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		var group sync.WaitGroup
		for entry := range entries {
			group.Go(func() {
				// Different lifetimes spread the kills over the whole window.
				lifetime := 1300*time.Millisecond + time.Duration(entry)*170*time.Millisecond
				for ctx.Err() == nil {
					budget := NewProbeBudget(quota, time.Now().Add(-age))
					probeUntil(ctx, time.Now().Add(lifetime), first.opts, budget)
				}
			})
		}
		group.Wait()
		return target.Counts()
	}
	t.Run("budget", func(t *testing.T) {
		t.Parallel()
		counts := run(0)
		t.Logf("%d load reads, at most %d in a second, agreed %d", counts.LoadReads, counts.MaxLoadReadsPerSecond, entries*quota)
		assert.Assert(t, counts.MaxLoadReadsPerSecond <= entries*quota)
		assert.Assert(t, counts.LoadReads > 2*entries*quota, "too few load reads to show anything")
	})
	t.Run("control", func(t *testing.T) {
		t.Parallel()
		counts := run(time.Minute)
		t.Logf("control: %d load reads, at most %d in a second", counts.LoadReads, counts.MaxLoadReadsPerSecond)
		assert.Assert(t, counts.MaxLoadReadsPerSecond > entries*quota)
	})
}

// probeUntil probes as often as the budget allows until its process is killed. Each probe uses a new pool without a
// report.
func probeUntil(ctx context.Context, killedAt time.Time, opts Options, budget *ProbeBudget) {
	opts.ProbeBudget = budget
	for time.Now().Before(killedAt) && ctx.Err() == nil {
		p := New(opts)
		_, _ = p.Probe(ctx)
		p.Close()
		time.Sleep(2 * time.Millisecond)
	}
}

// Guards against load reads of a target that has reported within the last second, and against a load read that a paused
// target executes after it has stopped counting.
func TestProbe(t *testing.T) {
	t.Parallel()
	target, p := startTarget(t, standin.Behavior{}, func(o *Options) {
		o.ProbeTimeout = 50 * time.Millisecond
		o.ProbeBudget = NewProbeBudget(1, time.Now().Add(-time.Minute))
	})
	assertSend(t, p, newCall("GET", "/", "", ""), "complete")
	report, err := p.Probe(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, report.Instance, target.Instance())
	assert.Equal(t, target.Counts().LoadReads, 0)

	time.Sleep(freshnessLimit + 10*time.Millisecond)
	target.UpdateBehavior(func(s *standin.Behavior) { s.Paused = true })
	_, err = p.Probe(t.Context())
	assert.ErrorIs(t, err, ErrProbeTimeout)
	time.Sleep(freshnessLimit + 100*time.Millisecond)
	_, err = p.Probe(t.Context())
	assert.ErrorIs(t, err, ErrProbeBudgetExhausted)
	_, before := p.LastReport()
	target.UpdateBehavior(func(s *standin.Behavior) { s.Paused = false })
	waitFor(t, target, "the load read has a response", func() bool {
		_, reportedAt := p.LastReport()
		return reportedAt.After(before)
	})
	time.Sleep(freshnessLimit + 10*time.Millisecond)
	_, err = p.Probe(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, target.Counts().LoadReads, 2)
	assert.Equal(t, target.Counts().MaxLoadReadsPerSecond, 1)
}
