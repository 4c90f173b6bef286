package store_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	"skylarkbeam/store"
	"skylarkbeam/store/contract"
	"skylarkbeam/timer"
)

func newHarness(memory *store.Memory, p store.Platform) contract.Harness {
	return contract.Harness{
		Platform:  p,
		SetFaults: memory.SetFaults,
		SetVMs:    memory.SetVMs,
	}
}

func TestMemoryContract(t *testing.T) {
	contract.Run(t, func(*testing.T) contract.Harness {
		memory := store.NewMemory(timer.New())
		return newHarness(memory, memory)
	})
}

func TestClientContract(t *testing.T) {
	contract.Run(t, func(t *testing.T) contract.Harness {
		memory := store.NewMemory(timer.New())
		listener := newPipeListener()
		server := &http.Server{
			Handler: store.NewHandler(memory),
		}
		go func() { _ = server.Serve(listener) }()
		client := store.NewClient(store.ClientOptions{
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
			Dial:    listener.dial,
		})
		t.Cleanup(func() {
			client.Close()
			_ = server.Close()
		})
		return newHarness(memory, client)
	})
}

// pipeListener accepts connections made with net.Pipe, because network connections do not work in a synctest bubble.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{
		conns:  make(chan net.Conn),
		closed: make(chan struct{}),
	}
}

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
