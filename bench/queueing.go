package bench

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"skylarkbeam/outcome"
	"skylarkbeam/route"
	"skylarkbeam/share"
	probe "skylarkbeam/target"
)

// QueueingConfig describes a simulation with registered targets. Entries read the load of targets before each placement, and
// calls wait in a queue at the entry while all targets are full. Targets queue calls without a limit, and noisy neighbors on
// their hosts make them several times slower for a fraction of a second. The defaults are the users' smallest deployment.
type QueueingConfig struct {
	// Entries and Targets are numbers of processes in one failure domain.
	Entries int
	Targets int
	// Slots is the number of slots of each target; zero for defaultSlots.
	Slots int
	// Objective and Deadline are the latency objective and the deadline of calls, WorkDeviation is the standard deviation
	// of the logarithm of their work; zero for defaultObjective, defaultDeadline and defaultWorkDeviation.
	Objective     time.Duration
	Deadline      time.Duration
	WorkDeviation float64
	// Load is the offered load as a fraction of the capacity of all slots at the average slowdown.
	Load float64
	// LostFraction is the fraction of the targets that is down in the middle third of the simulation.
	LostFraction float64
	// UnderreportingTargets is the number of targets that are several times slower than they report.
	UnderreportingTargets int
	// GreedyLoad is additional load of one caller, as a fraction of the capacity.
	GreedyLoad float64
	// CallerRetries is how often a caller retries a call that was refused.
	CallerRetries int
	Policy        Policy
	Seed          uint64
	Duration      time.Duration

	// The following options change the entries. With NoLoadReads, they read no loads before a placement.
	NoLoadReads bool
	// LoadReadRounds is the number of groups of targets whose load is read for a placement; zero for maxLoadReadRounds.
	LoadReadRounds int
	// LoadReadQuota is the number of load reads that an entry may make of a target per second, on average over
	// LoadReadWindow; zero for any number.
	LoadReadQuota  int
	LoadReadWindow time.Duration
	// With FIFO, calls wait in the order of their arrival and none is refused before its deadline. It includes
	// AdmitLateCalls.
	FIFO bool
	// With NoWaitForFasterTarget, no call waits for a faster target while a slower one has room.
	NoWaitForFasterTarget bool
	// With IgnoreCallerRetries, entries take retries of callers for new calls.
	IgnoreCallerRetries bool
	// With AdmitLateCalls, calls that will be late take a slot as soon as it is free.
	AdmitLateCalls bool
}

const (
	defaultSlots     = 4
	meanWork         = 120 * time.Millisecond
	defaultObjective = 400 * time.Millisecond
	defaultDeadline  = 1600 * time.Millisecond
	// minDeadlineFraction is the minimum fraction of the deadline that callers set.
	minDeadlineFraction = 0.85
	// defaultWorkDeviation is the standard deviation of the logarithm of the work of calls.
	defaultWorkDeviation = 0.5
	// A host is slow by slowFactor for slowFraction of the time, in periods of slowPeriod on average.
	slowPeriod   = 300 * time.Millisecond
	slowFraction = 0.25
	slowFactor   = 4.0
	// underreportedFactor is the slowdown that UnderreportingTargets do not report.
	underreportedFactor = 4.0
	// A target with nearlyFullFraction of its slots in use is slower by nearlyFullFactor.
	nearlyFullFraction = 0.8
	nearlyFullFactor   = 1.7
	// networkDelay is the one-way delay between an entry and a target.
	networkDelay = 500 * time.Microsecond
	// The following are as in package entry: the intervals between placement rounds, the calls considered in each, the
	// timeout of a load read, and the groups of targets that are read for a placement.
	maxPlacementInterval  = 30 * time.Millisecond
	minPlacementInterval  = 2 * time.Millisecond
	maxPlacementsPerRound = 8
	loadReadTimeout       = 20 * time.Millisecond
	maxLoadReadRounds     = 4
	// regularCallers is the number of callers that are not greedy, and greedyCaller the name of the one that is.
	regularCallers = 40
	greedyCaller   = "greedy"
)

