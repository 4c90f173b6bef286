package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// ReportInterval is the interval of the reports, of which a bad version is found out within two.
	ReportInterval = 500 * time.Millisecond
	// reportTimeout is the age from which on a report no longer shows that its sender is connected.
	reportTimeout = 3 * ReportInterval
	// stratumLength is the length of the periods in which the versions are compared. A burst of failures that hits both
	// lasts longer.
	stratumLength = time.Second
	// maxStrata bounds their number, and with it the memory of a long trial.
	maxStrata = 60
	// minorityDelay is the part of the duration by which a coordinator without reports of half of the members decides
	// later: the others may have a coordinator of their own with more evidence.
	minorityDelay = 0.15
	// warmFraction is the part of the old version's slots that warm targets of the new version must have before they get
	// all requests. Targets that restart on the way must not delay that.
	warmFraction = 0.8
	// leastWarmFraction is that part from warmDeadline on. Operators may start fewer targets of a faster version.
	leastWarmFraction = 0.5
	// warmDeadline is the part of the duration up to which the trial is extended for targets that are cold.
	warmDeadline = 0.85
	// emptyDeadline is the part of the duration at which an order for a version without targets is rolled back.
	emptyDeadline = 0.95
	// promoteDeadline is the part of the duration at which a promotion ends even if calls are in flight at old targets.
	promoteDeadline = 0.97
	// lostMemberWait is how long a promotion waits for members that are known but not heard. Within it, such a member that
	// reaches the store has read the phase itself.
	lostMemberWait = 2500 * time.Millisecond
	// minPromotedAnswers and maxPromotedFailures are the number of answers under the whole load, and the difference of their
	// share of failures from that of the old version in the trial, above which a promotion is ended.
	minPromotedAnswers  = 20
	maxPromotedFailures = 0.5
	// pollInterval is the interval at which a coordinator that does not hear all members reads the row.
	pollInterval = time.Second
	// maxStepGap is the time between two steps above which the coordinator reads the row, because it was paused. Others
	// take over after three seconds of silence.
	maxStepGap = 4 * ReportInterval
	// minRetryDelay is the delay after a failed call to the store. It doubles with each further one.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Member is a member of the fleet that is heard.
type Member struct {
	Name        string
	Incarnation string
}

// View is what an entry knows when it coordinates a roll-out.
type View struct {
	// Order is the current order; nil if it was removed.
	Order *Order
	// Members are the active members that are heard, this entry included. Known is the number of those that are not
	// known to have left.
	Members []Member
	Known   int
	// InService are the versions in service as far as this entry knows.
	InService []string
	// Slots are the slots of the targets in the registry that are neither leaving nor drained, by version, WarmSlots
	// those of warm ones.
	Slots     map[string]int
	WarmSlots map[string]int
	// Era is the latest known era of the store.
	Era uint64
}

// Action is what a Coordinator wants to be done.
type Action interface{ action() }

type (
	// Wait means that there is nothing to do before the next Step.
	Wait struct{}
	// Read means to read the status row and to pass the result to RowRead.
	Read struct{}
	// Write means to write the status row if it still has the version, and to pass the result to RowWritten.
	Write struct {
		Row     Row
		Version uint64
	}
)

func (Wait) action()  {}
func (Read) action()  {}
func (Write) action() {}

// heard is the last report of one incarnation of an entry.
type heard struct {
	report *Report
	at     time.Time
}

// Coordinator decides on one roll-out. It is not safe for concurrent use.
type Coordinator struct {
	order Order

	// row is the status row of this order, nil if it is not known or does not exist; stored is the last known state of the
	// row, whichever order it is for.
	row      *Row
	stored   Stored
	read     bool
	calling  bool
	readAt   time.Time
	retryAt  time.Time
	failures int
	// storeStart is the local time at which the store's clock was zero.
	storeStart time.Time

	// reports are the last reports by entry and incarnation. Those of former incarnations remain, because they count.
	reports map[Member]heard
	strata  []Counts
	closed  Counts
	// stratumAt is the start of the open stratum.
	stratumAt time.Time
	// known is a final phase that this entry or a reporting one has obeyed, as of an era of the store.
	known     Phase
	knownBase []string
	knownEra  uint64
	// verdict is the evidence on which the new version was suspended.
	verdict Verdict
	// promotedAt is when the promotion was announced or found.
	promotedAt time.Time
	// promoted are the results before.
	promoted Comparison
	view     View
	// steppedAt is the time of the last Step.
	steppedAt time.Time
}

