package share

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a forecast that mistakes a burst of calls for a sustained load, or that misses a sustained load.
func TestArrivals(t *testing.T) {
	steady := func(every, length time.Duration) []time.Duration {
		var list []time.Duration
		for arrivals := time.Duration(0); arrivals < length; arrivals += every {
			list = append(list, arrivals)
		}
		return list
	}
	burst := make([]time.Duration, 60)
	tests := map[string]struct {
		arrivals []time.Duration
		now      time.Duration
		want     float64
	}{
		"nothing": {
			arrivals: nil,
			now:      time.Second,
			want:     0,
		},
		"burst": {
			arrivals: burst,
			now:      100 * ms,
			want:     0,
		},
		"old burst": {
			arrivals: burst,
			now:      time.Minute,
			want:     0,
		},
		"steady load": {
			arrivals: steady(20*ms, 5*time.Second),
			now:      5 * time.Second,
			want:     50,
		},
		"recently started load": {
			arrivals: steady(20*ms, 1500*ms),
			now:      1500 * ms,
			want:     50,
		},
		"load that has ended": {
			arrivals: steady(20*ms, 5*time.Second),
			now:      8 * time.Second,
			want:     0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var a arrivalForecast
			for _, arrivals := range test.arrivals {
				a.record(testStart.Add(arrivals))
			}
			assert.Equal(t, a.rate(testStart.Add(test.now)), test.want)
		})
	}
}
