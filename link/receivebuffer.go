package link

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// maxSegment is the largest segment in bytes that peers send: that of Ethernet.
const maxSegment = 1460

// ReceiveBuffer returns a function for net.Dialer and net.ListenConfig that gives connections a receive buffer of n bytes. The kernel
// counts unread bytes as memory of the process, and lets a sender exceed the size by half.
func ReceiveBuffer(n int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return Control(raw, func(fd int) error {
			// A peer stalls for up to 200 ms, until a timer ends, if its segments are larger than the window. Those of the loopback
			// interface have 64 KiB. Without the option, only that interface is slow.
			_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, maxSegment)
			return setReceiveBuffer(fd, n)
		})
	}
}

// Receiver is the receive buffer of a connection, which is larger while a body arrives for which memory has been reserved. It is not
// safe for concurrent use.
type Receiver struct {
	conn net.Conn
	// usual is the size in bytes that ReceiveBuffer has set.
	usual    int
	enlarged bool
}

// NewReceiver returns the Receiver of a connection with a receive buffer of usual bytes.
func NewReceiver(conn net.Conn, usual int) Receiver {
	return Receiver{
		conn:  conn,
		usual: usual,
	}
}

// Enlarge gives the connection a receive buffer of n bytes, if that is more than the usual ones.
func (r *Receiver) Enlarge(n int) {
	if n > r.usual {
		r.enlarged = true
		resize(r.conn, n)
	}
}

// Shrink undoes Enlarge.
func (r *Receiver) Shrink() {
	if r.enlarged {
		r.enlarged = false
		resize(r.conn, r.usual)
	}
}

// resize changes the size of the receive buffer of a connection, if it is one of TCP. The connection works with its former buffer
// too, only slower, so errors are left out.
func resize(nc net.Conn, n int) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	// The window follows the size without a clamp, and peers stall for 40 to 200 ms after a clamp has been lowered.
	_ = Control(raw, func(fd int) error { return setReceiveBuffer(fd, n) })
}

// Control calls a function with the descriptor of a socket.
func Control(raw syscall.RawConn, f func(fd int) error) error {
	var result error
	err := raw.Control(func(fd uintptr) { result = f(int(fd)) })
	return errors.CombineErrors(err, result)
}

func setReceiveBuffer(fd, n int) error {
	return errors.Wrap(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, n), "set the receive buffer")
}
