package route

import (
	"math"
	"time"
)

const (
	// latencyBuckets with four buckets for each doubling from 64 µs cover latencies up to 4 s with an error under 19%.
	latencyBuckets = 64
	// latencyFloor is the upper end of the first bucket.
	latencyFloor = 64 * time.Microsecond
	// latencyMemory is the number of samples after which all counts are halved, so that old samples fade.
	latencyMemory = 2000
	// latencyMinimum is the number of samples below which no quantile is given.
	latencyMinimum = 50
	// latencyRefresh is the number of samples after which the cached quantile is computed again.
	latencyRefresh = 16
)

// latencies is a histogram of recent latencies of a service.
type latencies struct {
	counts [latencyBuckets]float64
	total  float64
	added  int

	cached   time.Duration
	cachedAt int
}

func (l *latencies) add(d time.Duration) {
	i := 0
	if d > latencyFloor {
		i = min(int(math.Log2(float64(d)/float64(latencyFloor))*4)+1, latencyBuckets-1)
	}
	l.counts[i]++
	l.total++
	l.added++
	if l.total < latencyMemory {
		return
	}
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

// quantile returns the upper end of the bucket that holds the quantile q. The result is computed again only after
// latencyRefresh further samples, so q must be the same in all calls.
func (l *latencies) quantile(q float64) (time.Duration, bool) {
	if l.added < latencyMinimum {
		return 0, false
	}
	if l.cachedAt != 0 && l.added-l.cachedAt < latencyRefresh {
		return l.cached, true
	}
	rank, sum := q*l.total, 0.0
	i := 0
	for ; i < latencyBuckets-1; i++ {
		sum += l.counts[i]
		if sum >= rank {
			break
		}
	}
	l.cached = time.Duration(float64(latencyFloor) * math.Exp2(float64(i)/4))
	l.cachedAt = l.added
	return l.cached, true
}
