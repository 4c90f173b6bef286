package standin

import (
	"net"
	"net/netip"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Direction is a direction of bytes on a connection.
type Direction int

// The two directions.
const (
	Requests Direction = iota
	Responses
)

// cut names the bytes that do not get through: those on connections from an entry, or from all if the sender is empty.
type cut struct {
	sender string
	way    Direction
}

// Forwarder passes TCP connections on and can harm them. While they are cut, in one direction or both, connections stay open
// and new ones are accepted, but no byte gets through.
type Forwarder struct {
	listener net.Listener

	mu       sync.Mutex
	upstream netip.AddrPort
	cuts     map[cut]bool
	// conns are the open connections; the value says that one has gone silent for good.
	conns   map[net.Conn]bool
	delay   time.Duration
	refuses bool
}

// StartForwarder starts a forwarder on a port of the loopback address.
func StartForwarder(upstream netip.AddrPort) (*Forwarder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "start a forwarder")
	}
	f := &Forwarder{
		listener: listener,
		upstream: upstream,
		cuts:     map[cut]bool{},
		conns:    map[net.Conn]bool{},
	}
	go f.accept()
	return f, nil
}

// Close ends the forwarder and its connections.
func (f *Forwarder) Close() {
	f.listener.Close()
	f.Heal()
}

// Address returns the address whose connections are passed on.
func (f *Forwarder) Address() netip.AddrPort {
	return netip.MustParseAddrPort(f.listener.Addr().String())
}

// SetUpstream changes where new connections lead.
func (f *Forwarder) SetUpstream(upstream netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstream = upstream
}

// Partition stops everything, or only connections from the entries named as senders.
func (f *Forwarder) Partition(senders ...string) {
	f.PartitionOneWay(Requests, senders...)
	f.PartitionOneWay(Responses, senders...)
}

// PartitionOneWay does the same in one direction.
func (f *Forwarder) PartitionOneWay(w Direction, senders ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(senders) == 0 {
		senders = []string{""}
	}
	for _, name := range senders {
		f.cuts[cut{
			sender: name,
			way:    w,
		}] = true
	}
}

// SetDelay holds back all bytes for a time.
func (f *Forwarder) SetDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// RefuseConnections resets the present connections and all new ones.
func (f *Forwarder) RefuseConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuses = true
	f.reset()
}

// ResetConnections resets the present connections.
func (f *Forwarder) ResetConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reset()
}

func (f *Forwarder) reset() {
	for c := range f.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Close then sends a reset; without it the connection ends in order.
		}
		c.Close()
	}
}

// BlackholeConnections makes the present connections silent for good, while new ones work.
func (f *Forwarder) BlackholeConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		f.conns[c] = true
	}
}

// Heal ends all harm. It closes the present connections, because bytes of them may be lost.
func (f *Forwarder) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cuts)
	f.delay, f.refuses = 0, false
	for c := range f.conns {
		c.Close()
	}
}

// passes tells whether bytes that have just been read get through, once their delay is over.
func (f *Forwarder) passes(from net.Conn, c cut) bool {
	f.mu.Lock()
	delay, silent := f.delay, f.conns[from]
	f.mu.Unlock()
	time.Sleep(delay)
	return !silent && !f.blocked(c)
}

// blocked tells whether bytes do not get through. On a connection that has not named its sender yet none do while any
// sender is cut: fetches of the state and relayed calls name none, and a cut entry opens new connections for them.
func (f *Forwarder) blocked(c cut) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for have := range f.cuts {
		if have.way == c.way && (have.sender == "" || c.sender == "" || have.sender == c.sender) {
			return true
		}
	}
	return false
}

func (f *Forwarder) track(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[c] = false
}

func (f *Forwarder) drop(c net.Conn) {
	c.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

func (f *Forwarder) accept() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(client)
	}
}

// sender finds the name of the entry that sends a message to a peer. A connection belongs to one process, but its first
// request may be one that does not name the sender.
var sender = regexp.MustCompile(`"entry":"([^"]+)"`)

func (f *Forwarder) serve(client net.Conn) {
	f.track(client)
	defer f.drop(client)
	f.mu.Lock()
	upstream := f.upstream
	if f.refuses {
		f.reset()
	}
	f.mu.Unlock()
	server, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(upstream))
	if err != nil {
		return
	}
	f.track(server)
	defer f.drop(server)
	var name atomic.Value
	name.Store("")
	go func() {
		defer f.drop(client)
		f.copy(client, server, Responses, func([]byte) string { return name.Load().(string) })
	}()
	f.copy(server, client, Requests, func(data []byte) string {
		if m := sender.FindSubmatch(data); m != nil {
			name.Store(string(m[1]))
		}
		return name.Load().(string)
	})
}

// copy passes on what arrives while the connection is not cut.
func (f *Forwarder) copy(to, from net.Conn, w Direction, name func(data []byte) string) {
	data := make([]byte, 32<<10)
	for {
		n, err := from.Read(data)
		if err != nil {
			return
		}
		c := cut{
			sender: name(data[:n]),
			way:    w,
		}
		if f.passes(from, c) {
			if _, err := to.Write(data[:n]); err != nil {
				return
			}
		}
	}
}
