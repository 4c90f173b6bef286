package rollout

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// shareFraction is the part of the share of the exposure that entries use, and slackFraction that of the slack. The
	// rest is for entries that restart, which count from zero, and for requests that end after the order's time.
	shareFraction = 0.8
	slackFraction = 0.5
	// contactTimeout is the time without a reply of a coordinator after which an entry sends nothing to the new version.
	contactTimeout = 2 * time.Second
	// unknownWait is how long an entry that started with an order sends nothing to the service while it does not know the
	// phase. A coordinator usually answers at once; after a restart of the whole fleet, there is one only after 1.5 s.
	unknownWait = 3 * time.Second
	// minGroup is the number of targets of the new version that get requests at the same time, or more if there are many.
	// The load of three is read before a selection, so a target that is slow for a moment is avoided as among the old
	// ones. With one or two, slow machines look like a slow version.
	minGroup = 3
	// maxRoutePart is the part of the requests of a route that the new version gets at most. Beyond it, too little of the old
	// version would be left to compare with.
	maxRoutePart = 1.0 / 3
	// fullLoadTurns is the number of turns of which one has a group that is as small as the new version's part of the
	// requests, so that its targets run under the load that they will have. In each turn, slow machines would look like a slow
	// version: if one in five is slow at any moment, a third of the turns add 7 points to the share of slow answers, of which
	// minSlow allows 15.
	fullLoadTurns = 3
	// groupTime is how long a group gets the requests. Even in a trial of 8 s, each target of a usual service has its turn.
	groupTime = time.Second
	// canceledFactor is the factor by which the time of an attempt counts that was canceled because a hedge was faster:
	// its answer would have taken longer.
	canceledFactor = 1.5
)

// Outcome is the result of an attempt, for the comparison of versions.
type Outcome int

const (
	// Answered means that the target ran the request and gave a complete answer.
	Answered Outcome = iota
	// Failed means a status of 500 or above of a request that ran, a broken answer, or none up to the deadline.
	Failed
	// Outrun means that the attempt was canceled because another one of the same request was faster.
	Outrun
	// Uncounted means that the attempt says nothing about the version: it did not run, or its caller has left.
	Uncounted
)

// Participant is the part of one entry in one roll-out. It is safe for concurrent use.
type Participant struct {
	mu     sync.Mutex
	order  Order
	bounds Bounds
	// learnedAt is when the entry learned of the order. running means that it was in operation before.
	learnedAt time.Time
	running   bool
	removed   bool

	phase Phase
	base  []string
	// heardAt is when a coordinator last replied with a phase, startedAt the start of the roll-out by its word.
	heardAt   time.Time
	startedAt time.Time
	exposed   bool
	entries   int
	offset    float64

	// requests are the first attempts by route, taken the attempts at the new version.
	requests, taken           map[string]int
	totalRequests, totalTaken int
	counts                    Counts
	// targets are the results of the targets of the new version.
	targets map[string]Results
	// evidence is why this entry suspended on its own.
	evidence string
}

// NewParticipant returns the part of an entry in a roll-out that it has just learned of. running is false if the order was
// there when the entry started.
func NewParticipant(now time.Time, order Order, bounds Bounds, running bool) *Participant {
	return &Participant{
		order:     order,
		bounds:    bounds,
		learnedAt: now,
		running:   running,
		phase:     Unknown{},
		requests:  map[string]int{},
		taken:     map[string]int{},
		counts:    Counts{},
		targets:   map[string]Results{},
	}
}

// Order returns the order.
func (p *Participant) Order() Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.order
}

// Renew replaces the order by the same one in another row.
func (p *Participant) Renew(order Order) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.order, p.removed = order, false
}

// Remove records that the operator has removed the order. The new version gets nothing more, unless it has all requests
// already: then the coordinator decides.
func (p *Participant) Remove() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removed = true
}

// Running reports whether the entry was in operation before the order.
func (p *Participant) Running() bool { return p.running }

// Removed reports whether the order has been removed.
func (p *Participant) Removed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.removed
}

// Phase returns the phase that the entry obeys.
func (p *Participant) Phase() Phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.phase
}

// Base returns the versions that were in service before, empty if no coordinator has named them.
func (p *Participant) Base() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.base
}

// Seed orders the targets of the new version, alike at all entries.
func (p *Participant) Seed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return xxhash.Sum64String(p.order.Service + "\x00" + p.order.To + "\x00" + p.order.Duration.String())
}

// Waits reports whether the entry must not send to the service at all yet, because it does not know the phase and has no
// earlier knowledge of the versions in service.
func (p *Participant) Waits(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.phase == Unknown{} && !p.running && !p.removed && now.Sub(p.learnedAt) < unknownWait
}

// Hear applies a reply of a coordinator and reports whether the phase has changed.
func (p *Participant) Hear(now time.Time, r *Reply) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	phase := ParsePhase(r.Phase)
	if (phase == Unknown{}) {
		return false
	}
	p.heardAt = now
	p.startedAt = now.Add(-r.Age)
	p.exposed = r.Exposed
	p.entries = max(p.entries, r.Entries)
	p.offset = r.Offset
	changed := p.base == nil && r.Base != nil
	if r.Base != nil {
		p.base = r.Base
	}
	return p.advance(phase) || changed
}

// advance enters a phase unless the roll-out is beyond it.
func (p *Participant) advance(phase Phase) bool {
	if !follows(phase, p.phase) {
		return false
	}
	p.phase = phase
	return true
}

