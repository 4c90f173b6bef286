package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"skylarkbeam/outcome"
)

// Targets that a registry names are chosen by the time at which they are expected to answer. The load that the choice
// depends on is read from a few targets right before it, because between two calls of one entry the other entries place
// work as well, and neighbours on a shared host change the speed of a target several times a second. What the choice
// answers is a load at which some targets are several times slower than others at any moment, all are nearly full, and a
// call that waits behind two others is late.

const (
	// slownessMemory is the time constant with which the slowness that a target reported loses its value.
	slownessMemory = 200 * time.Millisecond
	// coldSharers is the number of entries that send to one cold target. Each of them alone keeps to its part of the
	// rate, so a target gets at most this many calls more than its rate in any second.
	coldSharers = 4
	// coldFactor is how much slower a cold target is taken to be.
	coldFactor = 2
	// surveyAge is the age up to which a report needs no load read before a placement.
	surveyAge = 15 * time.Millisecond
	// ApertureSize is the number of targets of a failure domain among which an entry chooses, as long as one of them has room.
	// Fewer targets are read more often and keep their connections.
	ApertureSize = 12
	// surveySize is the number of targets whose load is read at once before a placement.
	surveySize = 3
	// absentFloor is how long a target that did not answer a load read gets no calls and no further read; it doubles with
	// each further read without an answer, up to absentLimit. A target that answered within absentGrace may miss one read,
	// because a lost packet costs as much.
	absentFloor = 100 * time.Millisecond
	absentLimit = time.Second
	absentGrace = time.Second
	// slowSpell is how long a target that reports to be slow is expected to stay so.
	slowSpell = 300 * time.Millisecond
	// goodSlowness is the slowness up to which an idle target needs no comparison with others.
	goodSlowness = 1.2
	// nearlyFull is the part of its slots from which on a target is taken to be slower, by fullFactor.
	nearlyFull = 0.8
	fullFactor = 1.6
	// dragWeight is the weight of a call in the drag of a target, dragMemory the time in which the drag fades without
	// calls, so that a target that was slow is tried again.
	dragWeight = 0.35
	dragMemory = 4 * time.Second
	// dragLimit bounds the drag of one call, dragFloor is the time that each is expected to take at least when its drag is
	// computed: the way to the target is a part of it.
	dragLimit = 20
	dragFloor = 50 * time.Millisecond
	// workWeight is the weight of a call in the usual work of its kind.
	workWeight = 0.05
	// aimPart is the part of the aim that a call is taken to need if its kind has not been measured.
	aimPart = 0.4
	// usualWork is the work of a call of which nothing is known.
	usualWork = 100 * time.Millisecond
	// farPrice is what a byte between failure domains costs, in answers that are in time: 15 answers a megabyte.
	farPrice = 15e-6
	// headBytes are the bytes of the heads of a call and its answer.
	headBytes = 600
	// bulkBytes and usualBytes are the bytes of calls that have not been measured.
	bulkBytes  = 100e3
	usualBytes = 2e3
	// cheapFar is the price up to which a call goes to another failure domain without need, dearFar the one from which on
	// it goes there only if it cannot be answered otherwise.
	cheapFar = 0.05
	dearFar  = 0.9
	// slackWorks and lastWorks are the time left, in usual works, from which on a call waits for a target in its own
	// failure domain: until its aim if the price is above cheapFar, until its deadline if it is above dearFar.
	slackWorks = 2
	lastWorks  = 3
	// workSpread is the standard deviation of the logarithm of the time of calls, relative to the expected time.
	workSpread = 0.35
	// lateTurn is how long a slot that has become free is left to calls of any entry that can be in time, before one that
	// will be late takes it. Entries with waiting calls read the load of targets every 30 ms.
	lateTurn = 60 * time.Millisecond
	// slope is what an answer that takes as long as its aim costs more than one at once, if both are in time.
	slope = 0.05
)

