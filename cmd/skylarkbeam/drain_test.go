package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drainLimit is the time after which a drained failure domain and a leaving target receive no new work (design, 1).
const drainLimit = 5 * time.Second

// arrivals follows which calls run at a set of targets, by their keys, which begin with the name of the entry. Times
// are those of the first reading that shows a key, at most a tenth of a second after the call.
type arrivals struct {
	p       *processes
	targets []string
	load    *load

	mu    sync.Mutex
	known map[string]bool
	last  map[string]time.Time
}

func (p *processes) follow(targets []string) *arrivals {
	a := &arrivals{
		p:       p,
		targets: targets,
		known:   map[string]bool{},
		last:    map[string]time.Time{},
	}
	a.scan()
	clear(a.last)
	a.load = startLoad(p.t, 1, func(_, _ int, _ *rand.Rand) {
		a.scan()
		time.Sleep(50 * time.Millisecond)
	})
	return a
}

// scan reads the keys once and returns the new ones. They began to run before it returns.
func (a *arrivals) scan() []string {
	keys := a.p.keys(a.targets)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var fresh []string
	for key := range keys {
		name, _, ok := strings.Cut(key, "/")
		if ok && !a.known[key] {
			a.known[key] = true
			a.last[name] = now
			fresh = append(fresh, key)
		}
	}
	return fresh
}

// report prints how long after a moment each entry sent its last new call.
func (a *arrivals) report(since time.Time) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var rows []string
	for _, e := range a.p.entries {
		at, ok := a.last[e.name]
		text := "none"
		if ok {
			text = at.Sub(since).Round(10 * time.Millisecond).String()
		}
		rows = append(rows, e.name+" "+text)
	}
	return strings.Join(rows, ", ")
}

// byEntry counts keys by the entry that they begin with.
func byEntry(keys []string) map[string]int {
	n := map[string]int{}
	for _, key := range keys {
		name, _, _ := strings.Cut(key, "/")
		n[name]++
	}
	return n
}

// mixedLoad calls each entry with reads and bookings, whose keys begin with the entry's name, and passes on the results.
func (p *processes) mixedLoad(workers int, seen func(*entryProcess, result)) *load {
	client := newClient(2 * time.Second)
	n := len(p.entries)
	return startLoad(p.t, workers*n, func(w, i int, random *rand.Rand) {
		e := p.entry(1 + w%n)
		key := fmt.Sprintf("%s/%d-%d", e.name, w, i)
		method, path := "GET", "/availability/x"
		if random.IntN(2) == 0 {
			method, path = "POST", "/reservations/x"
		}
		r := p.call(client, e.caller, method, path, "reeftravel", key, "")
		if r.err == nil && r.outcome() == "answered" {
			assert.Check(p.t, r.whole(method, path, key, ""), "%s: %s", key, r.body)
		}
		seen(e, r)
		time.Sleep(20 * time.Millisecond)
	})
}

// longCalls starts non-idempotent calls at the entries, which are not hedged, until some run for the given time at the targets.
func (p *processes) longCalls(entries []*entryProcess, targets []string, d time.Duration) (keys []string, results func() []result) {
	for _, name := range targets {
		p.control(name, "PATCH", "switches", fmt.Sprintf(`{"work":%q}`, d))
	}
	client := newClient(2*d + 5*time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	var all []result
	// A call runs at one of ten targets: with 60 calls, none ran at it in one of 72 runs.
	for i := range 200 {
		e := entries[i%len(entries)]
		key := fmt.Sprintf("long-%s-%d", e.name, i)
		group.Go(func() {
			r := p.call(client, e.caller, "POST", "/documents/x", "reeftravel", key, "")
			assert.Check(p.t, r.whole("POST", "/documents/x", key, ""), "%s: %v %d %v", key, r.err, r.status, r.header)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, r)
		})
		time.Sleep(20 * time.Millisecond)
		if keys = sortedKeys(p.keys(targets), "long-"); len(keys) >= 2 {
			break
		}
	}
	for _, name := range targets {
		p.control(name, "PATCH", "switches", `{"work":"4ms"}`)
	}
	return keys, func() []result {
		group.Wait()
		return all
	}
}

