package feed

import (
	"context"
	"slices"
	"sync"
	"time"
)

// keptDeletions bounds the deletions that a Table remembers in order to pass them on. An entry that lacks older ones gets
// the whole table.
const keptDeletions = 512

// Table is the copy of one table. It is safe for concurrent use.
type Table struct {
	name string

	mu      sync.RWMutex
	rows    map[string]Row
	deleted map[string]Row
	// complete is the version up to which all changes are known, horizon the one from which on all deletions are.
	complete uint64
	horizon  uint64
	latest   uint64
	loaded   bool
	// confirmed is when the last batch was applied.
	confirmed time.Time
	// changed is closed by the next change of a row.
	changed chan struct{}
}

// NewTable returns an empty copy of the table with the name.
func NewTable(name string) *Table {
	return &Table{
		name:    name,
		rows:    map[string]Row{},
		deleted: map[string]Row{},
		changed: make(chan struct{}),
	}
}

// Name returns the name of the table.
func (t *Table) Name() string { return t.name }

// Rows returns all rows by key.
func (t *Table) Rows() map[string]Row {
	t.mu.RLock()
	defer t.mu.RUnlock()
	rows := make(map[string]Row, len(t.rows))
	for key, row := range t.rows {
		rows[key] = row
	}
	return rows
}

// Loaded tells whether the table has ever been read.
func (t *Table) Loaded() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.loaded
}

// CompleteVersion returns the version up to which all changes are known.
func (t *Table) CompleteVersion() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.complete
}

// ConfirmedAt returns when the copy was last known to be current, zero if never.
func (t *Table) ConfirmedAt() time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.confirmed
}

// LatestVersion returns the version of the newest change of a row. Copies with the same rows have the same latest version, even
// if one of them has been confirmed later.
func (t *Table) LatestVersion() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.latest
}

// Apply takes over a batch and tells whether any row has changed.
func (t *Table) Apply(b Batch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, row := range b.Rows {
		changed = t.put(row) || changed
	}
	if b.Whole && b.Version >= t.complete {
		changed = t.dropMissing(b) || changed
		t.loaded = true
	}
	t.complete = max(t.complete, b.Version)
	t.confirmed = time.Now()
	if changed {
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return changed
}

// Watch returns what a copy that is complete up to the given version lacks as soon as there is anything, and what there is
// after the given time or at the end of ctx.
func (t *Table) Watch(ctx context.Context, after uint64, limit time.Duration) Batch {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		t.mu.RLock()
		news, changed := t.latest > after || after < t.horizon, t.changed
		t.mu.RUnlock()
		if news {
			return t.ChangesSince(after)
		}
		select {
		case <-changed:
		case <-timer.C:
			return t.ChangesSince(after)
		case <-ctx.Done():
			return t.ChangesSince(after)
		}
	}
}

// put takes over one row unless a newer one is known. The caller holds the lock.
func (t *Table) put(row Row) bool {
	if row.Version <= t.rows[row.Key].Version || row.Version <= t.deleted[row.Key].Version {
		return false
	}
	t.latest = max(t.latest, row.Version)
	if row.Deleted {
		delete(t.rows, row.Key)
		t.deleted[row.Key] = row
		t.forget()
		return true
	}
	delete(t.deleted, row.Key)
	t.rows[row.Key] = row
	return true
}

// dropMissing deletes the rows that a whole batch lacks. The caller holds the lock.
func (t *Table) dropMissing(b Batch) bool {
	keys := make(map[string]bool, len(b.Rows))
	for _, row := range b.Rows {
		keys[row.Key] = true
	}
	changed := false
	for key, row := range t.rows {
		if keys[key] || row.Version > b.Version {
			continue
		}
		changed = t.put(Row{
			Key:     key,
			Version: b.Version,
			Deleted: true,
		}) || changed
	}
	if !t.loaded {
		t.horizon = b.Version
	}
	return changed
}

// forget drops the oldest deletions beyond keptDeletions. The caller holds the lock.
func (t *Table) forget() {
	if len(t.deleted) <= keptDeletions {
		return
	}
	versions := make([]uint64, 0, len(t.deleted))
	for _, row := range t.deleted {
		versions = append(versions, row.Version)
	}
	slices.Sort(versions)
	t.horizon = max(t.horizon, versions[len(versions)/2])
	for key, row := range t.deleted {
		if row.Version <= t.horizon {
			delete(t.deleted, key)
		}
	}
}

// ChangesSince returns what a copy that is complete up to the given version lacks, which is the whole table if older deletions
// are no longer known.
func (t *Table) ChangesSince(after uint64) Batch {
	t.mu.RLock()
	defer t.mu.RUnlock()
	b := Batch{
		Rows:    []Row{},
		Version: t.complete,
		Whole:   after < t.horizon,
	}
	for _, row := range t.rows {
		if b.Whole || row.Version > after {
			b.Rows = append(b.Rows, row)
		}
	}
	if !b.Whole {
		for _, row := range t.deleted {
			if row.Version > after {
				b.Rows = append(b.Rows, row)
			}
		}
	}
	return b
}
