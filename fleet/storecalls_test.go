package fleet

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/simulation"
)

const (
	// applyTime is the time within which a desired state must be in force at all entries that are connected.
	applyTime = 2 * time.Second
	// calmCalls is the number of calls to the store of all entries in a minute without changes: of each of three readers,
	// a watch of the desired state a second, a watch of the registry every 15 s, and a read of the members.
	calmCalls = 3 * (60 + 4 + 1)
	// maxTakeoverCalls bounds the calls in the 10 s after the loss of all readers: those of calm, and of each new reader
	// two to publish itself, two to begin its watches, and one after the change. Each reader may have one call more in the
	// interval, as its calls are not counted from their beginning. While entries do not agree yet, they may follow as many
	// others for a second or two, which begin two watches and repeat that of the desired state.
	maxTakeoverCalls = calmCalls/6 + readerCount*(2+2+1+1) + readerCount*(2+2)
	// maxOutageCalls bounds the calls in an outage of 4 s and the 10 s after it: for each of two tables, the candidates
	// call four times until they are passed over, and the readers ten times with growing pauses.
	maxOutageCalls = 2*4*maxReaderCandidates + 2*10*readerCount + maxTakeoverCalls
)

// calmTime is how long calls in calm are counted. The counts in docs/design/store-outages.md are those of a minute.
var calmTime = flag.Duration("fleet.calm", 15*time.Second, "time for which calls to the store in calm are counted")

// lose makes entries stop answering and calling the store, as a loss of power does. Requests to them wait.
func (tr *memoryTransport) lose(list []*Follower, names []string) (rest []*Follower) {
	for _, f := range list {
		if !slices.Contains(names, f.opt.Name) {
			rest = append(rest, f)
			continue
		}
		tr.mu.Lock()
		tr.dark[f.opt.Control] = true
		tr.mu.Unlock()
		f.stop()
	}
	return rest
}

func readersOf(f *Follower) []string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.readerNames(f.now())
}

// learned returns the time that entries take to learn of a desired state, at most limit.
func learned(list []*Follower, state string, limit time.Duration) time.Duration {
	const poll = 20 * time.Millisecond
	for waited := time.Duration(0); ; waited += poll {
		if waited >= limit || !slices.ContainsFunc(list, func(f *Follower) bool {
			return !slices.Contains(f.State().DrainedDomains, state)
		}) {
			return waited
		}
		time.Sleep(poll)
	}
}

// Guards against a desired state that is not in force in time when all entries that read the store are lost, because the
// others have been detached by an outage and follow each other, and against calls to the store that grow with the number of
// entries: in calm, in an outage, and after the loss. The control has the loss without an outage.
func TestTakeover(t *testing.T) {
	for _, n := range []int{6, 56, 189} {
		outages := []string{"none", "silent", "reset"}
		if n > 100 {
			outages = outages[1:2] // It takes a minute with the race detector.
		}
		for _, outage := range outages {
			t.Run(fmt.Sprint(n, " entries, outage ", outage), func(t *testing.T) {
				simulation.Run(t, func(t *testing.T) {
					store := newOutageStore(newMemoryStore("op", "servers", "entries"))
					transport := newMemoryTransport(t)
					var list []*Follower
					for i := range n {
						seeds := []netip.AddrPort{testControl(0), testControl(n / 3), testControl(2 * n / 3)}
						list = append(list, transport.start(t, i, qldDomains[i%len(qldDomains)], store, seeds))
					}
					counted := 0
					calls := func(d time.Duration) int {
						time.Sleep(d)
						sent := store.sentCalls() - counted
						counted += sent
						return sent
					}
					t.Logf("start: %d calls", calls(10*time.Second))
					calm := calls(*calmTime)
					t.Logf("%s of calm: %d calls", *calmTime, calm)
					assert.Check(t, calm <= int(calmCalls*calmTime.Minutes())+readerCount)
					if outage != "none" {
						store.begin(outage == "silent")
						during := calls(4 * time.Second)
						store.end()
						after := calls(10 * time.Second)
						t.Logf("4 s of outage: %d calls, 10 s after it: %d", during, after)
						assert.Check(t, during+after <= maxOutageCalls)
					}
					rest := transport.lose(list, readersOf(list[0]))
					store.set("op", "config", "new")
					took := learned(rest, "new", 2*applyTime)
					t.Logf("the change is in force %s after the loss", took)
					assert.Check(t, took <= applyTime)
					after := calls(10*time.Second - took)
					t.Logf("10 s after the loss: %d calls", after)
					assert.Check(t, after <= maxTakeoverCalls)
				})
			})
		}
	}
}

// Guards against a takeover that takes longer the more entries are lost together with the readers, because those that are to replace
// the readers are found to be lost one after the other.
func TestTakeoverHerd(t *testing.T) {
	const entries = 48
	tests := []struct {
		name string
		lost func(list []*Follower, random *rand.Rand) []string
	}{
		{
			name: "first candidates",
			lost: func(list []*Follower, _ *rand.Rand) []string {
				f := list[0]
				f.mu.RLock()
				defer f.mu.RUnlock()
				return takeoverNames(f.readerCandidates(f.now()))[:3*readerCount]
			},
		},
		{
			name: "six in ten",
			lost: func(list []*Follower, random *rand.Rand) []string {
				names := readersOf(list[0])
				for _, i := range random.Perm(entries)[:entries*6/10] {
					names = append(names, list[i].opt.Name)
				}
				return names
			},
		},
	}
	for _, tt := range tests {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(tt.name, ", seed ", seed), func(t *testing.T) {
				simulation.Run(t, func(t *testing.T) {
					store := newOutageStore(newMemoryStore("op", "servers", "entries"))
					transport, list := startFollowers(t, entries, func(int) Store { return store })
					time.Sleep(10*time.Second + time.Duration(seed)*100*time.Millisecond)
					rest := transport.lose(list, tt.lost(list, rand.New(rand.NewPCG(seed, 1))))
					store.set("op", "config", "new")
					took := learned(rest, "new", 2*applyTime)
					t.Logf("the change is in force %s after the loss", took)
					assert.Check(t, took <= applyTime)
				})
			})
		}
	}
}
