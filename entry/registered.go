package entry

import (
	"maps"
	"math"
	"slices"
	"time"

	"skylarkbeam/fleet"
	"skylarkbeam/route"
	"skylarkbeam/setting"
)

// entryCountTolerance is the fraction by which the number of known members may differ from the number by which budgets
// are divided. The shares of a budget leave room for as much, and each new division concerns all targets.
const entryCountTolerance = 0.1

// applyRegisteredTargets derives the pools of the registered targets and updates the table. If only targets have come,
// changed or gone since the old snapshot, it handles only these: in a deployment of 900 targets, several change each
// second for much of a day. It returns the pools that are no longer used.
func (e *Entry) applyRegisteredTargets(now time.Time, state *fleet.State, old, next *snapshot) (unused []*pool) {
	next.registeredTargets, next.drainedDomains = state.RegisteredTargets, state.DrainedDomains
	next.targetCounts = map[string]int{}
	for _, t := range state.RegisteredTargets {
		next.targetCounts[t.Service]++
	}
	incremental := next.dividesBudgetsLike(old) && slices.Equal(old.drainedDomains, next.drainedDomains)
	var changed []fleet.RegisteredTarget
	var removed []string
	if incremental {
		changed, removed = diffTargets(old.registeredTargets, next.registeredTargets)
		next.pools = maps.Clone(old.pools)
	} else {
		changed, removed = next.registeredTargets, slices.Collect(maps.Keys(old.pools))
	}
	for _, name := range removed {
		delete(next.pools, name)
	}
	var specs []route.Target
	for _, t := range changed {
		if spec, ok := e.registeredTarget(next, t); ok {
			next.pools[t.Name] = e.derivePool(now, old, next, t.Service, t.Name, next.targetCounts[t.Service], poolOptions{
				address:  t.Address,
				instance: t.Instance,
			})
			specs = append(specs, spec)
		} else {
			delete(next.pools, t.Name)
			removed = append(removed, t.Name)
		}
	}
	if incremental {
		e.table.UpdateTargets(now, specs, removed)
	} else {
		e.table.SetTargets(now, specs)
	}
	for _, t := range changed {
		removed = append(removed, t.Name)
	}
	for _, name := range removed {
		if p := old.pools[name]; p != nil && next.pools[name] != p {
			unused = append(unused, p)
		}
	}
	return unused
}

// registeredTarget returns the description of a registered target for the table. ok is false if the settings do not have
// its service.
func (e *Entry) registeredTarget(next *snapshot, t fleet.RegisteredTarget) (spec route.Target, ok bool) {
	service, ok := next.settings.Services[t.Service]
	return route.Target{
		Name:            t.Name,
		Service:         t.Service,
		Domain:          t.Domain,
		Address:         t.Address,
		Slots:           firstPositive(t.Slots, service.Slots),
		ColdConcurrency: service.Cold.Bear,
		MinColdDuration: time.Duration(service.Cold.Time),
		Drained:         slices.Contains(next.drainedDomains, t.Domain),
		Instance:        t.Instance,
		StartedAt:       t.StartedAt,
		ColdUntil:       t.ColdUntil,
		ColdRate:        service.Cold.Rate,
		Leaving:         t.Leaving,
		Version:         t.Version,
	}, ok
}

// dividesBudgetsLike reports whether targets that are the same in both snapshots have the same budgets and options.
func (snap *snapshot) dividesBudgetsLike(old *snapshot) bool {
	if !old.registered || old.settings != snap.settings || old.entries != snap.entries {
		return false
	}
	for service, n := range snap.targetCounts {
		if loadReaders(snap.entries, n) != loadReaders(old.entries, old.targetCounts[service]) {
			return false
		}
	}
	return true
}

// loadReaders returns the number of entries that read the load of one target of a service with registered targets.
func loadReaders(entries, targets int) int {
	return min(entries, entries*route.ApertureSize/max(targets, 1)+extraLoadReaders)
}

// diffTargets compares two lists that are sorted by name. It returns the targets that are new or different in the
// second, and the names that it lacks.
func diffTargets(old, next []fleet.RegisteredTarget) (changed []fleet.RegisteredTarget, removed []string) {
	i := 0
	for _, t := range next {
		for i < len(old) && old[i].Name < t.Name {
			removed = append(removed, old[i].Name)
			i++
		}
		if i < len(old) && old[i].Name == t.Name {
			i++
			if old[i-1] == t {
				continue
			}
		}
		changed = append(changed, t)
	}
	for _, t := range old[i:] {
		removed = append(removed, t.Name)
	}
	return changed, removed
}

// entryCount returns the number of entries that share budgets: those in the settings, or the known members if the
// settings name none. It keeps the number in use while that is about right.
func (e *Entry) entryCount(settings *setting.Settings, inUse int) int {
	if len(settings.Entries) > 0 {
		return len(settings.Entries)
	}
	n := max(len(e.fleet.Members()), 1)
	if math.Abs(float64(n-inUse)) <= entryCountTolerance*float64(n) {
		return inUse
	}
	return n
}

// divideBudgets divides the budgets anew if the number of entries has changed since the last snapshot.
func (e *Entry) divideBudgets() {
	snap := e.snapshot.Load()
	if snap.registered && e.entryCount(snap.settings, snap.entries) != snap.entries {
		e.deriveSnapshot(true)
	}
}
