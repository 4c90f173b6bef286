// Package share decides which caller's call goes next when a service has less capacity than its callers want.
//
// A Scheduler serves one service at one entry. Each caller has a queue and a share of the capacity. The usage of a
// caller is the average number of slots that its calls held over a short window, so a caller with few long calls counts
// as much as one with many short calls. The caller with the lowest usage relative to its share goes next: a caller
// within its share never waits behind one above its share, and unused shares go to the others. A call that cannot be
// answered in time is refused when it arrives.
//
// A WaitQueue orders the calls of a service that wait for a target by their deadlines. An ElapsedEstimator estimates
// how long the caller of a call has been waiting already.
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
// Enqueue and Expire do the same without blocking, for code with its own clock.
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
	// usageWindow is the time constant of the average usage. With 500 ms, a caller at 90% of its share exceeded it
	// often enough to lose 1.5% of its calls at 110% of capacity; with 1 s it loses 0.6%.
	usageWindow = time.Second
	// defaultQueueLimit is the default length of a caller's queue. It bounds memory; the deadline bounds the wait.
	defaultQueueLimit = 1024
	// withinShareWaitFraction is the fraction of the spare time before its deadline that a call may wait if its caller
	// is within its share. The rest is kept for estimates that are too low.
	withinShareWaitFraction = 0.5
	// beyondShareWaitFraction is the same for a caller above its share. Short queues lose no throughput there: at 110% of
	// capacity, 0.25 and 0.4 gave the same goodput, but 0.25 a p99 of 97 ms instead of 122 ms.
	beyondShareWaitFraction = 0.25
	// minShare is the share of a caller without a configured one.
	minShare = 0.001
	// minRetryAfter is the minimum retry delay in refusals.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the maximum retry delay in refusals.
	maxRetryAfter = 30 * time.Second
)

const (
	// estimateHoldTime is how long the estimated service time is kept without a new sample.
	estimateHoldTime = 250 * time.Millisecond
	// estimateTimeConstant is the time constant with which the estimate then returns to the initial service time. Without
	// this, a stall that raised the estimate above the deadlines would make the scheduler refuse every later call, and no
	// sample would ever correct the estimate.
	estimateTimeConstant = 500 * time.Millisecond
)

// Options configures a Scheduler.
type Options struct {
	// Share returns the fraction of the capacity that a caller is entitled to. It is called with a lock held, so it
	// must not block.
	Share func(caller string) float64
	// ServiceTime is the service time that is assumed until calls have been measured. The default is 10 ms.
	ServiceTime time.Duration
	// QueueLimit is the maximum number of waiting calls per caller. The default is 1024.
	QueueLimit int
	// Now is the clock used by Admit. The default is time.Now.
	Now func() time.Time
}

// Refusal says why a call was not admitted. The call was not run.
type Refusal struct {
	// Reason is ShareExceeded for a caller above its share, Deadline if the call cannot be answered in time, QueueFull
	// if the queue of a caller within its share is full, or Canceled if the context ended.
	Reason outcome.Reason
	// RetryAfter is the estimated time after which the same call would be admitted.
	RetryAfter time.Duration
}

// Scheduler admits the calls of one service. It is safe for concurrent use.
type Scheduler struct {
	share      func(string) float64
	queueLimit int
	now        func() time.Time

	mu               sync.Mutex
	capacity         float64
	total            float64
	remoteUsageKnown bool
	running          int
	waiting          int
	lastTicket       uint64
	// serviceTime is the average time that a call holds its slot, deviation the mean absolute deviation of that, both
	// in seconds.
	serviceTime        float64
	initialServiceTime float64
	sampledAt          time.Time
	deviation          float64
	callers            map[string]*caller
	// backlogged holds the callers with waiting calls.
	backlogged []*caller
}

