package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/feed"
)

const (
	// readerTimeout is the silence after which a member no longer counts as a reader.
	readerTimeout = 2500 * time.Millisecond
	// peerWatchTimeout limits one watch request to a peer.
	peerWatchTimeout = 10 * time.Second
	// peerRetryDelay is how long an entry does not follow a peer that failed to answer.
	peerRetryDelay = 2 * time.Second
	// peerBatchDelay is the delay between requests to a peer, which are not charged.
	peerBatchDelay = 20 * time.Millisecond
)

// upstream is the feed.Source of a Follower. It calls the store if the entry is one of the readers, and otherwise a
// reader.
type upstream struct {
	follower *Follower
}

// Read implements feed.Source.
func (u upstream) Read(ctx context.Context, table string) (feed.Batch, error) {
	f := u.follower
	if to, ok := f.reader(); ok {
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		batch, err := f.opt.Transport.Rows(ctx, to.control, table, 0, 0)
		if err == nil {
			f.recordContact(nil)
			f.clearDoubt(table)
			return *batch, nil
		}
		f.recordPeerFailure(to, err)
	}
	d, doubted := f.doubtOf(table)
	sentAt := f.now()
	batch, err := f.opt.Store.Read(ctx, table)
	f.recordStoreResult(sentAt, batch, err)
	if err == nil && doubted {
		f.settleDoubt(table, d, sentAt, &batch)
	}
	return batch, err
}

// Watch implements feed.Source.
func (u upstream) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (feed.Batch, error) {
	f := u.follower
	f.awaitSettled(ctx)
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	to, ok := f.reader()
	if ok && !f.isConfirmed(to.name) {
		to, ok = f.confirmReaders(ctx)
	}
	if ok {
		return f.watchReader(watch, cancel, to, table, after, wait), nil
	}
	d, doubted := f.doubtOf(table)
	if d.lost {
		wait = 0
	}
	defer f.trackWatch(table, "", wait, cancel)()
	sentAt := f.now()
	batch, err := f.opt.Store.Watch(watch, table, after, wait)
	if err != nil && ctx.Err() == nil && watch.Err() != nil {
		// The request was canceled because this entry is no longer a reader or because the store may have lost it.
		return feed.Batch{
			Version: after,
		}, nil
	}
	f.recordStoreResult(sentAt, batch, err)
	switch {
	case err == nil && doubted:
		f.settleDoubt(table, d, sentAt, &batch)
	case errors.Is(err, feed.ErrCompacted):
		f.mu.Lock()
		defer f.mu.Unlock()
		f.raiseDoubt(table, doubt{
			since: f.contact.completeAt,
		})
	}
	return batch, err
}

// watchReader watches a table of a reader. It reports no change instead of an error, because the reader may just have had
// none for the whole wait. Nothing is lost: the next request asks another reader for the changes after the same version.
func (f *Follower) watchReader(
	watch context.Context, cancel context.CancelFunc, to peerAddress, table string, after uint64, wait time.Duration,
) feed.Batch {
	untrack := f.trackWatch(table, to.name, peerWatchTimeout, cancel)
	sentAt := f.now()
	limited, cancelLimited := context.WithTimeout(watch, peerWatchTimeout+peerTimeout)
	defer cancelLimited()
	batch, err := f.opt.Transport.Rows(limited, to.control, table, after, peerWatchTimeout)
	untrack()
	switch {
	case err != nil && watch.Err() == nil:
		f.recordPeerFailure(to, err)
	case err == nil && (len(batch.Rows) > 0 || f.now().Sub(sentAt) >= peerWatchTimeout):
		f.clearDoubt(table)
		return *batch
	}
	// The reader is lost, has lost the store, or is no longer the one to follow.
	f.recordLostReader(to.name, table, sentAt, wait)
	if err != nil {
		return feed.Batch{
			Version: after,
		}
	}
	return *batch
}

// reader returns the member to follow; ok is false if this entry must call the store itself.
func (f *Follower) reader() (to peerAddress, ok bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := f.now()
	return f.nearestReader(now, f.readerNames(now))
}

// nearestReader returns the one of the readers to follow; ok is false if this entry must call the store itself. The caller holds the
// lock.
func (f *Follower) nearestReader(now time.Time, names []string) (to peerAddress, ok bool) {
	if !f.settled(now) || f.isFollowed(now) {
		return peerAddress{}, false
	}
	if len(names) == 0 || slices.Contains(names, f.opt.Name) {
		return peerAddress{}, false
	}
	// Prefer readers in the entry's own failure domain, then spread the entries of a domain over the readers.
	slices.SortFunc(names, func(a, b string) int {
		distance := func(name string) int {
			if f.members[name].record.Domain == f.self.Domain {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(xxhash.Sum64String(f.opt.Name+a), xxhash.Sum64String(f.opt.Name+b)))
	})
	return peerAddress{
		name:    names[0],
		control: f.members[names[0]].record.Control,
	}, true
}

// isReader reports whether this entry follows the store directly. The caller holds the lock.
func (f *Follower) isReader(now time.Time) bool {
	return slices.Contains(f.readerNames(now), f.opt.Name)
}

// readerNames returns the entries that follow the store, from the point of view of this entry. The caller holds the lock.
func (f *Follower) readerNames(now time.Time) []string { return chooseReaders(f.readerCandidates(now)) }

// readerCandidates returns the entries among which the readers are chosen: those that are heard. The caller holds the lock.
func (f *Follower) readerCandidates(now time.Time) []readerCandidate {
	var candidates []readerCandidate
	if !f.leaving {
		candidates = append(candidates, readerCandidate{
			name:      f.opt.Name,
			domain:    f.self.Domain,
			linkClass: linkClassOf(f.self.Link),
			rank:      readerRank(f.opt.Name),
			detached:  f.contact.gaveUp(),
			reached:   f.contact.reaches(now),
		})
	}
	for name, m := range f.members {
		if m.record.State == RecordStateActive && now.Sub(m.heardAt) < readerTimeout && m.mayBeReader(now) {
			candidates = append(candidates, readerCandidate{
				name:      name,
				domain:    m.record.Domain,
				linkClass: linkClassOf(m.record.Link),
				rank:      m.readerRank,
				detached:  f.isDetached(m, now),
				reached:   m.reaches(now),
			})
		}
	}
	return candidates
}

// mayBeReader reports whether a member that has failed to answer is a candidate for a reader again. It is if it was heard since.
func (m *member) mayBeReader(now time.Time) bool {
	return now.Sub(m.rowsFailedAt) >= peerRetryDelay && !m.heardAt.Before(m.rowsFailedAt)
}

// recordPeerFailure records that a peer did not answer.
func (f *Follower) recordPeerFailure(to peerAddress, err error) {
	if f.ctx.Err() != nil {
		return
	}
	f.log.Debug("a peer did not answer", zap.String("peer", to.name), zap.Error(err))
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[to.name]; m != nil {
		m.rowsFailedAt = f.now()
	}
}

// cancelStaleWatches cancels the watch requests that do not go to the current reader.
func (f *Follower) cancelStaleWatches() {
	to, _ := f.reader()
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, w := range f.watchRequests {
		if w.reader != to.name {
			w.cancel()
		}
	}
}

// batchDelay returns the delay between a request that brought changes and the next one.
func (f *Follower) batchDelay() time.Duration {
	if _, ok := f.reader(); ok {
		return peerBatchDelay
	}
	return feed.DefaultBatchDelay
}
