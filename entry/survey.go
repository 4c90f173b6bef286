package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/target"
)

const (
	// surveyTime bounds the load reads before a placement. A target that needs longer is not worth waiting for.
	surveyTime = 25 * time.Millisecond
	// surveyRounds bounds the groups of targets whose load is read for one placement.
	surveyRounds = 2
)

// survey reads the load of the targets that are about to be compared for a call, as far as it is not known. Reports that
// came with earlier answers are out of date after milliseconds.
func (e *Entry) survey(ctx context.Context, c *call) {
	for range surveyRounds {
		now := e.timers.Now()
		names := e.table.Survey(now, c.service.name, c.query(now))
		if len(names) == 0 {
			return
		}
		e.readLoads(ctx, c, names)
	}
}

// readLoads reads the load of targets at the same time.
func (e *Entry) readLoads(ctx context.Context, c *call, names []string) {
	ctx, cancel := context.WithTimeout(ctx, surveyTime)
	defer cancel()
	pools := e.view.Load().pools
	var all sync.WaitGroup
	for _, name := range names {
		p := pools[name]
		if p == nil {
			continue
		}
		all.Go(func() {
			_, err := p.Read(ctx)
			if err != nil && !errors.Is(err, target.ErrBudget) && !errors.Is(ctx.Err(), context.Canceled) {
				e.table.Unread(e.timers.Now(), name)
			}
		})
	}
	all.Wait()
}
