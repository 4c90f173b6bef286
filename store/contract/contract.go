// Package contract has the tests that every implementation of store.Platform passes.
//
// # Usage
//
//	func TestContract(t *testing.T) {
//		contract.Run(t, func(t *testing.T) contract.Subject {
//			memory := store.NewMemory(timer.New())
//			return contract.Subject{
//				Platform:  memory,
//				SetFaults: memory.SetFaults,
//				SetVMs:    memory.SetVMs,
//			}
//		})
//	}
//
// Each case runs in a bubble of testing/synctest, so an implementation may not use the network of the machine; one over
// HTTP is tested on net.Pipe.
package contract

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/simulation"
	"skylarkbeam/store"
)

// Harness is an empty platform under test with the controls of its faults. What it opens is closed by t.Cleanup.
type Harness struct {
	Platform  store.Platform
	SetFaults func(store.Faults) error
	SetVMs    func([]store.VM)
}

// Run tests the platforms that open returns, one for each case.
func Run(t *testing.T, open func(t *testing.T) Harness) {
	tests := []struct {
		name string
		run  func(*fixture)
	}{
		{
			name: "atomicity",
			run:  atomicity,
		},
		{
			name: "isolation",
			run:  isolation,
		},
		{
			name: "checks",
			run:  checks,
		},
		{
			name: "versions after delete",
			run:  versionsAfterDelete,
		},
		{
			name: "limits of a transaction",
			run:  transactionLimits,
		},
		{
			name: "order of a scan",
			run:  scanOrder,
		},
		{
			name: "expiry",
			run:  expiry,
		},
		{
			name: "copies",
			run:  copies,
		},
		{
			name: "effect of a failed commit",
			run:  failedCommits,
		},
		{
			name: "late commit whose check no longer holds",
			run:  lateConflict,
		},
		{
			name: "caller gives up",
			run:  callerGivesUp,
		},
		{
			name: "down before the answer",
			run:  downBeforeAnswer,
		},
		{
			name: "limits per second",
			run:  requestLimits,
		},
		{
			name: "failed reads",
			run:  failedReads,
		},
		{
			name: "objects",
			run:  objects,
		},
		{
			name: "lag of the list of VMs",
			run:  lag,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			simulation.Run(t, func(t *testing.T) {
				test.run(&fixture{
					T:       t,
					Harness: open(t),
				})
			})
		})
	}
}

type fixture struct {
	*testing.T
	Harness
}

func (f *fixture) faults(faults store.Faults) {
	f.Helper()
	assert.NilError(f, f.SetFaults(faults))
}

func (f *fixture) commit(tx store.Transaction) store.Result {
	f.Helper()
	result, err := f.Platform.Commit(context.Background(), tx)
	assert.NilError(f, err)
	return result
}

// put writes a row and returns its version.
func (f *fixture) put(key, value string) uint64 {
	f.Helper()
	committed, ok := f.commit(write(key, value)).(*store.Committed)
	assert.Assert(f, ok, "the put of %q was not committed", key)
	return committed.Versions[key]
}

func (f *fixture) get(keys ...string) map[string]store.Row {
	f.Helper()
	rows, err := f.Platform.Get(context.Background(), keys)
	assert.NilError(f, err)
	return rows
}

// want checks the value of a row; an empty value stands for a row that does not exist.
func (f *fixture) want(key, value string) {
	f.Helper()
	row, ok := f.get(key)[key]
	assert.Equal(f, ok, value != "", "whether row %q exists", key)
	assert.Equal(f, string(row.Value), value)
}

func (f *fixture) kind(err error, want store.ErrorKind) {
	f.Helper()
	assert.Assert(f, err != nil)
	assert.Equal(f, store.KindOf(err), want, "error %v", err)
}

func write(key, value string) store.Transaction {
	return store.Transaction{
		Puts: []store.Put{
			{
				Key:   key,
				Value: []byte(value),
			},
		},
	}
}

func demand(tx store.Transaction, key string, version uint64) store.Transaction {
	tx.Checks = append(tx.Checks, store.Check{
		Key:     key,
		Version: version,
	})
	return tx
}