// QueueingResult is the result of a simulation.
type QueueingResult struct {
	Offered int
	// WithinObjective is the number of calls answered within their latency objective, Answered within their deadline.
	WithinObjective int
	Answered        int
	// RefusedCalls is the number of calls whose last attempt by the caller was refused. Refusals counts all refusals, and
	// RefusalWait is the sum of the waits before them. TimedOut calls ended at their deadline.
	RefusedCalls int
	Refusals     int
	RefusalWait  time.Duration
	TimedOut     int
	// LoadReads is the number of load reads.
	LoadReads int
	// OtherCalls and OtherWithinObjective count the calls of callers that are not greedy.
	OtherCalls           int
	OtherWithinObjective int
}

// ObjectiveRatio returns the fraction of the calls that were answered within their latency objective.
func (t *QueueingResult) ObjectiveRatio() float64 {
	return float64(t.WithinObjective) / float64(max(t.Offered, 1))
}

// AnsweredRatio returns the fraction of the calls that were answered.
func (t *QueueingResult) AnsweredRatio() float64 {
	return float64(t.Answered) / float64(max(t.Offered, 1))
}

// queueing is a running simulation.
type queueing struct {
	loop
	QueueingConfig
	rand    *rand.Rand
	targets []*queueingTarget
	byName  map[string]*queueingTarget
	entries []*queueingEntry
	result  *QueueingResult
	// unassigned are the calls that wait with policy Central.
	unassigned []*queueingCall
}

type queueingTarget struct {
	sim           *queueing
	name          string
	running       []*queueingCall
	queue         []*queueingCall
	slowness      float64
	underreported float64
	gone          bool
	// assigned is the number of calls on their way from the scheduler of policy Central.
	assigned int
}

type queueingEntry struct {
	sim       *queueing
	table     *route.Table
	queue     *share.WaitQueue
	elapsed   *share.ElapsedEstimator
	inflight  map[string]int
	waiting   []*queueingCall
	placing   bool
	callEnded bool
	budgets   map[string]*probe.ProbeBudget
}

type queueingCall struct {
	entry  *queueingEntry
	caller string
	// arrived is when the call arrived at the entry, and first when the caller made it first. elapsedBefore is what the entry
	// estimates of the time between the two.
	arrived       time.Duration
	first         time.Duration
	elapsedBefore time.Duration
	deadline      time.Duration
	retries       int
	waiter        *share.Waiter
	permit        *route.Permit
	target        *queueingTarget
	sent          time.Duration
	waitingSince  time.Duration
	tried         []string
	over          bool
}

// RunQueueing simulates one configuration.
func RunQueueing(c QueueingConfig) *QueueingResult {
	c.Entries, c.Targets = max(c.Entries, 1), max(c.Targets, 1)
	c.Slots = cmp.Or(c.Slots, defaultSlots)
	c.Objective = cmp.Or(c.Objective, defaultObjective)
	c.Deadline = cmp.Or(c.Deadline, defaultDeadline)
	c.WorkDeviation = cmp.Or(c.WorkDeviation, defaultWorkDeviation)
	c.LoadReadRounds = cmp.Or(c.LoadReadRounds, maxLoadReadRounds)
	r := &queueing{
		QueueingConfig: c,
		rand:           rand.New(rand.NewPCG(c.Seed, 4)),
		result:         &QueueingResult{},
		byName:         map[string]*queueingTarget{},
	}
	var specs []route.Target
	for i := range c.Targets {
		t := &queueingTarget{
			sim:           r,
			name:          fmt.Sprint("t", i),
			slowness:      1,
			underreported: 1,
		}
		if i < c.UnderreportingTargets {
			t.underreported = underreportedFactor
		}
		r.targets = append(r.targets, t)
		r.byName[t.name] = t
		specs = append(specs, route.Target{
			Name:     t.name,
			Service:  serviceName,
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80),
			Slots:    c.Slots,
			Instance: t.name,
		})
		t.alternateSpeed()
	}
	for i := range c.Entries {
		e := &queueingEntry{
			sim: r,
			table: route.New(route.Options{
				Entries: c.Entries,
				Seed:    r.rand.Uint64(),
				Started: start,
			}),
			queue:    share.NewWaitQueue(),
			elapsed:  share.NewElapsedEstimator(),
			inflight: map[string]int{},
			budgets:  map[string]*probe.ProbeBudget{},
		}
		e.table.SetTargets(start, specs)
		e.table.SetPosition(i, c.Entries)
		r.entries = append(r.entries, e)
	}
	slowness := 1 + slowFraction*(slowFactor-1)
	capacity := float64(c.Targets*c.Slots) / (meanWork.Seconds() * slowness)
	r.arrivals(c.Load*capacity, func() string { return fmt.Sprint("caller", r.rand.IntN(regularCallers)) })
	r.arrivals(c.GreedyLoad*capacity, func() string { return greedyCaller })
	if c.LostFraction > 0 {
		r.after(c.Duration/3, func() { r.setLost(true) })
		r.after(2*c.Duration/3, func() { r.setLost(false) })
	}
	r.runUntil(c.Duration)
	return r.result
}

