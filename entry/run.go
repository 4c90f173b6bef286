package entry

import (
	"context"
	"time"

	"skylarkbeam/outcome"
	"skylarkbeam/route"
)

const (
	// maxUnsent bounds the attempts of a call that end before anything is sent. With a third of the targets restarted at
	// once, the chance that all four attempts meet one of them is below 2%.
	maxUnsent = 3
	// pollCapacity is how often a call that was admitted looks for a target while all are taken.
	pollCapacity = time.Millisecond
)

// run sends a call until it has a whole answer or is given up. It returns an *answer, *outcome.NotRun or
// *outcome.Unknown.
func (e *Entry) run(ctx context.Context, c *call) outcome.Outcome {
	defer func() { c.answered = e.timers.Now() }()
	result := e.runHere(ctx, c)
	if no, ok := result.(*outcome.NotRun); ok && !c.relayed {
		switch no.Reason {
		case outcome.Cold:
			result = e.relayCall(ctx, c, no, e.owners(c))
		case outcome.BudgetExhausted:
			// An entry that has just started may not check connections yet; others have checked theirs.
			result = e.relayCall(ctx, c, no, e.others())
		}
	}
	if _, ok := result.(*outcome.NotRun); ok && c.unknown != "" {
		// The last attempt was refused, but an earlier one may have run.
		return &outcome.Unknown{
			Reason: c.unknown,
		}
	}
	return result
}

// runHere is run without the help of other entries.
func (e *Entry) runHere(ctx context.Context, c *call) outcome.Outcome {
	permit, reason := e.pick(ctx, c)
	if permit == nil {
		return &outcome.NotRun{
			Reason:     reason,
			RetryAfter: e.table.RetryAfter(c.service.name, reason),
		}
	}
	for {
		result := e.race(ctx, c, permit)
		var again outcome.Reason
		switch o := result.(type) {
		case *answer:
			return o
		case *outcome.NotRun:
			again = o.Reason
		case *outcome.Unknown:
			c.unknown = o.Reason
			if !c.idempotent || c.repeat {
				return o
			}
			again = o.Reason
		}
		if e.uncharged(again) && c.unsent < maxUnsent {
			c.unsent++
			permit, _ = e.pick(ctx, c)
		} else {
			permit = e.repeat(ctx, c)
		}
		if permit == nil {
			return result
		}
		e.counters.CountRetry(again)
		e.traceAgain(c, msgRepeated, again)
	}
}

// uncharged tells whether an attempt ended before anything of the call was sent, for a reason that is no failure of a
// running target: the target has restarted, is down or left the settings, or its probe budget allowed no connection
// check. The next attempt then costs the targets nothing more and does not draw on the budget for repeats, which a return
// of many targets at once would exhaust.
func (e *Entry) uncharged(reason outcome.Reason) bool {
	switch reason {
	case outcome.InstanceChanged:
		// A target that tells its instance in its answers has got the call, though it did not run it.
		return !e.protocol.TargetProtocol().Capabilities().VerifiesInstance
	case outcome.BudgetExhausted, outcome.Dial, outcome.Leaving:
		return true
	}
	return false
}

// pick selects the target for the first attempt. While all targets are taken it waits, because the admission has found
// that the call can still be in time.
func (e *Entry) pick(ctx context.Context, c *call) (*route.Permit, outcome.Reason) {
	if permit := c.permit; permit != nil {
		c.permit = nil
		return permit, ""
	}
	if c.view.registered {
		permit, refusal := e.place(ctx, c)
		if refusal != nil {
			return nil, refusal.Reason
		}
		return permit, ""
	}
	for {
		now := e.timers.Now()
		permit, reason := e.table.Pick(now, c.service.name, c.query(now))
		if permit != nil || reason != outcome.QueueFull {
			return permit, reason
		}
		if !now.Add(time.Duration(c.service.spec.Work)).Before(c.deadline) {
			return nil, outcome.Deadline
		}
		wait := time.NewTimer(pollCapacity)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return nil, outcome.Deadline
		}
	}
}

// repeat selects the target for another attempt, nil if there is to be none.
func (e *Entry) repeat(ctx context.Context, c *call) *route.Permit {
	now := e.timers.Now()
	if ctx.Err() != nil || !now.Before(c.deadline) || !c.mayRun() || !e.contact(now) {
		return nil
	}
	if c.view.registered {
		if !e.table.SpendRetry(now, c.service.name) {
			return nil
		}
		permit, _ := e.place(ctx, c)
		return permit
	}
	return e.table.Retry(now, c.service.name, c.query(now))
}

// mayRun tells whether another target may run the call.
func (c *call) mayRun() bool { return int(c.runs.Load()) < c.promise.attempts }

func (c *call) query(now time.Time) route.Query {
	q := route.Query{
		Tried:            c.tried,
		Idempotent:       c.idempotent,
		Redispatch:       c.unsent > 0 || len(c.tried) > 0,
		FromRetry:        c.repeat,
		Bulk:             c.promise.bulk,
		Kind:             c.promise.route,
		LatencyObjective: c.promise.aim,
		TimeToDeadline:   c.deadline.Sub(now),
		BodySize:         len(c.body),
	}
	if c.promise.aim > 0 {
		q.TimeToSoftDeadline = c.aim().Sub(now)
	}
	return q
}
