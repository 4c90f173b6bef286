package target

import (
	"context"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/outcome"
)

// staleTime is how soon after a call the reset of a kept connection arrives that the target has closed: the way to the target
// and back, with room for a busy machine. A connection that breaks later has carried the call.
const staleTime = 100 * time.Millisecond

// Send sends a call and returns when the head of its answer has arrived or the call is given up. It never returns nil.
//
// Send writes a call a second time by itself in two cases, in both only if the first attempt was on a reused connection
// and the call has no stream: when nothing of the first attempt was written, and when an idempotent call got no answer
// on it because the connection was silent or was reset at once. If the first attempt may have run, the second is marked as
// a repeat, and the outcome is never NotRun.
//
// A new connection for a call with an expected instance is confirmed by a load read or, if the probe budget allows none,
// by the answer to another request that was written after the connection was open.
//
// Right before each attempt is written, Send asks Call.Ready and looks at the time that is left.
//
// NotRun has the reason queue if all connections are in use, budget if a new connection cannot be confirmed, instance
// if the target is another instance than the expected one, and dial if no connection could be opened or checked.
func (p *Pool) Send(ctx context.Context, call *Call) outcome.Outcome {
	now := p.opts.Timers.Now()
	deadline := now.Add(call.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if !call.valid() {
		return notRun(outcome.Invalid)
	}
	if !now.Before(deadline) {
		return notRun(outcome.Deadline)
	}
	if call.BeforeWrite != nil {
		if reason := call.BeforeWrite(now); reason != "" {
			return notRun(reason)
		}
	}
	if report, ok := p.replaced(call.Instance, now); ok {
		return &outcome.NotRun{
			Reason: outcome.InstanceChanged,
			Report: report,
		}
	}
	c := p.reuse(call, now)
	if c == nil || !p.fits(c, call) {
		return p.sendFresh(ctx, call, deadline, c)
	}
	first := p.sendOn(ctx, c, call, deadline, true)
	if call.Stream != nil || ctx.Err() != nil || !p.opts.Timers.Now().Before(deadline) {
		return first
	}
	switch o := first.(type) {
	case *outcome.NotRun:
		if o.Reason != outcome.Broken {
			return first
		}
		p.opts.OnRetry(o.Reason)
		return p.sendFresh(ctx, call, deadline, nil)
	case *outcome.Unknown:
		if !call.Idempotent || call.Repeat || !p.stale(o.Reason, p.opts.Timers.Now().Sub(now)) {
			return first
		}
		if p.opts.MayRetry != nil && !p.opts.MayRetry() {
			return first
		}
		p.opts.OnRetry(o.Reason)
		// Connections tend to go silent together, so those that have not answered since then are closed.
		p.dropBefore(now)
		again := *call
		again.Repeat = true
		second := p.sendFresh(ctx, &again, deadline, nil)
		if _, ok := second.(*outcome.NotRun); ok && !p.off.unknown {
			return first
		}
		return second
	}
	return first
}

// stale tells whether a call that ended without an answer shows that its kept connection was dead, not the target.
func (p *Pool) stale(reason outcome.Reason, elapsed time.Duration) bool {
	return reason == outcome.TimedOut || reason == outcome.Broken && elapsed < staleTime
}

// fits tells whether c may carry call without another look at the target's instance.
func (p *Pool) fits(c *conn, call *Call) bool {
	return call.Instance == "" || c.instance == call.Instance || p.unchecked()
}

// sendFresh sends a call on a connection that is not confirmed, or on a new one if c is nil.
func (p *Pool) sendFresh(ctx context.Context, call *Call, deadline time.Time, c *conn) outcome.Outcome {
	if call.Instance != "" && !p.unchecked() {
		return p.sendChecked(ctx, call, deadline, c)
	}
	if c == nil {
		var reason outcome.Reason
		if c, reason = p.connect(ctx, deadline); reason != "" {
			return notRun(reason)
		}
	}
	return p.sendOn(ctx, c, call, deadline, false)
}

// sendChecked sends a call with an expected instance.
func (p *Pool) sendChecked(ctx context.Context, call *Call, deadline time.Time, c *conn) outcome.Outcome {
	wait, taken, hopeful := p.take()
	if !taken && !hopeful {
		if c != nil {
			p.release(c)
		}
		return &outcome.NotRun{
			Reason:     outcome.BudgetExhausted,
			RetryAfter: wait,
		}
	}
	if c == nil {
		var reason outcome.Reason
		if c, reason = p.connect(ctx, deadline); reason != "" {
			if taken {
				p.opts.ProbeBudget.Cancel()
				p.checked()
			}
			return notRun(reason)
		}
	}
	c, refused := p.check(ctx, call, deadline, c, taken, wait)
	if taken {
		p.checked()
	}
	if refused != nil {
		return refused
	}
	return p.sendOn(ctx, c, call, deadline, false)
}

// take takes a probe for a connection check. If the budget allows none, hopeful tells whether something is in flight
// whose answer could confirm a new connection.
func (p *Pool) take() (wait time.Duration, taken, hopeful bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opts.ProbeBudget != nil {
		wait, taken = p.opts.ProbeBudget.Take(p.opts.Timers.Now())
	}
	if taken {
		p.checks++
		return 0, true, true
	}
	busy := p.checks > 0 || p.open > len(p.idle)+p.waiting
	return wait, false, busy && !p.off.evidence
}

// checked ends a connection check.
func (p *Pool) checked() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checks--
}