// arrivals lets calls arrive at random times, at random entries.
func (r *queueing) arrivals(rate float64, caller func() string) {
	if rate <= 0 {
		return
	}
	r.after(time.Duration(r.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		r.result.Offered++
		c := &queueingCall{
			caller:   caller(),
			first:    r.now,
			deadline: r.now + time.Duration((minDeadlineFraction+(1-minDeadlineFraction)*r.rand.Float64())*float64(r.Deadline)),
		}
		if c.caller != greedyCaller {
			r.result.OtherCalls++
		}
		r.arrive(c)
		r.after(c.deadline-r.now, c.timeOut)
		r.arrivals(rate, caller)
	})
}

// setLost takes targets down with their calls, or brings them back.
func (r *queueing) setLost(gone bool) {
	for _, t := range r.targets[:int(r.LostFraction*float64(len(r.targets)))] {
		t.gone = gone
		broken := slices.Concat(t.running, t.queue)
		t.running, t.queue = nil, nil
		for _, c := range broken {
			c.end(route.Failed, outcome.Report{})
			c.retry()
		}
	}
}

// alternateSpeed makes the host of the target slow for some periods.
func (t *queueingTarget) alternateSpeed() {
	r := t.sim
	spell := time.Duration(r.rand.ExpFloat64() * float64(slowPeriod))
	quiet := time.Duration(r.rand.ExpFloat64() * float64(slowPeriod) * (1 - slowFraction) / slowFraction)
	r.after(quiet, func() {
		t.slowness = slowFactor
		r.after(spell, func() {
			t.slowness = 1
			t.alternateSpeed()
		})
	})
}

func (t *queueingTarget) report() outcome.Report {
	return outcome.Report{
		Instance: t.name,
		Phase:    outcome.PhaseWarm,
		Active:   len(t.running),
		Slots:    t.sim.Slots,
		Queued:   len(t.queue),
		Slowdown: t.slowness,
	}
}

func (t *queueingTarget) arrive(c *queueingCall) {
	if t.sim.Policy == Central {
		t.assigned--
	}
	switch {
	case c.over || c.target != t:
	case t.gone:
		c.end(route.Unsent, outcome.Report{})
		c.retry()
	case len(t.running) < t.sim.Slots:
		t.run(c)
	default:
		t.queue = append(t.queue, c)
	}
}

func (t *queueingTarget) run(c *queueingCall) {
	r := t.sim
	t.running = append(t.running, c)
	work := float64(meanWork) * math.Exp(r.rand.NormFloat64()*r.WorkDeviation-r.WorkDeviation*r.WorkDeviation/2) * t.slowness * t.underreported
	if float64(len(t.running)) >= nearlyFullFraction*float64(t.sim.Slots) {
		work *= nearlyFullFactor
	}
	r.after(time.Duration(work), func() {
		if !slices.Contains(t.running, c) {
			return
		}
		t.remove(c)
		report := t.report()
		r.after(networkDelay, func() {
			if !c.over {
				c.answer(report)
			}
		})
	})
}

