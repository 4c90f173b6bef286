package bench

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// running limits the runs of all tests to four at a time, because the machine is shared.
var running = make(chan struct{}, 4)

// sweep runs all configurations and keeps their order.
func sweep(configs []Config) []*Result {
	results := make([]*Result, len(configs))
	var wg sync.WaitGroup
	for i, c := range configs {
		wg.Go(func() {
			running <- struct{}{}
			defer func() { <-running }()
			results[i] = Run(c)
		})
	}
	wg.Wait()
	return results
}

// spread formats the median of the values with the least and the largest.
func spread(values []float64) string {
	slices.Sort(values)
	least, most := values[0], values[len(values)-1]
	if most-least < 0.05 {
		return fmt.Sprintf("%.1f", values[len(values)/2])
	}
	return fmt.Sprintf("%.1f (%.1f-%.1f)", values[len(values)/2], least, most)
}

// BenchmarkPolicy prints the comparison of all policies. It is one long run, so use -benchtime 1x.
func BenchmarkPolicy(b *testing.B) {
	const seeds = 3
	for b.Loop() {
		fmt.Println("| user | scenario | load | policy | p50 ms | p99 ms | p99.9 ms | large % | medium % | small % | smallest % | repeats % | probes/s | over cold | refused and given up |")
		fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		var configs []Config
		for _, shape := range []Deployment{Beaconwatch, Mandacaru} {
			for _, scenario := range Scenarios {
				for _, load := range []float64{0.3, 0.7, 0.9, 1.1} {
					for _, policy := range Policies {
						for seed := range uint64(seeds) {
							configs = append(configs, Config{
								Shape:    shape,
								Policy:   policy,
								Scenario: scenario,
								Load:     load,
								Seed:     seed + 1,
								Duration: 8 * time.Second,
							})
						}
					}
				}
			}
		}
		results := sweep(configs)
		for i := 0; i < len(results); i += seeds {
			row(results[i : i+seeds])
		}
	}
}

// row prints the results of the seeds of one configuration.
func row(results []*Result) {
	c := results[0].config
	column := func(value func(r *Result) float64) string {
		var values []float64
		for _, r := range results {
			values = append(values, value(r))
		}
		return spread(values)
	}
	quantile := func(q float64) string {
		return column(func(r *Result) float64 { return r.Percentile(q).Seconds() * 1000 })
	}
	goodput := func(callers ...int) string {
		return column(func(r *Result) float64 {
			sum := 0.0
			for _, i := range callers {
				sum += 100 * r.SuccessRatio(i)
			}
			return sum / float64(len(callers))
		})
	}
	columns := []string{
		c.Shape.Name, string(c.Scenario), fmt.Sprintf("%.0f%%", 100*c.Load), string(c.Policy),
		quantile(50), quantile(99), quantile(99.9),
		goodput(0), goodput(1, 2, 3), goodput(4), goodput(5),
		column(func(r *Result) float64 { return 100 * r.RetryRatio() }),
		column((*Result).ProbeRate),
		column(func(r *Result) float64 { return float64(r.violations) }),
		results[len(results)/2].RefusalSummary(),
	}
	fmt.Println("| " + strings.Join(columns, " | ") + " |")
}
