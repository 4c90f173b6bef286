package fleet

import (
	"slices"
	"strings"
	"time"
)

const (
	// lapseTime is how long targets that vanished together from the registry are kept. Registrations that lapsed while
	// the registry was away are renewed within about two seconds of its return.
	lapseTime = 2500 * time.Millisecond
	// lapsePart and lapseCount are the part and the number of targets that vanish together only if their registrations
	// have lapsed. Fewer are taken to have left.
	lapsePart  = 0.25
	lapseCount = 3
)

// keepLapsed adds to the next state the targets that vanished together with many others since the former one, for as long
// as they may come back. Without that, all calls would be refused for two seconds after each outage of the registry in
// which registrations lapse. It returns when to look again, zero if nothing is kept.
func keepLapsed(now time.Time, former, next *State) time.Duration {
	present := make(map[string]bool, len(next.RegisteredTargets))
	for _, t := range next.RegisteredTargets {
		present[t.Name] = true
	}
	var kept, vanished []RegisteredTarget
	for _, t := range former.RegisteredTargets {
		switch {
		case present[t.Name]:
		case !t.LapsedAt.IsZero():
			if now.Sub(t.LapsedAt) < lapseTime {
				kept = append(kept, t)
			}
		case !t.Leaving:
			vanished = append(vanished, t)
		}
	}
	if n := len(vanished) + len(kept); n >= lapseCount && float64(n) >= lapsePart*float64(len(former.RegisteredTargets)) {
		for _, t := range vanished {
			t.LapsedAt = now
			kept = append(kept, t)
		}
	}
	if len(kept) == 0 {
		return 0
	}
	again := lapseTime
	for _, t := range kept {
		again = min(again, t.LapsedAt.Add(lapseTime).Sub(now))
	}
	next.RegisteredTargets = append(next.RegisteredTargets, kept...)
	slices.SortFunc(next.RegisteredTargets, func(a, b RegisteredTarget) int { return strings.Compare(a.Name, b.Name) })
	return max(again, time.Millisecond)
}
