package claim

import (
	"context"
	"fmt"
	"time"

	"skylarkbeam/store"
)

// run commits groups until the manager is closed.
func (m *Manager) run() {
	defer close(m.done)
	defer m.refuseQueued()
	m.commitGroup() // Write the group row before the first call.
	for {
		m.waitForRecovery()
		select {
		case <-m.wake:
			if m.waitForInterval() {
				m.commitGroup()
			}
		case <-m.stop:
			m.flush()
			return
		}
	}
}

// waitForRecovery probes a table that is down until it responds or the manager is closed.
func (m *Manager) waitForRecovery() {
	if !m.isDown() {
		return
	}
	probe := m.options.Timers.Every("claim probe", outageProbeInterval)
	defer probe.Stop()
	for m.isDown() {
		select {
		case <-probe.C:
			m.probeTable()
		case <-m.stop:
			return
		}
	}
}

// flush commits the queued writes when the manager closes.
func (m *Manager) flush() {
	deadline := m.options.Timers.Now().Add(closeTimeout)
	for m.queueLength() > 0 || m.pending != nil {
		if m.options.Timers.Now().After(deadline) {
			return
		}
		if m.isDown() {
			m.probeTable()
			m.pacer.reserve(m.options.Timers.Now())
		} else {
			m.commitGroup()
		}
		time.Sleep(m.pacer.nextStart.Sub(m.options.Timers.Now()))
	}
}

func (m *Manager) queueLength() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.queue)
}

func (m *Manager) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down
}

// waitForInterval waits until the next transaction may start. It returns false if the manager is closed meanwhile or
// was closed during an outage.
func (m *Manager) waitForInterval() bool {
	if m.isDown() {
		return false
	}
	wait := m.pacer.nextStart.Sub(m.options.Timers.Now())
	if wait <= 0 || m.options.disabled.grouping {
		return true
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-m.stop:
		return false
	}
}

// commitGroup commits the next group of queued writes. After a conflict it retries at once without the conflicting
// writes.
func (m *Manager) commitGroup() {
	writes := m.dequeueGroup()
	if !m.ensureGroupRow() {
		m.requeue(writes)
		m.markDown()
		return
	}
	for len(writes) > 0 {
		writes = m.commitWrites(writes)
	}
	m.wakeIfQueued()
}

// dequeueGroup removes the writes of the next group from the queue.
func (m *Manager) dequeueGroup() []*write {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := maxGroupWrites
	if m.options.disabled.grouping {
		limit = 1
	}
	var writes []*write
	for len(m.queue) > 0 && len(writes) < limit {
		w := m.queue[0]
		m.queue = m.queue[1:]
		if w.isAcquisition() && w.decided {
			m.discardLocked(w)
			continue
		}
		writes = append(writes, w)
	}
	return writes
}

// discardLocked refuses a call whose claim certainly is not in the table. The caller must hold m.mu.
func (m *Manager) discardLocked(w *write) {
	w.decide(unavailable())
	delete(m.keys, w.key)
}

func (m *Manager) requeue(writes []*write) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queue = append(writes, m.queue...)
}

func (m *Manager) wakeIfQueued() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.queue) > 0 {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
}

func (m *Manager) nextNonce() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastSequence++
	return fmt.Sprintf("%s.%d", m.options.Incarnation, m.lastSequence)
}

// ensureGroupRow writes the group row if its version is unknown. No claim depends on the check that the row is absent,
// because that check, unlike the check of a version, can succeed again.
func (m *Manager) ensureGroupRow() bool {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	for m.groupVersion == 0 {
		if ctx.Err() != nil {
			return false
		}
		now := m.options.Timers.Now()
		m.pacer.reserve(now)
		result, err := m.commit(ctx, m.fenceTransaction(m.nextNonce(), now))
		if err != nil {
			if store.KindOf(err) != store.Ambiguous {
				return false
			}
			sleepContext(ctx, retryInterval)
			continue
		}
		m.updateGroupVersion(result)
	}
	return true
}

// updateGroupVersion sets the version of the group row from the result of a transaction.
func (m *Manager) updateGroupVersion(result store.Result) {
	switch r := result.(type) {
	case *store.Committed:
		m.groupVersion = r.Versions[m.groupKey]
	case *store.Conflict:
		for _, row := range r.Rows {
			if row.Key == m.groupKey {
				m.groupVersion = row.Version
			}
		}
	}
}

