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

// partitionedTable is a table that one manager cannot reach while partitioned is set.
type partitionedTable struct {
	store.Table

	partitioned          atomic.Bool
	partitionAfterCommit atomic.Bool // sets partitioned after the next commit
}

func (t *partitionedTable) err() error {
	if !t.partitioned.Load() {
		return nil
	}
	return &store.Error{
		Kind: store.Unavailable,
		Err:  errors.New("partitioned"),
	}
}

func (t *partitionedTable) Get(ctx context.Context, keys []string) (map[string]store.Row, error) {
	if err := t.err(); err != nil {
		return nil, err
	}
	return t.Table.Get(ctx, keys)
}

func (t *partitionedTable) Commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	if err := t.err(); err != nil {
		return nil, err
	}
	if t.partitionAfterCommit.CompareAndSwap(true, false) {
		defer t.partitioned.Store(true)
	}
	return t.Table.Commit(ctx, tx)
}

// Guards against calls that wait although the table is known to be down. Without the refusal they wait until their
// callers give up.
func TestOutage(t *testing.T) {
	unresponsive := store.Faults{
		RequestDelay: 30 * time.Minute,
	}
	tests := []struct {
		name      string
		faults    store.Faults
		disabled  mechanisms
		wantFirst time.Duration // wait of the first call
		wantLater time.Duration // wait of later calls
	}{
		{
			name:   "down",
			faults: unavailableFaults,
		},
		{
			name:      "unresponsive",
			faults:    unresponsive,
			wantFirst: acquireTimeout,
		},
		{
			name:      "down, refusal disabled",
			faults:    unavailableFaults,
			disabled:  refusalDisabled,
			wantFirst: 2 * time.Second,
			wantLater: 2 * time.Second,
		},
		{
			name:      "unresponsive, refusal disabled",
			faults:    unresponsive,
			disabled:  refusalDisabled,
			wantFirst: acquireTimeout,
			wantLater: 2 * time.Second,
		},
	}
	for _, test := range tests {
		runSimulated(t, test.name, func(t *testing.T, env *environment) {
			a := env.open("a", test.disabled)
			waits := func(key string) time.Duration {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				start := time.Now()
				assert.Equal(t, describe(a.Acquire(ctx, key, "digest")), "unavailable")
				return time.Since(start)
			}
			c := requireGranted(t, acquire(a, "finished"))
			env.sleep(time.Second)
			env.faults(test.faults)
			assert.Equal(t, waits("k1"), test.wantFirst)
			assert.Equal(t, waits("k2"), test.wantLater)
			c.Finish(200, "", []byte("x"))
			env.sleep(time.Hour)
			assert.Equal(t, waits("k3"), test.wantLater)
			env.faults(store.Faults{})
			env.sleep(time.Second)
			requireGranted(t, acquire(a, "k1"))
			requireGranted(t, acquire(a, "k2"))
			assert.Equal(t, describe(acquire(env.open("b", mechanisms{}), "finished")), "done 200 x omitted=false")
		})
	}
}

// Guards against a claim that blocks its key because the table went down between the commit and its response.
func TestDownMidCommit(t *testing.T) {
	simulate(t, func(env *environment) {
		a, b := env.open("a", mechanisms{}), env.open("b", mechanisms{})
		env.faults(store.Faults{
			ResponseDelay: 100 * time.Millisecond,
		})
		time.AfterFunc(50*time.Millisecond, func() { env.faults(unavailableFaults) })
		start := time.Now()
		assert.Equal(t, describe(acquire(a, "k")), "unavailable")
		assert.Assert(t, time.Since(start) <= acquireTimeout)
		env.sleep(time.Minute)
		env.faults(store.Faults{})
		assert.Equal(t, describe(acquire(b, "k")), "busy a", "the claim is in the table until it is released")
		env.sleep(time.Second)
		requireGranted(t, acquire(b, "k"))
	})
}

// Guards against a call that gives up and leaves its claim behind.
func TestCallerGivesUp(t *testing.T) {
	simulate(t, func(env *environment) {
		a, b := env.open("a", mechanisms{}), env.open("b", mechanisms{})
		env.faults(store.Faults{
			RequestDelay: 100 * time.Millisecond,
		})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		assert.Equal(t, describe(a.Acquire(ctx, "k", "digest")), "unavailable")
		assert.Equal(t, describe(acquire(a, "k")), "unavailable", "the effect of the claim is not known yet")
		env.sleep(time.Second)
		requireGranted(t, acquire(b, "k"))
	})
}

// Guards against a close that loses queued writes, or that waits for a table that is down.
func TestClose(t *testing.T) {
	simulate(t, func(env *environment) {
		a, b, d := env.open("a", mechanisms{}), env.open("b", mechanisms{}), env.open("d", mechanisms{})
		first, second := requireGranted(t, acquire(a, "k1")), requireGranted(t, acquire(d, "k2"))
		first.Finish(200, "", nil)
		a.Close()
		<-a.Done()
		assert.Equal(t, describe(acquire(a, "k3")), "unavailable")
		assert.Equal(t, describe(acquire(b, "k1")), "done 200  omitted=false")
		env.faults(unavailableFaults)
		second.Release()
		start := time.Now()
		d.Close()
		<-d.Done()
		assert.Assert(t, time.Since(start) <= closeTimeout+acquireTimeout)
	})
}

// Guards against a slow table that is considered down, also by a group that is retried after a conflict.
func TestSlowTable(t *testing.T) {
	simulate(t, func(env *environment) {
		a, b := env.open("a", mechanisms{}), env.open("b", mechanisms{})
		acquireAll(b, []string{"k1"})
		env.sleep(time.Second)
		env.faults(store.Faults{
			RequestDelay: 200 * time.Millisecond,
		})
		before := outagesTotal.Get()
		for i := range 10 {
			assert.DeepEqual(t, tally(acquireAll(a, []string{"k1"})), map[string]int{"busy b": 1})
			requireGranted(t, acquire(a, "k2")).Release()
			env.sleep(time.Second)
			go acquire(a, fmt.Sprint("first", i))
			env.sleep(time.Millisecond)
			// These calls share a group whose second transaction ends after they have given up.
			assert.DeepEqual(t, tally(acquireAll(a, []string{"k1", "k4"})), map[string]int{"unavailable": 2})
			env.sleep(2 * time.Second)
		}
		assert.Equal(t, outagesTotal.Get(), before)
	})
}
