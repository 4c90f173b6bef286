package rollout

import (
	"time"
)

// Bounds are the limits for roll-outs that the platform sets.
type Bounds struct {
	// Share is the maximum fraction of the requests to a service that a bad version may get, by all entries together.
	Share float64
	// Slack is the number of requests that it may get in addition.
	Slack float64
	// Rollback is the time after its 50th bad answer within which a bad version gets its last request.
	Rollback time.Duration
}

// Enabled reports whether the platform asks for roll-outs.
func (b Bounds) Enabled() bool { return b.Share > 0 || b.Slack > 0 || b.Rollback > 0 }

// maxDuration bounds the duration of an order, so that arithmetic with it does not overflow.
const maxDuration = 365 * 24 * time.Hour

// Order is an operator's order to move the traffic of a service to another version.
type Order struct {
	Service  string
	To       string
	Duration time.Duration
	// Version is the version of the order's row. Its era rises when the store is restored from a copy; see package feed.
	Version uint64
	Era     uint64
}

// NewOrder returns an order whose duration is bounded.
func NewOrder(service, to string, seconds float64, version, era uint64) Order {
	duration := maxDuration
	if seconds < maxDuration.Seconds() {
		duration = time.Duration(max(seconds, 0) * float64(time.Second))
	}
	return Order{
		Service:  service,
		To:       to,
		Duration: duration,
		Version:  version,
		Era:      era,
	}
}

// IsSame reports whether a later row orders the same as this one: it is the same row, or has the same contents and was
// written again by the operator while the roll-out was running or after a restore of the store.
func (o Order) IsSame(later Order, running bool) bool {
	// Durations are stored as seconds with a fraction, so they can differ by a rounding error.
	if o.Service != later.Service || o.To != later.To || (o.Duration-later.Duration).Abs() >= time.Millisecond {
		return false
	}
	return o.Version == later.Version || running || later.Era > o.Era
}

const (
	// trialFraction is the part of the duration that the trial takes at most. Promotion, which takes one to two seconds,
	// needs the rest.
	trialFraction = 0.65
	// maxTrial is the maximum length of a trial.
	maxTrial = 10 * time.Minute
)

// Trial returns the length of the trial.
func (o Order) Trial() time.Duration {
	return min(time.Duration(trialFraction*float64(o.Duration)), maxTrial)
}

// Row is the status of a roll-out as it is stored.
type Row struct {
	Order Order
	Phase Phase
	// Base are the versions that were in service before.
	Base []string
	// Start is when the roll-out began, by the clock of the store.
	Start time.Duration
	// Entries is the number of entries at the start.
	Entries int
	// Reason says why the phase was entered.
	Reason string
}

// Stored is the answer of the store to a read or write of the status row.
type Stored struct {
	// Row is nil if there is none, or none that can be read.
	Row *Row
	// Version is the version of the row for the condition of the next write, 0 if there is none.
	Version uint64
	// Now is the clock of the store.
	Now time.Duration
	// Era is the era of the store.
	Era uint64
	// Conflict means that a write had no effect, because the row has changed.
	Conflict bool
}
