package fleet

import (
	"time"
)

// ownership remembers who was active over the last few seconds, which tells whether another entry may still hold a lease
// on a target.
type ownership struct {
	spans []span
}

// span is one view of the active members, in force from the moment when this process learned it.
type span struct {
	from   time.Time
	view   uint64
	active map[string]string
	// gap means that there may have been views between the preceding span and this one.
	gap bool
}

// learn adds a view. The time must not be before the write of the view, so callers pass the time at which the answer
// arrived, not the time at which they asked.
func (o *ownership) learn(now time.Time, roster Roster, wait time.Duration) {
	gap := true
	if n := len(o.spans); n > 0 {
		last := o.spans[n-1]
		if roster.View <= last.view {
			return
		}
		gap = roster.View != last.view+1
	}
	o.spans = append(o.spans, span{
		from:   now,
		view:   roster.View,
		active: roster.active(),
		gap:    gap,
	})
	for len(o.spans) > 1 && now.Sub(o.spans[1].from) >= wait {
		o.spans = o.spans[1:]
	}
}

// holds tells whether the incarnation was the owner of the target in each view of the last wait.
func (o *ownership) holds(now time.Time, incarnation, target string, wait time.Duration) bool {
	for i := len(o.spans) - 1; i >= 0; i-- {
		s := o.spans[i]
		if _, id := owner(s.active, target); id != incarnation {
			return false
		}
		if now.Sub(s.from) >= wait {
			return true
		}
		if s.gap {
			return false
		}
	}
	return false
}
