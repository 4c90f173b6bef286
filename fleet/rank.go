package fleet

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rankedEntry is an entry in the order in which the entries send to a target that limits the rate of its calls.
type rankedEntry struct {
	name   string
	domain string
}

// precedes orders the entries in the failure domain of the target first, because traffic between domains is charged, and
// then by a hash, so that each target has other senders.
func (e rankedEntry) precedes(other rankedEntry, target, domain string) bool {
	distance := func(e rankedEntry) int {
		if e.domain == domain {
			return 0
		}
		return 1
	}
	score := func(e rankedEntry) uint64 { return xxhash.Sum64String("sender\x00" + e.name + "\x00" + target) }
	return cmp.Or(cmp.Compare(distance(e), distance(other)), cmp.Compare(score(e), score(other)), cmp.Compare(e.name, other.name)) < 0
}

// ranking is the result of Rank at a time.
type ranking struct {
	rank    int
	entries int
	at      time.Time
}

// Rank returns the position of this entry among those that are heard, as a sender of a target in a failure domain, and
// their number. An entry that has just started or that is leaving comes last: the former does not know the others yet.
func (f *Follower) Rank(now time.Time, target, domain string) (rank, entries int) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	f.ownedMu.Lock()
	defer f.ownedMu.Unlock()
	cached, known := f.ranks[target]
	if !known || now.Sub(cached.at) >= ownershipCacheTime {
		cached = f.computeRank(now, target, domain)
		if len(f.ranks) >= maxCachedOwnerships {
			clear(f.ranks)
		}
		f.ranks[target] = cached
	}
	if f.leaving || now.Sub(f.startedAt) < startupDelay {
		return cached.entries, cached.entries
	}
	return cached.rank, cached.entries
}

// computeRank computes the rank among the members that are heard. The caller holds the lock.
func (f *Follower) computeRank(now time.Time, target, domain string) ranking {
	self := rankedEntry{
		name:   f.opt.Name,
		domain: f.self.Domain,
	}
	r := ranking{
		entries: 1,
		at:      now,
	}
	for name, m := range f.members {
		if m.record.State != RecordStateActive || now.Sub(m.heardAt) >= ownerTimeout {
			continue
		}
		r.entries++
		other := rankedEntry{
			name:   name,
			domain: m.record.Domain,
		}
		if other.precedes(self, target, domain) {
			r.rank++
		}
	}
	return r
}

// Rank returns the position of this entry among the active members, as a sender of a target in a failure domain, and
// their number.
func (f *Fleet) Rank(_ time.Time, target, domain string) (rank, entries int) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	self := rankedEntry{
		name:   f.opt.Name,
		domain: f.opt.Domain,
	}
	entries = 1
	for name, record := range f.roster.Members {
		if record.State != RecordStateActive || name == f.opt.Name {
			continue
		}
		entries++
		other := rankedEntry{
			name:   name,
			domain: record.Domain,
		}
		if other.precedes(self, target, domain) {
			rank++
		}
	}
	return rank, entries
}
