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

// load offers calls to ledgers at a fixed rate, whatever their answers, and measures Take.
type load struct {
	ledgers []*Manager
	rate    int // calls per second over all ledgers

	mu      sync.Mutex
	waits   *hdrhistogram.Histogram // in microseconds
	offered int
	refused int
	calls   sync.WaitGroup
}

func (l *load) run(d time.Duration) {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	start, first := time.Now(), l.offered
	for now := range tick.C {
		elapsed := min(now.Sub(start), d)
		for l.offered < first+int(elapsed.Seconds()*float64(l.rate)) {
			ledger, key := l.ledgers[l.offered%len(l.ledgers)], fmt.Sprint("call", l.offered)
			l.calls.Go(func() { l.call(ledger, key) })
			l.offered++
		}
		if elapsed == d {
			return
		}
	}
}

// call takes a claim and finishes it after 10 ms, so that each call has two writes.
func (l *load) call(ledger *Manager, key string) {
	start := time.Now()
	granted, ok := ledger.Acquire(context.Background(), key, "digest").(*Granted)
	wait := time.Since(start)
	l.mu.Lock()
	if ok {
		_ = l.waits.RecordValue(wait.Microseconds()) // Values beyond its range cannot occur: Take ends after 250 ms.
	} else {
		l.refused++
	}
	l.mu.Unlock()
	if ok {
		time.Sleep(10 * time.Millisecond)
		granted.Claim.Finish(200, "application/json", []byte(`{"booked":true}`))
	}
}

// BenchmarkClaims measures transactions per second and the waits of Take at several rates of calls, for six ledgers on
// a table with 5 ms latency and 300 writes a second, with groups and with a transaction for each write. One iteration
// is one second: run it with -benchtime 10x.
func BenchmarkClaims(b *testing.B) {
	for _, off := range []mechanisms{{}, {
		group: true,
	}} {
		for _, rate := range []int{10, 100, 1000, 3000, 6000} {
			if off.group && rate > 1000 {
				continue // Almost every call is refused at 1000 already.
			}
			b.Run(fmt.Sprintf("groups=%v/calls=%d", !off.group, rate), func(b *testing.B) { benchmark(b, off, rate) })
		}
	}
}

func benchmark(b *testing.B, off mechanisms, rate int) {
	timers := timer.New()
	table := store.NewMemory(timers)
	l := &load{
		rate:  rate,
		waits: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	for i := range 6 {
		ledger := Open(Options{
			Table:       table,
			Entry:       fmt.Sprint("entry", i),
			Incarnation: fmt.Sprint("incarnation", i),
			Timers:      timers,
			disabled:    off,
		})
		defer ledger.Close()
		l.ledgers = append(l.ledgers, ledger)
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