// registration is the state of a target that a registry names.
type registration struct {
	// cold says that the instance is in its cold start, coldUntil until when.
	cold      bool
	coldUntil time.Time
	// coldNext is when this entry may send the next call to the cold target.
	coldNext time.Time
	// slowness is what the target reported last.
	slowness float64
	// drag is how much slower than expected the target has been at the time dragged.
	drag    float64
	dragged time.Time
	// full says that the last report showed no free slot, and freed is the time of the first one after that which did.
	full  bool
	freed time.Time
	// strange says that another instance answers at the address.
	strange bool
	// unread is the number of load reads in a row that got no answer in time, not counting the one that may be missed and
	// those that were under way when the target became absent. Lost is when it did, and absent until when it gets no calls
	// for that.
	unread int
	missed bool
	lost   time.Time
	absent time.Time
}

// registered tells whether a registry names the target.
func (t *target) registered() bool { return t.Instance != "" }

// register takes over what the registry says of the target.
func (t *target) register(now time.Time, spec Target) {
	t.instance = spec.Instance
	if spec.ColdUntil.After(now) && spec.ColdUntil.After(t.coldUntil) {
		t.chill(now, spec.ColdUntil)
	}
}

// recognize takes instance and cold time from a report.
func (t *target) recognize(now time.Time, r outcome.Report) Event {
	if r.Instance == "" {
		return nil
	}
	var e Event
	if t.unread > 0 {
		e = Recovered{
			Target:   t.Name,
			Downtime: now.Sub(t.lost),
		}
	}
	t.unread, t.missed = 0, false
	t.strange = r.Instance != t.Instance
	if t.strange {
		return e
	}
	if r.ColdRemaining > 0 {
		t.chill(now, now.Add(r.ColdRemaining))
	}
	if r.Phase == outcome.PhaseDraining {
		t.draining = now
	} else if r.Phase == outcome.PhaseWarm {
		t.draining = time.Time{}
	}
	return e
}

// chill starts or continues the cold time of the target.
func (t *target) chill(now, until time.Time) {
	if !t.cold {
		t.cold = true
		t.coldNext = now
	}
	t.coldUntil = until
}

// thaw ends the cold time once it is over.
func (t *target) thaw(now time.Time) {
	if t.cold && !now.Before(t.coldUntil) {
		t.cold = false
	}
}

// usable tells whether a call may go to the registered target at all.
func (t *target) usable(now time.Time, q Query) bool {
	t.thaw(now)
	return t.operating() && !t.strange && t.unread == 0 && t.inflight < t.Slots &&
		!slices.Contains(q.Tried, t.Name) && (!t.cold || t.mayWarm(now))
}

// mayWarm tells whether this entry may send to the cold target now.
func (t *target) mayWarm(now time.Time) bool {
	if t.ColdRate <= 0 || now.Before(t.coldNext) {
		return false
	}
	_, owned := (*t.service.table.owner.Load())(now, t.Name)
	return owned
}

// pickRegistered selects a registered target with room that costs least, and starts an attempt.
func (s *service) pickRegistered(now time.Time, q Query) (*Permit, outcome.Reason) {
	q = s.untried(q)
	var best *target
	least := 0.0
	for _, t := range s.candidates(now, q) {
		load := t.present(now)
		if !t.room(load) || s.waits(now, t, q, load) {
			continue
		}
		cost := t.cost(now, q, load) + scoreNoise*slope*s.rand.Float64()
		if best == nil || cost < least {
			best, least = t, cost
		}
	}
	if best != nil {
		best.inflight++
		s.inflight++
		best.started += now.Sub(s.epoch)
		return best.permit(now, q), ""
	}
	operating, warm := false, false
	for _, t := range s.targets {
		operating = operating || t.operating() && !t.strange
		warm = warm || t.operating() && !t.strange && !t.cold
	}
	switch {
	case !operating:
		return nil, outcome.Drained
	case !warm:
		return nil, outcome.Cold
	}
	return nil, outcome.QueueFull
}

