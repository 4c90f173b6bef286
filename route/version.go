package route

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkbeam/outcome"
)

// VersionPolicy says which versions of a service get calls.
type VersionPolicy interface{ versionPolicy() }

type (
	// AllVersions lets targets of each version have calls. It is the default.
	AllVersions struct{}
	// OnlyVersions lets targets of some versions have calls, and those of others while none of these is available. Versions
	// in Never get no calls even then.
	OnlyVersions struct {
		Versions []string
		Never    []string
	}
	// NoVersions lets calls wait, because it is not known yet which versions are in service.
	NoVersions struct{}
	// TrialVersion is OnlyVersions, but lets the version To have some of the first attempts.
	TrialVersion struct {
		OnlyVersions
		To string
		// Seed orders the targets of the version.
		Seed   uint64
		Budget TrialBudget
	}
)

func (AllVersions) versionPolicy()  {}
func (OnlyVersions) versionPolicy() {}
func (NoVersions) versionPolicy()   {}
func (TrialVersion) versionPolicy() {}

// TrialBudget bounds what the new version gets during a trial. It is called with a lock held, so it must neither block nor
// call the Table.
type TrialBudget interface {
	// MayTake reports whether the new version may take a first attempt of a kind of call.
	MayTake(now time.Time, kind string) bool
	// MaySend reports whether an attempt at the new version may still be written.
	MaySend(now time.Time) bool
	// Took counts an attempt at the new version, Requested a first attempt at any version.
	Took(kind string)
	Requested(kind string)
	// Group returns which of the targets of the new version, in their order, get calls now.
	Group(now time.Time, targets int) (first, count int)
}

// versionState is the policy for the versions of a service.
type versionState struct {
	policy VersionPolicy
	// released means that no target of a version that the policy allows is available, so that others get calls.
	released bool
	// trial are the targets of the new version in the order of the trial.
	trial []*target
}

// SetVersionPolicy sets which versions of a service get calls. The service need not have targets yet.
func (t *Table) SetVersionPolicy(service string, policy VersionPolicy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.policies == nil {
		t.policies = map[string]VersionPolicy{}
	}
	t.policies[service] = policy
	if s := t.view.Load().services[service]; s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.versions.policy = policy
		s.applyPolicy()
	}
}

// InflightElsewhere returns the number of calls of this entry in flight at targets of other versions than the given one.
// It includes those at targets that are no longer registered.
func (t *Table) InflightElsewhere(service, version string) int {
	s := t.view.Load().services[service]
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.inflight
	for _, tgt := range s.targets {
		if tgt.Version == version {
			n -= tgt.inflight
		}
	}
	return n
}

// onlyVersions returns the versions that the policy allows. ok is false if it allows all.
func (v *versionState) onlyVersions() (only OnlyVersions, ok bool) {
	switch p := v.policy.(type) {
	case OnlyVersions:
		return p, true
	case TrialVersion:
		return p.OnlyVersions, true
	}
	return OnlyVersions{}, false
}

// waits reports whether the calls of the service wait until the versions in service are known.
func (v *versionState) waits() bool { return v.policy == NoVersions{} }

// applyPolicy decides which targets the policy for versions holds.
func (s *service) applyPolicy() {
	s.versions.released, s.versions.trial = false, nil
	only, ok := s.versions.onlyVersions()
	if !ok {
		for _, t := range s.targets {
			t.held = s.versions.waits()
		}
		return
	}
	s.versions.released = !slices.ContainsFunc(s.targets, func(t *target) bool {
		return slices.Contains(only.Versions, t.Version) && t.available()
	})
	for _, t := range s.targets {
		t.held = !slices.Contains(only.Versions, t.Version) &&
			(!s.versions.released || slices.Contains(only.Never, t.Version))
	}
	p, ok := s.versions.policy.(TrialVersion)
	if !ok {
		return
	}
	order := map[*target]uint64{}
	for _, t := range s.targets {
		if t.Version == p.To {
			s.versions.trial = append(s.versions.trial, t)
			order[t] = xxhash.Sum64String(t.Name) ^ p.Seed
		}
	}
	// The product spreads the order by all bits of the hash, so that each order of the operator begins with other targets.
	slices.SortFunc(s.versions.trial, func(a, b *target) int {
		return cmp.Or(cmp.Compare(order[a]*0x9e3779b97f4a7c15, order[b]*0x9e3779b97f4a7c15), cmp.Compare(a.Name, b.Name))
	})
}

// trialCandidates returns the targets of the new version to which the call may go, none if it is not part of the trial.
func (s *service) trialCandidates(now time.Time, q Query) []*target {
	p, ok := s.versions.policy.(TrialVersion)
	if !ok || q.Redispatch || q.FromRetry || len(q.Tried) > 0 || !p.Budget.MayTake(now, q.Kind) {
		return nil
	}
	ejecting := s.mayEject(now)
	usable := func(t *target) bool { return t.usableInTrial(now) && !(ejecting && t.isEjected(now, q.Idempotent)) }
	var list, slow, others []*target
	for t := range s.trialGroup(now, p) {
		if !usable(t) {
			continue
		}
		if t.saysSlow(now) {
			slow = append(slow, t)
		} else {
			list = append(list, t)
		}
	}
	if len(list) > 0 || len(slow) == 0 {
		return list
	}
	// The old version has more targets to choose from when some are slow for a moment. If all of the new version are, that
	// tells of the version.
	for _, t := range s.versions.trial {
		if usable(t) && !t.saysSlow(now) {
			others = append(others, t)
		}
	}
	if len(others) > 0 {
		return others
	}
	return slow
}