func (m *Manager) commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	transactionsTotal.Inc()
	return m.options.Table.Commit(ctx, tx)
}

// commitWrites commits one group and returns the writes to retry at once.
func (m *Manager) commitWrites(writes []*write) []*write {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	g := &group{
		nonce:  m.nextNonce(),
		start:  m.options.Timers.Now(),
		writes: writes,
	}
	m.pacer.reserve(g.start)
	result, err := m.commit(ctx, m.groupTransaction(g))
	if err != nil {
		m.handleCommitError(ctx, g, err)
		return nil
	}
	m.pacer.speedUp()
	switch r := result.(type) {
	case *store.Committed:
		m.updateGroupVersion(r)
		m.settleCommitted(g, r.Versions)
		return nil
	case *store.Conflict:
		return m.settleConflicts(ctx, g, r)
	default:
		panic(fmt.Sprintf("unknown result %T", result))
	}
}

// handleCommitError handles the error of a group's transaction.
func (m *Manager) handleCommitError(ctx context.Context, g *group, err error) {
	switch store.KindOf(err) {
	case store.Throttled:
		m.pacer.slowDown()
		m.requeue(g.writes)
	case store.Unavailable:
		m.requeue(g.writes)
		m.markDown()
	case store.Invalid, store.NotFound:
		// The platform will never accept this group, so its calls are refused instead of retried.
		m.pacer.slowDown()
		m.requeue(g.writes)
		m.refuseQueued()
	default:
		lostTotal.Inc()
		m.pending = g
		m.resolve(ctx)
	}
}

// settleConflicts settles the conflicting writes and returns the remaining ones.
func (m *Manager) settleConflicts(ctx context.Context, g *group, c *store.Conflict) []*write {
	rows := map[string]store.Row{}
	for _, row := range c.Rows {
		rows[row.Key] = row
	}
	if row, ok := rows[m.groupKey]; ok {
		if decodeGroupNonce(row) == g.nonce {
			// The transaction was delivered twice.
			m.pending = g
			m.resolve(ctx)
			return nil
		}
		m.groupVersion = row.Version
		if !m.ensureGroupRow() {
			m.requeue(g.writes)
			m.markDown()
			return nil
		}
		return g.writes
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	remaining := make([]*write, 0, len(g.writes))
	for _, w := range g.writes {
		if row, ok := rows[claimPrefix+w.key]; ok {
			m.settleConflictLocked(w, row)
		} else {
			remaining = append(remaining, w)
		}
	}
	return remaining
}

// settleConflictLocked settles a write that conflicted with row r. The caller must hold m.mu.
func (m *Manager) settleConflictLocked(w *write, r store.Row) {
	delete(m.keys, w.key)
	if !w.isAcquisition() {
		lapsedTotal.Inc()
		return
	}
	if r.Version == 0 {
		w.decide(unavailable()) // The row was deleted after the check.
		return
	}
	w.decide(decodeClaimRow(r).decide(w.row.Digest))
}

// settleCommitted settles a group that is in the table.
func (m *Manager) settleCommitted(g *group, versions map[string]uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range g.writes {
		version := versions[claimPrefix+w.key]
		switch {
		case !w.isAcquisition():
			delete(m.keys, w.key)
		case version == 0:
			m.discardLocked(w) // The claim expired before it was read back.
		case w.decided:
			m.releaseUnusedLocked(w, version)
		default:
			m.grantLocked(g, w, version)
		}
	}
}

// grantLocked grants the claim of a committed write. The caller must hold m.mu.
func (m *Manager) grantLocked(g *group, w *write, version uint64) {
	m.keys[w.key] = keyState{
		row:   *w.row,
		phase: phaseGranted,
	}
	w.decide(&Granted{
		Claim: &Claim{
			manager:          m,
			key:              w.key,
			row:              *w.row,
			version:          version,
			dispatchDeadline: g.start.Add(claimExpiry - expiryMargin),
		},
	})
}

// releaseUnusedLocked releases a claim that is in the table although its call was refused. The caller must hold m.mu.
func (m *Manager) releaseUnusedLocked(w *write, version uint64) {
	freedTotal.Inc()
	m.enqueueLocked(&write{
		key:     w.key,
		version: version,
	})
}