// remove takes a call out of the target and starts those that waited for its slot.
func (t *queueingTarget) remove(c *queueingCall) {
	is := func(other *queueingCall) bool { return other == c }
	t.running = slices.DeleteFunc(t.running, is)
	t.queue = slices.DeleteFunc(t.queue, is)
	for len(t.queue) > 0 && len(t.running) < t.sim.Slots {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.run(next)
	}
}

// arrive sends the call to a random entry.
func (r *queueing) arrive(c *queueingCall) {
	e := r.entries[r.rand.IntN(len(r.entries))]
	c.entry, c.arrived = e, r.now
	if !r.IgnoreCallerRetries {
		c.elapsedBefore = e.elapsed.Elapsed(r.time(), c.deadline-r.now)
	}
	if r.Policy == Route {
		e.queue.RecordArrival(r.time(), e.queuedCall(c))
	}
	e.place(c)
}

// place sends the call to a target, or queues it.
func (e *queueingEntry) place(c *queueingCall) {
	c.waitingSince = e.sim.now
	if e.sim.Policy == Central {
		e.sim.assign(c)
		return
	}
	if e.sim.Policy != Route {
		e.send(c, e.pickByPolicy())
		return
	}
	if e.queue.Len() > 0 {
		e.enqueue(c)
		return
	}
	e.readLoads(c, func() {
		if !c.over && !e.pick(c) {
			e.enqueue(c)
		}
	})
}

// assign is the scheduler of policy Central. It knows the state of all targets and all waiting calls at every moment, but
// not how long a call will take. Calls that can meet their objective go first, those with the latest soft deadline first of
// all: when not all can meet it, the others have too little time left for most slots. It is an upper bound for entries,
// which know only a part.
func (r *queueing) assign(arrived *queueingCall) {
	if arrived != nil {
		r.unassigned = append(r.unassigned, arrived)
	}
	r.unassigned = slices.DeleteFunc(r.unassigned, func(c *queueingCall) bool { return c.over })
	slices.SortStableFunc(r.unassigned, func(a, b *queueingCall) int { return cmp.Compare(b.softDeadline(), a.softDeadline()) })
	for _, late := range []bool{false, true} {
		r.unassigned = slices.DeleteFunc(r.unassigned, func(c *queueingCall) bool {
			if c.softDeadline()-r.now < meanWork != late {
				return false
			}
			t, expected := r.fastest()
			if t == nil || !late && expected > c.softDeadline()-r.now {
				return false
			}
			c.entry.send(c, t)
			t.assigned++
			return true
		})
	}
}

// fastest returns the target with a free slot on which a call is expected to take the shortest time.
func (r *queueing) fastest() (best *queueingTarget, least time.Duration) {
	for _, t := range r.targets {
		load := len(t.running) + len(t.queue) + t.assigned
		if t.gone || load >= r.Slots {
			continue
		}
		expected := float64(meanWork) * t.slowness * t.underreported
		if float64(load+1) >= nearlyFullFraction*float64(r.Slots) {
			expected *= nearlyFullFactor
		}
		if best == nil || time.Duration(expected) < least {
			best, least = t, time.Duration(expected)
		}
	}
	return best, least
}

// pickByPolicy selects a target by one of the policies to compare with.
func (e *queueingEntry) pickByPolicy() *queueingTarget {
	targets := e.sim.targets
	first := targets[e.sim.rand.IntN(len(targets))]
	switch e.sim.Policy {
	case TwoChoices:
		if second := targets[e.sim.rand.IntN(len(targets))]; e.inflight[second.name] < e.inflight[first.name] {
			return second
		}
	case LeastInFlight:
		for _, t := range targets {
			if e.inflight[t.name] < e.inflight[first.name] {
				first = t
			}
		}
	}
	return first
}

func (e *queueingEntry) query(c *queueingCall) route.Query {
	q := route.Query{
		Tried:              c.tried,
		Idempotent:         true,
		Redispatch:         len(c.tried) > 0,
		Kind:               serviceName,
		LatencyObjective:   e.sim.Objective,
		TimeToSoftDeadline: c.softDeadline() - e.sim.now,
		TimeToDeadline:     c.deadline - e.sim.now,
	}
	if (e.sim.AdmitLateCalls || e.sim.FIFO) && q.TimeToSoftDeadline <= e.table.ServiceTime(serviceName, q) {
		q.LatencyObjective, q.TimeToSoftDeadline = 0, 0
	}
	if e.sim.NoWaitForFasterTarget {
		q.LatencyObjective, q.TimeToSoftDeadline, q.TimeToDeadline = 0, 0, 0
	}
	return q
}

