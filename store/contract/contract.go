// Package contract has the conformance tests for implementations of store.Platform.
//
// # Usage
//
//	func TestContract(t *testing.T) {
//		contract.Run(t, func(t *testing.T) contract.Harness {
//			memory := store.NewMemory(timer.New())
//			return contract.Harness{
//				Platform:  memory,
//				SetFaults: memory.SetFaults,
//				SetVMs:    memory.SetVMs,
//			}
//		})
//	}
//
// Each test runs in a testing/synctest bubble, in which network connections do not work. An implementation that uses
// HTTP is tested over net.Pipe.
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

// Harness is a new platform under test, with functions that set its faults and its list of VMs. It registers its
// cleanup with t.Cleanup.
type Harness struct {
	Platform  store.Platform
	SetFaults func(store.Faults) error
	SetVMs    func([]store.VM)
}

// Run runs each test on a new platform from open.
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
			name: "versions after a delete",
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
			name: "failed commits",
			run:  failedCommits,
		},
		{
			name: "delayed commit whose check no longer holds",
			run:  delayedConflict,
		},
		{
			name: "canceled commit",
			run:  canceledCommit,
		},
		{
			name: "unavailable before the response",
			run:  unavailableBeforeResponse,
		},
		{
			name: "rate limits",
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
			run:  vmListLag,
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

func (f *fixture) setFaults(faults store.Faults) {
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
	committed, ok := f.commit(putTransaction(key, value)).(*store.Committed)
	assert.Assert(f, ok, "the put of %q was not committed", key)
	return committed.Versions[key]
}

func (f *fixture) get(keys ...string) map[string]store.Row {
	f.Helper()
	rows, err := f.Platform.Get(context.Background(), keys)
	assert.NilError(f, err)
	return rows
}

// wantValue checks the value of a row. An empty value means that the row must not exist.
func (f *fixture) wantValue(key, value string) {
	f.Helper()
	row, ok := f.get(key)[key]
	assert.Equal(f, ok, value != "", "whether row %q exists", key)
	assert.Equal(f, string(row.Value), value)
}

func (f *fixture) wantKind(err error, want store.ErrorKind) {
	f.Helper()
	assert.Assert(f, err != nil)
	assert.Equal(f, store.KindOf(err), want, "error %v", err)
}

func putTransaction(key, value string) store.Transaction {
	return store.Transaction{
		Puts: []store.Put{
			{
				Key:   key,
				Value: []byte(value),
			},
		},
	}
}

func withCheck(tx store.Transaction, key string, version uint64) store.Transaction {
	tx.Checks = append(tx.Checks, store.Check{
		Key:     key,
		Version: version,
	})
	return tx
}

// atomicity guards against a transaction that takes effect partly.
func atomicity(f *fixture) {
	f.put("a", "1")
	v := f.put("b", "1")
	tx := withCheck(withCheck(putTransaction("c", "2"), "a", 99), "b", v)
	tx.Deletes = []string{"b"}
	conflict, ok := f.commit(tx).(*store.Conflict)
	assert.Assert(f, ok)
	assert.Equal(f, len(conflict.Rows), 1, "only the row whose check failed is returned")
	assert.DeepEqual(f, conflict.Rows[0], f.get("a")["a"])
	f.wantValue("b", "1")
	f.wantValue("c", "")
	f.commit(withCheck(tx, "b", v)) // The check of row a still fails.
	f.wantValue("c", "")
	tx.Checks = tx.Checks[1:]
	_, ok = f.commit(tx).(*store.Committed)
	assert.Assert(f, ok)
	f.wantValue("b", "")
	f.wantValue("c", "2")
}

// isolation guards against reads that see only some of the rows that a transaction writes.
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
					tx.Puts = append(tx.Puts, putTransaction(key, fmt.Sprint(writer, round)).Puts...)
				}
				f.commit(tx)
			}
		})
	}
	for range rounds {
		have := f.get(keys...)
		scanned, err := f.Platform.Scan(context.Background(), "row/")
		assert.NilError(f, err)
		for _, key := range keys {
			assert.Equal(f, string(have[key].Value), string(have[keys[0]].Value))
		}
		for _, row := range scanned {
			assert.Equal(f, string(row.Value), string(scanned[0].Value))
		}
	}
	writers.Wait()
}

// checks guards against a commit whose check does not match the version of the row, and against one that is rejected
// although its check matches.
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
			name:    "old version",
			key:     "old",
			version: old,
		},
		{
			name:    "future version",
			key:     "old",
			version: current + 1000,
		},
		{
			name: "absence of a row that exists",
			key:  "old",
		},
		{
			name: "absence of a missing row",
			key:  "new",
			want: true,
		},
		{
			name:    "version of a missing row",
			key:     "new",
			version: current,
		},
	}
	for _, test := range tests {
		result := f.commit(withCheck(putTransaction("other", test.name), test.key, test.version))
		conflict, failed := result.(*store.Conflict)
		assert.Equal(f, !failed, test.want, test.name)
		if failed {
			assert.Equal(f, conflict.Rows[0].Key, test.key, test.name)
			assert.Equal(f, conflict.Rows[0].Version, f.get(test.key)[test.key].Version, test.name)
		}
	}
}

