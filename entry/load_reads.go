package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/target"
)

const (
	// minLoadReadTimeout is the minimum timeout of load reads before a placement. Targets respond within a few
	// milliseconds; a slower one is not worth waiting for.
	minLoadReadTimeout = 20 * time.Millisecond
	// loadReadTimeoutFactor is the timeout of a load read in multiples of the average duration.
	loadReadTimeoutFactor = 5
	// readTimeWindow is the number of load reads over which the average duration is taken.
	readTimeWindow = 16
	// maxLoadReadTimeout bounds the timeout of a load read. It is the timeout for targets that did not respond the
	// last time, for which no call waits.
	maxLoadReadTimeout = 200 * time.Millisecond
	// maxLoadReadRounds bounds the groups of targets whose load is read for one placement. Together they are the targets of
	// an aperture.
	maxLoadReadRounds = 4
)

// refreshLoads reads the load of the targets that are about to be compared for a call, if it is not known. The load
// in earlier responses is out of date after a few milliseconds. It reads one group of targets after the other until one of
// them is idle. The load pattern that needs more than one or two groups is a burst, or the loss of a part of the targets:
// most are busy or slow then, a call beside another one takes longer than its objective, and a few targets are still idle.
func (e *Entry) refreshLoads(ctx context.Context, c *call) {
	for range maxLoadReadRounds {
		now := e.timers.Now()
		names, unresponsive := e.table.LoadReadCandidates(now, c.service.name, c.query(now))
		for _, name := range unresponsive {
			e.readLoad(name, maxLoadReadTimeout, nil)
		}
		if len(names) == 0 || e.readLoads(ctx, c, names) {
			return
		}
	}
}

// readLoads reads the load of targets in parallel. It returns true as soon as the call can be placed, and false when
// all reads have ended and it cannot.
func (e *Entry) readLoads(ctx context.Context, c *call, names []string) bool {
	done := make(chan struct{}, len(names))
	for _, name := range names {
		e.readLoad(name, e.loadReadTimeout(), done)
	}
	for range names {
		select {
		case <-done:
			now := e.timers.Now()
			if more, _ := e.table.LoadReadCandidates(now, c.service.name, c.query(now)); len(more) == 0 {
				return true
			}
		case <-ctx.Done():
			return true
		}
	}
	return false
}

// loadReadTimeout returns the timeout for load reads before a placement. It is longer on a slow machine.
func (e *Entry) loadReadTimeout() time.Duration {
	mean := time.Duration(e.meanReadTime.Load())
	return min(max(loadReadTimeoutFactor*mean, minLoadReadTimeout), maxLoadReadTimeout)
}

// recordLoadRead records the result of a load read that was sent at the given time: its duration, or a target that
// did not respond.
func (e *Entry) recordLoadRead(name string, sent time.Time, err error) {
	now := e.timers.Now()
	if err == nil {
		e.metrics.loadReads[loadReadAnswered].Inc()
		mean := e.meanReadTime.Load()
		e.meanReadTime.Store(mean + (int64(now.Sub(sent))-mean)/readTimeWindow)
		return
	}
	e.callLog.Debug("load read failed", zap.String("target", name), zap.Duration("elapsed", now.Sub(sent)),
		zap.String("error", err.Error()))
	if errors.Is(err, target.ErrProbeBudgetExhausted) {
		e.metrics.loadReads[loadReadOverBudget].Inc()
		return
	}
	e.metrics.loadReads[loadReadLate].Inc()
	e.handleTargetEvent(e.table.LoadReadFailed(now, sent, name))
}

// loadReads are the load reads in flight. Calls that need the report of the same target at the same moment share one
// read. Without that, the calls that arrive at once when an entry has restarted read the same few targets each on a
// connection of its own. The entries of a fleet that all restarted opened so many that the targets reset them or let them
// wait, and then took the targets for unreachable.
type loadReads struct {
	mu sync.Mutex
	// waiting holds, for each target that is being read, the channels to be signaled at the end of the read.
	waiting map[string][]chan<- struct{}
}

// join adds a channel, which may be nil, to the read of a target. It returns true if there was none in flight, so that
// the caller must do it.
func (r *loadReads) join(name string, done chan<- struct{}) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting, inFlight := r.waiting[name]
	if r.waiting == nil {
		r.waiting = map[string][]chan<- struct{}{}
	}
	r.waiting[name] = append(waiting, done)
	return !inFlight
}

// end signals the end of the read of a target.
func (r *loadReads) end(name string) {
	r.mu.Lock()
	waiting := r.waiting[name]
	delete(r.waiting, name)
	r.mu.Unlock()
	for _, done := range waiting {
		if done != nil {
			done <- struct{}{}
		}
	}
}

// readLoad reads the load of a target in the background. It signals done, unless that is nil, when the read has
// ended. done must have room for the signal.
func (e *Entry) readLoad(name string, timeout time.Duration, done chan<- struct{}) {
	if !e.loadReads.join(name, done) {
		return
	}
	p := e.snapshot.Load().pools[name]
	e.tasks.Go(func() {
		defer e.loadReads.end(name)
		if p == nil {
			return
		}
		// Take the time before the timeout starts, so that a pause of this machine between the two does not make
		// the read look later than it was.
		sent := e.timers.Now()
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := p.ReadLoad(ctx)
		e.recordLoadRead(name, sent, err)
	})
}
