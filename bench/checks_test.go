package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var shapes = []Deployment{Beaconwatch, Mandacaru}

// runs returns the results of the configuration for the first seeds.
func runs(c Config, seeds uint64) []*Result {
	var configs []Config
	for seed := range seeds {
		c.Seed = seed + 1
		configs = append(configs, c)
	}
	return sweep(configs)
}

// mean returns the mean of a value over the results.
func mean(results []*Result, value func(r *Result) float64) float64 {
	sum := 0.0
	for _, r := range results {
		sum += value(r)
	}
	return sum / float64(len(results))
}

func p99(r *Result) float64 { return r.Percentile(99).Seconds() * 1000 }

// Guards against a long tail while two of ten targets are slow. The negative control is a policy that does not see how
// slow a target is.
func TestStragglers(t *testing.T) {
	t.Parallel()
	const bound = 1.5
	for _, shape := range shapes {
		c := Config{
			Shape:    shape,
			Load:     0.7,
			Duration: 5 * time.Second,
		}
		ratio := func(policy Policy, seeds uint64) float64 {
			c.Policy, c.Scenario = policy, NoFault
			without := mean(runs(c, seeds), p99)
			c.Scenario = Stragglers
			return mean(runs(c, seeds), p99) / without
		}
		have, control := ratio(Route, 2), ratio(TwoChoices, 1)
		t.Logf("%s: p99 with stragglers %.2f times that without, two choices %.2f", shape.Name, have, control)
		assert.Check(t, have <= bound, "want at most %v, have %v", bound, have)
		assert.Check(t, control > bound, "the control shows no fault: %v", control)
	}
}

// Guards against callers within their share that lose answers because others want more than there is: neither their
// good calls in a second nor, but for 1%, the part of their calls that is good may fall from 90% to 110% of capacity.
// The negative control admits without shares.
func TestOverload(t *testing.T) {
	t.Parallel()
	const bound = 0.99
	for _, shape := range shapes {
		c := Config{
			Shape:    shape,
			Scenario: NoFault,
			Duration: 8 * time.Second,
		}
		check := func(policy Policy, load float64, seeds uint64) []*Result {
			c.Policy, c.Load = policy, load
			return runs(c, seeds)
		}
		below, above := check(Route, 0.9, 2), check(Route, 1.1, 2)
		controlBelow, controlAbove := check(TwoChoices, 0.9, 1), check(TwoChoices, 1.1, 1)
		least := 1.0
		for i, caller := range Callers {
			rate := func(r *Result) float64 { return r.Goodput(i) }
			part := func(r *Result) float64 { return r.SuccessRatio(i) }
			ratio := mean(above, part) / mean(below, part)
			t.Logf("%s %s: good calls/s %.1f to %.1f, part ratio %.4f", shape.Name, caller.Name, mean(below, rate), mean(above, rate), ratio)
			assert.Check(t, mean(above, rate) >= mean(below, rate), caller.Name)
			if 1.1*caller.Load <= caller.Share {
				assert.Check(t, ratio >= bound, "%s: want %v, have %v", caller.Name, bound, ratio)
				least = min(least, mean(controlAbove, part)/mean(controlBelow, part))
			}
		}
		assert.Check(t, least < bound, "the control shows no fault: %v", least)
	}
}

// Guards callers within their share that use one entry only, while the largest takes more than its share from all
// entries. In the negative control the entries do not exchange what callers use.
func TestSticky(t *testing.T) {
	t.Parallel()
	for _, shape := range shapes {
		least := func(alone bool) float64 {
			least := 1.0
			results := runs(Config{
				Shape:           shape,
				Policy:          Route,
				Scenario:        NoFault,
				Load:            0.9,
				ExtraLoad:       0.5,
				StickyCallers:   true,
				NoUsageExchange: alone,
				Duration:        6 * time.Second,
			}, 2)
			for i := 1; i < len(Callers); i++ {
				part := mean(results, func(r *Result) float64 { return r.SuccessRatio(i) })
				t.Logf("%s %s alone %v: %.4f", shape.Name, Callers[i].Name, alone, part)
				least = min(least, part)
			}
			return least
		}
		have, control := least(false), least(true)
		assert.Check(t, have >= 0.99, "have %v", have)
		assert.Check(t, control < 0.99, "the control shows no fault: %v", control)
	}
}

