// Package caller serves the connections of callers, and of all others that connect to the process.
//
// A Server reads ahead: while a request is being handled it reads the next one on the same connection and handles it at
// the same time, and writes the responses in the order of the requests. The server of net/http reads a request only after
// the response before it, so a caller that sends several at once waits for the sum of their times. Because a connection is
// always being read, a caller that goes away is noticed at once, whatever its requests wait for.
//
// A connection is closed only between responses: Shutdown stops reading, answers what was read, and says so in the last
// response.
//
// What connections hold is bounded by a memory.Budget, whatever their clients send, hold back or leave unread. Servers that share
// Connections share a limit: a new connection takes the place of one that waits for its client.
//
// # Usage
//
//	s := caller.NewServer(caller.Options{
//		Handler: handler,
//		Limits:  func() caller.Limits { return limits },
//		Timers:  timers,
//	})
//	go s.Serve(listener)
//	s.Shutdown(ctx)
package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/link"
	"skylarkbeam/memory"
	"skylarkbeam/timer"
)

// ErrClosed is returned by Serve after Shutdown or Close.
var ErrClosed = errors.New("server closed")

// Limits bound what callers may send and for how long they may be idle.
type Limits struct {
	// MaxHeaderBytes is the largest head of a request in bytes.
	MaxHeaderBytes int
	// ReadHeaderTimeout is how long a caller may take for the head of a request.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
}

// Options are the parts of a Server.
type Options struct {
	Handler http.Handler
	// Connections are those that the server shares a limit with. By default it has a limit of its own, that of Memory.
	Connections *Connections
	// Share is the part of the limit that belongs to the server; 1 by default. It may use more while others use less.
	Share float64
	// Interruptible reports whether a request may be cut to make room for a connection; nil if none may.
	Interruptible func(*http.Request) bool
	// Limits returns the limits that hold at present.
	Limits func() Limits
	// MaxConcurrentRequests is the number of requests of a connection that are handled at the same time; 16 by default.
	MaxConcurrentRequests int
	// Pacer paces large bodies of responses; nil if they need no pacing.
	Pacer  *link.Pacer
	Timers *timer.Service
	// Memory bounds what connections hold; nil if nothing does. It must be that of Connections.
	Memory *memory.Budget
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	opts Options

	// mu is that of the connections that share a limit.
	mu        *sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	// evicted is the number of those of conns that are being closed for room.
	evicted int
	closing bool
	// closed says that the listeners are closed, also one that comes later.
	closed bool
	empty  chan struct{} // closed once closing and without connections; nil before Shutdown
}

// NewServer returns a Server that does not listen yet.
func NewServer(o Options) *Server {
	if o.MaxConcurrentRequests <= 0 {
		o.MaxConcurrentRequests = 16
	}
	if o.Connections == nil {
		o.Connections = NewConnections(o.Memory)
	}
	if o.Share <= 0 {
		o.Share = 1
	}
	s := &Server{
		opts:      o,
		mu:        &o.Connections.mu,
		listeners: map[net.Listener]struct{}{},
		conns:     map[*conn]struct{}{},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o.Connections.servers = append(o.Connections.servers, s)
	return s
}

const (
	// minAcceptPause and maxAcceptPause bound the pause after a failed accept, as when descriptors run out.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Serve accepts connections until the listener is closed. It returns ErrClosed after Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners[l] = struct{}{}
	closed := s.closed
	s.mu.Unlock()
	if closed {
		// Serve was started beside Close and came second.
		l.Close()
	}
	pause := time.Duration(0)
	for {
		nc, err := l.Accept()
		if err == nil {
			pause = 0
			s.start(nc)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return ErrClosed
		}
		pause = min(max(2*pause, minAcceptPause), maxAcceptPause)
		time.Sleep(pause)
	}
}

func (s *Server) start(nc net.Conn) {
	if !s.opts.Connections.room(s) {
		nc.Close()
		return
	}
	c := newConn(s, nc)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	c.finishing = s.closing
	s.mu.Unlock()
	go c.serve()
}

func (s *Server) ended(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.evicted {
		s.evicted--
	}
	select {
	case s.opts.Connections.ended <- struct{}{}:
	default:
	}
	if s.empty != nil && len(s.conns) == 0 {
		close(s.empty)
		s.empty = nil
	}
}

// Drain closes connections that are idle and lets all others end with the response to the last request that was read.
// New connections are still accepted, for one request each.
func (s *Server) Drain() {
	s.mu.Lock()
	s.closing = true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.finish()
	}
}

// Shutdown stops accepting connections and returns when all have ended, or with the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.closeListeners()
	s.mu.Lock()
	empty := make(chan struct{})
	if len(s.conns) == 0 {
		close(empty)
	} else {
		s.empty = empty
	}
	s.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listeners and all connections at once.
func (s *Server) Close() {
	s.closeListeners()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for c := range s.conns {
		c.abort()
	}
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for l := range s.listeners {
		l.Close()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
