package entry

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/memory"
	"skylarkbeam/outcome"
	"skylarkbeam/route"
	"skylarkbeam/target"
)

// attempt sends a call to the target of the permit. It returns a *response, *outcome.NotRun or *outcome.Unknown. The
// permit is released when the attempt ends; for a streamed response this is the end of the stream. retry is set if
// another attempt of the call may have run or may be running.
func (e *Entry) attempt(ctx context.Context, c *call, permit *route.Permit, retry bool) outcome.Outcome {
	start := e.timers.Now()
	if reason := e.sendRefusal(c, start); reason != "" {
		// The process may have been paused since the call was admitted, most likely while it waited for its claim.
		return releaseUnused(permit, start, reason)
	}
	deadline := c.deadline
	if !permit.LeaseEnd.IsZero() && permit.LeaseEnd.Before(deadline) {
		deadline = permit.LeaseEnd
	}
	if c.claim != nil && c.claim.DispatchDeadline().Before(deadline) {
		deadline = c.claim.DispatchDeadline()
	}
	// Use the current snapshot, because the table that gave the permit follows the current settings.
	p := e.snapshot.Load().pools[permit.Target]
	if p == nil {
		return releaseUnused(permit, start, outcome.Dial)
	}
	release := func() {}
	// attemptDetached sets the deadline of an attempt at a cold target. With a context released here, the end of the
	// attempt would look like a disconnected caller, and a received response would be lost.
	if deadline.Before(c.deadline) && !permit.Cold {
		// Use a point in time and not a duration: a process that was paused here must not extend a lease.
		ctx, release = context.WithDeadline(ctx, deadline)
	}
	e.metrics.dispatches.Inc()
	c.runs.Add(1)
	e.logPlaced(c, permit)
	m := c.message(permit.Instance, deadline.Sub(start))
	m.Workspace, _ = e.authorize(c)
	m.BeforeWrite = func(now time.Time) outcome.Reason { return e.writeRefusalReason(c, now, m.Workspace) }
	m.Reserve = permit.Reserve
	m.Repeat = c.isRetry || retry
	stop := func() {}
	finish := func(r route.Result, running bool) {
		release()
		stop()
		now := e.timers.Now()
		r.Latency = now.Sub(start)
		e.rollouts.record(c, permit, r, running)
		e.metrics.recordAttempt(c.service.name, r.Latency)
		if running {
			r.RunningUntil = deadline
		}
		e.handleTargetEvent(permit.Done(now, r))
	}
	settle := func(ctx context.Context, o outcome.Outcome) outcome.Outcome {
		switch result := e.receiveOutcome(ctx, c, o, finish).(type) {
		case *response:
			result.target = permit.Target
			return result
		case *outcome.NotRun:
			e.logAttemptFailed(c, permit.Target, start, result.Reason, "no")
			return result
		case *outcome.Unknown:
			e.logAttemptFailed(c, permit.Target, start, result.Reason, "maybe")
			return result
		default:
			return result
		}
	}
	if permit.Cold {
		// If the pool sent a second copy after a first-byte timeout, both copies would run at once.
		m.Idempotent = false
		return e.attemptDetached(ctx, deadline, func(ctx context.Context) outcome.Outcome {
			ctx, stop = c.endWithCaller(ctx, m)
			return settle(ctx, p.Send(ctx, m))
		})
	}
	if !c.idempotent {
		ctx, stop = c.endWithCaller(ctx, m)
	}
	return settle(ctx, p.Send(ctx, m))
}

// releaseUnused releases a permit with which nothing was sent, and returns the outcome.
func releaseUnused(permit *route.Permit, now time.Time, reason outcome.Reason) *outcome.NotRun {
	permit.Done(now, route.Result{
		Kind: route.Canceled,
	})
	return &outcome.NotRun{
		Reason: reason,
	}
}

// attemptDetached makes an attempt at a cold target that continues when ctx ends, for example because a hedge was
// faster. Only the response shows that the target has capacity for the next call: a target takes time to stop a call
// whose connection was closed.
func (e *Entry) attemptDetached(
	ctx context.Context, deadline time.Time, attempt func(context.Context) outcome.Outcome,
) outcome.Outcome {
	detached, release := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	var settled atomic.Bool // set by the attempt with its result, or by the end of ctx
	results := make(chan outcome.Outcome, 1)
	e.tasks.Go(func() {
		result := e.releaseWhenDone(attempt(detached), release)
		if settled.CompareAndSwap(false, true) {
			results <- result
		} else if resp, ok := result.(*response); ok {
			resp.discard()
		}
	})
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
	}
	if !settled.CompareAndSwap(false, true) {
		return <-results
	}
	reason := outcome.Canceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = outcome.TimedOut
	}
	return &outcome.Unknown{
		Reason: reason,
	}
}

