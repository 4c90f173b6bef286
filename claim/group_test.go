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

// recorder notes the transactions that a ledger commits.
type recorder struct {
	store.Table

	mu       sync.Mutex
	starts   []time.Time
	rows     []int
	inFlight int
	most     int
}

func (r *recorder) Commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	r.mu.Lock()
	r.starts = append(r.starts, time.Now())
	r.rows = append(r.rows, len(tx.Checks)+len(tx.Puts)+len(tx.Deletes))
	r.inFlight++
	r.most = max(r.most, r.inFlight)
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.inFlight--
		r.mu.Unlock()
	}()
	return r.Table.Commit(ctx, tx)
}

// takeAll takes keys at the same time and returns the decisions.
func takeAll(l *Manager, keys []string) []string {
	decisions := make([]string, len(keys))
	var calls sync.WaitGroup
	for i, key := range keys {
		calls.Go(func() { decisions[i] = name(take(l, key)) })
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

// Guards against more transactions, larger ones or more at a time than the platform bears, against a wait before the
// first claim of a quiet period, and against a conflict that holds up the rest of its group.
func TestGroups(t *testing.T) {
	numbered := func(n int) []string {
		var keys []string
		for i := range n {
			keys = append(keys, fmt.Sprint("k", i))
		}
		return keys
	}
	tests := []struct {
		name   string
		others []string // keys claimed by another ledger
		keys   []string // taken at 1 ms, while the claim of the key "first" is in flight
		want   map[string]int
		starts []int // of the transactions in ms; the last one is for the key "last", taken as soon as keys are decided
		rows   []int
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
			name:   "conflicts",
			others: []string{"k1", "k3"},
			keys:   numbered(10),
			want:   map[string]int{"granted": 8, "busy b": 2},
			starts: []int{0, 25, 30, 75},
			rows:   []int{4, 22, 18, 4},
		},
	}
	for _, test := range tests {
		simulateCase(t, test.name, func(t *testing.T, w *world) {
			r := &recorder{
				Table: w.table,
			}
			a, b := w.openOn(r, "a", mechanisms{}), w.open("b", mechanisms{})
			takeAll(b, test.others)
			w.sleep(time.Second)
			w.faults(store.Faults{
				RequestDelay: 5 * time.Millisecond,
			})
			r.starts, r.rows = nil, nil
			start := time.Now()
			go take(a, "first")
			w.sleep(time.Millisecond)
			assert.DeepEqual(t, tally(takeAll(a, test.keys)), test.want)
			mustGrant(t, take(a, "last"))
			var starts []int
			for _, s := range r.starts {
				starts = append(starts, int(s.Sub(start).Milliseconds()))
			}
			assert.DeepEqual(t, starts, test.starts)
			assert.DeepEqual(t, r.rows, test.rows)
			assert.Equal(t, r.most, 1, "transactions in flight")
		})
	}
}

// Guards against calls that wait without end for a table that throttles, and against writes that keep its limit
// exhausted.
func TestThrottled(t *testing.T) {
	simulate(t, func(w *world) {
		r := &recorder{
			Table: w.table,
		}
		a := w.openOn(r, "a", mechanisms{})
		w.faults(store.Faults{
			WritesPerSecond: 1,
		})
		mustGrant(t, take(a, "first"))
		r.starts = nil
		start := time.Now()
		assert.DeepEqual(t, tally(takeAll(a, []string{"k1", "k2"})), map[string]int{"unavailable": 2})
		assert.Assert(t, time.Since(start) <= waitLimit)
		assert.Assert(t, len(r.starts) <= 5, "%d writes to a table that throttles", len(r.starts))
		w.faults(store.Faults{})
		mustGrant(t, take(a, "k1"))
	})
}
