package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/store"
)

// recorder records the transactions that a manager commits.
type recorder struct {
	store.Table

	mu          sync.Mutex
	starts      []time.Time
	rows        []int
	inFlight    int
	maxInFlight int
}

func (r *recorder) Commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	r.mu.Lock()
	r.starts = append(r.starts, time.Now())
	r.rows = append(r.rows, len(tx.Checks)+len(tx.Puts)+len(tx.Deletes))
	r.inFlight++
	r.maxInFlight = max(r.maxInFlight, r.inFlight)
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.inFlight--
		r.mu.Unlock()
	}()
	return r.Table.Commit(ctx, tx)
}

// acquireAll acquires keys concurrently and returns the decisions.
func acquireAll(m *Manager, keys []string) []string {
	decisions := make([]string, len(keys))
	var calls sync.WaitGroup
	for i, key := range keys {
		calls.Go(func() { decisions[i] = describe(acquire(m, key)) })
	}
	calls.Wait()
	return decisions
}

func tally(decisions []string) map[string]int {
	n := map[string]int{}
	for _, d := range decisions {
		n[d]++
	}
	return n
}

// Guards against more, larger or more concurrent transactions than the platform accepts, against a delay before the
// first claim after an idle period, and against a conflict that delays the rest of its group.
func TestGroups(t *testing.T) {
	numbered := func(n int) []string {
		var keys []string
		for i := range n {
			keys = append(keys, fmt.Sprint("k", i))
		}
		return keys
	}
	tests := []struct {
		name     string
		heldKeys []string // keys claimed by another manager
		keys     []string // acquired after 1 ms, while the claim of the key "first" is in flight
		want     map[string]int
		starts   []int // of the transactions in ms; the last one is for the key "last", acquired once keys are decided
		rows     []int
	}{
		{
			name:   "one group",
			keys:   numbered(3),
			want:   map[string]int{"granted": 3},
			starts: []int{0, 25, 50},
			rows:   []int{4, 8, 4},
		},
		{
			name:   "one key twice",
			keys:   []string{"k", "k"},
			want:   map[string]int{"granted": 1, "busy a": 1},
			starts: []int{0, 25, 50},
			rows:   []int{4, 4, 4},
		},
		{
			name:   "more than fit into one group",
			keys:   numbered(120),
			want:   map[string]int{"granted": 120},
			starts: []int{0, 25, 50, 75, 100},
			rows:   []int{4, 100, 100, 46, 4},
		},
		{
			name:     "conflicts",
			heldKeys: []string{"k1", "k3"},
			keys:     numbered(10),
			want:     map[string]int{"granted": 8, "busy b": 2},
			starts:   []int{0, 25, 30, 75},
			rows:     []int{4, 22, 18, 4},
		},
	}
	for _, test := range tests {
		runSimulated(t, test.name, func(t *testing.T, env *environment) {
			r := &recorder{
				Table: env.table,
			}
			a, b := env.openOn(r, "a", mechanisms{}), env.open("b", mechanisms{})
			acquireAll(b, test.heldKeys)
			env.sleep(time.Second)
			env.faults(store.Faults{
				RequestDelay: 5 * time.Millisecond,
			})
			r.starts, r.rows = nil, nil
			start := time.Now()
			go acquire(a, "first")
			env.sleep(time.Millisecond)
			assert.DeepEqual(t, tally(acquireAll(a, test.keys)), test.want)
			requireGranted(t, acquire(a, "last"))
			var starts []int
			for _, s := range r.starts {
				starts = append(starts, int(s.Sub(start).Milliseconds()))
			}
			assert.DeepEqual(t, starts, test.starts)
			assert.DeepEqual(t, r.rows, test.rows)
			assert.Equal(t, r.maxInFlight, 1, "transactions in flight")
		})
	}
}

// Guards against calls that wait without limit for a table that throttles, and against writes that keep it throttled.
func TestThrottled(t *testing.T) {
	simulate(t, func(env *environment) {
		r := &recorder{
			Table: env.table,
		}
		a := env.openOn(r, "a", mechanisms{})
		env.faults(store.Faults{
			WritesPerSecond: 1,
		})
		requireGranted(t, acquire(a, "first"))
		r.starts = nil
		start := time.Now()
		assert.DeepEqual(t, tally(acquireAll(a, []string{"k1", "k2"})), map[string]int{"unavailable": 2})
		assert.Assert(t, time.Since(start) <= acquireTimeout)
		assert.Assert(t, len(r.starts) <= 5, "%d writes to a table that throttles", len(r.starts))
		env.faults(store.Faults{})
		requireGranted(t, acquire(a, "k1"))
	})
}
