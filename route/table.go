// Package route selects the target for a call.
//
// A Table holds what one entry knows of all targets: phase, instance, calls in flight, latency, failures and the last
// load report. It decides where a call may go, how many calls a target gets, and whether a call may be retried or
// hedged. It starts no goroutine, opens no socket and reads no clock: time is passed in, so a benchmark can drive it
// with simulated time. All methods are safe for concurrent use; each service has its own lock.
//
// # Usage
//
//	table := route.New(route.Options{
//		Entries: 6,
//		Seed:    1,
//	})
//	table.SetTargets(now, targets)
//	table.SetLeaseFunc(fleet.Owns)
//	table.SetRankFunc(fleet.Rank)
//	permit, reason := table.Pick(now, "stock", route.Query{})
//	if permit == nil {
//		return refuse(reason)
//	}
//	o := send(permit.Address, permit.Instance, permit.LeaseEnd)
//	switch e := permit.Done(now, result(o)).(type) {
//	case route.ColdDetected:
//		notifyOwner(e.Target, e.Instance)
//		notifyAll(e.Target, e.PreviousInstance, e.ColdTransitions)
//	case route.Warmed:
//		announce(e.Target, e.Instance, e.ColdTransitions)
//	}
//
// A call that was not run may be sent again with Retry. A second attempt of a slow idempotent call may be sent with
// Hedge after the time that HedgeDelay returns. Both use the same retry budget, by default a tenth of the first
// attempts.
package route

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"skylarkbeam/outcome"
)

// drainedRetryAfter is the retry delay for a service without targets in service. Operators need at least seconds to put
// one back.
const drainedRetryAfter = 5 * time.Second

// Options configures a Table. Zero values select the defaults.
type Options struct {
	// Entries is the number of entries that send to the same targets.
	Entries int
	// Seed makes the random choices reproducible.
	Seed uint64
	// Domain is the failure domain of the entry.
	Domain string
	// Started is the start time of the process.
	Started time.Time
}

// LeaseFunc reports whether this entry holds the ownership lease of a cold target, and when the lease ends.
type LeaseFunc func(now time.Time, target string) (until time.Time, owned bool)

// Table holds the state of all targets as seen by one entry.
type Table struct {
	entries    atomic.Int64
	retryRatio atomic.Uint64 // bits of the ratio of retries to first attempts
	lease      atomic.Pointer[LeaseFunc]
	rank       atomic.Pointer[RankFunc]
	view       atomic.Pointer[view]

	mu    sync.Mutex // serializes changes of view
	seeds *rand.Rand
	// policies holds the policies for versions by service.
	policies map[string]VersionPolicy
	// retained holds what targets have said that were removed, by name.
	retained map[string]retainedStatements

	// domain is the failure domain of this entry, position its position among the entries there.
	domain   string
	position atomic.Pointer[entryPosition]
	// started is the start time of the process.
	started time.Time
	// retryWindow and retrySlack are the parameters of the retry budget; see SetRetryBudget.
	retryWindow atomic.Int64
	retrySlack  atomic.Uint64
}

// view is immutable. The services and targets in it have their own locks.
type view struct {
	services map[string]*service
	targets  map[string]*target
}

// New returns a Table without targets.
func New(o Options) *Table {
	t := &Table{
		domain:   o.Domain,
		started:  o.Started,
		retained: map[string]retainedStatements{},
		seeds:    rand.New(rand.NewPCG(o.Seed, 0x9e3779b97f4a7c15)),
	}
	t.position.Store(&entryPosition{
		count: 1,
	})
	t.SetEntries(max(o.Entries, 1))
	t.SetRetryRatio(defaultRetryRatio)
	t.SetRankFunc(func(time.Time, string, string) (rank, entries int) { return 0, int(t.entries.Load()) })
	t.SetLeaseFunc(func(time.Time, string) (time.Time, bool) { return time.Time{}, false })
	t.view.Store(&view{
		services: map[string]*service{},
		targets:  map[string]*target{},
	})
	return t
}

// SetEntries sets the number of entries that send to the same targets.
func (t *Table) SetEntries(n int) {
	t.entries.Store(int64(max(n, 1)))
}

// SetRetryRatio sets the ratio of retries and hedges to first attempts, from 0 to 1. The default is 0.1.
func (t *Table) SetRetryRatio(ratio float64) {
	t.retryRatio.Store(math.Float64bits(min(max(ratio, 0), 1)))
}

