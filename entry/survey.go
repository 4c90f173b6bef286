package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/target"
)

const (
	// surveyTime bounds the load reads before a placement. Targets answer within a few milliseconds; one that needs longer
	// is not worth waiting for.
	surveyTime = 20 * time.Millisecond
	// readFactor is the limit of a read in multiples of the average one, readWeight the number of reads over which the
	// average is taken.
	readFactor = 5
	readWeight = 16
	// absentTime bounds a load read of a target that did not answer the last time, for which no call waits.
	absentTime = 200 * time.Millisecond
	// surveyRounds bounds the groups of targets whose load is read for one placement.
	surveyRounds = 2
)

// survey reads the load of the targets that are about to be compared for a call, as far as it is not known. Reports that
// came with earlier answers are out of date after milliseconds.
func (e *Entry) survey(ctx context.Context, c *call) {
	for range surveyRounds {
		now := e.timers.Now()
		names, absent := e.table.LoadReadCandidates(now, c.service.name, c.query(now))
		for _, name := range absent {
			e.readLoad(name, absentTime, nil)
		}
		if len(names) == 0 || e.readLoads(ctx, c, names) {
			return
		}
	}
}

// readLoads reads the load of targets at the same time. It returns true as soon as what is known is enough to place the
// call, and false once all have answered or the time is over.
func (e *Entry) readLoads(ctx context.Context, c *call, names []string) bool {
	read := make(chan struct{}, len(names))
	for _, name := range names {
		e.readLoad(name, e.surveyLimit(), read)
	}
	for range names {
		select {
		case <-read:
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

// surveyLimit returns the time for load reads before a placement: surveyTime, and more on a machine that is slow itself.
func (e *Entry) surveyLimit() time.Duration {
	usual := time.Duration(e.readTime.Load())
	return min(max(readFactor*usual, surveyTime), absentTime)
}

// noteRead takes note of a load read that was sent at the given time: of how long it took, or of a target that did not
// answer.
func (e *Entry) noteRead(name string, sent time.Time, err error) {
	now := e.timers.Now()
	if err == nil {
		e.counters.reads[readAnswered].Inc()
		usual := e.readTime.Load()
		e.readTime.Store(usual + (int64(now.Sub(sent))-usual)/readWeight)
		return
	}
	e.calls.Debug("load read failed", zap.String("target", name), zap.Duration("elapsed", now.Sub(sent)),
		zap.String("error", err.Error()))
	if errors.Is(err, target.ErrProbeBudgetExhausted) {
		e.counters.reads[readRefused].Inc()
		return
	}
	e.counters.reads[readLate].Inc()
	e.notify(e.table.LoadReadFailed(now, sent, name))
}

// readLoad reads the load of a target in the background and tells read, unless that is nil, when it has ended.
func (e *Entry) readLoad(name string, limit time.Duration, read chan<- struct{}) {
	p := e.view.Load().pools[name]
	e.tasks.Go(func() {
		if p != nil {
			// Taken before the limit begins, so that a pause of this machine between the two does not make the read look
			// later than it was.
			sent := e.timers.Now()
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			_, err := p.ReadLoad(ctx)
			e.noteRead(name, sent, err)
		}
		if read != nil {
			read <- struct{}{}
		}
	})
}
