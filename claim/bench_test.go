package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"skylarkbeam/store"
	"skylarkbeam/timer"
)

// loadGenerator calls managers at a fixed rate, whatever the decisions, and measures the latency of Acquire.
type loadGenerator struct {
	managers []*Manager
	rate     int // calls per second across all managers

	mu      sync.Mutex
	waits   *hdrhistogram.Histogram // in microseconds
	offered int
	refused int
	calls   sync.WaitGroup
}

func (l *loadGenerator) run(d time.Duration) {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	start, first := time.Now(), l.offered
	for now := range tick.C {
		elapsed := min(now.Sub(start), d)
		for l.offered < first+int(elapsed.Seconds()*float64(l.rate)) {
			manager, key := l.managers[l.offered%len(l.managers)], fmt.Sprint("call", l.offered)
			l.calls.Go(func() { l.call(manager, key) })
			l.offered++
		}
		if elapsed == d {
			return
		}
	}
}

// call acquires a claim and finishes it after 10 ms, so that each call takes two writes.
func (l *loadGenerator) call(manager *Manager, key string) {
	start := time.Now()
	granted, ok := manager.Acquire(context.Background(), key, "digest").(*Granted)
	wait := time.Since(start)
	l.mu.Lock()
	if ok {
		_ = l.waits.RecordValue(wait.Microseconds()) // Acquire ends after 250 ms, within the range of the histogram.
	} else {
		l.refused++
	}
	l.mu.Unlock()
	if ok {
		time.Sleep(10 * time.Millisecond)
		granted.Claim.Finish(200, "application/json", []byte(`{"booked":true}`))
	}
}

// BenchmarkClaims measures transactions per second and the latency of Acquire at several call rates, for six managers
// on a table with 5 ms latency and 300 writes per second, with groups and with one transaction for each write. One
// iteration takes one second: run it with -benchtime 10x.
func BenchmarkClaims(b *testing.B) {
	for _, disabled := range []mechanisms{{}, {
		grouping: true,
	}} {
		for _, rate := range []int{10, 100, 1000, 3000, 6000} {
			if disabled.grouping && rate > 1000 {
				continue // Almost all calls are already refused at 1000.
			}
			b.Run(fmt.Sprintf("groups=%v/calls=%d", !disabled.grouping, rate), func(b *testing.B) { benchmark(b, disabled, rate) })
		}
	}
}

func benchmark(b *testing.B, disabled mechanisms, rate int) {
	timers := timer.New()
	table := store.NewMemory(timers)
	l := &loadGenerator{
		rate:  rate,
		waits: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	for i := range 6 {
		manager := Open(Options{
			Table:       table,
			Entry:       fmt.Sprint("entry", i),
			Incarnation: fmt.Sprint("incarnation", i),
			Timers:      timers,
			disabled:    disabled,
		})
		defer manager.Close()
		l.managers = append(l.managers, manager)
	}
	time.Sleep(100 * time.Millisecond)
	assert.NilError(b, table.SetFaults(store.Faults{
		RequestDelay:    5 * time.Millisecond,
		WritesPerSecond: 300,
	}))
	before := table.Counters()
	b.ResetTimer()
	l.run(time.Duration(b.N) * time.Second)
	b.StopTimer()
	after := table.Counters()
	l.calls.Wait()
	perSecond := func(n uint64) float64 { return float64(n) / float64(b.N) }
	b.ReportMetric(perSecond(after.Writes-before.Writes), "transactions/s")
	b.ReportMetric(perSecond(after.Refused-before.Refused), "throttled/s")
	b.ReportMetric(perSecond(uint64(l.refused)), "refused/s")
	b.ReportMetric(float64(l.waits.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(l.waits.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(0, "ns/op")
}
