package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulatedRoute is a route in the simulation of a trial: its part of the requests and its median latency.
type simulatedRoute struct {
	name   string
	part   float64
	median time.Duration
}

var simulatedRoutes = []simulatedRoute{
	{
		name:   "availability",
		part:   0.6,
		median: 20 * time.Millisecond,
	},
	{
		name:   "reservations",
		part:   0.3,
		median: 60 * time.Millisecond,
	},
	{
		name:   "documents",
		part:   0.1,
		median: 150 * time.Millisecond,
	},
}

// badness is what is wrong with the new version.
type badness struct {
	name string
	// failing is the part of its answers that fail, slowdown the factor of its latency, from a part of the trial on, and on
	// one route only if that is not empty.
	failing  float64
	slowdown float64
	from     float64
	route    string
}

// simulatedTrial is a trial of 12 s in which the versions are compared.
type simulatedTrial struct {
	rate float64
	// disturbed means that for two seconds a third of the answers of both versions fail, and the others are four times
	// slower, and that 1% fail all the time.
	disturbed bool
	bad       badness
}

// run returns whether the new version is rolled back.
func (s simulatedTrial) run(seed uint64) bool {
	random := rand.New(rand.NewPCG(seed, 7))
	order := NewOrder("s", "v2", 12, 1, 0)
	trial := order.Trial()
	const step = ReportInterval
	burst := time.Duration(random.Int64N(int64(trial - 2*time.Second)))
	var strata []Counts
	start := time.Unix(0, 0)
	p := NewParticipant(start, order, Bounds{
		Share: 0.1,
		Slack: 50,
	}, true)
	for at := time.Duration(0); at < trial; at += step {
		if at%stratumLength == 0 {
			strata = append(strata, Counts{})
		}
		counts := strata[len(strata)-1]
		progress := float64(at+step) / float64(trial)
		arrivals := poisson(random, s.rate*step.Seconds())
		p.Hear(start.Add(at), &Reply{
			Phase:   Trial{}.String(),
			Entries: 1,
			Exposed: true,
			Offset:  0.5,
			Age:     at,
		})
		for i := range arrivals {
			r := simulatedRoutes[0]
			switch x := random.Float64(); {
			case x > 0.9:
				r = simulatedRoutes[2]
			case x > 0.6:
				r = simulatedRoutes[1]
			}
			results := counts[r.name]
			side := &results.Old
			fresh := p.MayTake(start.Add(at+step*time.Duration(i)/time.Duration(arrivals)), r.name)
			p.Requested(r.name)
			if fresh {
				side = &results.New
				p.Took(r.name)
			}
			failing, slowdown := 0.0, math.Exp(0.35*random.NormFloat64())
			if s.disturbed {
				failing = 0.01
				if at >= burst && at < burst+2*time.Second {
					failing, slowdown = 0.33, 4*slowdown
				}
			}
			if fresh && progress > s.bad.from && (s.bad.route == "" || s.bad.route == r.name) {
				failing += s.bad.failing
				slowdown *= max(s.bad.slowdown, 1)
			}
			side.Answers++
			if random.Float64() < failing {
				side.Failures++
			} else {
				side.addLatency(time.Duration(slowdown * float64(r.median)))
			}
			counts[r.name] = results
		}
		if (Evidence{
			Strata: strata,
		}).Judge(false).Bad {
			return true
		}
	}
	return Evidence{
		Strata: strata,
	}.Judge(true).Bad
}

// poisson draws a number of events with a mean.
func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for limit, p := math.Exp(-min(mean, 500)), random.Float64(); p > limit; p *= random.Float64() {
		n++
	}
	if mean > 500 {
		return int(mean + math.Sqrt(mean)*random.NormFloat64())
	}
	return n
}

// Guards against a judgment that rolls back good versions or accepts bad ones more often than the design note states. The
// seeds are fixed, so the rates are as well.
func TestErrorRates(t *testing.T) {
	kinds := []badness{
		{
			name: "good",
		},
		{
			name:    "2% fail",
			failing: 0.02,
		},
		{
			name:    "5% fail",
			failing: 0.05,
		},
		{
			name:    "20% fail",
			failing: 0.2,
		},
		{
			name:    "all fail",
			failing: 1,
		},
		{
			name:    "20% fail from half of the trial on",
			failing: 0.2,
			from:    0.5,
		},
		{
			name:    "all fail on a route with 10% of the requests",
			failing: 1,
			route:   "documents",
		},
		{
			name:     "2 times slower",
			slowdown: 2,
		},
		{
			name:     "3 times slower",
			slowdown: 3,
		},
		{
			name:     "8 times slower",
			slowdown: 8,
		},
		{
			name:     "8 times slower on a route with 10% of the requests",
			slowdown: 8,
			route:    "documents",
		},
	}
	// most is the percentage of wrong decisions that the design note states, by rate, first without and then with other
	// faults, and one point for the rounding of other processors.
	most := map[string][6]float64{
		"good":                               {1, 1, 1, 1.3, 1, 1},
		"2% fail":                            {99.7, 41, 1, 99.7, 97, 41},
		"5% fail":                            {88, 3, 1, 97.3, 69, 1},
		"20% fail":                           {9, 1, 1, 47, 1, 1},
		"all fail":                           {1, 1, 1, 1, 1, 1},
		"20% fail from half of the trial on": {44.3, 1, 1, 84, 5, 1},
		"all fail on a route with 10% of the requests": {30, 1, 1, 64, 1, 1},
		"2 times slower": {16.3, 1, 1, 80.7, 2, 1},
		"3 times slower": {1, 1, 1, 2.7, 1, 1},
		"8 times slower": {1, 1, 1, 1, 1, 1},
		"8 times slower on a route with 10% of the requests": {33, 1, 1, 87, 1, 1},
	}
	seeds := map[float64]int{
		20:   300,
		200:  100,
		2000: 30,
	}
	for _, bad := range kinds {
		row := "| " + bad.name
		for i, disturbed := range []bool{false, true} {
			for j, rate := range []float64{20, 200, 2000} {
				wrong := 0
				for seed := range seeds[rate] {
					trial := simulatedTrial{
						rate:      rate,
						disturbed: disturbed,
						bad:       bad,
					}
					if trial.run(uint64(seed)) != (bad.name != "good") {
						wrong++
					}
				}
				percent := 100 * float64(wrong) / float64(seeds[rate])
				row += fmt.Sprintf(" | %.1f", percent)
				limits, ok := most[bad.name]
				assert.Assert(t, ok)
				assert.Check(t, percent <= limits[3*i+j], "%s at %g/s, disturbed %v: %.1f%% wrong", bad.name, rate, disturbed, percent)
			}
		}
		t.Log(row + " |")
	}
}