// New returns a Scheduler with capacity 1.
func New(o Options) *Scheduler {
	if o.Share == nil {
		o.Share = func(string) float64 { return minShare }
	}
	if o.ServiceTime <= 0 {
		o.ServiceTime = 10 * time.Millisecond
	}
	if o.QueueLimit <= 0 {
		o.QueueLimit = defaultQueueLimit
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Scheduler{
		share:              o.Share,
		queueLimit:         o.QueueLimit,
		now:                o.Now,
		capacity:           1,
		total:              1,
		serviceTime:        o.ServiceTime.Seconds(),
		initialServiceTime: o.ServiceTime.Seconds(),
		callers:            map[string]*caller{},
	}
}

// SetCapacity sets the number of calls of this entry that may run at once, at least one, and the capacity of the whole
// service. It returns the waiting tickets that it started or refused.
func (s *Scheduler) SetCapacity(now time.Time, slots, total float64) []*Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity = max(slots, 1)
	s.total = max(total, s.capacity)
	return s.dispatch(now)
}

// Enqueue admits, queues or refuses the call without blocking. A waiting ticket is started or refused by a later call
// of Done, SetCapacity or Expire, which return the tickets that they decided.
func (s *Scheduler) Enqueue(now time.Time, name string, deadline time.Time) (*Ticket, *Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decayEstimate(now)
	c := s.callerState(now, name)
	c.update(now)
	c.arrivalRate += 1 / usageWindow.Seconds()
	if s.hasFreeSlot() {
		if refusal := s.refuseLate(now, c, deadline, 0); refusal != nil {
			return nil, refusal
		}
		t := s.newTicket(c, deadline)
		s.start(now, t)
		return t, nil
	}
	if refusal := s.refuseQueued(now, c, deadline); refusal != nil {
		return nil, refusal
	}
	t := s.newTicket(c, deadline)
	t.decided = make(chan struct{})
	t.element = c.waiting.PushBack(t)
	if c.waiting.Len() == 1 {
		s.backlogged = append(s.backlogged, c)
	}
	s.waiting++
	return t, nil
}

