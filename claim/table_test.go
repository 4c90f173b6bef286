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

// scriptedTable is a table whose next commit can be replaced.
type scriptedTable struct {
	store.Table

	next atomic.Pointer[func(commitFunc) commitFunc]
}

func (s *scriptedTable) Commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	if replace := s.next.Swap(nil); replace != nil {
		return (*replace)(s.Table.Commit)(ctx, tx)
	}
	return s.Table.Commit(ctx, tx)
}

// Guards against a manager that stops, grants wrongly or blocks a key after an unusual result of the table.
func TestUnusualTableResults(t *testing.T) {
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
		name       string
		prepare    func(env *environment)
		commit     func(commitFunc) commitFunc
		wantFirst  string
		wantSecond string // for the same key one second later
	}{
		{
			name: "transaction delivered twice",
			commit: func(commit commitFunc) commitFunc {
				return func(ctx context.Context, tx store.Transaction) (store.Result, error) {
					_, _ = commit(ctx, tx)
					return commit(ctx, tx)
				}
			},
			wantFirst:  "granted",
			wantSecond: "busy a",
		},
		{
			name:       "group row expired",
			prepare:    func(env *environment) { env.sleep(2*claimExpiry + time.Hour) },
			wantFirst:  "granted",
			wantSecond: "busy a",
		},
		{
			name:       "transaction rejected",
			commit:     fails(store.Invalid),
			wantFirst:  "unavailable",
			wantSecond: "granted",
		},
		{
			name:       "down for one request",
			commit:     fails(store.Unavailable),
			wantFirst:  "unavailable",
			wantSecond: "granted",
		},
		{
			name:       "throttled for one request",
			commit:     fails(store.Throttled),
			wantFirst:  "granted",
			wantSecond: "busy a",
		},
		{
			name: "row that is not a claim",
			prepare: func(env *environment) {
				_, err := env.table.Commit(context.Background(), store.Transaction{
					Puts: []store.Put{
						{
							Key:   claimPrefix + "k",
							Value: []byte("junk"),
						},
					},
				})
				assert.NilError(env.t, err)
			},
			wantFirst:  "busy ",
			wantSecond: "busy ",
		},
		{
			name: "row deleted after the check",
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
			wantFirst:  "unavailable",
			wantSecond: "granted",
		},
	}
	for _, test := range tests {
		runSimulated(t, test.name, func(t *testing.T, env *environment) {
			table := &scriptedTable{
				Table: env.table,
			}
			a := env.openOn(table, "a", mechanisms{})
			if test.prepare != nil {
				test.prepare(env)
			}
			if test.commit != nil {
				table.next.Store(&test.commit)
			}
			assert.Equal(t, describe(acquire(a, "k")), test.wantFirst)
			env.sleep(time.Second)
			assert.Equal(t, describe(acquire(a, "k")), test.wantSecond)
		})
	}
}

// Guards against a delay that grows with each retry during a long outage of writes, and causes refusals after it.
func TestPacingDelayIsBounded(t *testing.T) {
	simulate(t, func(env *environment) {
		a := env.open("a", mechanisms{})
		env.faults(store.Faults{
			LostCommits: store.CommitLoss{
				Probability: 1,
				Point:       store.LossPointRequest,
			},
		})
		assert.Equal(t, describe(acquire(a, "k")), "unavailable")
		env.sleep(5 * time.Minute)
		env.faults(store.Faults{})
		env.sleep(time.Second)
		requireGranted(t, acquire(a, "k"))
	})
}
