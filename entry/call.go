package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/claim"
	"skylarkbeam/outcome"
	"skylarkbeam/route"
)

// call is the state of one call.
type call struct {
	snapshot *snapshot
	service  *service
	// id is the request ID sent to targets. If it is empty, each attempt gets its own.
	id     string
	policy callPolicy
	// arrivedAt is when the request header had been read, and admittedAt when the call was admitted. elapsedBefore is
	// the estimated time that the caller waited before, because the call was refused and retried.
	arrivedAt     time.Time
	admittedAt    time.Time
	elapsedBefore time.Duration
	caller        string
	key           string
	request       *http.Request
	body          requestBody
	deadline      time.Time
	// idempotent calls may run more than once.
	idempotent bool
	// isRetry is set for a call that is itself a retry or hedge of an upstream entry. It is neither hedged nor
	// retried once it may have run.
	isRetry bool
	// relayed is set for a call from another entry, which holds the claim and makes the retries.
	relayed bool
	// baseCtx is the context of the call without its deadline. cancel ends the context of all attempts except hedges,
	// when the call has its response.
	baseCtx context.Context
	cancel  context.CancelFunc
	// waiting is the context while the call certainly does not run anywhere. It ends when the caller disconnects. place is
	// where the call waits then.
	waiting context.Context
	place   place
	tried   []string
	// triedArray backs tried, to avoid an allocation for most calls.
	triedArray [2]string
	// answeredAt is when the response was ready to be written.
	answeredAt time.Time
	// permit is the permit for the first attempt, if the call already has one.
	permit *route.Permit
	// runs counts the attempts that may have run, including those in flight.
	runs atomic.Int32
	// unsentAttempts counts the attempts that ended before anything was sent.
	unsentAttempts int
	// unknownReason is the reason of the last attempt whose outcome is unknown, empty if there is none.
	unknownReason outcome.Reason
	claim         *claim.Claim
	workspaceState
}

// serveCall handles a call from a caller.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request) {
	e.serveRequest(w, r, false)
}

func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request, relayed bool) {
	start := e.timers.Now()
	e.inflight.Add(1)
	defer e.inflight.Add(-1)
	e.metrics.calls.Inc()
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if id := r.Header.Get(headerRequest); relayed && id != "" {
		w.Header().Set(headerRequest, id)
	}
	c, refusal := e.parseCall(start, r, relayed)
	if refusal == nil {
		var release func()
		release, refusal = e.receiveBody(w, c)
		defer release()
	}
	if refusal == nil {
		refusal = e.handleCall(w, c)
	}
	e.recordWorkspace(c, refusal)
	if refusal != nil && refusal.NotRun() {
		e.returnPermit(c)
	}
	if refusal != nil {
		if c != nil {
			e.logRefused(c, refusal)
		} else {
			e.logUnparsed(r, refusal)
		}
		e.writeRefusal(w, refusal)
	}
	e.metrics.duration.Update(e.timers.Now().Sub(start).Seconds())
}

// parseCall reads a call. It refuses calls that are invalid regardless of load.
func (e *Entry) parseCall(now time.Time, r *http.Request, relayed bool) (*call, *Refusal) {
	snap := e.awaitSettings(r.Context())
	if snap.settings == nil {
		return nil, notRunRefusal(outcome.Isolated, defaultRetryAfter, "this entry has no settings yet")
	}
	admitted, refusal := e.admitRequest(snap, r, relayed)
	if refusal != nil {
		return nil, refusal
	}
	snap = admitted.snapshot
	s, policy := admitted.service, admitted.policy
	metadata, refusal := e.protocol.ParseRequest(snap.settings, r)
	if refusal != nil {
		return nil, refusal
	}
	timeout := policy.deadline
	if class, ok := callerClass(snap.settings, metadata.Caller); ok {
		timeout = min(timeout, time.Duration(class.Deadline))
	}
	if metadata.Timeout > 0 {
		timeout = min(timeout, metadata.Timeout)
	}
	c := &call{
		snapshot:   snap,
		service:    s,
		id:         e.protocol.RequestID(r),
		policy:     policy,
		arrivedAt:  now,
		caller:     metadata.Caller,
		key:        metadata.IdempotencyKey,
		request:    r,
		deadline:   now.Add(timeout),
		idempotent: policy.idempotent,
		isRetry:    metadata.IsRetry,
		relayed:    relayed,
		workspaceState: workspaceState{
			identity: admitted.identity,
		},
	}
	if metadata.Timeout > 0 && policy.elapsed != nil {
		c.elapsedBefore = policy.elapsed.Elapsed(now, metadata.Timeout)
	}
	c.tried = c.triedArray[:0]
	if !c.idempotent && c.key == "" && !relayed && policy.requiresKey {
		return nil, notRunRefusal(outcome.KeyMissing, 0, "a call with method "+r.Method+" needs the header "+headerKey)
	}
	return c, e.takePermit(r.Context(), c)
}

