package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against more repeats in any window than the share of the first attempts in that window and the slack, summed over
// the entries, when first attempts come in bursts and every repeat that is allowed is made. The control counts without a
// window.
func TestBudgetWindow(t *testing.T) {
	const (
		entries = 6
		window  = 10 * time.Second
		step    = 20 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(7, 7))
	tables := make([]*Table, entries)
	for i := range tables {
		tables[i] = New(Options{
			Entries: entries,
			Started: epoch.Add(-time.Minute),
		})
		tables[i].SetTargets(epoch, specs(1))
		tables[i].SetRetryRatio(0.2)
		tables[i].SetRetryBudget(window, 58)
	}
	type count struct{ first, repeats float64 }
	var counts []count
	for now := epoch; now.Before(epoch.Add(2 * time.Minute)); now = now.Add(step) {
		var c count
		rate := 5.0
		if now.Sub(epoch)/(4*time.Second)%3 == 0 {
			rate = 80
		}
		for _, table := range tables {
			s := table.view.Load().services["stock"]
			if random.Float64() < rate/entries*step.Seconds() {
				s.budget.earn(now, table.budgetRule(now))
				c.first++
			}
			for table.SpendRetry(now, "stock") {
				c.repeats++
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
			sum.repeats += c.repeats
		}
		limit := 0.2*sum.first + 58
		assert.Assert(t, sum.repeats <= limit, "%g repeats in the window that ends at %s, allowed %g", sum.repeats, time.Duration(i)*step, limit)
		used = max(used, sum.repeats/limit)
	}
	assert.Assert(t, used > 0.8, "only %g of the budget can be used", used)
}

// Guards against repeats that are allowed by the first attempts of a burst and are still in a window that has none of the
// burst. Load: bursts at random times, and failures that call for repeats in other spells, which end as they come.
func TestBudgetAfterBurst(t *testing.T) {
	const (
		window = 10 * time.Second
		step   = 50 * time.Millisecond
		share  = 0.2
		slack  = 20.0
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 11))
		table := New(Options{
			Entries: 1,
			Started: epoch.Add(-time.Minute),
		})
		table.SetTargets(epoch, specs(1))
		table.SetRetryRatio(share)
		table.SetRetryBudget(window, slack)
		s := table.view.Load().services["stock"]
		var first, repeats []float64 // sums before each step
		sum, spent := 0.0, 0.0
		rate, failing := 20.0, false
		for now := epoch; now.Before(epoch.Add(2 * time.Minute)); now = now.Add(step) {
			first, repeats = append(first, sum), append(repeats, spent)
			if random.Float64() < step.Seconds()/3 {
				rate = []float64{5, 20, 200}[random.IntN(3)]
			}
			if random.Float64() < step.Seconds()/2 {
				failing = !failing
			}
			for range int(rate*step.Seconds() + random.Float64()) {
				s.budget.earn(now, table.budgetRule(now))
				sum++
			}
			for failing && table.SpendRetry(now, "stock") {
				spent++
			}
		}
		n := int(window / step)
		for begin := n; begin+n < len(first); begin++ {
			in := func(from int) float64 { return first[from+n] - first[from] }
			limit := share*max(in(begin), in(begin-n), in(begin-n/2)) + slack
			have := repeats[begin+n] - repeats[begin]
			assert.Assert(t, have <= limit, "seed %d: %g repeats in the window from %s, allowed %g", seed, have, time.Duration(begin)*step, limit)
		}
		assert.Assert(t, spent > 0.3*share*sum, "seed %d: only %g repeats of %g first attempts", seed, spent, sum)
	}
}

// Guards against an entry that uses its part of the slack again after a restart.
func TestBudgetAfterStart(t *testing.T) {
	table := New(Options{
		Entries: 2,
		Started: epoch,
	})
	table.SetTargets(epoch, specs(1))
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
