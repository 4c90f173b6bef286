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
	// greedyUse is the use of a caller, in multiples of the average one, from which on its calls go after those of others.
	// Two calls at once are usual for callers that fetch a page and its parts.
	greedyUse = 3.0
	// useMemory is the time constant of a caller's use.
	useMemory = 3 * time.Second
	// paceMemory is the time constant of the measured pace at which calls leave a line, paceTrust the time of waiting for
	// which the expected pace counts as much as the measured one.
	paceMemory = 2 * time.Second
	paceTrust  = 500 * time.Millisecond
	// paceFloor is the least pace at which calls of any class are expected to leave, in calls a second.
	paceFloor = 0.1
	// paceDoubt is the factor by which a wait is taken to be longer than expected when it is judged whether a call will be
	// late.
	paceDoubt = 3
	// returnFloor and returnCeiling bound when a refused call is told to come back.
	returnFloor   = 100 * time.Millisecond
	returnCeiling = 5 * time.Second
)

// Call is a call that waits for a target.
type Call struct {
	// Caller is who is calling.
	Caller string
	// Priority orders calls that are otherwise alike; 0 goes first.
	Priority int
	// SoftDeadline is until when an answer is of full use, Deadline until when it is of any.
	SoftDeadline time.Time
	Deadline     time.Time
	// ServiceTime is the time that the call usually takes at a target.
	ServiceTime time.Duration
}

// WaitQueue is the calls of one service that wait for a target at one entry. It answers the load at which targets are full for
// seconds, as when half of them are lost in a burst: in the order of arrival, every call would wait until its aim has just
// passed, and all targets would work on answers of little use.
//
// Calls that can still be answered within their aim go first, those of a lower rank and then those with the earliest aim
// before others. Calls of a caller that uses several times as much as the others go behind them, so that one that repeats
// at once and often does not crowd out the rest. Calls that are late already take what is left. A call that is not expected
// to be answered before its deadline is refused at once, also if that is so because those that arrive later go before it.
//
// A WaitQueue reads no clock and starts no goroutine. It is safe for concurrent use.
type WaitQueue struct {
	mu      sync.Mutex
	waiting *list.List // of *Place, in order of arrival
	callers map[string]*use
	swept   time.Time
	// expected is the number of calls a second that the targets are expected to take from this entry.
	expected float64
	// granted is the number of calls that left for a target while calls waited, behind how many of them were not timely,
	// and watched the seconds in which calls waited; they fade with paceMemory and are true at the time
	// settled.
	granted float64
	behind  float64
	watched float64
	settled time.Time
	// fresh counts the calls of callers that are not greedy.
	fresh arrivals
}

// use is how much a caller has asked for lately, in seconds of work.
type use struct {
	work float64
	at   time.Time
}

// class says which of the waiting calls go first: those of a lower class.
type class int

const (
	timely class = iota // can be answered within its aim
	greedy              // the same, of a caller that uses several times as much as the others
	late                // cannot be answered within its aim
)

// Waiter is the place of a call in a Line.
type Waiter struct {
	Call
	// Done is closed once the call was granted or refused.
	Done    chan struct{}
	element *list.Element
	refusal *Refusal
	greedy  bool
}

// Refusal returns why the call was refused, nil if it was granted. It is valid once Done is closed.
func (p *Waiter) Refusal() *Refusal { return p.refusal }

// NewWaitQueue returns an empty line.
func NewWaitQueue() *WaitQueue {
	return &WaitQueue{
		waiting: list.New(),
		callers: map[string]*use{},
	}
}

// Len returns the number of calls that wait.
func (l *WaitQueue) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting.Len()
}

// RecordArrival counts a call of a caller, whether it waits or not.
func (l *WaitQueue) RecordArrival(now time.Time, c Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.callers[c.Caller]
	if u == nil {
		u = &use{}
		l.callers[c.Caller] = u
	}
	u.work = u.current(now) + c.ServiceTime.Seconds()
	u.at = now
	l.sweep(now)
	if !l.greedy(now, c.Caller) {
		l.fresh.note(now)
	}
}

func (u *use) current(now time.Time) float64 {
	age := now.Sub(u.at)
	if age > 4*useMemory {
		return 0
	}
	return u.work * (1 - float64(age)/float64(4*useMemory))
}

// sweep forgets callers that have not called for a while. The caller holds the lock.
func (l *WaitQueue) sweep(now time.Time) {
	if now.Sub(l.swept) < useMemory {
		return
	}
	l.swept = now
	for name, u := range l.callers {
		if u.current(now) == 0 {
			delete(l.callers, name)
		}
	}
}

// greedy tells whether a caller uses several times as much as the others. The caller holds the lock.
func (l *WaitQueue) greedy(now time.Time, name string) bool {
	if len(l.callers) < 2 {
		return false
	}
	sum, own := 0.0, 0.0
	for other, u := range l.callers {
		c := u.current(now)
		sum += c
		if other == name {
			own = c
		}
	}
	return own > greedyUse*(sum-own)/float64(len(l.callers)-1)
}

// Enqueue lets a call wait, or refuses it if it is not expected to be answered before its deadline.
func (l *WaitQueue) Enqueue(now time.Time, c Call) (*Waiter, *Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := &Waiter{
		Call:   c,
		Done:   make(chan struct{}),
		greedy: l.greedy(now, c.Caller),
	}
	l.settle(now)
	p.element = l.waiting.PushBack(p)
	if slices.Contains(l.hopeless(now), p) {
		l.remove(p)
		return nil, l.refusal(now, p)
	}
	return p, nil
}

