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

	"skylarkbeam/rollout"
	"skylarkbeam/setting"
	"skylarkbeam/store"
)

// Keys and expiry times of the rows that this package writes.
const (
	headKey            = "state/head"
	logPrefix          = "state/log/"
	changePrefix       = "state/change/"
	rosterKey          = "fleet"
	rosterVersionKey   = "fleet/version"
	heartbeatPrefix    = "beat/"
	warmPrefix         = "warm/"
	objectPrefix       = "settings/"
	logExpiry          = 30 * 24 * time.Hour
	changeRecordExpiry = 24 * time.Hour
)

// State is the accepted state that this entry runs. It must not be modified.
type State struct {
	// Version grows by one with each write, including those without a change.
	Version uint64
	// BaseVersion is the version of the last change. A caller passes it on to say which state its own change is based
	// on.
	BaseVersion uint64
	// Settings are the bytes passed to Apply, nil before the first call.
	Settings []byte
	// ParsedSettings are the settings that a Follower has read from the tables, nil in the state of a Fleet.
	ParsedSettings *setting.Settings
	// RegisteredTargets are the targets that have registered themselves, sorted by name; ParsedSettings contains no
	// targets then. The list is not modified, and may be shared with other states.
	RegisteredTargets []RegisteredTarget
	// DrainTime is how long a target still serves after its registration was removed, without a word that it leaves; zero
	// if it may end at once.
	DrainTime time.Duration
	// Rollouts are the operators' orders for roll-outs, sorted by service, and RolloutBounds the limits for them. Without
	// limits there are no roll-outs.
	Rollouts      []rollout.Order
	RolloutBounds rollout.Bounds
	// RebuildAfter is the time after which the state that the tables describe changes without a change of the tables;
	// zero if it does not.
	RebuildAfter time.Duration
	// DrainedDomains and DrainedTargets are sorted by name.
	DrainedDomains []string
	DrainedTargets []string
	// Who made the last change, What it was, and When it was made by the clock of the entry that wrote it.
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

// State returns the accepted state that this entry runs. Its version is 0 before any state was accepted or read.
func (f *Fleet) State() *State { return f.state.Load() }

// Changed returns a channel that is closed at the next change of the state or of the members. To miss no change, get
// the channel before calling State.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

func settingsObjectName(settings []byte) string {
	sum := sha256.Sum256(settings)
	return objectPrefix + hex.EncodeToString(sum[:])
}

// tableRead is the result of one read of the table, with the row versions that a write based on it must check.
// rosterRowVersion is the version of the row rosterVersionKey.
type tableRead struct {
	start            time.Time
	document         Document
	headRowVersion   uint64
	roster           Roster
	rosterRowVersion uint64
	rows             map[string]store.Row
}

// checks returns the checks that make a write fail if the head or the roster has changed since the read.
func (t tableRead) checks() []store.Check {
	return []store.Check{
		{
			Key:     headKey,
			Version: t.headRowVersion,
		},
		{
			Key:     rosterVersionKey,
			Version: t.rosterRowVersion,
		},
	}
}

// readTable reads the head, the roster and additional rows, and installs what is new. The roster is by far the largest
// row, so it is read only when the row with its version, which is written with it, has changed.
func (f *Fleet) readTable(ctx context.Context, keys ...string) (tableRead, error) {
	t := tableRead{
		start: f.now(),
	}
	f.mu.RLock()
	known := f.lastRoster
	f.mu.RUnlock()
	keys = append([]string{headKey, rosterVersionKey}, keys...)
	rows, err := f.getRows(ctx, keys)
	if err == nil && rows[rosterVersionKey].Version != known.rowVersion {
		// All rows are read again, so their confirmation counts from here. With one timeout for both reads, an entry
		// could not read a new roster at all while each response takes half of the timeout.
		t.start = f.now()
		rows, err = f.getRows(ctx, append(keys, rosterKey))
	}
	if err != nil {
		return t, errors.Wrap(err, "read the head")
	}
	t.rows = rows
	t.rosterRowVersion = rows[rosterVersionKey].Version
	if t.headRowVersion, err = decode(rows, headKey, &t.document); err != nil {
		return t, err
	}
	if t.rosterRowVersion == known.rowVersion {
		t.roster = known.roster
	} else if t.roster, err = decodeRoster(rows); err != nil {
		return t, err
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	settings, err := f.fetchSettings(ctx, t.document.Object)
	if err != nil {
		return t, err
	}
	f.install(t.document, settings, t.roster)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRoster = storedRoster{
		rowVersion: t.rosterRowVersion,
		roster:     t.roster,
	}
	if f.protocol.timeFromArrival {
		t.start = f.now()
	}
	if t.start.After(f.confirmedAt) {
		f.confirmedAt = t.start
	}
	// A read that overlaps with a change can return an older roster, which grants no lease.
	if t.roster.Version == f.roster.Version && t.start.After(f.leasedAt) {
		f.leasedAt = t.start
	}
	return t, nil
}

// storedRoster is a roster that was read, with the version of the row rosterVersionKey at that time.
type storedRoster struct {
	rowVersion uint64
	roster     Roster
}

func (f *Fleet) getRows(ctx context.Context, keys []string) (map[string]store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	f.counters.reads.Inc()
	return f.opt.Platform.Get(ctx, keys)
}

// decodeRoster returns the roster, or an error if it and its version row are not from the same write.
func decodeRoster(rows map[string]store.Row) (Roster, error) {
	var roster Roster
	var versionRow Mark
	if _, err := decode(rows, rosterVersionKey, &versionRow); err != nil {
		return roster, err
	}
	if _, err := decode(rows, rosterKey, &roster); err != nil {
		return roster, err
	}
	if versionRow.Version != roster.Version {
		return roster, errors.Newf("the roster has version %d, its mark %d", roster.Version, versionRow.Version)
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

// fetchSettings returns the settings with the given object name, from memory, from the object store or from a peer.
func (f *Fleet) fetchSettings(ctx context.Context, object string) ([]byte, error) {
	if current := f.State(); object == "" || object == current.document.Object {
		return current.Settings, nil
	}
	data, err := f.opt.Platform.Objects().Get(ctx, object)
	if err == nil {
		return data, f.verifySettings(object, data)
	}
	for _, to := range f.peerAddresses(false) {
		snapshot, e := f.opt.Transport.FetchSnapshot(ctx, to.control, "", false)
		if e == nil && snapshot.Document.Object == object {
			return snapshot.Settings, f.verifySettings(object, snapshot.Settings)
		}
	}
	return nil, errors.Wrapf(err, "fetch the settings %q", object)
}

// verifySettings returns an error unless the settings match their object name and this version of the program can read
// them.
func (f *Fleet) verifySettings(object string, data []byte) error {
	if settingsObjectName(data) != object {
		return errors.Newf("the content of %q does not match its name", object)
	}
	return errors.Wrapf(f.validateSettings(data), "the accepted settings %q", object)
}

func (f *Fleet) validateSettings(settings []byte) error {
	if f.opt.ValidateSettings == nil {
		return nil
	}
	return f.opt.ValidateSettings(settings)
}

// Snapshot returns a consistent pair of state and roster for a peer: whoever learns of a roster must also learn of at
// least the state that was the head when the roster was written. The settings are omitted if their object has the
// given name; the warm facts are included on request.
func (f *Fleet) Snapshot(object string, warm bool) *Snapshot {
	f.mu.RLock()
	defer f.mu.RUnlock()
	state := f.State()
	snapshot := &Snapshot{
		Document: state.document,
		Roster:   f.roster,
	}
	if object != state.document.Object {
		snapshot.Settings = state.Settings
	}
	if warm {
		snapshot.Warm = f.warm.all()
	}
	return snapshot
}

// install makes this entry run a state and a roster if they are newer than its own.
func (f *Fleet) install(doc Document, settings []byte, roster Roster) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	current := f.State()
	changed := !f.ready
	f.ready = true
	if doc.Version > current.Version || f.protocol.allowOlderVersions && doc.Version != current.Version {
		f.state.Store(newState(doc, settings))
		changed = true
		f.log.Info("state in force", zap.Uint64("version", doc.Version), zap.String("who", doc.Who), zap.String("what", doc.What))
	}
	if roster.Version > f.roster.Version {
		f.roster = roster
		f.views.add(now, roster, f.protocol.ownerDelay)
		f.updateMembership(now)
		changed = true
	}
	if changed {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// updateMembership updates what depends on the roster: the peers, and whether this process is still the member with
// its name.
func (f *Fleet) updateMembership(now time.Time) {
	own, ok := f.roster.Members[f.opt.Name]
	switch {
	case ok && own.Incarnation == f.incarnation && !f.registered:
		f.registered = true
		f.registeredAt = now
	case f.registered && (!ok || own.Incarnation != f.incarnation):
		f.stopWithError(errors.Newf("another process has registered as entry %q", f.opt.Name))
	}
	for name, record := range f.roster.Members {
		if name == f.opt.Name {
			continue
		}
		p := f.peers[name]
		if p == nil || p.incarnation != record.Incarnation {
			f.peers[name] = newPeer(record.Incarnation, now, f.coldTransitions)
		}
	}
	for name := range f.peers {
		if _, ok := f.roster.Members[name]; !ok {
			delete(f.peers, name)
		}
	}
}

// withEdit returns the next version of the document, edited.
func (d Document) withEdit(edit func(*Document)) Document {
	d.Domains = slices.Clone(d.Domains)
	d.Targets = slices.Clone(d.Targets)
	d.Version++
	edit(&d)
	return d
}
