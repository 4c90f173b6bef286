package fleet

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/feed"
)

// A watch that the store has lost cannot be told from one without changes. Three signs show that a watch may be lost:
//
//   - Another call to the store fails: all watches are sent again.
//   - A call is answered after others have failed: all watches are sent again, because those that were sent while the
//     store was out of reach are lost although the connection lives.
//   - An answer names a version of the store that is newer than the watch, and the changes up to it are not known: the
//     watch is sent again after watchGrace. The watch of the desired state is answered at least every stateWatchTimeout,
//     also without a change, so the watches of all other tables can be long.
//
// A long watch that is sent again does not wait, so that its answer shows that it has arrived: it may be lost like the one before,
// and nothing else would show that until the next change. What it brings may be as old as the last answer before the sign.
//
// In calm, none of them costs a call.

const (
	// stateWatchTimeout limits one watch request for the desired state. Its response shows that the store answers, and
	// which version it has. A change is noticed stateWatchTimeout, watchGrace and one call after it at the latest, or, if
	// that watch is lost as well, when the client of the store gives it up after 1.7 s. Both leave time of the 2 s after
	// which a target that leaves must not get requests.
	stateWatchTimeout = time.Second
	// watchGrace is how long the answer of a watch may be later than the answer of another one. Answers to different
	// connections arrive within milliseconds of each other.
	watchGrace = 200 * time.Millisecond
)

// watchRequest is a watch request in flight. The reader is empty if it goes to the store.
type watchRequest struct {
	table  string
	reader string
	cancel context.CancelFunc
	// version is the version of the store that was known when the request was sent, wait the time for which it waits for
	// a change.
	version uint64
	wait    time.Duration
}

// repeatedWatches counts the watches that were sent again by their reason.
func repeatedWatches(set *metrics.Set, reason string) *metrics.Counter {
	return set.GetOrCreateCounter(`skylarkbeam_store_watches_repeated_total{reason="` + reason + `"}`)
}

func (f *Follower) followTable(table *feed.Table) {
	field := zap.String("table", table.Name())
	watchTimeout := time.Duration(feed.DefaultWatchTimeout)
	if table.Name() == f.opt.Tables[0] {
		watchTimeout = stateWatchTimeout
	}
	feed.Follow(f.ctx, feed.Options{
		WatchTimeout: watchTimeout,
		Table:        table,
		Source: upstream{
			follower: f,
		},
		Timers:       f.opt.Timers,
		BatchDelay:   f.batchDelay,
		OnChange:     f.rebuild,
		OnDisconnect: func(err error) { f.log.Warn("the store does not answer", field, zap.Error(err)) },
		OnReconnect: func(outage time.Duration) {
			f.log.Info("the store answers again", field, zap.Duration("away", outage))
		},
		Logger: f.log,
	})
}

// recordStoreResult records the result of a call to the store.
func (f *Follower) recordStoreResult(sentAt time.Time, batch feed.Batch, err error) {
	f.recordContact(err)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	switch {
	case f.ctx.Err() != nil:
		return
	case err == nil, errors.Is(err, feed.ErrCompacted):
		// Without the history that a watch needs, the store answers nevertheless.
		if f.contact.recordAnswer(now) {
			f.repeatWatches("recovered", f.contact.completeAt, func(watchRequest) bool { return true })
		}
		switch {
		case err != nil:
		case f.contact.recordVersion(batch):
			f.checkWatches(batch.Version)
		default:
			f.contact.completeAt = sentAt
		}
	default:
		if f.contact.recordFailure(now, sentAt) {
			f.repeatWatches("failure", f.contact.completeAt, func(watchRequest) bool { return true })
		}
		if f.contact.gaveUp() {
			f.recordStoreLoss(f.self.Domain, now)
		}
	}
	f.reportContact()
}

