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

// QueueingConfig describes a run with registered targets: entries that read the load of targets before each placement and let calls
// wait in a line. Targets accept every call and let it wait without a limit, and neighbours on their hosts make them several
// times slower for a part of a second. The defaults are the smallest deployment of the users.
type QueueingConfig struct {
	// Entries and Targets are numbers of processes in one failure domain.
	Entries int
	Targets int
	// Slots is the number of slots of each target; zero for rushSlots.
	Slots int
	// Objective and Deadline are the latency objective and the deadline of calls, WorkDeviation is the standard deviation
	// of the logarithm of their work; zero for rushAim, rushDeadline and rushSigma.
	Objective     time.Duration
	Deadline      time.Duration
	WorkDeviation float64
	// Load is the offered load as a fraction of the capacity of all slots at the average slowness.
	Load float64
	// LostFraction is the part of the targets that vanishes in the middle third of the run.
	LostFraction float64
	// UnderreportingTargets is the number of targets that are several times slower than they report.
	UnderreportingTargets int
	// GreedyLoad is additional load of one caller, as a fraction of the capacity.
	GreedyLoad float64
	// CallerRetries is how often a caller comes back with a call that was refused.
	CallerRetries int
	Policy        Policy
	Seed          uint64
	Duration      time.Duration

	// NoLoadReads entries read no loads before a placement.
	NoLoadReads bool
	// LoadReadRounds is the number of groups of targets whose load is read for a placement; zero for rushRounds.
	LoadReadRounds int
	// LoadReadQuota is the number of load reads that an entry may make of a target per second, on average over
	// LoadReadWindow; zero for any number.
	LoadReadQuota  int
	LoadReadWindow time.Duration
	// FIFO entries let calls wait in the order of their arrival, and refuse none before its deadline. They are eager
	// as well.
	FIFO bool
	// NoWaitForFasterTarget entries let no call wait for a faster target while a slower one has room.
	NoWaitForFasterTarget bool
	// IgnoreCallerRetries entries take calls that come back for new ones.
	IgnoreCallerRetries bool
	// AdmitLateCalls entries let calls that will be late take a slot as soon as it is free.
	AdmitLateCalls bool
}

const (
	rushSlots    = 4
	rushWork     = 120 * time.Millisecond
	rushAim      = 400 * time.Millisecond
	rushDeadline = 1600 * time.Millisecond
	// rushPatience is the least part of rushDeadline that callers give a call.
	rushPatience = 0.85
	// rushSigma is the standard deviation of the logarithm of the work of calls.
	rushSigma = 0.5
	// A host is slow for spells of rushSpell on average, rushBusy of the time, by rushSlow.
	rushSpell = 300 * time.Millisecond
	rushBusy  = 0.25
	rushSlow  = 4.0
	// rushDrag is how much slower a dragged target is.
	rushDrag = 4.0
	// A target with rushKnee of its slots in use is slower by rushFull.
	rushKnee = 0.8
	rushFull = 1.7
	// rushTrip is the time of the way to a target.
	rushTrip = 500 * time.Microsecond
	// rushTry is how often waiting calls are tried if no call ends, rushPause the least time between tries, rushDepth the
	// number of calls that are tried, rushRead the limit of a load read, and rushRounds the number of groups of targets
	// that are read for a placement, as in package entry.
	rushTry    = 30 * time.Millisecond
	rushPause  = 2 * time.Millisecond
	rushDepth  = 8
	rushRead   = 20 * time.Millisecond
	rushRounds = 4
	// rushCallers is the number of callers that are not greedy, greedyCaller the name of the one that is.
	rushCallers  = 40
	greedyCaller = "greedy"
)

// QueueingResult is what a Rush measured.
type QueueingResult struct {
	Offered int
	// WithinObjective calls were answered within their aim, Answered ones within their deadline.
	WithinObjective int
	Answered        int
	// RefusedCalls calls were refused in the end. Refusals counts each time that a call was, after Waited in sum. Cut calls ended
	// at their deadline.
	RefusedCalls int
	Refusals     int
	RefusalWait  time.Duration
	TimedOut     int
	// LoadReads is the number of load reads.
	LoadReads int
	// OtherCalls and FairTimely count the calls of callers that are not greedy.
	OtherCalls           int
	OtherWithinObjective int
}

// ObjectiveRatio returns the part of the calls that were answered within their aim.
func (t *QueueingResult) ObjectiveRatio() float64 {
	return float64(t.WithinObjective) / float64(max(t.Offered, 1))
}

