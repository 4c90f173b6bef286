package store

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// trackedConn records whether bytes of a request may have been written. http.Transport can report that a request has
// failed before its write starts; an aborted connection writes nothing more, which rules out a write after that report.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	written bool
	aborted bool
}

// startRequest resets the record for a new request.
func (c *trackedConn) startRequest() {
	c.mu.Lock()
	c.written = false
	c.mu.Unlock()
}

// abort closes the connection and reports whether bytes may have been written since startRequest.
func (c *trackedConn) abort() bool {
	c.mu.Lock()
	c.aborted = true
	written := c.written
	c.mu.Unlock()
	_ = c.Close() // The connection has failed already.
	return written
}

// Write marks the request as written while it is in progress, because its result is not known yet. It removes the mark
// if it fails without having written a byte.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.aborted {
		c.mu.Unlock()
		return 0, errors.New("connection was aborted")
	}
	writtenBefore := c.written
	c.written = true
	c.mu.Unlock()
	n, err := c.Conn.Write(data)
	if n == 0 && err != nil {
		c.mu.Lock()
		c.written = writtenBefore
		c.mu.Unlock()
	}
	return n, err
}
