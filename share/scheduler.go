// Package share decides which caller's call goes next when a service has less capacity than its callers want.
//
// A Scheduler serves one service at one entry. Each caller has a queue and a share of the capacity. The use of a caller
// is the average number of slots that its calls held over a short window, so a caller with few long calls counts as
// much as one with many short calls. The caller with the lowest use for its share goes next: a caller within its share
// is never behind one beyond, and what some callers leave is given to the others. A call that cannot be answered in
// time is refused when it arrives.
//
// # Usage
//
//	s := share.New(share.Options{
//		Share: func(caller string) float64 { return shares[caller] },
//	})
//	s.SetCapacity(time.Now(), 4, 20)
//	ticket, refusal := s.Admit(ctx, caller, deadline)
//	if refusal != nil {
//		return refuse(refusal.Reason, refusal.RetryAfter)
//	}
//	defer func() { ticket.Done(time.Now(), latency) }()
//
// Enqueue and Expire are the same without blocking, for callers that bring their own clock.
package share

import (
	"container/list"
	"context"
	"math"
	"sync"
	"time"

	"skylarkbeam/outcome"
)

const (
	// window is the time constant of the average use. With 500 ms, a caller at 90% of its share went beyond it often
	// enough to lose 1.5% of its calls at 110% of capacity; with 1 s it loses 0.6%.
	window = time.Second
	// queueLimit is the default length of a caller's queue. It bounds memory; the deadline bounds the wait.
	queueLimit = 1024
	// owedPart and sparePart are the parts of the spare time before its deadline that a call within and beyond its
	// caller's share may wait. The rest is kept for estimates that are too low. Beyond the share, short queues lose no
	// throughput: at 110% of capacity, 0.25 and 0.4 gave the same goodput, but a p99 of 97 instead of 122 ms.
	owedPart  = 0.5
	sparePart = 0.25
	// shareFloor is the share of a caller to whom none is owed.
	shareFloor = 0.001
	// retryFloor and retryCeiling bound the estimate in refusals.
	retryFloor   = 50 * time.Millisecond
	retryCeiling = 30 * time.Second
)

const (
	// fadeAfter is how long the estimate of a call's time holds without a new sample, fadeTime the time constant with
	// which it then returns to the usual time. Without that, a stall that made the estimate longer than the deadlines would
	// refuse every later call, and no sample would ever correct it.
	fadeAfter = 250 * time.Millisecond
	fadeTime  = 500 * time.Millisecond
)

// Options configure a Scheduler.
type Options struct {
	// Share returns the fraction of the capacity owed to a caller. It is called with a lock held, so it must not block.
	Share func(caller string) float64
	// ServiceTime is the usual time of a call until calls have been measured. The default is 10 ms.
	ServiceTime time.Duration
	// QueueLimit is the most calls of one caller that wait. The default is 1024.
	QueueLimit int
	// Now is the clock of Admit. The default is time.Now.
	Now func() time.Time
}

// Refusal says why a call was not admitted. The call did not run.
type Refusal struct {
	// Reason is Share for a caller beyond its share, Deadline if the call cannot be answered in time, Queue if the queue
	// of a caller within its share is full, or Canceled if the context ended.
	Reason outcome.Reason
	// RetryAfter is the estimated time after which the same call would be admitted.
	RetryAfter time.Duration
}

// Scheduler admits the calls of one service. It is safe for concurrent use.
type Scheduler struct {
	share func(string) float64
	queue int
	now   func() time.Time

	mu       sync.Mutex
	capacity float64
	total    float64
	shared   bool // the use at other entries is known
	running  int
	waiting  int
	tickets  uint64
	// work is the average time that a call holds its slot, deviation its mean deviation, in seconds.
	work      float64
	usualWork float64
	sampled   time.Time
	deviation float64
	callers   map[string]*caller
	// queued holds the callers with waiting calls.
	queued []*caller
}

// New returns a Scheduler with capacity 1.
func New(o Options) *Scheduler {
	if o.Share == nil {
		o.Share = func(string) float64 { return shareFloor }
	}
	if o.ServiceTime <= 0 {
		o.ServiceTime = 10 * time.Millisecond
	}
	if o.QueueLimit <= 0 {
		o.QueueLimit = queueLimit
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Scheduler{
		share:     o.Share,
		queue:     o.QueueLimit,
		now:       o.Now,
		capacity:  1,
		total:     1,
		work:      o.ServiceTime.Seconds(),
		usualWork: o.ServiceTime.Seconds(),
		callers:   map[string]*caller{},
	}
}

// SetCapacity sets the number of calls that may run at once from this entry, at least one, and the capacity of the whole
// service. It returns the waiting tickets that it started or refused.
func (s *Scheduler) SetCapacity(now time.Time, slots, total float64) []*Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity = max(slots, 1)
	s.total = max(total, s.capacity)
	return s.next(now)
}

