package entry

import (
	"net/http"
	"time"

	"skylarkbeam/outcome"
)

// retryLater is what a refused caller is told if nothing better is known.
const retryLater = time.Second

func notRun(reason outcome.Reason, after time.Duration, text string) *Refusal {
	status := http.StatusServiceUnavailable
	switch reason {
	case outcome.ShareExceeded:
		status = http.StatusTooManyRequests
	case outcome.KeyMissing, outcome.UnknownCaller, outcome.Invalid:
		status = http.StatusBadRequest
	case outcome.UnknownService:
		status = http.StatusNotFound
	case outcome.Conflict:
		status = http.StatusUnprocessableEntity
	}
	return &Refusal{
		Status:     status,
		Outcome:    outcomeNotRun,
		Reason:     reason,
		RetryAfter: after,
		Message:    text,
	}
}

func orLater(d time.Duration) time.Duration {
	if d <= 0 {
		return retryLater
	}
	return d
}

// unfinished is the final answer to a call whose outcome is unknown.
func unfinished(c *call, reason outcome.Reason) *Refusal {
	no := &Refusal{
		Status:  http.StatusBadGateway,
		Outcome: outcomeFailed,
		Reason:  reason,
		Message: "no whole answer from a target",
	}
	if reason == outcome.TimedOut || reason == outcome.Deadline {
		no.Status = http.StatusGatewayTimeout
	}
	if !c.idempotent {
		no.Outcome = outcomeUnknown
		no.Message = "the call may have run"
	}
	return no
}
