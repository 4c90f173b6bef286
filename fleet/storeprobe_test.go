package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/simulation"
)

// startWithStores starts entries, each with a store of its own that can fail, which share their contents.
func startWithStores(t *testing.T, entries int) (common *memoryStore, stores []*outageStore, list []*Follower) {
	common = newMemoryStore("op", "servers", "entries")
	_, list = startFollowers(t, entries, func(int) Store {
		stores = append(stores, newOutageStore(common))
		return stores[len(stores)-1]
	})
	return common, stores, list
}

// Guards against a store that serves most entries while none of them calls it: an outage has detached the candidates for readers, the
// first of which the store refuses after the outage, and the others wait for these.
func TestRefusedReaders(t *testing.T) {
	for _, entries := range []int{6, 24, 56} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprint(entries, " entries, silent ", silent), func(t *testing.T) {
				simulation.Run(t, func(t *testing.T) {
					common, stores, list := startWithStores(t, entries)
					time.Sleep(10 * time.Second)
					refused := readersOf(list[0])
					for i, f := range list {
						if i%3 == 0 && !slices.Contains(refused, f.opt.Name) {
							refused = append(refused, f.opt.Name)
						}
					}
					for _, s := range stores {
						s.begin(silent)
					}
					time.Sleep(4 * time.Second)
					calls := 0
					for i, s := range stores {
						if !slices.Contains(refused, list[i].opt.Name) {
							s.end()
						}
						calls += s.sentCalls()
					}
					time.Sleep(time.Second)
					common.set("op", "config", "new")
					time.Sleep(connectTime - time.Second)
					for _, f := range list {
						assert.Check(t, slices.Contains(f.State().DrainedDomains, "new"), "%s has not learned of the change", f.opt.Name)
					}
					for i := range 5 {
						key := fmt.Sprint("i-", i)
						common.set("servers", key, "x")
						time.Sleep(learnTime)
						for _, f := range list {
							known := slices.ContainsFunc(f.State().RegisteredTargets, func(r RegisteredTarget) bool { return r.Name == key })
							assert.Check(t, known, "%s has not learned of %s", f.opt.Name, key)
						}
					}
					for _, s := range stores {
						calls -= s.sentCalls()
					}
					t.Logf("%d calls in the 10.5 s after the outage", -calls)
					assert.Check(t, -calls <= maxOutageCalls)
				})
			})
		}
	}
}

// Guards against readers among entries that have not tried the store, while it is known to answer another one, and against one that the
// store answers but that goes before attached ones of lower rank.
func TestReaderCandidates(t *testing.T) {
	candidate := func(name string, detached, reached bool) readerCandidate {
		return readerCandidate{
			name:     name,
			domain:   "cairns",
			rank:     uint64(name[0]),
			detached: detached,
			reached:  reached,
		}
	}
	var detached, attached []readerCandidate
	for i := range maxReaderCandidates + 3 {
		detached = append(detached, candidate(string(rune('a'+i)), true, false))
		attached = append(attached, candidate(string(rune('a'+i)), false, false))
	}
	last := string(rune('a' + maxReaderCandidates + 2))
	tests := []struct {
		name       string
		candidates []readerCandidate
		want       []string
	}{
		{
			name:       "all attached",
			candidates: attached,
			want:       []string{"a", "b", "c"},
		},
		{
			name:       "all detached",
			candidates: detached,
			want:       []string{"a", "b", "c"},
		},
		{
			name:       "the first detached, the others not tried",
			candidates: slices.Concat(detached[:maxReaderCandidates], attached[maxReaderCandidates:]),
			want:       []string{"a", "b", "c"},
		},
		{
			name:       "the first detached, the store answers another one",
			candidates: slices.Concat(detached[:maxReaderCandidates], []readerCandidate{candidate(last, false, true)}),
			want:       []string{last},
		},
		{
			name:       "one of the first attached, the store answers another one",
			candidates: slices.Concat(detached[1:maxReaderCandidates], attached[:1], []readerCandidate{candidate(last, false, true)}),
			want:       []string{"a"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.DeepEqual(t, chooseReaders(tt.candidates), tt.want)
		})
	}
}
