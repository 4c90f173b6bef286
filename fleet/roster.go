package fleet

import (
	"maps"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// activeIncarnations returns the incarnations of the members that can own targets, by name.
func (r Roster) activeIncarnations() map[string]string {
	active := map[string]string{}
	for name, record := range r.Members {
		if record.State == RecordStateActive && !record.Detached {
			active[name] = record.Incarnation
		}
	}
	return active
}

// voterSet contains the incarnations that count in quorums, with the addresses of their VMs.
type voterSet = map[string]netip.Addr

// voters returns the voters among the members, which are all that are not gone.
func (r Roster) voters() voterSet {
	voters := voterSet{}
	for _, record := range r.Members {
		if record.State != RecordStateGone {
			voters[record.Incarnation] = record.Control.Addr()
		}
	}
	return voters
}

// hasMajority reports whether the incarnations are more than half of the voters and, during a membership change, of
// the prior voters.
func (r Roster) hasMajority(heard map[string]bool) bool {
	isMajority := func(members voterSet) bool { return 2*countHeard(members, heard) > len(members) }
	return isMajority(r.voters()) && (len(r.Prior) == 0 || isMajority(r.Prior))
}

// hasHalf reports whether the incarnations are at least half of the voters and, during a membership change, of the
// prior voters. Any half and any majority of the same set have a member in common.
func (r Roster) hasHalf(heard map[string]bool) bool {
	isHalf := func(members voterSet) bool { return 2*countHeard(members, heard) >= len(members) }
	return isHalf(r.voters()) && isHalf(r.Prior)
}

func countHeard(members voterSet, heard map[string]bool) int {
	n := 0
	for incarnation := range members {
		if heard[incarnation] {
			n++
		}
	}
	return n
}

// withChange returns the next version of the roster. If the set of voters changes, the voters of the last settled
// roster continue to count as Prior.
func (r Roster) withChange(change func(members map[string]Record)) Roster {
	next := Roster{
		Version: r.Version + 1,
		View:    r.View,
		Members: maps.Clone(r.Members),
		Prior:   maps.Clone(r.Prior),
	}
	if next.Members == nil {
		next.Members = map[string]Record{}
	}
	change(next.Members)
	if !maps.Equal(r.activeIncarnations(), next.activeIncarnations()) {
		next.View++
	}
	if len(next.Prior) == 0 {
		next.Prior = r.voters()
	}
	return next.normalize()
}

// withoutVoter returns the roster after an incarnation has certainly ended. Its vote is dropped, or passes to its
// successor at the same address if there is one. No majority can contain the ended process, because nobody hears it
// any more.
func (r Roster) withoutVoter(incarnation, successor string) Roster {
	if vm, ok := r.Prior[incarnation]; ok {
		r.Prior = maps.Clone(r.Prior)
		delete(r.Prior, incarnation)
		if successor != "" {
			r.Prior[successor] = vm
		}
	}
	return r.normalize()
}

// withoutPrior returns the next version of the roster, in which only the present members count.
func (r Roster) withoutPrior() Roster {
	next := r.withChange(func(map[string]Record) {})
	next.Prior = nil
	return next
}

// absentVoters returns the prior voters that are no longer members or are gone.
func (r Roster) absentVoters() voterSet {
	current, absent := r.voters(), voterSet{}
	for incarnation, vm := range r.Prior {
		if _, ok := current[incarnation]; !ok {
			absent[incarnation] = vm
		}
	}
	return absent
}

func (r Roster) normalize() Roster {
	if maps.Equal(r.Prior, r.voters()) {
		r.Prior = nil
	}
	return r
}

// owner returns the name of the owner of a target, or "" if no member is active.
func (r Roster) owner(target string) string {
	name, _ := owner(r.activeIncarnations(), target)
	return name
}

// owner selects the owner by rendezvous hashing, so that a change of one member moves only that member's targets.
func owner(active map[string]string, target string) (name, incarnation string) {
	best := uint64(0)
	for candidate, id := range active {
		score := xxhash.Sum64String(candidate + "\x00" + target)
		if name == "" || score > best || score == best && candidate < name {
			name, incarnation, best = candidate, id, score
		}
	}
	return name, incarnation
}
