package bench

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ownershipConfig lets targets fall cold every 2 s. With churn, entries die, join and pause.
func ownershipConfig(o Ownership, bear int, load float64, churn bool) Config {
	return Config{
		Shape:           Mandacaru,
		Policy:          Route,
		Scenario:        ColdRestarts,
		Load:            load,
		Duration:        20 * time.Second,
		Ownership:       o,
		ColdConcurrency: bear,
		ColdDuration:    3 * time.Second,
		Churn:           churn,
	}
}

// warming describes violations and times to warm.
func warming(results []*Result) (violations, warmed int, text string) {
	unwarmed := 0
	var warm []time.Duration
	for _, r := range results {
		violations += r.violations
		unwarmed += r.unwarmed
		warm = append(warm, r.warm...)
	}
	median, most := time.Duration(0), time.Duration(0)
	if n := len(warm); n > 0 {
		slices.Sort(warm)
		median, most = warm[n/2], warm[n-1]
	}
	return violations, len(warm), fmt.Sprintf("%d calls over what cold targets bear; %d warmed, median %v, longest %v; %d cold at the end",
		violations, len(warm), median.Round(time.Millisecond), most.Round(time.Millisecond), unwarmed)
}

// BenchmarkOwnership prints the comparison of the alternatives. It is one long run, so use -benchtime 1x.
func BenchmarkOwnership(b *testing.B) {
	for b.Loop() {
		for _, churn := range []bool{false, true} {
			for _, o := range []Ownership{SingleOwner, EvenQuota, Independent, OneCallPerEntry, NoTakeoverDelay} {
				for _, bear := range []int{1, 6} {
					_, _, text := warming(runs(ownershipConfig(o, bear, 0.5, churn), 12))
					fmt.Printf("%-13s churn %-5t bear %d: %s\n", o, churn, bear, text)
				}
			}
		}
	}
}

// Guards against a target that gets more than it bears in its cold start, over six entries whose knowledge is up to a
// second old, while entries die, join and pause. The alternatives are the negative controls: without ownership, even
// one call for each entry is too much.
func TestOwnership(t *testing.T) {
	t.Parallel()
	tests := []struct {
		ownership Ownership
		bear      int
		load      float64
		seeds     uint64
		safe      bool
		warms     bool
	}{
		{
			ownership: SingleOwner,
			bear:      1,
			load:      0.3,
			seeds:     4,
			safe:      true,
			warms:     true,
		},
		{
			ownership: SingleOwner,
			bear:      2,
			load:      0.3,
			seeds:     4,
			safe:      true,
			warms:     true,
		},
		{
			ownership: EvenQuota,
			bear:      1,
			load:      0.3,
			seeds:     2,
			safe:      true,
			warms:     false,
		},
		{
			ownership: EvenQuota,
			bear:      6,
			load:      0.3,
			seeds:     2,
			safe:      true,
			warms:     true,
		},
		{
			ownership: Independent,
			bear:      1,
			load:      0.3,
			seeds:     2,
			safe:      false,
			warms:     true,
		},
		{
			ownership: Independent,
			bear:      2,
			load:      0.3,
			seeds:     2,
			safe:      false,
			warms:     true,
		},
		{
			ownership: OneCallPerEntry,
			bear:      1,
			load:      0.3,
			seeds:     2,
			safe:      false,
			warms:     true,
		},
	}
	for _, test := range tests {
		t.Run(string(test.ownership), func(t *testing.T) {
			t.Parallel()
			violations, warmed, text := warming(runs(ownershipConfig(test.ownership, test.bear, test.load, true), test.seeds))
			t.Logf("bear %d: %s", test.bear, text)
			assert.Equal(t, test.safe, violations == 0)
			assert.Equal(t, test.warms, warmed > 0)
		})
	}
}
