package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/route"
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
	// loadReadGroupsPerTimeout is the number of groups of load reads that begin within the timeout of the first.
	loadReadGroupsPerTimeout = 4
	// maxLoadReadRounds bounds the groups of targets whose load is read for one placement. Together they are the targets of
	// an aperture.
	maxLoadReadRounds = 4
)

// refreshLoads reads the load of the targets that are about to be compared for a call, if it is not known. The load
// in earlier responses is out of date after a few milliseconds. It reads one group of targets after the other until one of
// them is idle. The load pattern that needs more than one or two groups is a burst, or the loss of a part of the targets:
// most are busy or slow then, a call beside another one takes longer than its objective, and a few targets are still idle.
//
// The next group does not wait for all reads of the one before: a busy target answers at once on a connection that it
// knows, but lets a new one wait for a slot.
func (e *Entry) refreshLoads(ctx context.Context, c *call) {
	s := loadSurvey{
		entry: e,
		call:  c,
		ended: make(chan struct{}, maxLoadReadRounds*route.MaxLoadReads),
	}
	for round := range maxLoadReadRounds {
		started, idle := s.start()
		if idle || !s.wait(ctx, started && round < maxLoadReadRounds-1) {
			return
		}
	}
}

// loadSurvey is the reading of loads for one placement.
type loadSurvey struct {
	entry *Entry
	call  *call
	// reading are the targets that are being read or have been, pending is the number of reads that have not ended.
	reading []string
	pending int
	// ended gets a signal at the end of each read.
	ended chan struct{}
}

// due returns the reads that are due.
func (s *loadSurvey) due() route.LoadReads {
	now := s.entry.timers.Now()
	return s.entry.table.LoadReads(now, s.call.service.name, s.call.query(now), s.reading)
}

// start starts the next group of reads. idle means that the call can be placed without them.
func (s *loadSurvey) start() (started, idle bool) {
	reads := s.due()
	for _, name := range reads.Background {
		s.entry.readLoad(name, maxLoadReadTimeout, nil)
	}
	for _, name := range reads.Targets {
		s.entry.readLoad(name, s.entry.loadReadTimeout(), s.ended)
	}
	s.reading = append(s.reading, reads.Targets...)
	s.pending += len(reads.Targets)
	return len(reads.Targets) > 0, reads.Idle
}

// wait waits until an idle target is known or all reads have ended, and for a part of their timeout if more reads can
// follow. It returns false if no other group is to be read.
func (s *loadSurvey) wait(ctx context.Context, moreFollow bool) bool {
	var next <-chan time.Time
	if moreFollow {
		timer := time.NewTimer(s.entry.loadReadTimeout() / loadReadGroupsPerTimeout)
		defer timer.Stop()
		next = timer.C
	}
	for s.pending > 0 {
		select {
		case <-s.ended:
			s.pending--
			if s.due().Idle {
				return false
			}
		case <-next:
			return true
		case <-ctx.Done():
			return false
		}
	}
	return moreFollow
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
