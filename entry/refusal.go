package entry

import (
	"net/http"
	"time"

	"skylarkbeam/outcome"
)

// defaultRetryAfter is the retry delay sent to refused callers if no better estimate is known.
const defaultRetryAfter = time.Second

// leavingRetryAfter is the retry delay sent by an entry that is shutting down. The other entries can take the call at once.
const leavingRetryAfter = time.Millisecond

func notRunRefusal(reason outcome.Reason, retryAfter time.Duration, message string) *Refusal {
	status := http.StatusServiceUnavailable
	switch reason {
	case outcome.ShareExceeded, outcome.Allowance:
		status = http.StatusTooManyRequests
	case outcome.KeyMissing, outcome.UnknownCaller, outcome.Invalid:
		status = http.StatusBadRequest
	case outcome.Unauthorized:
		status = http.StatusUnauthorized
	case outcome.UnknownService:
		status = http.StatusNotFound
	case outcome.Conflict:
		status = http.StatusUnprocessableEntity
	}
	return &Refusal{
		Status:     status,
		Outcome:    outcomeNotRun,
		Reason:     reason,
		RetryAfter: retryAfter,
		Message:    message,
	}
}

// leavingRefusal returns the refusal for a call that arrives, or still waits, when a shutdown has ended the dispatch.
func leavingRefusal() *Refusal {
	return notRunRefusal(outcome.Leaving, leavingRetryAfter, "this entry is shutting down")
}

func orDefaultRetryAfter(d time.Duration) time.Duration {
	if d <= 0 {
		return defaultRetryAfter
	}
	return d
}

// unknownOutcomeRefusal returns the refusal for a call whose outcome is unknown.
func unknownOutcomeRefusal(c *call, reason outcome.Reason) *Refusal {
	refusal := &Refusal{
		Status:  http.StatusBadGateway,
		Outcome: outcomeFailed,
		Reason:  reason,
		Message: "no whole answer from a target",
	}
	if reason == outcome.TimedOut || reason == outcome.Deadline {
		refusal.Status = http.StatusGatewayTimeout
	}
	if !c.idempotent {
		refusal.Outcome = outcomeUnknown
		refusal.Message = "the call may have run"
	}
	return refusal
}