// SetRetryBudget counts the retry budget over a sliding window, in which all entries together may make slack retries
// beyond the ratio. If slack is 0, each first attempt earns a part of a retry instead.
func (t *Table) SetRetryBudget(window time.Duration, slack float64) {
	t.retryWindow.Store(int64(window))
	t.retrySlack.Store(math.Float64bits(slack))
}

// SetLeaseFunc sets the function that grants ownership of cold targets. It is called with a lock held, so it must
// neither block nor call the Table.
func (t *Table) SetLeaseFunc(lease LeaseFunc) {
	t.lease.Store(&lease)
}

// SetRankFunc sets the function that ranks the entries as senders of a target with a limit. It is called with a lock
// held, so it must neither block nor call the Table.
func (t *Table) SetRankFunc(rank RankFunc) {
	t.rank.Store(&rank)
}

// SetTargets replaces the targets. A target keeps its state if its name, service and address are unchanged. A target
// that is no longer drained goes through slow start.
func (t *Table) SetTargets(now time.Time, targets []Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.view.Load()
	next := &view{
		services: map[string]*service{},
		targets:  make(map[string]*target, len(targets)),
	}
	byService := map[*service][]*target{}
	for _, spec := range targets {
		s := t.place(now, old, next, spec)
		byService[s] = append(byService[s], next.targets[spec.Name])
	}
	for s, members := range byService {
		s.setTargets(members)
	}
	for name, current := range old.targets {
		if next.targets[name] == nil {
			t.retainStatements(now, current)
		}
	}
	t.view.Store(next)
}

// UpdateTargets adds and changes targets and removes others, like SetTargets with the whole list. It takes far less time
// if most targets stay as they are.
func (t *Table) UpdateTargets(now time.Time, changed []Target, removed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.view.Load()
	next := &view{
		services: maps.Clone(old.services),
		targets:  maps.Clone(old.targets),
	}
	byService := map[*service][]*target{}
	for _, name := range removed {
		if current := old.targets[name]; current != nil {
			byService[current.service] = nil
			delete(next.targets, name)
			t.retainStatements(now, current)
		}
	}
	for _, spec := range changed {
		if current := old.targets[spec.Name]; current != nil {
			byService[current.service] = nil
		}
		byService[t.place(now, old, next, spec)] = nil
	}
	for _, current := range next.targets {
		if members, ok := byService[current.service]; ok {
			byService[current.service] = append(members, current)
		}
	}
	for s, members := range byService {
		if len(members) == 0 {
			delete(next.services, s.name)
			continue
		}
		s.setTargets(members)
	}
	t.view.Store(next)
}

// place adds a target to the next view and returns its service. The caller holds the lock.
func (t *Table) place(now time.Time, old, next *view, spec Target) *service {
	s := next.services[spec.Service]
	if s == nil {
		s = old.services[spec.Service]
		if s == nil {
			s = newService(t, spec.Service, now, t.seeds.Uint64())
			s.versions.policy = t.policies[spec.Service]
		}
		next.services[spec.Service] = s
	}
	current := old.targets[spec.Name]
	if current == nil || current.service != s || current.Address != spec.Address {
		former := current
		current = newTarget(s, spec)
		t.recallStatements(now, former, current)
	}
	s.mu.Lock()
	current.setSpec(now, spec)
	s.mu.Unlock()
	next.targets[spec.Name] = current
	return s
}

// SetWarm records that this instance of the target has completed its cold start after the given number of cold
// transitions. This fact never becomes false. A target that was cold for this entry goes through slow start. Facts
// about targets that are not in the Table yet are lost, so all known facts must be set again after SetTargets has added
// targets.
func (t *Table) SetWarm(now time.Time, name, instance string, coldTransitions int) {
	tgt := t.view.Load().targets[name]
	if tgt == nil || instance == "" {
		return
	}
	tgt.service.mu.Lock()
	defer tgt.service.mu.Unlock()
	tgt.setWarm(now, instance, coldTransitions)
}

// ObserveInstance records that another entry has seen this instance of the target, so that the owner learns of a cold
// transition. An instance that is known to have been replaced is ignored.
func (t *Table) ObserveInstance(now time.Time, name, instance string) {
	tgt := t.view.Load().targets[name]
	if tgt == nil || instance == "" {
		return
	}
	tgt.service.mu.Lock()
	defer tgt.service.mu.Unlock()
	if !slices.Contains(tgt.pastInstances[:], instance) {
		tgt.applyReport(now, now, outcome.Report{
			Instance: instance,
		}, false)
	}
}