// allowance returns how many attempts the new version may have had by now: its part of the requests and its part of the
// slack. It is bounded for each entry, so that the sum over all entries is, whatever they know of each other.
func (p *Participant) allowance(now time.Time) (share, slack float64) {
	if p.entries == 0 {
		return 0, 0
	}
	progress := 1.0
	if trial := p.order.Trial(); trial > 0 {
		progress = min(max(float64(now.Sub(p.startedAt))/float64(trial), 0), 1)
	}
	// The request in question counts as well: with 189 entries, most get only one during a trial.
	return shareFraction * p.bounds.Share * float64(p.totalRequests+1),
		slackFraction * p.bounds.Slack / float64(p.entries) * progress
}

// mayExpose reports whether the new version may get any requests now.
func (p *Participant) mayExpose(now time.Time) bool {
	return p.phase == Trial{} && !p.removed && p.exposed && now.Sub(p.heardAt) < contactTimeout
}

// MayTake implements route.TrialBudget: it reports whether the new version may take a first attempt on a route.
func (p *Participant) MayTake(now time.Time, route string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.mayExpose(now) {
		return false
	}
	share, slack := p.allowance(now)
	if float64(p.totalTaken+1) > share+slack+p.offset {
		return false
	}
	// A route has its part of the share, and as much of the slack as any other: a fault on a rare route would remain unseen
	// otherwise. Rounding up lets routes take part that have less than one request of each.
	requests := float64(p.requests[route] + 1)
	share *= requests / float64(p.totalRequests+1)
	part := share + slack/float64(max(len(p.requests), 1))
	return float64(p.taken[route]) <= min(part, maxRoutePart*requests)
}

// MaySend implements route.TrialBudget: it reports whether an attempt at the new version may still be written.
func (p *Participant) MaySend(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mayExpose(now)
}

// Took implements route.TrialBudget: it counts an attempt at the new version.
func (p *Participant) Took(route string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken[route]++
	p.totalTaken++
}

// Requested implements route.TrialBudget: it counts a first attempt at any version.
func (p *Participant) Requested(route string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[route]++
	p.totalRequests++
}

// Group implements route.TrialBudget: of the number of targets of the new version in their order, it returns the range
// that gets requests now, from first on and around the end.
func (p *Participant) Group(now time.Time, targets int) (first, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if targets == 0 {
		return 0, 0
	}
	part := shareFraction * p.bounds.Share * float64(targets)
	full := max(int(math.Ceil(part)), 1)
	turn := int(max(now.Sub(p.startedAt), 0) / groupTime)
	count = full
	if turn%fullLoadTurns != fullLoadTurns-1 {
		count = max(full, minGroup)
	}
	return turn * max(full, minGroup) % targets, min(count, targets)
}

// Record counts the result of an attempt. Latencies of cold targets do not count.
func (p *Participant) Record(target, version, route string, outcome Outcome, latency time.Duration, cold bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if outcome == Uncounted || IsFinal(p.phase) || version != p.order.To && len(p.base) > 0 && !slices.Contains(p.base, version) {
		return
	}
	results := p.counts[route]
	r := &results.Old
	if version == p.order.To {
		r = &results.New
		t := p.targets[target]
		t.Answers++
		if outcome == Failed {
			t.Failures++
		}
		p.targets[target] = t
	}
	r.Answers++
	switch {
	case outcome == Failed:
		r.Failures++
	case cold:
	case outcome == Outrun:
		r.addLatency(time.Duration(canceledFactor * float64(latency)))
	default:
		r.addLatency(latency)
	}
	p.counts[route] = results
}

// Report returns the message to the coordinator. An entry that sees clear evidence against the new version suspends
// first.
func (p *Participant) Report(entry, incarnation string, inflight int) *Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	if (p.phase == Trial{}) {
		own := Evidence{
			Strata:  []Counts{p.counts},
			Targets: p.targets,
		}
		if v := own.Judge(false); v.Bad && p.advance(Suspended{}) {
			p.evidence = v.Reason
		}
	}
	routes := Counts{}
	routes.add(p.counts, 1)
	return &Report{
		Entry:       entry,
		Incarnation: incarnation,
		Service:     p.order.Service,
		To:          p.order.To,
		Duration:    p.order.Duration,
		Order:       p.order.Version,
		Phase:       p.phase.String(),
		Requests:    p.totalRequests,
		Taken:       p.totalTaken,
		Inflight:    inflight,
		Targets:     maps.Clone(p.targets),
		Routes:      routes,
	}
}

// Status is the state of a roll-out as an entry sees it.
type Status struct {
	Order    Order
	Phase    Phase
	Base     []string
	Requests int
	Taken    int
	// Allowed is the number of attempts that the new version may have had by now.
	Allowed float64
	Old     Results
	New     Results
	// Evidence is why this entry suspended on its own, empty if it has not.
	Evidence string
	// Waiting says what the roll-out waits for.
	Waiting string
}

// Status returns the state for operators.
func (p *Participant) Status(now time.Time) Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := p.counts.total()
	share, slack := p.allowance(now)
	s := Status{
		Order:    p.order,
		Phase:    p.phase,
		Base:     slices.Clone(p.base),
		Requests: p.totalRequests,
		Taken:    p.totalTaken,
		Allowed:  share + slack,
		Old:      total.Old,
		New:      total.New,
		Evidence: p.evidence,
	}
	switch p.phase.(type) {
	case Unknown:
		s.Waiting = "the coordinator"
	case Trial:
		s.Waiting = "the end of the trial"
		if !p.mayExpose(now) {
			s.Waiting = "a coordinator that hears most entries"
		}
	case Suspended:
		s.Waiting = "the store, to write the decision"
	case Promote:
		s.Waiting = "all entries to stop sending to other versions"
	}
	return s
}

// Routes returns the names of the routes with results.
func (p *Participant) Routes() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.counts))
}