// hopeless returns the waiting calls that are not expected to be answered before their deadline. The caller holds the lock.
func (l *WaitQueue) hopeless(now time.Time) []*Waiter {
	var list, overtaken []*Waiter
	first, last := l.pace(now, timely), l.pace(now, late)
	ahead := 0
	// behind counts the calls that have what the timely ones leave. A greedy caller's calls do not count for those of others.
	behind := map[bool]int{}
	follow := func(p *Waiter) {
		n := behind[p.greedy]
		// Also the first one waits for a turn that the timely calls leave.
		wait := float64(ahead)/first + float64(max(n, 1))/last
		if !p.fits(now, seconds(wait), p.Deadline) {
			list = append(list, p)
			return
		}
		behind[p.greedy] = n + 1
	}
	for _, p := range l.ordered(now) {
		switch {
		case p.class(now) != timely:
			follow(p)
		case p.fits(now, seconds(paceDoubt*float64(ahead)/first), p.SoftDeadline):
			ahead++
		default:
			// It is late before it is its turn, and then goes behind those that are late already.
			overtaken = append(overtaken, p)
		}
	}
	for _, p := range overtaken {
		follow(p)
	}
	return list
}

// fits tells whether the call is answered before the end if it waits for so long.
func (p *Waiter) fits(now time.Time, wait time.Duration, end time.Time) bool {
	return !now.Add(wait + p.ServiceTime).After(end)
}

// refusal returns why a call is refused that cannot be answered in time. The caller holds the lock.
func (l *WaitQueue) refusal(now time.Time, p *Waiter) *Refusal {
	reason := outcome.Deadline
	if p.greedy {
		reason = outcome.ShareExceeded
	}
	return &Refusal{
		Reason:     reason,
		RetryAfter: l.retryAfter(now),
	}
}

// retryAfter estimates when the calls that wait now will have left. The caller holds the lock.
func (l *WaitQueue) retryAfter(now time.Time) time.Duration {
	return min(max(seconds(float64(l.waiting.Len()+1)/l.pace(now, timely)), returnFloor), returnCeiling)
}

// SetExpectedThroughput sets the number of calls a second that the targets are expected to take from this entry, for the time until the
// pace has been measured.
func (l *WaitQueue) SetExpectedThroughput(pace float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected = pace
}

// pace returns the calls a second of a class that are expected to leave for a target while calls wait. Calls that are late or
// of a greedy caller have what the others leave. The caller holds the lock.
func (l *WaitQueue) pace(now time.Time, class class) float64 {
	all := (l.expected*paceTrust.Seconds() + l.granted) / (paceTrust.Seconds() + l.watched)
	if class != timely {
		left := max(all-l.fresh.rate(now), 0)
		all = (left*paceTrust.Seconds() + l.behind) / (paceTrust.Seconds() + l.watched)
	}
	return max(all, paceFloor)
}

// settle brings the measured pace up to now. The caller holds the lock.
func (l *WaitQueue) settle(now time.Time) {
	d := now.Sub(l.settled).Seconds()
	l.settled = now
	fade := math.Exp(-d / paceMemory.Seconds())
	l.granted *= fade
	l.behind *= fade
	l.watched *= fade
	if l.waiting.Len() > 0 {
		l.watched += (1 - fade) * paceMemory.Seconds()
	}
}

// class returns the class of a call.
func (p *Waiter) class(now time.Time) class {
	switch {
	case !p.fits(now, 0, p.SoftDeadline):
		return late
	case p.greedy:
		return greedy
	}
	return timely
}

func (p *Waiter) goesBefore(now time.Time, other *Waiter) bool {
	a, b := p.class(now), other.class(now)
	switch {
	case a != b:
		return a < b
	case p.Priority != other.Priority:
		return p.Priority < other.Priority
	default:
		return p.SoftDeadline.Before(other.SoftDeadline)
	}
}

// Waiting returns the calls that wait in the order in which they go.
func (l *WaitQueue) Waiting(now time.Time) []*Waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ordered(now)
}

// ordered returns the waiting calls in their order. The caller holds the lock.
func (l *WaitQueue) ordered(now time.Time) []*Waiter {
	list := make([]*Waiter, 0, l.waiting.Len())
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		list = append(list, e.Value.(*Waiter))
	}
	slices.SortStableFunc(list, func(a, b *Waiter) int {
		switch {
		case a.goesBefore(now, b):
			return -1
		case b.goesBefore(now, a):
			return 1
		}
		return 0
	})
	return list
}

// Grant takes a call out of the line that has got a target. It returns false if the call no longer waits.
func (l *WaitQueue) Grant(now time.Time, p *Waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(now)
	if !l.remove(p) {
		return false
	}
	l.granted++
	if p.class(now) != timely {
		l.behind++
	}
	close(p.Done)
	return true
}

// Remove takes a call out of the line that gives up. It returns false if it was granted or refused before.
func (l *WaitQueue) Remove(p *Waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remove(p)
}

func (l *WaitQueue) remove(p *Waiter) bool {
	if p.element == nil {
		return false
	}
	l.waiting.Remove(p.element)
	p.element = nil
	return true
}

// Expire refuses the calls that can no longer be answered before their deadline.
func (l *WaitQueue) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(now)
	if l.waiting.Len() == 0 {
		return
	}
	for _, p := range l.hopeless(now) {
		l.refuse(p, l.refusal(now, p))
	}
}

// Refuse refuses a call that waits for a reason of the caller of Refuse.
func (l *WaitQueue) Refuse(p *Waiter, refusal *Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse(p, refusal)
}

func (l *WaitQueue) refuse(p *Waiter, refusal *Refusal) {
	if l.remove(p) {
		p.refusal = refusal
		close(p.Done)
	}
}
