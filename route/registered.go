package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"skylarkbeam/outcome"
)

// A registered target is selected by its expected latency. The load that the estimate is based on is read from a few
// targets right before each selection, because the other entries place calls between two calls of one entry, and noisy
// neighbors on a shared host change the speed of a target several times a second. The selection is designed for a load
// at which some targets are several times slower than others at any moment, all are nearly full, and a call that waits
// behind two others is late.

const (
	// slowdownTimeConstant is the time constant with which a reported slowdown decays to the average.
	slowdownTimeConstant = 200 * time.Millisecond
	// sendersPerColdTarget is the number of entries that send to one cold target. Each of them limits itself to its
	// part of the rate, so the target gets at most this many calls above its rate in any second.
	sendersPerColdTarget = 4
	// coldSlowdown is the factor by which a cold target is expected to be slower.
	coldSlowdown = 2
	// maxReportAge is the age up to which a report is used for a selection without another load read.
	maxReportAge = 15 * time.Millisecond
	// ApertureSize is the number of targets in a failure domain among which an entry selects while one of them has
	// room. With fewer targets, each is read more often and keeps its connections.
	ApertureSize = 12
	// MaxLoadReads is the number of targets whose load is read at once before a selection.
	MaxLoadReads = 3
	// fullRecheckInterval is how long a target that reported no free slot is not read again. Its calls take longer than
	// that, and while all targets are full, the budget of load reads would be spent on them within seconds.
	fullRecheckInterval = 60 * time.Millisecond
	// minUnreachableBackoff is how long a target that did not answer a load read gets no calls and no other load read.
	// It doubles with each further read without a response.
	minUnreachableBackoff = 100 * time.Millisecond
	// maxUnreachableBackoff is the upper bound of the backoff.
	maxUnreachableBackoff = time.Second
	// missedReadGrace is the time since the last report within which a target may miss one read, because a lost packet
	// looks the same as a target that does not answer.
	missedReadGrace = time.Second
	// slowPeriod is how long a target that reports a slowdown is expected to stay slow.
	slowPeriod = 300 * time.Millisecond
	// maxIdleSlowdown is the slowdown up to which an idle target is selected without comparing others.
	maxIdleSlowdown = 1.2
	// nearlyFullFraction is the fraction of its slots above which a target is expected to be slower.
	nearlyFullFraction = 0.8
	// nearlyFullSlowdown is the factor by which such a target is expected to be slower.
	nearlyFullSlowdown = 1.6
	// latencyRatioWeight is the weight of a call in the latency ratio of a target.
	latencyRatioWeight = 0.35
	// latencyRatioTimeConstant is the time constant with which the latency ratio decays without calls, so that a target
	// that was slow is tried again.
	latencyRatioTimeConstant = 4 * time.Second
	// maxLatencyRatio limits the latency ratio of a single call.
	maxLatencyRatio = 20
	// minExpectedLatency is the minimum expected latency used for the latency ratio, because the latency includes the
	// network round trip.
	minExpectedLatency = 50 * time.Millisecond
	// callKindWeight is the weight of a call in the averages of its kind.
	callKindWeight = 0.05
	// defaultServiceTimeFraction is the fraction of the latency objective that a call of a kind without samples is
	// expected to take.
	defaultServiceTimeFraction = 0.4
	// defaultServiceTime is the service time of a call of which nothing is known.
	defaultServiceTime = 100 * time.Millisecond
	// crossDomainCostPerByte is the cost of a byte between failure domains, in timely responses: 15 responses per
	// megabyte.
	crossDomainCostPerByte = 15e-6
	// headerBytes is the size of the headers of a call and its response.
	headerBytes = 600
	// defaultBulkBytes is the response size of bulk calls of a kind without samples.
	defaultBulkBytes = 100e3
	// defaultBytes is the response size of other calls of a kind without samples.
	defaultBytes = 2e3
	// lowCrossDomainCost is the cost up to which a call goes to another failure domain freely.
	lowCrossDomainCost = 0.05
	// highCrossDomainCost is the cost above which a call goes to another failure domain only if it would miss its
	// deadline otherwise.
	highCrossDomainCost = 0.9
	// minServiceTimesToSoftDeadline is the time left until the soft deadline, in service times, above which a call that
	// costs more than lowCrossDomainCost waits for a target in its own failure domain.
	minServiceTimesToSoftDeadline = 2
	// minServiceTimesToDeadline is the time left until the deadline, in service times, above which a call that costs more
	// than highCrossDomainCost waits for a target in its own failure domain.
	minServiceTimesToDeadline = 3
	// logLatencyDeviation is the standard deviation of the logarithm of the latency, relative to the expected latency.
	logLatencyDeviation = 0.35
	// lateCallHoldoff is how long a slot that became free is reserved for calls, of any entry, that can meet their soft
	// deadline. Entries with waiting calls read the load of targets every 30 ms.
	lateCallHoldoff = 60 * time.Millisecond
	// latencyCostWeight is the additional cost of a response that takes all of the latency objective, compared with an
	// immediate one, if both are in time.
	latencyCostWeight = 0.05
)