// candidates returns the targets to which the call may go: those of the aperture, or more while none of these has room.
func (s *service) candidates(now time.Time, q Query) []*target {
	s.look()
	ejecting := s.mayEject(now)
	var list []*target
	counted, room, far := 0, false, false
	for _, t := range s.targets {
		if t.far() && !far {
			// The aperture of the other failure domains.
			counted, room, far = 0, false, true
		}
		if counted >= ApertureSize && room {
			continue
		}
		if !t.operating() || t.strange || t.unread > 0 {
			continue
		}
		counted++
		if !t.usable(now, q) || ejecting && t.barred(now, q.Idempotent) || s.staysNear(t, q) {
			continue
		}
		list = append(list, t)
		room = room || t.room(t.present(now))
	}
	return list
}

// noteRoom takes note of whether a report shows a free slot.
func (t *target) noteRoom(now time.Time) {
	full := !t.room(float64(t.inflight) + t.others)
	if t.full && !full {
		t.freed = now
	}
	t.full = full
}

// room tells whether one more call finds a free slot beside so many others.
func (t *target) room(load float64) bool { return load <= float64(t.Slots)-0.5 }

// arrange puts the targets in the order in which this entry uses them: those in its failure domain first. The order within
// a group begins at the position of the entry among those of its failure domain, so that the apertures of the entries
// overlap and cover the targets evenly, and shift a little when an entry comes or goes.
func (s *service) arrange(list []*target) []*target {
	near, far := make([]*target, 0, len(list)), make([]*target, 0, len(list))
	for _, t := range list {
		if t.far() {
			far = append(far, t)
		} else {
			near = append(near, t)
		}
	}
	index, count := s.table.position()
	return append(turned(near, index, count), turned(far, index, count)...)
}

// turned sorts targets by the hash of their names and begins at a part of index/count of the list.
func turned(list []*target, index, count int) []*target {
	slices.SortFunc(list, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
	})
	if len(list) == 0 {
		return list
	}
	at := index * len(list) / count % len(list)
	return slices.Concat(list[at:], list[:at])
}

// SetPosition tells the place of this entry among the entries of its failure domain, from 0 to count - 1.
func (t *Table) SetPosition(index, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.place.Store(&place{
		index: index,
		count: max(count, 1),
	})
	for _, s := range t.view.Load().services {
		s.mu.Lock()
		if s.live() {
			s.targets = s.arrange(s.targets)
		}
		s.mu.Unlock()
	}
}

// place is the place of an entry among others.
type place struct {
	index int
	count int
}

func (t *Table) position() (index, count int) {
	p := t.place.Load()
	return p.index, p.count
}

// waits tells whether the call rather waits in line than goes to the target beside so many others: if another one could
// still answer within the aim, if this one cannot answer before the deadline, or if its slow spell is expected to end sooner
// than the call would. A slot that is busy with a late answer for a second serves four calls in that time otherwise.
func (s *service) waits(now time.Time, t *target, q Query, load float64) bool {
	expected, work := t.expected(now, q, load), s.work(q)
	if q.LatencyObjective > 0 && work < float64(q.TimeToSoftDeadline) {
		if expected > float64(q.TimeToSoftDeadline) {
			return true
		}
	} else if q.LatencyObjective > 0 && now.Sub(t.freed) < lateTurn {
		return true
	}
	if q.TimeToDeadline <= 0 {
		return false
	}
	usual := work * t.speedFactor(load, 1, t.currentDrag(now), t.cold)
	if left := float64(q.TimeToDeadline); expected > left && usual < left {
		return true
	}
	return expected-usual > float64(slowSpell) && float64(q.TimeToDeadline) > float64(slowSpell)+2*usual
}

