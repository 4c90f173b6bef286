package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/claim"
	"skylarkbeam/outcome"
	"skylarkbeam/route"
	"skylarkbeam/setting"
)

const (
	// maxBody is the largest request body in bytes. A body is held in memory because its digest belongs to the claim, and
	// because an idempotent call may be sent again.
	maxBody = 4 << 20
	// retryLater is what a refused caller is told if nothing better is known.
	retryLater = time.Second
	// maxUnsent bounds the attempts of a call that end before anything is sent. With a third of the targets restarted at
	// once, the chance that all four attempts meet one of them is below 2%.
	maxUnsent = 3
	// pollCapacity is how often a call that was admitted looks for a target while all are taken.
	pollCapacity = time.Millisecond
)

// call is one call of a caller.
type call struct {
	view     *view
	service  *service
	caller   string
	key      string
	request  *http.Request
	body     []byte
	deadline time.Time
	// idempotent calls may run more than once.
	idempotent bool
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
	// unsent counts the attempts that ended before anything was sent.
	unsent int
	// unknown is the reason of the last attempt whose outcome is unknown, empty if there is none.
	unknown outcome.Reason
	claim   *claim.Claim
}

// refusal says why a call gets no answer of a target. It is sent by the entry itself.
type refusal struct {
	status  int
	outcome string
	reason  outcome.Reason
	after   time.Duration
	text    string
}

func notRun(reason outcome.Reason, after time.Duration, text string) *refusal {
	status := http.StatusServiceUnavailable
	switch reason {
	case outcome.Share:
		status = http.StatusTooManyRequests
	case outcome.Key, outcome.Caller, outcome.Invalid:
		status = http.StatusBadRequest
	case outcome.Service:
		status = http.StatusNotFound
	case outcome.Conflict:
		status = http.StatusUnprocessableEntity
	}
	return &refusal{
		status:  status,
		outcome: outcomeNotRun,
		reason:  reason,
		after:   after,
		text:    text,
	}
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
		e.refuse(w, no)
	}
	e.counters.duration.Update(e.timers.Now().Sub(start).Seconds())
}

// parse reads a call and refuses what can be refused without knowing the load.
func (e *Entry) parse(now time.Time, r *http.Request, relayed bool) (*call, *refusal) {
	v := e.view.Load()
	if v.settings == nil {
		return nil, notRun(outcome.Isolated, retryLater, "this entry has no settings yet")
	}
	name, ok := v.paths.Find(r.URL.Path)
	if !ok {
		return nil, notRun(outcome.Service, 0, "no service has this path")
	}
	caller := r.Header.Get(headerCaller)
	class, ok := callerClass(v.settings, caller)
	if !ok {
		return nil, notRun(outcome.Caller, 0, "unknown caller in header "+headerCaller)
	}
	s := v.services[name]
	c := &call{
		view:       v,
		service:    s,
		caller:     caller,
		key:        r.Header.Get(headerKey),
		request:    r,
		deadline:   now.Add(time.Duration(min(s.spec.Deadline, class.Deadline))),
		idempotent: s.spec.Idempotent(r.Method),
		relayed:    relayed,
	}
	c.tried = c.first[:0]
	if text := r.Header.Get(headerTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return nil, notRun(outcome.Invalid, 0, "header "+headerTimeout+" is not a positive duration")
		}
		if d := now.Add(timeout); d.Before(c.deadline) {
			c.deadline = d
		}
	}
	if !c.idempotent && c.key == "" && !relayed {
		return nil, notRun(outcome.Key, 0, "a call with method "+r.Method+" needs the header "+headerKey)
	}
	return c, e.readBody(c)
}

func callerClass(settings *setting.Settings, caller string) (setting.Class, bool) {
	c, ok := settings.Callers[caller]
	if !ok {
		return setting.Class{}, false
	}
	class, ok := settings.Classes[c.Class]
	return class, ok
}

func (e *Entry) readBody(c *call) *refusal {
	if c.request.Body == nil || c.request.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(c.request.Body, maxBody+1))
	if err != nil {
		return notRun(outcome.Invalid, 0, "the request body could not be read")
	}
	if len(body) > maxBody {
		no := notRun(outcome.Invalid, 0, "the request body is larger than 4 MiB")
		no.status = http.StatusRequestEntityTooLarge
		return no
	}
	c.body = body
	return nil
}

