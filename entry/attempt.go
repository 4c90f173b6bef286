package entry

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/claim"
	"skylarkbeam/outcome"
	"skylarkbeam/route"
	"skylarkbeam/target"
)

// answer is the answer of a target, of which the first part has arrived. It is an outcome like the one that it is made
// from. If the whole is no longer than the buffer, rest is nil and nothing can break any more.
type answer struct {
	*outcome.Answered
	// length is that of the whole body in bytes, or -1 if it is not known.
	length int64
	prefix []byte
	rest   io.ReadCloser
	// end ends the attempt once the rest was read or given up. It is nil if the attempt has ended.
	end func(route.ResultKind)
	// target is the name of the target that answered.
	target string
}

// recorded returns the body for the record of the call; a body that is still being streamed counts as too large.
func (a *answer) recorded() []byte {
	if a.rest != nil {
		return make([]byte, claim.MaxBodyBytes+1)
	}
	return a.prefix
}

// discard gives up an answer that is not needed.
func (a *answer) discard() {
	if a.rest != nil {
		a.rest.Close()
	}
	if a.end != nil {
		a.end(route.Canceled)
	}
}

// attempt sends a call to the target of the permit. It returns an *answer, *outcome.NotRun or *outcome.Unknown. The
// permit ends with the attempt, that of a streamed answer with its end. Again says that another attempt of the call may have
// run or may be running.
func (e *Entry) attempt(ctx context.Context, c *call, permit *route.Permit, again bool) outcome.Outcome {
	start := e.timers.Now()
	if !e.contact(start) {
		// The process may have been paused since the call was let in, most likely while it waited for its claim.
		return unused(permit, start, outcome.Isolated)
	}
	deadline := c.deadline
	if !permit.LeaseEnd.IsZero() && permit.LeaseEnd.Before(deadline) {
		deadline = permit.LeaseEnd
	}
	if c.claim != nil && c.claim.DispatchDeadline().Before(deadline) {
		deadline = c.claim.DispatchDeadline()
	}
	// The present view, because the table that gave the permit follows the present settings.
	p := e.view.Load().pools[permit.Target]
	if p == nil {
		return unused(permit, start, outcome.Dial)
	}
	release := func() {}
	// An attempt at a cold target gets its deadline from detach. There the release at its end would pass for a caller that
	// went away, and an answer that has arrived for one that has not.
	if deadline.Before(c.deadline) && !permit.Cold {
		// A point in time, not a duration: a process that was paused here must not extend a lease.
		ctx, release = context.WithDeadline(ctx, deadline)
	}
	e.counters.dispatch.Inc()
	c.runs.Add(1)
	e.tracePlaced(c, permit)
	m := c.message(permit.Instance, deadline.Sub(start))
	m.BeforeWrite = e.ready
	m.Repeat = c.repeat || again
	end := func(r route.Result, running bool) {
		release()
		now := e.timers.Now()
		r.Latency = now.Sub(start)
		e.counters.attempted(c.service.name, r.Latency)
		if running {
			r.RunningUntil = deadline
		}
		e.notify(permit.Done(now, r))
	}
	settle := func(ctx context.Context, o outcome.Outcome) outcome.Outcome {
		switch result := e.receive(ctx, c, o, end).(type) {
		case *answer:
			result.target = permit.Target
			return result
		case *outcome.NotRun:
			e.traceFailed(c, permit.Target, start, result.Reason, "no")
			return result
		case *outcome.Unknown:
			e.traceFailed(c, permit.Target, start, result.Reason, "maybe")
			return result
		default:
			return result
		}
	}
	if permit.Cold {
		// A second copy of the call, sent because the first got no answer in time, would run beside it.
		m.Idempotent = false
		return e.detach(ctx, deadline, func(ctx context.Context) outcome.Outcome {
			return settle(ctx, p.Send(ctx, m))
		})
	}
	return settle(ctx, p.Send(ctx, m))
}

// unused returns a permit before anything was sent, and why.
func unused(permit *route.Permit, now time.Time, reason outcome.Reason) *outcome.NotRun {
	permit.Done(now, route.Result{
		Kind: route.Canceled,
	})
	return &outcome.NotRun{
		Reason: reason,
	}
}

