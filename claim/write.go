package claim

import (
	"time"

	"skylarkbeam/store"
)

// write is one change to the row of a claim. An acquisition has a decision channel; a release has no row.
type write struct {
	key     string
	version uint64 // that the row must have; 0 for an acquisition
	row     *claimRow
	// decision and decided are guarded by Manager.mu. An acquisition that is decided before its effect is known is
	// released if it turns out to be in the table.
	decision chan Decision
	decided  bool
}

func (w *write) isAcquisition() bool { return w.decision != nil }

// decide sends the decision to the waiting call unless it already has one.
func (w *write) decide(d Decision) {
	if !w.decided {
		w.decided = true
		w.decision <- d
	}
}

// group is a set of writes that are committed in one transaction.
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

// maxGroupWrites leaves room for the group row. Each write, including that of the group row, takes one check and one
// put or delete.
const maxGroupWrites = store.MaxTransactionOps/2 - 1

// groupTransaction returns the transaction that commits a group.
func (m *Manager) groupTransaction(g *group) store.Transaction {
	tx := m.fenceTransaction(g.nonce, g.start)
	for _, w := range g.writes {
		key := claimPrefix + w.key
		if !m.options.disabled.versionChecks {
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
			Value:  encodeRow(w.row),
			Expiry: g.start.Add(m.options.disabled.expiry),
		})
	}
	return tx
}

// fenceTransaction returns a transaction that writes only the group row. The row outlives the claims so that it is
// still there when the manager needs it.
func (m *Manager) fenceTransaction(nonce string, now time.Time) store.Transaction {
	tx := store.Transaction{
		Puts: []store.Put{
			{
				Key: m.groupKey,
				Value: encodeRow(groupRow{
					Nonce: nonce,
				}),
				Expiry: now.Add(2 * claimExpiry),
			},
		},
	}
	if !m.options.disabled.fence {
		tx.Checks = []store.Check{
			{
				Key:     m.groupKey,
				Version: m.groupVersion,
			},
		}
	}
	return tx
}