// NewCoordinator returns the coordinator of a roll-out. known is the phase that this entry obeys since an era of the store,
// and base the versions that it knows to have been in service before.
func NewCoordinator(order Order, known Phase, base []string, era uint64) *Coordinator {
	return &Coordinator{
		order:     order,
		reports:   map[Member]heard{},
		closed:    Counts{},
		known:     known,
		knownBase: base,
		knownEra:  era,
	}
}

// Order returns the order.
func (c *Coordinator) Order() Order { return c.order }

// Renew replaces the order by the same one in another row.
func (c *Coordinator) Renew(order Order) { c.order = order }

// Report records a report. Reports of another order have no effect.
func (c *Coordinator) Report(now time.Time, r *Report) {
	if r.To != c.order.To || r.Duration != c.order.Duration {
		return
	}
	c.reports[Member{
		Name:        r.Entry,
		Incarnation: r.Incarnation,
	}] = heard{
		report: r,
		at:     now,
	}
	if phase := ParsePhase(r.Phase); r.Order == c.order.Version && IsFinal(phase) && !IsFinal(c.known) {
		c.known = phase
	}
}

// Reply returns the answer to a report of a member.
func (c *Coordinator) Reply(now time.Time, name string) *Reply {
	reply := &Reply{
		Phase: c.Phase().String(),
	}
	if c.row == nil {
		reply.Base = c.knownBase
		return reply
	}
	if c.wasPaused(now) {
		return &Reply{}
	}
	reply.Base = c.row.Base
	reply.Entries = max(c.row.Entries, c.view.Known, 1)
	reply.Age = max(now.Sub(c.startedAt()), 0)
	// Of the members that were there, most must be heard: the exposure of two groups that do not hear each other adds up.
	reply.Exposed = 2*len(c.view.Members) > reply.Entries
	if i, ok := slices.BinarySearchFunc(c.view.Members, name, func(m Member, name string) int { return cmp.Compare(m.Name, name) }); ok {
		reply.Offset = (float64(i) + 0.5) / float64(len(c.view.Members))
	}
	return reply
}

// Phase returns the phase to obey.
func (c *Coordinator) Phase() Phase {
	switch {
	case c.row == nil && IsFinal(c.known):
		return c.known
	case c.row == nil:
		return Unknown{}
	case c.verdict.Bad && c.row.Phase == Trial{}:
		return Suspended{}
	}
	return c.row.Phase
}

// Row returns the status row of the order, nil if it is not known.
func (c *Coordinator) Row() *Row { return c.row }

// Reason returns why the phase was entered.
func (c *Coordinator) Reason() string {
	switch {
	case c.verdict.Bad:
		return c.verdict.Reason
	case c.row != nil:
		return c.row.Reason
	}
	return ""
}

func (c *Coordinator) startedAt() time.Time { return c.storeStart.Add(c.row.Start) }

// elapsed returns the time since the start of the roll-out.
func (c *Coordinator) elapsed(now time.Time) time.Duration { return now.Sub(c.startedAt()) }

// Counts returns the sum of all reports.
func (c *Coordinator) Counts() Counts {
	sum := Counts{}
	for _, h := range c.reports {
		sum.add(h.report.Routes, 1)
	}
	return sum
}

// Total returns the sum of all reports over all routes.
func (c *Coordinator) Total() Comparison { return c.Counts().total() }

// Exposure returns the sums of first attempts and of attempts at the new version.
func (c *Coordinator) Exposure() (requests, taken int) {
	for _, h := range c.reports {
		requests += h.report.Requests
		taken += h.report.Taken
	}
	return requests, taken
}

