package target

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrTruncated is the error of reading an answer's body that ends before its announced end, whatever the cause: a
// connection that broke, a malformed chunk, the deadline or a cancellation. The cause is wrapped as well.
var ErrTruncated = errors.New("answer is truncated")

var errBodyClosed = errors.New("read of a closed answer")

// body is the body of an answer. It owns its connection until it was read to its end or closed. Close may be called
// while Read is in progress.
type body struct {
	pool  *Pool
	conn  *conn
	src   io.Reader
	stop  func() bool // ends the watch on the context; false if the context ended before
	cause func() error
	close bool // the target closes the connection after this answer
	ended atomic.Bool
	err   error
}

// Read returns io.EOF only at the announced end of the body.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.ended.Load() {
		return 0, errBodyClosed
	}
	n, err := b.src.Read(p)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		b.err = io.EOF
		b.finish(!b.close)
	default:
		if cause := b.cause(); cause != nil {
			err = cause
		}
		b.err = fmt.Errorf("read answer of target %s: %w: %w", b.pool.opts.Name, ErrTruncated, err)
		b.finish(false)
	}
	return n, b.err
}

// Close closes the connection unless the body was read to its end.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(reusable bool) {
	if !b.ended.CompareAndSwap(false, true) {
		return
	}
	b.pool.finish(b.conn, b.stop, reusable)
}