// reportContact makes the greetings say whether this entry reaches the store. The caller holds the lock.
func (f *Follower) reportContact() {
	if f.contact.detached == f.self.Detached {
		return
	}
	f.self.Detached = f.contact.detached
	if f.self.Detached {
		f.releaseFollowers()
	}
	f.log.Info("contact with the store changed", zap.Bool("detached", f.self.Detached))
}

// checkWatches repeats the watches that should have returned the changes up to a version of the store and have not done so
// within watchGrace. The caller holds the lock.
func (f *Follower) checkWatches(version uint64) {
	outdated := func(w watchRequest) bool { return isLongWatch(w.wait) && w.version < version }
	since := f.contact.completeAt
	for _, w := range f.watchRequests {
		if w.reader == "" && outdated(w) {
			time.AfterFunc(watchGrace, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.repeatWatches("outdated", since, outdated)
			})
			return
		}
	}
}

// isLongWatch reports whether the loss of a watch with the given wait would go unnoticed for long.
func isLongWatch(wait time.Duration) bool { return wait > stateWatchTimeout }

// repeatWatches cancels watches at the store, which are then sent again. They may have missed changes since a time. The caller holds
// the lock.
func (f *Follower) repeatWatches(reason string, since time.Time, match func(watchRequest) bool) {
	for _, w := range f.watchRequests {
		if w.reader == "" && match(w) {
			repeatedWatches(f.opt.Metrics, reason).Inc()
			if isLongWatch(w.wait) {
				f.raiseDoubt(w.table, doubt{
					since: since,
					lost:  true,
				})
			}
			w.cancel()
		}
	}
}

// doubt is the possibility that changes of a table are unknown.
type doubt struct {
	// since is when they may have been made.
	since time.Time
	// lost is set if the watch may have been lost. Otherwise this entry has not watched the table for a moment.
	lost bool
}

// raiseDoubt records a doubt of a table, which lasts until the store or a reader has answered a call for it. The caller holds the
// lock.
func (f *Follower) raiseDoubt(table string, d doubt) {
	if known, ok := f.doubts[table]; ok {
		d.lost = d.lost || known.lost
		if known.since.Before(d.since) {
			d.since = known.since
		}
	}
	f.doubts[table] = d
}

// doubtOf returns the doubt of a table. ok is false if there is none.
func (f *Follower) doubtOf(table string) (d doubt, ok bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	d, ok = f.doubts[table]
	return d, ok
}

// settleDoubt ends the doubt of a table after a call to the store that was sent at a time, unless there is another doubt since. It
// sets how late the changes in the batch may be.
func (f *Follower) settleDoubt(table string, d doubt, sentAt time.Time, batch *feed.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doubts[table] != d {
		return
	}
	delete(f.doubts, table)
	if now := f.now(); now.Sub(sentAt) < stateWatchTimeout {
		// A watch that was answered later has waited for a change.
		batch.SetLateness(now.Sub(d.since))
	}
}

// clearDoubt ends the doubt of a table after an entry that reads the store has told its changes.
func (f *Follower) clearDoubt(table string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.doubts, table)
}

// recordLostReader records that a watch of a table at a reader, which was sent at a time, has ended without a change. It may have
// missed changes since the reader last answered.
func (f *Follower) recordLostReader(name, table string, sentAt time.Time, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readerLostAt = f.now()
	if !isLongWatch(wait) {
		return
	}
	if m := f.members[name]; m != nil {
		sentAt = laterTime(sentAt, m.repliedAt)
	}
	f.raiseDoubt(table, doubt{
		since: sentAt,
	})
}

// trackWatch records a watch request for a table to the named reader, or to the store if the name is empty, so that it can be
// canceled when another reader is to be used. The returned function removes the record.
func (f *Follower) trackWatch(table, name string, wait time.Duration, cancel context.CancelFunc) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastWatchID++
	id := f.lastWatchID
	f.watchRequests[id] = watchRequest{
		table:   table,
		reader:  name,
		cancel:  cancel,
		version: f.contact.version,
		wait:    wait,
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.watchRequests, id)
	}
}
