package entry

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"skylarkbeam/outcome"
	"skylarkbeam/route"
	"skylarkbeam/setting"
	"skylarkbeam/share"
	"skylarkbeam/target"
)

const (
	// quotaRaise is how long a higher probe quota waits for the other entries to lower theirs: the limit within which a
	// change is in force everywhere.
	quotaRaise = 16 * time.Second
	// silenceFloor is the shortest time that an idempotent call waits for the first byte on a reused connection.
	silenceFloor = 100 * time.Millisecond
	// silenceFactor is that time in multiples of the usual work of the service.
	silenceFactor = 10
	// probeSpan is the time over which the budget of load reads of registered targets is an average. While calls wait,
	// load is read more often than in between.
	probeSpan = 10 * time.Second
	// spareSharers is the number of entries beyond the even number that may read the load of a target.
	spareSharers = 2
	// evenShare is the share of each caller where the settings know no callers.
	evenShare = 0.05
)

// view is what an entry derives from one version of the accepted state. It is immutable; its parts have locks of their
// own and are carried over from one view to the next.
type view struct {
	version  uint64
	settings *setting.Settings
	services map[string]*service
	pools    map[string]*pool
	paths    setting.PathIndex
	// entries is the number of entries that share budgets.
	entries int
	// registered says that targets register themselves, so that the settings name none.
	registered bool
	routes     setting.RouteIndex
	// promises holds what callers are owed, by route.
	promises map[string]*routed
}

// service is one service at this entry.
type service struct {
	name      string
	spec      setting.Service
	scheduler *share.Scheduler
	// line replaces the scheduler for a service whose targets are registered.
	line *line
	// adjusted is when the scheduler last got its capacity, in nanoseconds since the start of the process; active that there
	// were calls since then.
	adjusted atomic.Int64
	active   atomic.Bool
}

// pool is the connection pool of a target with the settings it was made from.
type pool struct {
	*target.Pool
	opts poolOptions
}

// poolOptions are what a pool depends on.
type poolOptions struct {
	address     netip.AddrPort
	instance    string
	connections int
	silence     time.Duration
	load        string
}

// contact tells whether new work may be sent now. It first puts a state that has just arrived in force: contact that
// was regained by hearing of a drain must not let a call through to what was drained.
func (e *Entry) contact(now time.Time) bool {
	if !e.fleet.CanServe(now) {
		return false
	}
	if e.fleet.State().Version != e.view.Load().version {
		e.refresh()
	}
	return true
}

