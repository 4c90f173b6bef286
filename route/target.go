package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkbeam/outcome"
)

const (
	// latencyWeight is the weight of a new sample in the average latency of a target. Two samples of a target that is
	// five times slower raise the average to 1.9 times the usual latency.
	latencyWeight = 0.12
	// latencyDecayTime is the time without new samples after which two thirds of the latency above the usual one have
	// decayed, so that a target that was slow is tried again.
	latencyDecayTime = 3 * time.Second
	// otherCallsWeight is the weight of a new report in the average number of calls from other entries.
	otherCallsWeight = 0.1
	// failureWeight is the weight of a new result in the failure rate of a target.
	failureWeight = 0.2
	// ejectionFailureRate is the failure rate above which a target is ejected. Four consecutive failures of a target
	// without earlier ones reach it.
	ejectionFailureRate = 0.5
	// baseEjectionTime is the duration of the first ejection. Each further ejection doubles it.
	baseEjectionTime = 500 * time.Millisecond
	// maxEjectionTime is the upper bound of the duration of an ejection.
	maxEjectionTime = 30 * time.Second
	// idempotentOnlyTime is how long a target that was slow or failed gets idempotent calls only, because these can be
	// hedged and retried.
	idempotentOnlyTime = 10 * time.Second
	// slowStartWindow is the time over which an entry increases its use of a target that became warm or returned to
	// service.
	slowStartWindow = 2 * time.Second
	// staleColdGrace is the time after a target became warm during which its reports may still say cold because they
	// are stale.
	staleColdGrace = 2 * time.Second
	// drainingHold is the time since the last draining report after which a warm report counts, because load reads can
	// lag behind responses.
	drainingHold = 10 * time.Second
	// deadlineMargin is how long after its deadline a target may still run a call. The deadline is sent as the time
	// left when the request was written, so at the target it starts late by the transfer time.
	deadlineMargin = 100 * time.Millisecond
	// failureLatencyFactor is the minimum latency that a failure counts as, in multiples of the average latency.
	failureLatencyFactor = 3.0
)

// target is the state of one target at this entry. The lock of its service guards it.
type target struct {
	Target
	service *service
	// hash is the hash of the name.
	hash uint64

	inflight int
	// startSum is the sum of the start times of the calls in flight, from which their mean age is computed.
	startSum time.Duration

	// instance is the last known instance. It was alive at seenAt.
	instance string
	seenAt   time.Time
	// coldTransitions is the known number of cold transitions of the instance. coldTransitionAt is when this entry
	// learned of the last one.
	coldTransitions  int
	coldTransitionAt time.Time
	// warmGenerations holds the last generations known to be warm, pastInstances the last instances known to be gone,
	// and coldGenerations the last generations known to have turned cold again.
	warmGenerations [4]generation
	pastInstances   [4]string
	coldGenerations [4]generation
	warmSince       time.Time
	leaving         bool
	// drainingAt is the last time at which the instance reported draining.
	drainingAt time.Time

	// leaseEnd is the end of the last ownership lease. warmingSince is the time of the first response under an
	// uninterrupted sequence of leases.
	leaseEnd     time.Time
	warmingSince time.Time
	// runningUntil holds, for each call whose attempt has ended while the call may still run at the cold instance, the
	// latest end of the call.
	runningUntil []time.Time

	latency        float64 // nanoseconds; 0 if unknown
	latencyAt      time.Time
	failureRate    float64
	ejections      int
	ejectedUntil   time.Time
	slowStartSince time.Time
	limit          float64

	// otherCalls is the number of calls of other entries at the target as of the last report, usualOtherCalls its
	// average.
	otherCalls      float64
	usualOtherCalls float64
	reportedAt      time.Time

	// held means that the policy for versions keeps calls from the target.
	held bool

	registration
	statements
}

func newTarget(s *service, spec Target) *target {
	return &target{
		Target:  spec,
		service: s,
		hash:    xxhash.Sum64String(spec.Name),
		limit:   float64(max(spec.Slots, 1)),
	}
}

