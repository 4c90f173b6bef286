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
	// maxPlacementInterval is the interval between placement rounds if no other call ends meanwhile. Each round reads
	// the load of a few targets and is limited by the budget of load reads.
	maxPlacementInterval = 30 * time.Millisecond
	// minPlacementInterval is the minimum time between two placement rounds, also when calls end.
	minPlacementInterval = 2 * time.Millisecond
	// maxPlacementsPerRound is the number of waiting calls considered in each round.
	maxPlacementsPerRound = 8
	// networkMargin is added to the expected service time of a call for the network round trip to the target.
	networkMargin = 5 * time.Millisecond
)

// serviceQueue is the queue in which the calls of a service wait for registered targets at this entry.
type serviceQueue struct {
	*share.WaitQueue
	service string
	// wakeup wakes the goroutine that places waiting calls.
	wakeup chan struct{}

	mu sync.Mutex
	// placing is set while that goroutine runs. waiting holds the calls that it places.
	placing bool
	waiting map[*share.Waiter]*waitingCall
}

// waitingCall is a call in the queue, with its permit once it is granted.
type waitingCall struct {
	ctx    context.Context
	call   *call
	permit *route.Permit
}

func newServiceQueue(service string) *serviceQueue {
	return &serviceQueue{
		WaitQueue: share.NewWaitQueue(),
		service:   service,
		wakeup:    make(chan struct{}, 1),
		waiting:   map[*share.Waiter]*waitingCall{},
	}
}

// wake starts another placement round.
func (q *serviceQueue) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// waitForTarget chooses a registered target for a call. While all targets are at capacity, the call waits in the
// queue. The refusal explains why there is no permit.
func (e *Entry) waitForTarget(ctx context.Context, c *call) (*route.Permit, *share.Refusal) {
	q := c.service.queue
	now := e.timers.Now()
	if e.dispatchEnded(now) {
		return nil, &share.Refusal{
			Reason: outcome.Leaving,
		}
	}
	queued := c.queuedCall(now, e.table.ServiceTime(q.service, c.query(now)))
	q.RecordArrival(now, queued)
	if q.Len() == 0 {
		c.place = placeLoad
		permit, reason := e.readLoadsAndChoose(ctx, c)
		if permit != nil {
			return permit, nil
		}
		if reason != outcome.QueueFull && reason != outcome.Cold {
			return nil, e.placementRefusal(c, reason)
		}
	}
	c.place = c.waitPlace()
	q.SetExpectedThroughput(e.table.ExpectedThroughput(now, q.service, c.query(now)))
	waiter, refusal := q.Enqueue(e.timers.Now(), queued)
	if refusal != nil {
		return nil, refusal
	}
	w := &waitingCall{
		ctx:  ctx,
		call: c,
	}
	e.enqueue(q, waiter, w)
	select {
	case <-waiter.Done:
	case <-ctx.Done():
		if q.Remove(waiter) {
			q.deleteCall(waiter)
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return nil, e.placementRefusal(c, outcome.Deadline)
			}
			return nil, &share.Refusal{
				Reason: outcome.Canceled,
			}
		}
		<-waiter.Done
	}
	if refusal := waiter.Refusal(); refusal != nil {
		return nil, refusal
	}
	return w.permit, nil
}

// softDeadline returns the time by which the response should arrive on a route with a latency objective.
func (c *call) softDeadline() time.Time {
	return c.arrivedAt.Add(c.policy.latencyObjective - c.elapsedBefore)
}

// queuedCall returns the description of the call that the queue uses.
func (c *call) queuedCall(now time.Time, serviceTime time.Duration) share.Call {
	softDeadline := c.deadline
	if c.policy.latencyObjective > 0 {
		softDeadline = c.softDeadline()
	}
	return share.Call{
		Caller:       c.caller,
		Priority:     c.priority(),
		SoftDeadline: softDeadline,
		Deadline:     c.deadline,
		ServiceTime:  serviceTime + networkMargin,
	}
}

