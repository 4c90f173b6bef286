package bench

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"text/tabwriter"
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
func spread(values []float64, unit string) string {
	slices.Sort(values)
	return fmt.Sprintf("%.1f%s (%.1f-%.1f)", values[len(values)/2], unit, values[0], values[len(values)-1])
}

// BenchmarkPolicy prints the comparison of all policies. It is one long run, so use -benchtime 1x.
func BenchmarkPolicy(b *testing.B) {
	const seeds = 3
	for b.Loop() {
		w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "user\tscenario\tload\tpolicy\tp50 ms\tp99 ms\tp99.9 ms\tlarge %\tmedium %\tsmallest %\trepeats %\tprobes/s\tover cold\trefused and given up")
		var configs []Config
		for _, shape := range []Shape{Beaconwatch, Mandacaru} {
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
								Length:   8 * time.Second,
							})
						}
					}
				}
			}
		}
		results := sweep(configs)
		for i := 0; i < len(results); i += seeds {
			row(w, results[i:i+seeds])
		}
		w.Flush()
	}
}

// row prints the results of the seeds of one configuration.
func row(w *tabwriter.Writer, results []*Result) {
	c := results[0].config
	column := func(unit string, value func(r *Result) float64) string {
		var values []float64
		for _, r := range results {
			values = append(values, value(r))
		}
		return spread(values, unit)
	}
	quantile := func(q float64) string {
		return column("", func(r *Result) float64 { return float64(r.Quantile(q).Microseconds()) / 1000 })
	}
	goodput := func(caller int) string {
		return column("", func(r *Result) float64 { return 100 * r.Goodput(caller) })
	}
	fmt.Fprintf(w, "%s\t%s\t%.0f%%\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
		c.Shape.Name, c.Scenario, 100*c.Load, c.Policy, quantile(50), quantile(99), quantile(99.9),
		goodput(0), goodput(1), goodput(len(Callers)-1),
		column("", func(r *Result) float64 { return 100 * r.Repeats() }),
		column("", (*Result).Probes),
		column("", func(r *Result) float64 { return float64(r.violations) }),
		results[len(results)/2].Refusals())
}