// message returns the call as it is sent to a target or to another entry. instance is the target instance that the
// call must reach, or empty for any.
func (c *call) message(instance string, timeout time.Duration) *target.Call {
	return &target.Call{
		ID:         c.id,
		Method:     c.request.Method,
		Path:       c.request.RequestURI,
		Host:       c.request.Host,
		Header:     c.request.Header,
		Pieces:     c.body.pieces,
		Keyed:      c.identity.keyed,
		Idempotent: c.idempotent,
		Instance:   instance,
		Timeout:    timeout,
	}
}

// receiveOutcome processes the outcome of an attempt. It buffers the first part of a response, so that the call can
// be retried if the response breaks within it. It calls finish to end the attempt; the second argument of finish
// tells whether the target may still run the call.
func (e *Entry) receiveOutcome(
	ctx context.Context, c *call, o outcome.Outcome, finish func(r route.Result, running bool),
) outcome.Outcome {
	switch o := o.(type) {
	case *outcome.NotRun:
		c.runs.Add(-1)
		kind := route.Unsent
		switch o.Reason {
		case outcome.Shed:
			kind = route.Shed
		case outcome.BudgetExhausted, outcome.QueueFull, outcome.Deadline, outcome.Leaving, outcome.Invalid,
			outcome.RateLimited, outcome.Paused, outcome.VersionHeld, outcome.Canceled, outcome.Unauthorized,
			outcome.Unconfirmed, outcome.Stale:
			// The limits of this entry ended the attempt. Counting it as a failure would eject the target.
			kind = route.Canceled
		}
		finish(route.Result{
			Kind:   kind,
			Report: o.Report,
		}, false)
		return o
	case *outcome.Unknown:
		kind := route.Failed
		if ctx.Err() == context.Canceled {
			kind = route.Canceled
		}
		finish(route.Result{
			Kind: kind,
		}, true)
		return o
	case *outcome.Answered:
		return e.bufferResponse(ctx, c, o, finish)
	default:
		panic(errors.AssertionFailedf("unknown outcome %T", o))
	}
}

func (e *Entry) bufferResponse(
	ctx context.Context, c *call, o *outcome.Answered, finish func(r route.Result, running bool),
) outcome.Outcome {
	resp := &response{
		Answered: o,
		length:   o.Length,
		entry:    e,
	}
	limit := int64(c.snapshot.settings.Limits.Buffer)
	size := o.Length
	if size > 0 && size <= limit && !resp.holdResponse(size) {
		limit = memory.FreeBytes
	}
	if size < 0 || size > limit {
		size = min(limit, memory.FreeBytes)
	}
	resp.expectBody(o)
	kind := route.Succeeded
	if o.Status >= http.StatusInternalServerError {
		kind = route.Failed
	}
	body := e.link.Reader(ctx, o.Body)
	prefix, whole, err := readPrefix(body, size, limit, resp.holdResponse)
	switch {
	case err != nil:
		o.Body.Close()
		resp.release()
		reason := outcome.Truncated
		failedKind := route.Failed
		if ctx.Err() == context.Canceled {
			reason, failedKind = outcome.Canceled, route.Canceled
		}
		finish(route.Result{
			Kind:   failedKind,
			Report: o.Report,
		}, true)
		return &outcome.Unknown{
			Reason: reason,
		}
	case whole:
		o.Body.Close()
		resp.releaseBuffer()
		resp.prefix = prefix
		resp.length = int64(len(prefix))
		finish(route.Result{
			Kind:           kind,
			Report:         o.Report,
			ResponseLength: resp.length,
		}, false)
		return resp
	}
	resp.prefix = prefix
	resp.remainder = body
	resp.finish = func(k route.ResultKind) {
		whole := k == route.Succeeded
		if whole {
			k = kind
		}
		finish(route.Result{
			Kind:           k,
			Report:         o.Report,
			ResponseLength: o.Length,
		}, !whole)
	}
	return resp
}

// readPrefix reads up to limit bytes. whole reports whether the body ended within them. size is the expected number
// of bytes, used as initial capacity. hold reports whether the given number of bytes may be held in all.
func readPrefix(r io.Reader, size, limit int64, hold func(n int64) bool) (prefix []byte, whole bool, err error) {
	prefix = make([]byte, 0, size+1)
	for {
		n, err := r.Read(prefix[len(prefix):cap(prefix)])
		prefix = prefix[:len(prefix)+n]
		if err == io.EOF {
			return prefix, true, nil
		}
		if err != nil {
			return nil, false, err
		}
		if int64(len(prefix)) > limit {
			return prefix, false, nil
		}
		if len(prefix) == cap(prefix) {
			if !hold(min(2*int64(cap(prefix)), limit+1)) {
				return prefix, false, nil
			}
			prefix = append(prefix, 0)[:len(prefix)]
		}
	}
}
