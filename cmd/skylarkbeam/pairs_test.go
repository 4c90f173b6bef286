package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against new work in a drained failure domain while another entry is killed and a paused one wakes later, and
// against an outage of the platform in which an entry is killed that stops reads, or makes a "not-run" false. The
// negative control for the drain is the time before it: the failure domain does get calls. That for the outage is the
// time after it: bookings run again, so that the refusals are its effect.
func TestTwoFaults(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, `{`+longDeadlines+`}`)
	t.Logf("seed %d", seed)
	t.Run("drain while an entry is paused and another killed", func(t *testing.T) { p.drainInPairs(t) })
	t.Run("outage while an entry is killed", func(t *testing.T) { p.outageInPairs(t) })
}

func (p *processes) drainInPairs(t *testing.T) {
	cairns := p.targetsIn(func(_, domain string) bool { return domain == "cairns" })
	kinds := newTally()
	calls := p.mixedLoad(2, func(e *entryProcess, r result) { kinds.add(e.name + " " + r.kind()) })
	a := p.follow(cairns)
	paused, killed := p.entry(5), p.entry(6)
	time.Sleep(500 * time.Millisecond)
	for _, e := range p.entries {
		assert.Assert(t, byEntry(a.since(nil))[e.name] > 0, "%s does not use the failure domain before the drain", e.name)
	}
	p.pause(paused)
	p.kill(killed)
	go p.command("drain", "domain=cairns")
	accepted := p.waitDrained("cairns")
	time.Sleep(time.Until(accepted.Add(drainLimit)))
	a.scan()
	before := a.snapshot()
	time.Sleep(500 * time.Millisecond)
	p.wake(paused)
	p.until("the woken entry has contact", func() bool {
		s := p.status(paused)
		return s != nil && s.Contact && slices.Contains(s.Domains, "cairns")
	})
	time.Sleep(time.Second)
	calls.stop()
	a.load.stop()
	a.scan()
	late := byEntry(a.since(before))
	t.Logf("last new call in the failure domain after the acceptance: %s; late calls %v; results %v", a.report(accepted), late, kinds)
	assert.Equal(t, len(late), 0)
	p.until("the failure domain is restored", func() bool {
		_, err := p.command("restore", "domain=cairns")
		return err == nil
	})
}

func (p *processes) outageInPairs(t *testing.T) {
	live := []*entryProcess{p.entry(1), p.entry(3), p.entry(4), p.entry(5)}
	targets := p.targetsOf("reservations")
	client := newClient(2 * time.Second)
	p.faults(`{"down":true}`)
	p.kill(p.entry(2))
	// Longer than the contact time: from now on only the entries confirm the state to each other.
	time.Sleep(6 * time.Second)
	kinds := newTally()
	calls := startLoad(8, func(w, i int, _ *rand.Rand) {
		e := live[w%len(live)]
		path := fmt.Sprintf("/availability/%d-%d", w, i)
		r := p.call(client, e.caller, "GET", path, "web", "", "")
		kinds.add("read " + r.kind())
		assert.Check(t, r.whole("GET", path, "", ""), "read at %s: %d %v %v", e.name, r.status, r.header, r.err)
		key := fmt.Sprintf("pair-%d-%d", w, i)
		r = p.call(client, e.caller, "POST", "/reservations/x", "web", key, "")
		kinds.add("booking " + r.kind())
		assert.Check(t, r.kind() == "not-run table" && r.status == http.StatusServiceUnavailable, "%s at %s: %s", key, e.name, r.kind())
		time.Sleep(20 * time.Millisecond)
	})
	time.Sleep(2 * time.Second)
	calls.stop()
	assert.Equal(t, len(sortedKeys(p.keys(targets), "pair-")), 0)
	p.faults(`{}`)
	for i, e := range live {
		key := fmt.Sprintf("pair-%d-0", i)
		p.until("bookings run again at "+e.name, func() bool {
			return p.call(client, e.caller, "POST", "/reservations/x", "web", key, "").whole("POST", "/reservations/x", key, "")
		})
		assert.Equal(t, p.runs(key), 1)
	}
	t.Logf("during the outage: %v; after it each of %d bookings ran once", kinds, len(live))
}
