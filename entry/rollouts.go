package entry

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"skylarkbeam/feed"
	"skylarkbeam/fleet"
	"skylarkbeam/rollout"
	"skylarkbeam/route"
)

const (
	// rolloutStepInterval is the interval at which roll-outs are looked at. Reports are sent at every second step.
	rolloutStepInterval = rollout.ReportInterval / 2
	// rolloutCallTimeout limits one call to the store for a roll-out.
	rolloutCallTimeout = 2 * time.Second
)

// RolloutFleet is a Fleet whose operators can order roll-outs. It is implemented by *fleet.Follower.
type RolloutFleet interface {
	RolloutStore() fleet.RolloutStore
	RolloutCoordinator(service string) fleet.Coordinator
	RolloutMembers() (heard []rollout.Member, known int)
	ReportRollout(ctx context.Context, to netip.AddrPort, r *rollout.Report) (*rollout.Reply, error)
	HandleRollouts(handle func(*rollout.Report) *rollout.Reply)
	Incarnation() string
}

// rollouts is the part of an entry in all roll-outs: it takes orders from the state, sets the policies for versions,
// reports to coordinators, and coordinates roll-outs itself.
type rollouts struct {
	entry *Entry
	fleet RolloutFleet
	// active are the roll-outs of which results are recorded, by service. The map is replaced and not modified.
	active atomic.Pointer[map[string]*rollout.Participant]
	// calls is canceled when the entry stops, which must not wait for a message or a call to the store.
	calls       context.Context
	cancelCalls context.CancelFunc

	mu       sync.Mutex
	enabled  bool
	applied  bool // a state has been applied
	state    *fleet.State
	bounds   rollout.Bounds
	versions rollout.Versions
	// pending means that the versions in service may change without a change of the targets.
	pending bool
	// policies are the policies that were last set, by service.
	policies map[string]route.VersionPolicy
	services map[string]*serviceRollout
	// held are the versions that are held back, by service, as they were last logged.
	held map[string]string
	wake chan struct{}
}

// serviceRollout is a roll-out of a service at this entry.
type serviceRollout struct {
	participant *rollout.Participant
	// coordinator is set while this entry coordinates the roll-out.
	coordinator *rollout.Coordinator
	// finalEra is the era of the store in which the final phase was heard.
	finalEra uint64
	// reportedAt is when the last report was sent, reporting is set until it is answered.
	reportedAt time.Time
	reporting  bool
	// loggedPhase is the phase that was last logged.
	loggedPhase rollout.Phase
}

func newRollouts(e *Entry) *rollouts {
	r := &rollouts{
		entry:    e,
		services: map[string]*serviceRollout{},
		policies: map[string]route.VersionPolicy{},
		held:     map[string]string{},
		wake:     make(chan struct{}, 1),
	}
	r.calls, r.cancelCalls = context.WithCancel(context.Background())
	r.active.Store(&map[string]*rollout.Participant{})
	r.fleet, _ = e.fleet.(RolloutFleet)
	return r
}

// apply takes over the orders and targets of a state. It is called before the targets are put in force, so that none gets
// a call before it is known whether its version is held.
func (r *rollouts) apply(now time.Time, state *fleet.State) {
	if r.fleet == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !state.RolloutBounds.Enabled() {
		r.disable()
		return
	}
	if !r.enabled {
		r.enabled = true
		r.fleet.HandleRollouts(r.handle)
		r.entry.tasks.Go(r.run)
	}
	r.state, r.bounds = state, state.RolloutBounds
	r.updateVersions(now)
	ordered := map[string]bool{}
	for _, order := range state.Rollouts {
		ordered[order.Service] = true
		r.applyOrder(now, order)
	}
	for service, s := range r.services {
		if ordered[service] || s.participant.Removed() {
			continue
		}
		s.participant.Remove()
		r.entry.log.Info("the order for a roll-out was removed", zap.String("service", service),
			zap.Stringer("phase", s.participant.Phase()))
	}
	r.applied = true
	r.refresh(now)
	r.wakeUp()
}

// disable ends everything when the settings no longer ask for roll-outs.
func (r *rollouts) disable() {
	if r.state == nil {
		return
	}
	for _, service := range r.versions.Services() {
		r.entry.table.SetVersionPolicy(service, route.AllVersions{})
	}
	r.state, r.versions = nil, rollout.Versions{}
	clear(r.services)
	clear(r.policies)
	clear(r.held)
	r.active.Store(&map[string]*rollout.Participant{})
}

