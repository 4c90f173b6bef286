package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/outcome"
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
		names, absent := e.table.Survey(now, c.service.name, c.query(now))
		for _, name := range absent {
			e.readLoad(name, absentTime, nil)
		}
		if len(names) == 0 || e.readLoads(ctx, names) {
			return
		}
	}
}

// readLoads reads the load of targets at the same time. It returns true as soon as one of them is idle and at its usual
// speed, and false once all have answered or the time is over.
func (e *Entry) readLoads(ctx context.Context, names []string) bool {
	reports := make(chan outcome.Report, len(names))
	for _, name := range names {
		e.readLoad(name, e.surveyLimit(), reports)
	}
	for range names {
		select {
		case r := <-reports:
			if r.Slots > 0 && r.Active+r.Queued == 0 && r.Slowness <= idleSlowness && r.Cold == 0 {
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

// noteRead takes a load read into the average.
func (e *Entry) noteRead(d time.Duration) {
	usual := e.readTime.Load()
	e.readTime.Store(usual + (int64(d)-usual)/readWeight)
}

// idleSlowness is the slowness up to which a call need not wait for the load of further targets.
const idleSlowness = 1.1

// readLoad reads the load of a target in the background and sends the report, the zero Report if there is none, to reports
// unless that is nil.
func (e *Entry) readLoad(name string, limit time.Duration, reports chan<- outcome.Report) {
	p := e.view.Load().pools[name]
	e.tasks.Go(func() {
		var report outcome.Report
		if p != nil {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			var err error
			start := e.timers.Now()
			report, err = p.Read(ctx)
			if err == nil {
				e.noteRead(e.timers.Now().Sub(start))
			}
			if err != nil && !errors.Is(err, target.ErrBudget) {
				e.table.Unread(e.timers.Now(), name)
			}
		}
		if reports != nil {
			reports <- report
		}
	})
}
