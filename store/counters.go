package store

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Counters is what a Memory has counted since its start. Reads and Writes are requests to the table that were let in;
// a transaction is one write. Refused are those Down or Throttled.
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

func (m *Memory) admit(ctx context.Context, limit func(*injector) *rate.Limiter, count *atomic.Uint64) (Faults, error) {
	if err := ctx.Err(); err != nil {
		return Faults{}, fault(Unavailable, err)
	}
	f, err := m.injector.admit(m.timers.Now(), limit)
	if err != nil {
		m.counters.refused.Add(1)
		return f, err
	}
	if count != nil {
		count.Add(1)
	}
	return f, nil
}

func (m *Memory) wait(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fault(Ambiguous, ctx.Err())
	}
}
