package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/timer"
)

// ErrCompacted is returned by Watch if the service does not have the changes after the requested version: it no longer
// keeps them, or has been restored and is in another era.
var ErrCompacted = errors.New("the table history after the requested version is not available")

// Source is a service that stores tables.
type Source interface {
	// Read returns a consistent snapshot of all rows of a table.
	Read(ctx context.Context, table string) (Batch, error)
	// Watch returns the changes of a table after a version. It returns as soon as there is a change, or an empty batch
	// once wait has passed.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Batch, error)
}

const (
	// DefaultWatchTimeout is the default of Options.WatchTimeout. The service charges for each request.
	DefaultWatchTimeout = 15 * time.Second
	// DefaultBatchDelay is the default of Options.BatchDelay. The delay lets changes in quick succession share a
	// request.
	DefaultBatchDelay = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed request. It doubles with each consecutive failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Options configure Follow.
type Options struct {
	Table  *Table
	Source Source
	Timers *timer.Service
	// WatchTimeout is how long one request waits for changes, DefaultWatchTimeout if not positive. A request that gets
	// lost without an error is noticed only after this time.
	WatchTimeout time.Duration
	// BatchDelay returns the delay between a request that brought changes and the next request; nil means
	// DefaultBatchDelay.
	BatchDelay func() time.Duration
	// OnChange is called whenever rows have changed, and after each reload of the whole table.
	OnChange func()
	// OnDisconnect is called when the service stops answering, and OnReconnect when it answers again, with the length
	// of the outage.
	OnDisconnect func(err error)
	OnReconnect  func(outage time.Duration)
	Logger       *zap.Logger
}

// Follow keeps a table up to date until ctx ends.
func Follow(ctx context.Context, o Options) {
	if o.BatchDelay == nil {
		o.BatchDelay = func() time.Duration { return DefaultBatchDelay }
	}
	if o.WatchTimeout <= 0 {
		o.WatchTimeout = DefaultWatchTimeout
	}
	f := follower{
		Options: o,
	}
	reload := true
	for ctx.Err() == nil {
		changed, err := f.fetch(ctx, reload)
		reload = reload && err != nil || errors.Is(err, ErrCompacted)
		switch {
		case err == nil && changed:
			f.sleep(ctx, f.BatchDelay())
		case err != nil && !errors.Is(err, ErrCompacted):
			f.sleep(ctx, f.backoff(f.failures))
		case f.compactions > 1:
			// The table that was read anew did not help.
			f.sleep(ctx, f.backoff(f.compactions))
		}
	}
}

type follower struct {
	Options
	// failedSince is when the first of the current run of failed requests ended, and failures is their number.
	failedSince time.Time
	failures    int
	// compactions is the number of watches without the requested history since the last successful one.
	compactions int
}

// fetch makes one request and reports whether a row has changed.
func (f *follower) fetch(ctx context.Context, reload bool) (changed bool, err error) {
	var b Batch
	if reload {
		b, err = f.Source.Read(ctx, f.Table.Name())
	} else {
		b, err = f.Source.Watch(ctx, f.Table.Name(), f.Table.CompleteVersion(), f.watchTimeout())
	}
	if errors.Is(err, ErrCompacted) {
		f.compactions++
		version := f.Table.CompleteVersion()
		f.Logger.Info("the table's history is gone, reading it anew", zap.String("table", f.Table.Name()),
			zap.Uint64("version", ServiceVersion(version)), zap.Uint64("era", Era(version)))
		return false, err
	}
	if err != nil {
		f.recordFailure(ctx, err)
		return false, err
	}
	f.recordSuccess()
	if !reload {
		f.compactions = 0
	}
	if known := f.Table.CompleteVersion(); f.Table.Loaded() && Era(b.Version) > Era(known) {
		f.Logger.Warn("the service has been restored from a copy", zap.String("table", f.Table.Name()),
			zap.Uint64("era", Era(b.Version)), zap.Uint64("version", ServiceVersion(b.Version)),
			zap.Uint64("before", ServiceVersion(known)))
	}
	if changed = f.Table.Apply(b); changed || reload {
		f.OnChange()
	}
	return changed, nil
}

// watchTimeout returns how long the next request may wait for changes. After a failure it is zero, so that the
// response shows at once whether the service is back.
func (f *follower) watchTimeout() time.Duration {
	if f.failures > 0 {
		return 0
	}
	return f.WatchTimeout
}

func (f *follower) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.failures++
	if f.failures == 1 {
		f.failedSince = f.Timers.Now()
		f.OnDisconnect(err)
	}
}

func (f *follower) recordSuccess() {
	if f.failures > 0 {
		f.failures = 0
		f.OnReconnect(f.Timers.Now().Sub(f.failedSince))
	}
}

// backoff returns the delay after a number of failures. Half of it is random, so that entries do not reconnect at the
// same time.
func (f *follower) backoff(failures int) time.Duration {
	delay := min(minBackoff<<min(failures, 8), maxBackoff)
	return delay/2 + rand.N(delay/2)
}

func (f *follower) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
