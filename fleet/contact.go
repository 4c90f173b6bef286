package fleet

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// within tells whether t is at most limit before now. It takes the greater of the two ages on the monotonic and on the
// wall clock: the monotonic clock stands still while a VM is suspended. A wall clock that is set forward costs the time
// until the next refresh.
func within(now, t time.Time, limit time.Duration) bool {
	return !t.IsZero() && max(now.Sub(t), now.Round(0).Sub(t.Round(0))) < limit
}

// present returns the later of the caller's time and the present. A caller that was paused after it took the time must
// not get an answer for the past.
func (f *Fleet) present(now time.Time) time.Time {
	if actual := f.now(); actual.After(now) {
		return actual
	}
	return now
}

// CanServe tells whether the entry may send new work: it has confirmed the head with the table within the last 4 s, or
// has heard from a strict majority of the members within that time. It is decided at the moment of the call. A caller
// takes State after CanServe, not before, because the confirmation is of the state at the time of the call.
func (f *Fleet) CanServe(now time.Time) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now = f.present(now)
	if f.ended || !f.ready {
		return false
	}
	return f.serve || within(now, f.confirmed, f.limits.contact) || f.roster.majority(f.responders(now))
}

// SetContactPolicy changes how old a confirmation may be, and whether the entry serves without one, to what the accepted settings
// say. Options.Serve goes before.
func (f *Fleet) SetContactPolicy(contact time.Duration, serve bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits.contact = contact
	f.serve = serve || f.opt.ServeWithoutContact
}

// responders returns the incarnations heard within the contact time, with this one if it is registered.
func (f *Fleet) responders(now time.Time) map[string]bool {
	responders := map[string]bool{}
	if f.registered {
		responders[f.incarnation] = true
	}
	for incarnation, at := range f.lastHeard {
		if within(now, at, f.limits.contact) {
			responders[incarnation] = true
		}
	}
	return responders
}

// Owns tells whether this entry may send work to a cold target, and until when a call sent now must have ended.
func (f *Fleet) Owns(now time.Time, target string) (until time.Time, ok bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now = f.present(now)
	if f.ended || !f.registered || f.leaving.Load() || !within(now, f.leased, leaseTime) {
		return time.Time{}, false
	}
	if !f.ownership.holds(now, f.incarnation, target, f.limits.wait) {
		return time.Time{}, false
	}
	return f.leased.Add(leaseTime), true
}

// Owner returns the name of the entry that owns the target according to the latest roster, "" if there is none.
func (f *Fleet) Owner(target string) string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.roster.owner(target)
}

// CanProbe tells whether the entry may use its probe quota: it is registered and, if a former process of its name did not
// leave cleanly, that process has had 5 s to notice.
func (f *Fleet) CanProbe(now time.Time) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now = f.present(now)
	return !f.ended && f.registered && (!f.former || now.Sub(f.joined) >= f.limits.wait)
}

// Member is one entry as this entry knows it.
type Member struct {
	Name        string
	Incarnation string
	Domain      string
	Caller      netip.AddrPort
	Control     netip.AddrPort
	// State is active, leaving or gone.
	State RecordState
	// Detached says that the member does not reach the table and owns no target.
	Detached bool
	// Version is the version of the state that the member ran when it last gave a sign.
	Version uint64
	// LastHeard is when this entry last heard the member itself, zero if never.
	LastHeard time.Time
}

// Members returns all members, sorted by name, gone ones included. A change is in force everywhere when each member
// that is not gone has its version.
func (f *Fleet) Members() []Member {
	f.mu.RLock()
	defer f.mu.RUnlock()
	members := make([]Member, 0, len(f.roster.Members))
	for name, record := range f.roster.Members {
		m := Member{
			Name:        name,
			Incarnation: record.Incarnation,
			Domain:      record.Domain,
			Caller:      record.Caller,
			Control:     record.Control,
			State:       record.State,
			Detached:    record.Detached,
		}
		leaving := false
		if name == f.opt.Name {
			m.Version, m.LastHeard, leaving = f.State().Version, f.now(), f.leaving.Load()
		} else if p := f.peers[name]; p != nil {
			m.Version, m.LastHeard, leaving = p.reply.Version, p.heard, p.leaving
		}
		// The word of the entry itself arrives before the table has it.
		if leaving && m.State == RecordStateActive {
			m.State = RecordStateLeaving
		}
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}
