package allowance

import "time"

// The bound leaves room beyond rate x window + burst. These are the parts of it that each deviation from one exact bucket
// may use; with two takeovers in a window they add up to 0.95.
const (
	// marginPart is the part by which a bucket is larger than the burst, so that requests that arrive at the rate are not
	// refused because they come a few milliseconds closer together at the lender.
	marginPart = 0.15
	// extraPart is the part for permits that are lent before they are needed. A bucket refills while they are held, so
	// the time for which they can be used times the rate may come on top of a whole bucket.
	extraPart = 0.4
	// reservePart is the part with which a lender starts that does not know the bucket of the one before.
	reservePart = 0.1
	// contactlessPart is the part that all entries together send without a lender.
	contactlessPart = 0.1
	// returnPart is the part for permits that come back in a window after the one in which they were lent.
	returnPart = 0.1
)

// maxExpiry bounds the time for which a permit of a workspace with a low rate can be used.
const maxExpiry = 2 * time.Second

// Limits are the allowance of a workspace and the room that the bound leaves.
type Limits struct {
	// Rate is in requests a second, Burst in requests.
	Rate  float64
	Burst float64
	// Over any Window, (Rate x Window + Burst) x (1 + Overshoot) + Slack requests may be passed on.
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Bound returns the number of requests that may be passed on in one window.
func (l Limits) Bound() float64 { return l.Rate*l.Window.Seconds() + l.Burst + l.room() }

func (l Limits) room() float64 {
	return l.Overshoot*(l.Rate*l.Window.Seconds()+l.Burst) + l.Slack
}

// capacity returns the size of the bucket. A bucket below one permit would never lend.
func (l Limits) capacity() float64 { return max(l.Burst, 1) + marginPart*l.room() }

// Expiry returns the time for which a permit can be used.
func (l Limits) Expiry() time.Duration {
	if l.Rate <= 0 {
		return maxExpiry
	}
	return min(time.Duration(extraPart*l.room()/l.Rate*float64(time.Second)), maxExpiry)
}
