package entry

import "time"

// minAdjustInterval is the minimum interval between updates of the capacity of a service when calls end.
const minAdjustInterval = 10 * time.Millisecond

// adjustCapacity sets the number of calls of a service that this entry may have in flight, and refuses waiting calls
// whose deadline can no longer be met.
func (e *Entry) adjustCapacity(now time.Time, s *service) {
	s.adjustedAt.Store(int64(now.Sub(e.started)))
	window, total := e.table.Capacity(now, s.name, s.scheduler.Demand(now))
	s.scheduler.SetCapacity(now, window, total)
	s.scheduler.Expire(now)
}

// adjustAfterCall adjusts the capacity of a service after a call, at most once per interval. A timer instead would
// wake an idle entry 100 times a second, which took 1% of a core.
func (e *Entry) adjustAfterCall(now time.Time, s *service) {
	s.active.Store(true)
	previous, current := s.adjustedAt.Load(), int64(now.Sub(e.started))
	if current-previous >= int64(minAdjustInterval) && s.adjustedAt.CompareAndSwap(previous, current) {
		e.adjustCapacity(now, s)
	}
}

// adjustAllCapacities adjusts the services that had calls since the last time, and every service once a second.
func (e *Entry) adjustAllCapacities() {
	now := e.timers.Now()
	for _, s := range e.snapshot.Load().services {
		if s.active.Swap(false) || int64(now.Sub(e.started))-s.adjustedAt.Load() >= int64(time.Second) {
			e.adjustCapacity(now, s)
		}
	}
}
