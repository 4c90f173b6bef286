package entry_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"skylarkbeam/deployment"
	"skylarkbeam/setting"
	"skylarkbeam/standin"
)

// Guards against a cold target that gets its next call while it still runs one that was given up, because the caller
// went away, a hedge was faster, the connection broke or went silent, or the time was over. The targets take 20 ms to
// stop a call that was given up.
func TestColdGivenUp(t *testing.T) {
	t.Parallel()
	d := startStock(t, standin.Behavior{
		Slots:             4,
		ColdConcurrency:   1,
		ServiceTime:       standin.Duration(2 * time.Millisecond),
		CancellationDelay: standin.Duration(20 * time.Millisecond),
	})
	e := d.Entries[0]
	q := get("/stock/1")
	for range 100 {
		assert.Equal(t, send(context.Background(), e, q).outcome(), "answered")
	}
	cold := d.Targets["stock-2"].Target
	cold.UpdateBehavior(func(s *standin.Behavior) { s.ColdDuration, s.ColdSlowdown = standin.Duration(time.Minute), 5 })
	cold.Restart(false)
	cold.Reset()
	const callers = 6
	end := time.Now().Add(4 * time.Second)
	var group sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(20261204, uint64(i)))
		group.Go(func() {
			for time.Now().Before(end) {
				short := time.Duration(1+random.IntN(20)) * time.Millisecond
				ctx, cancel := context.WithCancel(context.Background())
				hurried := q
				switch random.IntN(3) {
				case 0:
					time.AfterFunc(short, cancel)
				case 1:
					hurried.timeout = short.String()
				}
				send(ctx, e, hurried)
				cancel()
			}
		})
	}
	for range 3 {
		time.Sleep(time.Second)
		cold.InjectFaults(standin.FaultTruncatedBody, standin.FaultDelayedResponse)
	}
	group.Wait()
	counts := cold.Counts()
	t.Logf("%d runs at the cold target, %d given up, peak %d", counts.Runs, counts.Canceled, counts.MaxColdConcurrency)
	assert.Assert(t, counts.Runs > 10, "%d runs", counts.Runs)
	assert.Equal(t, counts.ColdViolations, 0, counts.LastColdViolation)
}