// handleCall admits a call, runs it and writes its response. A returned refusal has not been written yet.
func (e *Entry) handleCall(w http.ResponseWriter, c *call) *Refusal {
	switch reason := e.dispatchRefusal(e.timers.Now()); reason {
	case outcome.Isolated:
		return notRunRefusal(reason, defaultRetryAfter, "this entry has lost contact with the platform and its peers")
	case outcome.Leaving:
		return leavingRefusal()
	}
	ctx, release := c.setContexts(c.request.Context())
	defer release()
	c.place = c.waitPlace()
	finish, refusal := e.admit(c.waiting, c)
	if refusal != nil {
		return refusal
	}
	defer finish()
	if !c.idempotent && !c.relayed && c.key != "" {
		return e.handleClaimed(ctx, w, c)
	}
	switch o := e.runCall(ctx, c).(type) {
	case *response:
		e.writeResponse(w, c, o)
		return nil
	case *outcome.NotRun:
		return notRunRefusal(o.Reason, orDefaultRetryAfter(o.RetryAfter), "not run")
	case *outcome.Unknown:
		return unknownOutcomeRefusal(c, o.Reason)
	default:
		panic(errors.AssertionFailedf("unknown result %T", o))
	}
}

// admit waits until the call is admitted. For a service with registered targets it waits for a target and stores the
// permit in the call. The caller must call finish when the call has ended.
func (e *Entry) admit(ctx context.Context, c *call) (finish func(), refusal *Refusal) {
	if c.snapshot.registered {
		permit, refused := e.waitForTarget(ctx, c)
		if refused != nil && refused.Reason == outcome.Leaving {
			return nil, leavingRefusal()
		}
		if refused != nil {
			if c.policy.elapsed != nil {
				c.policy.elapsed.RecordRefusal(e.timers.Now())
			}
			return nil, notRunRefusal(refused.Reason, refused.RetryAfter, "no target was free in time")
		}
		c.permit = permit
		c.admittedAt = e.timers.Now()
		e.metrics.recordWait(c.service.name, c.admittedAt.Sub(c.arrivedAt))
		return func() { c.service.queue.wake() }, nil
	}
	c.service.active.Store(true)
	ticket, refused := c.service.scheduler.Admit(ctx, c.caller, c.deadline)
	if refused != nil {
		return nil, notRunRefusal(refused.Reason, refused.RetryAfter, "not admitted")
	}
	c.admittedAt = e.timers.Now()
	e.metrics.recordWait(c.service.name, c.admittedAt.Sub(c.arrivedAt))
	return func() {
		now := e.timers.Now()
		if c.answeredAt.IsZero() {
			c.answeredAt = now
		}
		// A slow caller reading a large response must not count as service time.
		ticket.Done(now, c.answeredAt.Sub(c.admittedAt))
		e.adjustAfterCall(now, c.service)
	}, nil
}

// handleClaimed runs a non-idempotent call under a claim.
func (e *Entry) handleClaimed(ctx context.Context, w http.ResponseWriter, c *call) *Refusal {
	c.place = placeClaim
	// The claim is acquired also if the caller leaves meanwhile: a write to the table that is cut off may have been
	// performed, and the key would stay claimed.
	switch d := e.claims.Acquire(ctx, c.claimKey(), c.requestDigest()).(type) {
	case *claim.Granted:
		c.claim = d.Claim
	case *claim.Done:
		e.replayResponse(w, d)
		return nil
	case *claim.Busy:
		return &Refusal{
			Status:     http.StatusConflict,
			Outcome:    outcomeUnknown,
			Reason:     outcome.Claimed,
			RetryAfter: defaultRetryAfter,
			Message:    "a call with this key is being run by " + d.Entry + ", or its outcome is unknown",
		}
	case *claim.Mismatch:
		return notRunRefusal(outcome.Conflict, 0, "the key was used with another request")
	case *claim.Unavailable:
		return notRunRefusal(outcome.TableUnavailable, orDefaultRetryAfter(d.RetryAfter),
			"the platform's table cannot record the call")
	}
	switch o := e.runCall(ctx, c).(type) {
	case *response:
		// Record the response first, because the caller may be slow or disconnected.
		c.claim.Finish(o.Status, o.Header.Get("Content-Type"), o.recordedBody())
		e.writeResponse(w, c, o)
		return nil
	case *outcome.NotRun:
		c.claim.Release()
		return notRunRefusal(o.Reason, orDefaultRetryAfter(o.RetryAfter), "not run")
	case *outcome.Unknown:
		c.claim.Abandon()
		return unknownOutcomeRefusal(c, o.Reason)
	default:
		panic(errors.AssertionFailedf("unknown result %T", o))
	}
}

// claimKey returns the key of the claim. It contains the caller, so that keys of different callers do not collide.
func (c *call) claimKey() string {
	return c.service.name + "/" + c.caller + "/" + c.key
}

func (c *call) requestDigest() string {
	h := sha256.New()
	io.WriteString(h, c.request.Method+" "+c.request.RequestURI+"\n")
	for _, piece := range c.body.pieces {
		h.Write(piece)
	}
	return hex.EncodeToString(h.Sum(nil))
}
