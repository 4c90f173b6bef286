package share

import (
	"math"
	"sync"
	"time"
)

const (
	// bucketRatio is the ratio between the bounds of adjacent histogram buckets.
	bucketRatio = 1.05
	// decayCalls is the number of calls after which all counts are halved.
	decayCalls = 400
	// minSampledCalls is the number of calls below which nothing is estimated.
	minSampledCalls = 10
	// minInitialFraction is the fraction of calls above which a bucket counts as an initial timeout.
	minInitialFraction = 0.03
	// minCoveredFraction is the fraction of calls whose time left must be an initial timeout. If fewer do, the times
	// left follow no pattern.
	minCoveredFraction = 0.85
	// refusalCooldown is how long after a refusal calls are not counted, because they may be retries.
	refusalCooldown = maxQueueRetryAfter
)

// ElapsedEstimator estimates how long a caller has waited for a call before it arrived, from the time left until the
// deadline. It learns which timeouts the callers of a route set initially. It is designed for periods in which many
// calls are refused and retried: without it, a retried call looks like a new one, and its response, which is late in
// any case, displaces one that would be in time.
//
// It learns only from calls that arrive when none has been refused recently. With few exceptions, these are first
// attempts.
//
// An ElapsedEstimator is safe for concurrent use.
type ElapsedEstimator struct {
	mu          sync.Mutex
	counts      map[int]int // by the logarithm of the time left to base bucketRatio
	calls       int
	lastRefusal time.Time
}

// NewElapsedEstimator returns an ElapsedEstimator without samples.
func NewElapsedEstimator() *ElapsedEstimator {
	return &ElapsedEstimator{
		counts: map[int]int{},
	}
}

// RecordRefusal records that a call was refused.
func (e *ElapsedEstimator) RecordRefusal(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastRefusal = now
}

// Elapsed records a call with the given time left, and returns the estimated time since its caller first made it.
func (e *ElapsedEstimator) Elapsed(now time.Time, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	bucket := int(math.Floor(math.Log(float64(left)) / math.Log(bucketRatio)))
	if now.Sub(e.lastRefusal) >= refusalCooldown {
		e.record(bucket)
	}
	if e.calls < minSampledCalls || e.isInitial(bucket) {
		return 0
	}
	next, found, covered := 0, false, 0
	for other, n := range e.counts {
		if !e.isInitial(other) {
			continue
		}
		covered += n
		if other > bucket && (!found || other < next) {
			next, found = other, true
		}
	}
	if !found || float64(covered) < minCoveredFraction*float64(e.calls) {
		return 0
	}
	return max(time.Duration(math.Pow(bucketRatio, float64(next)))-left, 0)
}

// isInitial reports whether callers set initial timeouts in this bucket. The caller holds the lock.
func (e *ElapsedEstimator) isInitial(bucket int) bool {
	return float64(e.counts[bucket]) >= minInitialFraction*float64(e.calls)
}

// record counts a call. The caller holds the lock.
func (e *ElapsedEstimator) record(bucket int) {
	e.counts[bucket]++
	e.calls++
	if e.calls < decayCalls {
		return
	}
	e.calls = 0
	for bucket, n := range e.counts {
		if n /= 2; n == 0 {
			delete(e.counts, bucket)
			continue
		}
		e.counts[bucket] = n
		e.calls += n
	}
}
