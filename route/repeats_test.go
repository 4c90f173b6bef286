package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a setting of the retry budget that has no effect, and against one that is exceeded.
func TestSetRepeats(t *testing.T) {
	for share, want := range map[float64]int{0: 0, 0.05: 10, 0.2: 40} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			now := time.Unix(0, 0)
			table := New(Options{})
			table.SetRetryRatio(share)
			table.SetTargets(now, []Target{
				{
					Name:            "a",
					Service:         "stock",
					Slots:           4,
					ColdConcurrency: 1,
				},
			})
			table.SetWarm(now, "a", "1", 0)
			repeats := 0
			for range 200 {
				now = now.Add(10 * time.Millisecond)
				p, reason := table.Pick(now, "stock", idempotent)
				assert.Assert(t, p != nil, "refused: %s", reason)
				p.Done(now, took(time.Millisecond))
				if again := table.Retry(now, "stock", idempotent); again != nil {
					repeats++
					again.Done(now, took(time.Millisecond))
				}
			}
			// One token may be short of a whole one because the shares are not exact in binary.
			assert.Assert(t, repeats == want || repeats == want-1, "%d repeats of 200 first attempts, want %d", repeats, want)
		})
	}
}

// Guards against calls that descend from repeats and earn repeats themselves, which would let them multiply in a chain.
func TestDescendantsEarnNothing(t *testing.T) {
	for _, descendants := range []bool{false, true} {
		now := time.Unix(0, 0)
		table := New(Options{})
		table.SetTargets(now, []Target{
			{
				Name:            "a",
				Service:         "stock",
				Slots:           4,
				ColdConcurrency: 1,
			},
		})
		table.SetWarm(now, "a", "1", 0)
		for range 50 {
			now = now.Add(10 * time.Millisecond)
			p, reason := table.Pick(now, "stock", Query{
				Idempotent: true,
				FromRetry:  descendants,
			})
			assert.Assert(t, p != nil, "refused: %s", reason)
			p.Done(now, Result{
				Kind:    Succeeded,
				Latency: time.Millisecond,
			})
		}
		assert.Equal(t, table.SpendRetry(epoch, "stock"), !descendants, "descendants %t", descendants)
	}
}
