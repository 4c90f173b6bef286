package share

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a forecast that takes a herd of calls for a load that goes on, or misses a load that does.
func TestArrivals(t *testing.T) {
	steady := func(every, length time.Duration) []time.Duration {
		var list []time.Duration
		for at := time.Duration(0); at < length; at += every {
			list = append(list, at)
		}
		return list
	}
	herd := make([]time.Duration, 60)
	tests := map[string]struct {
		at   []time.Duration
		now  time.Duration
		want float64
	}{
		"nothing": {
			at:   nil,
			now:  time.Second,
			want: 0,
		},
		"a herd": {
			at:   herd,
			now:  100 * ms,
			want: 0,
		},
		"a herd long ago": {
			at:   herd,
			now:  time.Minute,
			want: 0,
		},
		"a steady load": {
			at:   steady(20*ms, 5*time.Second),
			now:  5 * time.Second,
			want: 50,
		},
		"a load that began": {
			at:   steady(20*ms, 1500*ms),
			now:  1500 * ms,
			want: 50,
		},
		"a load that has gone": {
			at:   steady(20*ms, 5*time.Second),
			now:  8 * time.Second,
			want: 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var a arrivals
			for _, at := range test.at {
				a.note(start.Add(at))
			}
			assert.Equal(t, a.rate(start.Add(test.now)), test.want)
		})
	}
}
