package claim

import (
	"context"
	"fmt"
	"time"

	"skylarkbeam/store"
)

// run writes groups until the ledger is closed.
func (l *Manager) run() {
	defer close(l.done)
	defer l.refuseAll()
	l.commitGroup() // Registers the ledger before the first call comes.
	for {
		l.waitOutage()
		select {
		case <-l.wake:
			if l.waitTurn() {
				l.commitGroup()
			}
		case <-l.stop:
			l.drain()
			return
		}
	}
}

// waitOutage probes a table that is down until it answers or the ledger is closed.
func (l *Manager) waitOutage() {
	if !l.isDown() {
		return
	}
	probe := l.options.Timers.Every("claim probe", probeInterval)
	defer probe.Stop()
	for l.isDown() {
		select {
		case <-probe.C:
			l.probe()
		case <-l.stop:
			return
		}
	}
}

// drain writes what is queued when the ledger closes.
func (l *Manager) drain() {
	deadline := l.options.Timers.Now().Add(closeLimit)
	for l.queued() > 0 || l.pending != nil {
		if l.options.Timers.Now().After(deadline) {
			return
		}
		if l.isDown() {
			l.probe()
			l.pace.spend(l.options.Timers.Now())
		} else {
			l.commitGroup()
		}
		time.Sleep(l.pace.next.Sub(l.options.Timers.Now()))
	}
}

func (l *Manager) queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

func (l *Manager) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

// waitTurn waits until the next transaction may start. It returns false if the ledger is closed meanwhile, or was closed
// during an outage.
func (l *Manager) waitTurn() bool {
	if l.isDown() {
		return false
	}
	wait := l.pace.next.Sub(l.options.Timers.Now())
	if wait <= 0 || l.options.disabled.group {
		return true
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.stop:
		return false
	}
}

// commitGroup commits what is queued. A group that conflicts is retried at once without the writes that conflicted.
func (l *Manager) commitGroup() {
	writes := l.collect()
	if !l.register() {
		l.requeue(writes)
		l.goDown()
		return
	}
	for len(writes) > 0 {
		writes = l.attempt(writes)
	}
	l.wakeIfQueued()
}

// collect takes the next writes from the queue.
func (l *Manager) collect() []*write {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := maxWrites
	if l.options.disabled.group {
		limit = 1
	}
	var writes []*write
	for len(l.queue) > 0 && len(writes) < limit {
		w := l.queue[0]
		l.queue = l.queue[1:]
		if w.isTake() && w.answered {
			l.drop(w)
			continue
		}
		writes = append(writes, w)
	}
	return writes
}

// drop ends a take that is certainly not in the table.
func (l *Manager) drop(w *write) {
	w.reply(unavailable())
	delete(l.held, w.key)
}

func (l *Manager) requeue(writes []*write) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(writes, l.queue...)
}

func (l *Manager) wakeIfQueued() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) > 0 {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

func (l *Manager) nonce() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	return fmt.Sprintf("%s.%d", l.options.Incarnation, l.sequence)
}

// register writes the group row if its version is not known. No claim depends on the check that the row is absent,
// because that check, unlike one for a version, could hold again.
func (l *Manager) register() bool {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for l.version == 0 {
		if ctx.Err() != nil {
			return false
		}
		now := l.options.Timers.Now()
		l.pace.spend(now)
		result, err := l.commit(ctx, l.fence(l.nonce(), now))
		if err != nil {
			if store.KindOf(err) != store.Ambiguous {
				return false
			}
			sleep(ctx, retryPause)
			continue
		}
		l.adopt(result)
	}
	return true
}

// adopt takes over the version of the group row from the result of a transaction.
func (l *Manager) adopt(result store.Result) {
	switch r := result.(type) {
	case *store.Committed:
		l.version = r.Versions[l.groupKey]
	case *store.Conflict:
		for _, row := range r.Rows {
			if row.Key == l.groupKey {
				l.version = row.Version
			}
		}
	}
}

func (l *Manager) commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	transactions.Inc()
	return l.options.Table.Commit(ctx, tx)
}

// attempt commits one group and returns the writes to retry at once.
func (l *Manager) attempt(writes []*write) []*write {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	g := &group{
		nonce:  l.nonce(),
		start:  l.options.Timers.Now(),
		writes: writes,
	}
	l.pace.spend(g.start)
	result, err := l.commit(ctx, l.transaction(g))
	if err != nil {
		l.failed(ctx, g, err)
		return nil
	}
	l.pace.accepted()
	switch r := result.(type) {
	case *store.Committed:
		l.adopt(r)
		l.landed(g, r.Versions)
		return nil
	case *store.Conflict:
		return l.split(ctx, g, r)
	default:
		panic(fmt.Sprintf("unknown result %T", result))
	}
}

func (l *Manager) failed(ctx context.Context, g *group, err error) {
	switch store.KindOf(err) {
	case store.Throttled:
		l.pace.throttled()
		l.requeue(g.writes)
	case store.Unavailable:
		l.requeue(g.writes)
		l.goDown()
	case store.Invalid, store.NotFound:
		// The platform rejects this group for good, so its calls are refused instead of retried.
		l.pace.throttled()
		l.requeue(g.writes)
		l.refuseAll()
	default:
		lost.Inc()
		l.pending = g
		l.resolve(ctx)
	}
}

// split settles the writes that conflicted and returns the others.
func (l *Manager) split(ctx context.Context, g *group, c *store.Conflict) []*write {
	rows := map[string]store.Row{}
	for _, row := range c.Rows {
		rows[row.Key] = row
	}
	if row, ok := rows[l.groupKey]; ok {
		if readGroup(row) == g.nonce {
			// The transaction was delivered twice.
			l.pending = g
			l.resolve(ctx)
			return nil
		}
		l.version = row.Version
		if !l.register() {
			l.requeue(g.writes)
			l.goDown()
			return nil
		}
		return g.writes
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	others := make([]*write, 0, len(g.writes))
	for _, w := range g.writes {
		if row, ok := rows[claimPrefix+w.key]; ok {
			l.conflicted(w, row)
		} else {
			others = append(others, w)
		}
	}
	return others
}

func (l *Manager) conflicted(w *write, r store.Row) {
	delete(l.held, w.key)
	if !w.isTake() {
		lapsed.Inc()
		return
	}
	if r.Version == 0 {
		w.reply(unavailable()) // The row has gone since the check.
		return
	}
	w.reply(readRow(r).decide(w.row.Digest))
}

// landed settles a group that is in the table.
func (l *Manager) landed(g *group, versions map[string]uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range g.writes {
		version := versions[claimPrefix+w.key]
		switch {
		case !w.isTake():
			delete(l.held, w.key)
		case version == 0:
			l.drop(w) // The claim has expired before it was read back.
		case w.answered:
			l.free(w, version)
		default:
			l.grant(g, w, version)
		}
	}
}

func (l *Manager) grant(g *group, w *write, version uint64) {
	l.held[w.key] = holding{
		row:   *w.row,
		phase: phaseGranted,
	}
	w.reply(&Granted{
		Claim: &Claim{
			ledger:  l,
			key:     w.key,
			row:     *w.row,
			version: version,
			until:   g.start.Add(expiry - expiryMargin),
		},
	})
}

// free deletes a claim that is in the table although its call was refused.
func (l *Manager) free(w *write, version uint64) {
	freed.Inc()
	l.push(&write{
		key:     w.key,
		version: version,
	})
}