// SetColdTransitions records that this instance of the target was warm, but has turned cold again or has ended. The
// number of cold transitions includes this one. This fact never becomes false.
func (t *Table) SetColdTransitions(now time.Time, name, instance string, coldTransitions int) {
	tgt := t.view.Load().targets[name]
	if tgt == nil || instance == "" {
		return
	}
	tgt.service.mu.Lock()
	defer tgt.service.mu.Unlock()
	tgt.setColdTransitions(now, instance, coldTransitions)
}

// Status is the state of a target as seen by this entry.
type Status struct {
	Target   string
	Service  string
	Instance string
	// Warm means that the instance is known to be warm.
	Warm bool
	// InService means that the target may get new calls at all.
	InService bool
	// EjectedUntil is when the target is tried again after failures; zero if it is not ejected.
	EjectedUntil time.Time
	// Unreachable means that a registered target did not answer its last load reads.
	Unreachable bool
	// Paused means that the target wants nothing from this entry for now.
	Paused bool
	// Held means that the target gets no calls because of its version, unless the trial of a roll-out sends it some.
	Held bool
	// Limited means that the target limits the rate of its calls to LimitRate per second, over all entries.
	Limited   bool
	LimitRate float64
	Inflight  int
	Limit     int
	Latency   time.Duration
}

// Status returns the state of all targets, sorted by name.
func (t *Table) Status(now time.Time) []Status {
	var list []Status
	for _, tgt := range t.view.Load().targets {
		tgt.service.mu.Lock()
		list = append(list, tgt.status(now))
		tgt.service.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.Target, b.Target) })
	return list
}

func (t *target) status(now time.Time) Status {
	s := Status{
		Target:      t.Name,
		Service:     t.Service,
		Instance:    t.instance,
		Warm:        t.isWarm(),
		InService:   t.inService(),
		Unreachable: t.failedReads > 0,
		Paused:      t.paused(now),
		Held:        t.held,
		Limited:     t.limited,
		LimitRate:   t.limitRate,
		Inflight:    t.inflight,
		Limit:       t.concurrencyLimit(),
		Latency:     time.Duration(t.currentLatency(now)),
	}
	if now.Before(t.ejectedUntil) {
		s.EjectedUntil = t.ejectedUntil
	}
	return s
}

// SetLeaving stops new calls to the target until its instance changes.
func (t *Table) SetLeaving(name string) {
	tgt := t.view.Load().targets[name]
	if tgt == nil {
		return
	}
	tgt.service.mu.Lock()
	defer tgt.service.mu.Unlock()
	tgt.leaving = true
}

// Observe records a report returned by a load read or a connection check. Its load can be stale; its instance is that
// of the process that answered.
func (t *Table) Observe(now time.Time, name string, report outcome.Report) Event {
	tgt := t.view.Load().targets[name]
	if tgt == nil {
		return nil
	}
	tgt.service.mu.Lock()
	defer tgt.service.mu.Unlock()
	e := tgt.applyReport(now, now, report, false)
	if report.Instance == tgt.instance {
		tgt.setLoad(now, report)
		if changed := tgt.applyStatements(now, report); e == nil {
			e = changed
		}
	}
	if e != nil || tgt.registered() || tgt.isWarm() || tgt.ColdConcurrency <= 0 {
		return e
	}
	// The cold start of a target without calls ends by time alone, under the same conditions.
	if _, owned := tgt.acquireLease(now); owned {
		e = tgt.completeWarmup(now, report)
	}
	return e
}

// Query describes the call for which a target is selected.
type Query struct {
	// Tried lists the targets that already had an attempt of this call.
	Tried []string
	// Idempotent calls may be hedged, and are the first to try targets that were slow or failed.
	Idempotent bool
	// Redispatch means that an earlier attempt of the call ended before anything was sent. Another attempt is no
	// additional load, so it neither uses nor adds to the retry budget.
	Redispatch bool
	// FromRetry means that the call stems from a hedge or retry of an upstream entry. It is not a first attempt, so it
	// adds nothing to the retry budget.
	FromRetry bool
	// Bulk means that the response is large, so that its bytes between failure domains matter.
	Bulk bool
	// Kind groups calls that usually take equally long, such as those of a route. It is empty if unknown.
	Kind string
	// LatencyObjective is the time within which a response has its full value; zero if there is no objective.
	LatencyObjective time.Duration
	// TimeToSoftDeadline is the time left to meet the latency objective. It is negative once the soft deadline has
	// passed, and zero if there is no objective.
	TimeToSoftDeadline time.Duration
	// TimeToDeadline is the time left until the deadline.
	TimeToDeadline time.Duration
	// BodySize is the length of the request body in bytes.
	BodySize int
}