func (e *queueingEntry) queuedCall(c *queueingCall) share.Call {
	return share.Call{
		Caller:       c.caller,
		SoftDeadline: start.Add(c.softDeadline()),
		Deadline:     start.Add(c.deadline),
		ServiceTime:  e.table.ServiceTime(serviceName, e.query(c)),
	}
}

// readLoads reads the load of targets for the call, one group after the other, and calls next once the call can be placed.
func (e *queueingEntry) readLoads(c *queueingCall, next func()) {
	e.readLoadGroups(c, e.sim.LoadReadRounds, nil, next)
}

func (e *queueingEntry) readLoadGroups(c *queueingCall, rounds int, reading []string, next func()) {
	r := e.sim
	if r.NoLoadReads || rounds == 0 || c.over {
		next()
		return
	}
	reads := e.table.LoadReads(r.time(), serviceName, e.query(c), reading)
	if len(reads.Targets) == 0 {
		rounds = 1
	}
	reading = append(reading, reads.Targets...)
	wait := time.Duration(0)
	for i, name := range slices.Concat(reads.Targets, reads.Background) {
		if !e.spendLoadRead(name) {
			continue
		}
		r.result.LoadReads++
		t := r.byName[name]
		if t.gone {
			if i < len(reads.Targets) {
				wait = loadReadTimeout
			}
			sent := r.time()
			r.after(loadReadTimeout, func() { e.table.LoadReadFailed(r.time(), sent, t.name) })
			continue
		}
		wait = max(wait, 2*networkDelay)
		r.after(networkDelay, func() {
			report := t.report()
			r.after(networkDelay, func() { e.table.Observe(r.time(), t.name, report) })
		})
	}
	r.after(wait, func() { e.readLoadGroups(c, rounds-1, reading, next) })
}

// spendLoadRead takes a load read from the budget of a target.
func (e *queueingEntry) spendLoadRead(name string) bool {
	r := e.sim
	if r.LoadReadQuota == 0 {
		return true
	}
	budget := e.budgets[name]
	if budget == nil {
		budget = probe.NewAverageProbeBudget(r.LoadReadQuota, r.LoadReadWindow)
		e.budgets[name] = budget
	}
	if _, ok := budget.Take(r.time()); !ok {
		return false
	}
	budget.Done(r.time())
	return true
}

// pick sends the call to a target selected by what the entry knows of the targets. It returns false if there is none.
func (e *queueingEntry) pick(c *queueingCall) bool {
	r := e.sim
	p, _ := e.table.Pick(r.time(), serviceName, e.query(c))
	if p == nil {
		return false
	}
	c.permit = p
	e.send(c, r.byName[p.Target])
	return true
}

func (e *queueingEntry) send(c *queueingCall, t *queueingTarget) {
	c.target, c.sent = t, e.sim.now
	e.inflight[t.name]++
	e.sim.after(networkDelay, func() { t.arrive(c) })
}

func (e *queueingEntry) enqueue(c *queueingCall) {
	r := e.sim
	if !r.FIFO {
		e.queue.SetExpectedThroughput(e.table.ExpectedThroughput(r.time(), serviceName, e.query(c)))
		p, refusal := e.queue.Enqueue(r.time(), e.queuedCall(c))
		if refusal != nil {
			c.refuse(refusal)
			return
		}
		c.waiter = p
	}
	e.waiting = append(e.waiting, c)
	if !e.placing {
		e.placing = true
		e.placeWaiting()
	}
}

