package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	addedWorkers = 16
	addedSeconds = 10
	// clockTick is the unit of processor times in /proc, in hundredths of a second.
	clockTick = 10 * time.Millisecond
)

// BenchmarkAdded measures what an entry adds to a call: each worker sends the same call in turn straight to a target and
// through an entry, at a fixed rate. It prints both distributions, and the processor time and allocations per call of the
// entry. The targets run their calls in no time, so that only the path counts.
//
//	go test ./cmd/skylarkbeam -run '^$' -bench Added -benchtime 1x
func BenchmarkAdded(b *testing.B) {
	p := startSetup(b, setup{
		extra:   `{}`,
		targets: []string{"-slots", "64", "-work", "0s", "-forget"},
	})
	for _, rate := range []int{500, 2000, 6000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for range b.N {
				measureAdded(b, p, rate)
			}
		})
	}
}

func measureAdded(b *testing.B, p *processes, rate int) {
	e := p.entries[0]
	var targets []string
	for name, address := range p.targets {
		if strings.HasPrefix(name, "availability") {
			targets = append(targets, address)
		}
	}
	before := usageOf(b, p, e)
	var mu sync.Mutex
	direct := hdrhistogram.New(1, int64(10*time.Second), 3)
	through := hdrhistogram.New(1, int64(10*time.Second), 3)
	failed := 0
	var workers sync.WaitGroup
	for n := range addedWorkers {
		workers.Go(func() {
			client := &http.Client{
				Transport: &http.Transport{
					MaxIdleConnsPerHost: 4,
				},
			}
			interval := time.Second * addedWorkers / time.Duration(rate)
			mine := [2]*hdrhistogram.Histogram{hdrhistogram.New(1, int64(10*time.Second), 3), hdrhistogram.New(1, int64(10*time.Second), 3)}
			bad := 0
			next := time.Now().Add(interval * time.Duration(n) / addedWorkers)
			for i := range rate * addedSeconds / addedWorkers {
				time.Sleep(time.Until(next))
				next = next.Add(interval)
				for side, address := range []string{targets[(i+n)%len(targets)], e.caller} {
					start := time.Now()
					if !get(client, address) {
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
	after := usageOf(b, p, e)
	calls := float64(through.TotalCount())
	us := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
	b.Logf("rate %d/s, %d calls a side, %d failed: direct p50 %.0f p99 %.0f p99.9 %.0f us; through an entry p50 %.0f p99 %.0f p99.9 %.0f us",
		rate, through.TotalCount(), failed, us(direct, 50), us(direct, 99), us(direct, 99.9), us(through, 50), us(through, 99), us(through, 99.9))
	b.ReportMetric(us(through, 50)-us(direct, 50), "added-p50-us")
	b.ReportMetric(us(through, 99)-us(direct, 99), "added-p99-us")
	b.ReportMetric(float64(after.cpu-before.cpu)/calls/1e3, "cpu-us/call")
	b.ReportMetric((after.mallocs-before.mallocs)/calls, "allocs/call")
	b.ReportMetric(0, "ns/op")
}

func get(client *http.Client, address string) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/availability/tides", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Skylarkbeam-Caller", "web")
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
