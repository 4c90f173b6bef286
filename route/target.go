package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkbeam/outcome"
)

const (
	// latencyWeight is the weight of a new sample in the latency average of a target: two samples of a target five
	// times slower bring the average to 1.9 times the usual.
	latencyWeight = 0.12
	// latencyFade is the time in which two thirds of a latency above the usual are forgotten without new samples, so that a
	// target that was slow is tried again.
	latencyFade = 3 * time.Second
	// usualWeight is the weight of a new report in the usual load of a target.
	usualWeight = 0.1
	// failureWeight is the weight of a new result in the failure rate of a target.
	failureWeight = 0.2
	// ejectRate is the failure rate above which a target is ejected: four failures in a row from a clean state.
	ejectRate = 0.5
	// ejectTime is the duration of the first ejection; each further one doubles it up to ejectLimit.
	ejectTime  = 500 * time.Millisecond
	ejectLimit = 30 * time.Second
	// careTime is how long a target that was slow or failed is tried only with idempotent calls, which can be hedged
	// and repeated.
	careTime = 10 * time.Second
	// rampTime is the time in which an entry takes up its whole use of a target that became warm or returned.
	rampTime = 2 * time.Second
	// coldGrace is the time after a target became warm in which its reports may still say cold, because they are stale.
	coldGrace = 2 * time.Second
	// drainMemory is how long a target must not have reported to drain before a report that it is warm counts, because
	// load reads can lag behind answers.
	drainMemory = 10 * time.Second
	// stopTime is how long after its deadline a target may still run a call: the call's deadline travels as the time that
	// was left when it was written.
	stopTime = 100 * time.Millisecond
	// failureCost is the latency, in multiples of the usual one, that a failure is charged at least.
	failureCost = 3.0
)

// target is the state of one target at this entry. The lock of its service guards it.
type target struct {
	Target
	service *service
	// hash is that of the name.
	hash uint64

	inflight int
	// started is the sum of the start times of the calls in flight, for their mean age.
	started time.Duration

	// instance is the last process start seen, alive at the time seen.
	instance string
	seen     time.Time
	// falls is how often the instance has fallen cold again since its start, as far as that is known, fell when this entry
	// learned of the last time.
	falls int
	fell  time.Time
	// warm holds the last instances known to be warm, with their falls then, past those known to be gone, and fallen
	// those that fell, with their falls.
	warm    [4]generation
	past    [4]string
	fallen  [4]generation
	warmAt  time.Time
	leaving bool
	// draining is the last time at which the instance reported to drain.
	draining time.Time

	// leased is the end of the last ownership lease. Warming is the time of the first answer under an unbroken
	// sequence of leases.
	leased  time.Time
	warming time.Time
	// running holds until when calls whose attempts have ended may still run at the cold instance.
	running []time.Time

	latency   float64 // nanoseconds; 0 if unknown
	latencyAt time.Time
	failures  float64
	ejections int
	ejected   time.Time
	ramp      time.Time
	limit     float64

	// others is the number of calls that other entries had at the target at the last report, usual its average.
	others   float64
	usual    float64
	reported time.Time

	registration
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
		t.ramp = now
	}
	if spec.Instance != "" {
		t.register(now, spec)
	}
	t.Target = spec
	t.Slots = max(spec.Slots, 1)
}

// generation is an instance of a target after so many falls. Both what is warm and what has fallen are facts that never become
// false, so they can arrive in any order.
type generation struct {
	instance string
	falls    int
}

// isWarm tells whether the current instance is known to be warm.
func (t *target) isWarm() bool {
	if t.registered() {
		return !t.cold
	}
	return t.instance != "" && slices.ContainsFunc(t.warm[:], func(l generation) bool {
		return l.instance == t.instance && l.falls >= t.falls
	})
}

func remember[T comparable](list *[4]T, x T) {
	if slices.Contains(list[:], x) {
		return
	}
	copy(list[1:], list[:3])
	list[0] = x
}

func (t *target) setWarm(now time.Time, instance string, falls int) {
	was := t.isWarm()
	remember(&t.warm, generation{
		instance: instance,
		falls:    falls,
	})
	if instance != t.instance && !slices.Contains(t.past[:], instance) {
		t.replace(instance)
	}
	if instance == t.instance {
		t.falls = max(t.falls, falls)
	}
	if !was && t.isWarm() {
		t.join(now)
	}
}

// setFalls takes note that the instance has fallen cold again, or ended, after it was warm.
func (t *target) setFalls(now time.Time, instance string, falls int) {
	remember(&t.fallen, generation{
		instance: instance,
		falls:    falls,
	})
	if instance == t.instance && falls > t.falls {
		t.falls = falls
		t.fell = now
		t.warming = time.Time{}
	}
}

