package claim

import (
	"net/http"
	"time"
)

// Decision is one of *Granted, *Done, *Busy, *Mismatch and *Unavailable. Only Granted allows the call to be dispatched.
type Decision interface{ sealed() }

// Granted means that the claim is recorded and that no other call with this key is allowed to run.
type Granted struct {
	Claim *Claim
}

// Done means that the call has been answered before. Its answer is the one to give.
type Done struct {
	Status int
	// Header has the Content-Type, if the answer had one.
	Header http.Header
	Body   []byte
	// Omitted means that the body was larger than MaxAnswer: only the status and the header were kept, and Body is nil.
	Omitted bool
}

// Busy means that a call with this key is being run, or that its outcome is unknown.
type Busy struct {
	// Entry is the name of the entry that claimed the key.
	Entry string
}

// Mismatch means that the key was used with another request.
type Mismatch struct{}

// Unavailable means that no claim could be recorded for now. The call was not run.
type Unavailable struct {
	// RetryAfter is when another attempt makes sense.
	RetryAfter time.Duration
}

func (*Granted) sealed()     {}
func (*Done) sealed()        {}
func (*Busy) sealed()        {}
func (*Mismatch) sealed()    {}
func (*Unavailable) sealed() {}