func (r *rollouts) updateVersions(now time.Time) {
	targets := make([]rollout.Target, 0, len(r.state.RegisteredTargets))
	for _, t := range r.state.RegisteredTargets {
		targets = append(targets, rollout.Target{
			Service:   t.Service,
			Version:   t.Version,
			StartedAt: t.StartedAt,
		})
	}
	r.pending = r.versions.Update(now, targets)
}

// applyOrder takes over an order that is new, or the same one in another row.
func (r *rollouts) applyOrder(now time.Time, order rollout.Order) {
	s := r.services[order.Service]
	if s != nil && s.participant.Order() == order && !s.participant.Removed() {
		return
	}
	if s != nil && s.participant.Order().IsSame(order, !rollout.IsFinal(s.participant.Phase())) {
		s.participant.Renew(order)
		if s.coordinator != nil {
			s.coordinator.Renew(order)
		}
		return
	}
	r.services[order.Service] = &serviceRollout{
		participant: rollout.NewParticipant(now, order, r.bounds, r.applied),
		loggedPhase: rollout.Unknown{},
	}
	r.entry.log.Info("a roll-out was ordered", zap.String("service", order.Service), zap.String("to", order.To),
		zap.Duration("duration", order.Duration), zap.Uint64("row", feed.ServiceVersion(order.Version)),
		zap.Strings("in_service", r.versions.InService(order.Service)))
}

// refresh sets the policies of all services and logs what has changed.
func (r *rollouts) refresh(now time.Time) {
	active := map[string]*rollout.Participant{}
	for service, s := range r.services {
		phase := s.participant.Phase()
		if phase != s.loggedPhase {
			r.logPhase(service, s, phase)
		}
		if (phase == rollout.Unknown{} || rollout.IsFinal(phase)) && s.participant.Removed() {
			delete(r.services, service)
			continue
		}
		if !rollout.IsFinal(phase) {
			active[service] = s.participant
		}
	}
	if !maps.Equal(active, *r.active.Load()) {
		r.active.Store(&active)
	}
	for _, service := range r.versions.Services() {
		if policy := r.policy(now, service); !equalPolicies(policy, r.policies[service]) {
			r.policies[service] = policy
			r.entry.table.SetVersionPolicy(service, policy)
		}
	}
	r.logHeld()
}

// logPhase logs a change of the phase. The versions in service are known when the roll-out has ended.
func (r *rollouts) logPhase(service string, s *serviceRollout, phase rollout.Phase) {
	s.loggedPhase = phase
	order := s.participant.Order()
	switch phase.(type) {
	case rollout.Done:
		r.versions.Set(service, []string{order.To})
	case rollout.RolledBack:
		if base := s.participant.Base(); len(base) > 0 {
			r.versions.Set(service, base)
		}
	}
	if rollout.IsFinal(phase) {
		s.finalEra = feed.Era(r.state.BaseVersion)
	}
	status := s.participant.Status(r.entry.timers.Now())
	fields := []zap.Field{
		zap.String("service", service), zap.String("to", order.To), zap.Stringer("phase", phase),
		zap.Strings("base", status.Base), zap.Int("requests", status.Requests), zap.Int("taken", status.Taken),
		zap.Int("failures", status.New.Failures),
	}
	if status.Evidence != "" {
		fields = append(fields, zap.String("evidence", status.Evidence))
	}
	if s.coordinator != nil {
		fields = append(fields, zap.String("reason", s.coordinator.Reason()))
	}
	r.entry.log.Info("phase of a roll-out", fields...)
	r.entry.metrics.countRolloutPhase(phase)
}

// policy returns the policy for the versions of a service.
func (r *rollouts) policy(now time.Time, service string) route.VersionPolicy {
	inService := r.versions.InService(service)
	s := r.services[service]
	if s == nil {
		return route.OnlyVersions{
			Versions: inService,
		}
	}
	p := s.participant
	policy := p.Policy(now, inService, r.registeredVersions(service))
	only := route.OnlyVersions{
		Versions: policy.Versions,
		Never:    policy.Never,
	}
	switch {
	case policy.Wait:
		return route.NoVersions{}
	case policy.Trial:
		return route.TrialVersion{
			OnlyVersions: only,
			To:           p.Order().To,
			Seed:         p.Seed(),
			Budget:       p,
		}
	}
	return only
}