// atomicity guards against a transaction of which a part takes effect.
func atomicity(f *fixture) {
	f.put("a", "1")
	v := f.put("b", "1")
	tx := demand(demand(write("c", "2"), "a", 99), "b", v)
	tx.Deletes = []string{"b"}
	conflict, ok := f.commit(tx).(*store.Conflict)
	assert.Assert(f, ok)
	assert.Equal(f, len(conflict.Rows), 1, "only the row whose check failed is returned")
	assert.DeepEqual(f, conflict.Rows[0], f.get("a")["a"])
	f.want("b", "1")
	f.want("c", "")
	f.commit(demand(tx, "b", v)) // Still a conflict.
	f.want("c", "")
	tx.Checks = tx.Checks[1:]
	_, ok = f.commit(tx).(*store.Committed)
	assert.Assert(f, ok)
	f.want("b", "")
	f.want("c", "2")
}

// isolation guards against reads that see one row of a transaction before and another after it.
func isolation(f *fixture) {
	const rows, rounds = 20, 50
	var keys []string
	var writers sync.WaitGroup
	for i := range rows {
		keys = append(keys, fmt.Sprintf("row/%02d", i))
	}
	for writer := range 4 {
		writers.Go(func() {
			for round := range rounds {
				var tx store.Transaction
				for _, key := range keys {
					tx.Puts = append(tx.Puts, write(key, fmt.Sprint(writer, round)).Puts...)
				}
				f.commit(tx)
			}
		})
	}
	for range rounds {
		got := f.get(keys...)
		scanned, err := f.Platform.Scan(context.Background(), "row/")
		assert.NilError(f, err)
		for _, key := range keys {
			assert.Equal(f, string(got[key].Value), string(got[keys[0]].Value))
		}
		for _, row := range scanned {
			assert.Equal(f, string(row.Value), string(scanned[0].Value))
		}
	}
	writers.Wait()
}

// checks guards against writes on top of a version that the writer has not seen.
func checks(f *fixture) {
	old := f.put("old", "1")
	current := f.put("old", "2")
	tests := []struct {
		name    string
		key     string
		version uint64
		want    bool
	}{
		{
			name:    "current version",
			key:     "old",
			version: current,
			want:    true,
		},
		{
			name:    "former version",
			key:     "old",
			version: old,
		},
		{
			name:    "future version",
			key:     "old",
			version: current + 1000,
		},
		{
			name: "absent, but it exists",
			key:  "old",
		},
		{
			name: "absent",
			key:  "new",
			want: true,
		},
		{
			name:    "a version, but it is absent",
			key:     "new",
			version: current,
		},
	}
	for _, test := range tests {
		result := f.commit(demand(write("other", test.name), test.key, test.version))
		conflict, failed := result.(*store.Conflict)
		assert.Equal(f, !failed, test.want, test.name)
		if failed {
			assert.Equal(f, conflict.Rows[0].Key, test.key, test.name)
			assert.Equal(f, conflict.Rows[0].Version, f.get(test.key)[test.key].Version, test.name)
		}
	}
}

// versionsAfterDelete guards against a check that holds again for a row that was deleted and written anew.
func versionsAfterDelete(f *fixture) {
	seen := map[uint64]bool{}
	last := uint64(0)
	for range 10 {
		for range 2 {
			v := f.put("k", "v")
			assert.Assert(f, v > last && !seen[v], "version %d after %d", v, last)
			seen[v] = true
			last = v
		}
		f.commit(store.Transaction{
			Deletes: []string{"k"},
		})
		f.want("k", "")
	}
}

// transactionLimits guards against transactions that the real service rejects.
func transactionLimits(f *fixture) {
	many := func(checks, puts, deletes int) store.Transaction {
		var tx store.Transaction
		for i := range checks {
			tx = demand(tx, fmt.Sprint("check", i), 0)
		}
		for i := range puts {
			tx.Puts = append(tx.Puts, write(fmt.Sprint("put", i), "v").Puts...)
		}
		for i := range deletes {
			tx.Deletes = append(tx.Deletes, fmt.Sprint("delete", i))
		}
		return tx
	}
	twice := write("k", "v")
	twice.Deletes = []string{"k"}
	tests := []struct {
		name string
		tx   store.Transaction
		want bool
	}{
		{
			name: "100 rows",
			tx:   many(40, 30, 30),
			want: true,
		},
		{
			name: "101 rows",
			tx:   many(40, 31, 30),
		},
		{
			name: "101 checks",
			tx:   many(101, 0, 0),
		},
		{
			name: "a key put and deleted",
			tx:   twice,
		},
		{
			name: "an empty key",
			tx:   write("", "v"),
		},
	}
	for _, test := range tests {
		_, err := f.Platform.Commit(context.Background(), test.tx)
		if test.want {
			assert.NilError(f, err, test.name)
		} else {
			f.kind(err, store.Invalid)
		}
	}
	f.want("put30", "")
	f.want("k", "")
}

