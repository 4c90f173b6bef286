package share

import (
	"container/list"
	"math"
	"slices"
	"sync"
	"time"

	"skylarkbeam/outcome"
)

const (
	// greedyUsageFactor is the usage of a caller, in multiples of the average of the others, above which its calls go
	// after theirs. Two concurrent calls are normal for callers that fetch a page and its parts.
	greedyUsageFactor = 3.0
	// callerUsageTimeConstant is a quarter of the time in which the usage of a caller without calls decays to zero.
	callerUsageTimeConstant = 3 * time.Second
	// throughputTimeConstant is the time constant of the measured throughput.
	throughputTimeConstant = 2 * time.Second
	// throughputPriorTime is the weight of the expected throughput, as a time of measurement: after waiting that long, the
	// measured throughput counts as much.
	throughputPriorTime = 500 * time.Millisecond
	// minThroughput is the minimum expected throughput of any class, in calls per second.
	minThroughput = 0.1
	// waitSafetyFactor is the factor by which an estimated wait is extended to decide whether a call will miss its soft
	// deadline.
	waitSafetyFactor = 3
	// minQueueRetryAfter is the minimum retry delay of a refused call.
	minQueueRetryAfter = 100 * time.Millisecond
	// maxQueueRetryAfter is the maximum retry delay of a refused call.
	maxQueueRetryAfter = 5 * time.Second
)

// Call describes a call that waits for a target.
type Call struct {
	// Caller is the name of the caller.
	Caller string
	// Priority orders calls of the same class; 0 goes first.
	Priority int
	// SoftDeadline is the time until which a response has its full value.
	SoftDeadline time.Time
	// Deadline is the time after which a response has no value.
	Deadline time.Time
	// ServiceTime is the time that the call usually takes at a target.
	ServiceTime time.Duration
}

// WaitQueue holds the calls of one service that wait for a target at one entry. It is designed for periods of seconds
// in which all targets are full, for example when half of them are lost at once. In the order of arrival, every call
// would then wait until its soft deadline has just passed, and all targets would work on responses of little value.
//
// Calls that can still meet their soft deadline go first, ordered by priority and then by soft deadline. They are
// followed by such calls of greedy callers, whose usage is several times that of the others, so that a caller that
// retries often does not crowd out the rest. Calls that miss their soft deadline get the remaining throughput. A call
// that is not expected to meet its deadline is refused immediately, even if only because calls that arrive later will
// go before it.
//
// A WaitQueue reads no clock and starts no goroutine. It is safe for concurrent use.
type WaitQueue struct {
	mu      sync.Mutex
	waiting *list.List // of *Waiter, in the order of arrival
	callers map[string]*callerUsage
	sweptAt time.Time
	// expectedThroughput is the number of calls per second that the targets are expected to take from this entry.
	expectedThroughput float64
	// granted is the number of calls that got a target while calls waited, grantedUntimely those of them that were not
	// timely, and waitingSeconds the time during which calls waited. All three decay with throughputTimeConstant and
	// are up to date as of updatedAt.
	granted         float64
	grantedUntimely float64
	waitingSeconds  float64
	updatedAt       time.Time
	// formedAt is when the queue was last empty, and longestService the longest service time of the calls since.
	formedAt       time.Time
	longestService time.Duration
	// regularArrivals counts the calls of callers that are not greedy.
	regularArrivals arrivalForecast
}

// callerUsage is the recent demand of a caller, in seconds of service time.
type callerUsage struct {
	serviceSeconds float64
	updatedAt      time.Time
}

// waitClass determines which waiting calls go first: those of a lower class.
type waitClass int

const (
	timely waitClass = iota // can meet its soft deadline
	greedy                  // the same, but its caller is greedy
	late                    // cannot meet its soft deadline
)

// Waiter is a call in a WaitQueue.
type Waiter struct {
	Call
	// Done is closed once the call has been granted or refused.
	Done    chan struct{}
	element *list.Element
	refusal *Refusal
	greedy  bool
}

// Refusal returns why the call was refused, or nil if it was granted. It is valid once Done is closed.
func (w *Waiter) Refusal() *Refusal { return w.refusal }

// NewWaitQueue returns an empty queue.
func NewWaitQueue() *WaitQueue {
	return &WaitQueue{
		waiting: list.New(),
		callers: map[string]*callerUsage{},
	}
}

// Len returns the number of waiting calls.
func (q *WaitQueue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.Len()
}

