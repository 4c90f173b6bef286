package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/feed"
)

// An entry that starts finds the others through its seeds. Only entries that follow the store write themselves to the
// table of members: that is enough for an entry whose seeds are gone, because greetings tell it of the others. With a row
// for each entry, 189 entries made 378 calls to the store when they started, and calls to the store are charged.

const (
	// seedTimeout is how long an entry that starts waits for a response of its seeds before it joins through the table of
	// members.
	seedTimeout = time.Second
	// joinPollInterval is the interval at which a starting entry checks whether members have answered.
	joinPollInterval = 50 * time.Millisecond
	// membersReadInterval is the interval at which the readers read the table of members, so that two groups of entries
	// that started without knowing each other meet.
	membersReadInterval = time.Minute
)

// join finds other members, through the seeds or else through the table of members.
func (f *Follower) join() {
	if !f.hearsSeeds() {
		f.joinThroughTable()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.joined = true
}

// hearsSeeds waits until a member has answered, and reports whether one did within seedTimeout.
func (f *Follower) hearsSeeds() bool {
	if len(f.seedAddresses()) == 0 {
		return false
	}
	for f.ctx.Err() == nil && f.now().Sub(f.startedAt) < seedTimeout {
		f.mu.RLock()
		known := len(f.members) > 0
		f.mu.RUnlock()
		if known {
			return true
		}
		f.sleep(f.ctx, joinPollInterval)
	}
	return false
}

func (f *Follower) joinThroughTable() {
	for f.ctx.Err() == nil {
		err := f.publish()
		if err == nil {
			// Those in the table pass on that this entry has been heard.
			f.greetEveryone()
			return
		}
		f.log.Debug("joining the fleet failed", zap.Error(err))
		f.sleep(f.ctx, time.Second)
	}
}

// storeEra returns the latest era of the store that this entry knows.
func (f *Follower) storeEra() uint64 {
	era := uint64(0)
	for _, table := range f.tables {
		era = max(era, feed.Era(table.CompleteVersion()))
	}
	return era
}

// publish writes this entry to the table of members, unless it has done so in this era of the store, and reads that
// table.
func (f *Follower) publish() error {
	ctx, cancel := context.WithTimeout(f.ctx, tableTimeout)
	defer cancel()
	if era := f.storeEra(); !f.published.Load() || f.publishedEra.Load() != era {
		f.mu.RLock()
		record := f.self
		f.mu.RUnlock()
		// The row stays when the entry reaches the store again, and can be written only when it does.
		record.Detached = false
		if err := f.opt.Store.Put(ctx, f.opt.MembersTable, f.opt.Name, encode(record)); err != nil {
			return err
		}
		f.published.Store(true)
		f.publishedEra.Store(era)
	}
	return f.readMembers(ctx)
}

// publishIfReader publishes this entry while it is a reader, at the start of a round of greetings.
func (f *Follower) publishIfReader() {
	f.mu.Lock()
	now := f.now()
	lost := f.published.Load() && f.publishedEra.Load() != f.storeEra()
	due := f.settled(now) && f.isReader(now) && (lost && !f.publishing || now.Sub(f.membersReadAt) >= membersReadInterval)
	if due {
		f.membersReadAt = now
		f.publishing = true
	}
	f.mu.Unlock()
	if !due {
		return
	}
	f.tasks.Go(func() {
		err := f.publish()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.publishing = false
		if err != nil {
			f.log.Debug("publishing this entry as a reader failed", zap.Error(err))
			f.membersReadAt = time.Time{}
		}
	})
}

func (f *Follower) readMembers(ctx context.Context) error {
	batch, err := f.opt.Store.Read(ctx, f.opt.MembersTable)
	if err != nil {
		return errors.Wrap(err, "read the members")
	}
	for _, row := range batch.Rows {
		var record Record
		if err := decodeRecord(row.Value, &record); err != nil {
			f.log.Warn("malformed member record", zap.String("entry", row.Key), zap.Error(err))
			continue
		}
		f.addMember(row.Key, record)
	}
	return nil
}

// addMember adds a member if it is not known yet.
func (f *Follower) addMember(name string, record Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name != f.opt.Name && f.members[name] == nil {
		f.insertMember(name, record, f.now())
	}
}

// settled reports whether this entry knows the others well enough to choose the readers: it started startupDelay ago, or
// has joined and is alone. The caller holds the lock.
func (f *Follower) settled(now time.Time) bool {
	return now.Sub(f.startedAt) >= startupDelay || f.joined && len(f.members) == 0
}

// awaitSettled waits until this entry can choose the readers. If all entries that start at once watched the store until
// then, each would make several calls. Greetings tell it of changes in the meantime.
func (f *Follower) awaitSettled(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.RLock()
		settled := f.settled(f.now())
		f.mu.RUnlock()
		if settled {
			return
		}
		f.sleep(ctx, joinPollInterval)
	}
}
