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

// call is one call of a caller.
type call struct {
	view    *view
	service *service
	// id is the id of the call at targets, empty if each attempt has its own.
	id string
	// promise is what the caller of the route is owed.
	promise promise
	// arrived is when the head of the call had been read, admitted when its turn came. Waited is for how long its caller is
	// taken to have waited before, because the call was refused and came back.
	arrived  time.Time
	admitted time.Time
	waited   time.Duration
	caller   string
	key      string
	request  *http.Request
	body     []byte
	deadline time.Time
	// idempotent calls may run more than once.
	idempotent bool
	// repeat says that the call descends from a hedge or a repeat of an entry further up. It is neither hedged nor sent
	// again once it may have run.
	repeat bool
	// relayed calls come from another entry, which holds the claim and does the repeats.
	relayed bool
	// base is the context of the call without its deadline. Cancel ends the context of all attempts but hedges, which
	// happens when the call has its answer.
	base   context.Context
	cancel context.CancelFunc
	tried  []string
	// first holds the names in tried of most calls without another allocation.
	first [2]string
	// answered is when the answer was ready to be written.
	answered time.Time
	// permit is the one for the first attempt, if there is one already.
	permit *route.Permit
	// runs counts the attempts that may have run, those in flight included.
	runs atomic.Int32
	// unsent counts the attempts that ended before anything was sent.
	unsent int
	// unknown is the reason of the last attempt whose outcome is unknown, empty if there is none.
	unknown outcome.Reason
	claim   *claim.Claim
}

// serveCall handles one call from a caller.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, false)
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request, relayed bool) {
	start := e.timers.Now()
	e.inflight.Add(1)
	defer e.inflight.Add(-1)
	e.counters.calls.Inc()
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if id := r.Header.Get(headerRequest); relayed && id != "" {
		w.Header().Set(headerRequest, id)
	}
	c, no := e.parse(start, r, relayed)
	if no == nil {
		no = e.handle(w, c)
	}
	if no != nil {
		if c != nil {
			e.traceRefused(c, no)
		} else {
			e.traceUnparsed(r, no)
		}
		e.refuse(w, no)
	}
	e.counters.duration.Update(e.timers.Now().Sub(start).Seconds())
}

// parse reads a call and refuses what can be refused without knowing the load.
func (e *Entry) parse(now time.Time, r *http.Request, relayed bool) (*call, *Refusal) {
	v := e.view.Load()
	if v.settings == nil {
		return nil, notRun(outcome.Isolated, retryLater, "this entry has no settings yet")
	}
	s, promised, ok := v.find(r)
	if !ok {
		return nil, notRun(outcome.UnknownService, 0, "no service has this path")
	}
	q, no := e.protocol.ParseRequest(v.settings, r)
	if no != nil {
		return nil, no
	}
	timeout := promised.deadline
	if class, ok := callerClass(v.settings, q.Caller); ok {
		timeout = min(timeout, time.Duration(class.Deadline))
	}
	if q.Timeout > 0 {
		timeout = min(timeout, q.Timeout)
	}
	c := &call{
		view:       v,
		service:    s,
		id:         e.protocol.RequestID(r),
		promise:    promised,
		arrived:    now,
		caller:     q.Caller,
		key:        q.IdempotencyKey,
		request:    r,
		deadline:   now.Add(timeout),
		idempotent: promised.idempotent,
		repeat:     q.IsRetry,
		relayed:    relayed,
	}
	if q.Timeout > 0 && promised.patience != nil {
		c.waited = promised.patience.Elapsed(now, q.Timeout)
	}
	c.tried = c.first[:0]
	if !c.idempotent && c.key == "" && !relayed && promised.keyed {
		return nil, notRun(outcome.KeyMissing, 0, "a call with method "+r.Method+" needs the header "+headerKey)
	}
	return c, e.readBody(c)
}

func (e *Entry) readBody(c *call) *Refusal {
	if c.request.Body == nil || c.request.ContentLength == 0 {
		return nil
	}
	limit := c.view.settings.Limits.Body
	body, err := io.ReadAll(io.LimitReader(c.request.Body, int64(limit)+1))
	if err != nil {
		return notRun(outcome.Invalid, 0, "the request body could not be read")
	}
	if len(body) > limit {
		no := notRun(outcome.Invalid, 0, "the request body is larger than limits.body")
		no.Status = http.StatusRequestEntityTooLarge
		return no
	}
	c.body = body
	return nil
}

