package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

// latencies are the results of one caller.
type latencies struct {
	mu       sync.Mutex
	hist     *hdrhistogram.Histogram
	kinds    map[string]int
	answered int
	sent     int
}

func newLatencies() *latencies {
	return &latencies{
		hist:  hdrhistogram.New(1, 60_000_000, 3),
		kinds: map[string]int{},
	}
}

func (l *latencies) add(r result, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	l.kinds[r.kind()]++
	if answered {
		l.answered++
		l.hist.RecordValue(r.elapsed.Microseconds())
	}
}

func (l *latencies) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	quantile := func(q float64) time.Duration {
		return (time.Duration(l.hist.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%d of %d answered, p50 %s, p99 %s, longest %s %v", l.answered, l.sent, quantile(50), quantile(99),
		quantile(100), l.kinds)
}

// Guards against a small caller that starves while the largest one floods all entries. The small caller stays within
// its share: 30 calls a second of a capacity of 1000. The negative control sends both loads straight to the targets.
//
// On a machine without free cores, the 240 callers in this process delay the small one: with six such tests on two cores it
// measured up to 982 ms for calls that the entries answered within 353 ms. Calls to a program that takes no part in the flood
// measure that delay, which the bound leaves out.
func TestFlood(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, `{"services":{"availability":{"work":"20ms"}}}`)
	t.Logf("seed %d", seed)
	targets := p.targetsOf("availability")
	for _, name := range targets {
		p.control(name, "PATCH", "switches", `{"work":"20ms"}`)
	}
	client := newClient(5 * time.Second)
	through := func(caller string, w, i int, _ *rand.Rand) (result, bool) {
		path := fmt.Sprintf("/availability/%d-%d", w, i)
		r := p.call(client, p.entries[w%6].caller, "GET", path, caller, "", "")
		return r, r.whole("GET", path, "", "")
	}
	direct := func(_ string, _, _ int, random *rand.Rand) (result, bool) {
		r := p.direct(client, targets[random.IntN(len(targets))], "GET", "/availability/x", "")
		return r, r.err == nil && r.status == 200
	}
	measure := func(send func(string, int, int, *rand.Rand) (result, bool), flood int) (small, large, delay *latencies) {
		small, large, delay = newLatencies(), newLatencies(), newLatencies()
		floods := startLoad(p.t, flood, func(w, i int, random *rand.Rand) {
			r, ok := send("reeftravel", w, i, random)
			large.add(r, ok)
			if !ok {
				time.Sleep(10 * time.Millisecond)
			}
		})
		// The flood is in full swing before the small caller is measured.
		time.Sleep(time.Second)
		calls := startLoad(p.t, 6, func(w, i int, random *rand.Rand) {
			start := time.Now()
			r, ok := send("web", w, i, random)
			small.add(r, ok)
			time.Sleep(time.Until(start.Add(200 * time.Millisecond)))
		})
		others := startLoad(p.t, 6, func(int, int, *rand.Rand) {
			start := time.Now()
			resp, err := client.Get("http://" + p.platform)
			assert.Check(t, err)
			if err == nil {
				resp.Body.Close()
			}
			delay.add(result{
				elapsed: time.Since(start),
			}, true)
			time.Sleep(time.Until(start.Add(200 * time.Millisecond)))
		})
		time.Sleep(3 * time.Second)
		calls.stop()
		others.stop()
		floods.stop()
		return small, large, delay
	}
	longest := func(l *latencies) time.Duration { return time.Duration(l.hist.Max()) * time.Microsecond }
	alone, _, _ := measure(through, 0)
	small, large, delay := measure(through, 240)
	t.Logf("smallest caller alone: %v", alone)
	t.Logf("smallest caller under the flood: %v", small)
	t.Logf("largest caller: %v", large)
	t.Logf("calls past the entries under the flood: %v", delay)
	atEntries := p.longestAnswer()
	t.Logf("longest time of an answered call by the entries' logs: %s", atEntries)
	plain, _, _ := measure(direct, 240)
	t.Logf("negative control, smallest caller straight to the targets under the flood: %v", plain)
	// The caller's class has a deadline of 800 ms; its share is far above what it asks for.
	assert.Equal(t, small.answered, small.sent)
	assert.Assert(t, atEntries > 0 && atEntries < 800*time.Millisecond)
	assert.Assert(t, longest(small) < 800*time.Millisecond+longest(delay), "%s, the delay of this process is %s", longest(small),
		longest(delay))
	assert.Assert(t, plain.answered < plain.sent)
}

// longestAnswer returns the longest time that an answered call took by the logs of the entries.
func (p *processes) longestAnswer() time.Duration {
	longest := time.Duration(0)
	for _, e := range p.entries {
		for _, line := range strings.Split(e.log.String(), "\n") {
			var row struct{ Msg, Elapsed string }
			if json.Unmarshal([]byte(line), &row) != nil || row.Msg != "answered" {
				continue
			}
			d, err := time.ParseDuration(row.Elapsed)
			assert.NilError(p.t, err)
			longest = max(longest, d)
		}
	}
	return longest
}
