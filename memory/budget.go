package memory

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxWaiters bounds the reservations that wait in each part but Requests, in which each connection has one at most.
	maxWaiters = 32
	// holdTimeWeight is the weight of the last reservation in the mean time for which reservations are held.
	holdTimeWeight = 1. / 8
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is asked to come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// initialHoldTime is the assumed time for which a reservation is held until one has been measured: that of 1 MB
	// at 10 Mbit/s.
	initialHoldTime = 800 * time.Millisecond
)

// Budget counts what is reserved. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	limits Limits
	parts  map[Part]*part
}

// part is the state of a part.
type part struct {
	// held is reserved by calls that have not ended. garbage is held by ended ones until the collector frees it.
	held     int64
	garbage  int64
	queue    []*Reservation
	queued   int64
	holdTime time.Duration
	waits    uint64
	refused  uint64
}

// Reservation is a number of bytes that are reserved, or wait for it.
type Reservation struct {
	// Granted is closed when the bytes may be allocated.
	Granted chan struct{}
	part    Part
	bytes   int64
	since   time.Time
	granted bool
	ended   bool
}

// IsGranted reports whether the bytes may be allocated.
func (r *Reservation) IsGranted() bool {
	select {
	case <-r.Granted:
		return true
	default:
		return false
	}
}

// NewBudget returns a Budget with nothing reserved.
func NewBudget(l Limits) *Budget {
	b := &Budget{
		limits: l,
		parts:  map[Part]*part{},
	}
	for _, p := range Parts {
		b.parts[p] = &part{
			holdTime: initialHoldTime,
		}
	}
	return b
}

// SetLimits changes the limits. What is reserved stays reserved.
func (b *Budget) SetLimits(now time.Time, l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
	for _, p := range Parts {
		b.grant(now, p)
	}
}

// MaxConnections returns the number of connections that clients may have, 0 if there is no limit.
func (b *Budget) MaxConnections() int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.Connections
}

// MaxTargetConnections returns the number of connections to targets, 0 if there is no limit.
func (b *Budget) MaxTargetConnections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.Targets
}

// fits reports whether n more bytes may be held. A single reservation always fits, so that a body within the limit of the
// settings is accepted on any machine. The caller holds the lock.
func (b *Budget) fits(p Part, n int64) bool {
	s := b.parts[p]
	inUse := s.held + s.garbage
	return inUse+n <= b.limits.of(p) || inUse == 0
}

// TryReserve reserves bytes at once, or returns false. Release with ReleaseBytes.
func (b *Budget) TryReserve(p Part, n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.parts[p].queued > 0 || !b.fits(p, n) {
		b.parts[p].refused++
		return false
	}
	b.parts[p].held += n
	return true
}

// ReleaseBytes returns bytes that TryReserve has reserved.
func (b *Budget) ReleaseBytes(now time.Time, p Part, n int64) {
	if b == nil || n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts[p].held -= n
	b.grant(now, p)
}

// Reserve reserves bytes, at once or when its turn has come. It returns nil if too many wait already.
func (b *Budget) Reserve(now time.Time, p Part, n int64) *Reservation {
	r := &Reservation{
		Granted: make(chan struct{}),
		part:    p,
		bytes:   n,
	}
	if b == nil {
		close(r.Granted)
		return r
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.parts[p]
	if len(s.queue) >= maxWaiters && p != Requests {
		s.refused++
		return nil
	}
	s.queue = append(s.queue, r)
	s.queued += n
	b.grant(now, p)
	if !r.granted {
		s.waits++
	}
	return r
}

// grant grants waiting reservations in the order of their arrival. A large one is not overtaken by smaller ones, which could
// otherwise keep it waiting for ever. The caller holds the lock.
func (b *Budget) grant(now time.Time, p Part) {
	s := b.parts[p]
	for len(s.queue) > 0 && b.fits(p, s.queue[0].bytes) {
		r := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		s.queued -= r.bytes
		s.held += r.bytes
		r.granted, r.since = true, now
		close(r.Granted)
	}
}

// Withdraw ends the wait of a reservation. It returns false if it has been granted.
func (b *Budget) Withdraw(now time.Time, r *Reservation) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.granted {
		return false
	}
	s := b.parts[r.part]
	if i := slices.Index(s.queue, r); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		s.queued -= r.bytes
		s.refused++
		b.grant(now, r.part)
	}
	return true
}

// Shrink returns the bytes of a granted reservation that are not needed.
func (b *Budget) Shrink(now time.Time, r *Reservation, n int64) {
	if b == nil || n >= r.bytes {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts[r.part].held -= r.bytes - n
	r.bytes = n
	b.grant(now, r.part)
}

// Release ends a granted reservation. Garbage is what of it stays in memory until Freed is called.
func (b *Budget) Release(now time.Time, r *Reservation, garbage int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	s := b.parts[r.part]
	s.held -= r.bytes
	s.garbage += garbage
	s.holdTime += time.Duration(holdTimeWeight * float64(now.Sub(r.since)-s.holdTime))
	b.grant(now, r.part)
}

// Freed says that the collector has freed bytes of garbage.
func (b *Budget) Freed(now time.Time, p Part, n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts[p].garbage -= n
	b.grant(now, p)
}

// WaitsForCollector reports whether a reservation waits that could be granted if the collector freed garbage.
func (b *Budget) WaitsForCollector() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.parts[Large]
	return len(s.queue) > 0 && s.garbage > 0
}

// RetryAfter returns the time after which n bytes can probably be reserved: reservations are held for about as long as the
// last ones, and what is held and waits comes first.
func (b *Budget) RetryAfter(p Part, n int64) time.Duration {
	if b == nil {
		return minRetryAfter
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.parts[p]
	rounds := float64(s.held+s.garbage+s.queued+n) / float64(max(b.limits.of(p), 1))
	return min(max(time.Duration(rounds*float64(s.holdTime)), minRetryAfter), maxRetryAfter)
}

// Usage is the state of a part, for operators.
type Usage struct {
	Part Part `json:"part"`
	// Held, Garbage and Limit are in bytes.
	Held    int64 `json:"held"`
	Garbage int64 `json:"garbage"`
	Limit   int64 `json:"limit"`
	Waiting int   `json:"waiting"`
	// Waits and Refused count the reservations that waited and that were refused.
	Waits   uint64 `json:"waits"`
	Refused uint64 `json:"refused"`
}

// Usage returns the state of a part.
func (b *Budget) Usage(p Part) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.parts[p]
	return Usage{
		Part:    p,
		Held:    s.held,
		Garbage: s.garbage,
		Limit:   b.limits.of(p),
		Waiting: len(s.queue),
		Waits:   s.waits,
		Refused: s.refused,
	}
}
