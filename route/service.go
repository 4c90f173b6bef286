package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"skylarkbeam/outcome"
)

const (
	// scanLimit is the number of targets up to which all are compared; of more, this many are drawn at random.
	scanLimit = 12
	// slowFactor is how much slower than usual a target may be before it counts as slow. The average of a few samples
	// varies by about a quarter without any cause.
	slowFactor = 1.4
	// scoreNoise is the part by which scores vary at random. Without it a target that is worse by a trace gets no call
	// at all while there is little load.
	scoreNoise = 0.1
	// coldChance is the chance that a cold target that this entry owns is considered for a call.
	coldChance = 0.5
	// coldChanceOnce is the same for a call that is not idempotent. It is lower because a lease that ends leaves such a
	// call in an unknown outcome, and not zero because a service may have no other calls to warm its targets.
	coldChanceOnce = 0.1
	// fallPause is how long the owner of a target that fell cold sends it nothing: other entries hear of it within about
	// 50 ms, and the calls that they sent before that have to end.
	fallPause = 200 * time.Millisecond
	// leaseCalls is how much of a lease must be left, in usual latencies, for a call to a cold target. A call that the
	// end of the lease cuts off is work in vain.
	leaseCalls = 3.0
	// rampFloor is the least chance that a target is considered while it is joined.
	rampFloor = 0.05
	// latencyMean is the weight of a new sample in the average latency of a service.
	latencyMean = 0.02
	// baseRise is the part of its distance to the average by which the base latency rises with each sample.
	baseRise = 0.00002
)

// service is the state shared by the targets of one service, and their lock.
type service struct {
	table *Table
	name  string
	epoch time.Time

	mu        sync.Mutex
	rand      *rand.Rand
	targets   []*target
	inflight  int
	latency   float64 // average of successes, nanoseconds; 0 if unknown
	base      float64 // latency without queues: its minimum, which rises slowly to follow lasting changes
	latencies latencies
	budget    budget
	ejecting  time.Time // the end of the last ejection

	// queued is the average number of calls that queue at a target, for each slot.
	queued float64
	// usual is the average number of calls that other entries have at a target, for each slot.
	usual float64
	trust trust
	// slowness is the average slowness that targets report, over so many reports.
	slowness  float64
	slownessN int
	// drag is the average drag of the targets that answer calls.
	drag float64
	// works has the usual time of calls by kind, in nanoseconds.
	works map[string]float64
	// bytes has the usual length of answers by kind.
	bytes map[string]float64
	// near says that targets in the failure domain of the entry are in operation.
	near bool
}

func newService(t *Table, name string, now time.Time, seed uint64) *service {
	return &service{
		table: t,
		name:  name,
		epoch: now,
		rand:  rand.New(rand.NewPCG(seed, 1)),
		drag:  1,
		works: map[string]float64{},
		bytes: map[string]float64{},
		budget: budget{
			epoch: now,
		},
	}
}

func (s *service) setTargets(list []*target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(list) > 0 && list[0].registered() {
		list = s.arrange(list)
	}
	s.targets = list
}

func (s *service) sample(d time.Duration) {
	s.latencies.add(d)
	if s.latency == 0 {
		s.latency = float64(d)
	}
	s.latency += (float64(d) - s.latency) * latencyMean
	if s.latencies.added < latencyMinimum || s.latency < s.base {
		s.base = s.latency
	}
	s.base += (s.latency - s.base) * baseRise
}

// choice is the best candidate so far, and why others were not candidates.
type choice struct {
	target *target
	score  float64
	until  time.Time
	trust  float64

	operating bool // a target is neither drained nor leaving
	warm      bool // a target is warm
}

// pick selects a target and starts an attempt. With spare, only a target with free capacity is selected.
func (s *service) pick(now time.Time, q Query, spare bool) (*Permit, outcome.Reason) {
	if s.live() {
		return s.pickRegistered(now, q)
	}
	c := choice{
		trust: s.trust.level(),
	}
	s.choose(now, &c, q, spare, true)
	if c.target == nil {
		// Nothing passed the random gates, or all targets were tried. Ejected targets stay left out: a refusal tells the
		// caller at once what a call to them would tell it later.
		if !spare {
			q.Tried = nil
		}
		s.choose(now, &c, q, spare, false)
	}
	if c.target != nil {
		return s.start(now, c), ""
	}
	switch {
	case !c.operating:
		return nil, outcome.Drained
	case !c.warm:
		return nil, outcome.Cold
	}
	return nil, outcome.QueueFull
}

// choose compares the targets. With gated, targets that are being joined, and cold ones, are considered by chance, and
// calls that are not idempotent avoid those that were ejected lately.
func (s *service) choose(now time.Time, c *choice, q Query, spare, gated bool) {
	n := len(s.targets)
	if n == 0 {
		return
	}
	ejecting := s.mayEject(now)
	count, at := min(n, scanLimit), 0
	if n > 1 {
		at = s.rand.IntN(n)
	}
	// From a random start, a stride without a common divisor with n visits distinct targets.
	stride := 1
	if n > scanLimit {
		stride = s.stride(n)
	}
	for i := 0; i < n; i++ {
		t := s.targets[at]
		at = (at + stride) % n
		if !t.operating() {
			continue
		}
		c.operating = true
		warm := t.isWarm()
		c.warm = c.warm || warm
		if slices.Contains(q.Tried, t.Name) || ejecting && t.barred(now, q.Idempotent || !gated) {
			continue
		}
		if !s.consider(now, c, t, q.Idempotent, spare, gated) {
			continue
		}
		if count--; count == 0 {
			return
		}
	}
}