// permit starts an attempt at the registered target.
func (t *target) permit(now time.Time, q Query) *Permit {
	load := t.present(now) - 1 // The call itself is counted already.
	p := &Permit{
		Target:   t.Name,
		Domain:   t.Domain,
		Address:  t.Address,
		Instance: t.Instance,
		Estimate: Estimate{
			Load:            max(load, 0),
			Slowdown:        t.currentSlowness(now),
			LatencyRatio:    t.currentDrag(now),
			ExpectedLatency: time.Duration(t.expected(now, q, load)),
			Cold:            t.cold,
		},
		target: t,
		start:  now,
		query:  q,
	}
	if !t.reported.IsZero() {
		p.Estimate.ReportAge = now.Sub(t.reported)
	}
	if t.cold {
		t.coldNext = now.Add(time.Duration(coldSharers / t.ColdRate * float64(time.Second)))
	}
	return p
}

// present estimates the calls at the target: this entry's own, and those of others, which are taken to be as many as usual
// once the report is older than a call lasts.
func (t *target) present(now time.Time) float64 {
	s := t.service
	usual := s.usual * float64(t.Slots)
	if t.reported.IsZero() {
		return float64(t.inflight) + usual
	}
	age := float64(now.Sub(t.reported)) / max(s.latency, float64(usualWork))
	return float64(t.inflight) + max(usual+(t.others-usual)*math.Exp(-age), 0)
}

// usualSlowness is the average slowness of targets until they have reported any.
const usualSlowness = 1.5

// reportSlowness takes a report into the average.
func (s *service) reportSlowness(slowness float64) {
	s.slownessN++
	s.slowness += (slowness - s.slowness) * max(latencyMean, 1/float64(s.slownessN))
}

// meanSlowness returns the slowness that is to be expected of a target that has not reported any lately.
func (s *service) meanSlowness() float64 {
	if s.slownessN == 0 {
		return usualSlowness
	}
	return max(s.slowness, 1)
}

// currentSlowness returns the slowness that the target is expected to have now.
func (t *target) currentSlowness(now time.Time) float64 {
	usual := t.service.meanSlowness()
	if t.slowness == 0 {
		return usual
	}
	age := float64(now.Sub(t.reported)) / float64(slownessMemory)
	return usual + (t.slowness-usual)*math.Exp(-age)
}

// currentDrag returns how much slower than its report says the target is expected to be, compared with the others. What
// all have in common belongs to the work of the calls.
func (t *target) currentDrag(now time.Time) float64 {
	return max(t.ownDrag(now)/max(t.service.drag, 1), 1)
}

// ownDrag returns how much longer than expected calls lately took at the target.
func (t *target) ownDrag(now time.Time) float64 {
	if t.drag <= 1 {
		return 1
	}
	return 1 + (t.drag-1)*math.Exp(-float64(now.Sub(t.dragged))/float64(dragMemory))
}

// drags takes note of how much longer than expected a call took. One that did not end by itself may only make the drag
// greater.
func (t *target) drags(now time.Time, p *Permit, latency time.Duration, ended bool) {
	ratio := float64(latency) / max(float64(p.Estimate.ExpectedLatency), float64(dragFloor)) * p.Estimate.LatencyRatio
	drag := t.ownDrag(now)
	if !ended && ratio <= drag {
		return
	}
	t.drag = drag + (min(max(ratio, 1), dragLimit)-drag)*dragWeight
	t.dragged = now
	if ended {
		t.service.drag += (t.drag - t.service.drag) * latencyMean
	}
}

// work returns the time that calls of the kind usually take at a target that is not slow, in nanoseconds.
func (s *service) work(q Query) float64 {
	if w, ok := s.works[q.Kind]; ok {
		return w
	}
	if q.LatencyObjective > 0 {
		return aimPart * float64(q.LatencyObjective)
	}
	return max(s.latency, float64(usualWork))
}

