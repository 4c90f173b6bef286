package target

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

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
					p := startRawTarget(t, func(nc *net.TCPConn, id string) {
						_, _ = fmt.Fprintf(nc, "HTTP/1.1 %s\r\n%s: %s\r\n%s: i\r\n%s", test.status, HeaderRequest, id, HeaderInstance, test.rest)
						_ = nc.SetLinger(0)
					})
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