// registration is the state of a registered target, which a registry lists with its instance.
type registration struct {
	// cold means that the instance is in its cold start, which ends at coldUntil.
	cold      bool
	coldUntil time.Time
	// nextColdCall is when this entry may send the next call to the cold target.
	nextColdCall time.Time
	// slowdown is the last slowdown that the target reported.
	slowdown float64
	// latencyRatio is the average ratio of actual to expected latency, as of latencyRatioAt.
	latencyRatio   float64
	latencyRatioAt time.Time
	// full means that the last report showed no free slot. freedAt is the time of the first report after that with a
	// free slot.
	full    bool
	freedAt time.Time
	// wrongInstance means that another instance answers at the address.
	wrongInstance bool
	// failedReads is the number of consecutive load reads without a response in time. It counts neither the one
	// that may be missed nor those that were in flight when the target became unreachable.
	failedReads int
	// missedRead means that a recent load read was missed, which does not make the target unreachable yet.
	missedRead bool
	// unreachableSince is when the target became unreachable.
	unreachableSince time.Time
	// unreachableUntil is when it is due for another load read.
	unreachableUntil time.Time
}

// registered reports whether the target comes from a registry.
func (t *target) registered() bool { return t.Instance != "" }

// register applies the registry's entry for the target.
func (t *target) register(now time.Time, spec Target) {
	t.instance = spec.Instance
	if spec.StartedAt > t.StartedAt {
		t.statements = statements{}
	}
	if spec.ColdUntil.After(now) && spec.ColdUntil.After(t.coldUntil) {
		t.setColdUntil(now, spec.ColdUntil)
	}
}

// applyRegisteredReport applies a report to a registered target, whose instance is given by the registry.
func (t *target) applyRegisteredReport(now time.Time, r outcome.Report) Event {
	if r.Instance == "" {
		return nil
	}
	var e Event
	if t.failedReads > 0 {
		e = Recovered{
			Target:   t.Name,
			Downtime: now.Sub(t.unreachableSince),
		}
	}
	t.failedReads, t.missedRead = 0, false
	t.wrongInstance = r.Instance != t.Instance
	if t.wrongInstance {
		return e
	}
	if r.ColdRemaining > 0 {
		t.setColdUntil(now, now.Add(r.ColdRemaining))
	}
	if r.Phase == outcome.PhaseDraining {
		t.drainingAt = now
	} else if r.Phase == outcome.PhaseWarm {
		t.drainingAt = time.Time{}
	}
	return e
}

// setColdUntil starts or extends the cold start of the target.
func (t *target) setColdUntil(now, until time.Time) {
	if !t.cold {
		t.cold = true
		t.nextColdCall = now
	}
	t.coldUntil = until
}

// updateCold ends the cold start once its time is over.
func (t *target) updateCold(now time.Time) {
	if t.cold && !now.Before(t.coldUntil) {
		t.cold = false
	}
}

