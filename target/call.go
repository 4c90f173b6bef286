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
	// ID identifies the call to the target. If it is empty, each attempt gets its own ID.
	ID     string
	Method string
	// Path is the request target in origin form: the escaped path and the query, if any.
	Path string
	// Host is the Host header. If it is empty, the target's address is used.
	Host string
	// Header is the caller's header. Send does not modify it. Hop-by-hop fields are not sent, Idempotency-Key is sent
	// as Skylarkbeam-Key, and fields that the entry sets itself are replaced.
	Header http.Header
	// Body is the complete body. Send may send it more than once if Idempotent is set.
	Body []byte
	// Pieces is the complete body in pieces. It is sent instead of Body if there are any.
	Pieces [][]byte
	// Stream, if not nil, is sent instead of Body. A call with a stream is written at most once, whatever its outcome.
	// Part of the stream may have been read even if the outcome is NotRun.
	Stream io.Reader
	// StreamLength is the length of Stream in bytes. If it is unknown, StreamLength is -1 and the stream is sent in
	// chunks.
	StreamLength int64
	// Keyed reports whether requests of the deployment carry keys. The target then gets Workspace, the name of the
	// workspace that holds the key, and no key; Workspace is empty for a request without a key.
	Keyed     bool
	Workspace string
	// Idempotent reports whether the call may be executed more than once.
	Idempotent bool
	// Repeat reports whether the call descends from a hedge or a retry. The target is told so, and Send does not send
	// the call again once it may have been executed.
	Repeat bool
	// Instance is the expected instance of the target. If it is empty, any instance will do and is not checked, so the
	// sender must hold a permit for calls to a cold target.
	Instance string
	// Timeout is the time left for the call. The deadline of the context applies as well.
	Timeout time.Duration
	// BeforeWrite, if not nil, is called right before the first byte of each attempt is written. If it returns a
	// reason, the attempt ends as NotRun with that reason.
	BeforeWrite func(now time.Time) outcome.Reason
	// Reserve, if not nil, is called once for each attempt, after BeforeWrite and right before the first byte. If it
	// returns a reason, the attempt ends as NotRun with that reason.
	Reserve func(now time.Time) outcome.Reason

	// loadRead reports whether the call is a load read.
	loadRead bool
}

// valid reports whether the call can be written as an HTTP/1.1 request. CONNECT is rejected because it turns the
// connection into a tunnel, which has no response to classify.
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
