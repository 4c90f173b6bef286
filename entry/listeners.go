package entry

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// listeners are open before the entry joins the fleet, so that it can tell the others its real addresses when a port is
// left to the system.
type listeners struct {
	caller  net.Listener
	control net.Listener
}

func listen(opts Options) (*listeners, error) {
	caller, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(opts.Caller))
	if err != nil {
		return nil, errors.Wrap(err, "listening for callers")
	}
	control, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(opts.Control))
	if err != nil {
		caller.Close()
		return nil, errors.Wrap(err, "listening for control")
	}
	return &listeners{
		caller:  caller,
		control: control,
	}, nil
}

func addressOf(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}
