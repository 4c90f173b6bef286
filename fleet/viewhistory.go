package fleet

import (
	"time"
)

// viewHistory holds the active members of the last few seconds. It shows whether another entry may still hold a lease
// on a target.
type viewHistory struct {
	spans []viewSpan
}

// viewSpan is one view of the active members, from the moment when this process learned of it.
type viewSpan struct {
	from   time.Time
	view   uint64
	active map[string]string
	// missedViews is set if there may have been views between the preceding span and this one.
	missedViews bool
}

// add adds a view. The time must not precede the write of the view, so callers pass the time at which the response
// arrived, not the time at which the request started.
func (h *viewHistory) add(now time.Time, roster Roster, wait time.Duration) {
	missed := true
	if n := len(h.spans); n > 0 {
		last := h.spans[n-1]
		if roster.View <= last.view {
			return
		}
		missed = roster.View != last.view+1
	}
	h.spans = append(h.spans, viewSpan{
		from:        now,
		view:        roster.View,
		active:      roster.activeIncarnations(),
		missedViews: missed,
	})
	for len(h.spans) > 1 && now.Sub(h.spans[1].from) >= wait {
		h.spans = h.spans[1:]
	}
}

// ownsThroughout reports whether the incarnation was the owner of the target in each view of the last wait.
func (h *viewHistory) ownsThroughout(now time.Time, incarnation, target string, wait time.Duration) bool {
	for i := len(h.spans) - 1; i >= 0; i-- {
		s := h.spans[i]
		if _, id := owner(s.active, target); id != incarnation {
			return false
		}
		if now.Sub(s.from) >= wait {
			return true
		}
		if s.missedViews {
			return false
		}
	}
	return false
}
