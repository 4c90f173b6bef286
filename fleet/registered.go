package fleet

import (
	"net/netip"
	"time"
)

// RegisteredTarget is a target that has registered itself.
type RegisteredTarget struct {
	Name     string
	Service  string
	Domain   string
	Address  netip.AddrPort
	Slots    int
	Instance string
	// StartedAt is the start time of the instance in the target's own unit. A target can restart under the same name.
	StartedAt int64
	// ColdUntil is the end of the cold start as reported by the target, or the zero time if it is not in a cold start.
	ColdUntil time.Time
	// Leaving is set if the target is about to end.
	Leaving bool
	// Version is the version of the target's software.
	Version string
	// RetainedUntil is how long the target is retained after its registration disappeared together with many others, or
	// the zero time if it is still there.
	RetainedUntil time.Time
}
