package setting

import (
	"slices"
	"strings"
)

// RouteIndex finds the route of a request by its host and path, in time that does not grow with the number of routes.
type RouteIndex map[string]map[string]string

// RouteIndex returns the names of all routes by host and path. Of two routes with the same host and path, the one whose
// name comes first counts.
func (s *Settings) RouteIndex() RouteIndex {
	routes := RouteIndex{}
	for name, route := range s.Routes {
		host := strings.ToLower(route.Host)
		if routes[host] == nil {
			routes[host] = map[string]string{}
		}
		if have, ok := routes[host][route.Path]; !ok || name < have {
			routes[host][route.Path] = name
		}
	}
	return routes
}

// Find returns the name of the route with the longest path that is a prefix of requestPath. A port in host does not count.
func (r RouteIndex) Find(host, requestPath string) (name string, ok bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	paths := r[strings.ToLower(host)]
	for end := len(requestPath); end > 0 && len(paths) > 0; end-- {
		if requestPath[end-1] != '/' {
			continue
		}
		if name, ok := paths[requestPath[:end]]; ok {
			return name, true
		}
	}
	return "", false
}

// WeightedService is one part of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// WeightedServices returns the parts of the route that get requests, sorted by service.
func (r Route) WeightedServices() []WeightedService {
	parts := make([]WeightedService, 0, len(r.Parts))
	for service, weight := range r.Parts {
		if weight > 0 {
			parts = append(parts, WeightedService{
				Service: service,
				Weight:  float64(weight),
			})
		}
	}
	slices.SortFunc(parts, func(a, b WeightedService) int { return strings.Compare(a.Service, b.Service) })
	return parts
}

// Idempotent reports whether requests of the route can run more than once.
func (r Route) Idempotent() bool { return r.Kind != KindOnce }
