package entry_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/standin"
)

// Guards against a cold target that gets its next call while it still runs one that was given up, because the caller
// went away, a hedge was faster, the connection broke or went silent, or the time was over. The targets take 20 ms to
// stop a call that was given up.
func TestColdGivenUp(t *testing.T) {
	d := startStock(t, standin.Switches{
		Slots:  4,
		Bear:   1,
		Work:   standin.Duration(2 * time.Millisecond),
		Linger: standin.Duration(20 * time.Millisecond),
	})
	e := d.Entries[0]
	q := get("/stock/1")
	for range 100 {
		assert.Equal(t, send(context.Background(), e, q).outcome(), "answered")
	}
	cold := d.Targets["stock-2"].Target
	cold.Set(func(s *standin.Switches) { s.Cold, s.Warmup = standin.Duration(time.Minute), 5 })
	cold.Restart(false)
	cold.Reset()
	const callers = 6
	end := time.Now().Add(4 * time.Second)
	var group sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(20261204, uint64(i)))
		group.Go(func() {
			for time.Now().Before(end) {
				short := time.Duration(1+random.IntN(20)) * time.Millisecond
				ctx, cancel := context.WithCancel(context.Background())
				hurried := q
				switch random.IntN(3) {
				case 0:
					time.AfterFunc(short, cancel)
				case 1:
					hurried.timeout = short.String()
				}
				send(ctx, e, hurried)
				cancel()
			}
		})
	}
	for range 3 {
		time.Sleep(time.Second)
		cold.Next(standin.FaultCut, standin.FaultLate)
	}
	group.Wait()
	counts := cold.Counts()
	t.Logf("%d runs at the cold target, %d given up, peak %d", counts.Runs, counts.Canceled, counts.Peak)
	assert.Assert(t, counts.Runs > 10, "%d runs", counts.Runs)
	assert.Equal(t, counts.Violations, 0, counts.Last)
}
