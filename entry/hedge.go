package entry

import (
	"context"
	"sync"
	"time"

	"skylarkbeam/outcome"
	"skylarkbeam/route"
	"skylarkbeam/setting"
)

// attemptWithHedge makes an attempt, and a hedge for an idempotent call if the first attempt is slower than usual. It
// returns the first complete response, or the outcome of the first attempt.
func (e *Entry) attemptWithHedge(ctx context.Context, c *call, permit *route.Permit) outcome.Outcome {
	c.tried = append(c.tried, permit.Target)
	c.place = placeConnection
	retry := c.unknownReason != ""
	delay, ok := e.table.HedgeDelay(c.service.name, permit.Estimate)
	if !c.idempotent || c.isRetry || !ok || c.policy.attempts < 2 {
		return e.attempt(ctx, c, permit, retry)
	}
	now := e.timers.Now()
	h := &hedge{
		entry:  e,
		call:   c,
		query:  c.query(now),
		delay:  delay,
		lateAt: now.Add(firstByteTimeout(c.service.spec)),
	}
	timer := time.AfterFunc(delay, h.run)
	first := e.attempt(ctx, c, permit, retry)
	if timer.Stop() {
		return first
	}
	h.init()
	return e.releaseWhenDone(h.choose(first), h.cancel)
}

// releaseWhenDone calls release when the result no longer needs its context: now, or at the end of a streamed
// response.
func (e *Entry) releaseWhenDone(result outcome.Outcome, release func()) outcome.Outcome {
	resp, ok := result.(*response)
	if !ok || resp.finish == nil {
		release()
		return result
	}
	finish := resp.finish
	resp.finish = func(kind route.ResultKind) {
		finish(kind)
		release()
	}
	return resp
}

// hedge is the second attempt of a call.
type hedge struct {
	entry *Entry
	call  *call
	query route.Query
	delay time.Duration
	// lateAt is when the first attempt is taken for lost.
	lateAt time.Time

	// once guards ctx, cancel and result, which are allocated only for hedges that run: most calls end before.
	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
	result chan outcome.Outcome

	mu sync.Mutex
	// At most one of the two attempts wins, and the response of the other is discarded. A hedge that has not started
	// when the first attempt ends never starts.
	started bool
	won     bool
	lost    bool
}

func (h *hedge) init() {
	h.once.Do(func() {
		h.ctx, h.cancel = context.WithDeadline(h.call.baseCtx, h.call.deadline)
		h.result = make(chan outcome.Outcome, 1)
	})
}

// run makes the second attempt. It always sends exactly one result.
func (h *hedge) run() {
	h.init()
	permit := h.acquirePermit()
	if permit == nil {
		h.result <- nil
		return
	}
	h.entry.metrics.CountRetry(outcome.Hedge)
	h.entry.logRetry(h.call, msgHedged, outcome.Hedge)
	result := h.entry.attempt(h.ctx, h.call, permit, true)
	h.mu.Lock()
	defer h.mu.Unlock()
	if resp, ok := result.(*response); ok {
		if h.lost {
			resp.discard()
			result = nil
		} else {
			h.won = true
			h.call.cancel()
		}
	}
	h.result <- result
}

// acquirePermit retries until it gets a target or the first attempt has ended, because targets that are all busy at
// first may soon have capacity.
func (h *hedge) acquirePermit() *route.Permit {
	e := h.entry
	for {
		now := e.timers.Now()
		if !h.call.hasAttemptsLeft() {
			return nil
		}
		if permit := h.pick(now); permit != nil {
			if e.dispatchRefusal(now) == "" && h.tryStart() {
				return permit
			}
			permit.Done(now, route.Result{
				Kind: route.Canceled,
			})
			return nil
		}
		timer := time.NewTimer(h.delay)
		select {
		case <-timer.C:
		case <-h.ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

func (h *hedge) tryStart() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started = !h.lost
	return h.started
}

// choose returns the result of the first attempt, which has ended, or that of the hedge. If the hedge has already
// won, the response of the first attempt cannot be used, because its connection is being closed.
func (h *hedge) choose(first outcome.Outcome) outcome.Outcome {
	firstResponse, answered := first.(*response)
	h.mu.Lock()
	if answered && !h.won || !h.started {
		h.lost = true
		h.mu.Unlock()
		h.cancel()
		return first
	}
	h.mu.Unlock()
	stopWatch := context.AfterFunc(h.entry.ending, h.cancel)
	defer stopWatch()
	switch second := (<-h.result).(type) {
	case *response:
		if answered {
			firstResponse.discard()
		}
		h.entry.metrics.hedgeWins.Inc()
		return second
	case *outcome.Unknown:
		h.call.unknownReason = second.Reason
	}
	return first
}

// pick selects the target of the hedge. The first attempt may be on a new connection, where nothing else ends it before
// the deadline of the call, so it is taken for lost after the time after which the pool takes a reused one for lost.
func (h *hedge) pick(now time.Time) *route.Permit {
	if now.Before(h.lateAt) {
		return h.entry.table.Hedge(now, h.call.service.name, h.query)
	}
	return h.entry.table.LateHedge(now, h.call.service.name, h.query)
}

// firstByteTimeout is the time after which an idempotent call that has no byte of a response is taken for lost.
func firstByteTimeout(spec setting.Service) time.Duration {
	return max(firstByteTimeoutFactor*time.Duration(spec.Work), minFirstByteTimeout)
}