// usable reports whether a call may go to the registered target.
func (t *target) usable(now time.Time, q Query) bool {
	t.updateCold(now)
	return t.reachable() && t.inflight < t.Slots &&
		!slices.Contains(q.Tried, t.Name) && (!t.cold || t.mayTakeColdCall(now)) && t.allowsCall(now)
}

// mayTakeColdCall reports whether this entry may send a call to the cold target now.
func (t *target) mayTakeColdCall(now time.Time) bool {
	if t.ColdRate <= 0 || now.Before(t.nextColdCall) {
		return false
	}
	_, owned := (*t.service.table.lease.Load())(now, t.Name)
	return owned
}

// pickRegistered selects the registered target with room and the lowest cost, and starts an attempt.
func (s *service) pickRegistered(now time.Time, q Query) (*Permit, outcome.Reason) {
	q = s.allowTriedIfAlone(q)
	for list := range s.candidateLists(now, q) {
		if best := s.cheapest(now, q, list); best != nil {
			best.inflight++
			s.inflight++
			best.startSum += now.Sub(s.epoch)
			return best.newPermit(now, q), ""
		}
	}
	inService, warm := false, false
	for _, t := range s.targets {
		inService = inService || t.inService() && !t.wrongInstance
		warm = warm || t.inService() && !t.wrongInstance && !t.cold
	}
	switch {
	case !inService:
		return s.pickHeld(now, q)
	case !warm:
		return nil, outcome.Cold
	}
	if wait, blocked := s.blocked(now); blocked != "" && float64(wait)+s.serviceTime(q) > float64(q.TimeToDeadline) {
		return nil, blocked
	}
	return nil, outcome.QueueFull
}

// candidates returns the targets to which the call may go: those in the aperture of the entry's own failure domain, or
// more while none of these has room, and the same of the other domains unless the call waits for its own.
func (s *service) candidates(now time.Time, q Query) []*target {
	ejecting := s.mayEject(now)
	own, others := s.targets[:s.ownTargets], s.targets[s.ownTargets:]
	s.ownDomainAvailable = slices.ContainsFunc(own, func(t *target) bool {
		return t.reachable() && t.mayTakeLimitedCall(now) && !t.paused(now)
	})
	list := s.aperture(now, q, own, ejecting)
	if s.waitsForOwnDomain(q) {
		return list
	}
	return append(list, s.aperture(now, q, others, ejecting)...)
}

// aperture returns the usable ones among the first reachable targets of a list: ApertureSize of them, or more while none
// has room.
func (s *service) aperture(now time.Time, q Query, targets []*target, ejecting bool) []*target {
	var list []*target
	counted, room := 0, false
	for _, t := range targets {
		if counted >= ApertureSize && room {
			break
		}
		if !t.reachable() {
			continue
		}
		counted++
		if !t.usable(now, q) || ejecting && t.isEjected(now, q.Idempotent) {
			continue
		}
		list = append(list, t)
		room = room || t.hasRoom(t.estimatedLoad(now))
	}
	return list
}

// reachable reports whether the registered target is in service and answers.
func (t *target) reachable() bool { return t.inService() && !t.wrongInstance && t.failedReads == 0 }

// updateFull updates full and freedAt after a report.
func (t *target) updateFull(now time.Time) {
	full := !t.hasRoom(float64(t.inflight) + t.otherCalls)
	if t.full && !full {
		t.freedAt = now
	}
	t.full = full
}

// hasRoom reports whether one more call finds a free slot at the given load.
func (t *target) hasRoom(load float64) bool { return load <= float64(t.Slots)-0.5 }

// orderTargets returns the targets in the order in which this entry uses them, starting with those in its own failure
// domain. Within each group, the order starts at an offset given by the position of the entry among those of its
// failure domain. The apertures of the entries thus cover the targets evenly, and shift only a little when an entry
// joins or leaves. ownTargets is the number of targets in the entry's own failure domain.
func (s *service) orderTargets(list []*target) (ordered []*target, ownTargets int) {
	own, others := make([]*target, 0, len(list)), make([]*target, 0, len(list))
	for _, t := range list {
		if t.inOtherDomain() {
			others = append(others, t)
		} else {
			own = append(own, t)
		}
	}
	index, count := s.table.entryPosition()
	return append(sortAndRotate(own, index, count), sortAndRotate(others, index, count)...), len(own)
}

