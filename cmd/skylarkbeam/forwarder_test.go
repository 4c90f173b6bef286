package main

import (
	"net"
	"regexp"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// way is a direction of bytes on a connection.
type way int

const (
	requests way = iota
	answers
)

// cut names the bytes that do not get through: those on connections from an entry, or from all if the sender is empty.
type cut struct {
	sender string
	way    way
}

// forwarder passes TCP connections on and can cut them, in one direction or both: then connections stay open and new ones
// are accepted, but no byte gets through.
type forwarder struct {
	address  string
	listener net.Listener

	mu       sync.Mutex
	upstream string
	cuts     map[cut]bool
	conns    map[net.Conn]bool
}

func startForwarder(t testing.TB, upstream string) *forwarder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &forwarder{
		address:  listener.Addr().String(),
		listener: listener,
		upstream: upstream,
		cuts:     map[cut]bool{},
		conns:    map[net.Conn]bool{},
	}
	go f.accept()
	t.Cleanup(func() {
		listener.Close()
		f.heal()
	})
	return f
}

func (f *forwarder) forwardTo(upstream string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstream = upstream
}

// cut stops everything, or only connections from the entries named as senders.
func (f *forwarder) cut(senders ...string) {
	f.cutOneWay(requests, senders...)
	f.cutOneWay(answers, senders...)
}

// cutOneWay does the same in one direction.
func (f *forwarder) cutOneWay(w way, senders ...string) {
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

// heal ends all cuts. It closes the present connections, because bytes of them may be lost.
func (f *forwarder) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cuts)
	for c := range f.conns {
		c.Close()
	}
}

// blocked tells whether bytes do not get through. On a connection that has not named its sender yet none do while any
// sender is cut: fetches of the state and relayed calls name none, and a cut entry opens new connections for them.
func (f *forwarder) blocked(c cut) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for have := range f.cuts {
		if have.way == c.way && (have.sender == "" || c.sender == "" || have.sender == c.sender) {
			return true
		}
	}
	return false
}

func (f *forwarder) track(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[c] = true
}

func (f *forwarder) drop(c net.Conn) {
	c.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

func (f *forwarder) accept() {
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

func (f *forwarder) serve(client net.Conn) {
	f.track(client)
	defer f.drop(client)
	f.mu.Lock()
	upstream := f.upstream
	f.mu.Unlock()
	server, err := net.Dial("tcp", upstream)
	if err != nil {
		return
	}
	f.track(server)
	defer f.drop(server)
	var name atomic.Value
	name.Store("")
	go func() {
		defer f.drop(client)
		f.copy(client, server, answers, func([]byte) string { return name.Load().(string) })
	}()
	f.copy(server, client, requests, func(data []byte) string {
		if m := sender.FindSubmatch(data); m != nil {
			name.Store(string(m[1]))
		}
		return name.Load().(string)
	})
}

// copy passes on what arrives while the connection is not cut.
func (f *forwarder) copy(to, from net.Conn, w way, name func(data []byte) string) {
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
		if !f.blocked(c) {
			if _, err := to.Write(data[:n]); err != nil {
				return
			}
		}
	}
}
