package target

import (
	"context"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/outcome"
)

// maxStaleResetDelay is how soon after a call a reset shows that the target had already closed the reused connection.
// It covers the round trip to the target, with room for a busy machine. A connection that breaks later has carried the
// call.
const maxStaleResetDelay = 100 * time.Millisecond

// Send sends a call and returns when the head of its response has arrived or the call is given up. It never returns
// nil.
//
// Send itself sends a call a second time in two cases, both only if the first attempt used a reused connection and the
// call has no stream: if nothing of the first attempt was written, and if an idempotent call got no response because
// the connection was silent or was reset at once. If the first attempt may have been executed, the second is marked as
// a repeat, and the outcome is never NotRun.
//
// A new connection for a call with an expected instance is confirmed by a load read or, if the probe budget allows
// none, by the response to another request that was written after the connection was open. The same holds for any
// connection once the last report is older than maxReportAge.
//
// Right before it writes each attempt, Send checks the remaining time and calls Call.BeforeWrite and Call.Reserve.
//
// NotRun has the reason queue if all connections are in use, budget if a new connection cannot be confirmed, instance
// if the target is another instance than expected, leaving if a check shows that it is, and dial if no connection could be opened or checked.
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
	if report, ok := p.instanceReplaced(call.Instance, now); ok {
		return &outcome.NotRun{
			Reason: outcome.InstanceChanged,
			Report: report,
		}
	}
	c := p.takeIdle(call, now)
	old, leaving := p.checkReport(call, now)
	if leaving != nil {
		if c != nil {
			p.returnIdle(c)
		}
		return leaving
	}
	if c == nil || !p.canCarry(c, call) || old {
		return p.sendUnconfirmed(ctx, call, deadline, c)
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
		return p.sendUnconfirmed(ctx, call, deadline, nil)
	case *outcome.Unknown:
		if !call.Idempotent || call.Repeat || !p.isStaleConn(o.Reason, p.opts.Timers.Now().Sub(now)) {
			return first
		}
		if p.opts.MayRetry != nil && !p.opts.MayRetry() {
			return first
		}
		p.opts.OnRetry(o.Reason)
		// Connections tend to go silent together, so close those without a response since then.
		p.closeIdleBefore(now)
		repeat := *call
		repeat.Repeat = true
		second := p.sendUnconfirmed(ctx, &repeat, deadline, nil)
		if _, ok := second.(*outcome.NotRun); ok && !p.disabled.unknownOutcome {
			return first
		}
		return second
	}
	return first
}

// isStaleConn reports whether a call that got no response on a reused connection shows that this connection was dead,
// and not the target.
func (p *Pool) isStaleConn(reason outcome.Reason, elapsed time.Duration) bool {
	return reason == outcome.TimedOut || reason == outcome.Broken && elapsed < maxStaleResetDelay
}

// canCarry reports whether c may carry call without another check of the target's instance.
func (p *Pool) canCarry(c *conn, call *Call) bool {
	return call.Instance == "" || c.instance == call.Instance || p.skipsInstanceCheck()
}

// checkReport reports whether the last report is too old for a call. If it is recent and says that the target is leaving,
// checkReport returns the outcome of the call: its target may have been chosen before the report arrived.
func (p *Pool) checkReport(call *Call, now time.Time) (old bool, leaving *outcome.NotRun) {
	if call.Instance == "" || p.skipsInstanceCheck() || p.opts.ProbeBudget == nil || p.disabled.maxReportAge {
		return false, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reportIsOld(now) {
		return true, nil
	}
	if p.report.Instance == call.Instance && p.report.Phase == outcome.PhaseDraining {
		return false, &outcome.NotRun{
			Reason: outcome.Leaving,
			Report: p.report,
		}
	}
	return false, nil
}

// reportIsOld reports whether the last report is older than maxReportAge. The caller must hold p.mu.
func (p *Pool) reportIsOld(now time.Time) bool { return now.Sub(p.reportedAt) > maxReportAge }

// sendUnconfirmed sends a call on a connection that is not confirmed, or on a new one if c is nil.
func (p *Pool) sendUnconfirmed(ctx context.Context, call *Call, deadline time.Time, c *conn) outcome.Outcome {
	if call.Instance != "" && !p.skipsInstanceCheck() {
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
	wait, taken, confirmable := p.takeProbe()
	if !taken && !confirmable {
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
				p.endCheck()
			}
			return notRun(reason)
		}
	}
	c, refused := p.confirmInstance(ctx, call, deadline, c, taken, wait)
	if taken {
		p.endCheck()
	}
	if refused != nil {
		return refused
	}
	return p.sendOn(ctx, c, call, deadline, false)
}