// sortAndRotate sorts targets by the hash of their names and rotates the list by index/count of its length.
func sortAndRotate(list []*target, index, count int) []*target {
	slices.SortFunc(list, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
	})
	if len(list) == 0 {
		return list
	}
	offset := index * len(list) / count % len(list)
	return slices.Concat(list[offset:], list[:offset])
}

// SetPosition sets the position of this entry among the entries of its failure domain, from 0 to count - 1.
func (t *Table) SetPosition(index, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.position.Store(&entryPosition{
		index: index,
		count: max(count, 1),
	})
	for _, s := range t.view.Load().services {
		s.mu.Lock()
		if s.usesRegistry() {
			s.targets, s.ownTargets = s.orderTargets(s.targets)
		}
		s.mu.Unlock()
	}
}

// entryPosition is the position of an entry among those of its failure domain.
type entryPosition struct {
	index int
	count int
}

func (t *Table) entryPosition() (index, count int) {
	p := t.position.Load()
	return p.index, p.count
}

// shouldWait reports whether the call should stay in the wait queue rather than go to the target at the given load. It
// should if another target could still meet the soft deadline, if this target cannot meet the deadline, or if its slow
// period is expected to end before the call would. A slot that is held for a second by a late call could serve four
// calls in that time.
func (s *service) shouldWait(now time.Time, t *target, q Query, load float64) bool {
	expected, serviceTime := t.expectedLatency(now, q, load), s.serviceTime(q)
	if q.LatencyObjective > 0 && serviceTime < float64(q.TimeToSoftDeadline) {
		if expected > float64(q.TimeToSoftDeadline) {
			return true
		}
	} else if q.LatencyObjective > 0 && now.Sub(t.freedAt) < lateCallHoldoff {
		return true
	}
	if q.TimeToDeadline <= 0 {
		return false
	}
	usualLatency := serviceTime * t.slowdownFactor(load, 1, t.relativeLatencyRatio(now), t.cold)
	if left := float64(q.TimeToDeadline); expected > left && usualLatency < left {
		return true
	}
	return expected-usualLatency > float64(slowPeriod) && float64(q.TimeToDeadline) > float64(slowPeriod)+2*usualLatency
}

// newPermit returns a permit for the registered target. The call is already counted as in flight.
func (t *target) newPermit(now time.Time, q Query) *Permit {
	load := t.estimatedLoad(now) - 1 // without the call itself
	p := &Permit{
		Target:   t.Name,
		Domain:   t.Domain,
		Address:  t.Address,
		Instance: t.Instance,
		Version:  t.Version,
		Estimate: Estimate{
			Load:            max(load, 0),
			Slowdown:        t.currentSlowdown(now),
			LatencyRatio:    t.relativeLatencyRatio(now),
			ExpectedLatency: time.Duration(t.expectedLatency(now, q, load)),
			Cold:            t.cold,
		},
		target: t,
		start:  now,
		query:  q,
	}
	if !t.reportedAt.IsZero() {
		p.Estimate.ReportAge = now.Sub(t.reportedAt)
	}
	p.reserve(now)
	p.countTrial()
	if t.cold {
		t.nextColdCall = now.Add(time.Duration(sendersPerColdTarget / t.ColdRate * float64(time.Second)))
	}
	return p
}

// estimatedLoad estimates the number of calls at the target. The calls of other entries are assumed to return to their
// average once the report is older than the duration of a call.
func (t *target) estimatedLoad(now time.Time) float64 {
	s := t.service
	average := s.otherLoad * float64(t.Slots)
	if t.reportedAt.IsZero() {
		return float64(t.inflight) + average
	}
	age := float64(now.Sub(t.reportedAt)) / max(s.meanLatency, float64(defaultServiceTime))
	return float64(t.inflight) + max(average+(t.otherCalls-average)*math.Exp(-age), 0)
}

