package share

import (
	"math"
	"sync"
	"time"
)

const (
	// patienceStep is the ratio of the times that are counted as one.
	patienceStep = 1.05
	// patienceCalls is the number of calls after which all counts are halved.
	patienceCalls = 400
	// patienceFloor is the number of calls from which on anything is said of others, patiencePart the part of the calls that
	// state a time from which on it is one that callers begin with.
	patienceFloor = 10
	patiencePart  = 0.03
	// patienceMost is the part of the calls that must begin with such times; if fewer do, nothing can be told from a time.
	patienceMost = 0.85
	// patienceCalm is how long after a refusal no call is counted, because it may have come back.
	patienceCalm = returnCeiling
)

// ElapsedEstimator learns how much time the callers of a route give a call when they first make it, and tells from what is left of
// it for how long a caller has waited already. It answers the load in which many calls are refused and come back: a call that
// came back looks like a new one otherwise, and its answer, which is late in any case, takes the place of one that would be
// in time.
//
// It learns from calls that arrive while none has been refused for a while, which are first calls with few exceptions.
//
// A ElapsedEstimator is safe for concurrent use.
type ElapsedEstimator struct {
	mu      sync.Mutex
	counts  map[int]int // by the logarithm of the time to the base patienceStep
	calls   int
	refused time.Time
}

// NewElapsedEstimator returns a Patience that knows nothing.
func NewElapsedEstimator() *ElapsedEstimator {
	return &ElapsedEstimator{
		counts: map[int]int{},
	}
}

// RecordRefusal takes note that a call was refused.
func (p *ElapsedEstimator) RecordRefusal(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused = now
}

// Elapsed takes note of a call that states how much time it has left, and returns for how long its caller has waited before.
func (p *ElapsedEstimator) Elapsed(now time.Time, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at := int(math.Floor(math.Log(float64(left)) / math.Log(patienceStep)))
	if now.Sub(p.refused) >= patienceCalm {
		p.note(at)
	}
	if p.calls < patienceFloor || p.usual(at) {
		return 0
	}
	next, found, most := 0, false, 0
	for other, n := range p.counts {
		if !p.usual(other) {
			continue
		}
		most += n
		if other > at && (!found || other < next) {
			next, found = other, true
		}
	}
	if !found || float64(most) < patienceMost*float64(p.calls) {
		return 0
	}
	return max(time.Duration(math.Pow(patienceStep, float64(next)))-left, 0)
}

// usual tells whether callers begin with such a time. The caller holds the lock.
func (p *ElapsedEstimator) usual(at int) bool {
	return float64(p.counts[at]) >= patiencePart*float64(p.calls)
}

// note counts a call. The caller holds the lock.
func (p *ElapsedEstimator) note(at int) {
	p.counts[at]++
	p.calls++
	if p.calls < patienceCalls {
		return
	}
	p.calls = 0
	for at, n := range p.counts {
		if n /= 2; n == 0 {
			delete(p.counts, at)
			continue
		}
		p.counts[at] = n
		p.calls += n
	}
}
