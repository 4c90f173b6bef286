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

// SetContactPolicy has no effect: a Follower goes on with the last state for as long as it runs.
func (f *Follower) SetContactPolicy(time.Duration, bool) {}

// CanProbe is always true: no former process of the same name holds a quota after a Follower has started.
func (f *Follower) CanProbe(time.Time) bool { return true }

// PeerUsage knows nothing of the other entries' callers, whose addresses are not passed on.
func (f *Follower) PeerUsage(time.Time) (map[string]map[string]float64, bool) { return nil, false }

// WarmInstance and Known know nothing, because registered targets tell themselves whether they are cold.
func (f *Follower) WarmInstance(string) string { return "" }

// WarmFacts returns nothing.
func (f *Follower) WarmFacts(string) (Fact, []Fact) { return Fact{}, nil }

// ReportInstance has no effect.
func (f *Follower) ReportInstance(string, string) {}

// ReportColdTransition has no effect.
func (f *Follower) ReportColdTransition(string, string, int) {}

// AnnounceWarm has no effect.
func (f *Follower) AnnounceWarm(string, string, int) {}
