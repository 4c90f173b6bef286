package feed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkbeam/simulation"
)

func TestMain(m *testing.M) { simulation.Main(m, "5512") }

func row(key string, version uint64) Row {
	return Row{
		Key:     key,
		Value:   []byte(fmt.Sprint(key, version)),
		Version: version,
	}
}

func gone(key string, version uint64) Row {
	return Row{
		Key:     key,
		Version: version,
		Deleted: true,
	}
}

// batch returns changes that are complete up to a version.
func batch(version uint64, rows ...Row) Batch {
	return Batch{
		Rows:    rows,
		Version: version,
	}
}

// all returns all rows of a table at a version.
func all(version uint64, rows ...Row) Batch {
	b := batch(version, rows...)
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

// Guards against rows that go back to an older version, deletions that are undone by rows from before, and rows that stay
// although a whole copy lacks them.
func TestApply(t *testing.T) {
	tests := map[string]struct {
		batches []Batch
		want    map[string]uint64
	}{
		"older row": {
			batches: []Batch{batch(5, row("a", 5)), batch(4, row("a", 4))},
			want:    map[string]uint64{"a": 5},
		},
		"older row after deletion": {
			batches: []Batch{batch(5, gone("a", 5)), batch(4, row("a", 4))},
			want:    map[string]uint64{},
		},
		"row after deletion": {
			batches: []Batch{batch(5, gone("a", 5)), batch(6, row("a", 6))},
			want:    map[string]uint64{"a": 6},
		},
		"whole copy": {
			batches: []Batch{all(2, row("a", 1), row("b", 2)), all(4, row("b", 2))},
			want:    map[string]uint64{"b": 2},
		},
		"whole copy of an earlier time": {
			batches: []Batch{all(1, row("a", 1)), batch(5, row("b", 5)), all(3, row("a", 1))},
			want:    map[string]uint64{"a": 1, "b": 5},
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

// Guards against a copy that stays different although it has got everything from another one: after any writes and
// deletions, of which each copy has seen any part in any order, one exchange makes the copies equal.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := NewTable("t")
		source.Apply(all(1))
		behind := NewTable("t")
		behind.Apply(source.ChangesSince(0))
		n := rapid.IntRange(1, 3*keptDeletions).Draw(t, "writes")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for v := uint64(2); v < uint64(n)+2; v++ {
			key := fmt.Sprint(random.IntN(n))
			r := row(key, v)
			if random.IntN(2) == 0 {
				r = gone(key, v)
			}
			b := batch(v, r)
			source.Apply(b)
			if random.IntN(3) == 0 {
				// Seen by chance, so the copy is complete only up to where it was.
				b.Version = behind.CompleteVersion()
				behind.Apply(b)
			}
		}
		behind.Apply(source.ChangesSince(behind.CompleteVersion()))
		assert.DeepEqual(t, versions(behind), versions(source))
		assert.Equal(t, behind.CompleteVersion(), source.CompleteVersion())
	})
}

// Guards against an entry that waits for news that is there already, or that is not woken by it.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("t")
		table.Apply(all(7, row("a", 3)))
		start := time.Now()
		assert.Equal(t, len(table.Watch(t.Context(), 2, time.Minute).Rows), 1)
		assert.Equal(t, time.Since(start), time.Duration(0))
		go func() {
			time.Sleep(5 * time.Second)
			table.Apply(batch(9, row("b", 9)))
		}()
		b := table.Watch(t.Context(), 7, time.Minute)
		assert.Equal(t, time.Since(start), 5*time.Second)
		assert.Equal(t, len(b.Rows), 1)
		assert.Equal(t, len(table.Watch(t.Context(), 9, time.Second).Rows), 0)
		assert.Equal(t, time.Since(start), 6*time.Second)
	})
}
