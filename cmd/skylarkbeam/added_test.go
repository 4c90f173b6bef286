package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	addedSeconds = 10
	// clockTick is the unit of processor times in /proc, in hundredths of a second.
	clockTick = 10 * time.Millisecond
)

// BenchmarkAdded measures what an entry adds to a call: each worker sends the same call in turn straight to a target and
// through an entry, at a fixed rate. It prints both distributions, the processor time and allocations per call of the entry,
// and the rate that was reached, because workers that fall behind send late. The targets run their calls in no time, so that
// only the path counts.
//
//	go test ./cmd/skylarkbeam -run '^$' -bench Added -benchtime 1x
func BenchmarkAdded(b *testing.B) {
	p := startSetup(b, setup{
		extra:   `{}`,
		targets: []string{"-slots", "64", "-work", "0s", "-forget"},
	})
	var calls []addedCall
	for _, name := range p.targetsOf("availability") {
		calls = append(calls, addedCall{
			target: p.targets[name],
			path:   "/availability/tides",
			caller: "web",
		})
	}
	for _, rate := range []int{500, 2000, 6000, 10000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for range b.N {
				measureAdded(b, p, rate, calls)
			}
		})
	}
}

// BenchmarkGrowth measures the same for growing numbers of services, targets and callers at one rate, with calls spread
// evenly over all of them.
//
//	go test ./cmd/skylarkbeam -run '^$' -bench Growth -benchtime 1x
func BenchmarkGrowth(b *testing.B) {
	const rate = 2000
	tests := []sizes{
		{
			entries:  6,
			services: 3,
			targets:  30,
			callers:  8,
		},
		{
			entries:  6,
			services: 30,
			targets:  150,
			callers:  8,
		},
		{
			entries:  6,
			services: 120,
			targets:  600,
			callers:  100,
		},
	}
	for _, z := range tests {
		b.Run(fmt.Sprintf("services=%d/targets=%d/callers=%d", z.services, z.targets, z.callers), func(b *testing.B) {
			p := startSetup(b, setup{
				settings: z.settings(),
				extra:    `{}`,
				targets:  []string{"-slots", "64", "-work", "0s", "-forget"},
			})
			calls := growthCalls(p, z)
			// The first calls open the connections.
			measureAdded(b, p, rate, calls)
			for range b.N {
				measureAdded(b, p, rate, calls)
			}
		})
	}
}

// growthCalls returns a call of each caller to each target, in random order.
func growthCalls(p *processes, z sizes) []addedCall {
	var calls []addedCall
	for service := range p.settings.Services {
		for _, name := range p.targetsOf(service) {
			for caller := range z.callers {
				calls = append(calls, addedCall{
					target: p.targets[name],
					path:   "/" + service + "/x",
					caller: fmt.Sprintf("caller-%d", caller),
				})
			}
		}
	}
	slices.SortFunc(calls, func(a, b addedCall) int { return strings.Compare(a.path+a.target+a.caller, b.path+b.target+b.caller) })
	random := rand.New(rand.NewPCG(seed, 0))
	random.Shuffle(len(calls), func(i, j int) { calls[i], calls[j] = calls[j], calls[i] })
	return calls
}

// addedCall is a call that is sent straight to the target and through an entry.
type addedCall struct {
	target, path, caller string
}

// addedWorkers returns how many workers reach a rate. Each sends a call straight to a target and then one through an entry,
// so that 16 workers fall short of 10000/s once the two take more than 1.6 ms together.
func addedWorkers(rate int) int {
	if rate > 6000 {
		return 32
	}
	return 16
}

func measureAdded(b *testing.B, p *processes, rate int, list []addedCall) {
	e := p.entries[0]
	workerCount := addedWorkers(rate)
	before := usageOf(b, p, e)
	var mu sync.Mutex
	direct := hdrhistogram.New(1, int64(10*time.Second), 3)
	through := hdrhistogram.New(1, int64(10*time.Second), 3)
	failed := 0
	var workers sync.WaitGroup
	began := time.Now()
	for n := range workerCount {
		workers.Go(func() {
			client := &http.Client{
				Transport: &http.Transport{
					MaxIdleConnsPerHost: 4,
				},
			}
			interval := time.Second * time.Duration(workerCount) / time.Duration(rate)
			mine := [2]*hdrhistogram.Histogram{hdrhistogram.New(1, int64(10*time.Second), 3), hdrhistogram.New(1, int64(10*time.Second), 3)}
			bad := 0
			next := time.Now().Add(interval * time.Duration(n) / time.Duration(workerCount))
			for i := range rate * addedSeconds / workerCount {
				time.Sleep(time.Until(next))
				next = next.Add(interval)
				c := list[(i*workerCount+n)%len(list)]
				for side, address := range []string{c.target, e.caller} {
					start := time.Now()
					if !get(client, address, c) {
						bad++
						continue
					}
					mine[side].RecordValue(int64(time.Since(start)))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			direct.Merge(mine[0])
			through.Merge(mine[1])
			failed += bad
		})
	}
	workers.Wait()
	elapsed := time.Since(began)
	after := usageOf(b, p, e)
	calls := float64(through.TotalCount())
	us := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
	b.Logf("rate %d/s, %d calls a side, %d failed: direct p50 %.0f p99 %.0f p99.9 %.0f us; through an entry p50 %.0f p99 %.0f p99.9 %.0f us",
		rate, through.TotalCount(), failed, us(direct, 50), us(direct, 99), us(direct, 99.9), us(through, 50), us(through, 99), us(through, 99.9))
	b.ReportMetric(us(through, 50)-us(direct, 50), "added-p50-us")
	b.ReportMetric(us(through, 99)-us(direct, 99), "added-p99-us")
	b.ReportMetric(float64(after.cpu-before.cpu)/calls/1e3, "cpu-us/call")
	b.ReportMetric((after.mallocs-before.mallocs)/calls, "allocs/call")
	b.ReportMetric(calls/elapsed.Seconds(), "calls/s")
	b.ReportMetric(0, "ns/op")
}

func get(client *http.Client, address string, c addedCall) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+c.path, nil)
	if err != nil {
		return false
	}
	req.Header.Set("Skylarkbeam-Caller", c.caller)
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	return err == nil && n == 256 && resp.StatusCode == http.StatusOK
}

// usage is what a process has used since its start.
type usage struct {
	cpu     time.Duration
	mallocs float64
}

var mallocsMetric = regexp.MustCompile(`(?m)^go_memstats_mallocs_total (\S+)$`)

func usageOf(tb testing.TB, p *processes, e *entryProcess) usage {
	tb.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.cmd.Process.Pid))
	if err != nil {
		tb.Fatal(err)
	}
	// The fields after the name of the program, which ends with a parenthesis; utime and stime are the 14th and 15th of all.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	var u usage
	for _, field := range fields[11:13] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			tb.Fatal(err)
		}
		u.cpu += time.Duration(ticks) * clockTick
	}
	resp, err := p.client.Get("http://" + e.control + "/metrics")
	if err != nil {
		tb.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		tb.Fatal(err)
	}
	if m := mallocsMetric.FindSubmatch(data); m != nil {
		u.mallocs, _ = strconv.ParseFloat(string(m[1]), 64)
	}
	return u
}
