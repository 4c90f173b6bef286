package fleet

import (
	"slices"
	"strings"
	"time"
)

const (
	// renewalTime is how long targets are retained that disappeared from the registry together around an outage of it.
	// Registrations that lapsed while the registry was down are renewed within about two seconds of its return.
	renewalTime = 2500 * time.Millisecond
	// outageMemory is how long after the last sign of an outage of the store targets that disappear are taken for lapsed
	// by it.
	outageMemory = 2 * time.Second
	// outageDomains is the number of failure domains in which entries have to lose the store for an outage of it, unless
	// there are fewer. In one domain, it may be the entries that are cut off.
	outageDomains = 2
	// Targets are assumed to have lapsed together, instead of having left, if at least minLapsedTargets and at least
	// the fraction minLapsedFraction of all targets disappear.
	minLapsedFraction = 0.25
	minLapsedTargets  = 3
)

// retentionTime returns how long targets are retained that disappear now. Without an outage they may have left, and then
// serve for drainTime: half of it is left for the delay with which entries learn of their removal, and for calls that are
// on the way.
func retentionTime(outage bool, drainTime time.Duration) time.Duration {
	if outage {
		return renewalTime
	}
	return min(drainTime/2, renewalTime)
}

// retainLapsed adds to the next state the targets that disappeared together with many others since the former state,
// for as long as they may come back, which is retention for those that have just disappeared. Otherwise all calls would be
// refused for two seconds after a registry outage in which registrations lapse. It returns the time until the next check,
// or zero if no target is retained.
func retainLapsed(now time.Time, former, next *State, retention time.Duration) time.Duration {
	var retained, vanished []RegisteredTarget
	i := 0
	for _, t := range former.RegisteredTargets {
		// Both lists are sorted by name.
		for i < len(next.RegisteredTargets) && next.RegisteredTargets[i].Name < t.Name {
			i++
		}
		switch {
		case i < len(next.RegisteredTargets) && next.RegisteredTargets[i].Name == t.Name:
		case !t.RetainedUntil.IsZero():
			if now.Before(t.RetainedUntil) {
				retained = append(retained, t)
			}
		case !t.Leaving:
			vanished = append(vanished, t)
		}
	}
	n := len(vanished) + len(retained)
	if retention > 0 && n >= minLapsedTargets && float64(n) >= minLapsedFraction*float64(len(former.RegisteredTargets)) {
		for _, t := range vanished {
			t.RetainedUntil = now.Add(retention)
			retained = append(retained, t)
		}
	}
	if len(retained) == 0 {
		return 0
	}
	recheck := renewalTime
	for _, t := range retained {
		recheck = min(recheck, t.RetainedUntil.Sub(now))
	}
	next.RegisteredTargets = slices.Concat(next.RegisteredTargets, retained)
	slices.SortFunc(next.RegisteredTargets, func(a, b RegisteredTarget) int { return strings.Compare(a.Name, b.Name) })
	return max(recheck, time.Millisecond)
}

// recordStoreLoss records that calls of an entry in a failure domain failed to reach the store. The caller holds f.mu.
func (f *Follower) recordStoreLoss(domain string, at time.Time) {
	f.storeLostAt[domain] = laterTime(f.storeLostAt[domain], at)
}

// recentStoreLosses returns the time since the losses of the last outageMemory by failure domain, in units of silenceUnit
// rounded up. The caller holds f.mu.
func (f *Follower) recentStoreLosses(now time.Time) map[string]int {
	var recent map[string]int
	for domain, at := range f.storeLostAt {
		if age := now.Sub(at); age < outageMemory {
			if recent == nil {
				recent = map[string]int{}
			}
			recent[domain] = roundUp(age, silenceUnit)
		}
	}
	return recent
}

// storeOutage reports whether the store is, or was until a moment ago, out of reach for entries of several failure domains.
func (f *Follower) storeOutage(now time.Time) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	domains := map[string]bool{
		f.self.Domain: true,
	}
	for _, m := range f.members {
		domains[m.record.Domain] = true
	}
	return len(f.recentStoreLosses(now)) >= min(outageDomains, len(domains))
}