// check returns a connection that leads to the expected instance: c, if a load read or evidence from other requests
// confirms it, or one that another call released meanwhile. Taken says that a probe was taken for a load read. Unless it
// returns c, check takes care of it.
func (p *Pool) check(ctx context.Context, call *Call, deadline time.Time, c *conn, taken bool, wait time.Duration) (*conn, outcome.Outcome) {
	if taken {
		if _, err := p.load(ctx, c, deadline); err != nil {
			return nil, notRun(givenUp(ctx, outcome.Dial))
		}
	} else {
		confirmed := p.await(ctx, c, call, deadline)
		if confirmed != c {
			p.release(c)
		}
		if confirmed == nil {
			return nil, &outcome.NotRun{
				Reason:     givenUp(ctx, outcome.BudgetExhausted),
				RetryAfter: wait,
			}
		}
		c = confirmed
	}
	if c.instance == call.Instance {
		return c, nil
	}
	// The connection stays: it leads to the new instance. Once it is released, another call may use and change it.
	instance := c.instance
	p.release(c)
	report, _ := p.LastReport()
	if report.Instance != instance {
		report = outcome.Report{
			Instance: instance,
		}
	}
	return nil, &outcome.NotRun{
		Reason: outcome.InstanceChanged,
		Report: report,
	}
}

