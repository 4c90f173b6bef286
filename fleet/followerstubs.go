package fleet

import (
	"context"
	"time"
)

// readOnlyReason is the reason for which a Follower refuses all changes.
const readOnlyReason = "the desired state is written by the operator of the platform"

// Apply is refused, like Drain and Restore.
func (f *Follower) Apply(context.Context, Change, []byte) Decision {
	return &Refused{
		Reason: readOnlyReason,
	}
}

// Drain is refused.
func (f *Follower) Drain(context.Context, Change, []string, []string) Decision {
	return &Refused{
		Reason: readOnlyReason,
	}
}

// Restore is refused.
func (f *Follower) Restore(context.Context, Change, []string, []string) Decision {
	return &Refused{
		Reason: readOnlyReason,
	}
}

// SetContactPolicy has no effect: a Follower serves with the last known state for as long as it runs.
func (f *Follower) SetContactPolicy(time.Duration, bool) {}

// CanProbe always returns true: once a Follower has started, no former process with its name holds a probe quota.
func (f *Follower) CanProbe(time.Time) bool { return true }

// PeerUsage returns nothing, because followers do not exchange usage.
func (f *Follower) PeerUsage(time.Time) (map[string]map[string]float64, bool) { return nil, false }

// WarmInstance returns nothing, because registered targets report themselves whether they are cold.
func (f *Follower) WarmInstance(string) string { return "" }

// WarmFacts returns nothing, like WarmInstance.
func (f *Follower) WarmFacts(string) (Fact, []Fact) { return Fact{}, nil }

// ReportInstance has no effect.
func (f *Follower) ReportInstance(string, string) {}

// ReportColdTransition has no effect.
func (f *Follower) ReportColdTransition(string, string, int) {}

// AnnounceWarm has no effect.
func (f *Follower) AnnounceWarm(string, string, int) {}
