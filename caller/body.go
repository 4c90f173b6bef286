package caller

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// body is the body of a request. Bytes behind it are read as the next request only if the body was read to its end.
// Otherwise nothing tells where it ends, and the connection is closed after the response (RFC 9112, 9.3 and 9.6).
//
// Its methods are called by the handler, one at a time.
type body struct {
	src io.ReadCloser
	// length is the length of the body, -1 if it is not known, and read what of it was read.
	length int64
	read   int64
	// expected says that the caller was not told yet to send the body, and may or may not send it.
	expected bool
	response *response
	once     sync.Once
	// done is closed when the body was read to its end or given up. whole, which is set before, says which.
	done  chan struct{}
	whole bool
}

func newBody(req *http.Request, r *response) *body {
	b := &body{
		src:    req.Body,
		length: req.ContentLength,
		// A caller of HTTP/1.0 does not wait (RFC 9110, 10.1.1).
		expected: strings.EqualFold(req.Header.Get("Expect"), "100-continue") && req.ProtoAtLeast(1, 1),
		response: r,
		done:     make(chan struct{}),
	}
	if req.Body == nil || req.Body == http.NoBody {
		b.src = http.NoBody
		b.end(true)
	}
	return b
}

func (b *body) end(whole bool) {
	b.once.Do(func() {
		b.whole = whole
		close(b.done)
	})
}

// ended reports whether the body was read to its end or given up.
func (b *body) ended() bool {
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.ended() && !b.whole {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.expected {
		b.expected = false
		b.response.proceed()
	}
	n, err := b.src.Read(p)
	b.read += int64(n)
	if err != nil {
		b.end(err == io.EOF)
	}
	return n, err
}

// endsConnection reports whether the connection must end with the response, whose head is about to be written. It gives up
// a body that the caller was not asked for: after the head it is too late to ask.
func (b *body) endsConnection() bool {
	if b.expected && !b.ended() {
		b.end(false)
	}
	if b.ended() {
		return !b.whole
	}
	return b.length-b.read > maxDiscardBytes
}

// Close reads the rest of the body, within bounds, so that the next request can be read.
func (b *body) Close() error {
	if b.ended() {
		return nil
	}
	whole := false
	if !b.expected && b.length-b.read <= maxDiscardBytes {
		_ = b.response.SetReadDeadline(time.Now().Add(discardTime))
		// One byte more, because the copy sees the end of the body only when it reads beyond it.
		_, err := io.CopyN(io.Discard, b.src, maxDiscardBytes+1)
		whole = err == io.EOF
	}
	b.end(whole)
	return nil
}