// handle admits a call, runs it and writes its answer. A returned refusal is still to be written.
func (e *Entry) handle(w http.ResponseWriter, c *call) *refusal {
	if !e.contact(e.timers.Now()) {
		return notRun(outcome.Isolated, retryLater, "this entry has lost contact with the platform and its peers")
	}
	ctx := c.request.Context()
	if !c.idempotent {
		// A caller that goes away repeats the call. Its answer is then in the record, whereas a call that was cancelled
		// would stay unknown.
		ctx = context.WithoutCancel(ctx)
	}
	c.base = ctx
	ctx, c.cancel = context.WithDeadline(ctx, c.deadline)
	defer c.cancel()
	c.service.active.Store(true)
	ticket, refused := c.service.scheduler.Admit(ctx, c.caller, c.deadline)
	if refused != nil {
		return notRun(refused.Reason, refused.RetryAfter, "not admitted")
	}
	admitted := e.timers.Now()
	defer func() {
		now := e.timers.Now()
		if c.answered.IsZero() {
			c.answered = now
		}
		// The time that a slow caller takes to read a large answer says nothing of how long calls take.
		ticket.Done(now, c.answered.Sub(admitted))
		e.adjustSoon(now, c.service)
	}()
	if !c.idempotent && !c.relayed {
		return e.handleOnce(ctx, w, c)
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

func orLater(d time.Duration) time.Duration {
	if d <= 0 {
		return retryLater
	}
	return d
}

// unfinished is the final answer to a call whose outcome is unknown.
func unfinished(c *call, reason outcome.Reason) *refusal {
	no := &refusal{
		status:  http.StatusBadGateway,
		outcome: outcomeFailed,
		reason:  reason,
		text:    "no whole answer from a target",
	}
	if reason == outcome.Silent || reason == outcome.Deadline {
		no.status = http.StatusGatewayTimeout
	}
	if !c.idempotent {
		no.outcome = outcomeUnknown
		no.text = "the call may have run"
	}
	return no
}

// handleOnce runs a non-idempotent call under a claim.
func (e *Entry) handleOnce(ctx context.Context, w http.ResponseWriter, c *call) *refusal {
	switch d := e.ledger.Take(ctx, c.claimKey(), c.digest()).(type) {
	case *claim.Granted:
		c.claim = d.Claim
	case *claim.Done:
		e.replay(w, d)
		return nil
	case *claim.Busy:
		return &refusal{
			status:  http.StatusConflict,
			outcome: outcomeUnknown,
			reason:  outcome.Claimed,
			after:   retryLater,
			text:    "a call with this key is being run by " + d.Entry + ", or its outcome is unknown",
		}
	case *claim.Mismatch:
		return notRun(outcome.Conflict, 0, "the key was used with another request")
	case *claim.Unavailable:
		return notRun(outcome.Table, orLater(d.RetryAfter), "the platform's table cannot record the call")
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

// run sends a call until it has a whole answer or is given up. It returns an *answer, *outcome.NotRun or
// *outcome.Unknown.
func (e *Entry) run(ctx context.Context, c *call) outcome.Outcome {
	defer func() { c.answered = e.timers.Now() }()
	result := e.runHere(ctx, c)
	if no, ok := result.(*outcome.NotRun); ok && !c.relayed {
		switch no.Reason {
		case outcome.Cold:
			result = e.relayCall(ctx, c, no, e.owners(c))
		case outcome.Budget:
			// An entry that has just started may not check connections yet; others have checked theirs.
			result = e.relayCall(ctx, c, no, e.others())
		}
	}
	if _, ok := result.(*outcome.NotRun); ok && c.unknown != "" {
		// The last attempt was refused, but an earlier one may have run.
		return &outcome.Unknown{
			Reason: c.unknown,
		}
	}
	return result
}

// runHere is run without the help of other entries.
func (e *Entry) runHere(ctx context.Context, c *call) outcome.Outcome {
	permit, reason := e.pick(ctx, c)
	if permit == nil {
		return &outcome.NotRun{
			Reason:     reason,
			RetryAfter: e.table.RetryAfter(c.service.name, reason),
		}
	}
	for {
		result := e.race(ctx, c, permit)
		var again outcome.Reason
		switch o := result.(type) {
		case *answer:
			return o
		case *outcome.NotRun:
			again = o.Reason
		case *outcome.Unknown:
			c.unknown = o.Reason
			if !c.idempotent {
				return o
			}
			again = o.Reason
		}
		if uncharged(again) && c.unsent < maxUnsent {
			c.unsent++
			permit, _ = e.pick(ctx, c)
		} else {
			permit = e.repeat(ctx, c)
		}
		if permit == nil {
			return result
		}
		e.counters.Retried(again)
	}
}

// uncharged tells whether an attempt ended before anything of the call was sent, for a reason that is no failure of a
// running target: the target has restarted, is down or left the settings, or its probe budget allowed no connection
// check. The next attempt then costs the targets nothing more and does not draw on the budget for repeats, which a return
// of many targets at once would exhaust.
func uncharged(reason outcome.Reason) bool {
	switch reason {
	case outcome.Instance, outcome.Budget, outcome.Dial, outcome.Leaving:
		return true
	}
	return false
}

// pick selects the target for the first attempt. While all targets are taken it waits, because the admission has found
// that the call can still be in time.
func (e *Entry) pick(ctx context.Context, c *call) (*route.Permit, outcome.Reason) {
	for {
		now := e.timers.Now()
		permit, reason := e.table.Pick(now, c.service.name, c.query())
		if permit != nil || reason != outcome.Queue {
			return permit, reason
		}
		if !now.Add(time.Duration(c.service.spec.Work)).Before(c.deadline) {
			return nil, outcome.Deadline
		}
		wait := time.NewTimer(pollCapacity)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return nil, outcome.Deadline
		}
	}
}

// repeat selects the target for another attempt, nil if there is to be none.
func (e *Entry) repeat(ctx context.Context, c *call) *route.Permit {
	now := e.timers.Now()
	if ctx.Err() != nil || !now.Before(c.deadline) || !e.contact(now) {
		return nil
	}
	return e.table.Repeat(now, c.service.name, c.query())
}

func (c *call) query() route.Query {
	return route.Query{
		Tried:      c.tried,
		Idempotent: c.idempotent,
		Again:      c.unsent > 0,
	}
}