// Guards against repeats and hedges that add load when there is trouble, in any scenario.
func TestRepeats(t *testing.T) {
	t.Parallel()
	for _, scenario := range Scenarios {
		for _, load := range []float64{0.5, 1.1} {
			for _, r := range runs(Config{
				Shape:    Beaconwatch,
				Policy:   Route,
				Scenario: scenario,
				Load:     load,
				Duration: 2 * time.Second,
			}, 1) {
				assert.Check(t, r.RetryRatio() <= 0.1, "%s at %v: %v", scenario, load, r.RetryRatio())
			}
		}
	}
}

// Guards against a target that attracts calls by failing fast. The negative control counts only calls in flight.
func TestFastFailer(t *testing.T) {
	t.Parallel()
	for _, shape := range shapes {
		part := func(policy Policy, seeds uint64) float64 {
			return mean(runs(Config{
				Shape:    shape,
				Policy:   policy,
				Scenario: FastFailer,
				Load:     0.7,
				Duration: 5 * time.Second,
			}, seeds), func(r *Result) float64 {
				total := 0
				for _, n := range r.calls {
					total += n
				}
				return float64(r.calls[4]) / float64(total)
			})
		}
		fair := 1 / float64(shape.Targets)
		have, control := part(Route, 2), part(LeastInFlight, 1)
		t.Logf("%s: part of the calls at the fast failer %.3f, least in flight %.3f", shape.Name, have, control)
		assert.Check(t, have <= fair, "want at most %v, have %v", fair, have)
		assert.Check(t, control > fair, "the control shows no fault: %v", control)
	}
}

// Guards the smallest caller against a flood by the largest, twice the capacity over all entries. The negative
// control admits without shares.
func TestFlood(t *testing.T) {
	t.Parallel()
	smallest := len(Callers) - 1
	for _, shape := range shapes {
		ratio := func(policy Policy, seeds uint64) (goodput, p99 float64) {
			c := Config{
				Shape:    shape,
				Policy:   policy,
				Scenario: NoFault,
				Load:     0.7,
				Duration: 6 * time.Second,
			}
			part := func(r *Result) float64 { return r.SuccessRatio(smallest) }
			without := mean(runs(c, seeds), part)
			c.ExtraLoad = 2
			with := runs(c, seeds)
			return mean(with, part) / without, mean(with, func(r *Result) float64 {
				return float64(r.callers[smallest].latency.ValueAtQuantile(99)) / 1000
			})
		}
		have, tail := ratio(Route, 2)
		control, _ := ratio(Random, 1)
		t.Logf("%s: goodput of the smallest caller %.4f of that without the flood, p99 %.1f ms; random %.4f", shape.Name, have, tail, control)
		assert.Check(t, have >= 0.99, "have %v", have)
		assert.Check(t, tail <= shape.Timeout.Seconds()*1000, "have %v", tail)
		assert.Check(t, control < 0.99, "the control shows no fault: %v", control)
	}
}

// Guards callers within their share, and targets in their cold start, while a whole failure domain vanishes without
// warning and returns cold. The negative control knows only the calls in flight.
func TestDeparture(t *testing.T) {
	t.Parallel()
	for _, shape := range shapes {
		least := func(policy Policy, seeds uint64) (least float64, violations int) {
			results := runs(Config{
				Shape:    shape,
				Policy:   policy,
				Scenario: DomainOutage,
				Load:     0.7,
				Duration: 6 * time.Second,
			}, seeds)
			least = 1
			for i := 1; i < len(Callers); i++ {
				least = min(least, mean(results, func(r *Result) float64 { return r.SuccessRatio(i) }))
			}
			for _, r := range results {
				violations += r.violations
			}
			return least, violations
		}
		have, violations := least(Route, 2)
		control, controlViolations := least(LeastInFlight, 1)
		t.Logf("%s: least goodput of a caller within its share %.4f, least in flight %.4f with %d calls over what cold targets bear",
			shape.Name, have, control, controlViolations)
		assert.Check(t, have >= 0.99, "have %v", have)
		assert.Equal(t, 0, violations)
		assert.Check(t, control < 0.99 && controlViolations > 0, "the control shows no fault: %v", control)
	}
}