// Enqueue admits the call, lets it wait or refuses it, without blocking. A waiting ticket is started or refused by a
// later Done, SetCapacity or Expire, each of which returns the tickets it settled.
func (s *Scheduler) Enqueue(now time.Time, name string, deadline time.Time) (*Ticket, *Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fade(now)
	c := s.caller(now, name)
	c.settle(now)
	c.offered += 1 / window.Seconds()
	if s.free() {
		if refusal := s.late(now, c, deadline, 0); refusal != nil {
			return nil, refusal
		}
		t := s.ticket(c, deadline)
		s.run(now, t)
		return t, nil
	}
	if refusal := s.refuse(now, c, deadline); refusal != nil {
		return nil, refusal
	}
	t := s.ticket(c, deadline)
	t.settled = make(chan struct{})
	t.element = c.waiting.PushBack(t)
	if c.waiting.Len() == 1 {
		s.queued = append(s.queued, c)
	}
	s.waiting++
	return t, nil
}

// Expire refuses the waiting calls that can no longer be answered in time and returns them.
func (s *Scheduler) Expire(now time.Time) []*Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	var expired []*Ticket
	for i := len(s.queued) - 1; i >= 0; i-- {
		c := s.queued[i]
		for e := c.waiting.Front(); e != nil; {
			t := e.Value.(*Ticket)
			e = e.Next()
			if s.inTime(now, t.deadline) {
				continue
			}
			s.expire(now, t)
			expired = append(expired, t)
		}
	}
	return expired
}

// Admit waits until the call may run. The ticket must be ended with Done.
func (s *Scheduler) Admit(ctx context.Context, name string, deadline time.Time) (*Ticket, *Refusal) {
	t, refusal := s.Enqueue(s.now(), name, deadline)
	if refusal != nil || t.settled == nil {
		return t, refusal
	}
	timer := time.NewTimer(deadline.Sub(s.now()))
	defer timer.Stop()
	select {
	case <-t.settled:
	case <-timer.C:
		t.giveUp(s.now(), outcome.Deadline)
	case <-ctx.Done():
		t.giveUp(s.now(), outcome.Canceled)
	}
	return t.result()
}

// Demand returns the number of slots that the callers want, each counted up to its share of the total capacity of the
// service. A flood by one caller thus raises the demand by no more than its share.
func (s *Scheduler) Demand(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	demand := 0.0
	for _, c := range s.callers {
		c.settle(now)
		demand += min(c.offered*s.work, c.share*s.total)
	}
	return demand
}

// useFloor is the use below which a caller is left out of Use.
const useFloor = 0.01

// Usage returns the average number of slots that each caller held over the last second, for the other entries.
func (s *Scheduler) Usage(now time.Time) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	use := map[string]float64{}
	for name, c := range s.callers {
		c.settle(now)
		if c.use >= useFloor {
			use[name] = c.use
		}
	}
	return use
}

// SetRemoteUsage sets the sum of what the callers use at all other entries. From then on shares are those of the whole
// service: a caller that uses one entry only goes before one that takes more than its share from all entries together.
// With nil, as when the other entries are not heard, shares are those of this entry's capacity again.
func (s *Scheduler) SetRemoteUsage(now time.Time, use map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shared = use != nil
	for _, c := range s.callers {
		c.elsewhere = 0
	}
	for name, slots := range use {
		s.caller(now, name).elsewhere = slots
	}
}

func (s *Scheduler) free() bool {
	return float64(s.running) < max(math.Ceil(s.capacity), 1)
}

// next starts waiting calls in the order of their callers' use for their share, and refuses those that are too late. It
// returns both. Afterwards either nothing waits or nothing is free.
func (s *Scheduler) next(now time.Time) []*Ticket {
	var settled []*Ticket
	for s.waiting > 0 && s.free() {
		c := s.first(now)
		t := c.waiting.Front().Value.(*Ticket)
		if !s.inTime(now, t.deadline) {
			s.expire(now, t)
		} else {
			s.remove(t)
			s.run(now, t)
		}
		settled = append(settled, t)
	}
	return settled
}

// first returns the caller with waiting calls that has the lowest use for its share, and of equal ones the one whose
// first call is the oldest.
func (s *Scheduler) first(now time.Time) *caller {
	var best *caller
	var least float64
	for _, c := range s.queued {
		c.settle(now)
		ratio := s.ratio(c)
		if best == nil || ratio < least || ratio == least && c.oldest() < best.oldest() {
			best, least = c, ratio
		}
	}
	return best
}

// ratio is the use of a caller, including what its running calls will still use, for its share of the capacity. Below 1
// the caller is within its share.
func (s *Scheduler) ratio(c *caller) float64 {
	return s.part(c, c.work(s.work))
}

// reach is the ratio that the caller reaches when its waiting calls run.
func (s *Scheduler) reach(c *caller) float64 {
	return s.part(c, c.work(s.work)+float64(c.waiting.Len()))
}

// part relates a number of calls in the window to the share of a caller.
func (s *Scheduler) part(c *caller, calls float64) float64 {
	capacity := s.capacity
	if s.shared {
		capacity = s.total
	}
	return calls * s.work / window.Seconds() / (c.share * capacity)
}

