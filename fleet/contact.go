package fleet

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// within reports whether t is less than limit before now. It uses the greater of the ages on the monotonic and on the
// wall clock, because the monotonic clock stops while a VM is suspended. If the wall clock is set forward, the result
// is false until the next refresh.
func within(now, t time.Time, limit time.Duration) bool {
	return !t.IsZero() && max(now.Sub(t), now.Round(0).Sub(t.Round(0))) < limit
}

// currentTime returns the later of the caller's time and the current time. A caller that was suspended after it took
// its time must not get an answer that is no longer true.
func (f *Fleet) currentTime(now time.Time) time.Time {
	if actual := f.now(); actual.After(now) {
		return actual
	}
	return now
}

// CanServe reports whether the entry may send new work. It may if, within the contact timeout (4 s by default), it has
// confirmed the head with the table or has heard from a strict majority of the members. Callers must call State after
// CanServe, not before, because what is confirmed is the state at the time of the call.
func (f *Fleet) CanServe(now time.Time) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now = f.currentTime(now)
	if f.stopped || !f.ready {
		return false
	}
	return f.serveWithoutContact || within(now, f.confirmedAt, f.protocol.maxContactAge) || f.roster.hasMajority(f.responders(now))
}

// SetContactPolicy applies the limits of the accepted settings: the maximum age of a confirmation, and whether the
// entry serves without contact. Options.ServeWithoutContact takes precedence.
func (f *Fleet) SetContactPolicy(timeout time.Duration, serve bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.protocol.maxContactAge = timeout
	f.serveWithoutContact = serve || f.opt.ServeWithoutContact
}

// responders returns the incarnations heard within the contact timeout, including this one if it is registered.
func (f *Fleet) responders(now time.Time) map[string]bool {
	responders := map[string]bool{}
	if f.registered {
		responders[f.incarnation] = true
	}
	for incarnation, at := range f.lastHeard {
		if within(now, at, f.protocol.maxContactAge) {
			responders[incarnation] = true
		}
	}
	return responders
}

// Owns reports whether this entry may send work to a cold target, and the time by which a call sent now must have
// ended.
func (f *Fleet) Owns(now time.Time, target string) (until time.Time, ok bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now = f.currentTime(now)
	if f.stopped || !f.registered || f.leaving.Load() || !within(now, f.leasedAt, leaseDuration) {
		return time.Time{}, false
	}
	if !f.views.ownsThroughout(now, f.incarnation, target, f.protocol.ownerDelay) {
		return time.Time{}, false
	}
	return f.leasedAt.Add(leaseDuration), true
}

// Owner returns the name of the entry that owns the target according to the latest roster, or "" if there is none.
func (f *Fleet) Owner(target string) string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.roster.owner(target)
}

// CanProbe reports whether the entry may use its probe quota. It must be registered, and if a former process with its
// name did not leave cleanly, that process must have had 5 s to notice.
func (f *Fleet) CanProbe(now time.Time) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now = f.currentTime(now)
	return !f.stopped && f.registered && (!f.hadPredecessor || now.Sub(f.registeredAt) >= f.protocol.ownerDelay)
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
	// Detached is set if the member cannot reach the table, so that it owns no target.
	Detached bool
	// Version is the latest version of the state that the member is known to run.
	Version uint64
	// LastHeard is when this entry last heard from the member itself, or the zero time if it never did.
	LastHeard time.Time
}

// Members returns all members sorted by name, including those marked gone. A change is in effect everywhere once every
// member that is not gone has its version.
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
			m.Version, m.LastHeard, leaving = p.lastReply.Version, p.heardAt, p.leaving
		}
		// The entry announces that it is leaving before the table shows it.
		if leaving && m.State == RecordStateActive {
			m.State = RecordStateLeaving
		}
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}
