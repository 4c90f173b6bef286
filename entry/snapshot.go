package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"skylarkbeam/fleet"
	"skylarkbeam/outcome"
	"skylarkbeam/route"
	"skylarkbeam/setting"
	"skylarkbeam/share"
	"skylarkbeam/workspace"
)

// defaultShare is the share of each caller if the settings name no callers.
const defaultShare = 0.05

// snapshot is the configuration derived from one version of the accepted state. It is immutable. Its parts have their
// own locks and are carried over from one snapshot to the next.
type snapshot struct {
	version  uint64
	settings *setting.Settings
	services map[string]*service
	pools    map[string]*pool
	paths    setting.PathIndex
	// entries is the number of entries that share budgets.
	entries int
	// registered is set if targets register themselves and the settings name none. The snapshot was then derived from
	// registeredTargets, of which each service has targetCounts, and drainedDomains.
	registered        bool
	registeredTargets []fleet.RegisteredTarget
	targetCounts      map[string]int
	drainedDomains    []string
	routes            setting.RouteIndex
	// workspaces is nil if requests need no key.
	workspaces *workspace.Index
	// limitedWorkspaces are the sorted names of those with a rate.
	limitedWorkspaces []string
	// routeStates holds the state of each route by name.
	routeStates map[string]*routeState
}

// service is the state of a service at this entry.
type service struct {
	name      string
	spec      setting.Service
	scheduler *share.Scheduler
	// queue replaces the scheduler for a service with registered targets.
	queue *serviceQueue
	// adjustedAt is when the capacity of the scheduler was last set, in nanoseconds since the start of the entry.
	// active is set if there were calls since then.
	adjustedAt atomic.Int64
	active     atomic.Bool
}

// dispatchRefusal returns the reason why no call may be dispatched now, or an empty reason. It first applies a state that
// has just arrived: an entry that regains contact by learning of a drain must not send a call to a drained target.
func (e *Entry) dispatchRefusal(now time.Time) outcome.Reason {
	if e.dispatchEnded(now) {
		return outcome.Leaving
	}
	if !e.fleet.CanServe(now) {
		return outcome.Isolated
	}
	if e.fleet.State().Version != e.snapshot.Load().version {
		e.refreshSnapshot()
	}
	return ""
}

// refreshSnapshot derives a new snapshot if the accepted state is newer than the current one.
func (e *Entry) refreshSnapshot() { e.deriveSnapshot(false) }

// deriveSnapshot derives a new snapshot if the accepted state is newer than the current one, or in any case if it is
// forced.
func (e *Entry) deriveSnapshot(force bool) {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	state := e.fleet.State()
	old := e.snapshot.Load()
	if state.Settings == nil && state.ParsedSettings == nil || old.settings != nil && state.Version == old.version && !force {
		return
	}
	settings := state.ParsedSettings
	if settings == nil {
		var err error
		if settings, err = setting.Parse(state.Settings); err != nil {
			// Entries validate settings before they accept them, so only a newer version of the program can have
			// accepted these.
			e.log.Error("accepted settings cannot be read", zap.Uint64("version", state.Version), zap.Error(err))
			return
		}
	}
	now := e.timers.Now()
	next := &snapshot{
		version:    state.Version,
		settings:   settings,
		services:   map[string]*service{},
		pools:      map[string]*pool{},
		entries:    e.entryCount(settings, old.entries),
		registered: state.ParsedSettings != nil,
	}
	var targets []route.Target
	for name, spec := range settings.Services {
		next.services[name] = e.deriveService(old, name, spec)
		for targetName, t := range spec.Targets {
			next.pools[targetName] = e.derivePool(now, old, next, name, targetName, len(spec.Targets), poolOptions{
				address: t.Address,
			})
			targets = append(targets, route.Target{
				Name:            targetName,
				Service:         name,
				Domain:          t.Domain,
				Address:         t.Address,
				Slots:           firstPositive(t.Slots, spec.Slots),
				ColdConcurrency: firstPositive(t.Bear, spec.Cold.Bear),
				MinColdDuration: time.Duration(spec.Cold.Time),
				Drained:         slices.Contains(state.DrainedDomains, t.Domain) || slices.Contains(state.DrainedTargets, targetName),
			})
		}
	}
	next.deriveRoutes(old)
	e.fleet.SetContactPolicy(time.Duration(settings.Limits.Contact), settings.Limits.Isolation == setting.IsolationServe)
	e.table.SetRetryRatio(settings.Limits.Retries)
	e.table.SetRetryBudget(time.Duration(settings.Limits.Window), settings.Limits.Slack)
	e.table.SetEntries(next.entries)
	if next.registered {
		e.rollouts.apply(now, state)
		unused := e.applyRegisteredTargets(now, state, old, next)
		e.storeSnapshot(next)
		closePools(unused)
		return
	}
	e.table.SetTargets(now, targets)
	for name := range next.pools {
		warm, coldTransitions := e.fleet.WarmFacts(name)
		e.table.SetWarm(now, name, warm.Instance, warm.Falls)
		for _, f := range coldTransitions {
			e.table.SetColdTransitions(now, name, f.Instance, f.Falls)
		}
	}
	e.storeSnapshot(next)
	for name, p := range old.pools {
		if next.pools[name] != p {
			p.Close()
		}
	}
	for _, s := range next.services {
		e.adjustCapacity(now, s)
	}
}

// settingsWait is how long after the start of the entry calls wait for its first settings, which usually takes less than
// 200 ms. Callers that are refused come back only after a second.
const settingsWait = time.Second

// awaitSettings returns the current snapshot. Right after the start of the entry it waits for the first one.
func (e *Entry) awaitSettings(ctx context.Context) *snapshot {
	snap := e.snapshot.Load()
	wait := settingsWait - e.timers.Now().Sub(e.started)
	if snap.settings != nil || wait <= 0 {
		return snap
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-e.haveSettings:
	case <-timeout.C:
	case <-ctx.Done():
	}
	return e.snapshot.Load()
}

// storeSnapshot puts a snapshot in force.
func (e *Entry) storeSnapshot(next *snapshot) {
	if e.snapshot.Swap(next).settings == nil {
		close(e.haveSettings)
	}
}

func closePools(pools []*pool) {
	for _, p := range pools {
		p.Close()
	}
}

func firstPositive(values ...int) int {
	for _, v := range values {
		if v > 0 {
			return v
		}
	}
	return 0
}

func (e *Entry) deriveService(old *snapshot, name string, spec setting.Service) *service {
	s := &service{
		name: name,
		spec: spec,
	}
	if prev := old.services[name]; prev != nil {
		s.scheduler, s.queue = prev.scheduler, prev.queue
		return s
	}
	s.queue = newServiceQueue(name)
	queue := s.queue
	e.metrics.registerServiceGauges(name,
		func() float64 { return float64(e.table.Inflight(name)) },
		func() float64 { return float64(queue.Len()) })
	s.scheduler = share.New(share.Options{
		Share:       e.callerShare,
		ServiceTime: time.Duration(spec.Work),
		Now:         e.timers.Now,
	})
	return s
}

// callerShare returns the guaranteed fraction of a service's capacity for a caller.
func (e *Entry) callerShare(caller string) float64 {
	settings := e.snapshot.Load().settings
	if settings == nil {
		return 0
	}
	if len(settings.Callers) == 0 {
		return defaultShare
	}
	return settings.Classes[settings.Callers[caller].Class].Share
}
