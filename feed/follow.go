package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/timer"
)

// ErrCompacted is returned by Watch if the service no longer has the history that was asked for.
var ErrCompacted = errors.New("the history is no longer available")

// Source is the service that holds the tables.
type Source interface {
	// Read returns all rows of a table as of one moment.
	Read(ctx context.Context, table string) (Batch, error)
	// Watch returns the changes of a table after a version as soon as there is one, and none after wait.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Batch, error)
}

const (
	// DefaultWatchTimeout is how long one request waits for changes by default. Each request has a price.
	DefaultWatchTimeout = 15 * time.Second
	// DefaultBatchDelay separates the end of a wait that brought changes from the next request, so that changes in quick
	// succession share requests.
	DefaultBatchDelay = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed request, which doubles with each further one.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Options are the parts of Follow.
type Options struct {
	Table  *Table
	Source Source
	Timers *timer.Service
	// WatchTimeout is how long one request waits for changes; WaitTime by default. A request that is lost without a sign is found
	// after that.
	WatchTimeout time.Duration
	// BatchDelay returns the time between the end of a request that brought changes and the next one; GatherTime by default.
	BatchDelay func() time.Duration
	// OnChange is called after each change of a row.
	OnChange func()
	// OnDisconnect and Regained are told when the service stops and starts to answer; Regained with how long it was away.
	OnDisconnect func(err error)
	OnReconnect  func(away time.Duration)
	Logger       *zap.Logger
}

// Follow keeps a table current until ctx ends.
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
	read := true
	for ctx.Err() == nil {
		changed, err := f.step(ctx, read)
		read = read && err != nil || errors.Is(err, ErrCompacted)
		switch {
		case err == nil && changed:
			f.pause(ctx, f.BatchDelay())
		case err != nil && !errors.Is(err, ErrCompacted):
			f.pause(ctx, f.backoff())
		}
	}
}

type follower struct {
	Options
	// lost is when the first of the failed requests since the last answer ended, failures their number.
	lost     time.Time
	failures int
}

// step makes one request and tells whether a row has changed.
func (f *follower) step(ctx context.Context, read bool) (changed bool, err error) {
	var b Batch
	if read {
		b, err = f.Source.Read(ctx, f.Table.Name())
	} else {
		b, err = f.Source.Watch(ctx, f.Table.Name(), f.Table.CompleteVersion(), f.wait())
	}
	if errors.Is(err, ErrCompacted) {
		f.Logger.Info("the table's history is gone, reading it anew", zap.String("table", f.Table.Name()),
			zap.Uint64("version", f.Table.CompleteVersion()))
		return false, err
	}
	if err != nil {
		f.fail(ctx, err)
		return false, err
	}
	f.answered()
	if changed = f.Table.Apply(b); changed || read {
		f.OnChange()
	}
	return changed, nil
}

// wait returns how long the next request is to wait. After a failure it asks for an answer at once, which shows whether the
// service is back.
func (f *follower) wait() time.Duration {
	if f.failures > 0 {
		return 0
	}
	return f.WatchTimeout
}

func (f *follower) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.failures++
	if f.failures == 1 {
		f.lost = f.Timers.Now()
		f.OnDisconnect(err)
	}
}

func (f *follower) answered() {
	if f.failures > 0 {
		f.failures = 0
		f.OnReconnect(f.Timers.Now().Sub(f.lost))
	}
}

// backoff returns the pause after the failures so far, with a random part so that the entries do not come back together.
func (f *follower) backoff() time.Duration {
	pause := min(minBackoff<<min(f.failures, 8), maxBackoff)
	return pause/2 + rand.N(pause/2)
}

func (f *follower) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