// await waits until there is evidence of the instance that c leads to, or until another connection that leads to the
// expected instance is idle. It returns the one or the other, or nil if neither happens in time.
func (p *Pool) await(ctx context.Context, c *conn, call *Call, deadline time.Time) *conn {
	late := time.NewTimer(min(maxAwait, deadline.Sub(p.opts.Timers.Now())))
	defer late.Stop()
	p.wait(1)
	defer p.wait(-1)
	for {
		confirmed, news := p.confirm(c, call.Instance)
		if confirmed == c || confirmed != nil && confirmed.alive() {
			return confirmed
		}
		if confirmed != nil {
			p.drop(confirmed)
			continue
		}
		select {
		case <-news:
		case <-late.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *Pool) wait(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting += n
}

// confirm returns c if there is evidence for its instance, else an idle connection to the given instance that answered
// within the last second, else a channel that is closed when asking again makes sense.
func (p *Pool) confirm(c *conn, instance string) (*conn, <-chan struct{}) {
	now := p.opts.Timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evident(c) {
		c.instance = p.report.Instance
		return c, nil
	}
	for i, other := range slices.Backward(p.idle) {
		if p.leads(other, instance) && now.Sub(other.answered) <= recent {
			p.idle = slices.Delete(p.idle, i, i+1)
			return other, nil
		}
	}
	if p.news == nil {
		p.news = make(chan struct{})
	}
	return nil, p.news
}

// connect opens a connection. The reason is empty if that succeeded.
func (p *Pool) connect(ctx context.Context, deadline time.Time) (*conn, outcome.Reason) {
	if reason := p.reserve(); reason != "" {
		return nil, reason
	}
	c, err := p.dial(ctx, deadline)
	if err != nil {
		reason := givenUp(ctx, outcome.Dial)
		if reason == outcome.Dial {
			p.opts.OnDialError(err)
		}
		return nil, reason
	}
	return c, ""
}

// sendOn sends a call on a connection and passes the connection on to the answer's body, or releases or closes it.
func (p *Pool) sendOn(ctx context.Context, c *conn, call *Call, deadline time.Time, reused bool) outcome.Outcome {
	firstByte := deadline
	// A marked call is not sent again, so giving it up early would gain nothing.
	if reused && call.Idempotent && !call.Repeat && p.opts.FirstByteTimeout > 0 && !p.off.silence {
		if t := p.opts.Timers.Now().Add(p.opts.FirstByteTimeout); t.Before(deadline) {
			firstByte = t
		}
	}
	resp, head, stop, failed := p.exchange(ctx, c, call, deadline, firstByte)
	if failed != nil {
		return failed
	}
	report := head.Report
	if report.Instance == "" && p.opts.traits.VerifiesInstance {
		report.Instance = call.Instance
	}
	c.instance = report.Instance
	p.learn(report, c.sent)
	if head.Refused {
		reason := outcome.Shed
		if head.InstanceMismatch {
			reason = outcome.InstanceChanged
		}
		p.finish(c, stop, !resp.Close && discard(resp))
		return &outcome.NotRun{
			Reason:     reason,
			RetryAfter: head.RetryAfter,
			Report:     report,
		}
	}
	unframed := resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	if unframed && !p.opts.traits.CloseDelimitedBodies && !p.off.extent {
		p.finish(c, stop, false)
		return &outcome.Unknown{
			Reason: outcome.Truncated,
		}
	}
	cleanResponseHeader(resp.Header)
	p.opts.Protocol.StripResponseHeader(resp.Header)
	answered := &outcome.Answered{
		Status: resp.StatusCode,
		Header: resp.Header,
		Length: resp.ContentLength,
		Report: report,
	}
	if resp.Body == http.NoBody {
		p.finish(c, stop, !resp.Close)
		answered.Body = http.NoBody
		answered.Length = 0
		return answered
	}
	answered.Body = &body{
		pool:  p,
		conn:  c,
		src:   resp.Body,
		stop:  stop,
		cause: ctx.Err,
		close: resp.Close || unframed,
	}
	return answered
}

// exchange writes one request and reads the head of its own answer. On failure the connection is closed and the outcome
// is returned. On success the watch on the context continues until stop is called.
func (p *Pool) exchange(ctx context.Context, c *conn, call *Call, deadline, firstByte time.Time) (*http.Response, ResponseHead, func() bool, outcome.Outcome) {
	c.sent = p.opts.Timers.Now()
	host := call.Host
	if host == "" {
		host = p.opts.host
	}
	id := call.ID
	if id == "" {
		id = attemptID()
	}
	c.written = 0
	if err := c.prepare(p.opts.Protocol, call, host, id, deadline.Sub(c.sent)); err != nil {
		p.drop(c)
		return nil, ResponseHead{}, nil, notRun(outcome.Invalid)
	}
	if err := c.nc.SetDeadline(deadline); err != nil {
		p.drop(c)
		return nil, ResponseHead{}, nil, notRun(outcome.Broken)
	}
	c.until = deadline
	if !p.off.ready {
		c.ready = call.BeforeWrite
	}
	stop := context.AfterFunc(ctx, c.abort)
	fail := func(reason outcome.Reason) (*http.Response, ResponseHead, func() bool, outcome.Outcome) {
		p.finish(c, stop, p.off.giveUp && reason == outcome.TimedOut)
		reason = givenUp(ctx, reason)
		if c.written == 0 {
			return nil, ResponseHead{}, nil, notRun(reason)
		}
		return nil, ResponseHead{}, nil, &outcome.Unknown{
			Reason: reason,
		}
	}
	writeErr := c.write()
	switch {
	case writeErr == nil:
	case c.refused != "":
		return fail(c.refused)
	case !c.broken:
		// The stream failed or does not have its length, which means that the caller went away.
		return fail(outcome.Canceled)
	case c.written == 0 || errors.Is(writeErr, os.ErrDeadlineExceeded):
		return fail(failure(writeErr))
	}
	// A target may refuse a call before it has read the whole body, so an answer is looked for after a failed write too.
	if writeErr == nil && firstByte.Before(deadline) {
		if err := c.awaitByte(firstByte); err != nil {
			return fail(failure(err))
		}
	}
	resp, head, err := p.answer(c, id)
	if err != nil {
		return fail(failure(err))
	}
	want := id
	if call.load && p.opts.traits.LoadReadsWithoutID {
		want = ""
	}
	if head.ID != want && !p.off.match {
		return fail(outcome.Mismatched)
	}
	if want != "" {
		c.former = id
	}
	if head.IdleTimeout > 0 {
		c.idle = head.IdleTimeout
	}
	if writeErr != nil {
		resp.Close = true
	}
	return resp, head, stop, nil
}

// answer reads the head of the next answer. A second answer to the attempt before is passed over: a target can send one
// late, where the answer to the present attempt is expected.
func (p *Pool) answer(c *conn, id string) (*http.Response, ResponseHead, error) {
	resp, err := c.read()
	if err != nil {
		return nil, ResponseHead{}, err
	}
	head := p.opts.Protocol.ParseHead(resp)
	if head.ID == id || head.ID == "" || head.ID != c.former || resp.Close || p.off.match || !discard(resp) {
		return resp, head, nil
	}
	if resp, err = c.read(); err != nil {
		return nil, ResponseHead{}, err
	}
	return resp, p.opts.Protocol.ParseHead(resp), nil
}

// finish ends the use of a connection for one request.
func (p *Pool) finish(c *conn, stop func() bool, reusable bool) {
	// If the context has ended, its watch closes the connection now or soon.
	if !stop() || !reusable || c.br.Buffered() > 0 {
		p.drop(c)
		return
	}
	p.release(c)
}

// discard reads a short body to its end, so that the connection can be reused.
func discard(resp *http.Response) bool {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return resp.Body == http.NoBody
	}
	_, err := io.CopyN(io.Discard, resp.Body, maxLoad)
	return err == io.EOF
}

func failure(err error) outcome.Reason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return outcome.TimedOut
	}
	return outcome.Broken
}

// givenUp returns reason, or canceled if the context was canceled, which then is the cause of any failure.
func givenUp(ctx context.Context, reason outcome.Reason) outcome.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcome.Canceled
	}
	return reason
}

func notRun(reason outcome.Reason) *outcome.NotRun {
	return &outcome.NotRun{
		Reason: reason,
	}
}
