package entry

import (
	"net/netip"
	"time"

	"skylarkbeam/outcome"
	"skylarkbeam/target"
)

const (
	// quotaRaiseDelay is the delay before a raised probe quota takes effect. Within this time a change is in force
	// everywhere, so the other entries have lowered their quotas.
	quotaRaiseDelay = 16 * time.Second
	// minFirstByteTimeout is the minimum time that an idempotent call waits for the first byte on a reused
	// connection.
	minFirstByteTimeout = 100 * time.Millisecond
	// firstByteTimeoutFactor is that time in multiples of the usual service time.
	firstByteTimeoutFactor = 10
	// loadReadBudgetWindow is the averaging window of the load read budget of registered targets. Load is read more
	// often while calls wait, for which a burst of some seconds must not use up the budget.
	loadReadBudgetWindow = 30 * time.Second
	// extraLoadReaders is added to the average number of entries that read the load of one target.
	extraLoadReaders = 2
)

// pool is the connection pool of a target with the options it was created with.
type pool struct {
	*target.Pool
	opts poolOptions
}

// poolOptions are the settings that a pool depends on. When they change, the pool is replaced.
type poolOptions struct {
	address          netip.AddrPort
	instance         string
	firstByteTimeout time.Duration
	loadPath         string
}

// derivePool returns the connection pool of a target. targets is the number of targets of its service, and opts has
// the options that are specific to the target.
func (e *Entry) derivePool(
	now time.Time, old, next *snapshot, serviceName, name string, targets int, opts poolOptions,
) *pool {
	spec := next.settings.Services[serviceName]
	entries := next.entries
	maxConnections := max(spec.Connections/entries, 1)
	opts.firstByteTimeout = firstByteTimeout(spec)
	if opts.instance != "" {
		// Its load is read before each call, which detects an unresponsive connection.
		opts.firstByteTimeout = -1
	}
	opts.loadPath = spec.Load
	readers := entries
	if opts.instance != "" {
		readers = loadReaders(entries, targets)
	}
	budget := e.probeBudget(now, name, max(spec.Probes/readers, 1), opts.instance != "")
	if prev := old.pools[name]; prev != nil && prev.opts == opts {
		prev.SetMaxConnections(maxConnections)
		return prev
	}
	return &pool{
		Pool: target.New(target.Options{
			Name:             name,
			Address:          opts.address,
			Protocol:         e.protocol.TargetProtocol(),
			LoadPath:         opts.loadPath,
			MaxConnections:   maxConnections,
			ProbeBudget:      budget,
			Timers:           e.timers,
			Sockets:          e.sockets,
			FirstByteTimeout: opts.firstByteTimeout,
			OnReport:         func(r outcome.Report) { e.onReport(name, r) },
			MayRetry:         func() bool { return e.table.SpendRetry(e.timers.Now(), serviceName) },
			OnRetry:          e.metrics.CountRetry,
			OnDialError:      func(err error) { e.logDialError("target", name, err) },
		}),
		opts: opts,
	}
}

// probeBudget returns the probe budget of a target, which outlives its pools. For registered targets the platform
// limits the average over a long time, so a process neither allows for its predecessor nor waits until others use
// less. Targets register one after the other, and each registration changes the quotas of all.
func (e *Entry) probeBudget(now time.Time, name string, quota int, registered bool) *target.ProbeBudget {
	e.mu.Lock()
	defer e.mu.Unlock()
	budget := e.budgets[name]
	if budget == nil {
		if registered {
			budget = target.NewAverageProbeBudget(quota, loadReadBudgetWindow)
		} else {
			budget = target.NewProbeBudget(quota, e.started)
		}
		budget.SetGate(e.allowProbe)
		e.budgets[name] = budget
		return budget
	}
	if registered {
		budget.SetQuota(quota, now)
	} else {
		budget.SetQuota(quota, now.Add(quotaRaiseDelay))
	}
	return budget
}

// allowProbe reports whether the entry may use its part of the probe budgets now.
func (e *Entry) allowProbe(now time.Time) bool {
	if !e.fleet.CanServe(now) || !e.fleet.CanProbe(now) {
		return false
	}
	e.metrics.probes.Inc()
	return true
}

// onReport handles the reports received in connection checks and load reads.
func (e *Entry) onReport(name string, r outcome.Report) {
	e.handleTargetEvent(e.table.Observe(e.timers.Now(), name, r))
}