// RecordArrival records a call of a caller, whether or not it has to wait.
func (q *WaitQueue) RecordArrival(now time.Time, c Call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	u := q.callers[c.Caller]
	if u == nil {
		u = &callerUsage{}
		q.callers[c.Caller] = u
	}
	u.serviceSeconds = u.current(now) + c.ServiceTime.Seconds()
	u.updatedAt = now
	q.sweep(now)
	if !q.isGreedy(now, c.Caller) {
		q.regularArrivals.record(now)
	}
}

func (u *callerUsage) current(now time.Time) float64 {
	age := now.Sub(u.updatedAt)
	if age > 4*callerUsageTimeConstant {
		return 0
	}
	return u.serviceSeconds * (1 - float64(age)/float64(4*callerUsageTimeConstant))
}

// sweep removes callers without recent calls. The caller holds the lock.
func (q *WaitQueue) sweep(now time.Time) {
	if now.Sub(q.sweptAt) < callerUsageTimeConstant {
		return
	}
	q.sweptAt = now
	for name, u := range q.callers {
		if u.current(now) == 0 {
			delete(q.callers, name)
		}
	}
}

// isGreedy reports whether a caller uses several times as much as the others. The caller holds the lock.
func (q *WaitQueue) isGreedy(now time.Time, name string) bool {
	if len(q.callers) < 2 {
		return false
	}
	sum, own := 0.0, 0.0
	for other, u := range q.callers {
		c := u.current(now)
		sum += c
		if other == name {
			own = c
		}
	}
	return own > greedyUsageFactor*(sum-own)/float64(len(q.callers)-1)
}

// Enqueue adds a call to the queue, or refuses it if it is not expected to meet its deadline.
func (q *WaitQueue) Enqueue(now time.Time, c Call) (*Waiter, *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &Waiter{
		Call:   c,
		Done:   make(chan struct{}),
		greedy: q.isGreedy(now, c.Caller),
	}
	q.update(now)
	if q.waiting.Len() == 0 {
		q.formedAt, q.longestService = now, 0
	}
	q.longestService = max(q.longestService, c.ServiceTime)
	w.element = q.waiting.PushBack(w)
	if slices.Contains(q.unservable(now), w) {
		q.remove(w)
		return nil, q.refusal(now, w)
	}
	return w, nil
}

// unservable returns the waiting calls that are not expected to meet their deadline. The caller holds the lock.
func (q *WaitQueue) unservable(now time.Time) []*Waiter {
	var list, overtaken []*Waiter
	timelyThroughput, lateThroughput := q.throughput(now, timely), q.throughput(now, late)
	ahead := 0
	// untimely counts the calls that share the throughput left by the timely ones, by whether their caller is greedy.
	// Calls of greedy callers do not delay those of other callers.
	untimely := map[bool]int{}
	addUntimely := func(w *Waiter) {
		n := untimely[w.greedy]
		// Even the first of these calls waits for a slot that the timely calls leave.
		wait := float64(ahead)/timelyThroughput + float64(max(n, 1))/lateThroughput
		if !w.finishesBy(now, seconds(wait), w.Deadline) {
			list = append(list, w)
			return
		}
		untimely[w.greedy] = n + 1
	}
	for _, w := range q.sorted(now) {
		switch {
		case w.class(now) != timely:
			addUntimely(w)
		case w.finishesBy(now, seconds(waitSafetyFactor*float64(ahead)/timelyThroughput), w.SoftDeadline):
			ahead++
		default:
			// The call will miss its soft deadline before its turn, and then goes after those that have missed it
			// already.
			overtaken = append(overtaken, w)
		}
	}
	for _, w := range overtaken {
		addUntimely(w)
	}
	return list
}

// finishesBy reports whether the call ends in time if it waits that long.
func (w *Waiter) finishesBy(now time.Time, wait time.Duration, end time.Time) bool {
	return !now.Add(wait + w.ServiceTime).After(end)
}

// refusal returns the refusal of a call that cannot meet its deadline. The caller holds the lock.
func (q *WaitQueue) refusal(now time.Time, w *Waiter) *Refusal {
	reason := outcome.Deadline
	if w.greedy {
		reason = outcome.ShareExceeded
	}
	return &Refusal{
		Reason:     reason,
		RetryAfter: q.retryAfter(now),
	}
}

