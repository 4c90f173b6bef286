package entry

import (
	"net/netip"

	"go.uber.org/zap"

	"skylarkbeam/store"
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
}
