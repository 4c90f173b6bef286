// Package route selects the target for a call.
//
// A Table holds what one entry knows of all targets: phase, instance, calls in flight, latency, failures and the last
// load report. It decides where a call may go, how many calls a target gets, and whether a call may be repeated or
// hedged. It has no goroutine, opens no socket and reads no clock: time is passed in, so a benchmark can drive it with
// simulated time. All methods are safe for concurrent use; each service has its own lock.
//
// # Usage
//
//	table := route.New(route.Options{
//		Entries: 6,
//		Seed:    1,
//	})
//	table.SetTargets(now, targets)
//	table.SetOwner(fleet.Owns)
//	permit, reason := table.Pick(now, "stock", route.Query{})
//	if permit == nil {
//		return refuse(reason)
//	}
//	o := send(permit.Address, permit.Instance, permit.Until)
//	switch e := permit.Done(now, result(o)).(type) {
//	case route.Fell:
//		notifyOwner(e.Target, e.Instance)
//		notifyAll(e.Target, e.Former, e.Falls)
//	case route.Warmed:
//		announce(e.Target, e.Instance, e.Falls)
//	}
//
// A call that was not run may be sent again with Repeat. A second attempt for a slow idempotent call may be sent with
// Hedge after the time that HedgeAfter returns. Both draw on one budget of a tenth of the first attempts.
package route

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"skylarkbeam/outcome"
)

// Target is what the settings and the accepted state say of a target.
type Target struct {
	Name    string
	Service string
	Domain  string
	Address netip.AddrPort
	// Slots is the number of calls that the target runs at once.
	Slots int
	// ColdConcurrency is the number of calls that the target can handle at once in its cold start, over all entries.
	ColdConcurrency int
	// MinColdDuration is the shortest duration of a cold start.
	MinColdDuration time.Duration
	// Drained means that the target or its failure domain is drained by operators.
	Drained bool

	// Instance is the process start that a registry names, empty for a target that is not registered. Entries learn the
	// instance of such a target, and whether it is warm, from its answers.
	Instance string
	// ColdUntil is until when the registry says that the instance is cold.
	ColdUntil time.Time
	// ColdRate is the number of calls a second that the registered target can handle while it is cold, over all entries.
	ColdRate float64
	// Leaving means that the registry says that the target is about to end.
	Leaving bool
}

// drainedRetry is when to come back to a service without targets in operation: operators need seconds at least.
const drainedRetry = 5 * time.Second

// Options configure a Table. Zero values select the defaults.
type Options struct {
	// Entries is the number of entries that send to the same targets.
	Entries int
	// Seed makes the random choices repeatable.
	Seed uint64
	// Domain is the failure domain of the entry.
	Domain string
	// Started is when the process started.
	Started time.Time
}

// LeaseFunc tells whether this entry may send to a cold target, and until when.
type LeaseFunc func(now time.Time, target string) (until time.Time, owned bool)

// Table holds the state of all targets as one entry sees it.
type Table struct {
	entries atomic.Int64
	repeats atomic.Uint64 // bits of the share of repeats in first attempts
	owner   atomic.Pointer[LeaseFunc]
	view    atomic.Pointer[view]

	mu   sync.Mutex // serializes changes of view
	seed *rand.Rand

	// domain is the failure domain of this entry, place its place among the entries there.
	domain string
	place  atomic.Pointer[place]
	// started is when the process started.
	started time.Time
	// window and slack are the budget of repeats over time; see SetBudget.
	window atomic.Int64
	slack  atomic.Uint64
}

// view is immutable; the services and targets in it have locks of their own.
type view struct {
	services map[string]*service
	targets  map[string]*target
}

