package target

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// connectionProtocol is the native protocol with bodies that end with their connections.
type connectionProtocol struct{ NativeProtocol }

// Capabilities implements Protocol.
func (connectionProtocol) Capabilities() Capabilities {
	return Capabilities{
		CloseDelimitedBodies: true,
	}
}

// startRawTarget starts a target that reads the head of one request on each connection, responds to it, and closes the connection.
// It returns a pool of connections to the target.
func startRawTarget(t *testing.T, respond func(nc *net.TCPConn, id string)) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan struct{})
	t.Cleanup(func() {
		_ = l.Close()
		<-served
	})
	go func() {
		defer close(served)
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
				respond(nc.(*net.TCPConn), req.Header.Get(HeaderRequest))
			}
			_ = nc.Close()
		}
	}()
	p := New(Options{
		Address:  netip.MustParseAddrPort(l.Addr().String()),
		Protocol: connectionProtocol{},
	})
	t.Cleanup(p.Close)
	return p
}
