package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/feed"
)

// stateWatchTimeout limits one watch request for the desired state. Its response shows that the store answers; when it fails,
// all other requests to the store are repeated. With the time that the client of the store allows for a response, a reader
// that is cut off without an error notices 1.7 s after a change at the latest, which leaves its followers 0.3 s of the 2 s
// within which the change must be in force.
const stateWatchTimeout = time.Second

// watchRequest is a watch request in flight. The reader is empty if it goes to the store.
type watchRequest struct {
	reader string
	cancel context.CancelFunc
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
func (f *Follower) recordStoreResult(sentAt time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	switch {
	case f.ctx.Err() != nil:
		return
	case err == nil, errors.Is(err, feed.ErrCompacted):
		// Without the history that a watch needs, the store answers nevertheless.
		f.contact.recordAnswer(now)
	default:
		if f.contact.recordFailure(now, sentAt) {
			// The store may have lost the other requests in flight.
			f.cancelWatchesTo("")
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
		f.cancelAttachment()
		f.attachment, f.cancelAttachment = context.WithCancel(f.ctx)
	}
	f.log.Info("contact with the store changed", zap.Bool("detached", f.self.Detached))
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
