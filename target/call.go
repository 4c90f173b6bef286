package target

import (
	"io"
	"net/http"
	"strings"
	"time"

	"skylarkbeam/outcome"
)

// Call is one call to a target.
type Call struct {
	// ID identifies the call to the target. Empty means that each attempt gets an id of its own.
	ID     string
	Method string
	// Path is the request target in origin form: the escaped path, with the query if there is one.
	Path string
	// Host is the Host header; the target's address if it is empty.
	Host string
	// Header is the caller's header. Hop-by-hop fields are not sent, Idempotency-Key is sent as Skylarkbeam-Key, and
	// fields that the entry itself sets are replaced. It is not changed.
	Header http.Header
	// Body is the whole body. Send may send it more than once if Idempotent is set.
	Body []byte
	// Stream is read in place of Body if it is not nil. A call with a stream is written at most once, whatever its
	// outcome; part of the stream may have been read even if the outcome is NotRun.
	Stream io.Reader
	// StreamLength is the length of Stream in bytes, or -1 if it is not known, in which case it is sent in chunks.
	StreamLength int64
	// Idempotent says that the call may run more than once.
	Idempotent bool
	// Repeat says that the call descends from a hedge or a repeat. The target is told so, and Send does not write the call
	// again once it may have run.
	Repeat bool
	// Instance is the expected instance of the target. Empty means any: the call is not checked, so the sender must
	// hold a permit for a call to a cold target.
	Instance string
	// Timeout is the time that the call has left. The deadline of the context applies as well.
	Timeout time.Duration
	// BeforeWrite is asked right before the first byte of each attempt is written. If it returns a reason, the attempt ends as
	// NotRun with it. Nil allows all.
	BeforeWrite func(now time.Time) outcome.Reason

	// load says that this is a load read.
	load bool
}

// valid tells whether the call can be written as an HTTP/1.1 request. CONNECT turns a connection into a tunnel, which
// has no answer to classify.
func (c *Call) valid() bool {
	if c.Method == "" || c.Method == http.MethodConnect || !strings.HasPrefix(c.Path, "/") {
		return false
	}
	for i := 0; i < len(c.Method); i++ {
		if b := c.Method[i]; b <= ' ' || b >= 0x7f || strings.IndexByte(`()<>@,;:\"/[]?={}`, b) >= 0 {
			return false
		}
	}
	for i := 0; i < len(c.Path); i++ {
		if b := c.Path[i]; b <= ' ' || b == 0x7f {
			return false
		}
	}
	return true
}
