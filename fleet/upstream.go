package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"skylarkbeam/feed"
)

const (
	// readerCount is the number of entries that follow the store directly; the others follow these. Calls to the store
	// are charged, and three readers survive the loss of any two.
	readerCount = 3
	// readerTimeout is the silence after which a member no longer counts as a reader.
	readerTimeout = 2500 * time.Millisecond
	// peerWatchTimeout limits one watch request to a peer.
	peerWatchTimeout = 10 * time.Second
	// peerRetryDelay is how long an entry does not follow a peer that failed to answer.
	peerRetryDelay = 2 * time.Second
	// detachAfterFailures is the number of consecutive failed calls to the store after which an entry reports to the
	// others that it cannot reach the store.
	detachAfterFailures = 2
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
			return *batch, nil
		}
		f.recordPeerFailure(to, err)
	}
	batch, err := f.opt.Store.Read(ctx, table)
	f.recordStoreResult(err)
	return batch, err
}

// Watch implements feed.Source.
func (u upstream) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (feed.Batch, error) {
	f := u.follower
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.awaitSettled(ctx)
	if to, ok := f.reader(); ok {
		defer f.trackWatch(to.name, cancel)()
		ctx, cancel := context.WithTimeout(ctx, peerWatchTimeout+peerTimeout)
		defer cancel()
		sentAt := f.now()
		batch, err := f.opt.Transport.Rows(ctx, to.control, table, after, peerWatchTimeout)
		if err == nil {
			if len(batch.Rows) == 0 && f.now().Sub(sentAt) < peerWatchTimeout {
				f.greetReaders()
			}
			return *batch, nil
		}
		f.recordPeerFailure(to, err)
		// Report no change instead of an error, because the peer may just have had none for the whole wait. Nothing is
		// lost: the next request asks another peer for the changes after the same version.
		return feed.Batch{
			Version: after,
		}, nil
	}
	defer f.trackWatch("", cancel)()
	batch, err := f.opt.Store.Watch(ctx, table, after, wait)
	if err != nil && f.ctx.Err() == nil && ctx.Err() != nil {
		// The request was canceled because this entry is no longer a reader or because another request failed.
		return feed.Batch{
			Version: after,
		}, nil
	}
	f.recordStoreResult(err)
	return batch, err
}

// watchRows answers the watch request of an entry that follows this one. If this entry loses the store or stops meanwhile,
// the response comes at once and without a change, so that the other can follow another reader.
func (f *Follower) watchRows(ctx context.Context, table *feed.Table, after uint64, wait time.Duration) feed.Batch {
	f.mu.RLock()
	attachment := f.attachment
	f.mu.RUnlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(attachment, cancel)()
	return table.Watch(ctx, after, min(wait, peerWatchTimeout))
}

// greetReaders greets the entries that this one takes for readers, to learn which of them reach the store.
func (f *Follower) greetReaders() {
	f.mu.Lock()
	due := f.startGreetings(f.readerNames(f.now()))
	f.mu.Unlock()
	var greetings sync.WaitGroup
	for _, to := range due {
		greetings.Go(func() { f.greetOnce(to) })
	}
	greetings.Wait()
}

// reader returns the member to follow; ok is false if this entry must call the store itself.
func (f *Follower) reader() (to peerAddress, ok bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := f.now()
	if !f.settled(now) {
		return peerAddress{}, false
	}
	names := f.readerNames(now)
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

// readerNames returns the entries that follow the store, from the point of view of this entry: those with the lowest
// ranks among the entries that are heard and reach the store. The first of each failure domain comes first, because the
// others in the domain follow it and traffic between domains is charged. The caller holds the lock.
func (f *Follower) readerNames(now time.Time) []string {
	type candidate struct {
		name, domain string
		rank         uint64
	}
	var attached, all []candidate
	add := func(c candidate, detached bool) {
		all = append(all, c)
		if !detached {
			attached = append(attached, c)
		}
	}
	if !f.leaving {
		add(candidate{
			name:   f.opt.Name,
			domain: f.self.Domain,
			rank:   readerRank(f.opt.Name),
		}, f.self.Detached)
	}
	for name, m := range f.members {
		if m.record.State == RecordStateActive && now.Sub(m.heardAt) < readerTimeout && now.Sub(m.rowsFailedAt) >= peerRetryDelay {
			add(candidate{
				name:   name,
				domain: m.record.Domain,
				rank:   m.readerRank,
			}, m.record.Detached)
		}
	}
	if len(attached) > 0 {
		all = attached
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	domains := map[string]bool{}
	var first, rest []string
	for _, c := range all {
		if domains[c.domain] {
			rest = append(rest, c.name)
		} else {
			domains[c.domain] = true
			first = append(first, c.name)
		}
	}
	list := append(first, rest...)
	return list[:min(len(list), readerCount)]
}

// readerRank orders the entries as readers of the store, alike at all entries.
func readerRank(name string) uint64 { return xxhash.Sum64String("reader\x00" + name) }

// recordStoreResult records the result of a call to the store.
func (f *Follower) recordStoreResult(err error) {
	f.recordContact(err)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil || f.ctx.Err() != nil {
		f.storeFailures = 0
	} else {
		f.storeFailures++
	}
	if f.storeFailures == 1 {
		// The store may have lost the other requests in flight, so they are repeated.
		for _, w := range f.watchRequests {
			if w.reader == "" {
				w.cancel()
			}
		}
	}
	detached := f.storeFailures >= detachAfterFailures
	if detached {
		f.recordStoreLoss(f.self.Domain, f.now())
	}
	if detached != f.self.Detached {
		f.self.Detached = detached
		if detached {
			f.cancelAttachment()
			f.attachment, f.cancelAttachment = context.WithCancel(f.ctx)
		}
		f.log.Info("contact with the store changed", zap.Bool("detached", detached))
	}
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

// trackWatch records a watch request to the named reader, or to the store if the name is empty, so that it can be
// canceled when another reader is to be used. The returned function removes the record.
func (f *Follower) trackWatch(name string, cancel context.CancelFunc) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastWatchID++
	id := f.lastWatchID
	f.watchRequests[id] = watchRequest{
		reader: name,
		cancel: cancel,
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.watchRequests, id)
	}
}

// watchRequest is a watch request in flight. The reader is empty if it goes to the store.
type watchRequest struct {
	reader string
	cancel context.CancelFunc
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