// RowRead applies the result of a Read.
func (c *Coordinator) RowRead(now time.Time, stored Stored, err error) {
	c.calling = false
	if err != nil {
		c.fail(now)
		return
	}
	c.adopt(now, stored)
}

// RowWritten applies the result of a Write. After an error, the row may or may not have been written, and is read.
func (c *Coordinator) RowWritten(now time.Time, written Write, stored Stored, err error) {
	c.calling = false
	switch {
	case err != nil:
		c.fail(now)
		c.read = false
	case stored.Conflict && stored.Row == nil && stored.Version == 0:
		// The answer does not tell the current row.
		c.read = false
	case stored.Conflict:
		c.adopt(now, stored)
	default:
		row := written.Row
		stored.Row = &row
		c.adopt(now, stored)
	}
}

func (c *Coordinator) fail(now time.Time) {
	c.retryAt = now.Add(min(minRetryDelay<<min(c.failures, 4), maxRetryDelay))
	c.failures++
}

// adopt takes over the row as it is in the store.
func (c *Coordinator) adopt(now time.Time, stored Stored) {
	c.failures, c.read, c.readAt = 0, true, now
	c.stored = stored
	c.storeStart = now.Add(-stored.Now)
	former := c.row
	c.row = nil
	if row := stored.Row; row != nil && row.Order.IsSame(c.order, !IsFinal(row.Phase)) {
		c.row = row
	}
	if c.row != nil && IsFinal(c.row.Phase) {
		c.known = c.row.Phase
	}
	if c.row != nil && (c.row.Phase == Promote{}) && (former == nil || former.Phase != Promote{}) {
		c.promotedAt, c.promoted = now, c.Total()
	}
}

