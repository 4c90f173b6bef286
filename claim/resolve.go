package claim

import (
	"context"
	"time"

	"go.uber.org/zap"

	"skylarkbeam/store"
)

// retryInterval is the pause before the retry of a request that failed although the table is not down, for example
// because it was throttled.
const retryInterval = 20 * time.Millisecond

// resolve determines whether the pending group is in the table. If ctx ends first, the calls of the group are refused
// and the group stays pending.
func (m *Manager) resolve(ctx context.Context) {
	for ctx.Err() == nil {
		committed, known, err := m.readBack(ctx, m.pending)
		if known {
			m.settlePending(committed)
			return
		}
		if store.KindOf(err) == store.Unavailable {
			break
		}
		if err != nil {
			sleepContext(ctx, retryInterval)
		}
	}
	m.markDown()
}

// readBack reads the group row and the rows of a group. The group is in the table if the group row has its nonce. It is
// not, and never will be, if the group row has another version than the group's transaction checks. While the row still
// has that version, readBack writes it, so that the group can no longer take effect.
func (m *Manager) readBack(ctx context.Context, g *group) (committed map[string]uint64, known bool, err error) {
	if m.options.disabled.readBack {
		return nil, true, nil
	}
	rows, err := m.options.Table.Get(ctx, append(g.keys(), m.groupKey))
	if err != nil {
		return nil, false, err
	}
	groupState := rows[m.groupKey]
	switch {
	case decodeGroupNonce(groupState) == g.nonce:
		m.groupVersion = groupState.Version
		return committedVersions(g, rows), true, nil
	case groupState.Version != m.groupVersion || m.options.disabled.fence:
		m.groupVersion = groupState.Version
		return nil, true, nil
	}
	now := m.options.Timers.Now()
	m.pacer.reserve(now)
	result, err := m.commit(ctx, m.fenceTransaction(m.nextNonce(), now))
	if err != nil {
		return nil, false, err
	}
	if fence, ok := result.(*store.Committed); ok {
		fencedTotal.Inc()
		m.updateGroupVersion(fence)
		return nil, true, nil
	}
	return nil, false, nil // The group row was written after the read, so the next read is conclusive.
}

// committedVersions returns the versions of the rows that the group has put, by key.
func committedVersions(g *group, rows map[string]store.Row) map[string]uint64 {
	versions := map[string]uint64{}
	for _, w := range g.writes {
		key := claimPrefix + w.key
		if row, ok := rows[key]; ok && w.row != nil && decodeClaimRow(row).Nonce == w.row.Nonce {
			versions[key] = row.Version
		}
	}
	return versions
}

// settlePending settles the pending group. Committed holds the versions of its rows, or is nil if the group certainly
// is not in the table.
func (m *Manager) settlePending(committed map[string]uint64) {
	g := m.pending
	m.pending = nil
	if committed != nil {
		m.settleCommitted(g, committed)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var requeued []*write
	for _, w := range g.writes {
		if w.isAcquisition() && w.decided {
			m.discardLocked(w)
			continue
		}
		requeued = append(requeued, w)
	}
	m.queue = append(requeued, m.queue...)
}

// markDown refuses all waiting calls, and all later ones until a probe succeeds.
func (m *Manager) markDown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.down {
		outagesTotal.Inc()
		m.options.Log.Warn("claim table is unavailable; claims are refused", zap.String("entry", m.options.Entry))
	}
	m.down = true
	if !m.options.disabled.refusal {
		m.refuseQueuedLocked()
	}
	if m.pending == nil {
		return
	}
	for _, w := range m.pending.writes {
		if w.isAcquisition() {
			m.giveUpLocked(w)
		}
	}
}

// probeTable reads from a table that was down and settles the pending group.
func (m *Manager) probeTable() {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	if m.pending != nil {
		m.resolve(ctx)
		if m.pending != nil {
			return
		}
	} else if _, err := m.options.Table.Get(ctx, []string{m.groupKey}); err != nil {
		return
	}
	m.mu.Lock()
	m.down = false
	m.mu.Unlock()
	m.options.Log.Info("claim table is available again", zap.String("entry", m.options.Entry))
	m.wakeIfQueued()
}

// sleepContext sleeps for d or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