// defaultSlowdown is the average slowdown until targets have reported any.
const defaultSlowdown = 1.5

// recordSlowdown updates the average slowdown from a report.
func (s *service) recordSlowdown(slowdown float64) {
	s.slowdownReports++
	s.averageSlowdown += (slowdown - s.averageSlowdown) * max(serviceAverageWeight, 1/float64(s.slowdownReports))
}

// meanSlowdown returns the expected slowdown of a target without recent reports.
func (s *service) meanSlowdown() float64 {
	if s.slowdownReports == 0 {
		return defaultSlowdown
	}
	return max(s.averageSlowdown, 1)
}

// currentSlowdown returns the expected slowdown of the target at the given time.
func (t *target) currentSlowdown(now time.Time) float64 {
	average := t.service.meanSlowdown()
	if t.slowdown == 0 {
		return average
	}
	age := float64(now.Sub(t.reportedAt)) / float64(slowdownTimeConstant)
	return average + (t.slowdown-average)*math.Exp(-age)
}

// relativeLatencyRatio returns the latency ratio of the target relative to the average of the service. What all targets
// have in common is part of the service time.
func (t *target) relativeLatencyRatio(now time.Time) float64 {
	return max(t.currentLatencyRatio(now)/max(t.service.averageLatencyRatio, 1), 1)
}

// currentLatencyRatio returns the latency ratio of the target, which decays to 1 without calls.
func (t *target) currentLatencyRatio(now time.Time) float64 {
	if t.latencyRatio <= 1 {
		return 1
	}
	return 1 + (t.latencyRatio-1)*math.Exp(-float64(now.Sub(t.latencyRatioAt))/float64(latencyRatioTimeConstant))
}

// recordLatencyRatio updates the latency ratio from a call. A call that did not complete can only raise it.
func (t *target) recordLatencyRatio(now time.Time, p *Permit, latency time.Duration, completed bool) {
	ratio := float64(latency) / max(float64(p.Estimate.ExpectedLatency), float64(minExpectedLatency)) *
		p.Estimate.LatencyRatio
	previous := t.currentLatencyRatio(now)
	if !completed && ratio <= previous {
		return
	}
	t.latencyRatio = previous + (min(max(ratio, 1), maxLatencyRatio)-previous)*latencyRatioWeight
	t.latencyRatioAt = now
	if completed {
		t.service.averageLatencyRatio += (t.latencyRatio - t.service.averageLatencyRatio) * serviceAverageWeight
	}
}

// serviceTime returns the usual duration of calls of this kind at a target without slowdown, in nanoseconds.
func (s *service) serviceTime(q Query) float64 {
	if w, ok := s.serviceTimes[q.Kind]; ok {
		return w
	}
	if q.LatencyObjective > 0 {
		return defaultServiceTimeFraction * float64(q.LatencyObjective)
	}
	return max(s.meanLatency, float64(defaultServiceTime))
}

// ServiceTime returns the usual duration of calls like q at a target without slowdown.
func (t *Table) ServiceTime(service string, q Query) time.Duration {
	s := t.view.Load().services[service]
	if s == nil {
		return defaultServiceTime
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.serviceTime(q))
}

// recordServiceTime updates the service time from a call that did not wait at its target.
func (s *service) recordServiceTime(p *Permit, latency time.Duration) {
	kind := p.query.Kind
	if kind == "" || p.Estimate.Load > float64(p.target.Slots)-0.5 {
		return
	}
	sample := float64(latency) /
		p.target.slowdownFactor(p.Estimate.Load, p.Estimate.Slowdown, p.Estimate.LatencyRatio, p.Estimate.Cold)
	w, ok := s.serviceTimes[kind]
	if !ok {
		w = sample
	}
	s.serviceTimes[kind] = w + (sample-w)*callKindWeight
}

// recordResponseLength updates the average response length of a kind of call. The cost between failure domains follows
// a change within about 20 calls.
func (s *service) recordResponseLength(p *Permit, length int64) {
	kind := p.query.Kind
	if kind == "" || length < 0 {
		return
	}
	b, ok := s.responseBytes[kind]
	if !ok {
		b = float64(length)
	}
	s.responseBytes[kind] = b + (float64(length)-b)*callKindWeight
}

