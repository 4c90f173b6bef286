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
		tables[i].SetRepeats(0.2)
		tables[i].SetBudget(window, 58)
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
			for table.Spend(now, "stock") {
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

// Guards against an entry that uses its part of the slack again after a restart.
func TestBudgetAfterStart(t *testing.T) {
	table := New(Options{
		Entries: 2,
		Started: epoch,
	})
	table.SetTargets(epoch, specs(1))
	table.SetBudget(10*time.Second, 20)
	tests := map[time.Duration]bool{
		0:                false,
		9 * time.Second:  false,
		11 * time.Second: true,
	}
	for after, want := range tests {
		assert.Equal(t, table.Spend(epoch.Add(after), "stock"), want, fmt.Sprint(after))
	}
}
