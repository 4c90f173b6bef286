package fleet

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// Guards against the part of a reply that counts as the whole: the other entry resets the connection while the message is being
// written, so that a reply without a length seems to end in order.
func TestReplyResetDuringWrite(t *testing.T) {
	const reply = `{"entry":"e2","incarnation":"i"}`
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	parts := make(chan string)
	served := make(chan struct{})
	t.Cleanup(func() {
		close(parts)
		_ = l.Close()
		<-served
	})
	go func() {
		defer close(served)
		for part := range parts {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
				_, _ = nc.Write([]byte("HTTP/1.1 200 OK\r\n\r\n" + part))
			}
			_ = nc.(*net.TCPConn).SetLinger(0)
			_ = nc.Close()
		}
	}()
	c := NewClient(metrics.NewSet())
	defer c.Close()
	message := &Message{
		Entry:       "e1",
		Incarnation: strings.Repeat("i", 8<<20), // More than the buffers of both sockets hold.
	}
	for n := range reply {
		parts <- reply[:n]
		_, err := c.Send(t.Context(), netip.MustParseAddrPort(l.Addr().String()), message)
		assert.Assert(t, err != nil, "%d bytes of the reply", n)
	}
}
