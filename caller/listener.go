package caller

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/cockroachdb/errors"

	"skylarkbeam/link"
	"skylarkbeam/memory"
)

// Listen opens a listener whose connections have a receive buffer of memory.ReceiveBuffer. backlog is the number of connections that
// wait to be accepted; the unread bytes of each are memory of the process.
func Listen(address netip.AddrPort, backlog int) (net.Listener, error) {
	config := net.ListenConfig{
		Control: link.ReceiveBuffer(memory.ReceiveBuffer), // Connections inherit the size.
	}
	l, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		// A second call of listen sets the backlog, for which net has no option.
		err = link.Control(raw, func(fd int) error { return syscall.Listen(fd, backlog) })
	}
	if err != nil {
		l.Close()
		return nil, errors.Wrap(err, "limit the backlog")
	}
	return l, nil
}
