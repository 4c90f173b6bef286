package feed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkbeam/simulation"
	"skylarkbeam/timer"
)

func TestMain(m *testing.M) { simulation.Main(m, "5512") }

func row(key string, version uint64) Row {
	return Row{
		Key:     key,
		Value:   []byte(fmt.Sprint(key, version)),
		Version: version,
	}
}

func tombstone(key string, version uint64) Row {
	return Row{
		Key:     key,
		Version: version,
		Deleted: true,
	}
}

// changes returns a batch of changes that is complete up to a version.
func changes(version uint64, rows ...Row) Batch {
	return Batch{
		Rows:    rows,
		Version: version,
	}
}

// wholeTable returns a batch with all rows of a table at a version.
func wholeTable(version uint64, rows ...Row) Batch {
	b := changes(version, rows...)
	b.Whole = true
	return b
}

func versions(t *Table) map[string]uint64 {
	have := map[string]uint64{}
	for key, row := range t.Rows() {
		have[key] = row.Version
	}
	return have
}

// Guards against a replica without the whole table that a loaded one cannot complete: the table was empty, at version 0, when
// the latter read it.
func TestCompleteFromEmpty(t *testing.T) {
	loaded, replica := NewTable("targets"), NewTable("targets")
	loaded.Apply(wholeTable(0))
	loaded.Apply(changes(2, row("a", 1), row("b", 2)))
	loaded.Apply(changes(3, tombstone("b", 3)))
	replica.Apply(loaded.ChangesSince(replica.CompleteVersion()))
	assert.Assert(t, replica.Loaded())
	assert.DeepEqual(t, versions(replica), map[string]uint64{"a": 1})
}

// era returns a version in an era.
func era(era, version uint64) uint64 { return NewVersion(era, version) }

// Guards against a replica that keeps rows which the service lost in a restore, because it had seen writes that the
// replica it learns from had not.
func TestRestoredReplicas(t *testing.T) {
	source, replica := NewTable("targets"), NewTable("targets")
	for _, table := range []*Table{source, replica} {
		table.Apply(wholeTable(era(1, 5), row("a", era(1, 5))))
	}
	replica.Apply(changes(era(1, 7), row("lost", era(1, 7))))
	source.Apply(wholeTable(era(2, 5), row("a", era(2, 5))))
	source.Apply(changes(era(2, 9), row("b", era(2, 9))))
	replica.Apply(source.ChangesSince(replica.CompleteVersion()))
	assert.DeepEqual(t, versions(replica), map[string]uint64{"a": era(2, 5), "b": era(2, 9)})
	assert.Equal(t, replica.CompleteVersion(), era(2, 9))
	assert.Equal(t, ServiceVersion(replica.LatestVersion()), uint64(9))
}

// alwaysCompacted is a Source that has a table, but never its history.
type alwaysCompacted struct {
	calls *int
}

func (s alwaysCompacted) Read(context.Context, string) (Batch, error) {
	*s.calls++
	return wholeTable(3, row("a", 3)), nil
}

func (s alwaysCompacted) Watch(context.Context, string, uint64, time.Duration) (Batch, error) {
	*s.calls++
	return Batch{}, ErrCompacted
}

// Guards against calls to the service without a pause while it does not have the history that a table needs.
func TestFollowPauses(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		calls := 0
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		Follow(ctx, Options{
			Table: NewTable("t"),
			Source: alwaysCompacted{
				calls: &calls,
			},
			Timers:       timer.New(),
			OnChange:     func() {},
			OnDisconnect: func(error) {},
			OnReconnect:  func(time.Duration) {},
			Logger:       zap.NewNop(),
		})
		assert.Assert(t, calls < 60, "%d calls in 10 s", calls)
	})
}

