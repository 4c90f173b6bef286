package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against more retries in any window, over all entries, than the ratio of the first attempts in that window plus
// the slack allows. First attempts come in bursts, and every allowed retry is made.
func TestBudgetWindow(t *testing.T) {
	const (
		entries = 6
		window  = 10 * time.Second
		step    = 20 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(7, 7))
	tables := make([]*Table, entries)
	for i := range tables {
		tables[i] = New(Options{
			Entries: entries,
			Started: epoch.Add(-time.Minute),
		})
		tables[i].SetTargets(epoch, testTargets(1))
		tables[i].SetRetryRatio(0.2)
		tables[i].SetRetryBudget(window, 58)
	}
	type count struct{ first, retries float64 }
	var counts []count
	for now := epoch; now.Before(epoch.Add(2 * time.Minute)); now = now.Add(step) {
		var c count
		rate := 5.0
		if now.Sub(epoch)/(4*time.Second)%3 == 0 {
			rate = 80
		}
		for _, table := range tables {
			s := table.view.Load().services["stock"]
			if rng.Float64() < rate/entries*step.Seconds() {
				s.budget.deposit(now, table.budgetConfig(now))
				c.first++
			}
			for table.SpendRetry(now, "stock") {
				c.retries++
			}
		}
		counts = append(counts, c)
	}
	n := int(window / step)
	used := 0.0
	for i := n; i <= len(counts); i++ {
		var sum count
		for _, c := range counts[i-n : i] {
			sum.first += c.first
			sum.retries += c.retries
		}
		limit := 0.2*sum.first + 58
		assert.Assert(t, sum.retries <= limit, "%g retries in the window that ends at %s, allowed %g",
			sum.retries, time.Duration(i)*step, limit)
		used = max(used, sum.retries/limit)
	}
	assert.Assert(t, used > 0.8, "only %g of the budget could be used", used)
}

// Guards against retries that were allowed by the first attempts of a burst and still fall into a window after the
// burst. Load: bursts at random times, and independent random periods of failures.
func TestBudgetAfterBurst(t *testing.T) {
	const (
		window = 10 * time.Second
		step   = 50 * time.Millisecond
		ratio  = 0.2
		slack  = 20.0
	)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 11))
		table := New(Options{
			Entries: 1,
			Started: epoch.Add(-time.Minute),
		})
		table.SetTargets(epoch, testTargets(1))
		table.SetRetryRatio(ratio)
		table.SetRetryBudget(window, slack)
		s := table.view.Load().services["stock"]
		var first, retries []float64 // sums before each step
		sum, spent := 0.0, 0.0
		rate, failing := 20.0, false
		for now := epoch; now.Before(epoch.Add(2 * time.Minute)); now = now.Add(step) {
			first, retries = append(first, sum), append(retries, spent)
			if rng.Float64() < step.Seconds()/3 {
				rate = []float64{5, 20, 200}[rng.IntN(3)]
			}
			if rng.Float64() < step.Seconds()/2 {
				failing = !failing
			}
			for range int(rate*step.Seconds() + rng.Float64()) {
				s.budget.deposit(now, table.budgetConfig(now))
				sum++
			}
			for failing && table.SpendRetry(now, "stock") {
				spent++
			}
		}
		n := int(window / step)
		for begin := n; begin+n < len(first); begin++ {
			in := func(from int) float64 { return first[from+n] - first[from] }
			limit := ratio*max(in(begin), in(begin-n), in(begin-n/2)) + slack
			have := retries[begin+n] - retries[begin]
			assert.Assert(t, have <= limit, "seed %d: %g retries in the window from %s, allowed %g",
				seed, have, time.Duration(begin)*step, limit)
		}
		assert.Assert(t, spent > 0.3*ratio*sum, "seed %d: only %g retries for %g first attempts", seed, spent, sum)
	}
}

// Guards against an entry that uses its part of the slack again after a restart.
func TestBudgetAfterStart(t *testing.T) {
	table := New(Options{
		Entries: 2,
		Started: epoch,
	})
	table.SetTargets(epoch, testTargets(1))
	table.SetRetryBudget(10*time.Second, 20)
	tests := map[time.Duration]bool{
		0:                false,
		9 * time.Second:  false,
		11 * time.Second: true,
	}
	for after, want := range tests {
		assert.Equal(t, table.SpendRetry(epoch.Add(after), "stock"), want, fmt.Sprint(after))
	}
}
