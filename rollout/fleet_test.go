package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// simStep is the time between two steps of a simulated fleet.
const simStep = ReportInterval / 2

// simStore is the store of a simulated fleet.
type simStore struct {
	row     *Row
	version uint64
	last    uint64
	era     uint64
	down    bool
	// fault is what happens to the next write.
	fault  simFault
	writes []Row
	calls  int
	// delayed are writes without an answer that take effect later.
	delayed []delayedWrite
}

type simFault int

const (
	// loseAnswer performs the write without an answer, loseWrite does not perform it, delayWrite performs it three seconds
	// later if its condition holds then.
	loseAnswer simFault = iota + 1
	loseWrite
	delayWrite
)

type delayedWrite struct {
	at    time.Time
	write Write
}

var errNoAnswer = errors.New("no answer")

func (s *simStore) stored(now time.Time) Stored {
	stored := Stored{
		Version: s.version,
		Now:     now.Sub(time.Unix(0, 0)),
		Era:     s.era,
	}
	if s.row != nil {
		row := *s.row
		stored.Row = &row
	}
	return stored
}

func (s *simStore) perform(w Write) bool {
	if w.Version != s.version {
		return false
	}
	s.last++
	row := w.Row
	s.row, s.version = &row, s.last
	s.writes = append(s.writes, row)
	return true
}

// simEntry is an entry of a simulated fleet.
type simEntry struct {
	name        string
	incarnation int
	participant *Participant
	coordinator *Coordinator
	versions    Versions
	finalEra    uint64
	// group is the part of the fleet that the entry hears. cut means that it does not reach the store, frozen that its
	// process does not run, dead that it has ended.
	group       int
	cut         bool
	frozen      bool
	dead        bool
	inflightOld int
	// toOld and toNew are the requests that the entry sent, since it last started and before.
	toOld, toNew int
	reportedAt   time.Time
}

// simFleet is a fleet with one roll-out, in simulated time.
type simFleet struct {
	now     time.Time
	random  *rand.Rand
	store   simStore
	entries []*simEntry
	order   *Order
	bounds  Bounds
	// rate is the number of requests per second of each entry.
	rate float64
	// registered are the versions of the registered targets; cold ones are not warm.
	registered []string
	cold       map[string]bool
	// fails returns the share of failures of a version.
	fails func(version string) float64
	// sent are the numbers of requests by version, bad the bad answers.
	sent map[string]int
	bad  int
}

func newSimFleet(entries int, rate float64) *simFleet {
	f := &simFleet{
		now:    time.Unix(100, 0),
		random: rand.New(rand.NewPCG(1, 2)),
		bounds: Bounds{
			Share:    0.1,
			Slack:    50,
			Rollback: 5 * time.Second,
		},
		rate:       rate,
		registered: []string{"v1"},
		cold:       map[string]bool{},
		fails:      func(string) float64 { return 0 },
		sent:       map[string]int{},
	}
	for i := range entries {
		f.entries = append(f.entries, &simEntry{
			name: fmt.Sprintf("entry-%03d", i),
		})
	}
	f.run(simStep)
	f.registered = append(f.registered, "v2")
	return f
}

// place orders a version.
func (f *simFleet) place(to string, seconds float64) {
	f.store.last++
	order := NewOrder("s", to, seconds, f.store.era<<40|f.store.last, f.store.era)
	f.order = &order
}

// restart restarts an entry.
func (f *simFleet) restart(e *simEntry) {
	f.entries[slices.Index(f.entries, e)] = &simEntry{
		name:        e.name,
		incarnation: e.incarnation + 1,
		group:       e.group,
		cut:         e.cut,
	}
}

func (e *simEntry) runs() bool { return !e.frozen && !e.dead }

func (f *simFleet) hears(e, other *simEntry) bool {
	return other == e || other.runs() && other.group == e.group
}

// coordinatorOf returns the coordinator as an entry sees it.
func (f *simFleet) coordinatorOf(e *simEntry) *simEntry {
	for _, other := range f.entries {
		if f.hears(e, other) && !other.cut {
			return other
		}
	}
	for _, other := range f.entries {
		if f.hears(e, other) {
			return other
		}
	}
	return e
}

