package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"skylarkbeam/outcome"
)

const (
	// slownessMemory is the time constant with which the slowness that a target reported loses its value. Neighbours on
	// a shared host change it several times a second.
	slownessMemory = 200 * time.Millisecond
	// coldSharers is the number of entries that send to one cold target. Each of them alone keeps to its part of the
	// rate, so a target gets at most this many calls more than its rate in any second.
	coldSharers = 4
	// surveyAge is the age up to which a report needs no load read before a placement.
	surveyAge = 15 * time.Millisecond
	// surveySize is the number of targets whose load is read at once before a placement.
	surveySize = 3
	// unreadTime is how long a target that did not answer a load read is taken for slower by unreadFactor.
	unreadTime   = 300 * time.Millisecond
	unreadFactor = 4
	// goodSlowness is the slowness up to which an idle target needs no comparison with others.
	goodSlowness = 1.2
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
	// strange says that another instance answers at the address.
	strange bool
	// unread is when a load read got no answer in time.
	unread time.Time
}

// registered tells whether a registry names the target.
func (t *target) registered() bool { return t.Instance != "" }

// register takes over what the registry says of the target.
func (t *target) register(now time.Time, spec Target) {
	t.instance = spec.Instance
	if spec.Cold.After(now) && spec.Cold.After(t.coldUntil) {
		t.chill(now, spec.Cold)
	}
}

// recognize takes instance and cold time from a report.
func (t *target) recognize(now time.Time, r outcome.Report) {
	if r.Instance != "" {
		t.strange = r.Instance != t.Instance
	}
	if t.strange {
		return
	}
	if r.Cold > 0 {
		t.chill(now, now.Add(r.Cold))
	}
	if r.Phase == outcome.PhaseDraining {
		t.draining = now
	} else if r.Phase == outcome.PhaseWarm {
		t.draining = time.Time{}
	}
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

// considerRegistered makes the target the choice if it has a free slot and is expected to answer first.
func (s *service) considerRegistered(now time.Time, c *choice, t *target, q Query, spare bool) bool {
	if t.strange {
		return false
	}
	load := t.load(now, 1)
	if load+1 > float64(t.Slots)+0.5 || t.inflight >= t.Slots {
		return false
	}
	if t.cold && (spare || !t.mayWarm(now)) {
		return false
	}
	score := t.expected(now, q, load) * (1 + scoreNoise*s.rand.Float64())
	if c.target == nil || score < c.score {
		c.target, c.score = t, score
	}
	return true
}

// mayWarm tells whether this entry may send to the cold target now.
func (t *target) mayWarm(now time.Time) bool {
	if t.Rate <= 0 || now.Before(t.coldNext) {
		return false
	}
	_, owned := (*t.service.table.owner.Load())(now, t.Name)
	return owned
}

// permit starts an attempt at the registered target.
func (t *target) permit(now time.Time, score float64) *Permit {
	// The call itself is counted already.
	basis := Basis{
		Load:     t.load(now, 1) - 1,
		Slowness: t.currentSlowness(now),
		Expected: time.Duration(score),
		Cold:     t.cold,
	}
	if !t.reported.IsZero() {
		basis.Age = now.Sub(t.reported)
	}
	if t.cold {
		t.coldNext = now.Add(time.Duration(coldSharers / t.Rate * float64(time.Second)))
	}
	return &Permit{
		Target:   t.Name,
		Address:  t.Address,
		Instance: t.Instance,
		Basis:    basis,
		target:   t,
		start:    now,
	}
}

// currentSlowness returns the slowness that the target is expected to have now.
func (t *target) currentSlowness(now time.Time) float64 {
	usual := max(t.service.slowness, 1)
	if t.slowness == 0 {
		return usual
	}
	age := float64(now.Sub(t.reported)) / float64(slownessMemory)
	return usual + (t.slowness-usual)*math.Exp(-age)
}

// expected returns the time that a call is expected to take at the target, in nanoseconds.
func (t *target) expected(now time.Time, q Query, load float64) float64 {
	s := t.service
	work := max(s.latency, float64(time.Millisecond))
	slow := 1.0
	if s.latency > 0 {
		slow = max(t.currentLatency(now)/(s.latency*slowFactor), 1)
	}
	cold := 1.0
	if t.cold {
		cold = 2
	}
	d := work * t.currentSlowness(now) * slow * cold * (1 + load/float64(t.Slots))
	if now.Sub(t.unread) < unreadTime {
		d *= unreadFactor
	}
	d /= 1 - min(t.currentFailures(now), 0.9)
	return d + t.distance(q)
}

// distance returns what it costs to send a call to the failure domain of the target, as time in nanoseconds.
func (t *target) distance(q Query) float64 {
	if t.Domain == t.service.table.domain {
		return 0
	}
	if q.Bulk {
		return float64(farBulk)
	}
	return float64(far)
}

const (
	// far and farBulk are the delays up to which a call waits for a target in the failure domain of the entry rather
	// than use one in another, where its bytes are charged.
	far     = 30 * time.Millisecond
	farBulk = 600 * time.Millisecond
)

// Survey returns the targets whose load is to be read before a call is placed: those that are expected to answer first, as
// far as their last report is too old, and none if a target is known to be idle.
func (t *Table) Survey(now time.Time, service string, q Query) []string {
	s := t.view.Load().services[service]
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.survey(now, q)
}

func (s *service) survey(now time.Time, q Query) []string {
	type candidate struct {
		target *target
		score  float64
	}
	var candidates []candidate
	ejecting := s.mayEject(now)
	for _, t := range s.targets {
		t.thaw(now)
		if !t.registered() || !t.operating() || t.strange || slices.Contains(q.Tried, t.Name) || ejecting && t.barred(now, true) {
			continue
		}
		if t.inflight >= t.Slots || t.cold && !t.mayWarm(now) {
			continue
		}
		candidates = append(candidates, candidate{
			target: t,
			score:  t.expected(now, q, t.load(now, 1)) * (1 + scoreNoise*s.rand.Float64()),
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
		} else if t.load(now, 1) < 0.5 && t.slowness <= goodSlowness && !t.cold {
			break
		}
	}
	return names
}

// Unread records that a target did not answer a load read in time.
func (t *Table) Unread(now time.Time, name string) {
	x := t.view.Load().targets[name]
	if x == nil {
		return
	}
	x.service.mu.Lock()
	defer x.service.mu.Unlock()
	x.unread = now
}

// live tells whether the targets of the service are registered, so that their load is read before each placement.
func (s *service) live() bool {
	return len(s.targets) > 0 && s.targets[0].registered()
}

// room returns the calls that this entry may have in flight, as far as reports tell, and all slots in use.
func (s *service) room(now time.Time) (window, total float64) {
	window = float64(s.inflight)
	for _, t := range s.targets {
		if !t.operating() || t.strange {
			continue
		}
		slots := float64(t.Slots)
		total += slots
		if t.cold {
			continue
		}
		window += min(max(slots-t.load(now, 1), 0), float64(t.Slots-t.inflight))
	}
	return max(window, 1), max(total, 1)
}
