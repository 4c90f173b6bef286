package outcome

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Phase is what a target reports about its own readiness. It can be stale or wrong.
type Phase string

// Phases reported by targets.
const (
	PhaseUnknown  Phase = ""
	PhaseCold     Phase = "cold"
	PhaseWarm     Phase = "warm"
	PhaseDraining Phase = "draining"
)

// Report is the information about a target that a response or a load read carries.
type Report struct {
	// Instance identifies one process start of the target.
	Instance string
	Phase    Phase
	// Active is the number of calls that are running.
	Active int
	// Slots is the number of calls that the target runs at once.
	Slots int
	// Queued is the number of calls that wait at the target.
	Queued int
	// Slowdown is the current duration of calls at the target, relative to the usual one; 0 if not reported.
	Slowdown float64
	// ColdRemaining is the time until the cold start of the target ends; 0 if it is warm or does not report it.
	ColdRemaining time.Duration
	// Limit is what the response says of the rate of calls that the target takes; nil if it says nothing.
	Limit Limit
	// Leaving means that the response says that the target is leaving, which it does not take back.
	Leaving bool
	// Pause is the time for which the target wants nothing from this entry; 0 if the response names none.
	Pause time.Duration
	// InvalidPause is a pause that cannot be read, and has no effect.
	InvalidPause string
	// RequestedAt is when the request was written. The target was in the reported state at that time or later.
	RequestedAt time.Time
	// LoadRead means that the report comes from a load read or a connection check.
	LoadRead bool
}

// Limit is one of RateLimit, Unlimited and InvalidLimit.
type Limit interface{ isLimit() }

// RateLimit is the rate of calls that the target takes from all entries together, in calls per second, until a later
// response is Unlimited.
type RateLimit float64

// Unlimited means that the response names no limit, although those of a target with a limit do.
type Unlimited struct{}

// InvalidLimit is a limit that cannot be read, and has no effect.
type InvalidLimit struct {
	Text string
}

func (RateLimit) isLimit()    {}
func (Unlimited) isLimit()    {}
func (InvalidLimit) isLimit() {}

// maxInvalidText is the number of bytes of an invalid value that are kept for the log.
const maxInvalidText = 40

// ParseLimit returns the limit that the values of a header field name. If there are several valid ones, the lowest
// counts.
func ParseLimit(values []string) Limit {
	if len(values) == 0 {
		return Unlimited{}
	}
	lowest := math.Inf(1)
	for _, value := range values {
		rate, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err == nil && rate >= 0 {
			lowest = min(lowest, rate)
		}
	}
	if math.IsInf(lowest, 1) {
		return InvalidLimit{
			Text: abbreviate(values[0]),
		}
	}
	return RateLimit(lowest)
}

// maxPause bounds a pause. A target that names a longer one is asked again after it.
const maxPause = time.Hour

// ParsePause returns the pause that the values of a header field name in seconds, or the text that names none. If there
// are several valid ones, the longest counts.
func ParsePause(values []string) (pause time.Duration, invalid string) {
	for _, value := range values {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || math.IsNaN(seconds) || seconds < 0 {
			invalid = abbreviate(value)
			continue
		}
		pause = max(pause, time.Duration(min(seconds, maxPause.Seconds())*float64(time.Second)))
	}
	return pause, invalid
}

func abbreviate(text string) string { return text[:min(len(text), maxInvalidText)] }
