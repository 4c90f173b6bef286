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
		"nothing is known":           {nil, time.Second, 0},
		"a new call":                 {[]time.Duration{2500 * ms}, 2300 * ms, 0},
		"a call that came back":      {[]time.Duration{2500 * ms}, 1400 * ms, 725 * ms},
		"more time than usual":       {[]time.Duration{2500 * ms}, 9 * time.Second, 0},
		"two kinds, the shorter one": {[]time.Duration{2500 * ms, time.Second}, 950 * ms, 0},
		"two kinds, between":         {[]time.Duration{2500 * ms, time.Second}, 1900 * ms, 225 * ms},
		"two kinds, below both":      {[]time.Duration{2500 * ms, time.Second}, 500 * ms, 350 * ms},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			p := NewPatience()
			for i := range 300 {
				if len(test.first) > 0 {
					p.Waited(start, time.Duration((0.85+0.15*r.Float64())*float64(test.first[i%len(test.first)])))
				}
			}
			p.Refused(start)
			for range 1000 {
				p.Waited(start.Add(ms), time.Duration(200+r.IntN(2200))*ms)
			}
			have := p.Waited(start.Add(ms), test.left)
			assert.Assert(t, (have-test.want).Abs() <= test.want/4, "want %s, have %s", test.want, have)
		})
	}
}

// Guards against a pattern that is read into times that are all different.
func TestPatienceWithoutPattern(t *testing.T) {
	r := rand.New(rand.NewPCG(20261204, 2))
	p := NewPatience()
	for i := range 1000 {
		left := time.Duration(1+r.IntN(10_000)) * ms
		if have := p.Waited(start, left); i > 200 {
			assert.Assert(t, have <= left/4, "a call with %s left is taken to have waited %s", left, have)
		}
	}
}