// scanOrder guards against rows out of order and against rows of other prefixes.
func scanOrder(f *fixture) {
	for _, key := range []string{"p/b", "q", "p/10", "p/a", "p", "p/9"} {
		f.put(key, "v")
	}
	tests := []struct {
		prefix string
		want   []string
	}{
		{
			prefix: "p/",
			want:   []string{"p/10", "p/9", "p/a", "p/b"},
		},
		{
			prefix: "q",
			want:   []string{"q"},
		},
		{
			prefix: "r",
		},
		{
			prefix: "",
			want:   []string{"p", "p/10", "p/9", "p/a", "p/b", "q"},
		},
	}
	for _, test := range tests {
		rows, err := f.Platform.Scan(context.Background(), test.prefix)
		assert.NilError(f, err)
		var keys []string
		for _, row := range rows {
			keys = append(keys, row.Key)
		}
		assert.DeepEqual(f, keys, test.want)
	}
}

// expiry guards against rows that stay after their time or go before it.
func expiry(f *fixture) {
	tx := write("k", "v")
	tx.Puts[0].Expiry = time.Now().Add(time.Minute)
	f.commit(tx)
	assert.Assert(f, f.get("k")["k"].Expiry.Equal(tx.Puts[0].Expiry))
	time.Sleep(time.Minute - time.Second)
	f.want("k", "v")
	_, conflict := f.commit(demand(write("k", "w"), "k", 0)).(*store.Conflict)
	assert.Assert(f, conflict, "a row was taken for absent before its expiry")
	time.Sleep(time.Second)
	f.want("k", "")
	rows, err := f.Platform.Scan(context.Background(), "")
	assert.NilError(f, err)
	assert.Equal(f, len(rows), 0)
	_, committed := f.commit(demand(write("k", "w"), "k", 0)).(*store.Committed)
	assert.Assert(f, committed, "an expired row was not taken for absent")
	time.Sleep(time.Hour)
	f.want("k", "w")
}

// copies guards against rows that change with the memory of a caller.
func copies(f *fixture) {
	tx := write("k", "v")
	f.commit(tx)
	tx.Puts[0].Value[0] = 'x'
	f.want("k", "v")
	f.get("k")["k"].Value[0] = 'x'
	f.want("k", "v")
}

// failedCommits guards against a kind of error that does not tell the truth about the effect.
func failedCommits(f *fixture) {
	tests := []struct {
		name   string
		faults store.Faults
		kind   store.ErrorKind
		now    bool // whether the commit has taken effect
		later  bool // and after an hour
	}{
		{
			name: "down",
			faults: store.Faults{
				Unavailable: true,
			},
			kind: store.Unavailable,
		},
		{
			name:   "answer lost",
			faults: lose(store.LossPointResponse),
			kind:   store.Ambiguous,
			now:    true,
			later:  true,
		},
		{
			name:   "request lost",
			faults: lose(store.LossPointRequest),
			kind:   store.Ambiguous,
		},
		{
			name:   "request late",
			faults: lose(store.LossPointDelayed),
			kind:   store.Ambiguous,
			later:  true,
		},
	}
	for _, test := range tests {
		value := func(done bool) string {
			if done {
				return test.name
			}
			return ""
		}
		f.faults(test.faults)
		_, err := f.Platform.Commit(context.Background(), write(test.name, test.name))
		f.kind(err, test.kind)
		f.faults(store.Faults{})
		f.want(test.name, value(test.now))
		time.Sleep(time.Hour)
		f.want(test.name, value(test.later))
	}
}

func lose(point store.LossPoint) store.Faults {
	return store.Faults{
		LostCommits: store.CommitLoss{
			Count: 1,
			Point: point,
			Delay: time.Minute,
		},
	}
}

// lateConflict guards against a late commit that takes effect without its checks.
func lateConflict(f *fixture) {
	f.faults(lose(store.LossPointDelayed))
	_, err := f.Platform.Commit(context.Background(), demand(write("k", "late"), "k", 0))
	f.kind(err, store.Ambiguous)
	f.put("k", "first")
	time.Sleep(time.Hour)
	f.want("k", "first")
}

