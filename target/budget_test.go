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

// limiter is what the property of the budget is checked on.
type limiter interface {
	Take(now time.Time) (time.Duration, bool)
	Done(end time.Time)
}

// fixedWindow counts probes by the second in which they start, which is the usual limiter that is not exact.
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

// worst draws probes at a limiter and returns the largest number that run at the target in any window of one second. A
// probe runs at a drawn moment between its start and its end.
func worst(t *rapid.T, l limiter, start time.Time) int {
	type probe struct{ run, end time.Time }
	var flying []probe
	var runs []time.Time
	now := start
	for range rapid.IntRange(1, 200).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Millisecond)
		kept := flying[:0]
		for _, f := range flying {
			if f.end.After(now) {
				kept = append(kept, f)
				continue
			}
			l.Done(f.end)
		}
		flying = kept
		if _, ok := l.Take(now); ok {
			lasts := time.Duration(rapid.IntRange(0, 1500).Draw(t, "lasts")) * time.Millisecond
			run := now.Add(lasts * time.Duration(rapid.IntRange(0, 100).Draw(t, "run")) / 100)
			runs = append(runs, run)
			flying = append(flying, probe{
				run: run,
				end: now.Add(lasts),
			})
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].Before(runs[j]) })
	most := 0
	for i, first := range runs {
		n := sort.Search(len(runs), func(j int) bool { return runs[j].Sub(first) >= time.Second })
		most = max(most, n-i)
	}
	return most
}

// Guards against a gate that is asked for probes beyond the quota, which counts probes that are never sent, and against a
// probe that passes without it.
func TestBudgetGate(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := start.Add(2 * window)
	b := NewProbeBudget(2, start)
	open, asked := true, 0
	b.SetGate(func(time.Time) bool {
		asked++
		return open
	})
	for range 5 {
		b.Take(now)
	}
	assert.Equal(t, 2, asked)
	b.Done(now)
	b.Done(now)
	open = false
	_, ok := b.Take(now.Add(2 * window))
	assert.Assert(t, !ok, "a probe passed the closed gate")
	assert.Equal(t, 3, asked)
	open = true
	_, ok = b.Take(now.Add(2 * window))
	assert.Assert(t, ok, "the closed gate has used up quota")
}

// Guards against more probes than the quota in any second at the target, however long probes take. The control is a
// limiter with fixed windows.
func TestBudgetWindow(t *testing.T) {
	start := time.Date(2026, 7, 31, 0, 0, 0, 0, time.UTC)
	exceeded := 0
	rapid.Check(t, func(t *rapid.T) {
		quota := rapid.IntRange(1, 4).Draw(t, "quota")
		if have := worst(t, NewProbeBudget(quota, start), start); have > quota {
			t.Fatalf("%d probes in one second, quota %d", have, quota)
		}
		if worst(t, &fixedWindow{
			quota: quota,
		}, start) > quota {
			exceeded++
		}
	})
	assert.Assert(t, exceeded > 0, "the control never exceeded its quota")
}

// Guards against probes in the first second of a process and during a hold, and against a higher quota before its time.
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

// Guards against more load reads than agreed in any second at the target, at its own count, while six entries probe as
// often as they may, are killed and start again. The control lets a new process probe at once.
func TestBudgetOfEntries(t *testing.T) {
	const entries, quota = 6, 2
	run := func(skip time.Duration) standin.Counts {
		target, first := start(t, standin.Behavior{}, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		var group sync.WaitGroup
		for entry := range entries {
			group.Go(func() {
				// Lives of different lengths, so that kills fall into all parts of the window.
				life := 1300*time.Millisecond + time.Duration(entry)*170*time.Millisecond
				for ctx.Err() == nil {
					budget := NewProbeBudget(quota, time.Now().Add(-skip))
					probeUntil(ctx, time.Now().Add(life), first.opts, budget)
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

// probeUntil probes as often as the budget allows, each time with a new pool that knows nothing, until the process of
// the budget is killed.
func probeUntil(ctx context.Context, killed time.Time, opts Options, budget *ProbeBudget) {
	opts.ProbeBudget = budget
	for time.Now().Before(killed) && ctx.Err() == nil {
		p := New(opts)
		_, _ = p.Probe(ctx)
		p.Close()
		time.Sleep(2 * time.Millisecond)
	}
}

// Guards against load reads of a target that reported of its own accord within the last second, and against a load read
// that a paused target runs after it no longer counts.
func TestProbe(t *testing.T) {
	t.Parallel()
	target, p := start(t, standin.Behavior{}, func(o *Options) {
		o.ProbeTimeout = 50 * time.Millisecond
		o.ProbeBudget = NewProbeBudget(1, time.Now().Add(-time.Minute))
	})
	expect(t, p, newCall("GET", "/", "", ""), "whole")
	report, err := p.Probe(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, report.Instance, target.Instance())
	assert.Equal(t, target.Counts().LoadReads, 0)

	time.Sleep(recent + 10*time.Millisecond)
	target.UpdateBehavior(func(s *standin.Behavior) { s.Paused = true })
	_, err = p.Probe(t.Context())
	assert.ErrorIs(t, err, ErrProbeTimeout)
	time.Sleep(recent + 100*time.Millisecond)
	_, err = p.Probe(t.Context())
	assert.ErrorIs(t, err, ErrProbeBudgetExhausted)
	_, before := p.LastReport()
	target.UpdateBehavior(func(s *standin.Behavior) { s.Paused = false })
	waitFor(t, target, "the load read has an answer", func() bool {
		_, learned := p.LastReport()
		return learned.After(before)
	})
	time.Sleep(recent + 10*time.Millisecond)
	_, err = p.Probe(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, target.Counts().LoadReads, 2)
	assert.Equal(t, target.Counts().MaxLoadReadsPerSecond, 1)
}
