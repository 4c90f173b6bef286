package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// booked is what became of one booking.
type booked struct {
	key      string
	answered bool
	// refused means that every answer was "not-run".
	refused bool
	// untrue means that the booking had run when every answer so far was "not-run".
	untrue bool
}

// checker asks the targets for the runs of keys that have just been refused, many keys at a time.
type checker struct {
	asked chan asked
}

type asked struct {
	key  string
	runs chan int
}

func startChecker(p *processes, targets []string) *checker {
	c := &checker{
		asked: make(chan asked, 64),
	}
	go func() {
		for first := range c.asked {
			batch := []asked{first}
			for len(c.asked) > 0 {
				batch = append(batch, <-c.asked)
			}
			keys := p.keys(targets)
			for _, a := range batch {
				a.runs <- keys[a.key]
			}
		}
	}()
	return c
}

func (c *checker) runs(key string) int {
	a := asked{
		key:  key,
		runs: make(chan int),
	}
	c.asked <- a
	return <-a.runs
}

// book sends a booking up to five times and asks the targets for runs after each "not-run".
func (c *checker) book(key string, random *rand.Rand, send func() result) booked {
	b := booked{
		key:     key,
		refused: true,
	}
	for range 1 + random.IntN(5) {
		r := send()
		b.answered = b.answered || r.outcome() == "answered"
		b.refused = b.refused && r.outcome() == "not-run"
		b.untrue = b.untrue || b.refused && c.runs(key) > 0
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
	return b
}

// untrue returns the bookings whose "not-run" was false, right after the answer or by the runs at the end.
func untrue(all []booked, runs map[string]int) []string {
	var keys []string
	for _, b := range all {
		if b.untrue || b.refused && runs[b.key] > 0 {
			keys = append(keys, b.key)
		}
	}
	return keys
}

// Guards against a booking that runs twice and against a "not-run" that is false, while bookings are repeated at other
// entries, answers of the table and of targets are lost, the table goes down and returns, and entries are killed,
// replaced, paused and woken. The negative controls send such bookings straight to the same targets: a client that repeats
// on any error runs bookings twice, and one that takes any error for "not run" is caught by the same check.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, `{}`)
	t.Logf("seed %d", seed)
	targets := p.targetsOf("reservations")
	losses := startLoad(p.t, 1, func(_, _ int, random *rand.Rand) {
		p.control(targets[random.IntN(len(targets))], "POST", "next?fault=drop", "")
		time.Sleep(60 * time.Millisecond)
	})
	const lossy = `{"lose":{"rate":0.05,"seed":20261204,"point":"any","late":"100ms"}}`
	p.faults(lossy)
	c := startChecker(p, targets)
	defer close(c.asked)
	client := newClient(time.Second)
	seen := newTally()
	var mu sync.Mutex
	var all []booked
	bookings := startLoad(p.t, 12, func(w, i int, random *rand.Rand) {
		key := fmt.Sprintf("once-%d-%d", w, i)
		b := c.book(key, random, func() result {
			e := p.entry(1 + random.IntN(6))
			r := p.call(client, e.caller, "POST", "/reservations/x", "web", key, "3 nights")
			seen.add(r.kind())
			if r.outcome() == "answered" {
				assert.Check(t, r.whole("POST", "/reservations/x", key, "3 nights"), "%s: %s", key, r.body)
			}
			return r
		})
		mu.Lock()
		defer mu.Unlock()
		all = append(all, b)
	})
	killed, paused := p.entry(1), p.entry(2)
	time.Sleep(time.Second)
	p.kill(killed)
	time.Sleep(time.Second)
	p.pause(paused)
	time.Sleep(time.Second)
	p.faults(`{"down":true}`)
	time.Sleep(2 * time.Second)
	p.faults(lossy)
	time.Sleep(2 * time.Second)
	p.wake(paused)
	time.Sleep(500 * time.Millisecond)
	p.replace(1)
	time.Sleep(time.Second)
	p.pause(p.entry(3))
	// Long enough to be marked gone by the others while it holds claims.
	time.Sleep(7 * time.Second)
	p.wake(p.entry(3))
	time.Sleep(time.Second)
	bookings.stop()
	losses.stop()
	p.faults(`{}`)
	// A call that waited in a paused entry ends at the latest with its deadline, which is below a second.
	time.Sleep(time.Second)
	runs := p.keys(targets)
	ran, answered, refused := 0, 0, 0
	for _, b := range all {
		n := runs[b.key]
		ran += n
		assert.Check(t, n <= 1, "%s ran %d times", b.key, n)
		if b.answered {
			answered++
			assert.Check(t, n == 1, "%s was answered and ran %d times", b.key, n)
		}
		if b.refused {
			refused++
		}
	}
	wrong := untrue(all, runs)
	assert.Check(t, len(wrong) == 0, "ran although each answer was not-run: %v", wrong)
	t.Logf("%d bookings: %d ran, %d answered, %d only refused; answers: %v", len(all), ran, answered, refused, seen)
	assert.Assert(t, answered > 0 && refused > 0 && seen.get("not-run table") > 0 && seen.get("broken") > 0)
	p.plainBookings(t, targets)
	p.falseRefusals(t, targets, c)
}

