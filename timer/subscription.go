package timer

import "time"

// Subscription delivers ticks on C until it is stopped.
type Subscription struct {
	C <-chan time.Time

	service  *Service
	ticker   *time.Ticker
	name     string
	interval time.Duration
}

// Stop ends the subscription. It does not close C, so that a receiver cannot mistake the end for a tick.
func (s *Subscription) Stop() {
	s.ticker.Stop()
	s.service.mu.Lock()
	delete(s.service.subs, s)
	s.service.mu.Unlock()
}