// ServiceTime returns the time that calls like q usually take at a target that is not slow.
func (t *Table) ServiceTime(service string, q Query) time.Duration {
	s := t.view.Load().services[service]
	if s == nil {
		return usualWork
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.work(q))
}

// measured learns from an answer to a call that did not wait at its target.
func (s *service) measured(p *Permit, latency time.Duration) {
	kind := p.query.Kind
	if kind == "" || p.Estimate.Load > float64(p.target.Slots)-0.5 {
		return
	}
	sample := float64(latency) / p.target.speedFactor(p.Estimate.Load, p.Estimate.Slowdown, p.Estimate.LatencyRatio, p.Estimate.Cold)
	w, ok := s.works[kind]
	if !ok {
		w = sample
	}
	s.works[kind] = w + (sample-w)*workWeight
}

// weighed learns from the length of an answer. The price of a kind follows it in about 20 calls.
func (s *service) weighed(p *Permit, length int64) {
	kind := p.query.Kind
	if kind == "" || length < 0 {
		return
	}
	b, ok := s.bytes[kind]
	if !ok {
		b = float64(length)
	}
	s.bytes[kind] = b + (float64(length)-b)*workWeight
}

// price returns what it costs to send the call to another failure domain, in answers that are in time.
func (s *service) price(q Query) float64 {
	b, ok := s.bytes[q.Kind]
	switch {
	case ok:
	case q.Bulk:
		b = bulkBytes
	default:
		b = usualBytes
	}
	return (b + float64(q.BodySize) + headBytes) * farPrice
}

// staysNear tells whether the call rather waits for a target in the failure domain of the entry than go to this one.
func (s *service) staysNear(t *target, q Query) bool {
	if !t.far() || !s.near {
		return false
	}
	price, work := s.price(q), s.work(q)
	return price > cheapFar && float64(q.TimeToSoftDeadline) > slackWorks*work ||
		price > dearFar && float64(q.TimeToDeadline) > lastWorks*work
}

// far tells whether the target is in another failure domain than the entry.
func (t *target) far() bool { return t.Domain != t.service.table.domain }

// speedFactor returns how much longer than usual work takes at the target beside a number of other calls.
func (t *target) speedFactor(load, slowness, drag float64, cold bool) float64 {
	factor := slowness * drag
	if load+1 >= nearlyFull*float64(t.Slots) {
		factor *= fullFactor
	}
	if cold {
		factor *= coldFactor
	}
	return factor
}

// expected returns the time that a call is expected to take at the target with so many other calls, in nanoseconds.
func (t *target) expected(now time.Time, q Query, load float64) float64 {
	s := t.service
	factor := t.speedFactor(load, t.currentSlowness(now), t.currentDrag(now), t.cold)
	d := s.work(q) * factor
	if ahead := load - float64(t.Slots) + 1; ahead > 0 {
		d += ahead / float64(t.Slots) * max(s.latency, float64(usualWork)) * factor
	}
	return d
}

// cost returns what speaks against sending the call to the target, in answers that are in time: that it is late, that it
// fails, the price of its bytes, and a little of its time.
func (t *target) cost(now time.Time, q Query, load float64) float64 {
	s := t.service
	d := t.expected(now, q, load)
	aim := float64(q.LatencyObjective)
	if aim <= 0 {
		aim = max(float64(q.TimeToDeadline), float64(usualWork))
	}
	c := slope*d/aim + t.currentFailures(now)
	if q.LatencyObjective > 0 {
		c += lateChance(d, float64(q.TimeToSoftDeadline))
	}
	if t.far() {
		c += s.price(q)
	}
	return c
}

// lateChance returns the chance that a call of which an answer is expected after d is answered later than left.
func lateChance(d, left float64) float64 {
	if left <= 0 {
		return 1
	}
	return 0.5 * math.Erfc(math.Log(left/d)/(workSpread*math.Sqrt2))
}

