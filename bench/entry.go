package bench

import (
	"slices"
	"time"

	"skylarkbeam/outcome"
	"skylarkbeam/route"
	"skylarkbeam/share"
)

// entry is one entry: the real scheduler and selector, and the call path between them.
type entry struct {
	sim       *sim
	index     int
	selector  selector
	table     *route.Table // nil for the policies to compare with
	scheduler *share.Scheduler
	waiting   map[*share.Ticket]*call
	answered  []time.Duration // last answer of each target

	dead   bool
	paused bool
	seen   membership
	read   time.Duration // start of the read that gave seen
}

// call is one call of a caller.
type call struct {
	entry      *entry
	caller     int
	arrived    time.Duration
	deadline   time.Duration
	idempotent bool
	ticket     *share.Ticket
	started    time.Duration
	attempts   []*attempt
	tried      []string
	over       bool
}

// attempt is one dispatch of a call to a target.
type attempt struct {
	call     *call
	permit   permit
	instance string
	target   *target
	trip     time.Duration // one way
	sent     time.Duration
	canceled bool
	ended    bool
}

type replyKind int

const (
	answered replyKind = iota
	failed
	shed
	dead
	otherInstance
	broke
)

type reply struct {
	kind   replyKind
	report outcome.Report
}

func (e *entry) arrive(caller int) {
	if e.dead || e.paused {
		return
	}
	s := e.sim
	c := &call{
		entry:      e,
		caller:     caller,
		arrived:    s.now,
		deadline:   s.now + s.config.Shape.Timeout,
		idempotent: s.rand.Float64() < 0.8,
	}
	s.offer(c)
	ticket, refusal := e.scheduler.Enqueue(s.time(), Callers[caller].Name, start.Add(c.deadline))
	if refusal != nil {
		c.over = true
		s.refuse(c, refusal.Reason)
		return
	}
	c.ticket = ticket
	if ticket.Running() {
		c.start()
		return
	}
	e.waiting[ticket] = c
}

// settle starts or refuses the calls whose tickets were settled.
func (e *entry) settle(tickets []*share.Ticket) {
	for _, t := range tickets {
		c := e.waiting[t]
		delete(e.waiting, t)
		if refusal := t.Refusal(); refusal != nil {
			c.over = true
			e.sim.refuse(c, refusal.Reason)
			continue
		}
		c.start()
	}
}

func (c *call) start() {
	s := c.entry.sim
	c.started = s.now
	p, reason := c.entry.selector.pick(s.time(), c.idempotent)
	if p == nil {
		s.refuse(c, reason)
		c.end(0)
		return
	}
	s.result.first++
	c.send(p)
	s.after(c.deadline-s.now, func() {
		if !c.over {
			s.late(c)
			c.end(s.now - c.started)
		}
	})
	c.hedge()
}

func (c *call) hedge() {
	s := c.entry.sim
	delay, ok := c.entry.selector.hedgeAfter()
	if !ok || !c.idempotent {
		return
	}
	s.after(delay, func() {
		if c.over || len(c.attempts) != 1 {
			return
		}
		if p := c.entry.selector.hedge(s.time(), c.tried); p != nil {
			s.result.hedges++
			c.send(p)
			return
		}
		c.hedge()
	})
}

// send dispatches an attempt. An attempt at a cold target ends with the lease.
func (c *call) send(p permit) {
	s := c.entry.sim
	t := s.targets[p.target()]
	a := &attempt{
		call:     c,
		permit:   p,
		instance: p.instance(),
		target:   t,
		trip:     s.trip(c.entry, t),
		sent:     s.now,
	}
	c.attempts = append(c.attempts, a)
	c.tried = append(c.tried, targetName(t.index))
	s.after(a.trip, func() { t.arrive(a) })
	if until := p.until(); !until.IsZero() {
		s.after(until.Sub(s.time()), func() {
			if !a.ended {
				a.cancel(route.Canceled)
				c.lost(true)
			}
		})
	}
}

// reply carries the target's reply back to the entry.
func (a *attempt) reply(r reply) {
	s := a.call.entry.sim
	s.after(a.trip, func() {
		if !a.ended {
			a.receive(r)
		}
	})
}

// receive ends the attempt with the reply.
func (a *attempt) receive(r reply) {
	c := a.call
	s := c.entry.sim
	kinds := map[replyKind]route.ResultKind{
		answered:      route.Succeeded,
		failed:        route.Failed,
		shed:          route.Shed,
		dead:          route.Unsent,
		otherInstance: route.Unsent,
		broke:         route.Failed,
	}
	if r.report.Instance != "" {
		c.entry.answered[a.target.index] = s.now
	}
	if r.kind == otherInstance {
		s.result.probes++
	}
	a.end(route.Result{
		Kind:    kinds[r.kind],
		Latency: s.now - a.sent,
		Report:  r.report,
	})
	if c.over {
		return
	}
	if r.kind == answered {
		s.good(c)
		c.end(s.now - c.started)
		return
	}
	c.lost(r.kind != failed && r.kind != broke)
}

// lost repeats the call after an attempt without an answer, if another attempt is allowed.
func (c *call) lost(notRun bool) {
	s := c.entry.sim
	if c.over || slices.ContainsFunc(c.attempts, func(a *attempt) bool { return !a.ended }) {
		return
	}
	if notRun || c.idempotent {
		if p := c.entry.selector.repeat(s.time(), c.tried, c.idempotent); p != nil {
			s.result.repeats++
			c.send(p)
			return
		}
	}
	s.fail(c)
	c.end(s.now - c.started)
}

func (a *attempt) end(r route.Result) {
	a.ended = true
	e := a.call.entry
	if e.dead {
		return
	}
	e.sim.learn(e, a.permit.done(e.sim.time(), r))
}

// cancel gives the attempt up and tells the target.
func (a *attempt) cancel(kind route.ResultKind) {
	s := a.call.entry.sim
	a.canceled = true
	a.end(route.Result{
		Kind:    kind,
		Latency: s.now - a.sent,
	})
	s.after(a.trip, func() { a.target.cancel(a) })
}

// end cancels what is still in flight, except at a cold target, and gives the slot back.
func (c *call) end(latency time.Duration) {
	c.over = true
	e := c.entry
	for _, a := range c.attempts {
		if !a.ended && a.permit.until().IsZero() {
			a.cancel(route.Canceled)
		}
	}
	if e.dead {
		return
	}
	now := e.sim.time()
	e.settle(c.ticket.Done(now, latency))
}

// adapt passes the capacity of the targets on to the scheduler.
func (e *entry) adapt() {
	if e.dead {
		return
	}
	now := e.sim.time()
	window, total := e.selector.capacity(now, e.scheduler.Demand(now))
	e.settle(e.scheduler.SetCapacity(now, window, total))
}

// expire refuses the waiting calls that are too late.
func (e *entry) expire() {
	if !e.dead && len(e.waiting) > 0 {
		e.settle(e.scheduler.Expire(e.sim.time()))
	}
}

// probe reads the load of the targets without an answer in the last second.
func (e *entry) probe() {
	if e.table == nil || e.dead || e.paused {
		return
	}
	s := e.sim
	for i, t := range s.targets {
		if s.now-e.answered[i] < time.Second {
			continue
		}
		s.result.probes++
		if !t.up {
			continue
		}
		r := t.report()
		s.after(2*s.trip(e, t), func() {
			if !e.dead {
				s.learn(e, e.table.Observe(s.time(), targetName(i), r))
			}
		})
	}
}