// AnsweredRatio returns the part of the calls that were answered.
func (t *QueueingResult) AnsweredRatio() float64 {
	return float64(t.Answered) / float64(max(t.Offered, 1))
}

type rush struct {
	loop
	QueueingConfig
	rand    *rand.Rand
	targets []*rushTarget
	byName  map[string]*rushTarget
	entries []*rushEntry
	tally   *QueueingResult
	// unassigned are the calls that wait with policy Central.
	unassigned []*rushCall
}

type rushTarget struct {
	rush     *rush
	name     string
	running  []*rushCall
	queue    []*rushCall
	slowness float64
	drag     float64
	gone     bool
	// assigned is the number of calls on their way from the scheduler of policy Central.
	assigned int
}

type rushEntry struct {
	rush     *rush
	table    *route.Table
	line     *share.WaitQueue
	patience *share.ElapsedEstimator
	inflight map[string]int
	waiting  []*rushCall
	placing  bool
	woken    bool
	budgets  map[string]*probe.ProbeBudget
}

type rushCall struct {
	entry  *rushEntry
	caller string
	// arrived is when the call came to the entry, first when the caller made it for the first time, and waited how much of
	// the time between the entry knows of.
	arrived  time.Duration
	first    time.Duration
	waited   time.Duration
	deadline time.Duration
	returns  int
	place    *share.Waiter
	permit   *route.Permit
	target   *rushTarget
	sent     time.Duration
	held     time.Duration // since when the call waits for a target
	tried    []string
	over     bool
}

