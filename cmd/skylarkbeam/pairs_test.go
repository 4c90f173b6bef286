package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
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
		return s != nil && s.Contact && slices.Contains(s.DrainedDomains, "cairns")
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
	calls := startLoad(p.t, 8, func(w, i int, _ *rand.Rand) {
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

// Guards against new work in a failure domain that is drained while the platform answers after 2.5 s, which is too late for
// the entries (their limit is 2 s), and an entry is killed: the command must say that the drain was accepted once the platform answers after
// 1 s, and from 5 s after that on there is no new work. The negative control is the time before: the command is not
// decided, and each living entry has contact through its peers and sends calls to the failure domain.
func TestDrainSlowPlatform(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, `{}`)
	t.Logf("seed %d", seed)
	kinds := newTally()
	calls := p.mixedLoad(2, func(e *entryProcess, r result) { kinds.add(e.name + " " + r.kind()) })
	a := p.follow(p.targetsIn(func(_, domain string) bool { return domain == "cairns" }))
	live := p.entries[:5]
	p.faults(`{"hold":"2500ms"}`)
	p.kill(p.entry(6))
	var out string
	var err error
	var command sync.WaitGroup
	start := time.Now()
	command.Go(func() { out, err = p.commandAt(p.entry(1), "drain", "domain=cairns") })
	// Longer than the contact time: from now on only the entries confirm the state to each other.
	time.Sleep(4500 * time.Millisecond)
	slow := a.snapshot()
	p.until("each living entry uses the failure domain", func() bool { return len(byEntry(a.since(slow))) == len(live) })
	for _, e := range live {
		s := p.status(e)
		assert.Assert(t, s != nil && s.Contact && len(s.DrainedDomains) == 0, "%s: %+v", e.name, s)
	}
	p.faults(`{"hold":"1s"}`)
	accepted := p.waitDrained("cairns")
	command.Wait()
	version := acceptedVersion(t, out, err)
	time.Sleep(time.Until(accepted.Add(drainLimit)))
	a.scan()
	before := a.snapshot()
	time.Sleep(time.Second)
	calls.stop()
	a.load.stop()
	a.scan()
	late := byEntry(a.since(before))
	t.Logf("accepted as version %d after %s; last new call in the failure domain after that: %s; late calls %v; results %v", version,
		accepted.Sub(start).Round(10*time.Millisecond), a.report(accepted), late, kinds)
	assert.Equal(t, len(late), 0)
}
