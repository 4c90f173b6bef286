package store

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Counters are the counts of a Memory since it was created. Reads and Writes count admitted requests to the table; a
// transaction is one write. Refused counts requests that failed as Unavailable or Throttled on arrival, Conflicts
// transactions whose checks failed, and Lost commits that Faults.LostCommits selected.
type Counters struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Refused   uint64 `json:"refused"`
	Conflicts uint64 `json:"conflicts"`
	Lost      uint64 `json:"lost"`
}

type counters struct {
	reads, writes, refused, conflicts, lost atomic.Uint64
}

// Counters returns the current counts.
func (m *Memory) Counters() Counters {
	return Counters{
		Reads:     m.counters.reads.Load(),
		Writes:    m.counters.writes.Load(),
		Refused:   m.counters.refused.Load(),
		Conflicts: m.counters.conflicts.Load(),
		Lost:      m.counters.lost.Load(),
	}
}

// admit applies the faults that fail a request on arrival, and counts the request. It returns the faults in force.
func (m *Memory) admit(
	ctx context.Context, selectLimiter func(*faultInjector) *rate.Limiter, count *atomic.Uint64,
) (Faults, error) {
	if err := ctx.Err(); err != nil {
		return Faults{}, newError(Unavailable, err)
	}
	f, err := m.injector.admit(m.timers.Now(), selectLimiter)
	if err != nil {
		m.counters.refused.Add(1)
		return f, err
	}
	if count != nil {
		count.Add(1)
	}
	return f, nil
}

// sleep waits for d. If ctx ends first, it returns an error of kind Ambiguous.
func (m *Memory) sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return newError(Ambiguous, ctx.Err())
	}
}
