package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/store"
)

// grants counts for each key the grants that were not released, and remembers whether there were ever two.
type grants struct {
	mu     sync.Mutex
	live   map[string]int
	done   map[string]bool
	all    int
	double int
}

func (g *grants) granted(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.all++
	g.live[key]++
	if g.live[key] > 1 || g.done[key] {
		g.double++
	}
}

func (g *grants) released(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.live[key]--
}

// Guards against two grants of one key that are not released, and against keys that stay blocked although nobody holds
// them, when two entries race for 1000 keys and the answers of 20% of the transactions are lost.
func TestRace(t *testing.T) {
	const seed, keys, tries = 20261204, 1000, 6
	for name, off := range switched {
		simulateCase(t, name, func(t *testing.T, w *world) {
			ledgers := []*Manager{w.open("a", off), w.open("b", off)}
			w.faults(store.Faults{
				RequestDelay: 5 * time.Millisecond,
				LostCommits: store.CommitLoss{
					Probability: 0.2,
					Seed:        seed,
					Point:       store.LossPointRandom,
					Delay:       300 * time.Millisecond,
				},
			})
			g := &grants{
				live: map[string]int{},
				done: map[string]bool{},
			}
			var calls sync.WaitGroup
			for i := range keys {
				for j, l := range ledgers {
					random := rand.New(rand.NewPCG(seed, uint64(2*i+j)))
					calls.Go(func() { g.contend(l, fmt.Sprint("k", i), tries, random) })
				}
			}
			calls.Wait()
			counters := w.table.Counters()
			w.faults(store.Faults{})
			w.sleep(time.Minute)
			blocked := g.blocked(w.open("c", mechanisms{}))
			t.Logf("seed %d: %d grants, %d double, %d keys blocked, %+v", seed, g.all, g.double, blocked, counters)
			assert.Assert(t, g.all >= keys)
			assert.Equal(t, g.double > 0, off.check, "double grants")
			if !off.check {
				assert.Equal(t, blocked > 0, off.readBack || off.fence, "blocked keys")
			}
		})
	}
}

// contend takes a key several times. A grant ends at random by a finish, a release or not at all.
func (g *grants) contend(l *Manager, key string, tries int, random *rand.Rand) {
	for range tries {
		// A few calls in each group: the more calls a late group has, the less likely all its checks still hold.
		time.Sleep(time.Duration(random.IntN(10000)) * time.Millisecond)
		granted, ok := l.Acquire(context.Background(), key, "digest").(*Granted)
		if !ok {
			continue
		}
		g.granted(key)
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		switch random.IntN(8) {
		case 0:
			granted.Claim.Finish(200, "", nil)
			return
		case 1:
			return
		default:
			g.released(key)
			granted.Claim.Release()
		}
	}
}

// blocked counts the keys that nobody holds and that cannot be taken.
func (g *grants) blocked(l *Manager) int {
	blocked := 0
	for key, live := range g.live {
		_, ok := take(l, key).(*Granted)
		if live == 0 && !ok {
			blocked++
		}
	}
	return blocked
}
