package entry

import (
	"net/http"
	"time"

	"skylarkbeam/outcome"
)

// retryLater is what a refused caller is told if nothing better is known.
const retryLater = time.Second

// refusal says why a call gets no answer of a target. It is sent by the entry itself.
type refusal struct {
	status  int
	outcome string
	reason  outcome.Reason
	after   time.Duration
	text    string
}

func notRun(reason outcome.Reason, after time.Duration, text string) *refusal {
	status := http.StatusServiceUnavailable
	switch reason {
	case outcome.Share:
		status = http.StatusTooManyRequests
	case outcome.Key, outcome.Caller, outcome.Invalid:
		status = http.StatusBadRequest
	case outcome.Service:
		status = http.StatusNotFound
	case outcome.Conflict:
		status = http.StatusUnprocessableEntity
	}
	return &refusal{
		status:  status,
		outcome: outcomeNotRun,
		reason:  reason,
		after:   after,
		text:    text,
	}
}

func orLater(d time.Duration) time.Duration {
	if d <= 0 {
		return retryLater
	}
	return d
}

// unfinished is the final answer to a call whose outcome is unknown.
func unfinished(c *call, reason outcome.Reason) *refusal {
	no := &refusal{
		status:  http.StatusBadGateway,
		outcome: outcomeFailed,
		reason:  reason,
		text:    "no whole answer from a target",
	}
	if reason == outcome.Silent || reason == outcome.Deadline {
		no.status = http.StatusGatewayTimeout
	}
	if !c.idempotent {
		no.outcome = outcomeUnknown
		no.text = "the call may have run"
	}
	return no
}