// join starts the gradual use of a target that became warm.
func (t *target) join(now time.Time) {
	t.warmAt = now
	t.ramp = now
	t.limit = 1
	t.warming = time.Time{}
	t.others, t.usual, t.reported = 0, 0, time.Time{}
}

// replace makes instance the current one, with nothing known about it.
func (t *target) replace(instance string) {
	if t.instance != "" {
		remember(&t.past, t.instance)
	}
	t.instance = instance
	t.falls = 0
	t.fell = time.Time{}
	for _, l := range t.fallen {
		if l.instance == instance {
			t.falls = max(t.falls, l.falls)
		}
	}
	t.leaving = false
	t.draining = time.Time{}
	t.warming = time.Time{}
	t.failures = 0
	t.ejections = 0
	t.ejected = time.Time{}
	t.latency = 0
	t.reported = time.Time{}
	t.running = nil
}

// identify takes instance and phase from a report of a process that was alive at the time sent or later. Only the answer
// to a call can tell of a warm instance that it is cold again: the phase in a load read can be old.
func (t *target) identify(now, sent time.Time, r outcome.Report, answered bool) Event {
	if t.registered() {
		return t.recognize(now, r)
	}
	if r.Instance == "" || r.Instance != t.instance && sent.Before(t.seen) {
		return nil
	}
	var e Event
	if r.Instance != t.instance {
		e = t.changeInstance(now, r.Instance)
	}
	if sent.After(t.seen) {
		t.seen = sent
	}
	switch r.Phase {
	case outcome.PhaseDraining:
		t.draining = sent
	case outcome.PhaseCold:
		if answered && t.isWarm() && sent.Sub(t.warmAt) > coldGrace {
			t.setFalls(now, t.instance, t.falls+1)
			e = ColdDetected{
				Target:           t.Name,
				Instance:         t.instance,
				PreviousInstance: t.instance,
				ColdTransitions:  t.falls,
			}
		}
	case outcome.PhaseWarm:
		t.recover(now, sent)
	}
	return e
}

// changeInstance takes note of a new instance.
func (t *target) changeInstance(now time.Time, instance string) Event {
	fell := ColdDetected{
		Target:   t.Name,
		Instance: instance,
	}
	if t.isWarm() {
		fell.PreviousInstance = t.instance
		fell.ColdTransitions = t.falls + 1
	}
	t.replace(instance)
	if t.isWarm() {
		t.join(now)
		return nil
	}
	return fell
}

// recover ends what earlier reports of the same instance said, unless the reports contradict each other.
func (t *target) recover(now, sent time.Time) {
	if !t.draining.IsZero() && sent.Sub(t.draining) > drainMemory {
		t.draining = time.Time{}
		t.join(now)
	}
}

// operating tells whether the target may get new work at all.
func (t *target) operating() bool {
	return !t.Drained && !t.Leaving && !t.leaving && t.draining.IsZero()
}

// setLoad takes the load of the whole target from a report and keeps the part that other entries cause.
func (t *target) setLoad(now time.Time, r outcome.Report) {
	if r.Slots <= 0 {
		return
	}
	slots := float64(t.Slots)
	t.service.trust.add(float64(t.inflight)/slots, float64(r.Active+r.Queued)/slots)
	t.others = max(float64(r.Active+r.Queued-t.inflight), 0)
	if r.Slowdown > 0 {
		t.slowness = r.Slowdown
		t.service.reportSlowness(r.Slowdown)
	}
	if t.reported.IsZero() {
		t.usual = t.others
	}
	t.noteRoom(now)
	t.usual += (t.others - t.usual) * usualWeight
	s := t.service
	s.usual += (t.others/slots - s.usual) * latencyMean
	t.reported = now
}