// RunQueueing simulates one configuration.
func RunQueueing(c QueueingConfig) *QueueingResult {
	c.Entries, c.Targets = max(c.Entries, 1), max(c.Targets, 1)
	c.Slots = cmp.Or(c.Slots, rushSlots)
	c.Objective = cmp.Or(c.Objective, rushAim)
	c.Deadline = cmp.Or(c.Deadline, rushDeadline)
	c.WorkDeviation = cmp.Or(c.WorkDeviation, rushSigma)
	c.LoadReadRounds = cmp.Or(c.LoadReadRounds, rushRounds)
	r := &rush{
		QueueingConfig: c,
		rand:           rand.New(rand.NewPCG(c.Seed, 4)),
		tally:          &QueueingResult{},
		byName:         map[string]*rushTarget{},
	}
	var specs []route.Target
	for i := range c.Targets {
		t := &rushTarget{
			rush:     r,
			name:     fmt.Sprint("t", i),
			slowness: 1,
			drag:     1,
		}
		if i < c.UnderreportingTargets {
			t.drag = rushDrag
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
		t.disturb()
	}
	for i := range c.Entries {
		e := &rushEntry{
			rush: r,
			table: route.New(route.Options{
				Entries: c.Entries,
				Seed:    r.rand.Uint64(),
				Started: start,
			}),
			line:     share.NewWaitQueue(),
			patience: share.NewElapsedEstimator(),
			inflight: map[string]int{},
			budgets:  map[string]*probe.ProbeBudget{},
		}
		e.table.SetTargets(start, specs)
		e.table.SetPosition(i, c.Entries)
		r.entries = append(r.entries, e)
	}
	slowness := 1 + rushBusy*(rushSlow-1)
	capacity := float64(c.Targets*c.Slots) / (rushWork.Seconds() * slowness)
	r.arrivals(c.Load*capacity, func() string { return fmt.Sprint("caller", r.rand.IntN(rushCallers)) })
	r.arrivals(c.GreedyLoad*capacity, func() string { return greedyCaller })
	if c.LostFraction > 0 {
		r.after(c.Duration/3, func() { r.lose(true) })
		r.after(2*c.Duration/3, func() { r.lose(false) })
	}
	r.runUntil(c.Duration)
	return r.tally
}

// arrivals lets calls arrive at random times, at random entries.
func (r *rush) arrivals(rate float64, caller func() string) {
	if rate <= 0 {
		return
	}
	r.after(time.Duration(r.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		r.tally.Offered++
		c := &rushCall{
			caller:   caller(),
			first:    r.now,
			deadline: r.now + time.Duration((rushPatience+(1-rushPatience)*r.rand.Float64())*float64(r.Deadline)),
		}
		if c.caller != greedyCaller {
			r.tally.OtherCalls++
		}
		r.arrive(c)
		r.after(c.deadline-r.now, c.cut)
		r.arrivals(rate, caller)
	})
}

// lose lets targets vanish with their calls, or return.
func (r *rush) lose(gone bool) {
	for _, t := range r.targets[:int(r.LostFraction*float64(len(r.targets)))] {
		t.gone = gone
		broken := slices.Concat(t.running, t.queue)
		t.running, t.queue = nil, nil
		for _, c := range broken {
			c.end(route.Failed, outcome.Report{})
			c.again()
		}
	}
}

// disturb makes the host of the target slow in spells.
func (t *rushTarget) disturb() {
	r := t.rush
	spell := time.Duration(r.rand.ExpFloat64() * float64(rushSpell))
	quiet := time.Duration(r.rand.ExpFloat64() * float64(rushSpell) * (1 - rushBusy) / rushBusy)
	r.after(quiet, func() {
		t.slowness = rushSlow
		r.after(spell, func() {
			t.slowness = 1
			t.disturb()
		})
	})
}

func (t *rushTarget) report() outcome.Report {
	return outcome.Report{
		Instance: t.name,
		Phase:    outcome.PhaseWarm,
		Active:   len(t.running),
		Slots:    t.rush.Slots,
		Queued:   len(t.queue),
		Slowdown: t.slowness,
	}
}

func (t *rushTarget) arrive(c *rushCall) {
	if t.rush.Policy == Central {
		t.assigned--
	}
	switch {
	case c.over || c.target != t:
	case t.gone:
		c.end(route.Unsent, outcome.Report{})
		c.again()
	case len(t.running) < t.rush.Slots:
		t.run(c)
	default:
		t.queue = append(t.queue, c)
	}
}

func (t *rushTarget) run(c *rushCall) {
	r := t.rush
	t.running = append(t.running, c)
	work := float64(rushWork) * math.Exp(r.rand.NormFloat64()*r.WorkDeviation-r.WorkDeviation*r.WorkDeviation/2) * t.slowness * t.drag
	if float64(len(t.running)) >= rushKnee*float64(t.rush.Slots) {
		work *= rushFull
	}
	r.after(time.Duration(work), func() {
		if !slices.Contains(t.running, c) {
			return
		}
		t.remove(c)
		report := t.report()
		r.after(rushTrip, func() {
			if !c.over {
				c.answer(report)
			}
		})
	})
}

// remove takes a call out of the target and starts those that waited for its slot.
func (t *rushTarget) remove(c *rushCall) {
	is := func(other *rushCall) bool { return other == c }
	t.running = slices.DeleteFunc(t.running, is)
	t.queue = slices.DeleteFunc(t.queue, is)
	for len(t.queue) > 0 && len(t.running) < t.rush.Slots {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.run(next)
	}
}

// arrive brings the call to any of the entries.
func (r *rush) arrive(c *rushCall) {
	e := r.entries[r.rand.IntN(len(r.entries))]
	c.entry, c.arrived = e, r.now
	if !r.IgnoreCallerRetries {
		c.waited = e.patience.Elapsed(r.time(), c.deadline-r.now)
	}
	if r.Policy == Route {
		e.line.RecordArrival(r.time(), e.waits(c))
	}
	e.place(c)
}

// place sends the call to a target, or lets it wait.
func (e *rushEntry) place(c *rushCall) {
	c.held = e.rush.now
	if e.rush.Policy == Central {
		e.rush.assign(c)
		return
	}
	if e.rush.Policy != Route {
		e.send(c, e.plain())
		return
	}
	if e.line.Len() > 0 {
		e.join(c)
		return
	}
	e.survey(c, func() {
		if !c.over && !e.choose(c) {
			e.join(c)
		}
	})
}

// assign is the scheduler of policy Central. It knows the state of all targets and all waiting calls at every moment, but
// not how long a call will take. Calls that can be in time go first, the latest of them first of all: when not all can be
// in time, the others have too little time left for most slots. It is the yardstick for what entries achieve that know
// only a part.
func (r *rush) assign(arrived *rushCall) {
	if arrived != nil {
		r.unassigned = append(r.unassigned, arrived)
	}
	r.unassigned = slices.DeleteFunc(r.unassigned, func(c *rushCall) bool { return c.over })
	slices.SortStableFunc(r.unassigned, func(a, b *rushCall) int { return cmp.Compare(b.aim(), a.aim()) })
	for _, late := range []bool{false, true} {
		r.unassigned = slices.DeleteFunc(r.unassigned, func(c *rushCall) bool {
			if c.aim()-r.now < rushWork != late {
				return false
			}
			t, expected := r.fastest()
			if t == nil || !late && expected > c.aim()-r.now {
				return false
			}
			c.entry.send(c, t)
			t.assigned++
			return true
		})
	}
}

// fastest returns the target with a free slot on which a call is expected to take the shortest time.
func (r *rush) fastest() (best *rushTarget, least time.Duration) {
	for _, t := range r.targets {
		load := len(t.running) + len(t.queue) + t.assigned
		if t.gone || load >= r.Slots {
			continue
		}
		expected := float64(rushWork) * t.slowness * t.drag
		if float64(load+1) >= rushKnee*float64(r.Slots) {
			expected *= rushFull
		}
		if best == nil || time.Duration(expected) < least {
			best, least = t, time.Duration(expected)
		}
	}
	return best, least
}

// plain chooses a target by the policies to compare with.
func (e *rushEntry) plain() *rushTarget {
	targets := e.rush.targets
	first := targets[e.rush.rand.IntN(len(targets))]
	switch e.rush.Policy {
	case TwoChoices:
		if second := targets[e.rush.rand.IntN(len(targets))]; e.inflight[second.name] < e.inflight[first.name] {
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

func (e *rushEntry) query(c *rushCall) route.Query {
	q := route.Query{
		Tried:              c.tried,
		Idempotent:         true,
		Redispatch:         len(c.tried) > 0,
		Kind:               serviceName,
		LatencyObjective:   e.rush.Objective,
		TimeToSoftDeadline: c.aim() - e.rush.now,
		TimeToDeadline:     c.deadline - e.rush.now,
	}
	if (e.rush.AdmitLateCalls || e.rush.FIFO) && q.TimeToSoftDeadline <= e.table.ServiceTime(serviceName, q) {
		q.LatencyObjective, q.TimeToSoftDeadline = 0, 0
	}
	if e.rush.NoWaitForFasterTarget {
		q.LatencyObjective, q.TimeToSoftDeadline, q.TimeToDeadline = 0, 0, 0
	}
	return q
}

func (e *rushEntry) waits(c *rushCall) share.Call {
	return share.Call{
		Caller:       c.caller,
		SoftDeadline: start.Add(c.aim()),
		Deadline:     start.Add(c.deadline),
		ServiceTime:  e.table.ServiceTime(serviceName, e.query(c)),
	}
}

// survey reads the load of targets for the call, one group after the other, and goes on once the call can be placed.
func (e *rushEntry) survey(c *rushCall, next func()) {
	e.surveyRound(c, e.rush.LoadReadRounds, nil, next)
}

func (e *rushEntry) surveyRound(c *rushCall, rounds int, reading []string, next func()) {
	r := e.rush
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
	for i, name := range slices.Concat(reads.Targets, reads.Unreachable) {
		if !e.spendLoadRead(name) {
			continue
		}
		r.tally.LoadReads++
		t := r.byName[name]
		if t.gone {
			if i < len(reads.Targets) {
				wait = rushRead
			}
			sent := r.time()
			r.after(rushRead, func() { e.table.LoadReadFailed(r.time(), sent, t.name) })
			continue
		}
		wait = max(wait, 2*rushTrip)
		r.after(rushTrip, func() {
			report := t.report()
			r.after(rushTrip, func() { e.table.Observe(r.time(), t.name, report) })
		})
	}
	r.after(wait, func() { e.surveyRound(c, rounds-1, reading, next) })
}

// spendLoadRead takes a load read from the budget of a target.
func (e *rushEntry) spendLoadRead(name string) bool {
	r := e.rush
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

// choose places the call by what is known of the targets.
func (e *rushEntry) choose(c *rushCall) bool {
	r := e.rush
	p, _ := e.table.Pick(r.time(), serviceName, e.query(c))
	if p == nil {
		return false
	}
	c.permit = p
	e.send(c, r.byName[p.Target])
	return true
}

func (e *rushEntry) send(c *rushCall, t *rushTarget) {
	c.target, c.sent = t, e.rush.now
	e.inflight[t.name]++
	e.rush.after(rushTrip, func() { t.arrive(c) })
}

func (e *rushEntry) join(c *rushCall) {
	r := e.rush
	if !r.FIFO {
		e.line.SetExpectedThroughput(e.table.ExpectedThroughput(r.time(), serviceName, e.query(c)))
		p, refusal := e.line.Enqueue(r.time(), e.waits(c))
		if refusal != nil {
			c.refuse(refusal)
			return
		}
		c.place = p
	}
	e.waiting = append(e.waiting, c)
	if !e.placing {
		e.placing = true
		e.placeAll()
	}
}

// ordered returns the calls that wait in the order in which they are tried, and refuses those without a chance.
func (e *rushEntry) ordered() []*rushCall {
	e.waiting = slices.DeleteFunc(e.waiting, func(c *rushCall) bool { return c.over })
	if e.rush.FIFO {
		return slices.Clone(e.waiting)
	}
	e.line.Expire(e.rush.time())
	var list []*rushCall
	byPlace := map[*share.Waiter]*rushCall{}
	for _, c := range slices.Clone(e.waiting) {
		if refusal := c.place.Refusal(); refusal != nil {
			c.refuse(refusal)
			continue
		}
		byPlace[c.place] = c
	}
	for _, p := range e.line.Waiting(e.rush.time()) {
		list = append(list, byPlace[p])
	}
	return list
}

// placeAll tries to place the calls that wait until none does.
func (e *rushEntry) placeAll() {
	calls := e.ordered()
	if len(calls) == 0 {
		e.placing = false
		return
	}
	e.survey(calls[0], func() {
		for _, c := range calls[:min(len(calls), rushDepth)] {
			if c.over || !e.choose(c) {
				continue
			}
			if c.place != nil {
				e.line.Grant(e.rush.time(), c.place)
			}
			e.waiting = slices.DeleteFunc(e.waiting, func(other *rushCall) bool { return other == c })
		}
		e.woken = false
		e.pause(e.rush.now)
	})
}

// pause waits until a call has ended, or for the interval of tries.
func (e *rushEntry) pause(since time.Duration) {
	e.rush.after(rushPause, func() {
		if e.woken || e.rush.now-since >= rushTry {
			e.placeAll()
			return
		}
		e.pause(since)
	})
}

// end ends the attempt of the call.
func (c *rushCall) end(kind route.ResultKind, report outcome.Report) {
	e, now := c.entry, c.entry.rush.now
	e.inflight[c.target.name]--
	if c.permit != nil {
		c.permit.Done(e.rush.time(), route.Result{
			Kind:           kind,
			Latency:        now - c.sent,
			Report:         report,
			ResponseLength: -1,
		})
		c.permit = nil
	}
	c.tried = append(c.tried, c.target.name)
	c.target = nil
	e.woken = true
	if e.rush.Policy == Central {
		e.rush.after(0, func() { e.rush.assign(nil) })
	}
}

// again places the call once more.
func (c *rushCall) again() {
	c.entry.rush.after(rushTrip, func() {
		if !c.over {
			c.entry.place(c)
		}
	})
}

func (c *rushCall) answer(report outcome.Report) {
	r := c.entry.rush
	c.end(route.Succeeded, report)
	c.over = true
	r.tally.Answered++
	if r.now-c.first > r.Objective {
		return
	}
	r.tally.WithinObjective++
	if c.caller != greedyCaller {
		r.tally.OtherWithinObjective++
	}
}

// refuse ends the call, unless its caller comes back with it.
func (c *rushCall) refuse(refusal *share.Refusal) {
	e, r := c.entry, c.entry.rush
	r.tally.Refusals++
	r.tally.RefusalWait += r.now - c.held
	e.patience.RecordRefusal(r.time())
	e.waiting = slices.DeleteFunc(e.waiting, func(other *rushCall) bool { return other == c })
	c.place = nil
	if c.returns == r.CallerRetries {
		c.over = true
		r.tally.RefusedCalls++
		return
	}
	c.returns++
	// Callers wait for up to a third of the time that they have.
	r.after(min(refusal.RetryAfter, (c.deadline-r.now)/3), func() {
		if !c.over {
			r.arrive(c)
		}
	})
}

// aim returns until when an answer is of full use, as far as the entry knows.
func (c *rushCall) aim() time.Duration { return c.arrived - c.waited + c.entry.rush.Objective }

// cut ends the call at its deadline.
func (c *rushCall) cut() {
	if c.over {
		return
	}
	c.over = true
	c.entry.rush.tally.TimedOut++
	if c.place != nil {
		c.entry.line.Remove(c.place)
	}
	if t := c.target; t != nil {
		c.end(route.Canceled, outcome.Report{})
		t.remove(c)
	}
}
