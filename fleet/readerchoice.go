package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// readerCount is the number of entries that follow the store directly; the others follow these. Calls to the store
	// are charged, and three readers survive the loss of any two.
	readerCount = 3
	// maxReaderCandidates is the number of entries among which the readers are chosen. If all of these are detached, the
	// store is taken to be down, and the others do not call it: in an outage, all entries would otherwise try it in turn,
	// 541 calls in 4 s of 56 entries. An entry that the store refuses is one of many, so twelve rarely are.
	maxReaderCandidates = 4 * readerCount
)

// readerCandidate is an entry that may become a reader.
type readerCandidate struct {
	name     string
	domain   string
	rank     uint64
	detached bool
}

// readerRank orders the entries as readers of the store, alike at all entries.
func readerRank(name string) uint64 { return xxhash.Sum64String("reader\x00" + name) }

// chooseReaders returns the names of the readers: those with the lowest ranks among the entries that reach the store, or
// among all if none does. The first of each failure domain comes first, because the others in the domain follow it and
// traffic between domains is charged.
func chooseReaders(candidates []readerCandidate) []string {
	candidates = spreadDomains(candidates)
	candidates = candidates[:min(len(candidates), maxReaderCandidates)]
	attached := slices.DeleteFunc(slices.Clone(candidates), func(c readerCandidate) bool { return c.detached })
	if len(attached) > 0 {
		candidates = spreadDomains(attached)
	}
	var names []string
	for _, c := range candidates[:min(len(candidates), readerCount)] {
		names = append(names, c.name)
	}
	return names
}

// takeoverNames returns the names of the candidates among which the readers are chosen.
func takeoverNames(candidates []readerCandidate) []string {
	var names []string
	for _, c := range spreadDomains(candidates)[:min(len(candidates), maxReaderCandidates)] {
		names = append(names, c.name)
	}
	return names
}

// spreadDomains sorts the candidates by rank, the first of each failure domain before all others.
func spreadDomains(candidates []readerCandidate) []readerCandidate {
	slices.SortFunc(candidates, func(a, b readerCandidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
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
