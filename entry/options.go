package entry

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"skylarkbeam/fleet"
	"skylarkbeam/memory"
	"skylarkbeam/store"
	"skylarkbeam/timer"
)

// Options configure an entry. They are known before the accepted settings are read.
type Options struct {
	// Name is the name of the entry in the settings, and Domain its failure domain.
	Name   string
	Domain string
	// CallerAddress is the address that callers connect to. ControlAddress is the address for other entries,
	// operators and metrics.
	CallerAddress  netip.AddrPort
	ControlAddress netip.AddrPort
	// AdvertiseAddress is the control address given to other entries. The default is the address of the control
	// listener.
	AdvertiseAddress netip.AddrPort
	// Platform stores all state that must outlive the process.
	Platform store.Platform
	// Seeds are control addresses of other entries, used to join the fleet while the platform is down.
	Seeds []netip.AddrPort
	// ServeWithoutContact makes the entry dispatch calls without contact, regardless of the isolation setting.
	// Drained failure domains can then receive new work.
	ServeWithoutContact bool
	Logger              *zap.Logger

	// Protocol is the protocol used with callers and targets. The default is NativeProtocol.
	Protocol Protocol
	// NewFleet returns the entry's connection to the fleet, which then has registered targets only. The default is a
	// fleet.Fleet that stores its accepted state on Platform.
	NewFleet func(FleetOptions) Fleet
	// NoAddressList leaves the address list out at CallerAddress, because the platform tells callers the addresses of
	// entries. All paths there then belong to routes.
	NoAddressList bool
	// ExtraListeners are served beside those for callers and for control, for example for health checks of a
	// platform.
	ExtraListeners []ExtraListener
	// GracePeriod returns the bound on the duration of a shutdown that begins now. If it is nil or returns zero, a shutdown
	// lasts until all calls have ended.
	GracePeriod func() time.Duration
	// Bandwidth is the bandwidth of the machine's network link in each direction, in bytes per second. With zero,
	// large bodies are not paced.
	Bandwidth float64
	// Memory bounds what is held for clients, and the connections to targets. The default is that of a machine with
	// 512 MiB.
	Memory *memory.Budget
}

// FleetOptions are the components of an entry that Options.NewFleet may use.
type FleetOptions struct {
	Timers         *timer.Service
	PeerClient     *fleet.Client
	CallerAddress  netip.AddrPort
	ControlAddress netip.AddrPort
	Metrics        *metrics.Set
	Logger         *zap.Logger
}

// ExtraListener is a listener in addition to those for callers and for control.
type ExtraListener struct {
	Name    string
	Address netip.AddrPort
	Handler func(e *Entry) http.Handler
}
