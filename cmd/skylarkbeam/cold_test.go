package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ownedBy returns a target of a service that the entry owns.
func (p *processes) ownedBy(e *entryProcess, service string) string {
	if s := p.status(p.entry(1)); s != nil {
		for _, row := range s.TargetStatuses {
			if row.Owner == e.name && row.Service == service {
				return row.Target
			}
		}
	}
	p.t.Fatalf("%s owns no target of %s", e.name, service)
	return ""
}

func (p *processes) violations(targets []string) (sum int, text string) {
	for _, name := range targets {
		c := p.counts(name)
		sum += c.ColdViolations
		text += fmt.Sprintf(" %s %d of peak %d,%s", name, c.ColdViolations, c.MaxColdConcurrency, c.LastColdViolation)
	}
	return sum, text
}

// Guards against a cold target that gets more calls than it bears, summed over all entries: targets fall cold under
// load, while their owners are killed and replaced, or paused for so long that another entry takes over and then woken.
// The targets count by themselves. The negative control calls a cold target from six plain clients.
func TestColdStart(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, `{}`)
	t.Logf("seed %d", seed)
	kinds := newTally()
	calls := p.mixedLoad(3, func(_ *entryProcess, r result) { kinds.add(r.kind()) })
	killed, paused := p.entry(2), p.entry(3)
	fallen := []string{
		p.ownedBy(killed, "availability"), p.ownedBy(paused, "availability"), p.ownedBy(p.entry(5), "availability"),
		p.ownedBy(p.entry(6), "reservations"),
	}
	for _, name := range fallen {
		// Cold until the end of the test, so that each moment of it is a chance for a violation.
		p.control(name, "PATCH", "switches", `{"cold":"60s"}`)
		p.restart(name, false)
	}
	time.Sleep(time.Second)
	p.kill(killed)
	p.pause(paused)
	time.Sleep(time.Second)
	p.replace(2)
	for _, name := range fallen {
		p.restart(name, false)
		time.Sleep(200 * time.Millisecond)
	}
	p.until("another entry has warmed the paused one's target", func() bool {
		before := p.counts(fallen[1]).Calls
		time.Sleep(200 * time.Millisecond)
		return p.counts(fallen[1]).Calls > before
	})
	p.wake(paused)
	time.Sleep(time.Second)
	for _, name := range fallen {
		p.restart(name, false)
	}
	time.Sleep(time.Second)
	sum, text := p.violations(fallen)
	t.Logf("violations with closed connections:%s calls: %v", text, kinds)
	assert.Equal(t, sum, 0, text)
	kept := ""
	for _, name := range p.targetsOf("availability") {
		if !slices.Contains(fallen, name) {
			kept = name
		}
	}
	p.keepConnections(kept)
	calls.stop()
	// Negative control: nobody coordinates.
	p.control(kept, "POST", "reset", "")
	p.restart(kept, false)
	client := newClient(time.Second)
	plain := startLoad(p.t, 6, func(_, _ int, _ *rand.Rand) { p.direct(client, kept, "GET", "/availability/x", "") })
	time.Sleep(300 * time.Millisecond)
	plain.stop()
	sum, text = p.violations([]string{kept})
	t.Logf("negative control, six plain clients:%s", text)
	assert.Assert(t, sum > 0)
}

// keepConnections lets a target fall cold without closing its connections. Calls that are in flight cannot be recalled, and
// the first answer of the new instance has to be passed on, so nothing is asserted of the time until all entries know.
// Guards against calls of an entry that has had no answer of the new instance after that.
func (p *processes) keepConnections(name string) {
	p.control(name, "PATCH", "switches", `{"cold":"60s"}`)
	p.restart(name, true)
	start := time.Now()
	p.until("all entries take the target for cold", func() bool {
		return !slices.ContainsFunc(p.entries, func(e *entryProcess) bool { return p.use(e, name) != "cold" })
	})
	took := time.Since(start)
	_, text := p.violations([]string{name})
	p.t.Logf("kept connections: all entries know after %s, violations until then%s", took.Round(time.Millisecond), text)
	p.control(name, "POST", "reset", "")
	time.Sleep(3 * time.Second)
	sum, text := p.violations([]string{name})
	assert.Equal(p.t, sum, 0, text)
}

// use returns how an entry uses a target.
func (p *processes) use(e *entryProcess, target string) string {
	if s := p.status(e); s != nil {
		for _, row := range s.TargetStatuses {
			if row.Target == target {
				return row.RoutingState
			}
		}
	}
	return ""
}