// New returns a Table without targets.
func New(o Options) *Table {
	t := &Table{
		domain:  o.Domain,
		started: o.Started,
		seed:    rand.New(rand.NewPCG(o.Seed, 0x9e3779b97f4a7c15)),
	}
	t.place.Store(&place{
		count: 1,
	})
	t.SetEntries(max(o.Entries, 1))
	t.SetRetryRatio(repeatShare)
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

// SetRetryRatio sets the share of repeats and hedges in first attempts, from 0 to 1. The default is 0.1.
func (t *Table) SetRetryRatio(share float64) {
	t.repeats.Store(math.Float64bits(min(max(share, 0), 1)))
}

// SetRetryBudget counts the budget of repeats over a sliding window in which slack repeats of all entries together are allowed
// beyond the share. With no slack the budget is earned call by call.
func (t *Table) SetRetryBudget(window time.Duration, slack float64) {
	t.window.Store(int64(window))
	t.slack.Store(math.Float64bits(slack))
}

// SetLeaseFunc sets the function that grants ownership of cold targets. It is called with a lock held, so it must neither
// block nor call the Table.
func (t *Table) SetLeaseFunc(owner LeaseFunc) {
	t.owner.Store(&owner)
}

// SetTargets replaces the targets. A target keeps its state if its name, service and address are unchanged. A target
// that is no longer drained is joined gradually.
func (t *Table) SetTargets(now time.Time, targets []Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.view.Load()
	next := &view{
		services: map[string]*service{},
		targets:  make(map[string]*target, len(targets)),
	}
	members := map[*service][]*target{}
	for _, spec := range targets {
		s := next.services[spec.Service]
		if s == nil {
			s = old.services[spec.Service]
			if s == nil {
				s = newService(t, spec.Service, now, t.seed.Uint64())
			}
			next.services[spec.Service] = s
		}
		have := old.targets[spec.Name]
		if have == nil || have.service != s || have.Address != spec.Address {
			have = newTarget(s, spec)
		}
		s.mu.Lock()
		have.setSpec(now, spec)
		s.mu.Unlock()
		next.targets[spec.Name] = have
		members[s] = append(members[s], have)
	}
	for s, list := range members {
		s.setTargets(list)
	}
	t.view.Store(next)
}

// SetWarm records the fact that this instance of the target has finished its cold start, after it had fallen so often.
// Such a fact never becomes false. A target that was cold for this entry is joined gradually. Facts about targets that SetTargets has not named
// yet are lost, so all known facts must be set again after targets were added.
func (t *Table) SetWarm(now time.Time, name, instance string, falls int) {
	x := t.view.Load().targets[name]
	if x == nil || instance == "" {
		return
	}
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	x.setWarm(now, instance, falls)
}

// ObserveInstance records that another entry has seen this instance of the target, so that the owner learns of a fall. An
// instance that this entry has already seen replaced is ignored.
func (t *Table) ObserveInstance(now time.Time, name, instance string) {
	x := t.view.Load().targets[name]
	if x == nil || instance == "" {
		return
	}
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	if !slices.Contains(x.past[:], instance) {
		x.identify(now, now, outcome.Report{
			Instance: instance,
		}, false)
	}
}

// SetColdTransitions records the fact that this instance of the target was warm and is not any more, because it has fallen cold
// again or has ended. Falls is how often it has fallen with this. Such a fact never becomes false.
func (t *Table) SetColdTransitions(now time.Time, name, instance string, falls int) {
	x := t.view.Load().targets[name]
	if x == nil || instance == "" {
		return
	}
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	x.setFalls(now, instance, falls)
}

// Status is the state of a target as this entry sees it.
type Status struct {
	Target   string
	Service  string
	Instance string
	// Warm means that the instance is known to be warm, Operating that the target may get new work at all.
	Warm      bool
	InService bool
	// EjectedUntil is when the target is tried again after failures; zero if it is not ejected.
	EjectedUntil time.Time
	Inflight     int
	Limit        int
	Latency      time.Duration
}

// Status returns the state of all targets, sorted by name.
func (t *Table) Status(now time.Time) []Status {
	var list []Status
	for _, x := range t.view.Load().targets {
		x.service.mu.Lock()
		list = append(list, x.status(now))
		x.service.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.Target, b.Target) })
	return list
}

func (t *target) status(now time.Time) Status {
	s := Status{
		Target:    t.Name,
		Service:   t.Service,
		Instance:  t.instance,
		Warm:      t.isWarm(),
		InService: t.operating(),
		Inflight:  t.inflight,
		Limit:     t.allowed(),
		Latency:   time.Duration(t.currentLatency(now)),
	}
	if now.Before(t.ejected) {
		s.EjectedUntil = t.ejected
	}
	return s
}

// SetLeaving stops new work for the target until its instance changes.
func (t *Table) SetLeaving(name string) {
	x := t.view.Load().targets[name]
	if x == nil {
		return
	}
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	x.leaving = true
}

// Observe records a report that a load read or a connection check returned. The load in it can be old; the instance is
// that of the process that answered.
func (t *Table) Observe(now time.Time, name string, report outcome.Report) Event {
	x := t.view.Load().targets[name]
	if x == nil {
		return nil
	}
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	e := x.identify(now, now, report, false)
	if report.Instance == x.instance {
		x.setLoad(now, report)
	}
	if e != nil || x.registered() || x.isWarm() || x.ColdConcurrency <= 0 {
		return e
	}
	// The cold start of a target without calls ends by time alone, under the same conditions.
	if _, owned := x.own(now); owned {
		e = x.warmed(now, report)
	}
	return e
}

