package fleet

import (
	"context"
	"time"
)

// followed is why a Follower makes no changes.
const followed = "the desired state is written by the operator of the platform"

// Apply is refused, as are Drain and Restore.
func (f *Follower) Apply(context.Context, Change, []byte) Decision {
	return &Refused{
		Reason: followed,
	}
}

// Drain is refused.
func (f *Follower) Drain(context.Context, Change, []string, []string) Decision {
	return &Refused{
		Reason: followed,
	}
}

// Restore is refused.
func (f *Follower) Restore(context.Context, Change, []string, []string) Decision {
	return &Refused{
		Reason: followed,
	}
}

// SetLimits has no effect: a Follower goes on with the last state for as long as it runs.
func (f *Follower) SetLimits(time.Duration, bool) {}

// Probes is always true: no former process of the same name holds a quota after a Follower has started.
func (f *Follower) Probes(time.Time) bool { return true }

// Elsewhere knows nothing of the other entries' callers, whose addresses are not passed on.
func (f *Follower) Elsewhere(time.Time) (map[string]map[string]float64, bool) { return nil, false }

// Warm and Known know nothing, because registered targets tell themselves whether they are cold.
func (f *Follower) Warm(string) string { return "" }

// Known returns nothing.
func (f *Follower) Known(string) (Fact, []Fact) { return Fact{}, nil }

// Sighting has no effect.
func (f *Follower) Sighting(string, string) {}

// Fell has no effect.
func (f *Follower) Fell(string, string, int) {}

// Announce has no effect.
func (f *Follower) Announce(string, string, int) {}
