// Package timer is the one source of time for the background work of a process.
//
// Parts subscribe to a Service instead of creating tickers of their own. The service keeps the names and intervals of
// all subscriptions, so that an operator can see at a glance what a process does in the background.
//
// # Usage
//
//	timers := timer.New()
//	sub := timers.Every("peer exchange", time.Second)
//	defer sub.Stop()
//	for {
//		select {
//		case now := <-sub.C:
//			exchange(now)
//		case <-done:
//			return
//		}
//	}
//
// Tests run the same code inside testing/synctest, where time is simulated.
package timer

import (
	"sort"
	"sync"
	"time"
)

// Service hands out subscriptions and remembers them until they are stopped. It is safe for concurrent use.
type Service struct {
	mu   sync.Mutex
	subs map[*Subscription]struct{}
}

// New returns a Service without subscriptions.
func New() *Service {
	return &Service{
		subs: map[*Subscription]struct{}{},
	}
}

// Now returns the current time with its monotonic reading, which does not jump when the wall clock is set.
func (s *Service) Now() time.Time {
	return time.Now()
}

// Every subscribes to ticks at the given interval. A tick that the subscriber is too slow to take is dropped.
func (s *Service) Every(name string, interval time.Duration) *Subscription {
	ticker := time.NewTicker(interval)
	sub := &Subscription{
		C:        ticker.C,
		service:  s,
		ticker:   ticker,
		name:     name,
		interval: interval,
	}
	s.mu.Lock()
	s.subs[sub] = struct{}{}
	s.mu.Unlock()
	return sub
}

// Task describes one subscription.
type Task struct {
	Name     string
	Interval time.Duration
}

// Tasks returns the current subscriptions, sorted by name.
func (s *Service) Tasks() []Task {
	s.mu.Lock()
	defer s.mu.Unlock()
	tasks := make([]Task, 0, len(s.subs))
	for sub := range s.subs {
		tasks = append(tasks, Task{
			Name:     sub.name,
			Interval: sub.interval,
		})
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].Name < tasks[j].Name })
	return tasks
}
