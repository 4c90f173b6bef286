package link

import (
	"io"
	"math"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connect returns the ends of a connection, of which one has a receive buffer of n bytes.
func connect(t *testing.T, n int) (sender, receiver net.Conn) {
	t.Helper()
	config := net.ListenConfig{
		Control: ReceiveBuffer(n),
	}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	sender, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	receiver, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		sender.Close()
		receiver.Close()
	})
	assert.NilError(t, receiver.SetDeadline(time.Now().Add(20*time.Second)))
	return sender, receiver
}

// Guards against peers that stall until a timer of the kernel ends: because their segments are larger than the receive buffer, or after
// it was made smaller. Each such stall takes 40 to 200 ms.
func TestResizedBuffer(t *testing.T) {
	const bodies, size, small, large = 50, 90_000, 8 << 10, 64 << 10
	sender, receiver := connect(t, small)
	buffer := NewReceiver(receiver, small)
	start := time.Now()
	for range bodies {
		sent := make(chan error, 1)
		go func() {
			_, err := sender.Write(make([]byte, size))
			sent <- err
		}()
		buffer.Enlarge(large)
		_, err := io.CopyN(io.Discard, receiver, size)
		assert.NilError(t, err)
		assert.NilError(t, <-sent)
		buffer.Shrink()
	}
	elapsed := time.Since(start)
	assert.Assert(t, elapsed < bodies*20*time.Millisecond, "%s", elapsed)
}

// Guards against an enlarged buffer through which no more arrives than before, so that a large body takes a round trip for each few
// kilobytes, and against one that stays large.
func TestReceiverWindow(t *testing.T) {
	const small, large = 8 << 10, 64 << 10
	sender, receiver := connect(t, small)
	go func() {
		piece := make([]byte, 64<<10)
		for {
			if _, err := sender.Write(piece); err != nil {
				return // The connection has ended.
			}
		}
	}()
	raw, err := receiver.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	unread := func() (n int) {
		buffer := make([]byte, 4*large)
		assert.NilError(t, Control(raw, func(fd int) (err error) {
			n, _, err = syscall.Recvfrom(fd, buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return err
		}))
		return n
	}
	// most reads pieces until as many bytes as wanted arrive behind one, and returns the most that did.
	most := func(pieces, want int) (n int) {
		for range pieces {
			_, err := io.CopyN(io.Discard, receiver, 256<<10)
			assert.NilError(t, err)
			time.Sleep(20 * time.Millisecond) // The sender has filled the window by then, unless it did not run.
			if n = max(n, unread()); n >= want {
				break
			}
		}
		return n
	}
	buffer := NewReceiver(receiver, small)
	assert.Assert(t, most(10, math.MaxInt) <= 2*small)
	buffer.Enlarge(large)
	n := most(200, large/2)
	assert.Assert(t, n >= large/2 && n <= 2*large, "%d bytes in an enlarged buffer", n)
	buffer.Shrink()
	_, err = io.CopyN(io.Discard, receiver, 1<<20)
	assert.NilError(t, err)
	assert.Assert(t, most(10, math.MaxInt) <= 2*small)
}