// Pick selects the target for the first attempt of a call. Without a permit, the reason is UnknownService, Drained,
// Cold, RateLimited, Paused or QueueFull.
func (t *Table) Pick(now time.Time, service string, q Query) (*Permit, outcome.Reason) {
	s := t.view.Load().services[service]
	if s == nil {
		return nil, outcome.UnknownService
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, reason := s.pick(now, q, false)
	if p != nil && !q.Redispatch && !q.FromRetry {
		s.recordRequest(q)
		s.budget.deposit(now, t.budgetConfig(now))
	}
	return p, reason
}

// RetryAfter estimates when a call that Pick refused for the given reason may find a target; zero if unknown.
func (t *Table) RetryAfter(now time.Time, service string, reason outcome.Reason) time.Duration {
	s := t.view.Load().services[service]
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch reason {
	case outcome.QueueFull:
		return time.Duration(s.meanLatency)
	case outcome.Cold:
		shortest := time.Duration(0)
		for _, tgt := range s.targets {
			if tgt.inService() && (shortest == 0 || tgt.MinColdDuration < shortest) {
				shortest = tgt.MinColdDuration
			}
		}
		return shortest
	case outcome.Paused:
		return s.pausedRetryAfter(now)
	case outcome.RateLimited:
		return s.limitedRetryAfter(now)
	case outcome.Drained:
		return drainedRetryAfter
	}
	return 0
}

// Retry selects another target for a call whose earlier attempt was not run, or may be run again. It returns nil if the
// budget or the targets allow no further attempt. A target that was tried is selected only if there is no other.
func (t *Table) Retry(now time.Time, service string, q Query) *Permit {
	return t.retryOrHedge(now, service, q, false, true)
}

// Hedge selects another target with spare capacity for a second attempt while the first one is still in flight. It
// returns nil if the call is not idempotent, or if the budget or the targets do not allow it at the moment; the caller
// may ask again after another HedgeDelay.
func (t *Table) Hedge(now time.Time, service string, q Query) *Permit {
	if !q.Idempotent {
		return nil
	}
	return t.retryOrHedge(now, service, q, true, false)
}

func (t *Table) retryOrHedge(now time.Time, service string, q Query, hedge, reserve bool) *Permit {
	s := t.view.Load().services[service]
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budget.allows(now, t.budgetConfig(now), !reserve) {
		return nil
	}
	p, _ := s.pick(now, q, hedge)
	if p != nil {
		s.budget.withdraw(now, t.budgetConfig(now))
	}
	return p
}

// SpendRetry takes one retry from the budget of the service, for a retry whose target is not selected by this package.
// It returns false if the budget allows none.
func (t *Table) SpendRetry(now time.Time, service string) bool {
	s := t.view.Load().services[service]
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budget.allows(now, t.budgetConfig(now), false) {
		return false
	}
	s.budget.withdraw(now, t.budgetConfig(now))
	return true
}

// Inflight returns the number of calls of this entry at the targets of a service.
func (t *Table) Inflight(service string) int {
	s := t.view.Load().services[service]
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inflight
}

// unmeasuredHedgeFactor is the latency, relative to the expected one, above which an attempt counts as slow while too
// few calls have been measured. With the usual deviation of latencies, one call in a thousand takes as long.
const unmeasuredHedgeFactor = 3

// HedgeDelay returns the time after which an attempt counts as slow: the 95th percentile of the latency of the service,
// or a multiple of the expected latency of the attempt until enough calls have been measured. It returns false if
// neither is known. The estimate answers targets that never answer at entries with few calls: at two calls a second,
// measuring takes 25 s after each start, and a call that hung in this time was lost.
func (t *Table) HedgeDelay(service string, attempt Estimate) (time.Duration, bool) {
	s := t.view.Load().services[service]
	if s == nil {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if delay, ok := s.latencies.quantile(0.95); ok {
		return delay, true
	}
	return unmeasuredHedgeFactor * max(attempt.ExpectedLatency, minExpectedLatency), attempt.ExpectedLatency > 0
}

// Capacity returns the number of calls that this entry should have in flight at the targets of the service, and the
// number of slots of all targets in use. Demand is the number of slots that the callers of this entry want, up to their
// shares. The window adapts to the load from other entries and is at least 1.
func (t *Table) Capacity(now time.Time, service string, demand float64) (window, total float64) {
	s := t.view.Load().services[service]
	if s == nil {
		return 1, 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacity(now, demand)
}
