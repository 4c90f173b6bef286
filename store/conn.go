package store

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// sealableConn tells whether a request may have left the process. http.Transport can report the end of a request while
// its write is still to come; sealing settles that race, since a sealed connection writes nothing any more.
type sealableConn struct {
	net.Conn

	mu      sync.Mutex
	written bool
	sealed  bool
}

// begin starts the count for a new request.
func (c *sealableConn) begin() {
	c.mu.Lock()
	c.written = false
	c.mu.Unlock()
}

// seal closes the connection and tells whether bytes may have been written since begin.
func (c *sealableConn) seal() bool {
	c.mu.Lock()
	c.sealed = true
	written := c.written
	c.mu.Unlock()
	_ = c.Close() // The connection has failed already.
	return written
}

// Write counts as having written while it runs, since its end is not known yet.
func (c *sealableConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errors.New("the connection was given up")
	}
	before := c.written
	c.written = true
	c.mu.Unlock()
	n, err := c.Conn.Write(data)
	if n == 0 && err != nil {
		c.mu.Lock()
		c.written = before
		c.mu.Unlock()
	}
	return n, err
}