// versionsAfterDelete guards against a version that repeats after a row was deleted and written again. A check of the
// old version would then pass.
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
		f.wantValue("k", "")
	}
}

// transactionLimits guards against accepting transactions that the real service rejects.
func transactionLimits(f *fixture) {
	many := func(checks, puts, deletes int) store.Transaction {
		var tx store.Transaction
		for i := range checks {
			tx = withCheck(tx, fmt.Sprint("check", i), 0)
		}
		for i := range puts {
			tx.Puts = append(tx.Puts, putTransaction(fmt.Sprint("put", i), "v").Puts...)
		}
		for i := range deletes {
			tx.Deletes = append(tx.Deletes, fmt.Sprint("delete", i))
		}
		return tx
	}
	twice := putTransaction("k", "v")
	twice.Deletes = []string{"k"}
	tests := []struct {
		name string
		tx   store.Transaction
		want bool
	}{
		{
			name: "100 operations",
			tx:   many(40, 30, 30),
			want: true,
		},
		{
			name: "101 operations",
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
			tx:   putTransaction("", "v"),
		},
	}
	for _, test := range tests {
		_, err := f.Platform.Commit(context.Background(), test.tx)
		if test.want {
			assert.NilError(f, err, test.name)
		} else {
			f.wantKind(err, store.Invalid)
		}
	}
	f.wantValue("put30", "")
	f.wantValue("k", "")
}

// scanOrder guards against unsorted rows and against rows that do not have the prefix.
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

// expiry guards against rows that are deleted before their expiry or visible after it.
func expiry(f *fixture) {
	tx := putTransaction("k", "v")
	tx.Puts[0].Expiry = time.Now().Add(time.Minute)
	f.commit(tx)
	assert.Assert(f, f.get("k")["k"].Expiry.Equal(tx.Puts[0].Expiry))
	time.Sleep(time.Minute - time.Second)
	f.wantValue("k", "v")
	_, conflict := f.commit(withCheck(putTransaction("k", "w"), "k", 0)).(*store.Conflict)
	assert.Assert(f, conflict, "a check found no row before its expiry")
	time.Sleep(time.Second)
	f.wantValue("k", "")
	rows, err := f.Platform.Scan(context.Background(), "")
	assert.NilError(f, err)
	assert.Equal(f, len(rows), 0)
	_, committed := f.commit(withCheck(putTransaction("k", "w"), "k", 0)).(*store.Committed)
	assert.Assert(f, committed, "a check found an expired row")
	time.Sleep(time.Hour)
	f.wantValue("k", "w")
}

// copies guards against rows that share memory with the caller.
func copies(f *fixture) {
	tx := putTransaction("k", "v")
	f.commit(tx)
	tx.Puts[0].Value[0] = 'x'
	f.wantValue("k", "v")
	f.get("k")["k"].Value[0] = 'x'
	f.wantValue("k", "v")
}

// failedCommits guards against an error kind that contradicts the effect of the commit.
func failedCommits(f *fixture) {
	tests := []struct {
		name          string
		faults        store.Faults
		kind          store.ErrorKind
		appliedAtOnce bool // whether the commit has taken effect
		appliedLater  bool // and after an hour
	}{
		{
			name: "unavailable",
			faults: store.Faults{
				Unavailable: true,
			},
			kind: store.Unavailable,
		},
		{
			name:          "response lost",
			faults:        loseOneCommit(store.LossPointResponse),
			kind:          store.Ambiguous,
			appliedAtOnce: true,
			appliedLater:  true,
		},
		{
			name:   "request lost",
			faults: loseOneCommit(store.LossPointRequest),
			kind:   store.Ambiguous,
		},
		{
			name:         "request delayed",
			faults:       loseOneCommit(store.LossPointDelayed),
			kind:         store.Ambiguous,
			appliedLater: true,
		},
	}
	for _, test := range tests {
		value := func(done bool) string {
			if done {
				return test.name
			}
			return ""
		}
		f.setFaults(test.faults)
		_, err := f.Platform.Commit(context.Background(), putTransaction(test.name, test.name))
		f.wantKind(err, test.kind)
		f.setFaults(store.Faults{})
		f.wantValue(test.name, value(test.appliedAtOnce))
		time.Sleep(time.Hour)
		f.wantValue(test.name, value(test.appliedLater))
	}
}

