package route

import (
	"math"
	"time"
)

const (
	// latencyBuckets is the number of buckets. With four buckets per doubling from 64 µs, they cover latencies up to 4
	// s with an error below 19%.
	latencyBuckets = 64
	// minLatencyBucket is the upper bound of the first bucket.
	minLatencyBucket = 64 * time.Microsecond
	// latencyDecaySamples is the number of samples after which all counts are halved, so that old samples lose weight.
	latencyDecaySamples = 2000
	// minLatencySamples is the number of samples below which no quantile is returned.
	minLatencySamples = 50
	// quantileRefreshSamples is the number of samples after which the cached quantile is recomputed.
	quantileRefreshSamples = 16
)

// latencyHistogram is a histogram of the recent latencies of a service.
type latencyHistogram struct {
	counts [latencyBuckets]float64
	total  float64
	added  int

	cached   time.Duration
	cachedAt int
}

func (h *latencyHistogram) add(d time.Duration) {
	i := 0
	if d > minLatencyBucket {
		i = min(int(math.Log2(float64(d)/float64(minLatencyBucket))*4)+1, latencyBuckets-1)
	}
	h.counts[i]++
	h.total++
	h.added++
	if h.total < latencyDecaySamples {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// quantile returns the upper bound of the bucket that holds the quantile q. The result is cached for
// quantileRefreshSamples samples, so q must be the same in all calls.
func (h *latencyHistogram) quantile(q float64) (time.Duration, bool) {
	if h.added < minLatencySamples {
		return 0, false
	}
	if h.cachedAt != 0 && h.added-h.cachedAt < quantileRefreshSamples {
		return h.cached, true
	}
	rank, sum := q*h.total, 0.0
	i := 0
	for ; i < latencyBuckets-1; i++ {
		sum += h.counts[i]
		if sum >= rank {
			break
		}
	}
	h.cached = time.Duration(float64(minLatencyBucket) * math.Exp2(float64(i)/4))
	h.cachedAt = h.added
	return h.cached, true
}
