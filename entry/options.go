package entry

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"skylarkbeam/fleet"
	"skylarkbeam/store"
	"skylarkbeam/timer"
)

// Options are what a process knows before it has read the accepted settings.
type Options struct {
	// Name is the entry's name in the settings, Domain its failure domain.
	Name   string
	Domain string
	// CallerAddress is the address for callers, Control the one for peers, operators and metrics.
	CallerAddress  netip.AddrPort
	ControlAddress netip.AddrPort
	// AdvertiseAddress is the control address given to other entries; the default is the one that the entry listens on.
	AdvertiseAddress netip.AddrPort
	// Platform holds everything that must outlive the process.
	Platform store.Platform
	// Seeds are control addresses of other entries, to start from while the platform is down.
	Seeds []netip.AddrPort
	// ServeWithoutContact keeps this entry in service without contact, whatever the settings say. Drained failure domains can then
	// receive new work.
	ServeWithoutContact bool
	Logger              *zap.Logger

	// Protocol is how callers and targets speak; Own by default.
	Protocol Protocol
	// NewFleet returns the entry's part in the fleet, given the addresses on which the entry listens; by default the fleet
	// keeps its accepted state on Platform.
	NewFleet func(FleetOptions) Fleet
	// ExtraListeners are further listeners, such as those that a platform asks for health.
	ExtraListeners []ExtraListener
	// GracePeriod is the time that a shutdown may take, zero if it may last as long as its calls.
	GracePeriod time.Duration
	// Bandwidth is that of the machine's link in each direction, in bytes a second, zero if large bodies need no pacing.
	Bandwidth float64
}

// FleetOptions are the parts of an entry that its part in a fleet needs.
type FleetOptions struct {
	Timers         *timer.Service
	PeerClient     *fleet.Client
	CallerAddress  netip.AddrPort
	ControlAddress netip.AddrPort
	Metrics        *metrics.Set
	Logger         *zap.Logger
}

// ExtraListener is a listener beside those for callers and for control.
type ExtraListener struct {
	Name    string
	Address netip.AddrPort
	Handler func(e *Entry) http.Handler
}
