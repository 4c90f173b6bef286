package entry

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"skylarkbeam/setting"
	"skylarkbeam/share"
	"skylarkbeam/workspace"
)

// maxAttemptsWithoutRoute is the number of targets that may run a call without a route.
const maxAttemptsWithoutRoute = 100

// callPolicy is the policy for calls on a route or on the path of a service.
type callPolicy struct {
	// route is the name of the route, empty for the path of a service.
	route      string
	idempotent bool
	// requiresKey is set if non-idempotent calls need an idempotency key.
	requiresKey bool
	// bulk is set if responses are large.
	bulk     bool
	attempts int
	deadline time.Duration
	// latencyObjective is the time within which a response should arrive, or zero if the settings do not limit it.
	latencyObjective time.Duration
	priority         int
	// open is set if calls need no key.
	open bool
	// elapsed estimates how long callers have waited before a call. It is nil for calls without a route.
	elapsed *share.ElapsedEstimator
}

// routeState is a route of the settings with the state of its traffic split.
type routeState struct {
	policy callPolicy
	spec   setting.Route
	split  *trafficSplit
}

// trafficSplit distributes requests over the parts of a route by smooth weighted round-robin.
type trafficSplit struct {
	parts []setting.WeightedService

	mu sync.Mutex
	// currentWeights holds the current weight of each part, in requests.
	currentWeights []float64
}

func newTrafficSplit(r setting.Route) *trafficSplit {
	parts := r.WeightedServices()
	return &trafficSplit{
		parts:          parts,
		currentWeights: make([]float64, len(parts)),
	}
}

// nextService returns the service for the next request: the part with the largest current weight.
func (s *trafficSplit) nextService() string {
	if len(s.parts) == 1 {
		return s.parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	total, best := 0.0, 0
	for _, p := range s.parts {
		total += p.Weight
	}
	for i, p := range s.parts {
		s.currentWeights[i] += p.Weight / total
		if s.currentWeights[i] > s.currentWeights[best] {
			best = i
		}
	}
	s.currentWeights[best]--
	return s.parts[best].Service
}

// deriveRoutes derives the routes of the snapshot. It keeps the state of a traffic split whose parts have not
// changed. If the settings are the same, it keeps everything: while targets come and go, a desired state with thousands
// of routes changes seldom.
func (snap *snapshot) deriveRoutes(old *snapshot) {
	if snap.settings == old.settings {
		snap.paths, snap.routes, snap.routeStates = old.paths, old.routes, old.routeStates
		snap.workspaces, snap.limitedWorkspaces = old.workspaces, old.limitedWorkspaces
		return
	}
	snap.workspaces = workspace.NewIndex(snap.settings.Workspaces)
	snap.limitedWorkspaces = nil
	for name, w := range snap.settings.Workspaces {
		if w.Rate > 0 {
			snap.limitedWorkspaces = append(snap.limitedWorkspaces, name)
		}
	}
	slices.Sort(snap.limitedWorkspaces)
	snap.paths = snap.settings.PathIndex()
	snap.routes = snap.settings.RouteIndex()
	snap.routeStates = make(map[string]*routeState, len(snap.settings.Routes))
	for name, spec := range snap.settings.Routes {
		r := &routeState{
			spec: spec,
			policy: callPolicy{
				route:            name,
				idempotent:       spec.Idempotent(),
				bulk:             spec.Kind == setting.KindBulk,
				attempts:         spec.Attempts,
				deadline:         time.Duration(spec.Deadline),
				latencyObjective: time.Duration(spec.Aim),
				priority:         spec.Rank,
				open:             spec.Open,
				elapsed:          share.NewElapsedEstimator(),
			},
			split: newTrafficSplit(spec),
		}
		if prev := old.routeStates[name]; prev != nil {
			r.policy.elapsed = prev.policy.elapsed
		}
		if prev := old.routeStates[name]; prev != nil && equalParts(prev.split.parts, r.split.parts) {
			r.split = prev.split
		}
		snap.routeStates[name] = r
	}
}

func equalParts(a, b []setting.WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// findService returns the service and the policy for a request. It looks for a route first, then for the path of a
// service. Both are compared with the path as the caller sent it, which is the one that the target gets: a decoded
// path can belong to another route.
func (snap *snapshot) findService(r *http.Request) (*service, callPolicy, bool) {
	path := requestPath(r)
	if name, ok := snap.routes.Find(r.Host, path); ok {
		state := snap.routeStates[name]
		s := snap.services[state.split.nextService()]
		return s, state.policy, s != nil
	}
	name, ok := snap.paths.Find(path)
	if !ok {
		return nil, callPolicy{}, false
	}
	s := snap.services[name]
	return s, callPolicy{
		idempotent:  s.spec.Idempotent(r.Method),
		requiresKey: true,
		attempts:    maxAttemptsWithoutRoute,
		deadline:    time.Duration(s.spec.Deadline),
	}, true
}
