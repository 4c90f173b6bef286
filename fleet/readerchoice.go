package fleet

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// readerCount is the number of entries that follow the store directly; the others follow these. Calls to the store
	// are charged, and three readers survive the loss of any two.
	readerCount = 3
	// maxReaderCandidates is the number of entries among which the readers are chosen. If all of these are detached, the
	// store is taken to be down, and the others only probe it now and then: in an outage, all entries would otherwise try it
	// in turn, 541 calls in 4 s of 56 entries.
	maxReaderCandidates = 4 * readerCount
)

// readerCandidate is an entry that may become a reader.
type readerCandidate struct {
	name   string
	domain string
	// linkClass orders the entries before their ranks, the highest first.
	linkClass int
	rank      uint64
	detached  bool
	// reached is set if the store has just answered the entry.
	reached bool
}

// readerRank orders the entries as readers of the store, alike at all entries.
func readerRank(name string) uint64 { return xxhash.Sum64String("reader\x00" + name) }

// linkClassOf returns the class of a link by its bandwidth in bytes per second. A reader passes each change on to a third of the fleet: a
// desired state with 1600 routes, compressed, would use a link of 10 Mbit/s for 1.5 s with 48 followers. Entries whose links differ by
// less than a factor of two may be of the same class.
func linkClassOf(bandwidth int) int { return bits.Len(uint(max(bandwidth, 0))) }

// chooseReaders returns the names of the readers: those with the lowest ranks among the first candidates that reach the store, or
// else among all entries that the store has just answered. If there are none either, they are the first candidates. The first of each
// failure domain comes first, because the others in the domain follow it and traffic between domains is charged.
func chooseReaders(candidates []readerCandidate) []string {
	chosen := readingCandidates(candidates)
	if len(chosen) == 0 {
		chosen = firstCandidates(candidates)
	}
	var names []string
	for _, c := range spreadDomains(chosen)[:min(len(chosen), readerCount)] {
		names = append(names, c.name)
	}
	return names
}

// readingCandidates returns the candidates that are taken to reach the store.
func readingCandidates(candidates []readerCandidate) []readerCandidate {
	attached := slices.DeleteFunc(firstCandidates(candidates), func(c readerCandidate) bool { return c.detached })
	if len(attached) > 0 {
		return attached
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(c readerCandidate) bool { return !c.reached })
}

// probesNeeded reports whether entries that are no readers have to probe the store: none of the first candidates reaches it, and it is
// not known to answer as many others as there are to be readers.
func probesNeeded(candidates []readerCandidate) bool {
	return len(readingCandidates(candidates)) < readerCount &&
		!slices.ContainsFunc(firstCandidates(candidates), func(c readerCandidate) bool { return !c.detached })
}

// firstCandidates returns the candidates with the lowest ranks.
func firstCandidates(candidates []readerCandidate) []readerCandidate {
	return slices.Clone(spreadDomains(candidates)[:min(len(candidates), maxReaderCandidates)])
}

// takeoverNames returns the names of the candidates among which the readers are chosen.
func takeoverNames(candidates []readerCandidate) []string {
	var names []string
	for _, c := range firstCandidates(candidates) {
		names = append(names, c.name)
	}
	return names
}

// spreadDomains sorts the candidates by the class of their links and by rank, the first of each failure domain before all others.
func spreadDomains(candidates []readerCandidate) []readerCandidate {
	slices.SortFunc(candidates, func(a, b readerCandidate) int {
		return cmp.Or(cmp.Compare(b.linkClass, a.linkClass), cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	domains := map[string]bool{}
	var first, rest []readerCandidate
	for _, c := range candidates {
		if domains[c.domain] {
			rest = append(rest, c)
		} else {
			domains[c.domain] = true
			first = append(first, c)
		}
	}
	return append(first, rest...)
}