// fade lets an estimate that is longer than usual return to the usual time while there are no samples.
func (s *Scheduler) fade(now time.Time) {
	if s.sampled.IsZero() {
		s.sampled = now
	}
	quiet := now.Sub(s.sampled) - fadeAfter
	if quiet <= 0 || s.usual() <= s.usualWork {
		return
	}
	s.sampled = now.Add(-fadeAfter)
	rest := math.Exp(-quiet.Seconds() / fadeTime.Seconds())
	s.work = s.usualWork + max(s.work-s.usualWork, 0)*rest
	s.deviation *= rest
}

func (s *Scheduler) inTime(now, deadline time.Time) bool {
	return !now.Add(seconds(s.usual())).After(deadline)
}

// usual is the time in seconds in which all but a few calls end.
func (s *Scheduler) usual() float64 {
	return s.work + 2*s.deviation
}

// late refuses a call that would not be answered by its deadline, or would spend too much of its time waiting.
func (s *Scheduler) late(now time.Time, c *caller, deadline time.Time, wait float64) *Refusal {
	reason, part := outcome.Deadline, owedPart
	if wait > 0 && s.reach(c) >= 1 {
		reason, part = outcome.ShareExceeded, sparePart
	}
	end := now.Add(seconds(wait/part + s.usual()))
	if !end.After(deadline) {
		return nil
	}
	return &Refusal{
		Reason:     reason,
		RetryAfter: min(max(end.Sub(deadline), retryFloor), retryCeiling),
	}
}

// refuse refuses a call that would have to wait too long or finds its caller's queue full.
func (s *Scheduler) refuse(now time.Time, c *caller, deadline time.Time) *Refusal {
	wait := s.wait(now, c)
	if c.waiting.Len() >= s.queue {
		reason := outcome.QueueFull
		if s.reach(c) >= 1 {
			reason = outcome.ShareExceeded
		}
		return &Refusal{
			Reason:     reason,
			RetryAfter: min(max(seconds(wait), retryFloor), retryCeiling),
		}
	}
	return s.late(now, c, deadline, wait)
}

// wait estimates the seconds until a new call of the caller starts: the time to serve the calls that wait and go before
// it. Of another caller those go before it that do not bring that caller's use for its share above the one that this
// caller reaches with the new call.
func (s *Scheduler) wait(now time.Time, c *caller) float64 {
	before := float64(c.waiting.Len())
	level := (c.work(s.work) + before) / c.share
	for _, other := range s.queued {
		if other == c {
			continue
		}
		other.settle(now)
		before += min(max(level*other.share-other.work(s.work), 0), float64(other.waiting.Len()))
	}
	return (1 + before) * s.work / s.capacity
}

func (s *Scheduler) run(now time.Time, t *Ticket) {
	c := t.caller
	c.settle(now)
	c.running++
	s.running++
	t.state = running
	if t.settled != nil {
		close(t.settled)
	}
}

func (s *Scheduler) remove(t *Ticket) {
	c := t.caller
	c.waiting.Remove(t.element)
	s.waiting--
	if c.waiting.Len() > 0 {
		return
	}
	for i, other := range s.queued {
		if other == c {
			s.queued = append(s.queued[:i], s.queued[i+1:]...)
			return
		}
	}
}

func (s *Scheduler) expire(now time.Time, t *Ticket) {
	reason := outcome.Deadline
	if s.reach(t.caller) >= 1 {
		reason = outcome.ShareExceeded
	}
	s.reject(now, t, reason)
}

// reject refuses a waiting call.
func (s *Scheduler) reject(now time.Time, t *Ticket, reason outcome.Reason) {
	s.remove(t)
	t.state = refused
	t.refusal = &Refusal{
		Reason:     reason,
		RetryAfter: min(max(seconds(s.wait(now, t.caller)), retryFloor), retryCeiling),
	}
	close(t.settled)
}

// finish ends a running call and starts the next.
func (s *Scheduler) finish(now time.Time, t *Ticket, latency time.Duration) []*Ticket {
	t.caller.settle(now)
	t.caller.running--
	s.running--
	if latency > 0 {
		s.sampled = now
		d := latency.Seconds() - s.work
		s.work += d * 0.05
		s.deviation += (math.Abs(d) - s.deviation) * 0.05
	}
	return s.next(now)
}

func (s *Scheduler) ticket(c *caller, deadline time.Time) *Ticket {
	s.tickets++
	return &Ticket{
		scheduler: s,
		caller:    c,
		number:    s.tickets,
		deadline:  deadline,
	}
}

func (s *Scheduler) caller(now time.Time, name string) *caller {
	c := s.callers[name]
	if c == nil {
		c = &caller{
			name:    name,
			waiting: list.New(),
			settled: now,
		}
		s.callers[name] = c
	}
	c.share = max(s.share(name), shareFloor)
	return c
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
