package claim

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"skylarkbeam/store"
)

// cuttable is a table that one ledger cannot reach while cut is set.
type cuttable struct {
	store.Table

	cut            atomic.Bool
	cutAfterCommit atomic.Bool // cuts the table off after the next commit
}

func (c *cuttable) err() error {
	if !c.cut.Load() {
		return nil
	}
	return &store.Error{
		Kind: store.Unavailable,
		Err:  errors.New("cut off"),
	}
}

func (c *cuttable) Get(ctx context.Context, keys []string) (map[string]store.Row, error) {
	if err := c.err(); err != nil {
		return nil, err
	}
	return c.Table.Get(ctx, keys)
}

func (c *cuttable) Commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	if err := c.err(); err != nil {
		return nil, err
	}
	if c.cutAfterCommit.CompareAndSwap(true, false) {
		defer c.cut.Store(true)
	}
	return c.Table.Commit(ctx, tx)
}

// Guards against calls that wait while the table is known to be down. Without the refusal they wait for as long as
// their callers let them.
func TestOutage(t *testing.T) {
	silent := store.Faults{
		RequestDelay: 30 * time.Minute,
	}
	tests := []struct {
		name   string
		faults store.Faults
		off    mechanisms
		first  time.Duration // that the first call waits
		later  time.Duration // that later calls wait
	}{
		{
			name:   "down",
			faults: downFault,
		},
		{
			name:   "silent",
			faults: silent,
			first:  waitLimit,
		},
		{
			name:   "down, refusal off",
			faults: downFault,
			off:    refusalOff,
			first:  2 * time.Second,
			later:  2 * time.Second,
		},
		{
			name:   "silent, refusal off",
			faults: silent,
			off:    refusalOff,
			first:  waitLimit,
			later:  2 * time.Second,
		},
	}
	for _, test := range tests {
		simulateCase(t, test.name, func(t *testing.T, w *world) {
			a := w.open("a", test.off)
			waits := func(key string) time.Duration {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				start := time.Now()
				assert.Equal(t, name(a.Acquire(ctx, key, "digest")), "unavailable")
				return time.Since(start)
			}
			c := mustGrant(t, take(a, "finished"))
			w.sleep(time.Second)
			w.faults(test.faults)
			assert.Equal(t, waits("k1"), test.first)
			assert.Equal(t, waits("k2"), test.later)
			c.Finish(200, "", []byte("x"))
			w.sleep(time.Hour)
			assert.Equal(t, waits("k3"), test.later)
			w.faults(store.Faults{})
			w.sleep(time.Second)
			mustGrant(t, take(a, "k1"))
			mustGrant(t, take(a, "k2"))
			assert.Equal(t, name(take(w.open("b", mechanisms{}), "finished")), "done 200 x omitted=false")
		})
	}
}

// Guards against a claim that blocks its key because the table went down between its effect and its answer.
func TestDownMidCommit(t *testing.T) {
	simulate(t, func(w *world) {
		a, b := w.open("a", mechanisms{}), w.open("b", mechanisms{})
		w.faults(store.Faults{
			ResponseDelay: 100 * time.Millisecond,
		})
		time.AfterFunc(50*time.Millisecond, func() { w.faults(downFault) })
		start := time.Now()
		assert.Equal(t, name(take(a, "k")), "unavailable")
		assert.Assert(t, time.Since(start) <= waitLimit)
		w.sleep(time.Minute)
		w.faults(store.Faults{})
		assert.Equal(t, name(take(b, "k")), "busy a", "the claim is in the table until it is freed")
		w.sleep(time.Second)
		mustGrant(t, take(b, "k"))
	})
}

// Guards against a call that gives up but leaves its claim behind.
func TestCallerGivesUp(t *testing.T) {
	simulate(t, func(w *world) {
		a, b := w.open("a", mechanisms{}), w.open("b", mechanisms{})
		w.faults(store.Faults{
			RequestDelay: 100 * time.Millisecond,
		})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		assert.Equal(t, name(a.Acquire(ctx, "k", "digest")), "unavailable")
		assert.Equal(t, name(take(a, "k")), "unavailable", "the fate of the claim is not known yet")
		w.sleep(time.Second)
		mustGrant(t, take(b, "k"))
	})
}

// Guards against a close that loses what is queued, or that waits for a table that is down.
func TestClose(t *testing.T) {
	simulate(t, func(w *world) {
		a, b, d := w.open("a", mechanisms{}), w.open("b", mechanisms{}), w.open("d", mechanisms{})
		first, second := mustGrant(t, take(a, "k1")), mustGrant(t, take(d, "k2"))
		first.Finish(200, "", nil)
		a.Close()
		<-a.Done()
		assert.Equal(t, name(take(a, "k3")), "unavailable")
		assert.Equal(t, name(take(b, "k1")), "done 200  omitted=false")
		w.faults(downFault)
		second.Release()
		start := time.Now()
		d.Close()
		<-d.Done()
		assert.Assert(t, time.Since(start) <= closeLimit+waitLimit)
	})
}

// Guards against a slow table that is taken for one that is down, also by a group that is retried after a conflict.
func TestSlowTable(t *testing.T) {
	simulate(t, func(w *world) {
		a, b := w.open("a", mechanisms{}), w.open("b", mechanisms{})
		takeAll(b, []string{"k1"})
		w.sleep(time.Second)
		w.faults(store.Faults{
			RequestDelay: 200 * time.Millisecond,
		})
		before := outages.Get()
		for i := range 10 {
			assert.DeepEqual(t, tally(takeAll(a, []string{"k1"})), map[string]int{"busy b": 1})
			mustGrant(t, take(a, "k2")).Release()
			w.sleep(time.Second)
			go take(a, fmt.Sprint("first", i))
			w.sleep(time.Millisecond)
			// These share a group, whose second transaction ends after its calls have given up.
			assert.DeepEqual(t, tally(takeAll(a, []string{"k1", "k4"})), map[string]int{"unavailable": 2})
			w.sleep(2 * time.Second)
		}
		assert.Equal(t, outages.Get(), before)
	})
}