// waitingInOrder returns the waiting calls in queue order, after refusing those that cannot meet their deadline.
func (e *queueingEntry) waitingInOrder() []*queueingCall {
	e.waiting = slices.DeleteFunc(e.waiting, func(c *queueingCall) bool { return c.over })
	if e.sim.FIFO {
		return slices.Clone(e.waiting)
	}
	e.queue.Expire(e.sim.time())
	var list []*queueingCall
	byWaiter := map[*share.Waiter]*queueingCall{}
	for _, c := range slices.Clone(e.waiting) {
		if refusal := c.waiter.Refusal(); refusal != nil {
			c.refuse(refusal)
			continue
		}
		byWaiter[c.waiter] = c
	}
	for _, p := range e.queue.Waiting(e.sim.time()) {
		list = append(list, byWaiter[p])
	}
	return list
}

// placeWaiting places waiting calls until none is left.
func (e *queueingEntry) placeWaiting() {
	calls := e.waitingInOrder()
	if len(calls) == 0 {
		e.placing = false
		return
	}
	e.readLoads(calls[0], func() {
		for _, c := range calls[:min(len(calls), maxPlacementsPerRound)] {
			if c.over || !e.pick(c) {
				continue
			}
			if c.waiter != nil {
				e.queue.Grant(e.sim.time(), c.waiter)
			}
			e.waiting = slices.DeleteFunc(e.waiting, func(other *queueingCall) bool { return other == c })
		}
		e.callEnded = false
		e.waitForNextRound(e.sim.now)
	})
}

// waitForNextRound starts the next placement round when a call has ended, or after the maximum interval.
func (e *queueingEntry) waitForNextRound(since time.Duration) {
	e.sim.after(minPlacementInterval, func() {
		if e.callEnded || e.sim.now-since >= maxPlacementInterval {
			e.placeWaiting()
			return
		}
		e.waitForNextRound(since)
	})
}

// end ends the attempt of the call.
func (c *queueingCall) end(kind route.ResultKind, report outcome.Report) {
	e, now := c.entry, c.entry.sim.now
	e.inflight[c.target.name]--
	if c.permit != nil {
		c.permit.Done(e.sim.time(), route.Result{
			Kind:           kind,
			Latency:        now - c.sent,
			Report:         report,
			ResponseLength: -1,
		})
		c.permit = nil
	}
	c.tried = append(c.tried, c.target.name)
	c.target = nil
	e.callEnded = true
	if e.sim.Policy == Central {
		e.sim.after(0, func() { e.sim.assign(nil) })
	}
}

// retry places the call again.
func (c *queueingCall) retry() {
	c.entry.sim.after(networkDelay, func() {
		if !c.over {
			c.entry.place(c)
		}
	})
}

func (c *queueingCall) answer(report outcome.Report) {
	r := c.entry.sim
	c.end(route.Succeeded, report)
	c.over = true
	r.result.Answered++
	if r.now-c.first > r.Objective {
		return
	}
	r.result.WithinObjective++
	if c.caller != greedyCaller {
		r.result.OtherWithinObjective++
	}
}

// refuse ends the call, unless its caller retries it.
func (c *queueingCall) refuse(refusal *share.Refusal) {
	e, r := c.entry, c.entry.sim
	r.result.Refusals++
	r.result.RefusalWait += r.now - c.waitingSince
	e.elapsed.RecordRefusal(r.time())
	e.waiting = slices.DeleteFunc(e.waiting, func(other *queueingCall) bool { return other == c })
	c.waiter = nil
	if c.retries == r.CallerRetries {
		c.over = true
		r.result.RefusedCalls++
		return
	}
	c.retries++
	// Callers honor Retry-After up to a third of the time that they have left.
	r.after(min(refusal.RetryAfter, (c.deadline-r.now)/3), func() {
		if !c.over {
			r.arrive(c)
		}
	})
}

// softDeadline returns the time until which the entry takes a response to be within the latency objective.
func (c *queueingCall) softDeadline() time.Duration {
	return c.arrived - c.elapsedBefore + c.entry.sim.Objective
}

// timeOut ends the call at its deadline.
func (c *queueingCall) timeOut() {
	if c.over {
		return
	}
	c.over = true
	c.entry.sim.result.TimedOut++
	if c.waiter != nil {
		c.entry.queue.Remove(c.waiter)
	}
	if t := c.target; t != nil {
		c.end(route.Canceled, outcome.Report{})
		t.remove(c)
	}
}