// Step looks at what is known and returns what to do next.
func (c *Coordinator) Step(now time.Time, view View) Action {
	slices.SortFunc(view.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	if c.wasPaused(now) {
		// Another entry may have taken over meanwhile.
		c.read, c.row = false, nil
	}
	c.view, c.steppedAt = view, now
	c.closeStratum(now)
	if c.calling {
		return Wait{}
	}
	c.judge()
	if now.Before(c.retryAt) {
		return Wait{}
	}
	action := c.next(now)
	if (action != Wait{}) {
		c.calling = true
	}
	return action
}

// wasPaused reports whether the process was paused since the last Step.
func (c *Coordinator) wasPaused(now time.Time) bool {
	return !c.steppedAt.IsZero() && now.Sub(c.steppedAt) > maxStepGap
}

// closeStratum ends the open stratum once it is long enough.
func (c *Coordinator) closeStratum(now time.Time) {
	if c.stratumAt.IsZero() {
		c.stratumAt = now
	}
	if now.Sub(c.stratumAt) < max(stratumLength, c.order.Trial()/maxStrata) {
		return
	}
	total := c.Counts()
	stratum := Counts{}
	stratum.add(total, 1)
	stratum.add(c.closed, -1)
	if len(c.strata) < 2*maxStrata {
		c.strata = append(c.strata, stratum)
	} else {
		c.strata[len(c.strata)-1].add(stratum, 1)
	}
	c.closed, c.stratumAt = total, now
}

// evidence returns the closed strata and the open one.
func (c *Coordinator) evidence() Evidence {
	open := c.Counts()
	open.add(c.closed, -1)
	targets := map[string]Results{}
	for _, h := range c.reports {
		for name, results := range h.report.Targets {
			sum := targets[name]
			sum.add(results, 1)
			targets[name] = sum
		}
	}
	return Evidence{
		Strata:  append(slices.Clone(c.strata), open),
		Targets: targets,
	}
}

// judge suspends the new version on clear evidence.
func (c *Coordinator) judge() {
	if c.row != nil && (c.row.Phase == Trial{}) && !c.verdict.Bad {
		c.verdict = c.evidence().Judge(false)
	}
}

func (c *Coordinator) next(now time.Time) Action {
	lonely := len(c.view.Members) < c.view.Known
	switch {
	case !c.read && IsFinal(c.known) && c.view.Era <= c.knownEra:
		return Wait{} // The row is known to be final, and no restore has changed it since.
	case !c.read, c.view.Era > c.stored.Era:
		return Read{}
	case c.row != nil && IsFinal(c.row.Phase):
		return Wait{}
	case lonely && now.Sub(c.readAt) >= pollInterval:
		return Read{}
	case c.row == nil:
		return c.begin(now)
	}
	return c.decide(now)
}

// begin returns the write of the first row of the order.
func (c *Coordinator) begin(now time.Time) Action {
	if c.view.Order == nil {
		return Wait{} // The order was removed before it began.
	}
	row := Row{
		Order:   c.order,
		Phase:   Trial{},
		Base:    c.base(),
		Start:   now.Sub(c.storeStart),
		Entries: max(c.view.Known, 1),
		Reason:  "ordered",
	}
	switch {
	case IsFinal(c.known):
		// The store has lost the row.
		row.Phase, row.Reason = c.known, "written again"
	case c.order.Duration <= 0:
		row.Phase, row.Reason = RolledBack{}, "the order has no duration above 0"
	case c.order.To == "":
		row.Phase, row.Reason = RolledBack{}, "the order names no version"
	case slices.Contains(row.Base, c.order.To):
		row.Phase, row.Reason = Promote{}, "the version is in service"
		if len(row.Base) == 1 && len(c.view.Slots) <= 1 {
			row.Phase = Done{}
		}
	}
	return Write{
		Row:     row,
		Version: c.stored.Version,
	}
}

// base returns the versions in service before the order. The row of an earlier roll-out knows them better than this entry,
// which may have started a moment ago, unless its versions have vanished since.
func (c *Coordinator) base() []string {
	var base []string
	if former := c.stored.Row; former != nil {
		base = former.Base
		if (former.Phase == Done{}) {
			base = []string{former.Order.To}
		}
	} else if c.knownBase != nil {
		base = c.knownBase
	}
	if !slices.ContainsFunc(base, func(version string) bool { return c.view.Slots[version] > 0 }) {
		base = c.view.InService
	}
	return slices.Clone(base)
}

// decide returns the write of the next phase once it is due.
func (c *Coordinator) decide(now time.Time) Action {
	enter := func(phase Phase, format string, args ...any) Action {
		row := *c.row
		// The same order may be in another row by now.
		row.Order = c.order
		row.Phase, row.Reason = phase, fmt.Sprintf(format, args...)
		return Write{
			Row:     row,
			Version: c.stored.Version,
		}
	}
	elapsed, duration := c.elapsed(now), c.order.Duration
	after := func(fraction float64) bool { return float64(elapsed) >= fraction*float64(duration) }
	if c.view.Order == nil {
		return enter(RolledBack{}, "the order was removed")
	}
	if (c.row.Phase == Promote{}) {
		if c.view.Slots[c.order.To] == 0 {
			return enter(RolledBack{}, "no target of the version is ready any more")
		}
		if reason := c.promotionFails(); reason != "" {
			return enter(RolledBack{}, "%s", reason)
		}
		if waiting := c.promotionWaits(now); waiting == "" {
			return enter(Done{}, "no entry sends to other versions: %s", c.row.Reason)
		} else if after(promoteDeadline) {
			return enter(Done{}, "at the end of the time, %s", waiting)
		}
		return Wait{}
	}
	trial := c.order.Trial()
	if !c.hearsMost(now) {
		trial += time.Duration(minorityDelay * float64(min(duration, maxTrial)))
	}
	sum := c.Counts().total()
	switch {
	case c.verdict.Bad:
		return enter(RolledBack{}, "%s", c.verdict.Reason)
	case c.view.Slots[c.order.To] == 0:
		if after(emptyDeadline) {
			return enter(RolledBack{}, "no target of the version is ready")
		}
		return Wait{}
	case elapsed < trial:
		return Wait{}
	}
	if v := c.evidence().Judge(true); v.Bad {
		return enter(RolledBack{}, "%s", v.Reason)
	}
	late := after(warmDeadline)
	if c.isWarm(warmFraction) && (sum.New.Answers > 0 || sum.Old.Answers == 0) {
		return enter(Promote{}, "%s", describe(sum))
	}
	switch {
	case !late:
		return Wait{}
	case !c.isWarm(leastWarmFraction):
		return enter(RolledBack{}, "too few targets of the version are warm")
	case sum.New.Answers == 0 && sum.Old.Answers > 0:
		return enter(RolledBack{}, "the version has answered nothing")
	}
	return enter(Promote{}, "%s", describe(sum))
}

// describe describes the results of both versions.
func describe(sum Comparison) string {
	return fmt.Sprintf("%d of %d answers of the new version failed, median %v; %d of %d of the old one, median %v",
		sum.New.Failures, sum.New.Answers, sum.New.Median().Round(time.Millisecond),
		sum.Old.Failures, sum.Old.Answers, sum.Old.Median().Round(time.Millisecond))
}

// isWarm reports whether the warm targets of the new version have a part of the slots of those in service.
func (c *Coordinator) isWarm(fraction float64) bool {
	old := 0
	for _, version := range c.row.Base {
		if version != c.order.To {
			old += c.view.Slots[version]
		}
	}
	return float64(c.view.WarmSlots[c.order.To]) >= fraction*float64(old)
}

// hearsMost reports whether at least half of the known members have sent a report a moment ago.
func (c *Coordinator) hearsMost(now time.Time) bool {
	n := 0
	for _, m := range c.view.Members {
		if h, ok := c.reports[m]; ok && now.Sub(h.at) < reportTimeout {
			n++
		}
	}
	return 2*n >= c.view.Known
}

// promotionWaits returns what the end of a promotion waits for, or an empty text.
func (c *Coordinator) promotionWaits(now time.Time) string {
	calls, entries := 0, 0
	for _, m := range c.view.Members {
		h, ok := c.reports[m]
		switch {
		case !ok || h.at.Before(c.promotedAt) || now.Sub(h.at) >= reportTimeout || h.report.Phase != Promote{}.String():
			entries++
		default:
			calls += h.report.Inflight
		}
	}
	switch {
	case entries > 0:
		return fmt.Sprintf("%d entries have not confirmed", entries)
	case calls > 0:
		return fmt.Sprintf("%d calls are in flight at other versions", calls)
	case len(c.view.Members) < c.view.Known && now.Sub(c.promotedAt) < lostMemberWait:
		return fmt.Sprintf("%d members are not heard", c.view.Known-len(c.view.Members))
	}
	return ""
}

// promotionFails returns why the new version is bad under the whole load, or an empty text. The old version gets no
// requests meanwhile, so a fault that hits both must not be taken for one of the version: only what the trial would have
// shown at once counts.
func (c *Coordinator) promotionFails() string {
	total := c.Total()
	old, fresh := total.Old, total.New.clone()
	fresh.add(c.promoted.New, -1)
	if old.Answers == 0 || fresh.Answers < minPromotedAnswers {
		return ""
	}
	share := float64(fresh.Failures) / float64(fresh.Answers)
	if usual := float64(old.Failures) / float64(old.Answers); share > usual+maxPromotedFailures {
		return fmt.Sprintf("%d of %d answers of the new version failed under the whole load", fresh.Failures, fresh.Answers)
	}
	return ""
}

// Waiting says what the roll-out waits for.
func (c *Coordinator) Waiting(now time.Time) string {
	switch {
	case c.row == nil && !IsFinal(c.known), c.failures > 0:
		return "the store"
	case c.row == nil || IsFinal(c.row.Phase):
		return ""
	case c.row.Phase == Promote{}:
		return c.promotionWaits(now)
	case c.verdict.Bad:
		return "the store, to write the decision"
	case c.view.Slots[c.order.To] == 0:
		return "targets of the version"
	case c.elapsed(now) < c.order.Trial():
		return fmt.Sprintf("the end of the trial in %v", (c.order.Trial() - c.elapsed(now)).Round(time.Second))
	}
	return "warm targets of the version"
}
