package route

import (
	"time"

	"skylarkbeam/outcome"
)

// minLimitEventInterval is the minimum time between two events of a target that changes its limit with each response.
const minLimitEventInterval = time.Second

// rateLimit is the limit that a target has named: the rate of calls that it takes from all entries together.
type rateLimit struct {
	// limited means that the target names a limit. limitRate is in calls per second.
	limited   bool
	limitRate float64
	// limitedSince is when the limit was first named, limitNamedAt when a response last named it.
	limitedSince time.Time
	limitNamedAt time.Time
	// limitReportedAt is when the limit was last reported with an event.
	limitReportedAt time.Time
}

// applyLimit applies what a response says of the rate of calls that the target takes.
func (t *target) applyLimit(now time.Time, r outcome.Report) Event {
	switch limit := r.Limit.(type) {
	case outcome.RateLimit:
		return t.nameLimit(now, float64(limit), r.LoadRead)
	case outcome.Unlimited:
		return t.endLimit(now, r)
	case outcome.InvalidLimit:
		return LimitInvalid{
			Target: t.Name,
			Text:   limit.Text,
		}
	}
	return nil
}

func (t *target) nameLimit(now time.Time, rate float64, loadRead bool) Event {
	if loadRead {
		t.service.loadReadsNameLimits = true
	}
	t.limitNamedAt = now
	begins, changed := !t.limited, t.limitRate != rate
	t.limited, t.limitRate = true, rate
	if begins {
		t.limitedSince = now
	} else if !changed || now.Sub(t.limitReportedAt) < minLimitEventInterval {
		return nil
	}
	t.limitReportedAt = now
	return LimitNamed{
		Target: t.Name,
		Rate:   rate,
	}
}

// endLimit ends the limit after a response that does not name it. The response to a request that was written before the
// limit was last named may be older, and targets may name it in responses to calls only.
func (t *target) endLimit(now time.Time, r outcome.Report) Event {
	if !t.limited || !r.RequestedAt.After(t.limitNamedAt) || r.LoadRead && !t.service.loadReadsNameLimits {
		return nil
	}
	t.limited = false
	return LimitEnded{
		Target:   t.Name,
		Duration: now.Sub(t.limitedSince),
	}
}
