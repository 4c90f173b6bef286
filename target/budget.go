package target

import (
	"sync"
	"time"
)

// probeWindow is the length of the sliding window of a probe budget (docs/design.md, 2.7).
const probeWindow = time.Second

// ProbeBudget limits the probes, that is, the load reads and connection checks, that one entry sends to one target. At
// most quota probes count at any moment, and a probe counts from its start until one second after its end. A target
// therefore sees at most quota probes of this entry in any second, no matter how long each takes. ProbeBudget is safe
// for concurrent use.
type ProbeBudget struct {
	mu sync.Mutex
	// window is the time for which a finished probe still counts, quota the number of probes that may count at once.
	window    time.Duration
	quota     int
	nextQuota int       // takes effect at raiseAt
	raiseAt   time.Time // zero if no raise is scheduled
	notBefore time.Time // no probe starts earlier
	gate      func(now time.Time) bool
	inFlight  int
	expiries  []time.Time // when finished probes stop counting, unordered
}

// NewProbeBudget returns a budget of quota probes per second. It allows none in the first second after start, the start
// of the process, because probes of a killed process that this one replaces may still count.
func NewProbeBudget(quota int, start time.Time) *ProbeBudget {
	return &ProbeBudget{
		window:    probeWindow,
		quota:     quota,
		notBefore: start.Add(probeWindow),
	}
}

// NewAverageProbeBudget returns a budget that allows quota probes per second on average over span, possibly in bursts.
// It allows probes immediately.
func NewAverageProbeBudget(quota int, span time.Duration) *ProbeBudget {
	return &ProbeBudget{
		window: span,
		quota:  quota * int(span/time.Second),
	}
}

// SetQuota changes the quota. A lower quota applies immediately. A higher one applies at raiseAt, by which time all
// other entries must have lowered theirs.
func (b *ProbeBudget) SetQuota(quota int, raiseAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	quota *= int(b.window / time.Second)
	b.raiseAt = time.Time{}
	if quota <= b.quota {
		b.quota = quota
		return
	}
	b.nextQuota = quota
	b.raiseAt = raiseAt
}

// SetGate sets a function that must also allow each probe. It is called for each probe that the quota allows, and must
// not block. With it, an entry that resumes after a pause does not use a quota that may belong to another process by
// now.
func (b *ProbeBudget) SetGate(gate func(now time.Time) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gate = gate
}

// BlockUntil allows no probe before t.
func (b *ProbeBudget) BlockUntil(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.After(b.notBefore) {
		b.notBefore = t
	}
}

// Take starts a probe if the budget allows one now. Each started probe must be ended by Done or Cancel. If no probe is
// allowed, wait is how long the caller should wait before it tries again; that attempt may fail too.
func (b *ProbeBudget) Take(now time.Time) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.notBefore) {
		return b.notBefore.Sub(now), false
	}
	if !b.raiseAt.IsZero() && !now.Before(b.raiseAt) {
		b.quota = b.nextQuota
		b.raiseAt = time.Time{}
	}
	wait = b.window
	kept := b.expiries[:0]
	for _, t := range b.expiries {
		if !t.Before(now) {
			kept = append(kept, t)
			// The extra nanosecond is needed because a probe still counts at the very end of its window.
			wait = min(wait, t.Sub(now)+1)
		}
	}
	b.expiries = kept
	if b.inFlight+len(b.expiries) >= b.quota {
		return wait, false
	}
	if b.gate != nil && !b.gate(now) {
		return b.window, false
	}
	b.inFlight++
	return 0, true
}

// Done ends a probe. End is the latest time at which the target may have executed it.
func (b *ProbeBudget) Done(end time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finishProbe()
	b.expiries = append(b.expiries, end.Add(b.window))
}

// Cancel ends a probe that sent nothing.
func (b *ProbeBudget) Cancel() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finishProbe()
}

func (b *ProbeBudget) finishProbe() {
	b.inFlight--
	if b.inFlight < 0 {
		panic("target: probe ended twice")
	}
}
