package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"skylarkbeam/outcome"
)

const (
	// maxScannedTargets is the number of targets that are compared for a call. Of a larger service, a random sample of
	// this size is compared.
	maxScannedTargets = 12
	// slowThreshold is the ratio to the usual latency above which a target counts as slow. The average of a few samples
	// varies by about a quarter without any cause.
	slowThreshold = 1.4
	// scoreJitter is the fraction by which scores vary at random. Without it, a target that is only slightly worse gets
	// no calls at all under low load.
	scoreJitter = 0.1
	// coldPickProbability is the probability that a cold target owned by this entry is considered for a call.
	coldPickProbability = 0.5
	// coldPickProbabilityNonIdempotent is the same for a non-idempotent call. It is lower because the end of the lease
	// leaves such a call with an unknown outcome, and not zero because a service may have no other calls to warm up its
	// targets.
	coldPickProbabilityNonIdempotent = 0.1
	// coldTransitionPause is how long the owner sends nothing to a target after a cold transition. The other entries
	// learn of the transition within about 50 ms, and the calls that they sent before have to end.
	coldTransitionPause = 200 * time.Millisecond
	// minLeaseLatencies is the minimum remaining lease, in multiples of the average latency, for a call to a cold
	// target. A call that is cut off by the end of the lease is wasted work.
	minLeaseLatencies = 3.0
	// minSlowStartProbability is the minimum probability that a target in slow start is considered.
	minSlowStartProbability = 0.05
	// serviceAverageWeight is the weight of a new sample in the averages of a service.
	serviceAverageWeight = 0.02
	// baseLatencyRise is the fraction of its distance to the average by which the base latency rises with each sample.
	baseLatencyRise = 0.00002
)

// service is the state shared by the targets of one service. Its lock guards the targets as well.
type service struct {
	table *Table
	name  string
	epoch time.Time

	mu              sync.Mutex
	rand            *rand.Rand
	targets         []*target
	ownTargets      int // registered targets at the beginning of targets that are in the entry's own failure domain
	inflight        int
	meanLatency     float64 // average of successful calls in nanoseconds; 0 if unknown
	baseLatency     float64 // latency without queueing: a minimum that rises slowly to follow lasting changes
	latencies       latencyHistogram
	budget          retryBudget
	lastEjectionEnd time.Time // latest ejectedUntil of the targets

	// queueLength is the average number of queued calls at a target, per slot.
	queueLength float64
	// otherLoad is the average number of calls that other entries have at a target, per slot.
	otherLoad  float64
	confidence reportConfidence
	// averageSlowdown is the average slowdown that targets reported, slowdownReports the number of these reports.
	averageSlowdown float64
	slowdownReports int
	// averageLatencyRatio is the average latency ratio of the targets that answer calls.
	averageLatencyRatio float64
	// serviceTimes is the average service time by kind of call, in nanoseconds.
	serviceTimes map[string]float64
	// responseBytes is the average length of responses by kind of call.
	responseBytes map[string]float64
	// loadReadsNameLimits means that a target of the service has named its limit in the response to a load read.
	loadReadsNameLimits bool
	// nextLimitedReturn is when the next call that was refused because of the limits is told to come back.
	nextLimitedReturn time.Time
	// ownDomainAvailable means that a target in the entry's own failure domain is in service.
	ownDomainAvailable bool
	versions           versionState
}

func newService(t *Table, name string, now time.Time, seed uint64) *service {
	return &service{
		table:               t,
		name:                name,
		epoch:               now,
		rand:                rand.New(rand.NewPCG(seed, 1)),
		averageLatencyRatio: 1,
		serviceTimes:        map[string]float64{},
		responseBytes:       map[string]float64{},
		budget: retryBudget{
			epoch: now,
		},
	}
}

func (s *service) setTargets(list []*target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(list) > 0 && list[0].registered() {
		s.targets, s.ownTargets = s.orderTargets(list)
		s.applyPolicy()
		return
	}
	s.targets = list
}

