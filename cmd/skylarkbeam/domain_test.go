package main

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"skylarkbeam/setting"
)

const (
	// domainWork is how long a call runs at a target. It is long compared with the processor time of a call, so that the
	// slots of the targets run out before the processors of the machine do.
	domainWork = 12 * time.Millisecond
	// domainSlots are the slots of each target of examples/mandacaru.
	domainSlots = 4
	// domainLoad is the offered load of service stock as a part of its capacity with all failure domains.
	domainLoad = 0.7
	// domainOrders is the part of all calls that are purchase orders.
	domainOrders = 0.05
	// domainName is the failure domain that leaves. It has 2 of the 10 targets of stock, so that the others can carry the
	// load: 70% of 10 targets are 87.5% of 8.
	domainName = "natal"
)

// domainStages are the lengths of the stages. The stage of leaving begins when the drain is accepted.
var domainStages = []struct {
	name string
	time time.Duration
}{
	{
		name: "before",
		time: 5 * time.Second,
	},
	{
		name: "leaving",
		time: drainLimit,
	},
	{
		name: "out",
		time: 5 * time.Second,
	},
	{
		name: "returning",
		time: 10 * time.Second,
	},
}

// domainParts is the part of the load that each caller of a class sends. With all failure domains every caller is within
// its share; without one, the larger callers are slightly beyond theirs.
var domainParts = map[string]float64{
	"tablet":   0.03,
	"foreman":  0.075,
	"producer": 0.1,
	"office":   0.4,
}

// BenchmarkDomain measures what callers notice while a failure domain leaves and returns, on the settings of
// examples/mandacaru. Calls are sent at a fixed rate to entries drawn at random, whatever the answers do, and their times
// count from the intended sending. It prints a row for each stage and caller.
//
//	go test ./cmd/skylarkbeam -run '^$' -bench Domain -benchtime 1x
func BenchmarkDomain(b *testing.B) {
	folder, err := setting.LoadDir("../../examples/mandacaru")
	assert.NilError(b, err)
	p := startSetup(b, setup{
		settings: folder.Settings,
		extra: fmt.Sprintf(`{"services":{"stock":{"work":%[1]q},"orders":{"work":%[1]q},"documents":{"work":%[1]q}}}`,
			domainWork),
		targets: []string{"-slots", fmt.Sprint(domainSlots), "-work", domainWork.String(), "-cold", "2s", "-forget"},
	})
	for _, name := range p.targetsOf("orders") {
		p.control(name, "PATCH", "switches", fmt.Sprintf(`{"bear":%d}`, p.settings.Services["orders"].Cold.Bear))
	}
	tests := []struct {
		restart, down bool
	}{
		{
			restart: true,
		},
		{
			restart: false,
		},
		{
			restart: true,
			down:    true,
		},
		{
			restart: false,
			down:    true,
		},
	}
	for _, tt := range tests {
		b.Run(fmt.Sprintf("restart=%t/down=%t", tt.restart, tt.down), func(b *testing.B) {
			for range b.N {
				measureDomain(b, p, tt.restart, tt.down)
			}
		})
	}
}

func measureDomain(b *testing.B, p *processes, restart, down bool) {
	average, _ := os.ReadFile("/proc/loadavg")
	// A benchmark logs ten lines at most, so the rows are printed.
	var rows strings.Builder
	fmt.Fprintf(&rows, "seed %d, load average at the start %s\n", seed, strings.TrimSpace(string(average)))
	gone := p.targetsIn(func(service, domain string) bool { return service != "documents" && domain == domainName })
	var stock []string
	for _, name := range p.targetsOf("stock") {
		if !slices.Contains(gone, name) {
			stock = append(stock, name)
		}
	}
	violations := p.sum(gone).violations
	load := startDomainLoad(&rows, p)
	a := followCalls(p, gone)

	stage := func(n int) {
		load.stage.Store(int32(n))
		time.Sleep(domainStages[n].time)
	}
	stage(0)
	go p.command("drain", "domain="+domainName)
	accepted := p.waitDrained(domainName)
	if down {
		p.faults(`{"down":true}`)
	}
	stage(1)
	last := a.latest()
	before := p.sum(stock)
	stage(2)
	after := p.sum(stock)
	if last != a.latest() {
		b.Errorf("calls in the failure domain later than %s after the drain", drainLimit)
	}
	if restart {
		for _, name := range gone {
			p.restart(name, false)
		}
	}
	if down {
		p.faults(`{}`)
	}
	// The stage of returning begins with the command, which has to be retried for as long as the platform recovers.
	load.stage.Store(3)
	start := time.Now()
	p.until("the failure domain is restored", func() bool {
		_, err := p.command("restore", "domain="+domainName)
		return err == nil
	})
	restored := time.Since(start)
	stage(3)
	load.stop()
	a.stop()

	busy := float64(after.runs-before.runs) * domainWork.Seconds() /
		(after.at.Sub(before.at).Seconds() * float64(len(stock)*domainSlots))
	lastCall := max(last.Sub(accepted), 0)
	fmt.Fprintf(&rows, "last new call in the failure domain %s after the acceptance; the remaining %d targets of stock had %.1f%% of their slots taken by runs while it was out\n",
		lastCall.Round(time.Millisecond), len(stock), 100*busy)
	fmt.Fprintf(&rows, "return: accepted after %s, first call in the failure domain after %s, all its targets called after %s, %d violations of cold starts\n",
		restored.Round(time.Millisecond), a.first(start).Sub(start).Round(time.Millisecond),
		a.all(start).Sub(start).Round(time.Millisecond), p.sum(gone).violations-violations)
	load.report(&rows)
	fmt.Print(rows.String())
	b.ReportMetric(lastCall.Seconds()*1e3, "last-call-ms")
	b.ReportMetric(float64(load.total("stalled")), "stalled")
	b.ReportMetric(float64(load.total("cut")), "cut")
	b.ReportMetric(100*busy, "remaining-load-%")
	b.ReportMetric(0, "ns/op")
}

