package route

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
	"skylarkbeam/simulation"
)

func TestMain(m *testing.M) { simulation.Main(m, "1") }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testTargets(n int) []Target {
	list := make([]Target, n)
	for i := range list {
		list[i] = Target{
			Name:            fmt.Sprintf("t%d", i),
			Service:         "stock",
			Address:         netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+i)),
			Slots:           2,
			ColdConcurrency: 1,
			MinColdDuration: time.Second,
		}
	}
	return list
}

// succeededAfter is the result of a call that succeeded with the given latency.
func succeededAfter(latency time.Duration) Result {
	return Result{
		Latency: latency,
	}
}

// instanceReport is a report of an instance without phase and load.
func instanceReport(instance string) outcome.Report {
	return outcome.Report{
		Instance: instance,
	}
}

var idempotent = Query{
	Idempotent: true,
}

// Guards against refusals with a misleading reason.
func TestPickReasons(t *testing.T) {
	drained := testTargets(1)
	drained[0].Drained = true
	tests := []struct {
		name    string
		targets []Target
		warm    bool
		leaving bool
		calls   int
		want    outcome.Reason
	}{
		{
			name: "no such service",
			want: outcome.UnknownService,
		},
		{
			name:    "drained",
			targets: drained,
			warm:    true,
			want:    outcome.Drained,
		},
		{
			name:    "leaving",
			targets: testTargets(1),
			warm:    true,
			leaving: true,
			want:    outcome.Drained,
		},
		{
			name:    "cold and not owned",
			targets: testTargets(1),
			want:    outcome.Cold,
		},
		{
			name:    "all in use",
			targets: testTargets(1),
			warm:    true,
			calls:   2,
			want:    outcome.QueueFull,
		},
		{
			name:    "free",
			targets: testTargets(1),
			warm:    true,
			calls:   1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := epoch
			table := New(Options{})
			table.SetTargets(now, tt.targets)
			if tt.warm {
				table.SetWarm(now, "t0", "i0", 0)
			}
			if tt.leaving {
				table.SetLeaving("t0")
			}
			for range 40 { // lets the concurrency limit of the new target grow to its maximum
				now = now.Add(slowStartWindow)
				if p, _ := table.Pick(now, "stock", Query{}); p != nil {
					p.Done(now, succeededAfter(time.Millisecond))
				}
			}
			for range 2 * tt.calls {
				p, reason := table.Pick(now, "stock", Query{})
				assert.Assert(t, p != nil, reason)
			}
			_, have := table.Pick(now, "stock", Query{})
			assert.Equal(t, tt.want, have)
		})
	}
}
