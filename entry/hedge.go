package entry

import (
	"context"
	"sync"
	"time"

	"skylarkbeam/outcome"
	"skylarkbeam/route"
)

// race makes an attempt, and a second one for an idempotent call if the first is slower than usual. It returns the first
// whole answer, or what became of the first attempt.
func (e *Entry) race(ctx context.Context, c *call, permit *route.Permit) outcome.Outcome {
	c.tried = append(c.tried, permit.Target)
	again := c.unknown != ""
	after, ok := e.table.HedgeDelay(c.service.name)
	if !c.idempotent || c.repeat || !ok || c.promise.attempts < 2 {
		return e.attempt(ctx, c, permit, again)
	}
	h := &hedge{
		entry: e,
		call:  c,
		query: c.query(e.timers.Now()),
		after: after,
	}
	timer := time.AfterFunc(after, h.run)
	first := e.attempt(ctx, c, permit, again)
	if timer.Stop() {
		return first
	}
	h.prepare()
	return e.keep(h.settle(first), h.cancel)
}

// keep releases the context of a hedge once the result no longer needs it: the rest of a streamed answer does.
func (e *Entry) keep(result outcome.Outcome, release func()) outcome.Outcome {
	a, ok := result.(*answer)
	if !ok || a.end == nil {
		release()
		return result
	}
	end := a.end
	a.end = func(kind route.ResultKind) {
		end(kind)
		release()
	}
	return a
}

// hedge is the second attempt of a race.
type hedge struct {
	entry *Entry
	call  *call
	query route.Query
	after time.Duration

	// once guards the fields that only a hedge that runs needs: most calls end before.
	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
	result chan outcome.Outcome

	mu sync.Mutex
	// At most one of the two attempts wins; the answer of the other is discarded. A hedge that has not started when the
	// first attempt ends never starts.
	started bool
	won     bool
	lost    bool
}

func (h *hedge) prepare() {
	h.once.Do(func() {
		h.ctx, h.cancel = context.WithDeadline(h.call.base, h.call.deadline)
		h.result = make(chan outcome.Outcome, 1)
	})
}

// run makes the second attempt. It always sends one result.
func (h *hedge) run() {
	h.prepare()
	permit := h.permit()
	if permit == nil {
		h.result <- nil
		return
	}
	h.entry.counters.CountRetry(outcome.Hedge)
	h.entry.traceAgain(h.call, msgHedged, outcome.Hedge)
	result := h.entry.attempt(h.ctx, h.call, permit, true)
	h.mu.Lock()
	defer h.mu.Unlock()
	if a, ok := result.(*answer); ok {
		if h.lost {
			a.discard()
			result = nil
		} else {
			h.won = true
			h.call.cancel()
		}
	}
	h.result <- result
}

// permit asks for a target until there is one or the first attempt has ended: targets that are all busy at first may
// have room soon.
func (h *hedge) permit() *route.Permit {
	e := h.entry
	for {
		now := e.timers.Now()
		if !h.call.mayRun() {
			return nil
		}
		if permit := e.table.Hedge(now, h.call.service.name, h.query); permit != nil {
			if e.contact(now) && h.begin() {
				return permit
			}
			permit.Done(now, route.Result{
				Kind: route.Canceled,
			})
			return nil
		}
		again := time.NewTimer(h.after)
		select {
		case <-again.C:
		case <-h.ctx.Done():
			again.Stop()
			return nil
		}
	}
}

func (h *hedge) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started = !h.lost
	return h.started
}

// settle chooses between the first attempt, which has ended, and the hedge. A first answer that arrives after the hedge
// has won cannot be used, because its connection is already being closed.
func (h *hedge) settle(first outcome.Outcome) outcome.Outcome {
	firstAnswer, answered := first.(*answer)
	h.mu.Lock()
	if answered && !h.won || !h.started {
		h.lost = true
		h.mu.Unlock()
		h.cancel()
		return first
	}
	h.mu.Unlock()
	switch second := (<-h.result).(type) {
	case *answer:
		if answered {
			firstAnswer.discard()
		}
		h.entry.counters.hedgeWins.Inc()
		return second
	case *outcome.Unknown:
		h.call.unknown = second.Reason
	}
	return first
}
