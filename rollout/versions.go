package rollout

import (
	"maps"
	"slices"
	"time"
)

// adoptionDelay is how long no target of a version in service must be registered before the versions that are take its
// place. Registrations lapse together while the store is down, and are back within two seconds of its return.
const adoptionDelay = 10 * time.Second

// Target is a registered target, for Versions.
type Target struct {
	Service string
	Version string
	// StartedAt is the start of the target in a unit of its own.
	StartedAt int64
}

// Versions knows the versions in service of all services, while no order says otherwise. It is not safe for concurrent
// use.
type Versions struct {
	services map[string]*serviceVersions
}

type serviceVersions struct {
	inService []string
	// absentSince is since when no target of these is registered.
	absentSince time.Time
}

// Update takes the targets that are registered now. Of a service that is new, the version of the target that started first
// is in service. It returns true if another update is due without a change of the targets.
func (v *Versions) Update(now time.Time, targets []Target) (pending bool) {
	if v.services == nil {
		v.services = map[string]*serviceVersions{}
	}
	oldest := map[string]Target{}
	present := map[string]bool{}
	for _, t := range targets {
		first, ok := oldest[t.Service]
		if !ok || t.StartedAt < first.StartedAt || t.StartedAt == first.StartedAt && t.Version < first.Version {
			oldest[t.Service] = t
		}
		if s := v.services[t.Service]; s != nil && slices.Contains(s.inService, t.Version) {
			present[t.Service] = true
		}
	}
	for service, t := range oldest {
		s := v.services[service]
		switch {
		case s == nil:
			v.Set(service, []string{t.Version})
		case present[service]:
			s.absentSince = time.Time{}
		case s.absentSince.IsZero():
			s.absentSince, pending = now, true
		case now.Sub(s.absentSince) >= adoptionDelay:
			v.Set(service, []string{t.Version})
		default:
			pending = true
		}
	}
	return pending
}

// Set sets the versions in service of a service, after a roll-out has ended.
func (v *Versions) Set(service string, versions []string) {
	if v.services == nil {
		v.services = map[string]*serviceVersions{}
	}
	v.services[service] = &serviceVersions{
		inService: slices.Clone(versions),
	}
}

// InService returns the versions in service of a service, nil if none is known.
func (v *Versions) InService(service string) []string {
	if s := v.services[service]; s != nil {
		return s.inService
	}
	return nil
}

// Services returns the names of all services that are known.
func (v *Versions) Services() []string { return slices.Sorted(maps.Keys(v.services)) }
