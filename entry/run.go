package entry

import (
	"context"
	"time"

	"skylarkbeam/outcome"
	"skylarkbeam/route"
)

const (
	// maxUnsentRetries bounds the retries of a call whose attempts ended before anything was sent. With a third of
	// the targets restarted at once, the chance that all four attempts meet one of them is below 2%.
	maxUnsentRetries = 3
	// capacityPollInterval is how often an admitted call looks for a target while all are at capacity.
	capacityPollInterval = time.Millisecond
)

// runCall attempts a call until it has a complete response or no attempt is left. It returns a *response,
// *outcome.NotRun or *outcome.Unknown.
func (e *Entry) runCall(ctx context.Context, c *call) outcome.Outcome {
	defer func() { c.answeredAt = e.timers.Now() }()
	stopWatch := context.AfterFunc(e.ending, c.cancel)
	defer stopWatch()
	result := e.runLocally(ctx, c)
	if notRun, ok := result.(*outcome.NotRun); ok && !c.relayed {
		switch notRun.Reason {
		case outcome.Cold:
			result = e.relayCall(ctx, c, notRun, e.owningEntries(c))
		case outcome.BudgetExhausted:
			// An entry that has just started has no probe budget yet. The others have connections that are already
			// checked.
			result = e.relayCall(ctx, c, notRun, e.otherEntries())
		}
	}
	if _, ok := result.(*outcome.NotRun); ok && c.unknownReason != "" {
		// The last attempt did not run, but an earlier one may have.
		return &outcome.Unknown{
			Reason: c.unknownReason,
		}
	}
	if unknown, ok := result.(*outcome.Unknown); ok && unknown.Reason == outcome.Canceled && e.ending.Err() != nil {
		return &outcome.Unknown{
			Reason: outcome.Leaving,
		}
	}
	return result
}

// runLocally is runCall without relaying the call to other entries.
func (e *Entry) runLocally(ctx context.Context, c *call) outcome.Outcome {
	permit, reason := e.pickFirst(c)
	if permit == nil {
		return &outcome.NotRun{
			Reason:     reason,
			RetryAfter: e.table.RetryAfter(e.timers.Now(), c.service.name, reason),
		}
	}
	for {
		result := e.attemptWithHedge(ctx, c, permit)
		var retryReason outcome.Reason
		switch o := result.(type) {
		case *response:
			return o
		case *outcome.NotRun:
			retryReason = o.Reason
		case *outcome.Unknown:
			c.unknownReason = o.Reason
			if !c.idempotent || c.isRetry {
				return o
			}
			retryReason = o.Reason
		}
		if e.exemptFromRetryBudget(retryReason) && c.unsentAttempts < maxUnsentRetries {
			c.unsentAttempts++
			permit, _ = e.pickFirst(c)
		} else {
			permit = e.pickRetry(c)
		}
		if permit == nil {
			return result
		}
		e.metrics.CountRetry(retryReason)
		e.logRetry(c, msgRepeated, retryReason)
	}
}

// exemptFromRetryBudget reports whether an attempt ended before anything of the call was sent, for a reason that is
// not a failure of a running target: the target has restarted, is down or is no longer in the settings, its probe budget
// allowed no connection check, it has named a limit or a pause, or a roll-out
// holds its version. Retrying such a call costs the targets nothing, and a
// simultaneous restart of many targets would exhaust the retry budget.
func (e *Entry) exemptFromRetryBudget(reason outcome.Reason) bool {
	switch reason {
	case outcome.InstanceChanged:
		// A target that verifies the instance itself has received the call, though it did not run it.
		return !e.protocol.TargetProtocol().Capabilities().VerifiesInstance
	case outcome.BudgetExhausted, outcome.RateLimited, outcome.Paused, outcome.Dial, outcome.Leaving,
		outcome.VersionHeld, outcome.Unconfirmed:
		return true
	}
	return false
}

// pickFirst selects the target for the first attempt, or for a retry that is exempt from the retry budget. It waits
// while all targets are at capacity, because admission has established that the call can still meet its deadline.
func (e *Entry) pickFirst(c *call) (*route.Permit, outcome.Reason) {
	if permit := c.permit; permit != nil {
		c.permit = nil
		return permit, ""
	}
	if c.snapshot.registered {
		permit, refusal := e.waitForTarget(c.waiting, c)
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
		wait := time.NewTimer(capacityPollInterval)
		c.place = c.waitPlace()
		select {
		case <-wait.C:
		case <-c.waiting.Done():
			wait.Stop()
			if c.gone() {
				return nil, outcome.Canceled
			}
			return nil, outcome.Deadline
		}
	}
}

// pickRetry selects the target for another attempt. It returns nil if there is to be none.
func (e *Entry) pickRetry(c *call) *route.Permit {
	now := e.timers.Now()
	if c.waiting.Err() != nil || !now.Before(c.deadline) || !c.hasAttemptsLeft() || e.sendRefusal(c, now) != "" {
		return nil
	}
	if c.snapshot.registered {
		if !e.table.SpendRetry(now, c.service.name) {
			return nil
		}
		permit, _ := e.waitForTarget(c.waiting, c)
		e.refund(c, now, permit)
		return permit
	}
	return e.table.Retry(now, c.service.name, c.query(now))
}

// hasAttemptsLeft reports whether another target may run the call.
func (c *call) hasAttemptsLeft() bool { return int(c.runs.Load()) < c.policy.attempts }

func (c *call) query(now time.Time) route.Query {
	q := route.Query{
		Tried:            c.tried,
		Idempotent:       c.idempotent,
		Redispatch:       c.unsentAttempts > 0 || len(c.tried) > 0,
		FromRetry:        c.isRetry,
		Bulk:             c.policy.bulk,
		Kind:             c.policy.route,
		LatencyObjective: c.policy.latencyObjective,
		TimeToDeadline:   c.deadline.Sub(now),
		BodySize:         c.body.size,
	}
	if c.policy.latencyObjective > 0 {
		q.TimeToSoftDeadline = c.softDeadline().Sub(now)
	}
	return q
}