// takeProbe takes a probe for a connection check. If the budget allows none, confirmable reports whether a pending
// response could confirm a new connection.
func (p *Pool) takeProbe() (wait time.Duration, taken, confirmable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opts.ProbeBudget != nil {
		wait, taken = p.opts.ProbeBudget.Take(p.opts.Timers.Now())
	}
	if taken {
		p.checks++
		return 0, true, true
	}
	responsePending := p.checks > 0 || p.open > len(p.idle)+p.waiters
	return wait, false, responsePending && !p.disabled.passiveConfirmation
}

// endCheck ends a connection check.
func (p *Pool) endCheck() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checks--
}

// confirmInstance returns a connection that leads to the expected instance: either c, once a load read or the response
// to another request confirms it, or a connection that another call has released meanwhile. Taken reports whether a
// probe was taken for a load read. If confirmInstance does not return c, it releases or closes it.
func (p *Pool) confirmInstance(ctx context.Context, call *Call, deadline time.Time, c *conn, taken bool, wait time.Duration) (*conn, outcome.Outcome) {
	if taken {
		if _, err := p.probeConn(ctx, c, deadline); err != nil {
			return nil, notRun(canceledOr(ctx, outcome.Dial))
		}
	} else {
		confirmed := p.awaitConfirmation(ctx, c, call, deadline)
		if confirmed != c {
			p.release(c)
		}
		if confirmed == nil {
			return nil, &outcome.NotRun{
				Reason:     canceledOr(ctx, outcome.BudgetExhausted),
				RetryAfter: wait,
			}
		}
		c = confirmed
	}
	if report, _ := p.LastReport(); report.Instance == c.instance && report.Phase == outcome.PhaseDraining {
		p.release(c)
		return nil, &outcome.NotRun{
			Reason: outcome.Leaving,
			Report: report,
		}
	}
	if c.instance == call.Instance {
		return c, nil
	}
	// The connection leads to the new instance and is kept. Read its instance first, because another call may use and
	// change the connection after its release.
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

// awaitConfirmation waits until the response to another request confirms c, or until another connection that leads to
// the expected instance is idle. It returns that connection, or nil if neither happens in time.
func (p *Pool) awaitConfirmation(ctx context.Context, c *conn, call *Call, deadline time.Time) *conn {
	timeout := time.NewTimer(min(p.opts.ConfirmationWait, deadline.Sub(p.opts.Timers.Now())))
	defer timeout.Stop()
	p.addWaiters(1)
	defer p.addWaiters(-1)
	for {
		confirmed, changed := p.tryConfirm(c, call)
		if confirmed == c || confirmed != nil && confirmed.alive() {
			return confirmed
		}
		if confirmed != nil {
			p.closeConns(confirmed)
			continue
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *Pool) addWaiters(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters += n
}

// tryConfirm returns c if its instance is confirmed, else an idle connection to the expected instance that got a response
// within the last second and may carry call. If there is none, it returns a channel that is closed when another attempt
// makes sense.
func (p *Pool) tryConfirm(c *conn, call *Call) (*conn, <-chan struct{}) {
	now := p.opts.Timers.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.confirmedByReport(c) && (!p.reportIsOld(now) || p.disabled.maxReportAge) {
		c.instance = p.report.Instance
		return c, nil
	}
	for i, other := range slices.Backward(p.idle) {
		if p.leadsTo(other, call.Instance) && now.Sub(other.respondedAt) <= freshnessLimit && !p.refusedOn(other, call) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return other, nil
		}
	}
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return nil, p.changed
}

// connect opens a connection. It returns an empty reason on success.
func (p *Pool) connect(ctx context.Context, deadline time.Time) (*conn, outcome.Reason) {
	if reason := p.reserveSlot(); reason != "" {
		return nil, reason
	}
	c, err := p.dial(ctx, deadline)
	if err != nil {
		reason := canceledOr(ctx, outcome.Dial)
		if reason == outcome.Dial {
			p.opts.OnDialError(err)
		}
		return nil, reason
	}
	return c, ""
}

// sendOn sends a call on a connection and hands the connection over to the response body, or releases or closes it.
func (p *Pool) sendOn(ctx context.Context, c *conn, call *Call, deadline time.Time, reused bool) outcome.Outcome {
	firstByte := deadline
	// A repeat is not sent again, so an early timeout would gain nothing.
	if reused && call.Idempotent && !call.Repeat && p.opts.FirstByteTimeout > 0 && !p.disabled.firstByteTimeout {
		if t := p.opts.Timers.Now().Add(p.opts.FirstByteTimeout); t.Before(deadline) {
			firstByte = t
		}
	}
	resp, head, stopWatch, failure := p.exchange(ctx, c, call, deadline, firstByte)
	if failure != nil {
		return failure
	}
	report := head.Report
	if report.Instance == "" && p.opts.capabilities.VerifiesInstance {
		report.Instance = call.Instance
	}
	c.instance = report.Instance
	p.recordReport(report, c.sentAt)
	if head.Refused {
		reason := outcome.Shed
		if head.InstanceMismatch {
			reason = outcome.InstanceChanged
		}
		if call.ID != "" {
			c.refused = append(c.refused, call.ID)
		}
		p.finish(c, stopWatch, !resp.Close && len(c.refused) < maxRefusals && c.discardBody(resp))
		return &outcome.NotRun{
			Reason:     reason,
			RetryAfter: head.RetryAfter,
			Report:     report,
		}
	}
	closeDelimited := endsWithConnection(resp)
	if closeDelimited && !p.opts.capabilities.CloseDelimitedBodies && !p.disabled.knownLength {
		p.finish(c, stopWatch, false)
		return &outcome.Unknown{
			Reason: outcome.Truncated,
		}
	}
	removeHopByHop(resp.Header)
	p.opts.Protocol.StripResponseHeader(resp.Header)
	answered := &outcome.Answered{
		Status: resp.StatusCode,
		Header: resp.Header,
		Length: resp.ContentLength,
		Report: report,
	}
	if resp.Body == http.NoBody {
		p.finish(c, stopWatch, !resp.Close)
		answered.Body = http.NoBody
		answered.Length = 0
		return answered
	}
	answered.Body = &responseBody{
		pool:       p,
		conn:       c,
		reader:     resp.Body,
		stopWatch:  stopWatch,
		contextErr: ctx.Err,
		closeConn:  resp.Close || closeDelimited,
	}
	return answered
}

// exchange writes one request and reads the head of its response. On failure it closes the connection and returns the
// outcome. On success the connection is closed when the context ends, until the returned function is called.
func (p *Pool) exchange(ctx context.Context, c *conn, call *Call, deadline, firstByte time.Time) (*http.Response, ResponseHead, func() bool, outcome.Outcome) {
	c.sentAt = p.opts.Timers.Now()
	host := call.Host
	if host == "" {
		host = p.opts.host
	}
	id := call.ID
	if id == "" {
		id = newAttemptID()
	}
	c.writtenBytes = 0
	if err := c.prepareRequest(p.opts.Protocol, call, host, id, deadline.Sub(c.sentAt)); err != nil {
		p.closeConns(c)
		return nil, ResponseHead{}, nil, notRun(outcome.Invalid)
	}
	if err := c.nc.SetDeadline(deadline); err != nil {
		p.closeConns(c)
		return nil, ResponseHead{}, nil, notRun(outcome.Broken)
	}
	c.deadline = deadline
	if !p.disabled.beforeWrite {
		c.beforeWrite = call.BeforeWrite
	}
	c.reserve = call.Reserve
	stopWatch := context.AfterFunc(ctx, c.abort)
	fail := func(reason outcome.Reason) (*http.Response, ResponseHead, func() bool, outcome.Outcome) {
		p.finish(c, stopWatch, p.disabled.closeOnTimeout && reason == outcome.TimedOut)
		reason = canceledOr(ctx, reason)
		if c.writtenBytes == 0 {
			return nil, ResponseHead{}, nil, notRun(reason)
		}
		return nil, ResponseHead{}, nil, &outcome.Unknown{
			Reason: reason,
		}
	}
	writeErr := c.writeRequest()
	switch {
	case writeErr == nil:
	case c.refusal != "":
		return fail(c.refusal)
	case !c.writeFailed:
		// The stream failed or has another length than declared, which means that the caller went away.
		return fail(outcome.Canceled)
	case c.writtenBytes == 0 || errors.Is(writeErr, os.ErrDeadlineExceeded):
		return fail(failureReason(writeErr))
	}
	// A target may refuse a call before it has read the whole body, so a response is read even after a failed write.
	if writeErr == nil && firstByte.Before(deadline) {
		if err := c.awaitFirstByte(firstByte); err != nil {
			return fail(failureReason(err))
		}
	}
	resp, head, err := p.readHead(c, id)
	if err != nil {
		if !p.opts.Timers.Now().Before(deadline) {
			err = os.ErrDeadlineExceeded // The parser may report a line that the timeout has cut instead.
		}
		return fail(failureReason(err))
	}
	wantID := id
	if call.loadRead && p.opts.capabilities.LoadReadsWithoutID {
		wantID = ""
	}
	if head.ID != wantID && !p.disabled.requestIDMatch {
		return fail(outcome.Mismatched)
	}
	if wantID != "" {
		c.previousID = id
	}
	if head.IdleTimeout > 0 {
		c.targetIdleTimeout = head.IdleTimeout
	}
	if writeErr != nil {
		resp.Close = true
		// The failed write has taken the pending error of the connection, so a read after a reset reports an end in order.
		if endsWithConnection(resp) && !head.Refused && !p.disabled.writeFailure {
			return fail(outcome.Truncated)
		}
	}
	return resp, head, stopWatch, nil
}

// endsWithConnection reports whether a response has a body without a length, which is complete when the target closes the
// connection in order (RFC 9112, 6.3).
func endsWithConnection(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// readHead reads the head of the next response. It skips a second response to the previous attempt, which a target can
// send late.
func (p *Pool) readHead(c *conn, id string) (*http.Response, ResponseHead, error) {
	resp, err := c.readResponse()
	if err != nil {
		return nil, ResponseHead{}, err
	}
	head := p.opts.Protocol.ParseHead(resp)
	if head.ID == id || head.ID == "" || head.ID != c.previousID || resp.Close || p.disabled.requestIDMatch || !c.discardBody(resp) {
		return resp, head, nil
	}
	if resp, err = c.readResponse(); err != nil {
		return nil, ResponseHead{}, err
	}
	return resp, p.opts.Protocol.ParseHead(resp), nil
}

// finish ends the use of a connection for one request.
func (p *Pool) finish(c *conn, stopWatch func() bool, reusable bool) {
	// If the context has ended, its watch closes the connection now or soon.
	if !stopWatch() || !reusable || c.br.Buffered() > 0 {
		p.closeConns(c)
		return
	}
	p.release(c)
}

func failureReason(err error) outcome.Reason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return outcome.TimedOut
	}
	return outcome.Broken
}

// canceledOr returns reason, or canceled if the context was canceled, because that is then the cause of any failure.
func canceledOr(ctx context.Context, reason outcome.Reason) outcome.Reason {
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
