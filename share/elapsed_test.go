package share

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against retried calls that are mistaken for new ones, and against new calls with short timeouts that are
// mistaken for retried ones. Load: callers that set 85% to 100% of their timeout; after the refusal, most calls are
// retries.
func TestElapsedEstimator(t *testing.T) {
	const seed = 20261204
	tests := map[string]struct {
		// initial are the initial timeouts of the callers.
		initial []time.Duration
		left    time.Duration
		want    time.Duration
	}{
		"no samples": {
			initial: nil,
			left:    time.Second,
			want:    0,
		},
		"new call": {
			initial: []time.Duration{2500 * ms},
			left:    2300 * ms,
			want:    0,
		},
		"retried call": {
			initial: []time.Duration{2500 * ms},
			left:    1400 * ms,
			want:    725 * ms,
		},
		"more time than usual": {
			initial: []time.Duration{2500 * ms},
			left:    9 * time.Second,
			want:    0,
		},
		"two timeouts, the shorter one": {
			initial: []time.Duration{2500 * ms, time.Second},
			left:    950 * ms,
			want:    0,
		},
		"two timeouts, between them": {
			initial: []time.Duration{2500 * ms, time.Second},
			left:    1900 * ms,
			want:    225 * ms,
		},
		"two timeouts, below both": {
			initial: []time.Duration{2500 * ms, time.Second},
			left:    500 * ms,
			want:    350 * ms,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			e := NewElapsedEstimator()
			for i := range 300 {
				if len(test.initial) > 0 {
					e.Elapsed(testStart, time.Duration((0.85+0.15*r.Float64())*float64(test.initial[i%len(test.initial)])))
				}
			}
			e.RecordRefusal(testStart)
			for range 1000 {
				e.Elapsed(testStart.Add(ms), time.Duration(200+r.IntN(2200))*ms)
			}
			have := e.Elapsed(testStart.Add(ms), test.left)
			assert.Assert(t, (have-test.want).Abs() <= test.want/4, "want %s, have %s", test.want, have)
		})
	}
}

// Guards against a pattern that is found in random timeouts.
func TestElapsedEstimatorWithoutPattern(t *testing.T) {
	r := rand.New(rand.NewPCG(20261204, 2))
	e := NewElapsedEstimator()
	for i := range 1000 {
		left := time.Duration(1+r.IntN(10_000)) * ms
		if have := e.Elapsed(testStart, left); i > 200 {
			assert.Assert(t, have <= left/4, "a call with %s left: estimated elapsed time %s", left, have)
		}
	}
}
