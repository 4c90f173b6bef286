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

// A cold target must not get its next call while it still runs an abandoned one: the caller disconnected, a hedge was
// faster, the connection broke or went silent, or the deadline passed. The targets take 20 ms to stop an abandoned
// call.
func TestColdGivenUp(t *testing.T) {
	t.Parallel()
	d := startStock(t, standin.Behavior{
		Slots:             4,
		ColdConcurrency:   1,
		ServiceTime:       standin.Duration(2 * time.Millisecond),
		CancellationDelay: standin.Duration(20 * time.Millisecond),
	}, time.Second)
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
				delay := time.Duration(1+random.IntN(20)) * time.Millisecond
				ctx, cancel := context.WithCancel(context.Background())
				req := q
				switch random.IntN(3) {
				case 0:
					time.AfterFunc(delay, cancel)
				case 1:
					req.timeout = delay.String()
				}
				send(ctx, e, req)
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
	t.Logf("%d runs at the cold target, %d canceled, peak %d", counts.Runs, counts.Canceled, counts.MaxColdConcurrency)
	assert.Assert(t, counts.Runs > 10, "%d runs", counts.Runs)
	assert.Equal(t, counts.ColdViolations, 0, counts.LastColdViolation)
}

// A target that becomes cold without a new instance must get no calls from entries that have not noticed, and must be
// used again by all entries after its second cold start. Calls that are in flight when it becomes cold, or that are
// sent before the first response that reports it has been passed on, cannot be recalled.
func TestColdWithoutNewInstance(t *testing.T) {
	t.Parallel()
	d := start(t, deployment.Options{
		Entries: 3,
		Services: []deployment.Service{
			{
				Name:        "stock",
				Targets:     2,
				ServiceTime: 2 * time.Millisecond,
				Behavior: standin.Behavior{
					Slots:           4,
					ColdConcurrency: 1,
					ServiceTime:     standin.Duration(2 * time.Millisecond),
					ColdDuration:    standin.Duration(500 * time.Millisecond),
				},
			},
		},
	})
	target := d.Targets["stock-1"].Target
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
	waitUntilWarm := func(want bool) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			for _, e := range d.Entries {
				for _, row := range e.Status().TargetStatuses {
					if row.Target == "stock-1" && (row.RoutingState == "warm") != want {
						return poll.Continue("%s uses it as %s", e.Status().Entry, row.RoutingState)
					}
				}
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	}
	waitUntilWarm(true)
	// For some time after a cold start, a response that reports cold counts as outdated.
	time.Sleep(3 * time.Second)
	for range 2 {
		target.MakeCold(time.Minute)
		waitUntilWarm(false)
		// Calls in flight have ended, and the owner has not started to send yet.
		time.Sleep(100 * time.Millisecond)
		target.Reset()
		// A slot may stay occupied until after the deadline of a call that was abandoned because a hedge was faster.
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if target.Counts().Calls == 0 {
				return poll.Continue("nobody sends to the cold target")
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
		time.Sleep(time.Second)
		counts := target.Counts()
		t.Logf("cold: %d calls, %d violations", counts.Calls, counts.ColdViolations)
		assert.Equal(t, counts.ColdViolations, 0, counts.LastColdViolation)
		target.MakeCold(0)
		waitUntilWarm(true)
		time.Sleep(3 * time.Second)
	}
}

// A report from before a cold transition must not make the target warm again: probing a target that responded within
// the last second returns its last report.
func TestProbeWithEarlierReport(t *testing.T) {
	t.Parallel()
	d := start(t, deployment.Options{
		Services: []deployment.Service{
			{
				Name:    "stock",
				Targets: 1,
				Behavior: standin.Behavior{
					Slots:           4,
					ColdConcurrency: 1,
					ColdDuration:    standin.Duration(10 * time.Millisecond),
				},
			},
		},
	})
	e, target := d.Entries[0], d.Targets["stock-1"].Target
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if send(context.Background(), e, get("/stock/1")).outcome() != "answered" ||
			e.Status().TargetStatuses[0].RoutingState != "warm" {
			return poll.Continue("the target is not warm")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	target.MakeCold(time.Minute)
	e.ReportColdTransition("stock-1", e.Status().TargetStatuses[0].Instance, 1)
	time.Sleep(300 * time.Millisecond) // The owner sends nothing for 200 ms after a cold transition.
	for range 5 {
		e.ProbeColdTargets()
		time.Sleep(30 * time.Millisecond)
	}
	assert.Equal(t, e.Status().TargetStatuses[0].RoutingState, "cold")
}

// A response from a cold target must not be lost because the end of its own attempt is taken for a disconnected caller.
// The deadline is longer than a lease, so that the attempt has a deadline of its own.
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
	counts := map[string]int{}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		r := send(context.Background(), d.Entries[0], get("/stock/1"))
		counts[r.outcome()+" "+r.header.Get("Skylarkbeam-Reason")]++
	}
	t.Logf("outcomes: %v", counts)
	assert.Assert(t, counts["answered "] > 0)
	assert.Equal(t, counts["failed canceled"]+counts["unknown canceled"], 0)
}

// A change of the registry must not leave entries without load reads for seconds. Targets register one after the
// other, so the first one has the smallest quota at first.
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
	assert.Equal(t, e.UseProbeBudget("stock-1", 1), 30) // The budget is an average of thirty seconds.
	assert.Equal(t, e.UseProbeBudget("stock-1", 4), 90)
	assert.Equal(t, e.UseProbeBudget("stock-1", 2), 0)
	assert.Equal(t, e.UseProbeBudget("stock-1", 5), 30)
}
