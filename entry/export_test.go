package entry

import (
	"context"
	"time"

	"skylarkbeam/outcome"
	"skylarkbeam/route"
	"skylarkbeam/share"
)

// ReportColdTransition reports a cold transition of a target to the entry, as another entry does.
func (e *Entry) ReportColdTransition(target, instance string, coldTransitions int) {
	e.table.SetColdTransitions(e.timers.Now(), target, instance, coldTransitions)
}

// RefreshSnapshot derives the snapshot from the current state if there is a newer one.
func (e *Entry) RefreshSnapshot() { e.refreshSnapshot() }

// Pool returns the connection pool of a target.
func (e *Entry) Pool(name string) any { return e.snapshot.Load().pools[name] }

// ProbeColdTargets runs the periodic probe of cold targets.
func (e *Entry) ProbeColdTargets() { e.probeColdTargets() }

// UseProbeBudget sets the probe quota per second of a registered target, uses up the budget and returns the number of
// probes it allowed.
func (e *Entry) UseProbeBudget(name string, quota int) int {
	now := e.timers.Now()
	b := e.probeBudget(now, name, quota, true)
	n := 0
	for {
		if _, ok := b.Take(now); !ok {
			return n
		}
		n++
	}
}

// PlaceIneligibleCalls runs placement with a call that has just joined the queue and one whose caller has
// disconnected. It returns how many of the two can still leave the queue afterwards.
func (e *Entry) PlaceIneligibleCalls(d time.Duration) int {
	q := newServiceQueue("tides")
	now := e.timers.Now()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	var waiters []*share.Waiter
	for range 2 {
		p, _ := q.Enqueue(now, share.Call{
			SoftDeadline: now.Add(time.Minute),
			Deadline:     now.Add(time.Minute),
		})
		waiters = append(waiters, p)
	}
	e.enqueue(q, waiters[1], &waitingCall{
		ctx: canceled,
	})
	time.Sleep(d)
	n := 0
	for _, p := range waiters {
		if q.Remove(p) {
			n++
		}
	}
	return n
}

// LeaveRetryReserve uses up what the retry budget of a service has beyond the reserve for retries.
func (e *Entry) LeaveRetryReserve(service string) {
	now := e.timers.Now()
	query := route.Query{
		Idempotent: true,
	}
	permit := e.table.Hedge(now, service, query)
	for ; permit != nil; permit = e.table.Hedge(now, service, query) {
		releaseUnused(permit, now, outcome.Canceled)
	}
}