func (s *service) stride(n int) int {
	for {
		stride := 1 + s.rand.IntN(n-1)
		a, b := n, stride
		for b != 0 {
			a, b = b, a%b
		}
		if a == 1 {
			return stride
		}
	}
}

// mayEject tells whether ejected targets are left out: never more than half of the service's targets.
func (s *service) mayEject(now time.Time) bool {
	if now.After(s.ejecting.Add(careTime)) {
		return false
	}
	ejected := 0
	for _, t := range s.targets {
		if now.Before(t.ejected) {
			ejected++
		}
	}
	return 2*ejected <= len(s.targets)
}

// consider makes the target the choice if it may take a call and has the best score. It returns false if it may not.
func (s *service) consider(now time.Time, c *choice, t *target, idempotent, spare, gated bool) bool {
	var until time.Time
	if t.isWarm() {
		if t.inflight >= t.allowed() {
			return false
		}
		if gated && !t.ramped(now, s.rand) {
			return false
		}
	} else {
		chance := coldChance
		if !idempotent {
			chance = coldChanceOnce
		}
		if spare || t.occupied(now) >= t.allowed() || gated && s.rand.Float64() > chance {
			return false
		}
		var owned bool
		until, owned = t.own(now)
		if !owned {
			return false
		}
	}
	load := t.load(now, c.trust)
	if spare && load >= float64(t.Slots) {
		return false
	}
	score := t.score(now, load, idempotent) * (1 + scoreNoise*s.rand.Float64())
	if c.target == nil || score < c.score {
		c.target, c.score, c.until = t, score, until
	}
	return true
}

func (s *service) start(now time.Time, c choice) *Permit {
	t := c.target
	t.inflight++
	s.inflight++
	t.started += now.Sub(s.epoch)
	return &Permit{
		Target:   t.Name,
		Domain:   t.Domain,
		Address:  t.Address,
		Instance: t.instance,
		Cold:     !t.isWarm(),
		LeaseEnd: c.until,
		target:   t,
		start:    now,
	}
}

// allowed returns how many calls this entry may have in flight at the target.
func (t *target) allowed() int {
	if t.isWarm() {
		return max(int(t.limit), 1)
	}
	return t.ColdConcurrency
}

// ramped tells whether a target that is being joined is considered this time.
func (t *target) ramped(now time.Time, r *rand.Rand) bool {
	if t.ramp.IsZero() {
		return true
	}
	part := float64(now.Sub(t.ramp)) / float64(rampTime)
	if part >= 1 {
		t.ramp = time.Time{}
		return true
	}
	return r.Float64() < max(part, rampFloor)
}

// own asks for ownership of a cold target. After a gap between leases the cold start is timed anew, because another
// owner may have seen the target fall in between.
func (t *target) own(now time.Time) (time.Time, bool) {
	if now.Sub(t.fell) < fallPause {
		return time.Time{}, false
	}
	until, owned := (*t.service.table.owner.Load())(now, t.Name)
	if !owned || float64(until.Sub(now)) <= leaseCalls*t.service.latency {
		return time.Time{}, false
	}
	if now.After(t.leased) {
		t.warming = time.Time{}
	}
	if until.After(t.leased) {
		t.leased = until
	}
	return until, true
}

// load estimates the calls at the target: this entry's own, and those of other entries. Of a report, only the deviation
// from the target's usual report counts, because a target can always report too little; that it is slow shows in its
// latency. The deviation loses its value within the time of a call.
func (t *target) load(now time.Time, trust float64) float64 {
	load := float64(t.inflight)
	if t.reported.IsZero() {
		return load + t.service.usual*float64(t.Slots)
	}
	x := 0.0
	if t.service.latency > 0 {
		x = float64(now.Sub(t.reported)) / t.service.latency
	}
	return max(load+t.service.usual*float64(t.Slots)+trust*(t.others-t.usual)/(1+x+x*x), 0)
}

// score is the time that a call is expected to take; the lowest is best.
func (t *target) score(now time.Time, load float64, idempotent bool) float64 {
	s := t.service
	slow := 1.0
	if s.latency > 0 {
		d := t.currentLatency(now)
		if !idempotent {
			d = t.careful(now)
		}
		if t.inflight > 0 {
			// Calls that hang show a slow target before they end.
			age := float64(now.Sub(s.epoch)) - float64(t.started)/float64(t.inflight)
			d = max(d, age)
		}
		slow = max(d/(s.latency*slowFactor), 1)
	}
	return slow * (1 + load/float64(t.Slots)) / (1 - min(t.currentFailures(now), 0.9))
}
