package caller

import (
	"sync"
	"sync/atomic"
	"time"

	"skylarkbeam/memory"
)

const (
	// stallNotice is how long one write to a client lasts before the client counts as one that does not read.
	stallNotice = 250 * time.Millisecond
	// endingDivisor bounds the connections that were closed for room and have not ended yet, as 1/n of the limit, and endingWait the
	// time for which a new one waits for them.
	endingDivisor = 8
	endingWait    = 100 * time.Millisecond
)

// Connections are the open connections of all servers that share a limit. When there are as many as memory.Budget allows, a new one
// takes the place of another one, of the server that exceeds its share the most.
type Connections struct {
	memory *memory.Budget

	mu      sync.Mutex
	servers []*Server
	// ended has a value after a connection has ended.
	ended chan struct{}

	// closedFull counts the connections that were closed because there were too many.
	closedFull atomic.Uint64
}

// NewConnections returns Connections with the limits of a budget, which is nil if nothing is bounded.
func NewConnections(b *memory.Budget) *Connections {
	return &Connections{
		memory: b,
		ended:  make(chan struct{}, 1),
	}
}

// ClosedFull returns the number of connections that were closed because there were too many.
func (g *Connections) ClosedFull() uint64 { return g.closedFull.Load() }

// room makes room for a new connection of a server. It returns false if there is none.
func (g *Connections) room(s *Server) bool {
	limit := g.memory.MaxConnections()
	if limit == 0 {
		return true
	}
	if !g.awaitEnds(limit) {
		g.closedFull.Add(1)
		return false
	}
	for {
		g.mu.Lock()
		victim, ok := g.victim(s, limit)
		if victim != nil {
			victim.evict()
		}
		g.mu.Unlock()
		if victim == nil {
			if !ok {
				g.closedFull.Add(1)
			}
			return ok
		}
		g.closedFull.Add(1)
		victim.abort()
	}
}

// awaitEnds waits while many connections that were closed for room have not ended. It returns false if that takes too long.
func (g *Connections) awaitEnds(limit int) bool {
	most := max(limit/endingDivisor, 1)
	if g.ending() < most {
		return true
	}
	end := time.NewTimer(endingWait)
	defer end.Stop()
	for g.ending() >= most {
		select {
		case <-g.ended:
		case <-end.C:
			return false
		}
	}
	return true
}

// ending returns the number of connections that were closed for room and have not ended.
func (g *Connections) ending() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, s := range g.servers {
		n += s.evicted
	}
	return n
}

// victim returns a connection to close before there is room for a new one of a server. Without one, ok says whether there is room. The
// caller holds the lock.
func (g *Connections) victim(s *Server, limit int) (victim *conn, ok bool) {
	total, others := 0, 0.
	for _, other := range g.servers {
		total += other.staying()
		if other != s {
			others += other.opts.Share
		}
	}
	// Half of what belongs to the others stays free for them, because requests that may run cannot make room.
	if most := limit - int(float64(limit)*others/2); s.staying() >= max(most, 1) {
		return s.victim(), false
	}
	if total < limit {
		return nil, true
	}
	excess := s.use(limit)
	for _, other := range g.servers {
		if u := other.use(limit); u >= excess {
			if c := other.victim(); c != nil {
				victim, excess = c, u
			}
		}
	}
	return victim, false
}

// reclaim closes the connection whose client has not read its responses for the longest time. It returns false if all clients read.
func (g *Connections) reclaim() bool {
	var slowest *conn
	var since time.Time
	g.mu.Lock()
	for _, s := range g.servers {
		for c := range s.conns {
			if class, at := c.eviction(); class == stalled && (slowest == nil || at.Before(since)) {
				slowest, since = c, at
			}
		}
	}
	if slowest != nil {
		slowest.evict()
	}
	g.mu.Unlock()
	if slowest == nil {
		return false
	}
	g.closedFull.Add(1)
	slowest.abort()
	return true
}

// evict notes that the connection is being closed for room. The caller holds the lock of the connections.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	c.server.evicted++
}

// staying returns the number of connections that are not being closed for room. The caller holds the lock of the connections.
func (s *Server) staying() int { return len(s.conns) - s.evicted }

// use returns the number of connections in relation to what belongs to the server.
func (s *Server) use(limit int) float64 {
	return float64(s.staying()) / (s.opts.Share * float64(limit))
}

// evictionClass says how readily a connection makes room for another one.
type evictionClass int

// The classes, those that go first come first.
const (
	// A silent connection has not sent a whole head yet.
	silent evictionClass = iota
	idle
	// The body of the only request of a receiving connection is arriving. The request has not run.
	receiving
	// The client of a stalled connection does not read. None of its requests may run any more.
	stalled
	// All requests of an interruptible connection may be cut.
	interruptible
	// busy connections stay.
	busy
)

// victim returns the connection of the server that is to make room, nil if none is. The caller holds the lock of the connections.
func (s *Server) victim() *conn {
	var victim *conn
	class, since := busy, time.Time{}
	for c := range s.conns {
		k, at := c.eviction()
		if k < class || k == class && k != busy && at.Before(since) {
			victim, class, since = c, k, at
		}
	}
	return victim
}

// eviction returns the class of the connection and since when it has been in that.
func (c *conn) eviction() (evictionClass, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	interrupts := c.server.opts.Interruptible != nil
	switch {
	case c.evicted:
		return busy, time.Time{}
	case c.last == nil:
		return silent, c.idleSince
	case c.open == 0:
		return idle, c.idleSince
	case c.open == 1 && !c.receivingSince.IsZero() && interrupts && !c.answered:
		// Entries keep connections on which they were answered.
		return silent, c.idleSince
	case c.open == 1 && !c.receivingSince.IsZero():
		return receiving, c.receivingSince
	case c.running > 0:
		return busy, time.Time{}
	}
	if at := c.writingSince.Load(); at != 0 && time.Since(time.Unix(0, at)) >= stallNotice {
		return stalled, time.Unix(0, at)
	}
	if interrupts {
		return interruptible, c.idleSince
	}
	return busy, time.Time{}
}
