package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/store"
)

// versionLimit is the time after which an accepted configuration is in force everywhere (design, 1).
const versionLimit = 16 * time.Second

// reading is what the status of an entry said.
type reading struct {
	entry   *entryProcess
	at      time.Time
	contact bool
	version uint64
}

// versions reads the status of all entries again and again. The readings of an entry name are in order, across the
// processes that had the name.
type versions struct {
	load *load

	mu  sync.Mutex
	all []reading
}

func (p *processes) followVersions() *versions {
	v := &versions{}
	v.load = startLoad(p.t, len(p.entries), func(w, _ int, _ *rand.Rand) {
		e := p.entry(1 + w)
		// A process that knows no state yet has neither a version nor contact.
		if s := p.status(e); s != nil && (s.Contact || s.Version > 0) {
			v.mu.Lock()
			v.all = append(v.all, reading{
				entry:   e,
				at:      time.Now(),
				contact: s.Contact,
				version: s.Version,
			})
			v.mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
	})
	return v
}

func (v *versions) readings() []reading {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.all)
}

// shown returns when the process first showed at least the version and had contact, zero if it never did.
func (v *versions) shown(e *entryProcess, version uint64) time.Time {
	for _, r := range v.readings() {
		if r.entry == e && r.contact && r.version >= version {
			return r.at
		}
	}
	return time.Time{}
}

// reach waits until the entries show the version, within versionLimit of a moment, and returns how long the slowest took.
func (v *versions) reach(t *testing.T, version uint64, since time.Time, entries []*entryProcess) time.Duration {
	t.Helper()
	var slowest time.Duration
	for _, e := range entries {
		at := v.shown(e, version)
		for ; at.IsZero(); at = v.shown(e, version) {
			assert.Assert(t, time.Since(since) <= versionLimit, "%s does not run version %d", e.name, version)
			time.Sleep(20 * time.Millisecond)
		}
		slowest = max(slowest, at.Sub(since))
	}
	assert.Assert(t, slowest <= versionLimit, "version %d was in force after %s", version, slowest)
	return slowest.Round(10 * time.Millisecond)
}

// backward returns the readings that show a lower version than an earlier one of the same entry name.
func backward(all []reading) []reading {
	var found []reading
	highest := map[string]uint64{}
	for _, r := range all {
		if r.version < highest[r.entry.name] {
			found = append(found, r)
		}
		highest[r.entry.name] = max(highest[r.entry.name], r.version)
	}
	return found
}

// acceptedVersion returns the version that a command printed, which must have said that its change was accepted.
func acceptedVersion(t *testing.T, out string, err error) uint64 {
	t.Helper()
	assert.NilError(t, err, out)
	var version uint64
	_, err = fmt.Sscanf(out, "accepted as version %d", &version)
	assert.NilError(t, err, out)
	return version
}

// lostWrites returns how many answers of the table to writes were lost.
func (p *processes) lostWrites() int {
	var counters store.Counters
	r := p.call(p.client, p.platform, "GET", "/control/counters", "", "", "")
	assert.NilError(p.t, json.Unmarshal([]byte(r.body), &counters))
	return int(counters.Lost)
}

// drained checks which failure domains all entries know to be drained.
func (p *processes) drained(t *testing.T, domains ...string) {
	t.Helper()
	for _, e := range p.entries {
		s := p.status(e)
		assert.Assert(t, s != nil && slices.Equal(s.DrainedDomains, domains), "%s: %+v", e.name, s)
	}
}

// Guards against an accepted change that is not in force everywhere in time, that reverts, or of which the operator does
// not hear: while each answer of the table to a write is lost and an entry is paused over three changes, and in an outage
// of the platform that begins right after a change, while the entry that made it is killed and replaced. The negative
// controls are the paused entry, which the check of the time must miss, and its recorded versions with the first one
// repeated at the end, which the check for a return must find.
func TestVersions(t *testing.T) {
	t.Parallel()
	p := startSetup(t, setup{
		extra: `{}`,
		seeds: true,
	})
	v := p.followVersions()
	t.Run("lost answers while an entry is paused", func(t *testing.T) { p.changeInLosses(t, v) })
	t.Run("outage while an entry is replaced", func(t *testing.T) { p.changeBeforeOutage(t, v) })
	v.load.stop()
	all := v.readings()
	found := backward(all)
	assert.Equal(t, len(found), 0, "%+v", found)
	again := slices.IndexFunc(all, func(r reading) bool { return r.entry == p.entry(5) })
	assert.Equal(t, len(backward(append(all, all[again]))), 1)
	t.Logf("%d readings, none goes back", len(all))
}

func (p *processes) changeInLosses(t *testing.T, v *versions) {
	paused := p.entry(5)
	others := slices.DeleteFunc(slices.Clone(p.entries), func(e *entryProcess) bool { return e == paused })
	p.pause(paused)
	p.faults(`{"lose":{"rate":1}}`)
	changes := [][]string{{"drain", "domain=cairns"}, {"drain", "domain=mackay"}, {"restore", "domain=cairns"}}
	var version uint64
	for i, c := range changes {
		start := time.Now()
		out, err := p.commandAt(p.entry(1+i), c[0], c[1:]...)
		version = acceptedVersion(t, out, err)
		decided := time.Since(start)
		took := v.reach(t, version, start, others)
		t.Logf("%v: accepted as version %d after %s, in force at five entries after %s", c, version, decided.Round(10*time.Millisecond), took)
	}
	assert.Assert(t, v.shown(paused, version).IsZero(), "the paused entry runs version %d", version)
	woken := time.Now()
	p.wake(paused)
	t.Logf("the woken entry runs version %d after %s", version, v.reach(t, version, woken, []*entryProcess{paused}))
	assert.Assert(t, p.lostWrites() >= len(changes))
	p.faults(`{}`)
	p.drained(t, "mackay")
}

func (p *processes) changeBeforeOutage(t *testing.T, v *versions) {
	var out string
	var err error
	var command sync.WaitGroup
	killed := p.entry(1)
	command.Go(func() { out, err = p.commandAt(killed, "drain", "domain=cairns") })
	accepted := p.waitDrained("cairns")
	p.faults(`{"down":true}`)
	command.Wait()
	version := acceptedVersion(t, out, err)
	p.kill(killed)
	p.replace(1)
	t.Logf("version %d is in force at all entries, the replaced one too, %s after the acceptance", version, v.reach(t, version, accepted, p.entries))
	// Longer than the contact time: from now on only the entries confirm the state to each other.
	time.Sleep(time.Until(accepted.Add(6 * time.Second)))
	out, err = p.commandAt(p.entry(2), "restore", "domain=cairns")
	assert.Assert(t, err != nil && strings.Contains(out, "refused"), out)
	p.faults(`{}`)
	p.drained(t, "cairns", "mackay")
}
