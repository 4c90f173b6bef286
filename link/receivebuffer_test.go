package link

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against peers that stall until a timer of the kernel ends: because their segments are larger than the receive buffer, or after
// it was made smaller. Each such stall takes 40 to 200 ms.
func TestResizedBuffer(t *testing.T) {
	const bodies, size, small, large = 50, 90_000, 8 << 10, 64 << 10
	config := net.ListenConfig{
		Control: ReceiveBuffer(small),
	}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	sender, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer sender.Close()
	receiver, err := l.Accept()
	assert.NilError(t, err)
	defer receiver.Close()
	assert.NilError(t, receiver.SetDeadline(time.Now().Add(20*time.Second)))
	start := time.Now()
	for range bodies {
		sent := make(chan error, 1)
		go func() {
			_, err := sender.Write(make([]byte, size))
			sent <- err
		}()
		ResizeReceiveBuffer(receiver, large)
		_, err := io.CopyN(io.Discard, receiver, size)
		assert.NilError(t, err)
		assert.NilError(t, <-sent)
		ResizeReceiveBuffer(receiver, small)
	}
	elapsed := time.Since(start)
	assert.Assert(t, elapsed < bodies*20*time.Millisecond, "%s", elapsed)
}