func sortedKeys(runs map[string]int, prefix string) []string {
	var keys []string
	for key := range runs {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// longDeadlines lets calls run for longer than a drain takes.
const longDeadlines = `"classes":{"agent":{"deadline":"30s"}},"services":{"availability":{"deadline":"30s"},"reservations":{"deadline":"30s"},"documents":{"deadline":"30s"}}`

// waitDrained waits for the acceptance of a drain and returns its time, at most 20 ms late.
func (p *processes) waitDrained(domain string) time.Time {
	deadline := time.Now().Add(startLimit)
	for time.Now().Before(deadline) {
		if s := p.status(p.entries[0]); s != nil && slices.Contains(s.DrainedDomains, domain) {
			return time.Now()
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.t.Fatalf("the drain of %s was not accepted", domain)
	return time.Time{}
}

// Guards against new work in a drained failure domain later than 5 s after the drain was accepted, at entries that are
// paused over the drain, cut from the platform, or cut from the platform and their peers, and against a drain that cuts
// calls in flight. In the negative control the entry that is cut from all serves without contact.
func TestDrain(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		serve []string
	}{
		{
			name: "stop",
		},
		{
			name:  "serve",
			serve: []string{"entry-4"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := startSetup(t, setup{
				extra:   `{` + longDeadlines + `}`,
				forward: true,
				serve:   tt.serve,
			})
			t.Logf("seed %d", seed)
			cairns := p.targetsIn(func(_, domain string) bool { return domain == "cairns" })
			documents := p.targetsIn(func(service, domain string) bool { return service == "documents" && domain == "cairns" })
			kinds := newTally()
			calls := p.mixedLoad(2, func(e *entryProcess, r result) { kinds.add(e.name + " " + r.kind()) })
			long, longResults := p.longCalls(p.entries, documents, 8*time.Second)
			assert.Assert(t, len(long) > 0, "no long call runs in the failure domain")
			a := p.follow(cairns)
			paused, alone := p.entry(2), p.entry(4)
			p.pause(paused)
			p.entry(3).table.Partition()
			p.isolate(alone)
			go p.command("drain", "domain=cairns")
			accepted := p.waitDrained("cairns")
			time.Sleep(time.Until(accepted.Add(drainLimit)))
			a.scan()
			// Everything that is new from here on began to run later than 5 s after the acceptance, but for the length of
			// the scan itself.
			before := a.snapshot()
			time.Sleep(time.Second)
			p.wake(paused)
			time.Sleep(2 * time.Second)
			calls.stop()
			a.load.stop()
			a.scan()
			late := byEntry(a.since(before))
			t.Logf("last new call in the failure domain after the acceptance: %s", a.report(accepted))
			t.Logf("late calls: %v; results: %v", late, kinds)
			assert.Equal(t, late[alone.name] > 0, len(tt.serve) > 0, "%d late calls at the entry without contact", late[alone.name])
			delete(late, alone.name)
			assert.Equal(t, len(late), 0, "late calls: %v", late)
			for _, r := range longResults() {
				assert.Check(t, r.outcome() == "answered")
			}
			t.Logf("%d calls of 8 s were in flight in the failure domain; none was cut", len(long))
			if len(tt.serve) == 0 {
				p.restore(cairns)
			}
		})
	}
}

// restore returns the failure domain, whose targets have restarted, and checks that no call stalls meanwhile.
func (p *processes) restore(cairns []string) {
	t := p.t
	p.heal()
	p.until("all entries have contact", func() bool {
		for _, e := range p.entries {
			if s := p.status(e); s == nil || !s.Contact {
				return false
			}
		}
		return true
	})
	for _, name := range cairns {
		p.restart(name, false)
	}
	kinds := newTally()
	var mu sync.Mutex
	var longest time.Duration
	calls := p.mixedLoad(2, func(e *entryProcess, r result) {
		kinds.add(r.kind())
		mu.Lock()
		defer mu.Unlock()
		longest = max(longest, r.elapsed)
		assert.Check(t, r.kind() == "answered", "%s: %v %d %v", e.name, r.err, r.status, r.header)
	})
	a := p.follow(cairns)
	start := time.Now()
	out, err := p.command("restore", "domain=cairns")
	assert.NilError(t, err, out)
	p.until("the failure domain works at each entry", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, e := range p.entries {
			if a.last[e.name].Before(start) {
				return false
			}
		}
		return true
	})
	took := time.Since(start)
	calls.stop()
	a.load.stop()
	violations := 0
	for _, name := range cairns {
		violations += p.counts(name).ColdViolations
	}
	t.Logf("return: every entry used the failure domain after %s; %v, longest call %s, %d violations of cold starts",
		took.Round(10*time.Millisecond), kinds, longest.Round(time.Millisecond), violations)
	assert.Equal(t, violations, 0)
	// A stall is a call that takes longer than the deadline that the smaller class of the example has.
	assert.Assert(t, longest < 800*time.Millisecond, "a call took %s", longest)
}

// snapshot returns the keys seen so far.
func (a *arrivals) snapshot() map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.known)
}

// since returns the keys that are not in a snapshot.
func (a *arrivals) since(before map[string]bool) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var keys []string
	for key := range a.known {
		if !before[key] {
			keys = append(keys, key)
		}
	}
	return keys
}
