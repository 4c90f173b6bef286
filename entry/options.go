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
	// Caller is the address for callers, Control the one for peers, operators and metrics.
	Caller  netip.AddrPort
	Control netip.AddrPort
	// Advertise is the control address given to other entries; the default is the one that the entry listens on.
	Advertise netip.AddrPort
	// Platform holds everything that must outlive the process.
	Platform store.Platform
	// Seeds are control addresses of other entries, to start from while the platform is down.
	Seeds []netip.AddrPort
	// Serve keeps this entry in service without contact, whatever the settings say. Drained failure domains can then
	// receive new work.
	Serve  bool
	Logger *zap.Logger

	// Protocol is how callers and targets speak; Own by default.
	Protocol Protocol
	// Join returns the entry's part in the fleet, given the addresses on which the entry listens; by default the fleet
	// keeps its accepted state on Platform.
	Join func(JoinOptions) Fleet
	// Extras are further listeners, such as those that a platform asks for health.
	Extras []Extra
	// Grace is the time that a shutdown may take, zero if it may last as long as its calls.
	Grace time.Duration
	// Bandwidth is that of the machine's link in each direction, in bytes a second, zero if large bodies need no pacing.
	Bandwidth float64
}

// JoinOptions are the parts of an entry that its part in a fleet needs.
type JoinOptions struct {
	Timers  *timer.Service
	Peers   *fleet.Client
	Caller  netip.AddrPort
	Control netip.AddrPort
	Metrics *metrics.Set
	Logger  *zap.Logger
}

// Extra is a listener beside those for callers and for control.
type Extra struct {
	Name    string
	Address netip.AddrPort
	Handler func(e *Entry) http.Handler
}