func (s *service) recordLatency(d time.Duration) {
	s.latencies.add(d)
	if s.meanLatency == 0 {
		s.meanLatency = float64(d)
	}
	s.meanLatency += (float64(d) - s.meanLatency) * serviceAverageWeight
	if s.latencies.added < minLatencySamples || s.meanLatency < s.baseLatency {
		s.baseLatency = s.meanLatency
	}
	s.baseLatency += (s.meanLatency - s.baseLatency) * baseLatencyRise
}

// choice is the best candidate so far, and why there may be none.
type choice struct {
	target     *target
	score      float64
	leaseEnd   time.Time
	confidence float64

	inService bool // at least one target is in service
	warm      bool // at least one target is warm
}

// pick selects a target and starts an attempt. With spareOnly, it selects only targets with spare capacity.
func (s *service) pick(now time.Time, q Query, spareOnly bool) (*Permit, outcome.Reason) {
	if s.usesRegistry() {
		return s.pickRegistered(now, q)
	}
	c := choice{
		confidence: s.confidence.level(),
	}
	s.choose(now, &c, q, spareOnly, true)
	if c.target == nil {
		// No target passed the random checks, or all were tried. Ejected targets remain excluded: a refusal fails the
		// call sooner than an attempt at one of them would.
		if !spareOnly {
			q.Tried = nil
		}
		s.choose(now, &c, q, spareOnly, false)
	}
	if c.target != nil {
		return s.start(now, c), ""
	}
	switch {
	case !c.inService:
		return nil, outcome.Drained
	case !c.warm:
		return nil, outcome.Cold
	}
	return nil, outcome.QueueFull
}

