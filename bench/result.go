package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"skylarkbeam/outcome"
)

// Result is what one run measured.
type Result struct {
	config  Config
	latency *hdrhistogram.Histogram // microseconds, as the caller sees it
	callers []callerResult

	refusals map[outcome.Reason]int
	late     int // given up at the deadline
	failed   int // given up without an answer
	first    int
	repeats  int
	hedges   int
	probes   int
	calls    []int // taken by each target

	violations int             // calls that brought a cold target over what it bears
	warm       []time.Duration // from the fall of a target to the end of its cold start
	unwarmed   int
}

type callerResult struct {
	offered int
	good    int
	latency *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func newResult(c Config) *Result {
	r := &Result{
		config:   c,
		latency:  newHistogram(),
		refusals: map[outcome.Reason]int{},
	}
	for range Callers {
		r.callers = append(r.callers, callerResult{
			latency: newHistogram(),
		})
	}
	return r
}

// Percentile returns the latency of the answered calls at q percent.
func (r *Result) Percentile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}

// SuccessRatio returns the part of the caller's calls that were answered within the deadline.
func (r *Result) SuccessRatio(caller int) float64 {
	return float64(r.callers[caller].good) / float64(max(r.callers[caller].offered, 1))
}

// Goodput returns the caller's good calls in a second.
func (r *Result) Goodput(caller int) float64 {
	return float64(r.callers[caller].good) / r.config.Duration.Seconds()
}

// RetryRatio returns the repeats and hedges as a part of the first attempts.
func (r *Result) RetryRatio() float64 {
	return float64(r.repeats+r.hedges) / float64(max(r.first, 1))
}

// ProbeRate returns the probes for each target in a second, over all entries.
func (r *Result) ProbeRate() float64 {
	return float64(r.probes) / float64(len(r.calls)) / (WarmupDuration + r.config.Duration).Seconds()
}

// RefusalSummary returns the refusals by reason, and the calls given up, as parts of all calls.
func (r *Result) RefusalSummary() string {
	total := 0
	for _, c := range r.callers {
		total += c.offered
	}
	var parts []string
	add := func(name string, n int) {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s %.2f%%", name, 100*float64(n)/float64(total)))
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(r.refusals)) {
		add(string(reason), r.refusals[reason])
	}
	add("late", r.late)
	add("failed", r.failed)
	return strings.Join(parts, ", ")
}
