package target

import (
	"sync"
	"time"
)

// window is the length of the sliding window of a probe budget. The value is part of the design (2.7).
const window = time.Second

// ProbeBudget limits the probes of one entry at one target: load reads and connection checks together. At most quota probes
// count at any moment, where a probe counts from its start until one second after its end. So a target sees at most
// quota probes of this entry in any second, however long each takes. It is safe for concurrent use.
type ProbeBudget struct {
	mu sync.Mutex
	// window is the time for which a probe counts, quota the number of probes that may count at once.
	window time.Duration
	quota  int
	next   int       // quota from the time of raise on
	raise  time.Time // zero if no change is due
	from   time.Time // no probe before
	gate   func(now time.Time) bool
	flying int
	until  []time.Time // when ended probes stop counting, in no order
}

// NewProbeBudget returns a budget of quota probes per second that allows none in the first second after start, the start of
// the process: probes of a process that was killed and replaced by this one may still count.
func NewProbeBudget(quota int, start time.Time) *ProbeBudget {
	return &ProbeBudget{
		window: window,
		quota:  quota,
		from:   start.Add(window),
	}
}

// NewAverageProbeBudget returns a budget of quota probes per second on the average of a span, which may come in bursts. It
// allows probes at once.
func NewAverageProbeBudget(quota int, span time.Duration) *ProbeBudget {
	return &ProbeBudget{
		window: span,
		quota:  quota * int(span/time.Second),
	}
}

// SetQuota changes the quota. A lower one applies immediately, a higher one from the given time on, by which all other
// entries must have lowered theirs.
func (b *ProbeBudget) SetQuota(quota int, from time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	quota *= int(b.window / time.Second)
	b.raise = time.Time{}
	if quota <= b.quota {
		b.quota = quota
		return
	}
	b.next = quota
	b.raise = from
}

// SetGate makes every probe also depend on gate, which is asked at the moment of each probe that the quota allows and must
// not block. An entry that woke from a pause learns in this way that its quota may belong to another process by now.
func (b *ProbeBudget) SetGate(gate func(now time.Time) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gate = gate
}

// BlockUntil allows no probe before the given time.
func (b *ProbeBudget) BlockUntil(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.from) {
		b.from = until
	}
}

// Take starts a probe if the budget allows one now. Each probe taken must be ended by Done or Cancel. If none is
// allowed, wait is the time after which asking again makes sense, which is no promise.
func (b *ProbeBudget) Take(now time.Time) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.from) {
		return b.from.Sub(now), false
	}
	if !b.raise.IsZero() && !now.Before(b.raise) {
		b.quota = b.next
		b.raise = time.Time{}
	}
	wait = b.window
	kept := b.until[:0]
	for _, t := range b.until {
		if !t.Before(now) {
			kept = append(kept, t)
			// One nanosecond more, because a probe counts up to and including the end of its window.
			wait = min(wait, t.Sub(now)+1)
		}
	}
	b.until = kept
	if b.flying+len(b.until) >= b.quota {
		return wait, false
	}
	if b.gate != nil && !b.gate(now) {
		return b.window, false
	}
	b.flying++
	return 0, true
}

// Done ends a probe. End is the last moment at which it may have run at the target.
func (b *ProbeBudget) Done(end time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end()
	b.until = append(b.until, end.Add(b.window))
}

// Cancel ends a probe of which nothing was sent.
func (b *ProbeBudget) Cancel() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end()
}

func (b *ProbeBudget) end() {
	b.flying--
	if b.flying < 0 {
		panic("target: a probe ended twice")
	}
}