// Query describes the call for which a target is wanted.
type Query struct {
	// Tried names the targets that already had an attempt of this call.
	Tried []string
	// Idempotent calls may be hedged, and try targets that were slow or failed before others do.
	Idempotent bool
	// Redispatch says that the call had an attempt that ended before anything was sent. Another one is no additional load, so
	// it needs no budget and adds nothing to it.
	Redispatch bool
	// FromRetry says that the call descends from a hedge or a repeat of an entry further up. It is no first attempt, so it adds
	// nothing to the budget.
	FromRetry bool
	// Bulk says that the answer is large, so that its bytes between failure domains count.
	Bulk bool
	// Kind names calls that usually take equally long, such as those of a route; empty if nothing is known.
	Kind string
	// LatencyObjective is the time within which answers to calls of the kind are of full use, Left what is left of it; zero if there is
	// none. Left is negative if it has passed.
	LatencyObjective   time.Duration
	TimeToSoftDeadline time.Duration
	// TimeToDeadline is what is left until the deadline.
	TimeToDeadline time.Duration
	// BodySize is the length of the call's body in bytes.
	BodySize int
}

// Pick selects the target for the first attempt of a call. Without a permit, the reason is Service, Drained, Cold or
// Queue.
func (t *Table) Pick(now time.Time, service string, q Query) (*Permit, outcome.Reason) {
	s := t.view.Load().services[service]
	if s == nil {
		return nil, outcome.UnknownService
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p, reason := s.pick(now, q, false)
	if p != nil && !q.Redispatch && !q.FromRetry {
		s.budget.earn(now, t.budgetRule(now))
	}
	return p, reason
}

// RetryAfter estimates when a call that Pick refused for the reason may find a target; zero if that is not known.
func (t *Table) RetryAfter(service string, reason outcome.Reason) time.Duration {
	s := t.view.Load().services[service]
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch reason {
	case outcome.QueueFull:
		return time.Duration(s.latency)
	case outcome.Cold:
		shortest := time.Duration(0)
		for _, x := range s.targets {
			if x.operating() && (shortest == 0 || x.MinColdDuration < shortest) {
				shortest = x.MinColdDuration
			}
		}
		return shortest
	case outcome.Drained:
		return drainedRetry
	}
	return 0
}

// Retry selects another target for a call whose former attempt did not run, or may be run again. It returns nil if the
// budget or the targets allow no further attempt. A target that was tried is selected only if there is no other.
func (t *Table) Retry(now time.Time, service string, q Query) *Permit {
	return t.again(now, service, q, false)
}

// Hedge selects another target with free capacity for a second attempt while the first one is still in flight. It
// returns nil if the call is not idempotent or the budget or the targets do not allow it at the moment; it is worth
// asking again after another HedgeAfter.
func (t *Table) Hedge(now time.Time, service string, q Query) *Permit {
	if !q.Idempotent {
		return nil
	}
	return t.again(now, service, q, true)
}

func (t *Table) again(now time.Time, service string, q Query, hedge bool) *Permit {
	s := t.view.Load().services[service]
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budget.has(now, t.budgetRule(now), hedge) {
		return nil
	}
	p, _ := s.pick(now, q, hedge)
	if p != nil {
		s.budget.spend(now, t.budgetRule(now))
	}
	return p
}

// SpendRetry takes one repeat out of the budget of the service, for a repeat that is not selected here. It returns false if the
// budget allows none.
func (t *Table) SpendRetry(now time.Time, service string) bool {
	s := t.view.Load().services[service]
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budget.has(now, t.budgetRule(now), false) {
		return false
	}
	s.budget.spend(now, t.budgetRule(now))
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

// HedgeDelay returns the time after which an attempt is slower than usual: the 95th percentile of the latency of the
// service. It returns false until enough calls have been measured.
func (t *Table) HedgeDelay(service string) (time.Duration, bool) {
	s := t.view.Load().services[service]
	if s == nil {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latencies.quantile(0.95)
}

// Capacity returns how many calls this entry should have in flight at the targets of the service, and the slots of all
// targets that work. Demand is the number of slots that the callers of this entry want and are owed. The window adapts
// to the load that the other entries cause and is at least 1.
func (t *Table) Capacity(now time.Time, service string, demand float64) (window, total float64) {
	s := t.view.Load().services[service]
	if s == nil {
		return 1, 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacity(now, demand)
}