// falseRefusals shows that the check of TestAtMostOnce finds a false "not-run": the targets run bookings and drop the answers,
// and a client takes each broken connection for "not-run".
func (p *processes) falseRefusals(t *testing.T, targets []string, c *checker) {
	client := newClient(time.Second)
	var mu sync.Mutex
	var all []booked
	bookings := startLoad(p.t, 4, func(w, i int, random *rand.Rand) {
		key := fmt.Sprintf("false-%d-%d", w, i)
		b := c.book(key, random, func() result {
			target := targets[random.IntN(len(targets))]
			if random.IntN(2) == 0 {
				p.control(target, "POST", "next?fault=drop", "")
			}
			r := p.direct(client, target, "POST", "/reservations/x", key)
			if r.err != nil {
				r.header = http.Header{
					"Skylarkbeam-Outcome": {"not-run"},
				}
			}
			return r
		})
		mu.Lock()
		defer mu.Unlock()
		all = append(all, b)
	})
	time.Sleep(time.Second)
	bookings.stop()
	early, late := 0, 0
	runs := p.keys(targets)
	for _, b := range all {
		if b.untrue {
			early++
		}
		if b.refused && runs[b.key] > 0 {
			late++
		}
	}
	t.Logf("negative control: of %d bookings, %d ran when each answer was not-run; %d ran by the counts at the end and were only refused", len(all), early, late)
	assert.Assert(t, early > 0 && late > 0 && len(untrue(all, runs)) > 0)
}

// plainBookings shows that the faults at the targets make a client that repeats on any error run bookings twice.
func (p *processes) plainBookings(t *testing.T, targets []string) {
	losses := startLoad(p.t, 1, func(_, _ int, random *rand.Rand) {
		p.control(targets[random.IntN(len(targets))], "POST", "next?fault=drop", "")
		time.Sleep(20 * time.Millisecond)
	})
	client := newClient(time.Second)
	bookings := startLoad(p.t, 12, func(w, i int, random *rand.Rand) {
		for range 5 {
			r := p.direct(client, targets[random.IntN(len(targets))], "POST", "/reservations/x", fmt.Sprintf("plain-%d-%d", w, i))
			if r.err == nil && r.status == 200 {
				break
			}
		}
		time.Sleep(10 * time.Millisecond)
	})
	time.Sleep(time.Second)
	bookings.stop()
	losses.stop()
	twice, keys := 0, 0
	for key, n := range p.keys(targets) {
		if len(key) > 6 && key[:6] == "plain-" {
			keys++
			if n > 1 {
				twice++
			}
		}
	}
	t.Logf("negative control: %d of %d keys of a plain client ran more than once", twice, keys)
	assert.Assert(t, twice > 0, "the faults do not show with a plain client")
}