// crossDomainCost returns the cost of sending the call to another failure domain, in timely responses.
func (s *service) crossDomainCost(q Query) float64 {
	b, ok := s.responseBytes[q.Kind]
	switch {
	case ok:
	case q.Bulk:
		b = defaultBulkBytes
	default:
		b = defaultBytes
	}
	return (b + float64(q.BodySize) + headerBytes) * crossDomainCostPerByte
}

// waitsForOwnDomain reports whether the call should wait for a target in the entry's own failure domain instead of
// going to another one.
func (s *service) waitsForOwnDomain(q Query) bool {
	if !s.ownDomainAvailable {
		return false
	}
	cost, serviceTime := s.crossDomainCost(q), s.serviceTime(q)
	return cost > lowCrossDomainCost && float64(q.TimeToSoftDeadline) > minServiceTimesToSoftDeadline*serviceTime ||
		cost > highCrossDomainCost && float64(q.TimeToDeadline) > minServiceTimesToDeadline*serviceTime
}

// inOtherDomain reports whether the target is in another failure domain than the entry.
func (t *target) inOtherDomain() bool { return t.Domain != t.service.table.domain }

// slowdownFactor returns the factor by which a call takes longer than usual at the target at the given load.
func (t *target) slowdownFactor(load, slowdown, latencyRatio float64, cold bool) float64 {
	factor := slowdown * latencyRatio
	if load+1 >= nearlyFullFraction*float64(t.Slots) {
		factor *= nearlyFullSlowdown
	}
	if cold {
		factor *= coldSlowdown
	}
	return factor
}

// expectedLatency returns the expected latency of a call at the target at the given load, in nanoseconds.
func (t *target) expectedLatency(now time.Time, q Query, load float64) float64 {
	s := t.service
	factor := t.slowdownFactor(load, t.currentSlowdown(now), t.relativeLatencyRatio(now), t.cold)
	d := s.serviceTime(q) * factor
	if ahead := load - float64(t.Slots) + 1; ahead > 0 {
		d += ahead / float64(t.Slots) * max(s.meanLatency, float64(defaultServiceTime)) * factor
	}
	return d
}

// cost returns the cost of sending the call to the target, in timely responses. It adds up the probability that the
// response is late, the failure rate, the cost of bytes between failure domains, and a small cost for the latency.
func (t *target) cost(now time.Time, q Query, load float64) float64 {
	s := t.service
	d := t.expectedLatency(now, q, load)
	objective := float64(q.LatencyObjective)
	if objective <= 0 {
		objective = max(float64(q.TimeToDeadline), float64(defaultServiceTime))
	}
	c := latencyCostWeight*d/objective + t.currentFailureRate(now)
	if q.LatencyObjective > 0 {
		c += lateProbability(d, float64(q.TimeToSoftDeadline))
	}
	if t.inOtherDomain() {
		c += s.crossDomainCost(q)
	}
	if now.Sub(t.reportedAt) > maxReportAge {
		// Of two targets that are expected to be alike, the one with a recent report goes first: the other may have
		// changed, or may not even answer.
		c += scoreJitter * latencyCostWeight
	}
	return c
}

// lateProbability returns the probability that a call with expected latency d takes longer than left.
func lateProbability(d, left float64) float64 {
	if left <= 0 {
		return 1
	}
	return 0.5 * math.Erfc(math.Log(left/d)/(logLatencyDeviation*math.Sqrt2))
}

// LoadReads are the load reads that are due before a call is placed.
type LoadReads struct {
	// Targets are to be read for the call: those with the lowest expected cost whose last report is too old.
	Targets []string
	// Background are targets to which the call does not go, and which are due for a load read: they did not answer the
	// last one, or limit the rate of their calls. The call need not wait for these.
	Background []string
	// Idle means that a target is known to be idle and that no better one is being read, so that the call can be placed.
	Idle bool
}

