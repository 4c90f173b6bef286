package share

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers that come back and pass for new ones, and against new ones that pass for callers that have waited
// because they give their calls less time than others do. Load: callers that give their calls 85% to 100% of a time of their
// own; from the time of a refusal on, most calls have come back.
func TestPatience(t *testing.T) {
	const seed = 20261204
	tests := map[string]struct {
		// first are the times that callers begin with.
		first []time.Duration
		left  time.Duration
		want  time.Duration
	}{
		"nothing is known": {
			first: nil,
			left:  time.Second,
			want:  0,
		},
		"a new call": {
			first: []time.Duration{2500 * ms},
			left:  2300 * ms,
			want:  0,
		},
		"a call that came back": {
			first: []time.Duration{2500 * ms},
			left:  1400 * ms,
			want:  725 * ms,
		},
		"more time than usual": {
			first: []time.Duration{2500 * ms},
			left:  9 * time.Second,
			want:  0,
		},
		"two kinds, the shorter one": {
			first: []time.Duration{2500 * ms, time.Second},
			left:  950 * ms,
			want:  0,
		},
		"two kinds, between": {
			first: []time.Duration{2500 * ms, time.Second},
			left:  1900 * ms,
			want:  225 * ms,
		},
		"two kinds, below both": {
			first: []time.Duration{2500 * ms, time.Second},
			left:  500 * ms,
			want:  350 * ms,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			p := NewElapsedEstimator()
			for i := range 300 {
				if len(test.first) > 0 {
					p.Elapsed(start, time.Duration((0.85+0.15*r.Float64())*float64(test.first[i%len(test.first)])))
				}
			}
			p.RecordRefusal(start)
			for range 1000 {
				p.Elapsed(start.Add(ms), time.Duration(200+r.IntN(2200))*ms)
			}
			have := p.Elapsed(start.Add(ms), test.left)
			assert.Assert(t, (have-test.want).Abs() <= test.want/4, "want %s, have %s", test.want, have)
		})
	}
}

// Guards against a pattern that is read into times that are all different.
func TestPatienceWithoutPattern(t *testing.T) {
	r := rand.New(rand.NewPCG(20261204, 2))
	p := NewElapsedEstimator()
	for i := range 1000 {
		left := time.Duration(1+r.IntN(10_000)) * ms
		if have := p.Elapsed(start, left); i > 200 {
			assert.Assert(t, have <= left/4, "a call with %s left is taken to have waited %s", left, have)
		}
	}
}
