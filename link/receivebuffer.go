package link

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ReceiveBuffer returns a function for net.Dialer and net.ListenConfig that gives connections a receive buffer of n bytes. The kernel
// counts unread bytes as memory of the process, and lets a sender exceed the size by half.
func ReceiveBuffer(n int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return Control(raw, func(fd int) error { return setReceiveBuffer(fd, n) })
	}
}

// ResizeReceiveBuffer changes the size of the receive buffer of a connection, if it is one of TCP. The connection works with its
// former buffer too, only slower, so errors are left out.
func ResizeReceiveBuffer(nc net.Conn, n int) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = Control(raw, func(fd int) error {
		// The kernel keeps the window to the first size until it is told otherwise.
		return errors.CombineErrors(setReceiveBuffer(fd, n), syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_WINDOW_CLAMP, 2*n))
	})
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
