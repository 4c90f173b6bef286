// Package outcome defines the possible outcomes of an attempt, which is one dispatch of a call to a target.
//
// An Outcome is determined where the request is sent, and handled by type switch everywhere else. The set of outcomes
// is sealed: only this package can add to it.
//
// # Usage
//
//	switch o := pool.Send(ctx, call).(type) {
//	case *outcome.Answered:
//		defer o.Body.Close()
//	case *outcome.NotRun:
//		// Any call may be retried.
//	case *outcome.Unknown:
//		// Only an idempotent call may be retried.
//	}
package outcome

import (
	"io"
	"net/http"
	"time"
)

// Outcome is one of *Answered, *NotRun and *Unknown.
type Outcome interface{ isOutcome() }

// Answered means that the headers of the target's response to this call have arrived. Reading Body may still fail; the
// consumer must close it.
type Answered struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body in bytes, or -1 if the body is chunked.
	Length int64
	Report Report
}

// NotRun means that the target certainly did not run the call.
type NotRun struct {
	Reason Reason
	// RetryAfter is the time after which a retry makes sense; zero if unknown.
	RetryAfter time.Duration
	// Report is the report that came with the refusal of the target; zero if there was none.
	Report Report
}

// Unknown means that the target may have run the call.
type Unknown struct {
	Reason Reason
}

func (*Answered) isOutcome() {}
func (*NotRun) isOutcome()   {}
func (*Unknown) isOutcome()  {}
