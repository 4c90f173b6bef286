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

// retentionOf returns how long targets are retained that disappear now. Without an outage they may have left, and then serve for
// drainTime from their removal on: half of it is left for calls that are on the way.
func (f *Follower) retentionOf(outage bool, drainTime time.Duration) retention {
	if outage {
		return retention{
			time: renewalTime,
		}
	}
	return retention{
		time:      min(drainTime/2, renewalTime),
		removedAt: f.tables[f.opt.Tables[1]].DeletedAt,
	}
}

// retention says how long targets that disappear are retained. Without an outage, it counts from the time at which they can
// have been removed: entries that learn of it late would otherwise send to targets that have ended.
type retention struct {
	time time.Duration
	// removedAt returns the earliest time at which a target can have been removed; ok is false if it is not known. The function
	// is nil if the time counts from now on.
	removedAt func(target string) (at time.Time, ok bool)
}

// until returns the time until which a target that has just disappeared is retained.
func (r retention) until(now time.Time, target string) time.Time {
	if r.removedAt != nil {
		if at, ok := r.removedAt(target); ok {
			now = at
		}
	}
	return now.Add(r.time)
}

// retainLapsed adds to the next state the targets that disappeared together with many others since the former state,
// for as long as they may come back. Otherwise all calls would be refused for two seconds after a registry outage in which
// registrations lapse. It returns the time until the next check, or zero if no target is retained.
func retainLapsed(now time.Time, former, next *State, r retention) time.Duration {
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
	if r.time > 0 && n >= minLapsedTargets && float64(n) >= minLapsedFraction*float64(len(former.RegisteredTargets)) {
		for _, t := range vanished {
			if t.RetainedUntil = r.until(now, t.Name); now.Before(t.RetainedUntil) {
				retained = append(retained, t)
			}
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
