package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Server accepts connections for a target.
type Server struct {
	Target *Target
	// Address is where the server listens.
	Address netip.AddrPort

	http *http.Server
	done chan struct{}
}

// Start listens at the address, whose port may be 0, and serves the target until Close.
func Start(t *Target, address netip.AddrPort) (*Server, error) {
	ln, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("start target %s: %w", t.name, err)
	}
	inner := &listener{
		target: t,
		inner:  ln,
		end:    make(chan struct{}),
	}
	t.mu.Lock()
	t.listener = inner
	t.mu.Unlock()
	s := &Server{
		Target:  t,
		Address: ln.Addr().(*net.TCPAddr).AddrPort(),
		http: &http.Server{
			Handler: t,
			ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
				return context.WithValue(ctx, connKey{}, nc)
			},
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(inner)
	}()
	return s, nil
}

// Close stops listening and closes all connections, as a kill of the process does.
func (s *Server) Close() error {
	err := s.http.Close()
	<-s.done
	s.Target.transport.CloseIdleConnections()
	s.Target.mu.Lock()
	conns := make([]*conn, 0, len(s.Target.conns))
	for c := range s.Target.conns {
		conns = append(conns, c)
	}
	s.Target.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	return err
}

// listener is a TCP listener that can be replaced by a new one at the same address, as when a process restarts.
type listener struct {
	target *Target
	end    chan struct{}

	mu     sync.Mutex
	inner  net.Listener
	closed bool
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.present().Addr() }

// Close implements net.Listener.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		close(l.end)
	}
	return l.inner.Close()
}

func (l *listener) present() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner
}

// stop closes the socket with the connections that wait to be accepted. They belong to the process that ends.
func (l *listener) stop() {
	_ = l.present().Close()
}

// resume listens at the same address again.
func (l *listener) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed {
		inner, err := net.Listen("tcp", l.inner.Addr().String())
		if err == nil {
			l.inner = inner
			return
		}
		// The system may need a moment to free the address.
		time.Sleep(time.Millisecond)
	}
}

// Accept wraps connections so that they can be made silent.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner := l.present()
		starts := l.target.startCount()
		nc, err := inner.Accept()
		if err != nil {
			select {
			case <-l.end:
				return nil, err
			case <-time.After(time.Millisecond):
				continue
			}
		}
		c := &conn{
			Conn:   nc,
			target: l.target,
		}
		if l.target.register(c, starts) {
			return c, nil
		}
		_ = nc.Close()
	}
}

func (t *Target) startCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.starts
}

// register adds a connection unless the process that accepted it has ended meanwhile.
func (t *Target) register(c *conn, starts int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.starts != starts {
		return false
	}
	t.conns[c] = struct{}{}
	return true
}

const (
	silentNone int32 = iota
	silentAnswers
	silentAll
)

// conn is a connection that can be made silent.
type conn struct {
	net.Conn
	target *Target
	silent atomic.Int32
	close  sync.Once
	dead   bool // the process that accepted the connection was killed; guarded by the target's lock
}

type connKey struct{}

// dead tells whether the request belongs to a former process start that did not keep its connections. Its handler must
// not do what the killed process would not have done. The caller holds the lock.
func (t *Target) dead(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.dead
}

// BlackholeConnections makes all connections that are open now silent for ever, while new ones work. Calls on them run without their
// answers being sent if run is set; otherwise nothing on them reaches the target.
func (t *Target) BlackholeConnections(run bool) {
	mode := silentAll
	if run {
		mode = silentAnswers
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.silent.Store(mode)
	}
}

// OpenConnections returns the number of open connections.
func (t *Target) OpenConnections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// Read drops what arrives while all is silent. It returns when the other side closes the connection, so that the
// stand-in does not keep it for ever.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || c.silent.Load() != silentAll {
			return n, err
		}
	}
}

// Write drops answers while the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() != silentNone {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.close.Do(func() {
		c.target.mu.Lock()
		delete(c.target.conns, c)
		c.target.mu.Unlock()
	})
	return c.Conn.Close()
}
