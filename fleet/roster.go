package fleet

import (
	"maps"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// active returns the incarnations of the members that can own targets, by name.
func (r Roster) active() map[string]string {
	active := map[string]string{}
	for name, record := range r.Members {
		if record.State == RecordStateActive && !record.Detached {
			active[name] = record.Incarnation
		}
	}
	return active
}

// votes are incarnations that count in quorums, with the addresses of their VMs.
type votes = map[string]netip.Addr

// counted returns the votes of all members that are not gone.
func (r Roster) counted() votes {
	counted := votes{}
	for _, record := range r.Members {
		if record.State != RecordStateGone {
			counted[record.Incarnation] = record.Control.Addr()
		}
	}
	return counted
}

// majority tells whether the incarnations are more than half of the members and, while the roster is unsettled, of the
// prior ones.
func (r Roster) majority(heard map[string]bool) bool {
	more := func(members votes) bool { return 2*count(members, heard) > len(members) }
	return more(r.counted()) && (len(r.Prior) == 0 || more(r.Prior))
}

// half tells whether the incarnations are at least half of the members and, while the roster is unsettled, of the
// prior ones. Any half and any majority of the same set have a member in common.
func (r Roster) half(heard map[string]bool) bool {
	enough := func(members votes) bool { return 2*count(members, heard) >= len(members) }
	return enough(r.counted()) && enough(r.Prior)
}

func count(members votes, heard map[string]bool) int {
	n := 0
	for incarnation := range members {
		if heard[incarnation] {
			n++
		}
	}
	return n
}

// edit returns the next version of the roster. If the set that counts in quorums changes, the last settled set stays
// in force beside it as Prior.
func (r Roster) edit(change func(members map[string]Record)) Roster {
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
	if !maps.Equal(r.active(), next.active()) {
		next.View++
	}
	if len(next.Prior) == 0 {
		next.Prior = r.counted()
	}
	return next.simplify()
}

// without returns the roster after an incarnation has certainly ended. Its vote is dropped, or passes to its successor
// at the same address if there is one: nobody can hear the ended process any more, so no majority contains it.
func (r Roster) without(incarnation, successor string) Roster {
	if vm, ok := r.Prior[incarnation]; ok {
		r.Prior = maps.Clone(r.Prior)
		delete(r.Prior, incarnation)
		if successor != "" {
			r.Prior[successor] = vm
		}
	}
	return r.simplify()
}

// settled returns the next version of the roster, in which only the present members count.
func (r Roster) settled() Roster {
	next := r.edit(func(map[string]Record) {})
	next.Prior = nil
	return next
}

// absent returns the votes of the prior members that are no longer members or are gone.
func (r Roster) absent() votes {
	counted, absent := r.counted(), votes{}
	for incarnation, vm := range r.Prior {
		if _, ok := counted[incarnation]; !ok {
			absent[incarnation] = vm
		}
	}
	return absent
}

func (r Roster) simplify() Roster {
	if maps.Equal(r.Prior, r.counted()) {
		r.Prior = nil
	}
	return r
}

// owner returns the name of the owner of a target, "" if no member is active.
func (r Roster) owner(target string) string {
	name, _ := owner(r.active(), target)
	return name
}

// owner picks by rendezvous hashing, so that a change of one member moves only that member's targets.
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