// detach makes an attempt at a cold target, which goes on when ctx ends, as with a faster hedge: only its answer tells
// that the target can bear the next call. A target takes time to stop a call whose connection was closed.
func (e *Entry) detach(ctx context.Context, deadline time.Time, attempt func(context.Context) outcome.Outcome) outcome.Outcome {
	detached, release := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	var settled atomic.Bool // by the attempt with its result, or by the end of ctx
	results := make(chan outcome.Outcome, 1)
	e.tasks.Go(func() {
		result := e.keep(attempt(detached), release)
		if settled.CompareAndSwap(false, true) {
			results <- result
		} else if a, ok := result.(*answer); ok {
			a.discard()
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

// ready returns why an attempt may not be written at the present time, or an empty reason.
func (e *Entry) ready(now time.Time) outcome.Reason {
	if !e.contact(now) {
		return outcome.Isolated
	}
	return ""
}

// message returns the call in the form that is sent to a target or to another entry. The instance is the one that the
// call must reach, empty for any.
func (c *call) message(instance string, timeout time.Duration) *target.Call {
	return &target.Call{
		ID:         c.id,
		Method:     c.request.Method,
		Path:       c.request.URL.RequestURI(),
		Host:       c.request.Host,
		Header:     c.request.Header,
		Body:       c.body,
		Idempotent: c.idempotent,
		Instance:   instance,
		Timeout:    timeout,
	}
}

// receive settles an outcome: it reads the first part of an answer, so that a break within it can be repaired before the
// caller has seen anything. End ends the attempt; its second argument tells whether the target may still run the call.
func (e *Entry) receive(ctx context.Context, c *call, o outcome.Outcome, end func(r route.Result, running bool)) outcome.Outcome {
	switch o := o.(type) {
	case *outcome.NotRun:
		c.runs.Add(-1)
		kind := route.Unsent
		switch o.Reason {
		case outcome.Shed:
			kind = route.Shed
		case outcome.BudgetExhausted, outcome.QueueFull, outcome.Deadline, outcome.Leaving, outcome.Invalid, outcome.Canceled:
			// The entry's own limits ended the attempt. Charging the target would eject it.
			kind = route.Canceled
		}
		end(route.Result{
			Kind:   kind,
			Report: o.Report,
		}, false)
		return o
	case *outcome.Unknown:
		kind := route.Failed
		if ctx.Err() == context.Canceled {
			kind = route.Canceled
		}
		end(route.Result{
			Kind: kind,
		}, true)
		return o
	case *outcome.Answered:
		return e.buffer(ctx, c, o, end)
	default:
		panic(errors.AssertionFailedf("unknown outcome %T", o))
	}
}

func (e *Entry) buffer(ctx context.Context, c *call, o *outcome.Answered, end func(r route.Result, running bool)) outcome.Outcome {
	a := &answer{
		Answered: o,
		length:   o.Length,
	}
	limit := int64(c.view.settings.Limits.Buffer)
	size := o.Length
	if size < 0 || size > limit {
		size = min(limit, 4096)
	}
	kind := route.Succeeded
	if o.Status >= http.StatusInternalServerError {
		kind = route.Failed
	}
	body := e.link.Reader(ctx, o.Body)
	prefix, whole, err := readPrefix(body, size, limit)
	switch {
	case err != nil:
		o.Body.Close()
		reason := outcome.Truncated
		failed := route.Failed
		if ctx.Err() == context.Canceled {
			reason, failed = outcome.Canceled, route.Canceled
		}
		end(route.Result{
			Kind:   failed,
			Report: o.Report,
		}, true)
		return &outcome.Unknown{
			Reason: reason,
		}
	case whole:
		o.Body.Close()
		a.prefix = prefix
		a.length = int64(len(prefix))
		end(route.Result{
			Kind:           kind,
			Report:         o.Report,
			ResponseLength: a.length,
		}, false)
		return a
	}
	a.prefix = prefix
	a.rest = body
	a.end = func(k route.ResultKind) {
		whole := k == route.Succeeded
		if whole {
			k = kind
		}
		end(route.Result{
			Kind:           k,
			Report:         o.Report,
			ResponseLength: o.Length,
		}, !whole)
	}
	return a
}

// readPrefix reads up to limit bytes; whole means that the body has ended within them. The size is where the buffer
// starts to grow from.
func readPrefix(r io.Reader, size, limit int64) (prefix []byte, whole bool, err error) {
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
			prefix = append(prefix, 0)[:len(prefix)]
		}
	}
}
