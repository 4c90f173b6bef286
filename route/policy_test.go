package route

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkbeam/outcome"
)

func warmTable(n int) *Table {
	table := New(Options{
		Entries: 6,
	})
	table.SetTargets(epoch, testTargets(n))
	for i := range n {
		table.SetWarm(epoch, fmt.Sprintf("t%d", i), "a", 0)
	}
	return table
}

// sendCalls makes calls one after the other and returns how many each target got. Calls to targets in slow take ten
// times as long; calls to targets in failing fail immediately.
func sendCalls(table *Table, now time.Time, calls int, idempotent bool, slow, failing map[string]bool) (
	time.Time, map[string]int,
) {
	counts := map[string]int{}
	for range calls {
		p, _ := table.Pick(now, "stock", Query{
			Idempotent: idempotent,
		})
		counts[p.Target]++
		r := succeededAfter(5 * time.Millisecond)
		if slow[p.Target] {
			r.Latency *= 10
		}
		if failing[p.Target] {
			r.Kind, r.Latency = Failed, 100*time.Microsecond
		}
		p.Done(now.Add(r.Latency), r)
		now = now.Add(time.Millisecond)
	}
	return now, counts
}

// Guards against ejecting more than half of the targets, and against a target that is never tried again.
func TestEjection(t *testing.T) {
	table := warmTable(4)
	now, _ := sendCalls(table, epoch.Add(time.Minute), 500, true, nil, nil)
	now, got := sendCalls(table, now, 1000, true, nil, map[string]bool{"t0": true})
	assert.Assert(t, got["t0"] > 0 && got["t0"] < 60, "one failing: %v", got)
	_, back := sendCalls(table, now.Add(maxEjectionTime), 2000, true, nil, nil)
	assert.Assert(t, back["t0"] > 100, "recovered: %v", back)

	table = warmTable(4)
	now, _ = sendCalls(table, epoch.Add(time.Minute), 500, true, nil, nil)
	all := map[string]bool{"t0": true, "t1": true, "t2": true, "t3": true}
	now, _ = sendCalls(table, now, 400, true, nil, all)
	ejected := 0
	for _, s := range table.Status(now) {
		if !s.EjectedUntil.IsZero() {
			ejected++
		}
	}
	assert.Assert(t, ejected > 2, "ejected %d", ejected)
	_, got = sendCalls(table, now, 400, true, nil, all)
	assert.Assert(t, len(got) > 2, "all failing: %v", got)
}

// Guards against a slow target that keeps its load, and against one that gets no calls after it has recovered. Calls
// that cannot be hedged return to it later.
func TestSlowTarget(t *testing.T) {
	slow := map[string]bool{"t0": true}
	table := warmTable(4)
	now, _ := sendCalls(table, epoch.Add(time.Minute), 1000, true, nil, nil)
	now, got := sendCalls(table, now, 500, true, slow, nil)
	assert.Assert(t, got["t0"] < 60, "slow: %v", got)
	later := now.Add(3 * latencyDecayTime)
	_, nonIdempotent := sendCalls(table, later.Add(-2*latencyDecayTime), 20, false, slow, nil)
	assert.Equal(t, 0, nonIdempotent["t0"])
	_, got = sendCalls(table, later, 2000, true, nil, nil)
	assert.Assert(t, got["t0"] > 200, "recovered: %v", got)
}

