package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/outcome"
	"skylarkbeam/route"
	"skylarkbeam/share"
)

const (
	// placeInterval is how often a call that waits for a registered target is tried again if no other call ends
	// meanwhile. Each try reads the load of a few targets, whose budget of reads is the limit.
	placeInterval = 30 * time.Millisecond
	// placeFloor separates tries that are made because calls have ended.
	placeFloor = 2 * time.Millisecond
	// placeDepth is the number of waiting calls that are tried in each round.
	placeDepth = 8
	// workMargin is what is left for the way to the target and back when it is judged whether a call can be in time.
	workMargin = 5 * time.Millisecond
)

// line is where the calls of a service wait for registered targets at this entry.
type line struct {
	*share.WaitQueue
	service string
	// news wakes the task that places waiting calls.
	news chan struct{}

	mu sync.Mutex
	// placing says that the task runs, waiting has the calls that it places.
	placing bool
	waiting map[*share.Waiter]*waiter
}

// waiter is a call that waits, and the permit that it has got.
type waiter struct {
	ctx    context.Context
	call   *call
	permit *route.Permit
}

func newLine(service string) *line {
	return &line{
		WaitQueue: share.NewWaitQueue(),
		service:   service,
		news:      make(chan struct{}, 1),
		waiting:   map[*share.Waiter]*waiter{},
	}
}

// wake makes the waiting calls be tried again.
func (l *line) wake() {
	select {
	case l.news <- struct{}{}:
	default:
	}
}

// place chooses a registered target for a call. While all are full the call waits in line. The refusal says why there is no
// permit.
func (e *Entry) place(ctx context.Context, c *call) (*route.Permit, *share.Refusal) {
	l := c.service.line
	now := e.timers.Now()
	waits := c.waits(now, e.table.ServiceTime(l.service, c.query(now)))
	l.RecordArrival(now, waits)
	if l.Len() == 0 {
		permit, reason := e.tryPlace(ctx, c)
		if permit != nil {
			return permit, nil
		}
		if reason != outcome.QueueFull && reason != outcome.Cold {
			return nil, e.unplaced(c, reason)
		}
	}
	l.SetExpectedThroughput(e.table.ExpectedThroughput(now, l.service, c.query(now)))
	p, refusal := l.Enqueue(e.timers.Now(), waits)
	if refusal != nil {
		return nil, refusal
	}
	w := &waiter{
		ctx:  ctx,
		call: c,
	}
	e.wait(l, p, w)
	select {
	case <-p.Done:
	case <-ctx.Done():
		if l.Remove(p) {
			l.forget(p)
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return nil, e.unplaced(c, outcome.Deadline)
			}
			return nil, &share.Refusal{
				Reason: outcome.Canceled,
			}
		}
		<-p.Done
	}
	if refusal := p.Refusal(); refusal != nil {
		return nil, refusal
	}
	return w.permit, nil
}

// aim returns until when an answer is of full use to the caller of a route that has an aim.
func (c *call) aim() time.Time { return c.arrived.Add(c.promise.aim - c.waited) }

// waits describes the call to the line.
func (c *call) waits(now time.Time, work time.Duration) share.Call {
	aim := c.deadline
	if c.promise.aim > 0 {
		aim = c.aim()
	}
	return share.Call{
		Caller:       c.caller,
		Priority:     c.promise.rank,
		SoftDeadline: aim,
		Deadline:     c.deadline,
		ServiceTime:  work + workMargin,
	}
}

// tryPlace reads the load of targets and chooses one.
func (e *Entry) tryPlace(ctx context.Context, c *call) (*route.Permit, outcome.Reason) {
	e.survey(ctx, c)
	return e.choose(c)
}

// choose chooses a target by what is known of them.
func (e *Entry) choose(c *call) (*route.Permit, outcome.Reason) {
	now := e.timers.Now()
	permit, reason := e.table.Pick(now, c.service.name, c.query(now))
	if reason == outcome.UnknownService {
		// The service exists, but no target of it is registered.
		reason = outcome.Drained
	}
	return permit, reason
}

func (e *Entry) unplaced(c *call, reason outcome.Reason) *share.Refusal {
	return &share.Refusal{
		Reason:     reason,
		RetryAfter: orLater(e.table.RetryAfter(c.service.name, reason)),
	}
}

// wait enters a waiting call and starts the task that places it, unless it runs.
func (e *Entry) wait(l *line, p *share.Waiter, w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[p] = w
	if !l.placing {
		l.placing = true
		e.tasks.Go(func() { e.placeAll(l) })
	}
}

func (l *line) forget(p *share.Waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, p)
}

// next returns the calls that wait in their order, or ends the task if none waits.
func (l *line) next(now time.Time) []*share.Waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	places := l.Waiting(now)
	l.placing = len(places) > 0
	return places
}

func (l *line) waiterAt(p *share.Waiter) *waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting[p]
}

// placeAll places the waiting calls in their order until none waits. The loads are read for the first of them. A call that
// still waits for a fast target does not hold up one behind it that takes any.
func (e *Entry) placeAll(l *line) {
	for {
		l.Expire(e.timers.Now())
		places := l.next(e.timers.Now())
		if len(places) == 0 {
			return
		}
		placed := false
		for i, p := range places[:min(len(places), placeDepth)] {
			w := l.waiterAt(p)
			if w == nil || w.ctx.Err() != nil {
				// It has just joined the line, or it is about to leave. Only its own goroutine takes it out, because that
				// waits for the end of its place otherwise.
				continue
			}
			if i == 0 {
				e.survey(w.ctx, w.call)
			}
			placed = e.settle(l, p, w) || placed
		}
		if !placed {
			l.pause(e.done)
		}
	}
}

// settle grants a waiting call a target or refuses it. It returns false if the call goes on waiting.
func (e *Entry) settle(l *line, p *share.Waiter, w *waiter) bool {
	permit, reason := e.choose(w.call)
	now := e.timers.Now()
	switch {
	case permit != nil:
		w.permit = permit
		l.forget(p)
		if !l.Grant(now, p) {
			permit.Done(now, route.Result{
				Kind: route.Canceled,
			})
		}
	case reason == outcome.QueueFull || reason == outcome.Cold:
		return false
	default:
		l.Refuse(p, e.unplaced(w.call, reason))
		l.forget(p)
	}
	return true
}

// pause waits until a call has ended, or for the interval of tries.
func (l *line) pause(done <-chan struct{}) {
	floor := time.NewTimer(placeFloor)
	defer floor.Stop()
	select {
	case <-floor.C:
	case <-done:
		return
	}
	again := time.NewTimer(placeInterval - placeFloor)
	defer again.Stop()
	select {
	case <-l.news:
	case <-again.C:
	case <-done:
	}
}
