package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
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

// startResettingTarget starts a target that answers each request when it has read the head, and then resets the connection. It
// returns a pool of connections to the target.
func startResettingTarget(t *testing.T, status, rest string) *Pool {
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
				_, _ = fmt.Fprintf(nc, "HTTP/1.1 %s\r\n%s: %s\r\n%s: i\r\n%s", status, HeaderRequest, req.Header.Get(HeaderRequest),
					HeaderInstance, rest)
			}
			_ = nc.(*net.TCPConn).SetLinger(0)
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

// Guards against a body without a length that passes for complete although its connection was reset while the request was being
// written. The control trusts the end of the connection after the failed write.
func TestResetDuringWrite(t *testing.T) {
	const refused = HeaderOutcome + ": not-run\r\n"
	tests := map[string]struct {
		status, rest string
		want         string
		// trusted is the outcome with the control, if it is another one.
		trusted string
	}{
		"part": {
			status:  "200 OK",
			rest:    "\r\npart",
			want:    "unknown truncated",
			trusted: "mismatched",
		},
		"nothing": {
			status:  "200 OK",
			rest:    "\r\n",
			want:    "unknown truncated",
			trusted: "mismatched",
		},
		"failure": {
			status:  "500 Failed",
			rest:    "\r\npart",
			want:    "unknown truncated",
			trusted: "500",
		},
		"refused": {
			status: "503 Busy",
			rest:   refused + "\r\npart",
			want:   "not-run shed",
		},
		"no body": {
			status: "304 Unchanged",
			rest:   "\r\n",
			want:   "304",
		},
		"whole": {
			status: "500 Failed",
			rest:   "Content-Length: 4\r\n\r\npart",
			want:   "500",
		},
		"short": {
			status: "200 OK",
			rest:   "Content-Length: 9\r\n\r\npart",
			want:   "truncated",
		},
		"chunks": {
			status: "200 OK",
			rest:   "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
			want:   "truncated",
		},
	}
	upload := strings.Repeat("u", 8<<20) // More than the buffers of both sockets hold.
	for name, test := range tests {
		for _, trusted := range []bool{false, true} {
			for _, stream := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, trusted %t, stream %t", name, trusted, stream), func(t *testing.T) {
					p := startResettingTarget(t, test.status, test.rest)
					p.disabled.writeFailure = trusted
					call := newCall("POST", "/", "key", upload)
					if stream {
						call.Body = nil
						call.Stream, call.StreamLength = io.LimitReader(strings.NewReader(upload), int64(len(upload))), -1
					}
					want := test.want
					if trusted && test.trusted != "" {
						want = test.trusted
					}
					assertSend(t, p, call, want)
					assert.Equal(t, p.OpenConnections(), 0)
				})
			}
		}
	}
}