// Guards against rows that go back to an older version, deletions that an older row undoes, and rows that survive a
// copy of the whole table that lacks them.
func TestApply(t *testing.T) {
	tests := map[string]struct {
		batches []Batch
		want    map[string]uint64
	}{
		"older row": {
			batches: []Batch{changes(5, row("a", 5)), changes(4, row("a", 4))},
			want:    map[string]uint64{"a": 5},
		},
		"older row after deletion": {
			batches: []Batch{changes(5, tombstone("a", 5)), changes(4, row("a", 4))},
			want:    map[string]uint64{},
		},
		"row after deletion": {
			batches: []Batch{changes(5, tombstone("a", 5)), changes(6, row("a", 6))},
			want:    map[string]uint64{"a": 6},
		},
		"whole table": {
			batches: []Batch{wholeTable(2, row("a", 1), row("b", 2)), wholeTable(4, row("b", 2))},
			want:    map[string]uint64{"b": 2},
		},
		"earlier whole table": {
			batches: []Batch{wholeTable(1, row("a", 1)), changes(5, row("b", 5)), wholeTable(3, row("a", 1))},
			want:    map[string]uint64{"a": 1, "b": 5},
		},
		"versions given out again": {
			batches: []Batch{
				wholeTable(era(1, 9), row("a", era(1, 9)), row("b", era(1, 8))),
				wholeTable(era(2, 3), row("a", era(2, 3))),
				changes(era(2, 4), row("c", era(2, 4))),
			},
			want: map[string]uint64{"a": era(2, 3), "c": era(2, 4)},
		},
		"changes of an earlier era": {
			batches: []Batch{
				wholeTable(era(2, 3), row("a", era(2, 3))),
				changes(era(1, 9), row("b", era(1, 9))),
				wholeTable(era(1, 9), row("b", era(1, 9))),
			},
			want: map[string]uint64{"a": era(2, 3)},
		},
		"changes of a later era without the whole table": {
			batches: []Batch{
				wholeTable(era(1, 9), row("a", era(1, 9))),
				changes(era(2, 9), row("b", era(2, 9))),
			},
			want: map[string]uint64{"a": era(1, 9)},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable("t")
			for _, b := range test.batches {
				table.Apply(b)
			}
			assert.DeepEqual(t, versions(table), test.want)
		})
	}
}

// Guards against replicas that stay different after an exchange. The replica sees a random part of the writes and
// deletions; one exchange with the source must make both equal.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := NewTable("t")
		source.Apply(wholeTable(1))
		replica := NewTable("t")
		replica.Apply(source.ChangesSince(0))
		n := rapid.IntRange(1, 3*maxTombstones).Draw(t, "writes")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for v := uint64(2); v < uint64(n)+2; v++ {
			key := fmt.Sprint(random.IntN(n))
			r := row(key, v)
			if random.IntN(2) == 0 {
				r = tombstone(key, v)
			}
			b := changes(v, r)
			source.Apply(b)
			if random.IntN(3) == 0 {
				// The replica has seen only some of the changes, so its complete version must not advance.
				b.Version = replica.CompleteVersion()
				replica.Apply(b)
			}
		}
		replica.Apply(source.ChangesSince(replica.CompleteVersion()))
		assert.DeepEqual(t, versions(replica), versions(source))
		assert.Equal(t, replica.CompleteVersion(), source.CompleteVersion())
	})
}

// Guards against a watch that waits although there are changes already, or that a later change does not wake.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("t")
		table.Apply(wholeTable(7, row("a", 3)))
		start := time.Now()
		assert.Equal(t, len(table.Watch(t.Context(), 2, time.Minute).Rows), 1)
		assert.Equal(t, time.Since(start), time.Duration(0))
		go func() {
			time.Sleep(5 * time.Second)
			table.Apply(changes(9, row("b", 9)))
		}()
		b := table.Watch(t.Context(), 7, time.Minute)
		assert.Equal(t, time.Since(start), 5*time.Second)
		assert.Equal(t, len(b.Rows), 1)
		assert.Equal(t, len(table.Watch(t.Context(), 9, time.Second).Rows), 0)
		assert.Equal(t, time.Since(start), 6*time.Second)
	})
}

// Guards against a deletion that looks newer with each entry that passes it on.
func TestLateDeletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, replica := NewTable("t"), NewTable("t")
		reader.Apply(wholeTable(7, row("a", 3), row("b", 4)))
		replica.Apply(reader.ChangesSince(0))
		b := changes(8, tombstone("a", 8))
		b.SetLateness(500 * time.Millisecond)
		reader.Apply(b)
		deletedAt := time.Now().Add(-500 * time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		passed := reader.ChangesSince(7)
		assert.Equal(t, passed.Lateness(), 700*time.Millisecond)
		replica.Apply(passed)
		for _, table := range []*Table{reader, replica} {
			at, ok := table.DeletedAt("a")
			assert.Assert(t, ok && at.Equal(deletedAt), "%s", at)
			_, ok = table.DeletedAt("b")
			assert.Assert(t, !ok)
		}
		assert.Equal(t, reader.ChangesSince(8).Lateness(), time.Duration(0))
	})
}
