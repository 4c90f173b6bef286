package target

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrTruncated is returned by reads of a response body that ends before its declared end, whatever the cause: a broken
// connection, a malformed chunk, the deadline or a cancellation. The cause is wrapped as well.
var ErrTruncated = errors.New("response is truncated")

var errBodyClosed = errors.New("read on closed response body")

// responseBody is the body of a response. It owns its connection until the body has been read to its end or closed.
// Close may be called while Read is in progress.
type responseBody struct {
	pool       *Pool
	conn       *conn
	reader     io.Reader
	stopWatch  func() bool // stops watching the context; returns false if the context has ended
	contextErr func() error
	closeConn  bool // the target closes the connection after this response
	finished   atomic.Bool
	err        error
}

// Read returns io.EOF only at the declared end of the body.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.finished.Load() {
		return 0, errBodyClosed
	}
	n, err := b.reader.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		b.err = io.EOF
		b.finish(!b.closeConn)
	default:
		if cause := b.contextErr(); cause != nil {
			err = cause
		}
		b.err = fmt.Errorf("read response of target %s: %w: %w", b.pool.opts.Name, ErrTruncated, err)
		b.finish(false)
	}
	return n, b.err
}

// Close closes the connection unless the body has been read to its end.
func (b *responseBody) Close() error {
	b.finish(false)
	return nil
}

func (b *responseBody) finish(reusable bool) {
	if !b.finished.CompareAndSwap(false, true) {
		return
	}
	b.pool.finish(b.conn, b.stopWatch, reusable)
}