// Expire refuses the waiting calls that can no longer be answered in time and returns them.
func (s *Scheduler) Expire(now time.Time) []*Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	var expired []*Ticket
	for i := len(s.backlogged) - 1; i >= 0; i-- {
		c := s.backlogged[i]
		for e := c.waiting.Front(); e != nil; {
			t := e.Value.(*Ticket)
			e = e.Next()
			if s.canFinish(now, t.deadline) {
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
	if refusal != nil || t.decided == nil {
		return t, refusal
	}
	timer := time.NewTimer(deadline.Sub(s.now()))
	defer timer.Stop()
	select {
	case <-t.decided:
	case <-timer.C:
		t.cancel(s.now(), outcome.Deadline)
	case <-ctx.Done():
		t.cancel(s.now(), outcome.Canceled)
	}
	return t.result()
}

// Demand returns the number of slots that the callers want, each counted up to its share of the total capacity of the
// service. A flood from one caller thus raises the demand by no more than its share.
func (s *Scheduler) Demand(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	demand := 0.0
	for _, c := range s.callers {
		c.update(now)
		demand += min(c.arrivalRate*s.serviceTime, c.share*s.total)
	}
	return demand
}

// minReportedUsage is the usage below which a caller is omitted from Usage.
const minReportedUsage = 0.01

// Usage returns the average number of slots that each caller held over the last second, to be sent to the other
// entries.
func (s *Scheduler) Usage(now time.Time) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	usage := map[string]float64{}
	for name, c := range s.callers {
		c.update(now)
		if c.usage >= minReportedUsage {
			usage[name] = c.usage
		}
	}
	return usage
}

// SetRemoteUsage sets the total usage of the callers at all other entries. From then on, shares apply to the whole
// service: a caller that uses only one entry goes before a caller that exceeds its share over all entries. If usage is
// nil, because the other entries cannot be reached, shares apply to the capacity of this entry again.
func (s *Scheduler) SetRemoteUsage(now time.Time, usage map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remoteUsageKnown = usage != nil
	for _, c := range s.callers {
		c.remoteUsage = 0
	}
	for name, slots := range usage {
		s.callerState(now, name).remoteUsage = slots
	}
}

func (s *Scheduler) hasFreeSlot() bool {
	return float64(s.running) < max(math.Ceil(s.capacity), 1)
}

// dispatch starts waiting calls in the order of their callers' usage relative to their shares, and refuses those that
// are too late. It returns both. Afterwards there is no waiting call or no free slot.
func (s *Scheduler) dispatch(now time.Time) []*Ticket {
	var decided []*Ticket
	for s.waiting > 0 && s.hasFreeSlot() {
		c := s.nextCaller(now)
		t := c.waiting.Front().Value.(*Ticket)
		if !s.canFinish(now, t.deadline) {
			s.expire(now, t)
		} else {
			s.dequeue(t)
			s.start(now, t)
		}
		decided = append(decided, t)
	}
	return decided
}

// nextCaller returns the caller with waiting calls that has the lowest usage relative to its share. If several have the
// same, it returns the one whose first call is the oldest.
func (s *Scheduler) nextCaller(now time.Time) *caller {
	var best *caller
	var lowest float64
	for _, c := range s.backlogged {
		c.update(now)
		ratio := s.usageRatio(c)
		if best == nil || ratio < lowest || ratio == lowest && c.oldest() < best.oldest() {
			best, lowest = c, ratio
		}
	}
	return best
}

// usageRatio returns the usage of a caller relative to its share of the capacity, including what its running calls will
// still use. Below 1 the caller is within its share.
func (s *Scheduler) usageRatio(c *caller) float64 {
	return s.relativeUsage(c, c.usedCalls(s.serviceTime))
}

// projectedUsageRatio returns the usage ratio that the caller reaches when its waiting calls have run.
func (s *Scheduler) projectedUsageRatio(c *caller) float64 {
	return s.relativeUsage(c, c.usedCalls(s.serviceTime)+float64(c.waiting.Len()))
}

// relativeUsage converts a number of calls in the window to usage relative to the share of a caller.
func (s *Scheduler) relativeUsage(c *caller, calls float64) float64 {
	capacity := s.capacity
	if s.remoteUsageKnown {
		capacity = s.total
	}
	return calls * s.serviceTime / usageWindow.Seconds() / (c.share * capacity)
}

// decayEstimate moves an estimate above the initial service time back towards it while there are no samples.
func (s *Scheduler) decayEstimate(now time.Time) {
	if s.sampledAt.IsZero() {
		s.sampledAt = now
	}
	idle := now.Sub(s.sampledAt) - estimateHoldTime
	if idle <= 0 || s.serviceTimeBound() <= s.initialServiceTime {
		return
	}
	s.sampledAt = now.Add(-estimateHoldTime)
	remaining := math.Exp(-idle.Seconds() / estimateTimeConstant.Seconds())
	s.serviceTime = s.initialServiceTime + max(s.serviceTime-s.initialServiceTime, 0)*remaining
	s.deviation *= remaining
}

func (s *Scheduler) canFinish(now, deadline time.Time) bool {
	return !now.Add(seconds(s.serviceTimeBound())).After(deadline)
}

// serviceTimeBound returns the time in seconds in which almost all calls end.
func (s *Scheduler) serviceTimeBound() float64 {
	return s.serviceTime + 2*s.deviation
}

// refuseLate refuses a call that would miss its deadline, or would spend too much of its time waiting. Otherwise it
// returns nil.
func (s *Scheduler) refuseLate(now time.Time, c *caller, deadline time.Time, wait float64) *Refusal {
	reason, waitFraction := outcome.Deadline, withinShareWaitFraction
	if wait > 0 && s.projectedUsageRatio(c) >= 1 {
		reason, waitFraction = outcome.ShareExceeded, beyondShareWaitFraction
	}
	end := now.Add(seconds(wait/waitFraction + s.serviceTimeBound()))
	if !end.After(deadline) {
		return nil
	}
	return &Refusal{
		Reason:     reason,
		RetryAfter: min(max(end.Sub(deadline), minRetryAfter), maxRetryAfter),
	}
}

// refuseQueued refuses a call that would have to wait too long or finds the queue of its caller full. Otherwise it
// returns nil.
func (s *Scheduler) refuseQueued(now time.Time, c *caller, deadline time.Time) *Refusal {
	wait := s.estimatedWait(now, c)
	if c.waiting.Len() >= s.queueLimit {
		reason := outcome.QueueFull
		if s.projectedUsageRatio(c) >= 1 {
			reason = outcome.ShareExceeded
		}
		return &Refusal{
			Reason:     reason,
			RetryAfter: min(max(seconds(wait), minRetryAfter), maxRetryAfter),
		}
	}
	return s.refuseLate(now, c, deadline, wait)
}

// estimatedWait estimates the seconds until a new call of the caller starts: the time to serve the waiting calls that
// go before it. Calls of another caller go before it as long as they do not raise the relative usage of that caller
// above the one that this caller reaches with the new call.
func (s *Scheduler) estimatedWait(now time.Time, c *caller) float64 {
	before := float64(c.waiting.Len())
	level := (c.usedCalls(s.serviceTime) + before) / c.share
	for _, other := range s.backlogged {
		if other == c {
			continue
		}
		other.update(now)
		before += min(max(level*other.share-other.usedCalls(s.serviceTime), 0), float64(other.waiting.Len()))
	}
	return (1 + before) * s.serviceTime / s.capacity
}

func (s *Scheduler) start(now time.Time, t *Ticket) {
	c := t.caller
	c.update(now)
	c.running++
	s.running++
	t.state = running
	if t.decided != nil {
		close(t.decided)
	}
}

func (s *Scheduler) dequeue(t *Ticket) {
	c := t.caller
	c.waiting.Remove(t.element)
	s.waiting--
	if c.waiting.Len() > 0 {
		return
	}
	for i, other := range s.backlogged {
		if other == c {
			s.backlogged = append(s.backlogged[:i], s.backlogged[i+1:]...)
			return
		}
	}
}

func (s *Scheduler) expire(now time.Time, t *Ticket) {
	reason := outcome.Deadline
	if s.projectedUsageRatio(t.caller) >= 1 {
		reason = outcome.ShareExceeded
	}
	s.reject(now, t, reason)
}

// reject refuses a waiting call.
func (s *Scheduler) reject(now time.Time, t *Ticket, reason outcome.Reason) {
	s.dequeue(t)
	t.state = refused
	t.refusal = &Refusal{
		Reason:     reason,
		RetryAfter: min(max(seconds(s.estimatedWait(now, t.caller)), minRetryAfter), maxRetryAfter),
	}
	close(t.decided)
}

// finish ends a running call and starts the next ones.
func (s *Scheduler) finish(now time.Time, t *Ticket, latency time.Duration) []*Ticket {
	t.caller.update(now)
	t.caller.running--
	s.running--
	if latency > 0 {
		s.sampledAt = now
		d := latency.Seconds() - s.serviceTime
		s.serviceTime += d * 0.05
		s.deviation += (math.Abs(d) - s.deviation) * 0.05
	}
	return s.dispatch(now)
}

func (s *Scheduler) newTicket(c *caller, deadline time.Time) *Ticket {
	s.lastTicket++
	return &Ticket{
		scheduler: s,
		caller:    c,
		number:    s.lastTicket,
		deadline:  deadline,
	}
}

func (s *Scheduler) callerState(now time.Time, name string) *caller {
	c := s.callers[name]
	if c == nil {
		c = &caller{
			name:      name,
			waiting:   list.New(),
			updatedAt: now,
		}
		s.callers[name] = c
	}
	c.share = max(s.share(name), minShare)
	return c
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
