// Package bench measures the decisions of packages route and share against small fake targets in simulated time.
//
// Six entries, each with its own Table and Scheduler, serve one service. There is no network and no process: a message
// is an event some time later. The fakes stand at the interface of the two packages and model nothing else.
//
// # Usage
//
//	r := bench.Run(bench.Config{
//		Shape:    bench.Beaconwatch,
//		Policy:   bench.Route,
//		Scenario: bench.Stragglers,
//		Load:     0.7,
//		Seed:     1,
//		Length:   10 * time.Second,
//	})
//
// The command that prints the whole table is
//
//	go test -run '^$' -bench Policy -benchtime 1x ./bench
package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"skylarkbeam/outcome"
	"skylarkbeam/share"
)

// adaptInterval is how often an entry adapts its capacity and refuses calls that wait too long.
const adaptInterval = 10 * time.Millisecond

// sim is one run.
type sim struct {
	loop
	config  Config
	rand    *rand.Rand
	targets []*target
	entries []*entry
	members membership
	calls   map[*call]struct{}
	facts   map[int]string
	fallen  map[int]time.Duration
	result  *Result
}

// Run simulates one configuration.
func Run(c Config) *Result {
	if c.ColdConcurrency == 0 {
		c.ColdConcurrency = 1
	}
	if c.ColdDuration == 0 {
		c.ColdDuration = time.Second
	}
	if c.Ownership == "" {
		c.Ownership = SingleOwner
	}
	s := &sim{
		config: c,
		rand:   rand.New(rand.NewPCG(c.Seed, 2)),
		calls:  map[*call]struct{}{},
		facts:  map[int]string{},
		fallen: map[int]time.Duration{},
		result: newResult(c),
	}
	for i := range c.Shape.Targets {
		s.targets = append(s.targets, &target{
			sim:   s,
			index: i,
			rand:  rand.New(rand.NewPCG(c.Seed, uint64(100+i))),
			up:    true,
			slow:  1,
		})
	}
	for i := range EntryCount {
		s.members.active[i] = true
	}
	for i := range EntryCount {
		s.entries = append(s.entries, s.newEntry(i))
	}
	for _, t := range s.targets {
		t.live(0)
		s.facts[t.index] = t.instance
		for _, e := range s.entries {
			if e.table != nil {
				e.table.SetWarm(s.time(), targetName(t.index), t.instance, 0)
			}
		}
	}
	s.schedule()
	s.runUntil(WarmupDuration + c.Duration)
	s.finish()
	return s.result
}

func (s *sim) newEntry(index int) *entry {
	e := &entry{
		sim:      s,
		index:    index,
		waiting:  map[*share.Ticket]*call{},
		answered: make([]time.Duration, len(s.targets)),
		seen:     s.members,
		read:     s.now,
	}
	e.scheduler = share.New(share.Options{
		Share:       shareOf,
		ServiceTime: s.config.Shape.MeanServiceTime,
	})
	seed := s.rand.Uint64()
	if s.config.Policy == Route {
		e.table = newTable(s.config, s.time(), seed)
		e.table.SetLeaseFunc(e.owns)
		e.selector = tableSelector{e.table}
	} else {
		e.selector = &plainSelector{
			policy:   s.config.Policy,
			rand:     rand.New(rand.NewPCG(seed, 3)),
			inflight: make([]int, len(s.targets)),
			slots:    s.config.Shape.Slots * s.config.Shape.Targets,
		}
	}
	e.adapt()
	return e
}

// exchangeUse tells every entry what callers use at the others.
func (s *sim) exchangeUse() {
	for _, e := range s.entries {
		sum := map[string]float64{}
		for _, other := range s.entries {
			if other == e || other.dead || other.paused {
				continue
			}
			for name, use := range other.scheduler.Usage(s.time()) {
				sum[name] += use
			}
		}
		s.after(50*time.Millisecond, func() { e.scheduler.SetRemoteUsage(s.time(), sum) })
	}
}

func shareOf(name string) float64 {
	for _, c := range Callers {
		if c.Name == name {
			return c.Share
		}
	}
	return 0
}

