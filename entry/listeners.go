package entry

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"

	"skylarkbeam/caller"
)

// callerBacklog and serviceBacklog are the numbers of connections that wait to be accepted, at the address for callers and at each other
// one. A caller whose connection finds no room there tries again after a second.
const (
	callerBacklog  = 256
	serviceBacklog = 64
)

// listeners are opened before the entry joins the fleet, so that the entry can announce its actual addresses when a
// port is chosen by the system.
type listeners struct {
	caller  net.Listener
	control net.Listener
	extras  []net.Listener
}

func listen(opts Options) (*listeners, error) {
	callers, err := caller.Listen(opts.CallerAddress, callerBacklog)
	if err != nil {
		return nil, errors.Wrap(err, "listen on the caller address")
	}
	control, err := caller.Listen(opts.ControlAddress, serviceBacklog)
	if err != nil {
		callers.Close()
		return nil, errors.Wrap(err, "listen on the control address")
	}
	l := &listeners{
		caller:  callers,
		control: control,
	}
	for _, extra := range opts.ExtraListeners {
		listener, err := caller.Listen(extra.Address, serviceBacklog)
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