// equalPolicies reports whether two policies are the same, so that the table need not apply one again.
func equalPolicies(a, b route.VersionPolicy) bool {
	equal := func(a, b route.OnlyVersions) bool {
		return slices.Equal(a.Versions, b.Versions) && slices.Equal(a.Never, b.Never)
	}
	switch a := a.(type) {
	case route.OnlyVersions:
		b, ok := b.(route.OnlyVersions)
		return ok && equal(a, b)
	case route.TrialVersion:
		b, ok := b.(route.TrialVersion)
		return ok && equal(a.OnlyVersions, b.OnlyVersions) && a.To == b.To && a.Seed == b.Seed && a.Budget == b.Budget
	case route.NoVersions:
		return b == route.NoVersions{}
	}
	return false
}

// registeredVersions returns the versions of the registered targets of a service.
func (r *rollouts) registeredVersions(service string) []string {
	var versions []string
	for _, t := range r.state.RegisteredTargets {
		if t.Service == service && !slices.Contains(versions, t.Version) {
			versions = append(versions, t.Version)
		}
	}
	return versions
}

// logHeld logs the versions that are held back if they have changed.
func (r *rollouts) logHeld() {
	versions := map[string][]string{}
	for _, t := range r.state.RegisteredTargets {
		if t.Leaving || slices.Contains(versions[t.Service], t.Version) {
			continue
		}
		if s := r.services[t.Service]; s != nil || slices.Contains(r.versions.InService(t.Service), t.Version) {
			continue
		}
		versions[t.Service] = append(versions[t.Service], t.Version)
	}
	for service, list := range versions {
		slices.Sort(list)
		if text := strings.Join(list, ", "); r.held[service] != text {
			r.held[service] = text
			r.entry.log.Warn("targets of a version without an order are held back while others are ready",
				zap.String("service", service), zap.Strings("versions", list),
				zap.Strings("in_service", r.versions.InService(service)))
		}
	}
	maps.DeleteFunc(r.held, func(service, _ string) bool { return versions[service] == nil })
}

func (r *rollouts) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run steps the roll-outs until the entry stops.
func (r *rollouts) run() {
	ticks := r.entry.timers.Every("roll-outs", rolloutStepInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
		case <-r.wake:
		case <-r.entry.done:
			return
		}
		r.step()
	}
}

// step reports to the coordinators, and does what is due as a coordinator.
func (r *rollouts) step() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil || len(r.services) == 0 && !r.pending {
		return
	}
	now := r.entry.timers.Now()
	r.updateVersions(now)
	r.refresh(now)
	for service, s := range r.services {
		coordinator := r.fleet.RolloutCoordinator(service)
		switch {
		case coordinator.IsSelf:
			r.coordinate(now, service, s)
		case rollout.IsFinal(s.participant.Phase()):
			s.coordinator = nil
		default:
			s.coordinator = nil
			interval := rollout.ReportInterval - rolloutStepInterval/2
			if (s.participant.Phase() == rollout.Unknown{}) {
				interval = 0 // Requests may wait for the answer.
			}
			if coordinator.Name != "" && !s.reporting && now.Sub(s.reportedAt) >= interval {
				r.report(now, s, coordinator)
			}
		}
	}
}

// ownReport returns the report of this entry. The phase and the calls in flight are of one moment, because r.mu is held
// whenever a phase is put in force.
func (r *rollouts) ownReport(s *serviceRollout) *rollout.Report {
	order := s.participant.Order()
	return s.participant.Report(r.entry.opts.Name, r.fleet.Incarnation(), r.entry.table.InflightElsewhere(order.Service, order.To))
}

// report sends a report to the coordinator.
func (r *rollouts) report(now time.Time, s *serviceRollout, to fleet.Coordinator) {
	s.reportedAt, s.reporting = now, true
	message := r.ownReport(s)
	r.entry.metrics.rolloutReports.Inc()
	r.entry.tasks.Go(func() {
		reply, err := r.fleet.ReportRollout(r.calls, to.Address, message)
		r.mu.Lock()
		defer r.mu.Unlock()
		s.reporting = false
		if err != nil {
			r.entry.metrics.rolloutReportFailures.Inc()
			return
		}
		if r.services[message.Service] == s {
			r.hear(s, reply)
		}
	})
}

