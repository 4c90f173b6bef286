package share

import (
	"slices"
	"time"
)

const (
	// arrivalInterval is the length of the intervals in which arrivals are counted.
	arrivalInterval = 200 * time.Millisecond
	// arrivalIntervals is the number of intervals that are kept.
	arrivalIntervals = 10
)

// arrivalForecast forecasts the rate at which calls arrive. The forecast is the median over the last intervals, so that
// a burst of calls is not mistaken for a sustained load.
type arrivalForecast struct {
	counts [arrivalIntervals]float64
	// current is the number of the current interval since the Unix epoch. Its count is at index current modulo
	// arrivalIntervals.
	current int64
}

// record counts an arrival.
func (a *arrivalForecast) record(now time.Time) {
	a.advance(now)
	a.counts[a.current%arrivalIntervals]++
}

// rate returns the expected number of arrivals per second.
func (a *arrivalForecast) rate(now time.Time) float64 {
	a.advance(now)
	sorted := a.counts
	slices.Sort(sorted[:])
	return (sorted[arrivalIntervals/2-1] + sorted[arrivalIntervals/2]) / 2 / arrivalInterval.Seconds()
}

// advance clears the intervals that have begun since the last call.
func (a *arrivalForecast) advance(now time.Time) {
	interval := now.UnixNano() / int64(arrivalInterval)
	for next := max(a.current+1, interval-arrivalIntervals+1); next <= interval; next++ {
		a.counts[next%arrivalIntervals] = 0
	}
	a.current = max(a.current, interval)
}
