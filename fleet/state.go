package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/setting"
	"skylarkbeam/store"
)

// Keys of the rows that this package writes.
const (
	headKey       = "state/head"
	logPrefix     = "state/log/"
	changePrefix  = "state/change/"
	rosterKey     = "fleet"
	markKey       = "fleet/version"
	beatPrefix    = "beat/"
	warmPrefix    = "warm/"
	objectPrefix  = "settings/"
	logExpiry     = 30 * 24 * time.Hour
	receiptExpiry = 24 * time.Hour
)

// State is the accepted state that this entry runs. It must not be modified.
type State struct {
	// Version grows by one with each write, neutral ones included.
	Version uint64
	// BaseVersion is the version of the last change; a caller passes it on to say which state its own change is based on.
	BaseVersion uint64
	// Settings are the bytes that Apply was given, nil before the first one.
	Settings []byte
	// ParsedSettings are the settings of a state that a Follower has read from tables, nil in any other.
	ParsedSettings *setting.Settings
	// RegisteredTargets are the targets that have registered themselves; Parsed has none then.
	RegisteredTargets []RegisteredTarget
	// DrainedDomains and Targets are drained, sorted by name.
	DrainedDomains []string
	DrainedTargets []string
	// Who made the last change, What it was, and When by the clock of the entry that wrote it.
	Who  string
	What string
	When time.Time

	document Document
}

func newState(doc Document, settings []byte) *State {
	return &State{
		Version:        doc.Version,
		BaseVersion:    doc.Origin,
		Settings:       settings,
		DrainedDomains: doc.Domains,
		DrainedTargets: doc.Targets,
		Who:            doc.Who,
		What:           doc.What,
		When:           doc.When,
		document:       doc,
	}
}

// State returns the accepted state that this entry runs; its version is 0 before anything was accepted or read.
func (f *Fleet) State() *State { return f.state.Load() }

// Changed returns a channel that is closed at the next change of the state or of the members. Take the channel first
// and look at State afterwards, then no change is missed.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

func objectName(settings []byte) string {
	sum := sha256.Sum256(settings)
	return objectPrefix + hex.EncodeToString(sum[:])
}

// table is what one read of the table showed, with the row versions that a write based on it must check.
type table struct {
	start    time.Time
	document Document
	headRow  uint64
	roster   Roster
	markRow  uint64
	rows     map[string]store.Row
}

// checks makes a write fail if the head or the roster has changed since the read.
func (t table) checks() []store.Check {
	return []store.Check{
		{
			Key:     headKey,
			Version: t.headRow,
		},
		{
			Key:     markKey,
			Version: t.markRow,
		},
	}
}

