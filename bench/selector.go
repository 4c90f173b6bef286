package bench

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"skylarkbeam/outcome"
	"skylarkbeam/route"
)

// selector chooses the targets for one entry.
type selector interface {
	// pick returns the permit for a first attempt, or the reason of the refusal.
	pick(now time.Time, idempotent bool) (permit, outcome.Reason)
	// repeat and hedge return a permit for a further attempt, or nil.
	repeat(now time.Time, tried []string, idempotent bool) permit
	hedge(now time.Time, tried []string) permit
	hedgeAfter() (time.Duration, bool)
	capacity(now time.Time, demand float64) (window, total float64)
}

type permit interface {
	target() int
	instance() string
	until() time.Time
	done(now time.Time, r route.Result) route.Event
}

const serviceName = "stock"

func targetName(i int) string { return strconv.Itoa(i) }

// tableSelector is the policy of package route.
type tableSelector struct {
	*route.Table
}

func newTable(c Config, now time.Time, seed uint64) *route.Table {
	table := route.New(route.Options{
		Entries: EntryCount,
		Seed:    seed,
	})
	var targets []route.Target
	for i := range c.Shape.Targets {
		targets = append(targets, route.Target{
			Name:            targetName(i),
			Service:         serviceName,
			Address:         netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			Slots:           c.Shape.Slots,
			ColdConcurrency: c.bearPerEntry(),
			MinColdDuration: c.ColdDuration,
		})
	}
	table.SetTargets(now, targets)
	return table
}

// bearPerEntry is the limit of one entry for a cold target.
func (c Config) bearPerEntry() int {
	switch c.Ownership {
	case EvenQuota:
		return c.ColdConcurrency / EntryCount
	case OneCallPerEntry:
		return 1
	}
	return c.ColdConcurrency
}

type tablePermit struct {
	*route.Permit
}

func (p tablePermit) target() int      { i, _ := strconv.Atoi(p.Target); return i }
func (p tablePermit) instance() string { return p.Instance }
func (p tablePermit) until() time.Time { return p.LeaseEnd }
func (p tablePermit) done(now time.Time, r route.Result) route.Event {
	return p.Done(now, r)
}

func wrap(p *route.Permit) permit {
	if p == nil {
		return nil
	}
	return tablePermit{p}
}

func (s tableSelector) pick(now time.Time, idempotent bool) (permit, outcome.Reason) {
	p, reason := s.Pick(now, serviceName, route.Query{
		Idempotent: idempotent,
	})
	return wrap(p), reason
}

func (s tableSelector) repeat(now time.Time, tried []string, idempotent bool) permit {
	return wrap(s.Retry(now, serviceName, route.Query{
		Tried:      tried,
		Idempotent: idempotent,
	}))
}

func (s tableSelector) hedge(now time.Time, tried []string) permit {
	return wrap(s.Hedge(now, serviceName, route.Query{
		Tried:      tried,
		Idempotent: true,
	}))
}

func (s tableSelector) hedgeAfter() (time.Duration, bool) {
	return s.HedgeDelay(serviceName, route.Estimate{})
}

func (s tableSelector) capacity(now time.Time, demand float64) (window, total float64) {
	return s.Capacity(now, serviceName, demand)
}

// plainSelector holds the policies to compare with. They know only the calls in flight of their own entry. They repeat
// within the same budget and never hedge.
type plainSelector struct {
	policy   Policy
	rand     *rand.Rand
	inflight []int
	next     int
	tokens   float64
	slots    int
}

type plainPermit struct {
	selector *plainSelector
	index    int
}

func (p *plainPermit) target() int      { return p.index }
func (p *plainPermit) instance() string { return "" }
func (p *plainPermit) until() time.Time { return time.Time{} }
func (p *plainPermit) done(time.Time, route.Result) route.Event {
	p.selector.inflight[p.index]--
	return nil
}

func (s *plainSelector) choose(tried []string) permit {
	n := len(s.inflight)
	i := 0
	switch s.policy {
	case Random:
		i = s.rand.IntN(n)
	case RoundRobin:
		i = s.next
		s.next = (s.next + 1) % n
	case LeastInFlight:
		i = s.rand.IntN(n)
		for k, first := 1, i; k < n; k++ {
			if j := (first + k) % n; s.inflight[j] < s.inflight[i] {
				i = j
			}
		}
	case TwoChoices:
		i = s.rand.IntN(n)
		if j := s.rand.IntN(n); s.inflight[j] < s.inflight[i] {
			i = j
		}
	}
	if slices.Contains(tried, targetName(i)) {
		i = (i + 1 + s.rand.IntN(n-1)) % n
	}
	s.inflight[i]++
	return &plainPermit{
		selector: s,
		index:    i,
	}
}

func (s *plainSelector) pick(time.Time, bool) (permit, outcome.Reason) {
	s.tokens = min(s.tokens+0.1, 10)
	return s.choose(nil), ""
}

func (s *plainSelector) repeat(_ time.Time, tried []string, _ bool) permit {
	if s.tokens < 1 {
		return nil
	}
	s.tokens--
	return s.choose(tried)
}

func (s *plainSelector) hedge(time.Time, []string) permit  { return nil }
func (s *plainSelector) hedgeAfter() (time.Duration, bool) { return 0, false }

func (s *plainSelector) capacity(time.Time, float64) (window, total float64) {
	return float64(s.slots), float64(s.slots)
}
