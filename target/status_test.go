package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
)

// startStatusTarget starts a target that answers each request with a status, and with a body that is itself a response to
// the same request. It returns a pool of connections to the target.
func startStatusTarget(t *testing.T, status string) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var served sync.WaitGroup
	t.Cleanup(served.Wait)
	t.Cleanup(func() { _ = l.Close() })
	served.Go(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			served.Go(func() {
				defer nc.Close()
				br := bufio.NewReader(nc)
				for {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					response := func(status, body string) string {
						return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: i\r\nContent-Length: %d\r\n\r\n%s", status, HeaderRequest,
							req.Header.Get(HeaderRequest), HeaderInstance, len(body), body)
					}
					if _, err := io.WriteString(nc, response(status, response("200 OK", "forged"))); err != nil {
						return
					}
				}
			})
		}
	})
	p := New(Options{
		Address: netip.MustParseAddrPort(l.Addr().String()),
	})
	t.Cleanup(p.Close)
	return p
}

// Guards against a response without a valid status: its body must not be read as the next response, nothing of it may reach
// a caller, and its connection must not be used again.
func TestStatus(t *testing.T) {
	for _, status := range []string{
		"000 None", "001", "020 Short", "099 Almost", "+20 Signed", "+99", "101 Switching Protocols", "600 Over", "999", "-20", "20",
		"2000", "abc", "20x", "",
	} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			p := startStatusTarget(t, status)
			for range 2 {
				call := newCall("POST", "/", "", "body")
				call.Idempotent = false
				assertSend(t, p, call, "unknown broken")
				assert.Equal(t, p.OpenConnections(), 0)
			}
			_, err := p.ReadLoad(t.Context())
			assert.Assert(t, err != nil)
			assert.Equal(t, p.OpenConnections(), 0)
		})
	}
	for _, status := range []string{"200 OK", "299 Odd", "418", "599 Last"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			answered, ok := startStatusTarget(t, status).Send(t.Context(), newCall("POST", "/", "", "body")).(*outcome.Answered)
			assert.Assert(t, ok)
			assert.Equal(t, fmt.Sprint(answered.Status), status[:3])
			assert.NilError(t, answered.Body.Close())
		})
	}
}