// sums are counts of several targets.
type sums struct {
	at               time.Time
	runs, violations int
}

func (p *processes) sum(targets []string) sums {
	s := sums{
		at: time.Now(),
	}
	for _, name := range targets {
		c := p.counts(name)
		s.runs += c.Runs
		s.violations += c.ColdViolations
	}
	return s
}

// callTimes follows when targets receive calls, without the keys of the calls. Times are those of the first reading that
// counts a call, about 20 ms after it at most.
type callTimes struct {
	load *load

	mu     sync.Mutex
	counts map[string]int
	seen   map[string][]time.Time
}

func followCalls(p *processes, targets []string) *callTimes {
	c := &callTimes{
		counts: map[string]int{},
		seen:   map[string][]time.Time{},
	}
	scan := func() {
		for _, name := range targets {
			n := p.counts(name).Calls
			c.mu.Lock()
			if have, ok := c.counts[name]; ok && n > have {
				c.seen[name] = append(c.seen[name], time.Now())
			}
			c.counts[name] = n
			c.mu.Unlock()
		}
	}
	scan()
	c.load = startLoad(p.t, 1, func(_, _ int, _ *rand.Rand) {
		scan()
		time.Sleep(10 * time.Millisecond)
	})
	return c
}

func (c *callTimes) stop() { c.load.stop() }

// latest returns the time of the last call at any of the targets.
func (c *callTimes) latest() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var last time.Time
	for _, times := range c.seen {
		if at := times[len(times)-1]; at.After(last) {
			last = at
		}
	}
	return last
}

// firsts returns the time of the first call after a moment at each target that has one.
func (c *callTimes) firsts(since time.Time) []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var firsts []time.Time
	for _, times := range c.seen {
		for _, at := range times {
			if at.After(since) {
				firsts = append(firsts, at)
				break
			}
		}
	}
	slices.SortFunc(firsts, time.Time.Compare)
	return firsts
}

// first returns the time of the first call after a moment, the moment itself if there is none.
func (c *callTimes) first(since time.Time) time.Time {
	if firsts := c.firsts(since); len(firsts) > 0 {
		return firsts[0]
	}
	return since
}

// all returns the first time at which all targets had a call after a moment, the moment itself if some have none.
func (c *callTimes) all(since time.Time) time.Time {
	firsts := c.firsts(since)
	if len(firsts) < len(c.counts) {
		return since
	}
	return firsts[len(firsts)-1]
}

// callLoad sends calls at a fixed rate and sums up their results by stage and caller.
type callLoad struct {
	p        *processes
	client   *http.Client
	stage    atomic.Int32
	done     chan struct{}
	finished sync.WaitGroup

	started time.Time

	mu   sync.Mutex
	rows map[callRow]*callSums
	// seconds counts the calls without an answer by the second of their sending.
	seconds map[int]map[string]int
}

type callRow struct {
	stage  int
	caller string
	order  bool
}

type callSums struct {
	latency *hdrhistogram.Histogram
	kinds   map[string]int
}

// plannedCall is one call of the open loop.
type plannedCall struct {
	row      callRow
	entry    *entryProcess
	key      string
	intended time.Time
	deadline time.Duration
}

func startDomainLoad(rows io.Writer, p *processes) *callLoad {
	l := &callLoad{
		p: p,
		client: &http.Client{
			Timeout: 5 * time.Second,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 512,
			},
		},
		done:    make(chan struct{}),
		started: time.Now(),
		rows:    map[callRow]*callSums{},
		seconds: map[int]map[string]int{},
	}
	capacity := float64(len(p.settings.Services["stock"].Targets)*domainSlots) / domainWork.Seconds()
	rate := capacity * domainLoad / (1 - domainOrders)
	fmt.Fprintf(rows, "%.0f calls/s, of which %.0f are purchase orders and the others are %.0f%% of the capacity of stock, %.0f calls/s\n",
		rate, rate*domainOrders, 100*domainLoad, capacity)
	l.finished.Go(func() { l.send(rate) })
	return l
}

