package fleet

import (
	"slices"
	"strings"
	"time"
)

const (
	// lapsedRetention is how long targets are retained that disappeared from the registry together. Registrations that
	// lapsed while the registry was down are renewed within about two seconds of its return.
	lapsedRetention = 2500 * time.Millisecond
	// Targets are assumed to have lapsed together, instead of having left, if at least minLapsedTargets and at least
	// the fraction minLapsedFraction of all targets disappear.
	minLapsedFraction = 0.25
	minLapsedTargets  = 3
)

// retainLapsed adds to the next state the targets that disappeared together with many others since the former state,
// for as long as they may come back. Otherwise all calls would be refused for two seconds after a registry outage in
// which registrations lapse. It returns the time until the next check, or zero if no target is retained.
func retainLapsed(now time.Time, former, next *State) time.Duration {
	var retained, vanished []RegisteredTarget
	i := 0
	for _, t := range former.RegisteredTargets {
		// Both lists are sorted by name.
		for i < len(next.RegisteredTargets) && next.RegisteredTargets[i].Name < t.Name {
			i++
		}
		switch {
		case i < len(next.RegisteredTargets) && next.RegisteredTargets[i].Name == t.Name:
		case !t.LapsedAt.IsZero():
			if now.Sub(t.LapsedAt) < lapsedRetention {
				retained = append(retained, t)
			}
		case !t.Leaving:
			vanished = append(vanished, t)
		}
	}
	if n := len(vanished) + len(retained); n >= minLapsedTargets && float64(n) >= minLapsedFraction*float64(len(former.RegisteredTargets)) {
		for _, t := range vanished {
			t.LapsedAt = now
			retained = append(retained, t)
		}
	}
	if len(retained) == 0 {
		return 0
	}
	recheck := lapsedRetention
	for _, t := range retained {
		recheck = min(recheck, t.LapsedAt.Add(lapsedRetention).Sub(now))
	}
	next.RegisteredTargets = slices.Concat(next.RegisteredTargets, retained)
	slices.SortFunc(next.RegisteredTargets, func(a, b RegisteredTarget) int { return strings.Compare(a.Name, b.Name) })
	return max(recheck, time.Millisecond)
}