// LoadReadCandidates returns the targets whose load is to be read before a call is placed: those that are expected to answer first, as
// far as their last report is too old, and none if a target is known to be idle. Absent are targets that did not answer
// the last time and are due for another read, for which the call need not wait.
func (t *Table) LoadReadCandidates(now time.Time, service string, q Query) (names, absent []string) {
	s := t.view.Load().services[service]
	if s == nil {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.survey(now, q), s.overdue(now)
}

// overdue returns the absent targets that are due for a load read, and counts them as being read.
func (s *service) overdue(now time.Time) []string {
	var names []string
	counted := 0
	for _, t := range s.targets {
		if counted == ApertureSize {
			break
		}
		if t.unread == 0 {
			counted++
		} else if t.operating() && now.After(t.absent) {
			t.absent = now.Add(absentLimit)
			names = append(names, t.Name)
		}
	}
	return names
}

func (s *service) survey(now time.Time, q Query) []string {
	type candidate struct {
		target *target
		score  float64
	}
	if !s.live() {
		return nil
	}
	var candidates []candidate
	q = s.untried(q)
	for _, t := range s.candidates(now, q) {
		candidates = append(candidates, candidate{
			target: t,
			score:  t.cost(now, q, t.present(now)) + scoreNoise*slope*s.rand.Float64(),
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	var names []string
	for _, c := range candidates {
		if len(names) == surveySize {
			break
		}
		t := c.target
		if now.Sub(t.reported) > surveyAge {
			names = append(names, t.Name)
		} else if t.present(now) < 0.5 && t.slowness <= goodSlowness && !t.cold {
			break
		}
	}
	return names
}

// LoadReadFailed records that a target did not answer a load read in time that was sent at the given time. It returns Absent for
// the first one.
func (t *Table) LoadReadFailed(now, sent time.Time, name string) Event {
	x := t.view.Load().targets[name]
	if x == nil {
		return nil
	}
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	if !x.missed && now.Sub(x.reported) < absentGrace {
		x.missed = true
		return nil
	}
	if x.unread > 0 && sent.Before(x.lost) {
		// It ran beside the one that made the target absent and says nothing new: a pause of the machine ends both.
		return nil
	}
	x.absent = now.Add(min(absentFloor<<min(x.unread, 10), absentLimit))
	x.unread++
	if x.unread > 1 {
		return nil
	}
	x.lost = now
	return Unreachable{
		Target: name,
	}
}

// ExpectedThroughput returns the number of calls a second that the targets of a service can be expected to take from this entry. A target
// that has just stopped answering counts until the next load read: most of them answer that one, and calls that wait would
// be refused for good.
func (t *Table) ExpectedThroughput(now time.Time, service string, q Query) float64 {
	s := t.view.Load().services[service]
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	pace := 0.0
	for _, x := range s.targets {
		if x.operating() && !x.strange && x.unread <= 1 && !x.cold {
			pace += float64(x.Slots) / x.speedFactor(float64(x.Slots), s.meanSlowness(), x.currentDrag(now), false)
		}
	}
	return pace / (s.work(q) / float64(time.Second)) / float64(t.entries.Load())
}

// look notes whether targets in the failure domain of the entry are in operation.
func (s *service) look() {
	s.near = slices.ContainsFunc(s.targets, func(t *target) bool {
		return !t.far() && t.operating() && !t.strange && t.unread == 0
	})
}

// untried returns the query without the targets that were tried if no other is in operation.
func (s *service) untried(q Query) Query {
	other := slices.ContainsFunc(s.targets, func(t *target) bool {
		return t.operating() && !t.strange && t.unread == 0 && !slices.Contains(q.Tried, t.Name)
	})
	if !other {
		q.Tried = nil
	}
	return q
}

// live tells whether the targets of the service are registered, so that their load is read before each placement.
func (s *service) live() bool {
	return len(s.targets) > 0 && s.targets[0].registered()
}