func loseOneCommit(point store.LossPoint) store.Faults {
	return store.Faults{
		LostCommits: store.CommitLoss{
			Count: 1,
			Point: point,
			Delay: time.Minute,
		},
	}
}

// delayedConflict guards against a delayed commit that takes effect although its check no longer holds.
func delayedConflict(f *fixture) {
	f.setFaults(loseOneCommit(store.LossPointDelayed))
	_, err := f.Platform.Commit(context.Background(), withCheck(putTransaction("k", "late"), "k", 0))
	f.wantKind(err, store.Ambiguous)
	f.put("k", "first")
	time.Sleep(time.Hour)
	f.wantValue("k", "first")
}

// canceledCommit guards against a canceled commit that is reported as without effect but takes effect later.
func canceledCommit(f *fixture) {
	f.setFaults(store.Faults{
		RequestDelay: time.Second,
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := f.Platform.Commit(ctx, putTransaction("k", "v"))
	f.wantKind(err, store.Ambiguous)
	f.setFaults(store.Faults{})
	f.wantValue("k", "")
	time.Sleep(time.Minute)
	f.wantValue("k", "v")
	_, err = f.Platform.Commit(ctx, putTransaction("k", "w"))
	f.wantKind(err, store.Unavailable)
	f.wantValue("k", "v")
}

// unavailableBeforeResponse guards against Unavailable for a commit that took effect before the platform became
// unavailable.
func unavailableBeforeResponse(f *fixture) {
	f.setFaults(store.Faults{
		ResponseDelay: time.Second,
	})
	time.AfterFunc(100*time.Millisecond, func() {
		f.setFaults(store.Faults{
			Unavailable: true,
		})
	})
	_, err := f.Platform.Commit(context.Background(), putTransaction("k", "v"))
	f.wantKind(err, store.Ambiguous)
	f.setFaults(store.Faults{})
	f.wantValue("k", "v")
}

// requestLimits guards against a throttled request that takes effect, and against limits that are exceeded.
func requestLimits(f *fixture) {
	const seconds = 1
	f.setFaults(store.Faults{
		WritesPerSecond: 300,
		ReadsPerSecond:  2000,
	})
	writes, reads := 0, 0
	for range seconds * 1000 {
		key := fmt.Sprint("k", writes)
		_, err := f.Platform.Commit(context.Background(), putTransaction(key, "v"))
		if err == nil {
			writes++
		} else {
			f.wantKind(err, store.Throttled)
		}
		for range 3 {
			if _, err := f.Platform.Get(context.Background(), []string{key}); err == nil {
				reads++
			} else {
				f.wantKind(err, store.Throttled)
			}
		}
		time.Sleep(time.Millisecond)
	}
	f.setFaults(store.Faults{})
	rows, err := f.Platform.Scan(context.Background(), "")
	assert.NilError(f, err)
	assert.Equal(f, len(rows), writes, "number of rows and of writes that were not throttled")
	// A burst of a tenth of a second's requests is allowed in addition.
	assert.Assert(f, writes >= 300*seconds-1 && writes <= 300*seconds+30, "writes %d", writes)
	assert.Assert(f, reads >= 2000*seconds-1 && reads <= 2000*seconds+200, "reads %d", reads)
}

// failedReads guards against a failed read that looks like a missing row.
func failedReads(f *fixture) {
	f.put("k", "v")
	f.setFaults(store.Faults{
		Unavailable: true,
	})
	_, err := f.Platform.Get(context.Background(), []string{"k"})
	f.wantKind(err, store.Unavailable)
	_, err = f.Platform.Scan(context.Background(), "")
	f.wantKind(err, store.Unavailable)
	_, err = f.Platform.Objects().Get(context.Background(), "k")
	f.wantKind(err, store.Unavailable)
	_, err = f.Platform.VMs().List(context.Background())
	f.wantKind(err, store.Unavailable)
}

// objects guards against an object that is overwritten, or that shares memory with the caller.
func objects(f *fixture) {
	o, ctx := f.Platform.Objects(), context.Background()
	_, err := o.Get(ctx, "sha/a b?")
	f.wantKind(err, store.NotFound)
	data := []byte{0, 1, 255}
	assert.NilError(f, o.Put(ctx, "sha/a b?", data))
	assert.NilError(f, o.Put(ctx, "sha/a b?", data))
	f.wantKind(o.Put(ctx, "sha/a b?", []byte("other")), store.Invalid)
	f.wantKind(o.Put(ctx, "", data), store.Invalid)
	data[0] = 9
	have, err := o.Get(ctx, "sha/a b?")
	assert.NilError(f, err)
	assert.DeepEqual(f, have, []byte{0, 1, 255})
}

// vmListLag guards against a list that is newer than the configured lag allows.
func vmListLag(f *fixture) {
	f.setFaults(store.Faults{
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