// callerGivesUp guards against a commit that is believed to be undone because its caller no longer waits.
func callerGivesUp(f *fixture) {
	f.faults(store.Faults{
		RequestDelay: time.Second,
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := f.Platform.Commit(ctx, write("k", "v"))
	f.kind(err, store.Ambiguous)
	f.faults(store.Faults{})
	f.want("k", "")
	time.Sleep(time.Minute)
	f.want("k", "v")
	_, err = f.Platform.Commit(ctx, write("k", "w"))
	f.kind(err, store.Unavailable)
	f.want("k", "v")
}

// downBeforeAnswer guards against Down for a commit that took effect before the platform went down.
func downBeforeAnswer(f *fixture) {
	f.faults(store.Faults{
		ResponseDelay: time.Second,
	})
	time.AfterFunc(100*time.Millisecond, func() {
		f.faults(store.Faults{
			Unavailable: true,
		})
	})
	_, err := f.Platform.Commit(context.Background(), write("k", "v"))
	f.kind(err, store.Ambiguous)
	f.faults(store.Faults{})
	f.want("k", "v")
}

// requestLimits guards against a throttled request that takes effect, and against limits that let more through.
func requestLimits(f *fixture) {
	const seconds = 1
	f.faults(store.Faults{
		WritesPerSecond: 300,
		ReadsPerSecond:  2000,
	})
	writes, reads := 0, 0
	for range seconds * 1000 {
		key := fmt.Sprint("k", writes)
		_, err := f.Platform.Commit(context.Background(), write(key, "v"))
		if err == nil {
			writes++
		} else {
			f.kind(err, store.Throttled)
		}
		for range 3 {
			if _, err := f.Platform.Get(context.Background(), []string{key}); err == nil {
				reads++
			} else {
				f.kind(err, store.Throttled)
			}
		}
		time.Sleep(time.Millisecond)
	}
	f.faults(store.Faults{})
	rows, err := f.Platform.Scan(context.Background(), "")
	assert.NilError(f, err)
	assert.Equal(f, len(rows), writes, "the rows are the writes that were not throttled")
	// The burst of a tenth of a second comes on top.
	assert.Assert(f, writes >= 300*seconds-1 && writes <= 300*seconds+30, "writes %d", writes)
	assert.Assert(f, reads >= 2000*seconds-1 && reads <= 2000*seconds+200, "reads %d", reads)
}

// failedReads guards against a failed read that looks like an absent row.
func failedReads(f *fixture) {
	f.put("k", "v")
	f.faults(store.Faults{
		Unavailable: true,
	})
	_, err := f.Platform.Get(context.Background(), []string{"k"})
	f.kind(err, store.Unavailable)
	_, err = f.Platform.Scan(context.Background(), "")
	f.kind(err, store.Unavailable)
	_, err = f.Platform.Objects().Get(context.Background(), "k")
	f.kind(err, store.Unavailable)
	_, err = f.Platform.VMs().List(context.Background())
	f.kind(err, store.Unavailable)
}

// objects guards against objects that change.
func objects(f *fixture) {
	o, ctx := f.Platform.Objects(), context.Background()
	_, err := o.Get(ctx, "sha/a b?")
	f.kind(err, store.NotFound)
	data := []byte{0, 1, 255}
	assert.NilError(f, o.Put(ctx, "sha/a b?", data))
	assert.NilError(f, o.Put(ctx, "sha/a b?", data))
	f.kind(o.Put(ctx, "sha/a b?", []byte("other")), store.Invalid)
	f.kind(o.Put(ctx, "", data), store.Invalid)
	data[0] = 9
	have, err := o.Get(ctx, "sha/a b?")
	assert.NilError(f, err)
	assert.DeepEqual(f, have, []byte{0, 1, 255})
}

// lag guards against a list that is newer than a test asks for.
func lag(f *fixture) {
	f.faults(store.Faults{
		VMListLag: 10 * time.Second,
	})
	list := func(names ...string) []store.VM {
		var vms []store.VM
		for _, name := range names {
			vms = append(vms, store.VM{
				Name:    name,
				Address: netip.MustParseAddr("127.0.0.1"),
				Leaving: name == "b",
			})
		}
		return vms
	}
	want := func(want []store.VM) {
		f.Helper()
		have, err := f.Platform.VMs().List(context.Background())
		assert.NilError(f, err)
		assert.Equal(f, fmt.Sprint(have), fmt.Sprint(want))
	}
	f.SetVMs(list("a"))
	want(nil)
	time.Sleep(8 * time.Second)
	f.SetVMs(list("a", "b"))
	time.Sleep(2 * time.Second)
	want(list("a"))
	time.Sleep(8 * time.Second)
	want(list("a", "b"))
}
