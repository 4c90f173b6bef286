package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"skylarkbeam/outcome"
	"skylarkbeam/route"
	"skylarkbeam/target"
)

// place is where a call waits while it certainly does not run anywhere.
type place string

// Places, as label values and in log lines.
const (
	// placeBody: the body of the request was not read to its end.
	placeBody place = "body"
	// placeLoad: before a load read of the targets that are compared.
	placeLoad place = "load"
	// placeQueue: for the first target, placeRetry: for another one after a refusal.
	placeQueue place = "queue"
	placeRetry place = "retry"
	// placeClaim: for the claim of its key.
	placeClaim place = "claim"
	// placeConnection: for a connection to its target, or for a check of it.
	placeConnection place = "connection"
	// placeRelay: at another entry.
	placeRelay place = "relay"
)

var places = []place{placeBody, placeLoad, placeQueue, placeRetry, placeClaim, placeConnection, placeRelay}

// setContexts sets the contexts of a call and returns the one for attempts that may have run, and a function that
// releases them. c.waiting ends as soon as the caller disconnects. For a non-idempotent call, the other one does not:
// canceling a call that may run could leave it partially run.
func (c *call) setContexts(caller context.Context) (ctx context.Context, release func()) {
	c.baseCtx = caller
	if c.idempotent {
		ctx, c.cancel = context.WithDeadline(caller, c.deadline)
		c.waiting = ctx
		return ctx, c.cancel
	}
	c.baseCtx = context.WithoutCancel(caller)
	ctx, c.cancel = context.WithDeadline(c.baseCtx, c.deadline)
	waiting, cancel := context.WithCancel(ctx)
	c.waiting = waiting
	stop := context.AfterFunc(caller, cancel)
	return ctx, func() {
		stop()
		cancel()
		c.cancel()
	}
}

// gone reports whether the caller has disconnected or the call was canceled.
func (c *call) gone() bool { return c.waiting != nil && c.waiting.Err() == context.Canceled }

// waitPlace returns the place of a call that waits for a target.
func (c *call) waitPlace() place {
	if len(c.tried) > 0 {
		return placeRetry
	}
	return placeQueue
}

// firstWrite ends an attempt whose caller disconnects before the first byte is written, and only then.
type firstWrite struct {
	mu     sync.Mutex
	sent   bool
	gone   bool
	cancel context.CancelFunc
}

// endWithCaller makes the attempt end with its caller until its first byte is written. release must be called when the
// attempt has ended.
func (c *call) endWithCaller(ctx context.Context, m *target.Call) (attempt context.Context, release func()) {
	attempt, cancel := context.WithCancel(ctx)
	f := &firstWrite{
		cancel: cancel,
	}
	stop := context.AfterFunc(c.waiting, f.callerLeft)
	reserve := m.Reserve
	m.Reserve = func(now time.Time) outcome.Reason {
		if !f.begin() {
			return outcome.Canceled
		}
		if reserve == nil {
			return ""
		}
		return reserve(now)
	}
	return attempt, func() {
		stop()
		cancel()
	}
}

func (f *firstWrite) callerLeft() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.sent {
		f.gone = true
		f.cancel()
	}
}

// begin reports whether the first byte may be written. After that, the attempt does not end with its caller.
func (f *firstWrite) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = !f.gone
	return f.sent
}

// refund returns a retry to the budget that was taken for a call whose caller left before it was sent.
func (e *Entry) refund(c *call, spentAt time.Time, permit *route.Permit) {
	if permit == nil && c.gone() {
		e.table.RefundRetry(spentAt, c.service.name)
	}
}

// recordGone counts and returns the place where a call waited that did not run because its caller left.
func (e *Entry) recordGone(c *call) zap.Field {
	at := c.place
	if at == "" {
		at = placeBody
	}
	e.metrics.callersGone[at].Inc()
	return zap.String("waiting", string(at))
}
