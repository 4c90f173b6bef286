package rollout

import (
	"slices"
	"time"
)

// Policy says which versions of a service an entry may send to.
type Policy struct {
	// Versions get requests. Others get some only while no target of these is ready, and those in Never not even then.
	Versions []string
	Never    []string
	// Trial means that the ordered version gets requests within the allowance of the Participant.
	Trial bool
	// Wait means that requests wait, because it is not known yet which versions are in service.
	Wait bool
}

// Policy returns what the entry may do now. inService are the versions in service as far as it knows, registered those of
// the registered targets.
func (p *Participant) Policy(now time.Time, inService, registered []string) Policy {
	to, base := p.Order().To, p.Base()
	if p.Waits(now) && len(registered) > 1 && slices.Contains(registered, to) {
		return Policy{
			Wait: true,
		}
	}
	if base == nil {
		base = p.presumedBase(inService, registered)
	}
	policy := Policy{
		Versions: base,
	}
	inBase := slices.Contains(base, to)
	forbidden := p.Removed()
	switch p.Phase().(type) {
	case Promote, Done:
		policy.Versions = []string{to}
		policy.Never = without(base, to)
		return policy
	case RolledBack, Suspended:
		forbidden = true
	default:
		policy.Trial = !inBase
	}
	if forbidden && !inBase {
		policy.Trial = false
		policy.Never = []string{to}
	}
	return policy
}

// presumedBase returns the versions in service while no coordinator has named them. An entry that was in operation before
// the order knows them. Another one uses what is not the ordered version, if there is any.
func (p *Participant) presumedBase(inService, registered []string) []string {
	if p.Running() {
		return inService
	}
	if others := without(registered, p.Order().To); len(others) > 0 {
		return others
	}
	return inService
}

func without(list []string, x string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(y string) bool { return x == y })
}
