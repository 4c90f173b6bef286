package store

import "github.com/cockroachdb/errors"

// ErrorKind classifies errors by the effect that the failed request may have had.
type ErrorKind int

// The kinds of errors.
const (
	// Ambiguous means that the request may or may not have taken effect. Errors without a kind count as Ambiguous.
	Ambiguous ErrorKind = iota
	// Unavailable means that the platform was not reached, so the request had no effect.
	Unavailable
	// Throttled means that the platform rejected the request because of a rate limit; it had no effect.
	Throttled
	// NotFound means that the object does not exist.
	NotFound
	// Invalid means that the platform rejected the request as malformed; it had no effect.
	Invalid
)

// Error is an error of a known kind.
type Error struct {
	Kind ErrorKind
	Err  error
}

func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error, or Ambiguous if it has none.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Ambiguous
}

func newError(kind ErrorKind, err error) *Error {
	return &Error{
		Kind: kind,
		Err:  err,
	}
}