// finish ends an attempt.
func (t *target) finish(now time.Time, p *Permit, r Result) Event {
	s := t.service
	t.inflight--
	s.inflight--
	t.started -= p.start.Sub(s.epoch)
	e := t.identify(now, p.start, r.Report, r.Kind != Unsent)
	if until := r.RunningUntil.Add(stopTime); !t.isWarm() && now.Before(until) && (p.Instance == t.instance || p.Instance == "") {
		t.running = append(t.running, until)
	}
	if r.Report.Instance != "" && r.Report.Instance == t.instance && r.Kind != Unsent {
		t.setLoad(now, r.Report)
		s.setQueue(r.Report)
	}
	switch r.Kind {
	case Succeeded:
		t.failures = t.currentFailures(now) * (1 - failureWeight)
		t.sample(now, float64(r.Latency)/max(p.Estimate.Slowdown, 1))
		s.sample(time.Duration(float64(r.Latency) / max(p.Estimate.Slowdown, 1)))
		if t.registered() {
			t.drags(now, p, r.Latency, true)
			s.measured(p, r.Latency)
			s.weighed(p, r.ResponseLength)
		}
		if t.failures < 0.05 {
			t.ejections = 0
		}
		t.limit = min(t.limit+1/t.limit, float64(2*t.Slots))
		if p.Cold && e == nil {
			e = t.warmed(now, r.Report)
		}
	case Failed:
		t.fail(now, r.Latency)
		if t.registered() {
			t.drags(now, p, r.Latency, false)
		}
	case Shed:
		t.limit = max(t.limit*0.7, 1)
		t.sample(now, max(float64(r.Latency), s.latency))
		s.shed()
	case Unsent:
		if r.Report.Instance == "" {
			t.fail(now, r.Latency)
		}
	case Canceled:
		// The attempt would have taken at least this long.
		if float64(r.Latency) > t.latency {
			t.sample(now, float64(r.Latency))
		}
		if t.registered() {
			t.drags(now, p, r.Latency, false)
		}
	}
	return e
}

// occupied returns how many calls of this entry the cold target may have, those included whose attempts have ended without
// telling whether the call has.
func (t *target) occupied(now time.Time) int {
	t.running = slices.DeleteFunc(t.running, func(until time.Time) bool { return !now.Before(until) })
	return t.inflight + len(t.running)
}

// warmed ends the cold start once it has lasted for its time and the target no longer says that it is cold.
func (t *target) warmed(now time.Time, r outcome.Report) Event {
	if r.Instance != t.instance || t.instance == "" || t.isWarm() {
		return nil
	}
	if t.warming.IsZero() {
		t.warming = now
	}
	if r.Phase == outcome.PhaseCold || now.Sub(t.warming) < t.MinColdDuration {
		return nil
	}
	t.setWarm(now, t.instance, t.falls)
	return Warmed{
		Target:          t.Name,
		Instance:        t.instance,
		ColdTransitions: t.falls,
	}
}

func (t *target) sample(now time.Time, d float64) {
	if t.latency == 0 {
		t.latency = t.service.latency
	}
	if t.latency == 0 {
		t.latency = d
	}
	t.latency = t.currentLatency(now)
	t.latency += (d - t.latency) * latencyWeight
	t.latencyAt = now
}

// careful returns the latency for a call that cannot be hedged: what was slow counts as slow for longer.
func (t *target) careful(now time.Time) float64 {
	if now.Sub(t.latencyAt) < careTime {
		return max(t.latency, t.currentLatency(now))
	}
	return t.currentLatency(now)
}

// barred tells whether the target is ejected for such a call. After an ejection idempotent calls try it first.
func (t *target) barred(now time.Time, idempotent bool) bool {
	if idempotent || t.failures < failureWeight/2 {
		return now.Before(t.ejected)
	}
	return now.Before(t.ejected.Add(careTime))
}

// currentLatency returns the average latency, faded to the usual one of the service for the time without samples.
func (t *target) currentLatency(now time.Time) float64 {
	usual := t.service.latency
	if t.latency <= usual || usual == 0 {
		return t.latency
	}
	x := float64(now.Sub(t.latencyAt)) / float64(latencyFade)
	return usual + (t.latency-usual)/(1+x+x*x)
}

// currentFailures returns the failure rate, faded for the time without calls, so that the target is tried again.
func (t *target) currentFailures(now time.Time) float64 {
	x := max(float64(now.Sub(t.latencyAt))/float64(careTime), 0)
	return t.failures / (1 + x + x*x)
}

// fail charges a failure as if it had taken longer than usual, so that failing fast attracts no load.
func (t *target) fail(now time.Time, d time.Duration) {
	t.failures = t.currentFailures(now)
	t.failures += (1 - t.failures) * failureWeight
	t.sample(now, max(float64(d), failureCost*t.service.latency))
	if t.failures < ejectRate || now.Before(t.ejected) {
		return
	}
	t.ejected = now.Add(min(ejectTime<<min(t.ejections, 10), ejectLimit))
	t.ejections++
	if t.ejected.After(t.service.ejecting) {
		t.service.ejecting = t.ejected
	}
	t.ramp = t.ejected
	// The next ejection after the return takes two failures.
	t.failures = ejectRate - failureWeight
}