// send starts calls at random intervals with the given rate per second.
func (l *callLoad) send(rate float64) {
	random := rand.New(rand.NewPCG(seed, 0))
	next := time.Now()
	run := time.Now().UnixNano()
	for i := 0; ; i++ {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-l.done:
			return
		default:
			time.Sleep(time.Until(next))
		}
		caller, class := l.drawCaller(random)
		service := "stock"
		order := random.Float64() < domainOrders
		if order {
			service = "orders"
		}
		c := plannedCall{
			row: callRow{
				stage:  int(l.stage.Load()),
				caller: caller,
				order:  order,
			},
			entry:    l.p.entries[random.IntN(len(l.p.entries))],
			key:      fmt.Sprintf("order-%d-%d", run, i),
			intended: next,
			deadline: time.Duration(min(class.Deadline, l.p.settings.Services[service].Deadline)),
		}
		l.finished.Go(func() { l.call(c) })
	}
}

// drawCaller draws a caller according to the parts of the load.
func (l *callLoad) drawCaller(random *rand.Rand) (string, setting.Class) {
	at := random.Float64()
	names := slices.Sorted(maps.Keys(l.p.settings.Callers))
	for _, name := range names {
		class := l.p.settings.Callers[name].Class
		at -= domainParts[class]
		if at < 0 || name == names[len(names)-1] {
			return name, l.p.settings.Classes[class]
		}
	}
	panic("no callers")
}

func (l *callLoad) call(c plannedCall) {
	method, path, key := http.MethodGet, "/stock/poles", ""
	if c.row.order {
		method, path, key = http.MethodPost, "/orders/kits", c.key
	}
	r := l.p.call(l.client, c.entry.caller, method, path, c.row.caller, key, "")
	elapsed := time.Since(c.intended)
	kind := r.kind()
	var timeout net.Error
	switch {
	case r.err != nil && errors.As(r.err, &timeout) && timeout.Timeout():
		kind = "stalled"
	case r.err != nil:
		kind = "cut"
	case elapsed > c.deadline:
		kind = "stalled"
	case kind == "answered" && !r.whole(method, path, key, ""):
		kind = "wrong"
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.rows[c.row]
	if row == nil {
		row = &callSums{
			latency: hdrhistogram.New(1, int64(time.Minute), 3),
			kinds:   map[string]int{},
		}
		l.rows[c.row] = row
	}
	row.kinds[kind]++
	if kind != "answered" {
		second := int(c.intended.Sub(l.started).Seconds())
		if l.seconds[second] == nil {
			l.seconds[second] = map[string]int{}
		}
		l.seconds[second][kind]++
	}
	if kind == "answered" {
		row.latency.RecordValue(int64(elapsed))
	}
}

func (l *callLoad) stop() {
	close(l.done)
	l.finished.Wait()
}

// total returns the number of calls that ended in a certain way.
func (l *callLoad) total(kind string) int {
	n := 0
	for _, row := range l.rows {
		n += row.kinds[kind]
	}
	return n
}

// report prints the calls without an answer by second, and the rows of all callers and of all callers together.
func (l *callLoad) report(rows io.Writer) {
	for _, second := range slices.Sorted(maps.Keys(l.seconds)) {
		fmt.Fprintf(rows, "second %d: without an answer %v\n", second, l.seconds[second])
	}
	for n, stage := range domainStages {
		for _, order := range []bool{false, true} {
			all := &callSums{
				latency: hdrhistogram.New(1, int64(time.Minute), 3),
				kinds:   map[string]int{},
			}
			for _, caller := range slices.Sorted(maps.Keys(l.p.settings.Callers)) {
				row := l.rows[callRow{
					stage:  n,
					caller: caller,
					order:  order,
				}]
				if row == nil {
					continue
				}
				all.latency.Merge(row.latency)
				for kind, count := range row.kinds {
					all.kinds[kind] += count
				}
				if !order {
					fmt.Fprintf(rows, "%-9s reads  %-10s %s\n", stage.name, caller, row)
				}
			}
			what := "reads"
			if order {
				what = "orders"
			}
			fmt.Fprintf(rows, "%-9s %-6s %-10s %s\n", stage.name, what, "all", all)
		}
	}
}

// String returns the number of calls, the part that was answered within the deadline, and how the others ended.
func (s *callSums) String() string {
	n := 0
	others := map[string]int{}
	for kind, count := range s.kinds {
		n += count
		if kind != "answered" {
			others[kind] = count
		}
	}
	ms := func(q float64) float64 { return float64(s.latency.ValueAtQuantile(q)) / 1e6 }
	return fmt.Sprintf("%6d calls, goodput %6.2f%%, p50 %5.1f p99 %5.1f p99.9 %5.1f max %5.1f ms, others %v",
		n, 100*float64(s.kinds["answered"])/float64(max(n, 1)), ms(50), ms(99), ms(99.9), float64(s.latency.Max())/1e6, others)
}