// minSaidSlowdown is the slowdown that a target reports above which a trial avoids it for a while. Answers that take as long
// count as slow.
const minSaidSlowdown = 2

// saysSlow reports whether the target said a moment ago that it is slow.
func (t *target) saysSlow(now time.Time) bool {
	return t.slowdown > minSaidSlowdown && now.Sub(t.reportedAt) < slowPeriod
}

// trialGroup returns the targets of the new version that get calls now.
func (s *service) trialGroup(now time.Time, p TrialVersion) iter.Seq[*target] {
	return func(yield func(*target) bool) {
		first, count := p.Budget.Group(now, len(s.versions.trial))
		for i := range count {
			if !yield(s.versions.trial[(first+i)%len(s.versions.trial)]) {
				return
			}
		}
	}
}

// usableInTrial is usable for a target that the policy holds.
func (t *target) usableInTrial(now time.Time) bool {
	t.updateCold(now)
	return t.available() && !t.wrongInstance && t.failedReads == 0 && t.inflight < t.Slots &&
		(!t.cold || t.mayTakeColdCall(now)) && t.allowsCall(now)
}

// inTrial reports whether the target gets calls as part of a trial.
func (t *target) inTrial(now time.Time) bool {
	p, ok := t.service.versions.policy.(TrialVersion)
	if !ok || t.Version != p.To || !t.available() || !p.Budget.MaySend(now) {
		return false
	}
	for member := range t.service.trialGroup(now, p) {
		if member == t {
			return true
		}
	}
	return false
}

// mayServe reports whether the target counts for the capacity of the service. While calls wait for the versions in service
// to be known, all available targets do.
func (t *target) mayServe() bool { return t.inService() || t.service.versions.waits() && t.available() }

// candidateLists returns the targets to which the call may go: first those of a trial that it is part of, then the others.
func (s *service) candidateLists(now time.Time, q Query) iter.Seq[[]*target] {
	return func(yield func([]*target) bool) {
		if list := s.trialCandidates(now, q); len(list) > 0 && !yield(list) {
			return
		}
		if s.versions.released {
			s.applyPolicy() // A target of an allowed version may be available again.
		}
		yield(s.candidates(now, q))
	}
}

// firstCandidates returns the targets whose load is read for the call.
func (s *service) firstCandidates(now time.Time, q Query) []*target {
	for list := range s.candidateLists(now, q) {
		return list
	}
	return nil
}

// cheapest returns the target with room and the lowest cost, nil if the call should wait.
func (s *service) cheapest(now time.Time, q Query, list []*target) *target {
	var best *target
	least := 0.0
	for _, t := range list {
		load := t.estimatedLoad(now)
		if !t.hasRoom(load) || s.shouldWait(now, t, q, load) {
			continue
		}
		cost := t.cost(now, q, load) + scoreJitter*latencyCostWeight*s.rand.Float64()
		if best == nil || cost < least {
			best, least = t, cost
		}
	}
	return best
}

// pickHeld handles a call for which no target is in service. Targets of other versions take over if the allowed ones have
// become unavailable.
func (s *service) pickHeld(now time.Time, q Query) (*Permit, outcome.Reason) {
	if s.versions.waits() && slices.ContainsFunc(s.targets, (*target).available) {
		return nil, outcome.QueueFull
	}
	if _, ok := s.versions.onlyVersions(); !ok || s.versions.released {
		return nil, outcome.Drained
	}
	if s.applyPolicy(); slices.ContainsFunc(s.targets, (*target).inService) {
		return s.pickRegistered(now, q)
	}
	return nil, outcome.Drained
}

// recordRequest counts a first attempt for the trial.
func (s *service) recordRequest(q Query) {
	if p, ok := s.versions.policy.(TrialVersion); ok {
		p.Budget.Requested(q.Kind)
	}
}

// countTrial counts the attempt if the target has the new version of a trial.
func (p *Permit) countTrial() {
	if policy, ok := p.target.service.versions.policy.(TrialVersion); ok && p.target.Version == policy.To {
		policy.Budget.Took(p.query.Kind)
	}
}

// versionForbids reports whether the policy no longer allows an attempt that is about to be written.
func (p *Permit) versionForbids(now time.Time) bool {
	if !p.target.held {
		return false
	}
	policy, ok := p.target.service.versions.policy.(TrialVersion)
	return !ok || p.target.Version != policy.To || !policy.Budget.MaySend(now)
}

// allowTriedIfAlone clears the tried targets of the query if no other target is in service.
func (s *service) allowTriedIfAlone(q Query) Query {
	other := slices.ContainsFunc(s.targets, func(t *target) bool {
		return t.reachable() && !slices.Contains(q.Tried, t.Name)
	})
	if !other {
		q.Tried = nil
	}
	return q
}

// usesRegistry reports whether the targets of the service are registered. Only their load is read before each
// selection.
func (s *service) usesRegistry() bool {
	return len(s.targets) > 0 && s.targets[0].registered()
}