// retryAfter estimates how long the waiting calls take to leave the queue. The caller holds the lock.
func (q *WaitQueue) retryAfter(now time.Time) time.Duration {
	return min(max(seconds(float64(q.waiting.Len()+1)/q.throughput(now, timely)), minQueueRetryAfter), maxQueueRetryAfter)
}

// SetExpectedThroughput sets the number of calls per second that the targets are expected to take from this entry. It
// is used until the throughput has been measured.
func (q *WaitQueue) SetExpectedThroughput(throughput float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expectedThroughput = throughput
}

// throughput returns the number of calls of a class that are expected to get a target per second while calls wait.
// Calls that are not timely get what the timely ones leave. The caller holds the lock.
//
// Until a grant has been measured, the time without one counts only as far as it is longer than a call takes: a burst
// that fills all slots at once leaves none free until the first calls end, which says nothing of the throughput.
func (q *WaitQueue) throughput(now time.Time, class waitClass) float64 {
	pause := time.Duration(0)
	if q.granted < 1 {
		pause = min(now.Sub(q.formedAt), q.longestService)
	}
	measured := throughputPriorTime.Seconds() + max(q.waitingSeconds-pause.Seconds(), 0)
	all := (q.expectedThroughput*throughputPriorTime.Seconds() + q.granted) / measured
	if class != timely {
		left := max(all-q.regularArrivals.rate(now), 0)
		all = (left*throughputPriorTime.Seconds() + q.grantedUntimely) / measured
	}
	return max(all, minThroughput)
}

// update brings the measured throughput up to now. The caller holds the lock.
func (q *WaitQueue) update(now time.Time) {
	elapsed := now.Sub(q.updatedAt).Seconds()
	q.updatedAt = now
	decay := math.Exp(-elapsed / throughputTimeConstant.Seconds())
	q.granted *= decay
	q.grantedUntimely *= decay
	q.waitingSeconds *= decay
	if q.waiting.Len() > 0 {
		q.waitingSeconds += (1 - decay) * throughputTimeConstant.Seconds()
	}
}

// class returns the class of a call.
func (w *Waiter) class(now time.Time) waitClass {
	switch {
	case !w.finishesBy(now, 0, w.SoftDeadline):
		return late
	case w.greedy:
		return greedy
	}
	return timely
}

func (w *Waiter) precedes(now time.Time, other *Waiter) bool {
	a, b := w.class(now), other.class(now)
	switch {
	case a != b:
		return a < b
	case w.Priority != other.Priority:
		return w.Priority < other.Priority
	default:
		return w.SoftDeadline.Before(other.SoftDeadline)
	}
}

// Waiting returns the waiting calls in the order in which they go.
func (q *WaitQueue) Waiting(now time.Time) []*Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.sorted(now)
}

// sorted returns the waiting calls in the order in which they go. The caller holds the lock.
func (q *WaitQueue) sorted(now time.Time) []*Waiter {
	list := make([]*Waiter, 0, q.waiting.Len())
	for e := q.waiting.Front(); e != nil; e = e.Next() {
		list = append(list, e.Value.(*Waiter))
	}
	slices.SortStableFunc(list, func(a, b *Waiter) int {
		switch {
		case a.precedes(now, b):
			return -1
		case b.precedes(now, a):
			return 1
		}
		return 0
	})
	return list
}

// Grant removes a call that has got a target. It returns false if the call no longer waits.
func (q *WaitQueue) Grant(now time.Time, w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(now)
	if !q.remove(w) {
		return false
	}
	q.granted++
	if w.class(now) != timely {
		q.grantedUntimely++
	}
	close(w.Done)
	return true
}

// Remove removes a call that was canceled. It returns false if the call was granted or refused before.
func (q *WaitQueue) Remove(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.remove(w)
}

func (q *WaitQueue) remove(w *Waiter) bool {
	if w.element == nil {
		return false
	}
	q.waiting.Remove(w.element)
	w.element = nil
	return true
}

// Expire refuses the calls that can no longer meet their deadline.
func (q *WaitQueue) Expire(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.update(now)
	if q.waiting.Len() == 0 {
		return
	}
	for _, w := range q.unservable(now) {
		q.refuse(w, q.refusal(now, w))
	}
}

// Refuse refuses a waiting call for a reason given by the caller.
func (q *WaitQueue) Refuse(w *Waiter, refusal *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refuse(w, refusal)
}

func (q *WaitQueue) refuse(w *Waiter, refusal *Refusal) {
	if q.remove(w) {
		w.refusal = refusal
		close(w.Done)
	}
}
