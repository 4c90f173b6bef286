package claim

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"skylarkbeam/store"
)

type commitFunc func(context.Context, store.Transaction) (store.Result, error)

// scripted is a table whose next commit is replaced.
type scripted struct {
	store.Table

	next atomic.Pointer[func(commitFunc) commitFunc]
}

func (s *scripted) Commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	if replace := s.next.Swap(nil); replace != nil {
		return (*replace)(s.Table.Commit)(ctx, tx)
	}
	return s.Table.Commit(ctx, tx)
}

// Guards against a ledger that stops, grants wrongly or blocks a key when the table does something rare.
func TestRareTables(t *testing.T) {
	fails := func(kind store.ErrorKind) func(commitFunc) commitFunc {
		return func(commitFunc) commitFunc {
			return func(context.Context, store.Transaction) (store.Result, error) {
				return nil, &store.Error{
					Kind: kind,
					Err:  errors.New("scripted"),
				}
			}
		}
	}
	tests := []struct {
		name    string
		prepare func(w *world)
		commit  func(commitFunc) commitFunc
		first   string
		second  string // for the same key a second later
	}{
		{
			name: "transaction delivered twice",
			commit: func(commit commitFunc) commitFunc {
				return func(ctx context.Context, tx store.Transaction) (store.Result, error) {
					_, _ = commit(ctx, tx)
					return commit(ctx, tx)
				}
			},
			first:  "granted",
			second: "busy a",
		},
		{
			name:    "group row expired",
			prepare: func(w *world) { w.sleep(2*expiry + time.Hour) },
			first:   "granted",
			second:  "busy a",
		},
		{
			name:   "transaction rejected",
			commit: fails(store.Invalid),
			first:  "unavailable",
			second: "granted",
		},
		{
			name:   "down for one request",
			commit: fails(store.Unavailable),
			first:  "unavailable",
			second: "granted",
		},
		{
			name:   "throttled for one request",
			commit: fails(store.Throttled),
			first:  "granted",
			second: "busy a",
		},
		{
			name: "row that is not a claim",
			prepare: func(w *world) {
				_, err := w.table.Commit(context.Background(), store.Transaction{
					Puts: []store.Put{
						{
							Key:   claimPrefix + "k",
							Value: []byte("junk"),
						},
					},
				})
				assert.NilError(w.t, err)
			},
			first:  "busy ",
			second: "busy ",
		},
		{
			name: "row gone since the check",
			commit: func(commitFunc) commitFunc {
				return func(context.Context, store.Transaction) (store.Result, error) {
					return &store.Conflict{
						Rows: []store.Row{
							{
								Key: claimPrefix + "k",
							},
						},
					}, nil
				}
			},
			first:  "unavailable",
			second: "granted",
		},
	}
	for _, test := range tests {
		simulateCase(t, test.name, func(t *testing.T, w *world) {
			table := &scripted{
				Table: w.table,
			}
			a := w.openOn(table, "a", mechanisms{})
			if test.prepare != nil {
				test.prepare(w)
			}
			if test.commit != nil {
				table.next.Store(&test.commit)
			}
			assert.Equal(t, name(take(a, "k")), test.first)
			w.sleep(time.Second)
			assert.Equal(t, name(take(a, "k")), test.second)
		})
	}
}

// Guards against a delay that grows with each retry during a long outage of writes, and refuses calls after it.
func TestPaceIsBounded(t *testing.T) {
	simulate(t, func(w *world) {
		a := w.open("a", mechanisms{})
		w.faults(store.Faults{
			LostCommits: store.CommitLoss{
				Probability: 1,
				Point:       store.LossPointRequest,
			},
		})
		assert.Equal(t, name(take(a, "k")), "unavailable")
		w.sleep(5 * time.Minute)
		w.faults(store.Faults{})
		w.sleep(time.Second)
		mustGrant(t, take(a, "k"))
	})
}
