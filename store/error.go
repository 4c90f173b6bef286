package store

import "github.com/cockroachdb/errors"

// ErrorKind tells what a failed request can have done.
type ErrorKind int

// The kinds of failure.
const (
	// Ambiguous means that the request may have taken effect. Errors without a kind count as Ambiguous.
	Ambiguous ErrorKind = iota
	// Unavailable means that the platform was not reached and that the request certainly had no effect.
	Unavailable
	// Throttled means that the platform refused the request, which certainly had no effect.
	Throttled
	// NotFound means that the object does not exist.
	NotFound
	// Invalid means that the platform rejected the request as malformed; it had no effect.
	Invalid
)

// Error is a failure with its kind.
type Error struct {
	Kind ErrorKind
	Err  error
}

func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error, Lost if it has none.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Ambiguous
}