func (f *simFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// runUntil runs until a condition holds, for an hour at most.
func (f *simFleet) runUntil(t *testing.T, holds func() bool) time.Duration {
	t.Helper()
	start := f.now
	for !holds() {
		f.step()
		assert.Assert(t, f.now.Sub(start) < time.Hour, "row is %+v", f.store.row)
	}
	return f.now.Sub(start)
}

func (f *simFleet) phase() Phase {
	if f.store.row == nil {
		return Unknown{}
	}
	return f.store.row.Phase
}

func (f *simFleet) final() bool { return IsFinal(f.phase()) }

func (f *simFleet) step() {
	f.now = f.now.Add(simStep)
	for i := 0; i < len(f.store.delayed); i++ {
		if d := f.store.delayed[i]; !f.now.Before(d.at) {
			f.store.perform(d.write)
			f.store.delayed = slices.Delete(f.store.delayed, i, i+1)
			i--
		}
	}
	for _, e := range f.entries {
		if !e.runs() {
			continue
		}
		f.apply(e)
		f.send(e)
	}
	for _, e := range slices.Clone(f.entries) {
		if e.runs() && e.participant != nil {
			f.talk(e)
		}
	}
}

// apply takes over the order.
func (f *simFleet) apply(e *simEntry) {
	started := e.versions.InService("s") != nil
	var targets []Target
	for i, version := range f.registered {
		targets = append(targets, Target{
			Service:   "s",
			Version:   version,
			StartedAt: int64(i),
		})
	}
	e.versions.Update(f.now, targets)
	switch {
	case f.order == nil && e.participant != nil:
		e.participant.Remove()
	case f.order == nil:
	case e.participant != nil && e.participant.Order().IsSame(*f.order, !IsFinal(e.participant.Phase())):
		e.participant.Renew(*f.order)
		if e.coordinator != nil {
			e.coordinator.Renew(*f.order)
		}
	default:
		e.participant, e.coordinator = NewParticipant(f.now, *f.order, f.bounds, started), nil
	}
}

// policy returns the policy of an entry.
func (f *simFleet) policy(e *simEntry) Policy {
	if e.participant == nil {
		return Policy{
			Versions: e.versions.InService("s"),
		}
	}
	return e.participant.Policy(f.now, e.versions.InService("s"), f.registered)
}

// send sends the requests of a step.
func (f *simFleet) send(e *simEntry) {
	for range poisson(f.random, f.rate*simStep.Seconds()) {
		policy := f.policy(e)
		if policy.Wait {
			continue
		}
		version := ""
		for _, candidate := range f.registered {
			if slices.Contains(policy.Versions, candidate) {
				version = candidate
			}
		}
		p := e.participant
		if policy.Trial && p.MayTake(f.now, "r") {
			version = p.Order().To
			p.Took("r")
		}
		if version == "" {
			continue
		}
		f.sent[version]++
		if p == nil {
			continue
		}
		if version == p.Order().To {
			e.toNew++
		} else {
			e.toOld++
		}
		p.Requested("r")
		outcome := Answered
		if f.random.Float64() < f.fails(version) {
			outcome = Failed
			if version != "v1" {
				f.bad++
			}
		}
		p.Record(fmt.Sprintf("%s-%d", version, f.random.IntN(6)), version, "r", outcome, 20*time.Millisecond, false)
	}
}

// talk reports to the coordinator, or coordinates.
func (f *simFleet) talk(e *simEntry) {
	c := f.coordinatorOf(e)
	if c == e {
		f.coordinate(e)
		return
	}
	e.coordinator = nil
	if IsFinal(e.participant.Phase()) || f.now.Sub(e.reportedAt) < ReportInterval {
		return
	}
	e.reportedAt = f.now
	report := f.report(e)
	reply := &Reply{}
	if c.coordinator != nil && c.coordinator.Order().To == report.To {
		c.coordinator.Report(f.now, report)
		reply = c.coordinator.Reply(f.now, e.name)
	}
	f.hear(e, reply)
}

func (f *simFleet) report(e *simEntry) *Report {
	return e.participant.Report(e.name, fmt.Sprint(e.incarnation), e.inflightOld)
}

func (f *simFleet) hear(e *simEntry, reply *Reply) {
	if !e.participant.Hear(f.now, reply) {
		return
	}
	switch phase := e.participant.Phase().(type) {
	case Done:
		e.versions.Set("s", []string{e.participant.Order().To})
		e.finalEra = f.store.era
	case RolledBack:
		e.versions.Set("s", e.participant.Base())
		e.finalEra = f.store.era
	default:
		_ = phase
	}
}

func (f *simFleet) coordinate(e *simEntry) {
	if e.coordinator == nil {
		e.coordinator = NewCoordinator(e.participant.Order(), e.participant.Phase(), e.participant.Base(), e.finalEra)
	}
	c := e.coordinator
	c.Report(f.now, f.report(e))
	action := c.Step(f.now, f.view(e))
	f.hear(e, c.Reply(f.now, e.name))
	switch a := action.(type) {
	case Read:
		f.store.calls++
		if e.cut || f.store.down {
			c.RowRead(f.now, Stored{}, errNoAnswer)
			return
		}
		c.RowRead(f.now, f.store.stored(f.now), nil)
	case Write:
		f.store.calls++
		f.write(e, c, a)
	}
}

func (f *simFleet) write(e *simEntry, c *Coordinator, w Write) {
	fault := f.store.fault
	f.store.fault = 0
	if e.cut || f.store.down {
		fault = loseWrite
	}
	switch fault {
	case loseAnswer:
		f.store.perform(w)
	case delayWrite:
		f.store.delayed = append(f.store.delayed, delayedWrite{
			at:    f.now.Add(3 * time.Second),
			write: w,
		})
	case loseWrite:
	default:
		if !f.store.perform(w) {
			stored := f.store.stored(f.now)
			stored.Conflict = true
			c.RowWritten(f.now, w, stored, nil)
			return
		}
		stored := f.store.stored(f.now)
		stored.Row = nil
		c.RowWritten(f.now, w, stored, nil)
		return
	}
	c.RowWritten(f.now, w, Stored{}, errNoAnswer)
}

func (f *simFleet) view(e *simEntry) View {
	v := View{
		Order:     f.order,
		InService: e.versions.InService("s"),
		Slots:     map[string]int{},
		WarmSlots: map[string]int{},
		Era:       f.store.era,
	}
	for _, other := range f.entries {
		v.Known++
		if f.hears(e, other) {
			v.Members = append(v.Members, Member{
				Name:        other.name,
				Incarnation: fmt.Sprint(other.incarnation),
			})
		}
	}
	for _, version := range f.registered {
		v.Slots[version] = 10
		if !f.cold[version] {
			v.WarmSlots[version] = 10
		}
	}
	return v
}

// coordinator returns the entry that coordinates.
func (f *simFleet) coordinator() *simEntry { return f.coordinatorOf(f.entries[0]) }

// states returns the phases that were written, in order.
func (f *simFleet) states() []string {
	var list []string
	for _, row := range f.store.writes {
		list = append(list, row.Order.To+" "+row.Phase.String())
	}
	return list
}
