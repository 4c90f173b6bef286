package entry

import (
	"net/http"
	"sync"
	"time"

	"skylarkbeam/fleet"
	"skylarkbeam/route"
	"skylarkbeam/setting"
	"skylarkbeam/share"
)

// maxAttempts is the number of targets that may run a call without a route.
const maxAttempts = 100

// promise is what the callers of a route, or of a service by its path, are owed.
type promise struct {
	// route is the name of the route, empty for the path of a service.
	route      string
	idempotent bool
	// keyed says that a call that runs at most once needs an idempotency key.
	keyed bool
	// bulk says that answers are large.
	bulk     bool
	attempts int
	deadline time.Duration
	// aim is the time within which an answer is of full use; zero if the settings do not say.
	aim  time.Duration
	rank int
	// patience tells for how long a caller has waited before the call; nil if that is not looked at.
	patience *share.ElapsedEstimator
}

// routed is a route of the settings with the state of its spread.
type routed struct {
	promise promise
	spec    setting.Route
	spread  *spread
}

// spread distributes requests over the parts of a route in proportion to their weights.
type spread struct {
	parts []setting.WeightedService

	mu sync.Mutex
	// due is how much each part has coming, in requests.
	due []float64
}

func newSpread(r setting.Route) *spread {
	parts := r.WeightedServices()
	return &spread{
		parts: parts,
		due:   make([]float64, len(parts)),
	}
}

// next returns the service of the next request: the part that has most coming.
func (s *spread) next() string {
	if len(s.parts) == 1 {
		return s.parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sum, best := 0.0, 0
	for _, p := range s.parts {
		sum += p.Weight
	}
	for i, p := range s.parts {
		s.due[i] += p.Weight / sum
		if s.due[i] > s.due[best] {
			best = i
		}
	}
	s.due[best]--
	return s.parts[best].Service
}

// route derives the routes of the view. The state of a spread is carried over while its parts stay as they are.
func (v *view) route(old *view) {
	v.routes = v.settings.RouteIndex()
	v.promises = make(map[string]*routed, len(v.settings.Routes))
	for name, spec := range v.settings.Routes {
		r := &routed{
			spec: spec,
			promise: promise{
				route:      name,
				idempotent: spec.Idempotent(),
				bulk:       spec.Kind == setting.KindBulk,
				attempts:   spec.Attempts,
				deadline:   time.Duration(spec.Deadline),
				aim:        time.Duration(spec.Aim),
				rank:       spec.Rank,
				patience:   share.NewElapsedEstimator(),
			},
			spread: newSpread(spec),
		}
		if have := old.promises[name]; have != nil {
			r.promise.patience = have.promise.patience
		}
		if have := old.promises[name]; have != nil && equalParts(have.spread.parts, r.spread.parts) {
			r.spread = have.spread
		}
		v.promises[name] = r
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

// find returns the service for a request and what its caller is owed: by the routes, or else by the path of a service.
func (v *view) find(r *http.Request) (*service, promise, bool) {
	if name, ok := v.routes.Find(r.Host, r.URL.Path); ok {
		routed := v.promises[name]
		s := v.services[routed.spread.next()]
		return s, routed.promise, s != nil
	}
	name, ok := v.paths.Find(r.URL.Path)
	if !ok {
		return nil, promise{}, false
	}
	s := v.services[name]
	return s, promise{
		idempotent: s.spec.Idempotent(r.Method),
		keyed:      true,
		attempts:   maxAttempts,
		deadline:   time.Duration(s.spec.Deadline),
	}, true
}

// registered adds the pools of the targets that have registered themselves to the next view and returns the targets.
func (e *Entry) registered(now time.Time, state *fleet.State, old, next *view) []route.Target {
	drained := map[string]bool{}
	for _, domain := range state.DrainedDomains {
		drained[domain] = true
	}
	sizes := map[string]int{}
	for _, t := range state.RegisteredTargets {
		sizes[t.Service]++
	}
	var targets []route.Target
	for _, t := range state.RegisteredTargets {
		spec, ok := next.settings.Services[t.Service]
		if !ok {
			continue
		}
		next.pools[t.Name] = e.pool(now, old, next, t.Service, t.Name, sizes[t.Service], poolOptions{
			address:  t.Address,
			instance: t.Instance,
		})
		targets = append(targets, route.Target{
			Name:            t.Name,
			Service:         t.Service,
			Domain:          t.Domain,
			Address:         t.Address,
			Slots:           firstPositive(t.Slots, spec.Slots),
			ColdConcurrency: spec.Cold.Bear,
			MinColdDuration: time.Duration(spec.Cold.Time),
			Drained:         drained[t.Domain],
			Instance:        t.Instance,
			ColdUntil:       t.ColdUntil,
			ColdRate:        spec.Cold.Rate,
			Leaving:         t.Leaving,
		})
	}
	return targets
}

// entries returns the number of entries that share budgets: those of the settings, or the known members where the
// settings name none.
func (e *Entry) entries(settings *setting.Settings) int {
	if len(settings.Entries) > 0 {
		return len(settings.Entries)
	}
	return max(len(e.fleet.Members()), 1)
}