// hear puts a reply in force. A new phase is reported at once.
func (r *rollouts) hear(s *serviceRollout, reply *rollout.Reply) {
	now := r.entry.timers.Now()
	if s.participant.Hear(now, reply) && r.state != nil {
		r.refresh(now)
		s.reportedAt = time.Time{}
		r.wakeUp()
	}
}

// coordinate does what is due as the coordinator of a service.
func (r *rollouts) coordinate(now time.Time, service string, s *serviceRollout) {
	if r.fleet.RolloutStore() == nil {
		return
	}
	if s.coordinator == nil {
		s.coordinator = rollout.NewCoordinator(s.participant.Order(), s.participant.Phase(), s.participant.Base(), s.finalEra)
		r.entry.log.Info("coordinating a roll-out", zap.String("service", service), zap.String("to", s.participant.Order().To),
			zap.Stringer("phase", s.participant.Phase()))
	}
	c := s.coordinator
	c.Report(now, r.ownReport(s))
	action := c.Step(now, r.view(now, service, s))
	r.hear(s, c.Reply(now, r.entry.opts.Name))
	var call func(ctx context.Context, store fleet.RolloutStore)
	switch a := action.(type) {
	case rollout.Wait:
		return
	case rollout.Read:
		call = func(ctx context.Context, store fleet.RolloutStore) {
			stored, err := store.ReadRollout(ctx, service)
			r.mu.Lock()
			defer r.mu.Unlock()
			c.RowRead(r.entry.timers.Now(), stored, err)
			r.logStoreError(service, err)
		}
	case rollout.Write:
		call = func(ctx context.Context, store fleet.RolloutStore) {
			stored, err := store.WriteRollout(ctx, service, a.Row, a.Version)
			r.mu.Lock()
			defer r.mu.Unlock()
			c.RowWritten(r.entry.timers.Now(), a, stored, err)
			r.logStoreError(service, err)
			if err == nil && !stored.Conflict {
				r.logDecision(service, c, a)
			}
		}
	}
	r.entry.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(r.calls, rolloutCallTimeout)
		defer cancel()
		r.entry.metrics.rolloutStoreCalls.Inc()
		call(ctx, r.fleet.RolloutStore())
		r.wakeUp()
	})
}

func (r *rollouts) logStoreError(service string, err error) {
	if err != nil {
		r.entry.log.Warn("the status of a roll-out cannot be read or written", zap.String("service", service), zap.Error(err))
	}
}

// logDecision logs a phase that was written, with its evidence.
func (r *rollouts) logDecision(service string, c *rollout.Coordinator, w rollout.Write) {
	requests, taken := c.Exposure()
	r.entry.log.Info("status of a roll-out written", zap.String("service", service), zap.String("to", w.Row.Order.To),
		zap.Stringer("phase", w.Row.Phase), zap.Strings("base", w.Row.Base), zap.String("reason", w.Row.Reason),
		zap.Int("requests", requests), zap.Int("taken", taken))
}

// view returns what this entry knows as a coordinator.
func (r *rollouts) view(now time.Time, service string, s *serviceRollout) rollout.View {
	heard, known := r.fleet.RolloutMembers()
	v := rollout.View{
		Members:   heard,
		Known:     known,
		InService: r.versions.InService(service),
		Slots:     map[string]int{},
		WarmSlots: map[string]int{},
		Era:       feed.Era(r.state.BaseVersion),
	}
	if !s.participant.Removed() {
		order := s.participant.Order()
		v.Order = &order
	}
	for _, t := range r.state.RegisteredTargets {
		if t.Service != service || t.Leaving || slices.Contains(r.state.DrainedDomains, t.Domain) {
			continue
		}
		v.Slots[t.Version] += t.Slots
		if !t.ColdUntil.After(now) {
			v.WarmSlots[t.Version] += t.Slots
		}
	}
	return v
}