// Guards against permits that are not counted as in flight, exceeded limits, and retries beyond their budget, in any
// order of events.
func TestTableProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 16).Draw(t, "targets")
		table := warmTable(n)
		table.SetLeaseFunc(leaseBetween(epoch, epoch.Add(time.Hour)))
		now := epoch
		var open []*Permit
		first, retries := 0, 0
		instance := 0
		name := func() string { return fmt.Sprintf("t%d", rapid.IntRange(0, n-1).Draw(t, "target")) }
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				if p, reason := table.Pick(now, "stock", Query{}); p != nil {
					first++
					open = append(open, p)
				} else {
					assert.Assert(t, reason == outcome.QueueFull || reason == outcome.Cold || reason == outcome.Drained, reason)
				}
			},
			"repeat": func(t *rapid.T) {
				q := Query{
					Tried:      []string{name()},
					Idempotent: true,
				}
				p := table.Retry(now, "stock", q)
				if rapid.Bool().Draw(t, "hedge") {
					if p != nil {
						retries++
						open = append(open, p)
					}
					p = table.Hedge(now, "stock", q)
					assert.Assert(t, p == nil || p.Target != q.Tried[0])
				}
				if p != nil {
					retries++
					open = append(open, p)
				}
			},
			"done": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "permit")
				p := open[i]
				open = append(open[:i], open[i+1:]...)
				p.Done(now, Result{
					Kind:    ResultKind(rapid.IntRange(0, int(Canceled)).Draw(t, "kind")),
					Latency: now.Sub(p.start),
					Report: outcome.Report{
						Instance: p.Instance,
						Slots:    2,
						Queued:   rapid.IntRange(0, 6).Draw(t, "queued"),
					},
				})
			},
			"fall": func(t *rapid.T) {
				instance++
				table.Observe(now, name(), instanceReport(fmt.Sprint(instance)))
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				assert.Assert(t, float64(retries) <= defaultRetryRatio*float64(first)+1e-9, "%d of %d", retries, first)
				counts := map[string]int{}
				for _, p := range open {
					counts[p.Target]++
				}
				for _, s := range table.Status(now) {
					assert.Equal(t, counts[s.Target], s.Inflight)
				}
				window, _ := table.Capacity(now, "stock", 1)
				assert.Assert(t, window >= 1)
			},
		})
	})
}

// Guards against a cold target that gets more calls from its owner than its limit, whatever was in flight before.
func TestColdLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := warmTable(2)
		table.SetLeaseFunc(leaseBetween(epoch, epoch.Add(time.Hour)))
		before := rapid.IntRange(0, 4).Draw(t, "before")
		for range before {
			table.Pick(epoch, "stock", Query{})
		}
		table.Observe(epoch, "t0", instanceReport("b"))
		cold := 0
		for range rapid.IntRange(0, 50).Draw(t, "calls") {
			if p, _ := table.Pick(epoch, "stock", Query{}); p != nil && p.Cold {
				cold++
			}
		}
		assert.Assert(t, cold <= 1, "%d cold calls", cold)
	})
}

// Guards against data races between calls, reports and changes of the targets.
func TestConcurrentUse(t *testing.T) {
	table := warmTable(8)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for n := range 300 {
				now := epoch.Add(time.Duration(n) * time.Millisecond)
				if p, _ := table.Pick(now, "stock", Query{}); p != nil {
					p.Done(now, succeededAfter(time.Millisecond))
				}
				table.Observe(now, fmt.Sprintf("t%d", i), outcome.Report{
					Instance: "a",
					Slots:    2,
				})
				table.Capacity(now, "stock", 1)
				if n%100 == i {
					table.SetTargets(now, testTargets(4+i%5))
				}
			}
		})
	}
	wg.Wait()
	for _, s := range table.Status(epoch) {
		assert.Equal(t, 0, s.Inflight)
	}
}

// warmServices returns a table with warm targets, spread over services, and the list of targets.
func warmServices(services, targets int) (*Table, []Target) {
	table := New(Options{
		Entries: 6,
	})
	list := testTargets(targets)
	for i := range list {
		list[i].Service = fmt.Sprintf("s%d", i%services)
	}
	table.SetTargets(epoch, list)
	for _, spec := range list {
		table.SetWarm(epoch, spec.Name, "a", 0)
	}
	return table, list
}

// BenchmarkPick measures Pick and Done of one call for growing numbers of services and targets.
func BenchmarkPick(b *testing.B) {
	for _, size := range [][2]int{{1, 10}, {3, 30}, {120, 600}, {120, 6000}, {1, 600}} {
		services, targets := size[0], size[1]
		b.Run(fmt.Sprintf("services=%d/targets=%d", services, targets), func(b *testing.B) {
			table, list := warmServices(services, targets)
			now := epoch.Add(time.Minute)
			r := succeededAfter(time.Millisecond)
			r.Report = outcome.Report{
				Instance: "a",
				Phase:    outcome.PhaseWarm,
				Slots:    2,
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(10 * time.Microsecond)
				p, _ := table.Pick(now, list[i%services].Service, Query{})
				p.Done(now, r)
			}
		})
	}
}

// BenchmarkPickParallel measures concurrent calls to one service and to many.
func BenchmarkPickParallel(b *testing.B) {
	for _, services := range []int{1, 120} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			table, list := warmServices(services, 600)
			now := epoch.Add(time.Minute)
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					p, _ := table.Pick(now, list[i%services].Service, Query{})
					p.Done(now, succeededAfter(time.Millisecond))
				}
			})
		})
	}
}