// refresh derives a new view if the accepted state is newer than the present one.
func (e *Entry) refresh() {
	e.refreshing.Lock()
	defer e.refreshing.Unlock()
	state := e.fleet.State()
	old := e.view.Load()
	if state.Settings == nil && state.ParsedSettings == nil || old.settings != nil && state.Version == old.version {
		return
	}
	settings := state.ParsedSettings
	if settings == nil {
		var err error
		if settings, err = setting.Parse(state.Settings); err != nil {
			// Entries check settings before they accept them, so this takes a newer program that accepts more.
			e.log.Error("accepted settings cannot be read", zap.Uint64("version", state.Version), zap.Error(err))
			return
		}
	}
	now := e.timers.Now()
	next := &view{
		version:  state.Version,
		settings: settings,
		services: map[string]*service{},
		pools:    map[string]*pool{},
		paths:    settings.PathIndex(),
		entries:  e.entries(settings),

		registered: state.ParsedSettings != nil,
	}
	var targets []route.Target
	for name, spec := range settings.Services {
		next.services[name] = e.service(old, name, spec)
		for targetName, t := range spec.Targets {
			next.pools[targetName] = e.pool(now, old, next, name, targetName, len(spec.Targets), poolOptions{
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
	targets = append(targets, e.registered(now, state, old, next)...)
	next.route(old)
	e.fleet.SetContactPolicy(time.Duration(settings.Limits.Contact), settings.Limits.Isolation == setting.IsolationServe)
	e.table.SetRetryRatio(settings.Limits.Retries)
	e.table.SetRetryBudget(time.Duration(settings.Limits.Window), settings.Limits.Slack)
	e.table.SetEntries(next.entries)
	e.table.SetTargets(now, targets)
	for name := range next.pools {
		warm, fallen := e.fleet.WarmFacts(name)
		e.table.SetWarm(now, name, warm.Instance, warm.Falls)
		for _, f := range fallen {
			e.table.SetColdTransitions(now, name, f.Instance, f.Falls)
		}
	}
	e.view.Store(next)
	for name, p := range old.pools {
		if next.pools[name] != p {
			p.Close()
		}
	}
	for _, s := range next.services {
		e.adjust(now, s)
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

func (e *Entry) service(old *view, name string, spec setting.Service) *service {
	s := &service{
		name: name,
		spec: spec,
	}
	if have := old.services[name]; have != nil {
		s.scheduler, s.line = have.scheduler, have.line
		return s
	}
	s.line = newLine(name)
	waiting := s.line
	e.counters.watch(name,
		func() float64 { return float64(e.table.Inflight(name)) },
		func() float64 { return float64(waiting.Len()) })
	s.scheduler = share.New(share.Options{
		Share:       e.share,
		ServiceTime: time.Duration(spec.Work),
		Now:         e.timers.Now,
	})
	return s
}

// share returns the fraction of a service's capacity that is owed to a caller.
func (e *Entry) share(caller string) float64 {
	settings := e.view.Load().settings
	if settings == nil {
		return 0
	}
	if len(settings.Callers) == 0 {
		return evenShare
	}
	return settings.Classes[settings.Callers[caller].Class].Share
}

// pool returns the connection pool to a target, one of so many of its service. The options have what is known of the target
// alone.
func (e *Entry) pool(now time.Time, old, next *view, serviceName, name string, targets int, opts poolOptions) *pool {
	spec := next.settings.Services[serviceName]
	entries := next.entries
	opts.connections = max(spec.Connections/entries, 1)
	opts.silence = max(silenceFactor*time.Duration(spec.Work), silenceFloor)
	if opts.instance != "" {
		// Its load is read before each call, which shows a silent connection.
		opts.silence = -1
	}
	opts.load = spec.Load
	sharers := entries
	if opts.instance != "" {
		sharers = min(entries, entries*route.ApertureSize/max(targets, 1)+spareSharers)
	}
	budget := e.budget(now, name, max(spec.Probes/sharers, 1), opts.instance != "")
	if have := old.pools[name]; have != nil && have.opts == opts {
		return have
	}
	return &pool{
		Pool: target.New(target.Options{
			Name:             name,
			Address:          opts.address,
			Protocol:         e.protocol.TargetProtocol(),
			LoadPath:         opts.load,
			MaxConnections:   opts.connections,
			ProbeBudget:      budget,
			Timers:           e.timers,
			FirstByteTimeout: opts.silence,
			OnReport:         func(r outcome.Report) { e.reported(name, r) },
			MayRetry:         func() bool { return e.table.SpendRetry(e.timers.Now(), serviceName) },
			OnRetry:          e.counters.CountRetry,
			OnDialError:      func(err error) { e.traceDialFailed("target", name, err) },
		}),
		opts: opts,
	}
}

// budget returns the probe budget of a target, which outlives its pools. For a registered target the platform bounds the
// average over a long time, so a process need not allow for its predecessor, nor wait until others use less. Targets register
// one after the other, and each changes the quotas of all.
func (e *Entry) budget(now time.Time, name string, quota int, registered bool) *target.ProbeBudget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budgets[name]
	if b == nil {
		if registered {
			b = target.NewAverageProbeBudget(quota, probeSpan)
		} else {
			b = target.NewProbeBudget(quota, e.started)
		}
		b.SetGate(e.mayProbe)
		e.budgets[name] = b
		return b
	}
	if registered {
		b.SetQuota(quota, now)
	} else {
		b.SetQuota(quota, now.Add(quotaRaise))
	}
	return b
}

// mayProbe tells whether the entry may use its part of the probe budgets now.
func (e *Entry) mayProbe(now time.Time) bool {
	if !e.fleet.CanServe(now) || !e.fleet.CanProbe(now) {
		return false
	}
	e.counters.probes.Inc()
	return true
}

// reported takes note of reports that come with connection checks and load reads.
func (e *Entry) reported(name string, r outcome.Report) {
	e.notify(e.table.Observe(e.timers.Now(), name, r))
}

// adjustInterval is how often a service gets its capacity anew while calls end.
const adjustInterval = 10 * time.Millisecond

// adjust tells the scheduler of a service how many calls this entry should have in flight, and refuses waiting calls that
// are too late.
func (e *Entry) adjust(now time.Time, s *service) {
	s.adjusted.Store(int64(now.Sub(e.started)))
	window, total := e.table.Capacity(now, s.name, s.scheduler.Demand(now))
	s.scheduler.SetCapacity(now, window, total)
	s.scheduler.Expire(now)
}

// adjustSoon adjusts a service whose call has ended, unless that was done just before. A timer for that would wake an idle
// entry 100 times a second, which took 1% of a core.
func (e *Entry) adjustSoon(now time.Time, s *service) {
	s.active.Store(true)
	last, present := s.adjusted.Load(), int64(now.Sub(e.started))
	if present-last >= int64(adjustInterval) && s.adjusted.CompareAndSwap(last, present) {
		e.adjust(now, s)
	}
}

// adjustAll adjusts the services that had calls since the last time, and every service once a second.
func (e *Entry) adjustAll() {
	now := e.timers.Now()
	for _, s := range e.view.Load().services {
		if s.active.Swap(false) || int64(now.Sub(e.started))-s.adjusted.Load() >= int64(time.Second) {
			e.adjust(now, s)
		}
	}
}
