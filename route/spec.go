package route

import (
	"net/netip"
	"time"
)

// Target describes a target according to the settings and the accepted state.
type Target struct {
	Name    string
	Service string
	Domain  string
	Address netip.AddrPort
	// Slots is the number of calls that the target runs at once.
	Slots int
	// ColdConcurrency is the number of calls that the target can run at once during its cold start, over all entries.
	ColdConcurrency int
	// MinColdDuration is the minimum duration of a cold start.
	MinColdDuration time.Duration
	// Drained means that operators have drained the target or its failure domain.
	Drained bool

	// Instance is the instance listed in a registry, empty for a target that is not registered. Entries learn the
	// instance of an unregistered target, and whether it is warm, from its responses.
	Instance string
	// StartedAt is the start of the instance according to the registry, in a unit of the target's own. It tells a restart
	// under the same instance.
	StartedAt int64
	// ColdUntil is the end of the cold start according to the registry.
	ColdUntil time.Time
	// ColdRate is the number of calls per second that the registered target can handle while it is cold, over all
	// entries.
	ColdRate float64
	// Leaving means that the target is about to terminate according to the registry.
	Leaving bool
	// Version is the version of the target's software.
	Version string
}