// LoadReads returns the load reads that are due before a call is placed. Targets in reading are being read for it already.
func (t *Table) LoadReads(now time.Time, service string, q Query, reading []string) LoadReads {
	s := t.view.Load().services[service]
	if s == nil {
		return LoadReads{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.usesRegistry() {
		return LoadReads{}
	}
	reads := s.loadReads(now, q, reading)
	reads.Background = append(s.unreachableDue(now), s.limitedDue(now)...)
	return reads
}

// unreachableDue returns the unreachable targets that are due for a load read, and schedules their next one.
func (s *service) unreachableDue(now time.Time) []string {
	var names []string
	counted := 0
	for _, t := range s.targets {
		if counted == ApertureSize {
			break
		}
		if t.failedReads == 0 {
			counted++
		} else if (t.inService() || t.inTrial(now)) && !t.paused(now) && now.After(t.unreachableUntil) {
			t.unreachableUntil = now.Add(maxUnreachableBackoff)
			names = append(names, t.Name)
		}
	}
	return names
}

func (s *service) loadReads(now time.Time, q Query, reading []string) LoadReads {
	type candidate struct {
		target *target
		score  float64
	}
	var candidates []candidate
	q = s.allowTriedIfAlone(q)
	for _, t := range s.firstCandidates(now, q) {
		candidates = append(candidates, candidate{
			target: t,
			score:  t.cost(now, q, t.estimatedLoad(now)) + scoreJitter*latencyCostWeight*s.rand.Float64(),
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	var reads LoadReads
	awaited := false
	for _, c := range candidates {
		age := now.Sub(c.target.reportedAt)
		switch {
		case len(reads.Targets) == MaxLoadReads:
			return reads
		case age > maxReportAge && slices.Contains(reading, c.target.Name):
			awaited = true
		case age > maxReportAge:
			if !c.target.full || age > fullRecheckInterval {
				reads.Targets = append(reads.Targets, c.target.Name)
			}
		case c.target.estimatedLoad(now) < 0.5 && c.target.slowdown <= maxIdleSlowdown && !c.target.cold:
			reads.Idle = len(reads.Targets) == 0 && !awaited
			return reads
		}
	}
	return reads
}

// LoadReadFailed records that a load read, started at the given time, got no response in time. It returns Unreachable
// when the target becomes unreachable.
func (t *Table) LoadReadFailed(now, sent time.Time, name string) Event {
	tgt := t.view.Load().targets[name]
	if tgt == nil {
		return nil
	}
	tgt.service.mu.Lock()
	defer tgt.service.mu.Unlock()
	if !tgt.missedRead && now.Sub(tgt.reportedAt) < missedReadGrace {
		tgt.missedRead = true
		return nil
	}
	if tgt.failedReads > 0 && sent.Before(tgt.unreachableSince) {
		// This read was in flight when the target became unreachable, so it carries no new information: a pause of this
		// machine fails both.
		return nil
	}
	tgt.unreachableUntil = now.Add(min(minUnreachableBackoff<<min(tgt.failedReads, 10), maxUnreachableBackoff))
	tgt.failedReads++
	if tgt.failedReads > 1 {
		return nil
	}
	tgt.unreachableSince = now
	return Unreachable{
		Target: name,
	}
}

// ExpectedThroughput returns the number of calls per second that the targets of a service are expected to take from
// this entry. A target that just became unreachable counts until its next load read, because most targets answer that
// one, and calls refused in the meantime would be lost.
func (t *Table) ExpectedThroughput(now time.Time, service string, q Query) float64 {
	s := t.view.Load().services[service]
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	throughput := 0.0
	for _, tgt := range s.targets {
		if tgt.mayServe() && !tgt.wrongInstance && tgt.failedReads <= 1 && !tgt.cold {
			slowdown := tgt.slowdownFactor(float64(tgt.Slots), s.meanSlowdown(), tgt.relativeLatencyRatio(now), false)
			throughput += tgt.throughput(now, float64(tgt.Slots)/slowdown/(s.serviceTime(q)/float64(time.Second)))
		}
	}
	return throughput
}
