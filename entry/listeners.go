package entry

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// listeners are opened before the entry joins the fleet, so that the entry can announce its actual addresses when a
// port is chosen by the system.
type listeners struct {
	caller  net.Listener
	control net.Listener
	extras  []net.Listener
}

func listen(opts Options) (*listeners, error) {
	caller, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(opts.CallerAddress))
	if err != nil {
		return nil, errors.Wrap(err, "listen on the caller address")
	}
	control, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(opts.ControlAddress))
	if err != nil {
		caller.Close()
		return nil, errors.Wrap(err, "listen on the control address")
	}
	l := &listeners{
		caller:  caller,
		control: control,
	}
	for _, extra := range opts.ExtraListeners {
		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(extra.Address))
		if err != nil {
			l.close()
			return nil, errors.Wrapf(err, "listen on the %s address", extra.Name)
		}
		l.extras = append(l.extras, listener)
	}
	return l, nil
}

func (l *listeners) close() {
	l.caller.Close()
	l.control.Close()
	for _, extra := range l.extras {
		extra.Close()
	}
}

func addressOf(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}
