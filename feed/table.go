package feed

import (
	"context"
	"slices"
	"sync"
	"time"
)

// maxTombstones limits the deletions that a Table keeps to pass on to other entries. A replica that lacks older
// deletions gets the whole table.
const maxTombstones = 512

// lateUnit is the unit of Batch.Late.
const lateUnit = 10 * time.Millisecond

// Table is a replica of one table. It is safe for concurrent use.
type Table struct {
	name string

	mu         sync.RWMutex
	rows       map[string]Row
	tombstones map[string]deletion
	// completeVersion is the version up to which all changes are known. tombstonesSince is the version after which all
	// deletions are known.
	completeVersion uint64
	tombstonesSince uint64
	latestVersion   uint64
	// revision counts the changes of rows.
	revision uint64
	loaded   bool
	// confirmedAt is when the last batch was applied.
	confirmedAt time.Time
	// changed is closed and replaced whenever a row changes.
	changed chan struct{}
}

// deletion is a deleted row. deletedAt is the earliest time at which it can have been deleted.
type deletion struct {
	row       Row
	deletedAt time.Time
}

// NewTable returns an empty replica of the named table.
func NewTable(name string) *Table {
	return &Table{
		name:       name,
		rows:       map[string]Row{},
		tombstones: map[string]deletion{},
		changed:    make(chan struct{}),
	}
}

// Name returns the name of the table.
func (t *Table) Name() string { return t.name }

// Rows returns a copy of all rows by key.
func (t *Table) Rows() map[string]Row {
	t.mu.RLock()
	defer t.mu.RUnlock()
	rows := make(map[string]Row, len(t.rows))
	for key, row := range t.rows {
		rows[key] = row
	}
	return rows
}

// Loaded reports whether the whole table has been read at least once.
func (t *Table) Loaded() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.loaded
}

// CompleteVersion returns the version up to which all changes are known.
func (t *Table) CompleteVersion() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.completeVersion
}

// ConfirmedAt returns when the replica was last known to be up to date, or the zero time if it never was.
func (t *Table) ConfirmedAt() time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.confirmedAt
}

// LatestVersion returns the version of the newest row change. Replicas with equal rows have equal latest versions,
// even if their complete versions differ.
func (t *Table) LatestVersion() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.latestVersion
}

// Revision returns a number that grows whenever a row changes.
func (t *Table) Revision() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.revision
}

// Apply merges a batch and reports whether any row has changed. A batch of an earlier era than that of the table has no
// effect. Neither do changes in a later one, because only the whole table tells which rows are gone since.
func (t *Table) Apply(b Batch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era := Era(t.completeVersion); Era(b.Version) < era || t.loaded && !b.Whole && Era(b.Version) > era {
		return false
	}
	changed := false
	now := time.Now()
	deletedAt := now.Add(-b.Lateness())
	for _, row := range b.Rows {
		changed = t.applyRow(row, deletedAt) || changed
	}
	if b.Whole && b.Version >= t.completeVersion {
		changed = t.deleteMissing(b, deletedAt) || changed
		t.loaded = true
	}
	t.completeVersion = max(t.completeVersion, b.Version)
	t.confirmedAt = now
	if changed {
		t.revision++
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return changed
}

// Watch returns the changes after a version. It returns as soon as there is a change, and with whatever there is after
// the timeout or at the end of ctx.
func (t *Table) Watch(ctx context.Context, after uint64, timeout time.Duration) Batch {
	t.Wait(ctx, after, timeout)
	return t.ChangesSince(after)
}

// Wait returns as soon as there is a change after a version, after the timeout, or at the end of ctx.
func (t *Table) Wait(ctx context.Context, after uint64, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		t.mu.RLock()
		behind, changed := t.latestVersion > after || after < t.tombstonesSince, t.changed
		t.mu.RUnlock()
		if behind {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// applyRow stores a row unless a newer version of it is known. The caller holds the lock.
func (t *Table) applyRow(row Row, deletedAt time.Time) bool {
	if row.Version <= t.rows[row.Key].Version || row.Version <= t.tombstones[row.Key].row.Version {
		return false
	}
	t.latestVersion = max(t.latestVersion, row.Version)
	if row.Deleted {
		delete(t.rows, row.Key)
		t.tombstones[row.Key] = deletion{
			row:       row,
			deletedAt: deletedAt,
		}
		t.pruneTombstones()
		return true
	}
	delete(t.tombstones, row.Key)
	t.rows[row.Key] = row
	return true
}

// deleteMissing deletes the rows that are missing from a batch with the whole table. The caller holds the lock.
func (t *Table) deleteMissing(b Batch, deletedAt time.Time) bool {
	keys := make(map[string]bool, len(b.Rows))
	for _, row := range b.Rows {
		keys[row.Key] = true
	}
	changed := false
	for key, row := range t.rows {
		if keys[key] || row.Version > b.Version {
			continue
		}
		changed = t.applyRow(Row{
			Key:     key,
			Version: b.Version,
			Deleted: true,
		}, deletedAt) || changed
	}
	if !t.loaded {
		t.tombstonesSince = b.Version
	}
	return changed
}

// pruneTombstones drops the older half of the tombstones once there are more than maxTombstones. The caller holds the
// lock.
func (t *Table) pruneTombstones() {
	if len(t.tombstones) <= maxTombstones {
		return
	}
	versions := make([]uint64, 0, len(t.tombstones))
	for _, deleted := range t.tombstones {
		versions = append(versions, deleted.row.Version)
	}
	slices.Sort(versions)
	t.tombstonesSince = max(t.tombstonesSince, versions[len(versions)/2])
	for key, deleted := range t.tombstones {
		if deleted.row.Version <= t.tombstonesSince {
			delete(t.tombstones, key)
		}
	}
}

// ChangesSince returns the changes after a version, or the whole table if the version is 0 or of an earlier era, or if the
// deletions since then are no longer known. A replica that knows nothing asks for the changes after 0. All that there are
// make up the whole table, and must be marked as such, or the replica would never count as loaded.
func (t *Table) ChangesSince(after uint64) Batch {
	t.mu.RLock()
	defer t.mu.RUnlock()
	b := Batch{
		Rows:    []Row{},
		Version: t.completeVersion,
		Whole:   after == 0 || after < t.tombstonesSince || Era(after) < Era(t.completeVersion),
	}
	for _, row := range t.rows {
		if b.Whole || row.Version > after {
			b.Rows = append(b.Rows, row)
		}
	}
	if b.Whole {
		return b
	}
	now := time.Now()
	for _, deleted := range t.tombstones {
		if deleted.row.Version > after {
			b.Rows = append(b.Rows, deleted.row)
			b.SetLateness(max(b.Lateness(), now.Sub(deleted.deletedAt)))
		}
	}
	return b
}

// DeletedAt returns the earliest time at which a row can have been deleted. ok is false if that is not known.
func (t *Table) DeletedAt(key string) (at time.Time, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	deleted, ok := t.tombstones[key]
	return deleted.deletedAt, ok
}

// Lateness returns how long ago the oldest of the deletions may have been made.
func (b Batch) Lateness() time.Duration { return time.Duration(b.Late) * lateUnit }

// SetLateness sets what Lateness returns, rounded up.
func (b *Batch) SetLateness(d time.Duration) { b.Late = int((d + lateUnit - 1) / lateUnit) }
