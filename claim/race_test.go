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

// grants counts the grants of each key that were not released, and the grants of keys that were already granted.
type grants struct {
	mu     sync.Mutex
	active map[string]int
	done   map[string]bool
	total  int
	double int
}

func (g *grants) granted(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.total++
	g.active[key]++
	if g.active[key] > 1 || g.done[key] {
		g.double++
	}
}

func (g *grants) released(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active[key]--
}

// Guards against two grants of one key that are not released, and against keys that stay blocked although nobody holds
// them, when two entries compete for 1000 keys and the responses to 20% of the transactions are lost.
func TestRace(t *testing.T) {
	const seed, keys, tries = 20261204, 1000, 6
	for name, disabled := range uniquenessCases {
		runSimulated(t, name, func(t *testing.T, env *environment) {
			managers := []*Manager{env.open("a", disabled), env.open("b", disabled)}
			env.faults(store.Faults{
				RequestDelay: 5 * time.Millisecond,
				LostCommits: store.CommitLoss{
					Probability: 0.2,
					Seed:        seed,
					Point:       store.LossPointRandom,
					Delay:       300 * time.Millisecond,
				},
			})
			g := &grants{
				active: map[string]int{},
				done:   map[string]bool{},
			}
			var calls sync.WaitGroup
			for i := range keys {
				for j, m := range managers {
					random := rand.New(rand.NewPCG(seed, uint64(2*i+j)))
					calls.Go(func() { g.contend(m, fmt.Sprint("k", i), tries, random) })
				}
			}
			calls.Wait()
			counters := env.table.Counters()
			env.faults(store.Faults{})
			env.sleep(time.Minute)
			blocked := g.blocked(env.open("c", mechanisms{}))
			t.Logf("seed %d: %d grants, %d double, %d keys blocked, %+v", seed, g.total, g.double, blocked, counters)
			assert.Assert(t, g.total >= keys)
			assert.Equal(t, g.double > 0, disabled.versionChecks, "double grants")
			if !disabled.versionChecks {
				assert.Equal(t, blocked > 0, disabled.readBack || disabled.fence, "blocked keys")
			}
		})
	}
}

// contend acquires a key several times. Each grant is finished, released or kept at random.
func (g *grants) contend(m *Manager, key string, tries int, random *rand.Rand) {
	for range tries {
		// This spreads the calls over many small groups. The more calls a late group has, the less likely all its
		// checks still hold.
		time.Sleep(time.Duration(random.IntN(10000)) * time.Millisecond)
		granted, ok := m.Acquire(context.Background(), key, "digest").(*Granted)
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

// blocked counts the keys that nobody holds and that cannot be acquired.
func (g *grants) blocked(m *Manager) int {
	blocked := 0
	for key, active := range g.active {
		_, ok := acquire(m, key).(*Granted)
		if active == 0 && !ok {
			blocked++
		}
	}
	return blocked
}