// handle admits a call, runs it and writes its answer. A returned refusal is still to be written.
func (e *Entry) handle(w http.ResponseWriter, c *call) *Refusal {
	if !e.contact(e.timers.Now()) {
		return notRun(outcome.Isolated, retryLater, "this entry has lost contact with the platform and its peers")
	}
	ctx := c.request.Context()
	if !c.idempotent && c.key != "" {
		// A caller that goes away repeats the call. Its answer is then in the record, whereas a call that was cancelled
		// would stay unknown.
		ctx = context.WithoutCancel(ctx)
	}
	c.base = ctx
	ctx, c.cancel = context.WithDeadline(ctx, c.deadline)
	defer c.cancel()
	end, no := e.admit(ctx, c)
	if no != nil {
		return no
	}
	defer end()
	if !c.idempotent && !c.relayed && c.key != "" {
		return e.handleOnce(ctx, w, c)
	}
	if !c.idempotent {
		// From here on the call may run. A caller that goes away learns nothing of it either way, and a call that is cut
		// off may have run in part.
		c.base = context.WithoutCancel(ctx)
		ctx, c.cancel = context.WithDeadline(c.base, c.deadline)
		defer c.cancel()
	}
	switch o := e.run(ctx, c).(type) {
	case *answer:
		e.deliver(w, c, o)
		return nil
	case *outcome.NotRun:
		return notRun(o.Reason, orLater(o.RetryAfter), "not run")
	case *outcome.Unknown:
		return unfinished(c, o.Reason)
	default:
		panic(errors.AssertionFailedf("unknown result %T", o))
	}
}

// admit lets a call wait for its turn. For a service with registered targets it waits for a target, and the call has its
// permit afterwards. End is to be called when the call has ended.
func (e *Entry) admit(ctx context.Context, c *call) (end func(), no *Refusal) {
	if c.view.registered {
		permit, refused := e.place(ctx, c)
		if refused != nil {
			if c.promise.patience != nil {
				c.promise.patience.RecordRefusal(e.timers.Now())
			}
			return nil, notRun(refused.Reason, refused.RetryAfter, "no target was free in time")
		}
		c.permit = permit
		c.admitted = e.timers.Now()
		e.counters.waited(c.service.name, c.admitted.Sub(c.arrived))
		return func() { c.service.line.wake() }, nil
	}
	c.service.active.Store(true)
	ticket, refused := c.service.scheduler.Admit(ctx, c.caller, c.deadline)
	if refused != nil {
		return nil, notRun(refused.Reason, refused.RetryAfter, "not admitted")
	}
	c.admitted = e.timers.Now()
	e.counters.waited(c.service.name, c.admitted.Sub(c.arrived))
	return func() {
		now := e.timers.Now()
		if c.answered.IsZero() {
			c.answered = now
		}
		// The time that a slow caller takes to read a large answer says nothing of how long calls take.
		ticket.Done(now, c.answered.Sub(c.admitted))
		e.adjustSoon(now, c.service)
	}, nil
}

// handleOnce runs a non-idempotent call under a claim.
func (e *Entry) handleOnce(ctx context.Context, w http.ResponseWriter, c *call) *Refusal {
	switch d := e.ledger.Acquire(ctx, c.claimKey(), c.digest()).(type) {
	case *claim.Granted:
		c.claim = d.Claim
	case *claim.Done:
		e.replay(w, d)
		return nil
	case *claim.Busy:
		return &Refusal{
			Status:     http.StatusConflict,
			Outcome:    outcomeUnknown,
			Reason:     outcome.Claimed,
			RetryAfter: retryLater,
			Message:    "a call with this key is being run by " + d.Entry + ", or its outcome is unknown",
		}
	case *claim.Mismatch:
		return notRun(outcome.Conflict, 0, "the key was used with another request")
	case *claim.Unavailable:
		return notRun(outcome.TableUnavailable, orLater(d.RetryAfter), "the platform's table cannot record the call")
	}
	switch o := e.run(ctx, c).(type) {
	case *answer:
		// The record does not wait for the caller, who may be slow or gone.
		c.claim.Finish(o.Status, o.Header.Get("Content-Type"), o.recorded())
		e.deliver(w, c, o)
		return nil
	case *outcome.NotRun:
		c.claim.Release()
		return notRun(o.Reason, orLater(o.RetryAfter), "not run")
	case *outcome.Unknown:
		c.claim.Abandon()
		return unfinished(c, o.Reason)
	default:
		panic(errors.AssertionFailedf("unknown result %T", o))
	}
}

// claimKey returns the key under which the call is claimed. Keys of different callers do not meet.
func (c *call) claimKey() string {
	return c.service.name + "/" + c.caller + "/" + c.key
}

func (c *call) digest() string {
	h := sha256.New()
	io.WriteString(h, c.request.Method+" "+c.request.URL.RequestURI()+"\n")
	h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil))
}