// handle answers the report of another entry.
func (r *rollouts) handle(message *rollout.Report) *rollout.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[message.Service]
	if s == nil || s.participant.Order().To != message.To || s.participant.Order().Duration != message.Duration {
		return &rollout.Reply{}
	}
	now := r.entry.timers.Now()
	if s.coordinator != nil {
		s.coordinator.Report(now, message)
		return s.coordinator.Reply(now, message.Entry)
	}
	if phase := s.participant.Phase(); rollout.IsFinal(phase) && message.Order == s.participant.Order().Version {
		return &rollout.Reply{
			Phase: phase.String(),
			Base:  s.participant.Base(),
		}
	}
	return &rollout.Reply{}
}

// concerns reports whether a roll-out of a service is running.
func (r *rollouts) concerns(service string) bool { return (*r.active.Load())[service] != nil }

// record counts the result of an attempt for the roll-out of its service.
func (r *rollouts) record(c *call, permit *route.Permit, result route.Result, running bool) {
	p := (*r.active.Load())[c.service.name]
	if p == nil {
		return
	}
	o := rollout.Uncounted
	switch result.Kind {
	case route.Succeeded:
		o = rollout.Answered
	case route.Failed:
		o = rollout.Failed
	case route.Canceled:
		if running {
			o = rollout.Outrun
		}
	}
	if o != rollout.Answered && (c.request.Context().Err() != nil || r.entry.ending.Err() != nil) {
		o = rollout.Uncounted // The caller has left, or this entry stops.
	}
	p.Record(permit.Target, permit.Version, c.policy.route, o, result.Latency, permit.Cold || permit.Estimate.Cold)
}

// RolloutStatus is the state of a roll-out as an entry sees it.
type RolloutStatus struct {
	Service  string   `json:"service"`
	To       string   `json:"to"`
	Base     []string `json:"base"`
	Phase    string   `json:"phase"`
	Duration string   `json:"duration"`
	// Coordinator is the name of the entry that decides. The counts are sums over all entries there, and those of the entry
	// itself elsewhere.
	Coordinator string `json:"coordinator"`
	Whole       bool   `json:"whole"`
	Requests    int    `json:"requests"`
	// Taken is the number of attempts at the new version, Allowed its bound.
	Taken   int           `json:"taken"`
	Allowed float64       `json:"allowed"`
	Old     VersionStatus `json:"old"`
	New     VersionStatus `json:"new"`
	Waiting string        `json:"waiting"`
	Reason  string        `json:"reason"`
}

// VersionStatus are the results of a version.
type VersionStatus struct {
	Answers  int    `json:"answers"`
	Failures int    `json:"failures"`
	Median   string `json:"median"`
}

func versionStatus(r rollout.Results) VersionStatus {
	return VersionStatus{
		Answers:  r.Answers,
		Failures: r.Failures,
		Median:   r.Median().Round(time.Millisecond).String(),
	}
}

// status returns the state of the roll-outs, sorted by service.
func (r *rollouts) status(now time.Time) []RolloutStatus {
	if r.fleet == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []RolloutStatus
	for _, service := range slices.Sorted(maps.Keys(r.services)) {
		s := r.services[service]
		own := s.participant.Status(now)
		row := RolloutStatus{
			Service:     service,
			To:          own.Order.To,
			Base:        own.Base,
			Phase:       cmp.Or(own.Phase.String(), "unknown"),
			Duration:    own.Order.Duration.String(),
			Coordinator: r.fleet.RolloutCoordinator(service).Name,
			Requests:    own.Requests,
			Taken:       own.Taken,
			Allowed:     own.Allowed,
			Old:         versionStatus(own.Old),
			New:         versionStatus(own.New),
			Waiting:     own.Waiting,
			Reason:      own.Evidence,
		}
		if c := s.coordinator; c != nil {
			total := c.Total()
			row.Whole = true
			row.Requests, row.Taken = c.Exposure()
			row.Allowed = r.bounds.Share*float64(row.Requests) + r.bounds.Slack
			row.Old, row.New = versionStatus(total.Old), versionStatus(total.New)
			row.Waiting, row.Reason = c.Waiting(now), c.Reason()
		}
		list = append(list, row)
	}
	return list
}

// countRolloutPhase counts the entering of a phase.
func (m *Metrics) countRolloutPhase(phase rollout.Phase) {
	m.set.GetOrCreateCounter(fmt.Sprintf("skylarkbeam_rollout_phases_total{phase=%q}", phase)).Inc()
}
