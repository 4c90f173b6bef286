// Package outcome defines what can become of one dispatch of a call to a target.
//
// An Outcome is settled in one place, where the bytes are sent, and handled by type switch everywhere else. The set of
// outcomes is sealed: only this package can add to it.
//
// # Usage
//
//	switch o := pool.Send(ctx, call).(type) {
//	case *outcome.Answered:
//		defer o.Body.Close()
//	case *outcome.NotRun:
//		// Any call may be sent again.
//	case *outcome.Unknown:
//		// Only an idempotent call may be sent again.
//	}
package outcome

import (
	"io"
	"net/http"
	"time"
)

// Outcome is one of *Answered, *NotRun and *Unknown.
type Outcome interface{ sealed() }

// Answered means that the head of the target's own answer to this call has arrived. Body may still fail while it is
// read; the consumer must close it.
type Answered struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body in bytes, or -1 if it is chunked.
	Length int64
	Report Report
}

// NotRun means that the target has certainly not run the call.
type NotRun struct {
	Reason Reason
	// RetryAfter is when coming back makes sense; zero if that is not known.
	RetryAfter time.Duration
	// Report is what the target said with its refusal, the zero Report if it said nothing.
	Report Report
}

// Unknown means that the target may have run the call.
type Unknown struct {
	Reason Reason
}

func (*Answered) sealed() {}
func (*NotRun) sealed()   {}
func (*Unknown) sealed()  {}
