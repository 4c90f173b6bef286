package main

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against any break in the path of a call through separate processes: answers that are not whole or not the
// caller's own, bookings that run more than once, refusals that are not told apart. The whole session is a golden file.
func TestSession(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, `{}`)
	sort.Slice(p.entries, func(i, j int) bool { return p.entries[i].name < p.entries[j].name })
	var out strings.Builder
	steps := []struct {
		title, method, path, caller, key, body string
		entry                                  int
		pause                                  time.Duration
	}{
		{
			title:  "read at each entry",
			method: "GET",
			path:   "/availability/tides",
			caller: "web",
			entry:  0,
		},
		{
			method: "GET",
			path:   "/availability/tides",
			caller: "web",
			entry:  1,
		},
		{
			method: "GET",
			path:   "/availability/tides",
			caller: "web",
			entry:  2,
		},
		{
			method: "GET",
			path:   "/documents/welcome?size=256",
			caller: "reeftravel",
			entry:  3,
		},
		{
			title:  "book",
			method: "POST",
			path:   "/reservations/cottage-7",
			caller: "web",
			key:    "booking-1",
			body:   "3 nights",
			entry:  4,
			pause:  500 * time.Millisecond,
		},
		{
			title:  "repeat the booking at another entry",
			method: "POST",
			path:   "/reservations/cottage-7",
			caller: "web",
			key:    "booking-1",
			body:   "3 nights",
			entry:  5,
		},
		{
			title:  "use the key for another booking",
			method: "POST",
			path:   "/reservations/cottage-8",
			caller: "web",
			key:    "booking-1",
			body:   "3 nights",
			entry:  0,
		},
		{
			title:  "use the same key as another caller",
			method: "POST",
			path:   "/reservations/cottage-8",
			caller: "app",
			key:    "booking-1",
			body:   "1 night",
			entry:  1,
		},
		{
			title:  "book without a key",
			method: "POST",
			path:   "/reservations/cottage-9",
			caller: "web",
			entry:  2,
		},
		{
			title:  "be unknown",
			method: "GET",
			path:   "/availability/tides",
			caller: "nobody",
			entry:  3,
		},
		{
			title:  "ask for an unknown service",
			method: "GET",
			path:   "/tickets",
			caller: "web",
			entry:  4,
		},
	}
	for _, s := range steps {
		if s.title != "" {
			fmt.Fprintf(&out, "# %s\n", s.title)
		}
		r := p.call(p.client, p.entries[s.entry].caller, s.method, s.path, s.caller, s.key, s.body)
		assert.NilError(t, r.err)
		fmt.Fprintf(&out, "%s %s as %s at %s\n%d\n", s.method, s.path, s.caller, p.entries[s.entry].name, r.status)
		for _, name := range []string{"Skylarkbeam-Outcome", "Skylarkbeam-Reason", "Skylarkbeam-Replayed", "Retry-After", "Content-Length"} {
			if v := r.header.Get(name); v != "" {
				fmt.Fprintf(&out, "%s: %s\n", name, v)
			}
		}
		fmt.Fprintf(&out, "\n%s\n\n", strings.TrimSpace(r.body))
		time.Sleep(s.pause)
	}
	fmt.Fprintf(&out, "# runs of booking-1, of two callers: %d\n", p.runs("booking-1"))
	golden.Assert(t, out.String(), "session.golden")
}

// Guards against an address list that names an entry which is not in operation, or that misses one which is.
func TestAddressesAfterKill(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, `{}`)
	addresses := func(e *entryProcess) string {
		r := p.call(p.client, e.caller, "GET", "/skylarkbeam/addresses?domain=cairns", "", "", "")
		return r.body
	}
	for _, e := range p.entries {
		assert.Assert(t, strings.Contains(addresses(p.entries[1]), e.caller))
	}
	victim := p.entries[0]
	assert.NilError(t, victim.cmd.Process.Kill())
	// The other five answer every caller at once, without an operator.
	for i := range 200 {
		e := p.entries[1+i%5]
		path := fmt.Sprintf("/availability/%d", i)
		r := p.call(p.client, e.caller, "GET", path, "web", "", "")
		assert.Assert(t, r.whole("GET", path, "", ""), "call %d at %s: %d %v %v", i, e.name, r.status, r.header, r.err)
	}
	p.until("no entry names the killed one", func() bool {
		for _, e := range p.entries[1:] {
			if strings.Contains(addresses(e), victim.caller) {
				return false
			}
		}
		return true
	})
}

// Guards against an outage of the platform that stops reads, against a booking that waits for the platform or is
// refused with a false "not run", and against one that stays refused after the outage.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, `{}`)
	p.faults(`{"down":true}`)
	time.Sleep(6 * time.Second) // longer than the contact time: from now on only peers confirm the state
	for i := range 60 {
		e := p.entries[i%6]
		path := fmt.Sprintf("/availability/%d", i)
		r := p.call(p.client, e.caller, "GET", path, "web", "", "")
		assert.Assert(t, r.whole("GET", path, "", ""), "read %d at %s: %d %v %v", i, e.name, r.status, r.header, r.err)
		key := fmt.Sprintf("outage-%d", i)
		r = p.call(p.client, e.caller, "POST", "/reservations/x", "web", key, "")
		assert.Equal(t, r.status, http.StatusServiceUnavailable)
		assert.Equal(t, r.outcome(), "not-run")
		assert.Equal(t, r.header.Get("Skylarkbeam-Reason"), "table")
		assert.Assert(t, r.header.Get("Retry-After") != "")
		assert.Assert(t, r.elapsed < 250*time.Millisecond, "refused after %s", r.elapsed)
		assert.Equal(t, p.runs(key), 0)
	}
	p.faults(`{}`)
	p.until("bookings run again", func() bool {
		return p.call(p.client, p.entries[0].caller, "POST", "/reservations/x", "web", "outage-0", "").whole("POST", "/reservations/x", "outage-0", "")
	})
	assert.Equal(t, p.runs("outage-0"), 1)
}