func (t *target) setSpec(now time.Time, spec Target) {
	if t.Drained && !spec.Drained {
		t.slowStartSince = now
	}
	if spec.Instance != "" {
		t.register(now, spec)
	}
	t.Target = spec
	t.Slots = max(spec.Slots, 1)
}

// generation is an instance after a number of cold transitions, which are changes of the instance from warm back to
// cold. That a generation became warm, or turned cold again, never becomes false, so these facts can arrive in any
// order.
type generation struct {
	instance        string
	coldTransitions int
}

// isWarm reports whether the current instance is known to be warm.
func (t *target) isWarm() bool {
	if t.registered() {
		return !t.cold
	}
	return t.instance != "" && slices.ContainsFunc(t.warmGenerations[:], func(g generation) bool {
		return g.instance == t.instance && g.coldTransitions >= t.coldTransitions
	})
}

func remember[T comparable](list *[4]T, x T) {
	if slices.Contains(list[:], x) {
		return
	}
	copy(list[1:], list[:3])
	list[0] = x
}

func (t *target) setWarm(now time.Time, instance string, coldTransitions int) {
	wasWarm := t.isWarm()
	remember(&t.warmGenerations, generation{
		instance:        instance,
		coldTransitions: coldTransitions,
	})
	if instance != t.instance && !slices.Contains(t.pastInstances[:], instance) {
		t.resetInstance(instance)
	}
	if instance == t.instance {
		t.coldTransitions = max(t.coldTransitions, coldTransitions)
	}
	if !wasWarm && t.isWarm() {
		t.beginSlowStart(now)
	}
}

// setColdTransitions records that the instance, which was warm, has turned cold again or has ended.
func (t *target) setColdTransitions(now time.Time, instance string, coldTransitions int) {
	remember(&t.coldGenerations, generation{
		instance:        instance,
		coldTransitions: coldTransitions,
	})
	if instance == t.instance && coldTransitions > t.coldTransitions {
		t.coldTransitions = coldTransitions
		t.coldTransitionAt = now
		t.warmingSince = time.Time{}
	}
}

// beginSlowStart starts the gradual use of a target that became warm.
func (t *target) beginSlowStart(now time.Time) {
	t.warmSince = now
	t.slowStartSince = now
	t.limit = 1
	t.warmingSince = time.Time{}
	t.otherCalls, t.usualOtherCalls, t.reportedAt = 0, 0, time.Time{}
}

// resetInstance sets the current instance and clears what was known of the previous one.
func (t *target) resetInstance(instance string) {
	if t.instance != "" {
		remember(&t.pastInstances, t.instance)
	}
	t.instance = instance
	t.coldTransitions = 0
	t.coldTransitionAt = time.Time{}
	for _, g := range t.coldGenerations {
		if g.instance == instance {
			t.coldTransitions = max(t.coldTransitions, g.coldTransitions)
		}
	}
	t.leaving = false
	t.drainingAt = time.Time{}
	t.statements = statements{}
	t.warmingSince = time.Time{}
	t.failureRate = 0
	t.ejections = 0
	t.ejectedUntil = time.Time{}
	t.latency = 0
	t.reportedAt = time.Time{}
	t.runningUntil = nil
}

// applyReport applies the instance and phase of a report. The process that sent it was alive at the time sent or later.
// Only a response to a call can turn a warm instance cold, because the phase in a load read can be stale.
func (t *target) applyReport(now, sent time.Time, r outcome.Report, fromCall bool) Event {
	if t.registered() {
		return t.applyRegisteredReport(now, r)
	}
	if r.Instance == "" || r.Instance != t.instance && sent.Before(t.seenAt) {
		return nil
	}
	var e Event
	if r.Instance != t.instance {
		e = t.changeInstance(now, r.Instance)
	}
	if sent.After(t.seenAt) {
		t.seenAt = sent
	}
	switch r.Phase {
	case outcome.PhaseDraining:
		t.drainingAt = sent
	case outcome.PhaseCold:
		if fromCall && t.isWarm() && sent.Sub(t.warmSince) > staleColdGrace {
			t.setColdTransitions(now, t.instance, t.coldTransitions+1)
			e = ColdDetected{
				Target:           t.Name,
				Instance:         t.instance,
				PreviousInstance: t.instance,
				ColdTransitions:  t.coldTransitions,
			}
		}
	case outcome.PhaseWarm:
		t.endDraining(now, sent)
	}
	return e
}

