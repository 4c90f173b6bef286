package allowance

import (
	"math"
	"time"
)

const (
	// minWait is the shortest time after which a refused request is told to come back.
	minWait = time.Millisecond
	// demandTimeConstant is the time constant of the measured demand.
	demandTimeConstant = time.Second
	// scarcePart is the part of the permits left that is lent as extra ones while the bucket is less than half full.
	scarcePart = 1.0 / 8
)

// bucket is the token bucket of one workspace.
type bucket struct {
	limits Limits
	level  float64
	at     time.Time
	// returned are the permits that came back within the window.
	returned []returnedPermits
	// refused is the decaying number of permits that were asked for in vain.
	refused float64
}

type returnedPermits struct {
	permits float64
	at      time.Time
}

func newBucket(now time.Time, limits Limits, level float64) *bucket {
	return &bucket{
		limits: limits,
		level:  min(level, limits.capacity()),
		at:     now,
	}
}

// update brings the level up to now, with the limits in force.
func (b *bucket) update(now time.Time, limits Limits) {
	elapsed := max(now.Sub(b.at), 0)
	b.at = now
	b.level += b.limits.Rate * elapsed.Seconds()
	b.limits = limits
	b.level = min(b.level, limits.capacity())
	b.refused *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	for len(b.returned) > 0 && now.Sub(b.returned[0].at) >= limits.Window {
		b.returned = b.returned[1:]
	}
}

// takeBack puts permits back that were not used, as far as the bound leaves room for them.
func (b *bucket) takeBack(now time.Time, permits int) {
	left := returnPart * b.limits.room()
	for _, r := range b.returned {
		left -= r.permits
	}
	n := min(float64(permits), left, b.limits.capacity()-b.level)
	if n <= 0 {
		return
	}
	b.level += n
	b.returned = append(b.returned, returnedPermits{
		permits: n,
		at:      now,
	})
}

// lend lends permits: what is needed first, then extra ones as far as there are enough.
func (b *bucket) lend(now time.Time, limits Limits, ask Ask) Loan {
	b.update(now, limits)
	b.takeBack(now, ask.Back)
	need := max(ask.Need, 0)
	granted := min(need, int(b.level))
	b.level -= float64(granted)
	extra := min(max(ask.Extra, 0), b.extraLeft())
	if extra > 0 && granted == need {
		b.level -= float64(extra)
		granted += extra
	}
	loan := Loan{
		Lends:   true,
		Permits: granted,
	}
	if missing := need - granted; missing > 0 {
		b.refused += float64(missing)
		loan.Wait, loan.Line = b.wait()
	}
	return loan
}

// extraLeft returns the number of extra permits that may be lent now.
func (b *bucket) extraLeft() int {
	if half := b.limits.capacity() / 2; b.level > half {
		return int(b.level - half)
	}
	return int(b.level * scarcePart)
}

// wait returns the time until there is a permit again, and the time over which the refused requests should come back after
// that, both in milliseconds. Without a rate there is never one, and callers come back after a window.
func (b *bucket) wait() (wait, line int) {
	if b.limits.Rate <= 0 {
		return int(b.limits.Window.Milliseconds()), int(b.limits.Window.Milliseconds())
	}
	limit := b.limits.Window.Seconds()
	next := min(max((1-b.level)/b.limits.Rate, minWait.Seconds()), limit)
	all := min(b.refused/b.limits.Rate, limit)
	return int(math.Ceil(next * 1000)), int(all * 1000)
}