// schedule starts the load, the background work and the scenario.
func (s *sim) schedule() {
	capacity := float64(s.config.Shape.Slots*s.config.Shape.Targets) / s.config.Shape.MeanServiceTime.Seconds()
	for i, c := range Callers {
		rate := c.Load * s.config.Load * capacity
		if i == 0 {
			rate += s.config.ExtraLoad * capacity
		}
		s.load(i, rate)
	}
	s.every(adaptInterval, func() {
		for _, e := range s.entries {
			e.expire()
			e.adapt()
		}
	})
	s.every(time.Second, func() {
		for _, e := range s.entries {
			e.probe()
			e.refresh()
		}
	})
	if !s.config.NoUsageExchange && s.config.Policy == Route {
		s.every(exchangeTime, s.exchangeUse)
	}
	if s.config.Churn {
		s.after(2*time.Second, s.churn)
	}
	switch s.config.Scenario {
	case Stragglers:
		s.after(WarmupDuration+time.Second, func() {
			s.targets[2].slow, s.targets[7].slow = 5, 5
		})
	case FastFailer:
		s.after(WarmupDuration+time.Second, func() { s.targets[4].failing = true })
	case NoisyNeighbors:
		for _, t := range s.targets {
			t.disturb()
		}
	case DomainOutage:
		s.after(WarmupDuration+time.Second, func() {
			for _, t := range s.targets {
				if t.index%s.config.Shape.Domains == 0 {
					t.fall(2 * time.Second)
					s.fallen[t.index] = s.now
				}
			}
		})
	case ColdRestarts:
		s.every(2*time.Second, func() {
			t := s.targets[s.rand.IntN(len(s.targets))]
			if _, falling := s.fallen[t.index]; !falling {
				t.fall(restartTime)
				s.fallen[t.index] = s.now
			}
		})
	}
}

// load lets calls of a caller arrive at random times and entries.
func (s *sim) load(caller int, rate float64) {
	gap := time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second))
	s.after(gap, func() {
		x := s.rand.Float64() * EntryCount
		i := 0
		for ; i < EntryCount-1 && x >= entryWeights[i]; i++ {
			x -= entryWeights[i]
		}
		if s.config.StickyCallers && caller > 0 {
			i = caller % EntryCount
		}
		s.entries[i].arrive(caller)
		s.load(caller, rate)
	})
}

// trip is the one-way time between an entry and a target.
func (s *sim) trip(e *entry, t *target) time.Duration {
	if e.index%s.config.Shape.Domains == t.index%s.config.Shape.Domains {
		return 50 * time.Microsecond
	}
	return s.config.Shape.InterDomainRTT / 2
}

func (s *sim) measured(c *call) bool { return c.arrived >= WarmupDuration }

func (s *sim) offer(c *call) {
	s.calls[c] = struct{}{}
	if s.measured(c) {
		s.result.callers[c.caller].offered++
	}
}

func (s *sim) refuse(c *call, reason outcome.Reason) {
	delete(s.calls, c)
	if s.measured(c) {
		s.result.refusals[reason]++
	}
}

func (s *sim) good(c *call) {
	delete(s.calls, c)
	if !s.measured(c) {
		return
	}
	r := &s.result.callers[c.caller]
	r.good++
	latency := s.now - c.arrived + s.config.Shape.ClientRTT
	record(s.result.latency, latency)
	record(r.latency, latency)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	if err := h.RecordValue(d.Microseconds()); err != nil {
		panic(err)
	}
}

func (s *sim) late(c *call) {
	delete(s.calls, c)
	if s.measured(c) {
		s.result.late++
	}
}

func (s *sim) fail(c *call) {
	delete(s.calls, c)
	if s.measured(c) {
		s.result.failed++
	}
}

// warmed notes the time from the fall of a target to the end of its cold start at its owner.
func (s *sim) warmed(name string) {
	i, _ := strconv.Atoi(name)
	s.facts[i] = s.targets[i].instance
	if at, ok := s.fallen[i]; ok {
		delete(s.fallen, i)
		s.result.warm = append(s.result.warm, s.now-at)
	}
}

func (s *sim) finish() {
	for _, t := range s.targets {
		s.result.violations += t.violations
		s.result.calls = append(s.result.calls, t.calls)
	}
	s.result.unwarmed = len(s.fallen)
}
