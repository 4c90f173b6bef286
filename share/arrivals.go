package share

import (
	"slices"
	"time"
)

const (
	// arrivalSpan is the length of the spans in which arrivals are counted, arrivalSpans the number that is remembered.
	arrivalSpan  = 200 * time.Millisecond
	arrivalSpans = 10
)

// arrivals forecasts the rate at which calls arrive. The forecast is the median of the last spans, so that a herd of calls at
// one moment is not taken for a load that goes on.
type arrivals struct {
	counts [arrivalSpans]float64
	// current is the number of the present span since the zero time, counted at its index modulo arrivalSpans.
	current int64
}

// note counts an arrival.
func (a *arrivals) note(now time.Time) {
	a.advance(now)
	a.counts[a.current%arrivalSpans]++
}

// rate returns the calls a second that are expected to arrive.
func (a *arrivals) rate(now time.Time) float64 {
	a.advance(now)
	sorted := a.counts
	slices.Sort(sorted[:])
	return (sorted[arrivalSpans/2-1] + sorted[arrivalSpans/2]) / 2 / arrivalSpan.Seconds()
}

// advance empties the spans that have begun since the last call.
func (a *arrivals) advance(now time.Time) {
	span := now.UnixNano() / int64(arrivalSpan)
	for next := max(a.current+1, span-arrivalSpans+1); next <= span; next++ {
		a.counts[next%arrivalSpans] = 0
	}
	a.current = max(a.current, span)
}
