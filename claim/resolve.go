package claim

import (
	"context"
	"time"

	"go.uber.org/zap"

	"skylarkbeam/store"
)

// retryPause is the pause before a request is repeated that failed although the table is not down, as when it is
// throttled.
const retryPause = 20 * time.Millisecond

// resolve finds out whether the pending group is in the table. If ctx ends first, the calls of the group are refused
// and the group stays pending.
func (l *Manager) resolve(ctx context.Context) {
	for ctx.Err() == nil {
		landed, known, err := l.lookUp(ctx, l.pending)
		if known {
			l.settle(landed)
			return
		}
		if store.KindOf(err) == store.Unavailable {
			break
		}
		if err != nil {
			sleep(ctx, retryPause)
		}
	}
	l.goDown()
}

// lookUp reads the group row and the rows of a group. The group is in the table if the group row has its nonce. It is
// not, and never will be, if the group row has another version than the group's transaction demands; while it still
// has that version, writing the group row brings this about.
func (l *Manager) lookUp(ctx context.Context, g *group) (landed map[string]uint64, known bool, err error) {
	if l.options.disabled.readBack {
		return nil, true, nil
	}
	rows, err := l.options.Table.Get(ctx, append(g.keys(), l.groupKey))
	if err != nil {
		return nil, false, err
	}
	groupRow := rows[l.groupKey]
	switch {
	case readGroup(groupRow) == g.nonce:
		l.version = groupRow.Version
		return versionsOf(g, rows), true, nil
	case groupRow.Version != l.version || l.options.disabled.fence:
		l.version = groupRow.Version
		return nil, true, nil
	}
	now := l.options.Timers.Now()
	l.pace.spend(now)
	result, err := l.commit(ctx, l.fence(l.nonce(), now))
	if err != nil {
		return nil, false, err
	}
	if committed, ok := result.(*store.Committed); ok {
		fenced.Inc()
		l.adopt(committed)
		return nil, true, nil
	}
	return nil, false, nil // The group row was written since the read, so the next read tells.
}

// versionsOf returns the versions of the rows that the group has put, by key.
func versionsOf(g *group, rows map[string]store.Row) map[string]uint64 {
	versions := map[string]uint64{}
	for _, w := range g.writes {
		key := claimPrefix + w.key
		if row, ok := rows[key]; ok && w.row != nil && readRow(row).Nonce == w.row.Nonce {
			versions[key] = row.Version
		}
	}
	return versions
}

// settle ends the pending group: landed has the versions of its rows, or is nil if it is certainly not in the table.
func (l *Manager) settle(landed map[string]uint64) {
	g := l.pending
	l.pending = nil
	if landed != nil {
		l.landed(g, landed)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var again []*write
	for _, w := range g.writes {
		if w.isTake() && w.answered {
			l.drop(w)
			continue
		}
		again = append(again, w)
	}
	l.queue = append(again, l.queue...)
}

// goDown refuses all calls that wait and all later ones until a probe is answered.
func (l *Manager) goDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.down {
		outages.Inc()
		l.options.Log.Warn("the table is down; claims are refused", zap.String("entry", l.options.Entry))
	}
	l.down = true
	if !l.options.disabled.refuse {
		l.refuseQueued()
	}
	if l.pending == nil {
		return
	}
	for _, w := range l.pending.writes {
		if w.isTake() {
			l.giveUp(w)
		}
	}
}

// probe reads from a table that was down and settles the pending group.
func (l *Manager) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	if l.pending != nil {
		l.resolve(ctx)
		if l.pending != nil {
			return
		}
	} else if _, err := l.options.Table.Get(ctx, []string{l.groupKey}); err != nil {
		return
	}
	l.mu.Lock()
	l.down = false
	l.mu.Unlock()
	l.options.Log.Info("the table is back", zap.String("entry", l.options.Entry))
	l.wakeIfQueued()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