// choose compares the targets. With randomized, targets in slow start and cold targets are considered with a
// probability below one, and non-idempotent calls avoid targets that were ejected recently.
func (s *service) choose(now time.Time, c *choice, q Query, spareOnly, randomized bool) {
	n := len(s.targets)
	if n == 0 {
		return
	}
	ejecting := s.mayEject(now)
	count, index := min(n, maxScannedTargets), 0
	if n > 1 {
		index = s.rand.IntN(n)
	}
	// From a random start, a stride that is coprime to n visits distinct targets.
	stride := 1
	if n > maxScannedTargets {
		stride = s.stride(n)
	}
	for i := 0; i < n; i++ {
		t := s.targets[index]
		index = (index + stride) % n
		if !t.inService() {
			continue
		}
		c.inService = true
		warm := t.isWarm()
		c.warm = c.warm || warm
		if slices.Contains(q.Tried, t.Name) || ejecting && t.isEjected(now, q.Idempotent || !randomized) {
			continue
		}
		if !s.consider(now, c, t, q.Idempotent, spareOnly, randomized) {
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

// mayEject reports whether ejected targets are excluded. At most half of the targets of a service are.
func (s *service) mayEject(now time.Time) bool {
	if now.After(s.lastEjectionEnd.Add(idempotentOnlyTime)) {
		return false
	}
	ejected := 0
	for _, t := range s.targets {
		if now.Before(t.ejectedUntil) {
			ejected++
		}
	}
	return 2*ejected <= len(s.targets)
}

// consider makes the target the choice if it may take a call and has the best score so far. It reports whether the
// target may take a call.
func (s *service) consider(now time.Time, c *choice, t *target, idempotent, spareOnly, randomized bool) bool {
	var leaseEnd time.Time
	if !t.allowsCall(now) {
		return false
	}
	if t.isWarm() {
		if t.inflight >= t.concurrencyLimit() {
			return false
		}
		if randomized && !t.passesSlowStart(now, s.rand) {
			return false
		}
	} else {
		probability := coldPickProbability
		if !idempotent {
			probability = coldPickProbabilityNonIdempotent
		}
		if spareOnly || t.occupancy(now) >= t.concurrencyLimit() || randomized && s.rand.Float64() > probability {
			return false
		}
		var owned bool
		leaseEnd, owned = t.acquireLease(now)
		if !owned {
			return false
		}
	}
	load := t.load(now, c.confidence)
	if spareOnly && load >= float64(t.Slots) {
		return false
	}
	score := t.score(now, load, idempotent) * (1 + scoreJitter*s.rand.Float64())
	if c.target == nil || score < c.score {
		c.target, c.score, c.leaseEnd = t, score, leaseEnd
	}
	return true
}

func (s *service) start(now time.Time, c choice) *Permit {
	t := c.target
	t.inflight++
	s.inflight++
	t.startSum += now.Sub(s.epoch)
	p := &Permit{
		Target:   t.Name,
		Domain:   t.Domain,
		Address:  t.Address,
		Instance: t.instance,
		Cold:     !t.isWarm(),
		LeaseEnd: c.leaseEnd,
		target:   t,
		start:    now,
	}
	p.reserve(now)
	return p
}

// concurrencyLimit returns the number of calls that this entry may have in flight at the target.
func (t *target) concurrencyLimit() int {
	if t.isWarm() {
		return max(int(t.limit), 1)
	}
	return t.ColdConcurrency
}

// passesSlowStart reports whether the target is considered for a call. During slow start the probability grows with
// time.
func (t *target) passesSlowStart(now time.Time, r *rand.Rand) bool {
	if t.slowStartSince.IsZero() {
		return true
	}
	elapsed := float64(now.Sub(t.slowStartSince)) / float64(slowStartWindow)
	if elapsed >= 1 {
		t.slowStartSince = time.Time{}
		return true
	}
	return r.Float64() < max(elapsed, minSlowStartProbability)
}

// acquireLease requests ownership of a cold target. After a gap between leases the cold start is timed again, because
// another owner may have seen a cold transition in between.
func (t *target) acquireLease(now time.Time) (time.Time, bool) {
	if now.Sub(t.coldTransitionAt) < coldTransitionPause {
		return time.Time{}, false
	}
	until, owned := (*t.service.table.lease.Load())(now, t.Name)
	if !owned || float64(until.Sub(now)) <= minLeaseLatencies*t.service.meanLatency {
		return time.Time{}, false
	}
	if now.After(t.leaseEnd) {
		t.warmingSince = time.Time{}
	}
	if until.After(t.leaseEnd) {
		t.leaseEnd = until
	}
	return until, true
}

// load estimates the number of calls at the target, from this and other entries. Only the deviation of a report from
// the target's average report counts, because a target can report too little all the time; if such a target is slow,
// its latency shows it. The weight of the deviation decays within the duration of a call.
func (t *target) load(now time.Time, confidence float64) float64 {
	load := float64(t.inflight)
	if t.reportedAt.IsZero() {
		return load + t.service.otherLoad*float64(t.Slots)
	}
	age := 0.0
	if t.service.meanLatency > 0 {
		age = float64(now.Sub(t.reportedAt)) / t.service.meanLatency
	}
	return max(load+t.service.otherLoad*float64(t.Slots)+confidence*(t.otherCalls-t.usualOtherCalls)/(1+age+age*age), 0)
}

// score is a relative measure of the expected latency of a call; the lowest is best.
func (t *target) score(now time.Time, load float64, idempotent bool) float64 {
	s := t.service
	slow := 1.0
	if s.meanLatency > 0 {
		d := t.currentLatency(now)
		if !idempotent {
			d = t.cautiousLatency(now)
		}
		if t.inflight > 0 {
			// Calls in flight reveal a slow target before they end.
			age := float64(now.Sub(s.epoch)) - float64(t.startSum)/float64(t.inflight)
			d = max(d, age)
		}
		slow = max(d/(s.meanLatency*slowThreshold), 1)
	}
	return slow * (1 + load/float64(t.Slots)) / (1 - min(t.currentFailureRate(now), 0.9))
}