// read reads the head, the roster and further rows, and puts in force what is new. The roster itself is read only when
// its mark, which is written with it, has changed: it is the largest row by far.
func (f *Fleet) read(ctx context.Context, keys ...string) (table, error) {
	t := table{
		start: f.now(),
	}
	f.mu.RLock()
	known := f.known
	f.mu.RUnlock()
	keys = append([]string{headKey, markKey}, keys...)
	rows, err := f.get(ctx, keys)
	if err == nil && rows[markKey].Version != known.row {
		// All rows are read again, so what they confirm counts from here. With one limit for both, an entry could not read a
		// new roster at all while each answer takes half of the limit.
		t.start = f.now()
		rows, err = f.get(ctx, append(keys, rosterKey))
	}
	if err != nil {
		return t, errors.Wrap(err, "read the head")
	}
	t.rows = rows
	t.markRow = rows[markKey].Version
	if t.headRow, err = decode(rows, headKey, &t.document); err != nil {
		return t, err
	}
	if t.markRow == known.row {
		t.roster = known.roster
	} else if t.roster, err = decodeRoster(rows); err != nil {
		return t, err
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	settings, err := f.settings(ctx, t.document.Object)
	if err != nil {
		return t, err
	}
	f.install(t.document, settings, t.roster)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = rosterRow{
		row:    t.markRow,
		roster: t.roster,
	}
	if f.limits.arrival {
		t.start = f.now()
	}
	if t.start.After(f.confirmed) {
		f.confirmed = t.start
	}
	// A read that overlaps a change can show an older roster, which grants nothing.
	if t.roster.Version == f.roster.Version && t.start.After(f.leased) {
		f.leased = t.start
	}
	return t, nil
}

// rosterRow is a roster that was read, with the version of its mark.
type rosterRow struct {
	row    uint64
	roster Roster
}

func (f *Fleet) get(ctx context.Context, keys []string) (map[string]store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	f.counters.reads.Inc()
	return f.opt.Platform.Get(ctx, keys)
}

// decodeRoster returns the roster if it and its mark are of one write.
func decodeRoster(rows map[string]store.Row) (Roster, error) {
	var roster Roster
	var mark Mark
	if _, err := decode(rows, markKey, &mark); err != nil {
		return roster, err
	}
	if _, err := decode(rows, rosterKey, &roster); err != nil {
		return roster, err
	}
	if mark.Version != roster.Version {
		return roster, errors.Newf("the roster has version %d, its mark %d", roster.Version, mark.Version)
	}
	return roster, nil
}

func decode(rows map[string]store.Row, key string, into any) (uint64, error) {
	row, ok := rows[key]
	if !ok {
		return 0, nil
	}
	if err := json.Unmarshal(row.Value, into); err != nil {
		return 0, errors.Wrapf(err, "row %q is malformed", key)
	}
	return row.Version, nil
}

// settings returns the settings with this name, from memory, from the object store or from a peer.
func (f *Fleet) settings(ctx context.Context, object string) ([]byte, error) {
	if current := f.State(); object == "" || object == current.document.Object {
		return current.Settings, nil
	}
	data, err := f.opt.Platform.Objects().Get(ctx, object)
	if err == nil {
		return data, f.verify(object, data)
	}
	for _, to := range f.addresses(false) {
		snap, e := f.opt.Transport.FetchSnapshot(ctx, to.control, "", false)
		if e == nil && snap.Document.Object == object {
			return snap.Settings, f.verify(object, snap.Settings)
		}
	}
	return nil, errors.Wrapf(err, "fetch the settings %q", object)
}

// verify accepts settings only if they are the ones that were named and if this version of the program can read them.
func (f *Fleet) verify(object string, data []byte) error {
	if objectName(data) != object {
		return errors.Newf("the content of %q does not match its name", object)
	}
	return errors.Wrapf(f.check(data), "the accepted settings %q", object)
}

func (f *Fleet) check(settings []byte) error {
	if f.opt.ValidateSettings == nil {
		return nil
	}
	return f.opt.ValidateSettings(settings)
}

// Snapshot returns the state and the roster as one, for a peer: whoever learns a roster must also learn at least the
// state that was the head when the roster was written. The settings are left out if they have the given name; the warm
// facts are included if they are asked for.
func (f *Fleet) Snapshot(object string, warm bool) *Snapshot {
	f.mu.RLock()
	defer f.mu.RUnlock()
	state := f.State()
	snap := &Snapshot{
		Document: state.document,
		Roster:   f.roster,
	}
	if object != state.document.Object {
		snap.Settings = state.Settings
	}
	if warm {
		snap.Warm = f.warm.all()
	}
	return snap
}

// install puts a state and a roster in force where they are newer than what this entry runs.
func (f *Fleet) install(doc Document, settings []byte, roster Roster) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	current := f.State()
	changed := !f.ready
	f.ready = true
	if doc.Version > current.Version || f.limits.revert && doc.Version != current.Version {
		f.state.Store(newState(doc, settings))
		changed = true
		f.log.Info("state in force", zap.Uint64("version", doc.Version), zap.String("who", doc.Who), zap.String("what", doc.What))
	}
	if roster.Version > f.roster.Version {
		f.roster = roster
		f.ownership.learn(now, roster, f.limits.wait)
		f.recognize(now)
		changed = true
	}
	if changed {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// recognize updates what depends on the roster: the peers, and whether this process is still the member of its name.
func (f *Fleet) recognize(now time.Time) {
	own, ok := f.roster.Members[f.opt.Name]
	switch {
	case ok && own.Incarnation == f.incarnation && !f.registered:
		f.registered = true
		f.joined = now
	case f.registered && (!ok || own.Incarnation != f.incarnation):
		f.fail(errors.Newf("another process has registered as entry %q", f.opt.Name))
	}
	for name, record := range f.roster.Members {
		if name == f.opt.Name {
			continue
		}
		p := f.peers[name]
		if p == nil || p.incarnation != record.Incarnation {
			f.peers[name] = newPeer(record.Incarnation, now, f.fallen)
		}
	}
	for name := range f.peers {
		if _, ok := f.roster.Members[name]; !ok {
			delete(f.peers, name)
		}
	}
}

// edited returns the document of the next version.
func (d Document) edited(edit func(*Document)) Document {
	d.Domains = slices.Clone(d.Domains)
	d.Targets = slices.Clone(d.Targets)
	d.Version++
	edit(&d)
	return d
}