// changeInstance records a new instance.
func (t *target) changeInstance(now time.Time, instance string) Event {
	event := ColdDetected{
		Target:   t.Name,
		Instance: instance,
	}
	if t.isWarm() {
		event.PreviousInstance = t.instance
		event.ColdTransitions = t.coldTransitions + 1
	}
	t.resetInstance(instance)
	if t.isWarm() {
		t.beginSlowStart(now)
		return nil
	}
	return event
}

// endDraining ends the draining state after a warm report, unless a draining report is too recent.
func (t *target) endDraining(now, sent time.Time) {
	if !t.drainingAt.IsZero() && sent.Sub(t.drainingAt) > drainingHold {
		t.drainingAt = time.Time{}
		t.beginSlowStart(now)
	}
}

// inService reports whether the target may get new calls at all.
func (t *target) inService() bool { return !t.held && t.available() }

// available is inService regardless of the version of the target.
func (t *target) available() bool {
	return !t.Drained && !t.Leaving && !t.leaving && !t.saysLeaving && t.drainingAt.IsZero()
}

// setLoad takes the load of the whole target from a report and derives the part of other entries.
func (t *target) setLoad(now time.Time, r outcome.Report) {
	if r.Slots <= 0 {
		return
	}
	slots := float64(t.Slots)
	t.service.confidence.add(float64(t.inflight)/slots, float64(r.Active+r.Queued)/slots)
	t.otherCalls = max(float64(r.Active+r.Queued-t.inflight), 0)
	if r.Slowdown > 0 {
		t.slowdown = r.Slowdown
		t.service.recordSlowdown(r.Slowdown)
	}
	if t.reportedAt.IsZero() {
		t.usualOtherCalls = t.otherCalls
	}
	t.updateFull(now)
	t.usualOtherCalls += (t.otherCalls - t.usualOtherCalls) * otherCallsWeight
	s := t.service
	s.otherLoad += (t.otherCalls/slots - s.otherLoad) * serviceAverageWeight
	t.reportedAt = now
}

// finish ends an attempt.
func (t *target) finish(now time.Time, p *Permit, r Result) Event {
	s := t.service
	t.inflight--
	s.inflight--
	t.startSum -= p.start.Sub(s.epoch)
	e := t.applyReport(now, p.start, r.Report, r.Kind != Unsent)
	if until := r.RunningUntil.Add(deadlineMargin); !t.isWarm() && now.Before(until) &&
		(p.Instance == t.instance || p.Instance == "") {
		t.runningUntil = append(t.runningUntil, until)
	}
	if r.Report.Instance != "" && r.Report.Instance == t.instance && r.Kind != Unsent {
		t.setLoad(now, r.Report)
		s.recordQueue(r.Report)
	}
	switch r.Kind {
	case Succeeded:
		t.failureRate = t.currentFailureRate(now) * (1 - failureWeight)
		t.recordLatency(now, float64(r.Latency)/max(p.Estimate.Slowdown, 1))
		s.recordLatency(time.Duration(float64(r.Latency) / max(p.Estimate.Slowdown, 1)))
		if t.registered() {
			t.recordLatencyRatio(now, p, r.Latency, true)
			s.recordServiceTime(p, r.Latency)
			s.recordResponseLength(p, r.ResponseLength)
		}
		if t.failureRate < 0.05 {
			t.ejections = 0
		}
		t.limit = min(t.limit+1/t.limit, float64(2*t.Slots))
		if p.Cold && e == nil {
			e = t.completeWarmup(now, r.Report)
		}
	case Failed:
		t.recordFailure(now, r.Latency)
		if t.registered() {
			t.recordLatencyRatio(now, p, r.Latency, false)
		}
	case Shed:
		t.limit = max(t.limit*0.7, 1)
		t.recordLatency(now, max(float64(r.Latency), s.meanLatency))
		s.recordShed()
	case Unsent:
		if r.Report.Instance == "" {
			t.recordFailure(now, r.Latency)
		}
	case Canceled:
		// The attempt would have taken at least this long.
		if float64(r.Latency) > t.latency {
			t.recordLatency(now, float64(r.Latency))
		}
		if t.registered() {
			t.recordLatencyRatio(now, p, r.Latency, false)
		}
	}
	return e
}

