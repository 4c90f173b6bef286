package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a retry ratio that has no effect, and against one that is exceeded.
func TestSetRetryRatio(t *testing.T) {
	for ratio, want := range map[float64]int{0: 0, 0.05: 10, 0.2: 40} {
		t.Run(fmt.Sprint(ratio), func(t *testing.T) {
			now := time.Unix(0, 0)
			table := New(Options{})
			table.SetRetryRatio(ratio)
			table.SetTargets(now, []Target{
				{
					Name:            "a",
					Service:         "stock",
					Slots:           4,
					ColdConcurrency: 1,
				},
			})
			table.SetWarm(now, "a", "1", 0)
			retries := 0
			for range 200 {
				now = now.Add(10 * time.Millisecond)
				p, reason := table.Pick(now, "stock", idempotent)
				assert.Assert(t, p != nil, "refused: %s", reason)
				p.Done(now, succeededAfter(time.Millisecond))
				if retry := table.Retry(now, "stock", idempotent); retry != nil {
					retries++
					retry.Done(now, succeededAfter(time.Millisecond))
				}
			}
			// The sum may be just short of a whole token because the ratios are not exact in binary.
			assert.Assert(t, retries == want || retries == want-1,
				"have %d retries of 200 first attempts, want %d", retries, want)
		})
	}
}

// Guards against calls that stem from retries and earn retries themselves, which would let retries multiply along a
// chain.
func TestRetriesEarnNoBudget(t *testing.T) {
	for _, fromRetry := range []bool{false, true} {
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
				FromRetry:  fromRetry,
			})
			assert.Assert(t, p != nil, "refused: %s", reason)
			p.Done(now, Result{
				Kind:    Succeeded,
				Latency: time.Millisecond,
			})
		}
		assert.Equal(t, table.SpendRetry(epoch, "stock"), !fromRetry, "from retry: %t", fromRetry)
	}
}