// Guards against a target that falls cold without a new process start and then gets calls from the entries that have not
// noticed, or stays unused by those that do not own it after its second cold start. Calls that are in flight when it falls,
// or are sent before the first answer that says so has been passed on, cannot be recalled.
func TestFallInPlace(t *testing.T) {
	t.Parallel()
	d := start(t, deployment.Options{
		Entries: 3,
		Services: []deployment.Service{
			{
				Name:        "stock",
				Targets:     2,
				ServiceTime: 2 * time.Millisecond,
				Switches: standin.Behavior{
					Slots:           4,
					ColdConcurrency: 1,
					ServiceTime:     standin.Duration(2 * time.Millisecond),
					ColdDuration:    standin.Duration(500 * time.Millisecond),
				},
			},
		},
	})
	fallen := d.Targets["stock-1"].Target
	q := get("/stock/1")
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, e := range d.Entries {
		for range 3 {
			group.Go(func() {
				for ctx.Err() == nil {
					send(ctx, e, q)
				}
			})
		}
	}
	defer group.Wait()
	defer cancel()
	uses := func(warm bool) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			for _, e := range d.Entries {
				for _, row := range e.Status().TargetStatuses {
					if row.Target == "stock-1" && (row.RoutingState == "warm") != warm {
						return poll.Continue("%s uses it as %s", e.Status().Entry, row.RoutingState)
					}
				}
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	}
	uses(true)
	// The time after a cold start in which an answer that says cold counts as old.
	time.Sleep(3 * time.Second)
	for range 2 {
		fallen.MakeCold(time.Minute)
		uses(false)
		// Calls that were in flight have ended, and the owner has not begun yet.
		time.Sleep(100 * time.Millisecond)
		fallen.Reset()
		// A place may be taken until after the deadline of a call that was given up when a hedge was faster.
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if fallen.Counts().Calls == 0 {
				return poll.Continue("nobody sends to the cold target")
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
		time.Sleep(time.Second)
		counts := fallen.Counts()
		t.Logf("cold: %d calls, %d violations", counts.Calls, counts.ColdViolations)
		assert.Equal(t, counts.ColdViolations, 0, counts.LastColdViolation)
		fallen.MakeCold(0)
		uses(true)
		time.Sleep(3 * time.Second)
	}
}

// Guards against a target that is taken to be warm again because of a report from before its fall: a probe of a target that
// answered within the last second returns what it said then.
func TestFallAfterReport(t *testing.T) {
	t.Parallel()
	d := start(t, deployment.Options{
		Services: []deployment.Service{
			{
				Name:    "stock",
				Targets: 1,
				Switches: standin.Behavior{
					Slots:           4,
					ColdConcurrency: 1,
					ColdDuration:    standin.Duration(10 * time.Millisecond),
				},
			},
		},
	})
	e, target := d.Entries[0], d.Targets["stock-1"].Target
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if send(context.Background(), e, get("/stock/1")).outcome() != "answered" || e.Status().TargetStatuses[0].RoutingState != "warm" {
			return poll.Continue("the target is not warm")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	target.MakeCold(time.Minute)
	e.Fell("stock-1", e.Status().TargetStatuses[0].Instance, 1)
	time.Sleep(300 * time.Millisecond) // The owner sends nothing for 200 ms after a fall.
	for range 5 {
		e.ProbeCold()
		time.Sleep(30 * time.Millisecond)
	}
	assert.Equal(t, e.Status().TargetStatuses[0].RoutingState, "cold")
}

// Guards against an answer of a cold target that is lost because the end of its own attempt passes for a caller that went
// away. The deadline is longer than a lease, so that the attempt has a deadline of its own.
func TestColdAnswered(t *testing.T) {
	t.Parallel()
	d := start(t, deployment.Options{
		Services: []deployment.Service{
			{
				Name:    "stock",
				Targets: 1,
			},
		},
	})
	class, service := d.Settings.Classes["web"], d.Settings.Services["stock"]
	class.Deadline, service.Deadline = setting.Duration(30*time.Second), setting.Duration(30*time.Second)
	d.Settings.Classes["web"], d.Settings.Services["stock"] = class, service
	assert.NilError(t, d.Apply(context.Background()))
	cold := d.Targets["stock-1"].Target
	cold.UpdateBehavior(func(s *standin.Behavior) { s.ColdDuration, s.ColdSlowdown = standin.Duration(time.Minute), 0 })
	cold.Restart(false)
	kinds := map[string]int{}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		a := send(context.Background(), d.Entries[0], get("/stock/1"))
		kinds[a.outcome()+" "+a.header.Get("Skylarkbeam-Reason")]++
	}
	t.Logf("answers: %v", kinds)
	assert.Assert(t, kinds["answered "] > 0)
	assert.Equal(t, kinds["failed canceled"]+kinds["unknown canceled"], 0)
}

// Guards against entries that go without load reads for seconds after each change of the registry. Targets register one after
// the other, so the first one has the smallest quota at first.
func TestQuotaOfRegistered(t *testing.T) {
	t.Parallel()
	d := start(t, deployment.Options{
		Services: []deployment.Service{
			{
				Name:    "tides",
				Targets: 1,
			},
		},
	})
	e := d.Entries[0]
	assert.Equal(t, e.TakeProbes("stock-1", 1), 10) // The budget is an average of ten seconds.
	assert.Equal(t, e.TakeProbes("stock-1", 4), 30)
	assert.Equal(t, e.TakeProbes("stock-1", 2), 0)
	assert.Equal(t, e.TakeProbes("stock-1", 5), 10)
}