// occupancy returns the number of calls of this entry at the cold target. It includes calls that may still run although
// their attempts have ended.
func (t *target) occupancy(now time.Time) int {
	t.runningUntil = slices.DeleteFunc(t.runningUntil, func(until time.Time) bool { return !now.Before(until) })
	return t.inflight + len(t.runningUntil)
}

// completeWarmup ends the cold start once its minimum duration has passed and the target no longer reports cold.
func (t *target) completeWarmup(now time.Time, r outcome.Report) Event {
	if r.Instance != t.instance || t.instance == "" || t.isWarm() {
		return nil
	}
	if t.warmingSince.IsZero() {
		t.warmingSince = now
	}
	if r.Phase == outcome.PhaseCold || now.Sub(t.warmingSince) < t.MinColdDuration {
		return nil
	}
	t.setWarm(now, t.instance, t.coldTransitions)
	return Warmed{
		Target:          t.Name,
		Instance:        t.instance,
		ColdTransitions: t.coldTransitions,
	}
}

func (t *target) recordLatency(now time.Time, d float64) {
	if t.latency == 0 {
		t.latency = t.service.meanLatency
	}
	if t.latency == 0 {
		t.latency = d
	}
	t.latency = t.currentLatency(now)
	t.latency += (d - t.latency) * latencyWeight
	t.latencyAt = now
}

// cautiousLatency returns the latency for a call that cannot be hedged: a slow target counts as slow for longer.
func (t *target) cautiousLatency(now time.Time) float64 {
	if now.Sub(t.latencyAt) < idempotentOnlyTime {
		return max(t.latency, t.currentLatency(now))
	}
	return t.currentLatency(now)
}

// isEjected reports whether the target is ejected for such a call. After an ejection, idempotent calls try it first.
func (t *target) isEjected(now time.Time, idempotent bool) bool {
	if idempotent || t.failureRate < failureWeight/2 {
		return now.Before(t.ejectedUntil)
	}
	return now.Before(t.ejectedUntil.Add(idempotentOnlyTime))
}

// currentLatency returns the average latency, which decays to the average of the service while there are no samples.
func (t *target) currentLatency(now time.Time) float64 {
	average := t.service.meanLatency
	if t.latency <= average || average == 0 {
		return t.latency
	}
	age := float64(now.Sub(t.latencyAt)) / float64(latencyDecayTime)
	return average + (t.latency-average)/(1+age+age*age)
}

// currentFailureRate returns the failure rate, which decays without calls so that the target is tried again.
func (t *target) currentFailureRate(now time.Time) float64 {
	age := max(float64(now.Sub(t.latencyAt))/float64(idempotentOnlyTime), 0)
	return t.failureRate / (1 + age + age*age)
}

// recordFailure records a failure. It counts with more than the usual latency, so that a target that fails fast
// attracts no load.
func (t *target) recordFailure(now time.Time, d time.Duration) {
	t.failureRate = t.currentFailureRate(now)
	t.failureRate += (1 - t.failureRate) * failureWeight
	t.recordLatency(now, max(float64(d), failureLatencyFactor*t.service.meanLatency))
	if t.failureRate < ejectionFailureRate || now.Before(t.ejectedUntil) {
		return
	}
	t.ejectedUntil = now.Add(min(baseEjectionTime<<min(t.ejections, 10), maxEjectionTime))
	t.ejections++
	if t.ejectedUntil.After(t.service.lastEjectionEnd) {
		t.service.lastEjectionEnd = t.ejectedUntil
	}
	t.slowStartSince = t.ejectedUntil
	// After the target returns, the next ejection takes two failures.
	t.failureRate = ejectionFailureRate - failureWeight
}