// readLoadsAndChoose refreshes the load of the targets that may be chosen, and chooses one.
func (e *Entry) readLoadsAndChoose(ctx context.Context, c *call) (*route.Permit, outcome.Reason) {
	e.refreshLoads(ctx, c)
	if ctx.Err() == context.Canceled {
		return nil, outcome.Canceled
	}
	return e.chooseTarget(c)
}

// chooseTarget chooses a target by the load that is known.
func (e *Entry) chooseTarget(c *call) (*route.Permit, outcome.Reason) {
	now := e.timers.Now()
	permit, reason := e.table.Pick(now, c.service.name, c.query(now))
	if reason == outcome.UnknownService {
		// The service exists, but no target of it is registered.
		reason = outcome.Drained
	}
	return permit, reason
}

func (e *Entry) placementRefusal(c *call, reason outcome.Reason) *share.Refusal {
	return &share.Refusal{
		Reason:     reason,
		RetryAfter: orDefaultRetryAfter(e.table.RetryAfter(e.timers.Now(), c.service.name, reason)),
	}
}

// enqueue adds a call to the queue. It starts the goroutine that places waiting calls if it is not running.
func (e *Entry) enqueue(q *serviceQueue, waiter *share.Waiter, w *waitingCall) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[waiter] = w
	if !q.placing {
		q.placing = true
		e.tasks.Go(func() { e.placeWaiting(q) })
	}
}

func (q *serviceQueue) deleteCall(waiter *share.Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, waiter)
}

// waitingInOrder returns the waiting calls in queue order. If there are none, it marks the goroutine as ended.
func (q *serviceQueue) waitingInOrder(now time.Time) []*share.Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiters := q.Waiting(now)
	q.placing = len(waiters) > 0
	return waiters
}

func (q *serviceQueue) callOf(waiter *share.Waiter) *waitingCall {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting[waiter]
}

// placeWaiting places the waiting calls in queue order until none is left. It refreshes loads for the first of them
// only. A call that waits for a fast target does not block later calls that accept any target.
func (e *Entry) placeWaiting(q *serviceQueue) {
	for {
		q.Expire(e.timers.Now())
		waiters := q.waitingInOrder(e.timers.Now())
		if len(waiters) == 0 {
			return
		}
		placed := false
		for i, waiter := range waiters[:min(len(waiters), maxPlacementsPerRound)] {
			w := q.callOf(waiter)
			if w == nil || w.ctx.Err() != nil {
				// The call has just joined the queue or is about to leave it. Only its own goroutine may remove it,
				// because that goroutine would otherwise wait forever for the call to be granted or refused.
				continue
			}
			if i == 0 {
				e.refreshLoads(w.ctx, w.call)
			}
			placed = e.tryPlace(q, waiter, w) || placed
		}
		if !placed {
			q.waitForNextRound(e.done)
		}
	}
}

// tryPlace grants a waiting call a target or refuses it. It returns false if the call stays in the queue.
func (e *Entry) tryPlace(q *serviceQueue, waiter *share.Waiter, w *waitingCall) bool {
	if e.dispatchEnded(e.timers.Now()) {
		q.Refuse(waiter, &share.Refusal{
			Reason: outcome.Leaving,
		})
		q.deleteCall(waiter)
		return true
	}
	permit, reason := e.chooseTarget(w.call)
	now := e.timers.Now()
	switch {
	case permit != nil:
		w.permit = permit
		q.deleteCall(waiter)
		if !q.Grant(now, waiter) {
			permit.Done(now, route.Result{
				Kind: route.Canceled,
			})
		}
	case reason == outcome.QueueFull || reason == outcome.Cold:
		return false
	default:
		q.Refuse(waiter, e.placementRefusal(w.call, reason))
		q.deleteCall(waiter)
	}
	return true
}

// waitForNextRound waits until a call has ended, within the bounds of the placement interval.
func (q *serviceQueue) waitForNextRound(done <-chan struct{}) {
	minimum := time.NewTimer(minPlacementInterval)
	defer minimum.Stop()
	select {
	case <-minimum.C:
	case <-done:
		return
	}
	maximum := time.NewTimer(maxPlacementInterval - minPlacementInterval)
	defer maximum.Stop()
	select {
	case <-q.wakeup:
	case <-maximum.C:
	case <-done:
	}
}
