package claim

import (
	"net/http"
	"time"
)

// Decision is one of *Granted, *Done, *Busy, *Mismatch and *Unavailable. Only *Granted allows the call to be
// dispatched.
type Decision interface{ sealed() }

// Granted means that the claim is recorded and that no other call with the same key may be executed.
type Granted struct {
	Claim *Claim
}

// Done means that a call with the same key has already been answered. Its recorded response is the one to return.
type Done struct {
	Status int
	// Header has the Content-Type, if the response had one.
	Header http.Header
	Body   []byte
	// Omitted means that the body was larger than MaxBodyBytes. Only the status and the header were kept, and Body is
	// nil.
	Omitted bool
}

// Busy means that a call with the same key is in progress or ended with an unknown outcome.
type Busy struct {
	// Entry is the name of the entry that claimed the key.
	Entry string
}

// Mismatch means that the key was used with another request.
type Mismatch struct{}

// Unavailable means that no claim could be recorded for now. The call was not executed.
type Unavailable struct {
	// RetryAfter is the time to wait before a retry.
	RetryAfter time.Duration
}

func (*Granted) sealed()     {}
func (*Done) sealed()        {}
func (*Busy) sealed()        {}
func (*Mismatch) sealed()    {}
func (*Unavailable) sealed() {}
