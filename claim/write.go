package claim

import (
	"time"

	"skylarkbeam/store"
)

// write is one change of a claim's row. A take has an answer channel; a release has no row.
type write struct {
	key     string
	version uint64 // that the row must have; 0 for a take
	row     *row
	// answer and answered are used under the lock of the ledger. A take that is answered before its fate is known is
	// released once it turns out to be in the table.
	answer   chan Decision
	answered bool
}

func (w *write) isTake() bool { return w.answer != nil }

// reply answers the call unless it has its answer already.
func (w *write) reply(d Decision) {
	if !w.answered {
		w.answered = true
		w.answer <- d
	}
}

// group is one transaction of writes.
type group struct {
	nonce  string
	start  time.Time
	writes []*write
}

func (g *group) keys() []string {
	keys := make([]string, 0, len(g.writes)+1)
	for _, w := range g.writes {
		keys = append(keys, claimPrefix+w.key)
	}
	return keys
}

// maxWrites leaves room for the group row: each write, and the group row too, is one check and one put or delete.
const maxWrites = store.MaxTransactionOps/2 - 1

func (l *Manager) transaction(g *group) store.Transaction {
	tx := l.fence(g.nonce, g.start)
	for _, w := range g.writes {
		key := claimPrefix + w.key
		if !l.options.disabled.check {
			tx.Checks = append(tx.Checks, store.Check{
				Key:     key,
				Version: w.version,
			})
		}
		if w.row == nil {
			tx.Deletes = append(tx.Deletes, key)
			continue
		}
		tx.Puts = append(tx.Puts, store.Put{
			Key:    key,
			Value:  encode(w.row),
			Expiry: g.start.Add(l.options.disabled.expiry),
		})
	}
	return tx
}

// fence returns a transaction that writes only the group row. It outlives the claims, so that a ledger finds it.
func (l *Manager) fence(nonce string, now time.Time) store.Transaction {
	tx := store.Transaction{
		Puts: []store.Put{
			{
				Key: l.groupKey,
				Value: encode(groupRow{
					Nonce: nonce,
				}),
				Expiry: now.Add(2 * expiry),
			},
		},
	}
	if !l.options.disabled.fence {
		tx.Checks = []store.Check{
			{
				Key:     l.groupKey,
				Version: l.version,
			},
		}
	}
	return tx
}
