package target

import (
	"sync"
	"sync/atomic"
	"time"
)

// Sockets bounds the open connections of all pools that share it. When there are as many as it allows, a new connection takes the
// place of the one that has been idle for the longest time. It is safe for concurrent use.
type Sockets struct {
	most func() int
	// closed counts the idle connections that were closed for others, refused the ones that were not opened.
	closed, refused atomic.Uint64

	mu    sync.Mutex
	open  int
	pools map[*Pool]struct{}
}

// NewSockets returns Sockets that allow as many connections as most returns; 0 if there is no limit.
func NewSockets(most func() int) *Sockets {
	return &Sockets{
		most:  most,
		pools: map[*Pool]struct{}{},
	}
}

// Closed returns the number of idle connections that were closed for others.
func (s *Sockets) Closed() uint64 { return s.closed.Load() }

// Refused returns the number of connections that were not opened because all others were in use.
func (s *Sockets) Refused() uint64 { return s.refused.Load() }

// Open returns the number of open connections.
func (s *Sockets) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

func (s *Sockets) add(p *Pool) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools[p] = struct{}{}
}

func (s *Sockets) remove(p *Pool) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pools, p)
}

// take takes a socket. It returns false if there is none and no connection is idle.
func (s *Sockets) take() bool {
	if s == nil {
		return true
	}
	for {
		if s.tryTake() {
			return true
		}
		if !s.closeIdlest() {
			s.refused.Add(1)
			return false
		}
	}
}

func (s *Sockets) tryTake() bool {
	most := s.most()
	s.mu.Lock()
	defer s.mu.Unlock()
	if most > 0 && s.open >= most {
		return false
	}
	s.open++
	return true
}

func (s *Sockets) release(n int) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open -= n
}

// closeIdlest closes the connection that has been idle for the longest time. It returns false if none is idle.
func (s *Sockets) closeIdlest() bool {
	s.mu.Lock()
	pools := make([]*Pool, 0, len(s.pools))
	for p := range s.pools {
		pools = append(pools, p)
	}
	s.mu.Unlock()
	var idlest *Pool
	var since time.Time
	for _, p := range pools {
		if at, ok := p.idleSince(); ok && (idlest == nil || at.Before(since)) {
			idlest, since = p, at
		}
	}
	if idlest == nil {
		return false
	}
	idlest.closeOldestIdle()
	s.closed.Add(1)
	return true
}

// idleSince returns since when the connection has been idle that has been so for the longest time. It returns false if none is idle.
func (p *Pool) idleSince() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return time.Time{}, false
	}
	return p.idle[0].respondedAt, true
}
