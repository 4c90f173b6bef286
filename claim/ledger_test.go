package claim

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/simulation"
	"skylarkbeam/store"
	"skylarkbeam/timer"
)

// Each of these switches one mechanism off, as a control.
var (
	checksOff = mechanisms{
		check: true,
	}
	readBackOff = mechanisms{
		readBack: true,
	}
	fenceOff = mechanisms{
		fence: true,
	}
	refusalOff = mechanisms{
		refuse: true,
	}
)

// switched has all mechanisms on, and each of those that keep claims unique and free switched off.
var switched = map[string]mechanisms{
	"all mechanisms": {},
	"checks off":     checksOff,
	"read-back off":  readBackOff,
	"fence off":      fenceOff,
}

var downFault = store.Faults{
	Unavailable: true,
}

// world is a table with ledgers, inside a bubble of synctest.
type world struct {
	t      *testing.T
	timers *timer.Service
	table  *store.Memory
	opened int
}

// simulate runs a test in simulated time.
func simulate(t *testing.T, run func(w *world)) {
	t.Helper()
	simulation.Run(t, func(t *testing.T) {
		timers := timer.New()
		run(&world{
			t:      t,
			timers: timers,
			table:  store.NewMemory(timers),
		})
	})
}

// simulateCase runs a subtest in simulated time.
func simulateCase(t *testing.T, name string, run func(t *testing.T, w *world)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { simulate(t, func(w *world) { run(t, w) }) })
}

// open returns a ledger that is registered and waits for calls.
func (w *world) open(entry string, off mechanisms) *Manager {
	return w.openOn(w.table, entry, off)
}

func (w *world) openOn(table store.Table, entry string, off mechanisms) *Manager {
	w.opened++
	l := Open(Options{
		Table:       table,
		Entry:       entry,
		Incarnation: fmt.Sprintf("%s-%d", entry, w.opened),
		Timers:      w.timers,
		disabled:    off,
	})
	w.t.Cleanup(func() {
		l.Close()
		<-l.Done()
	})
	w.sleep(time.Second)
	return l
}

func (w *world) faults(f store.Faults) { assert.NilError(w.t, w.table.SetFaults(f)) }

func (w *world) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func take(l *Manager, key string) Decision { return l.Acquire(context.Background(), key, "digest") }

func mustGrant(t *testing.T, d Decision) *Claim {
	t.Helper()
	g, ok := d.(*Granted)
	assert.Assert(t, ok, "have %#v, want a granted claim", d)
	return g.Claim
}

// name describes a decision in a word or two.
func name(d Decision) string {
	switch d := d.(type) {
	case *Granted:
		return "granted"
	case *Done:
		return fmt.Sprintf("done %d %s%.9s omitted=%v", d.Status, d.Header.Get("Content-Type"), d.Body, d.Omitted)
	case *Busy:
		return "busy " + d.Entry
	case *Mismatch:
		return "mismatch"
	default:
		return "unavailable"
	}
}

// Guards against a repeat that is run again, and against one that does not get the answer of the first call. With the
// checks of versions switched off, another entry runs the repeat.
func TestRepeat(t *testing.T) {
	nothing := func(*Claim) {}
	finish := func(c *Claim) { c.Finish(201, "text/plain", []byte("booked")) }
	large := func(c *Claim) { c.Finish(201, "", []byte(strings.Repeat("x", MaxBodyBytes+1))) }
	type test struct {
		name   string
		end    func(*Claim)
		wait   time.Duration
		digest string
		off    mechanisms
		same   string // want at the same ledger
		other  string // want at another ledger, unless it depends on the order of two transactions
	}
	repeat := func(name string, end func(*Claim), wait time.Duration, same, other string) test {
		return test{
			name:   name,
			end:    end,
			wait:   wait,
			digest: "digest",
			same:   same,
			other:  other,
		}
	}
	mismatch := func(name string, end func(*Claim)) test {
		r := repeat(name, end, time.Second, "mismatch", "mismatch")
		r.digest = "other"
		return r
	}
	unchecked := repeat("running, checks off", nothing, 0, "busy a", "granted")
	unchecked.off = checksOff
	const small, omitted = "done 201 text/plainbooked omitted=false", "done 201  omitted=true"
	tests := []test{
		repeat("running", nothing, time.Hour, "busy a", "busy a"),
		repeat("finished just now", finish, 0, small, ""),
		repeat("finished", finish, time.Second, small, small),
		repeat("finished with a large answer", large, time.Second, omitted, omitted),
		repeat("released just now", (*Claim).Release, 0, "unavailable", ""),
		repeat("released", (*Claim).Release, time.Second, "granted", "busy a"),
		repeat("abandoned", (*Claim).Abandon, 23*time.Hour, "busy a", "busy a"),
		mismatch("another request", nothing),
		mismatch("another request, finished", finish),
		unchecked,
	}
	for _, test := range tests {
		simulateCase(t, test.name, func(t *testing.T, w *world) {
			a, b := w.open("a", test.off), w.open("b", test.off)
			c := mustGrant(t, take(a, "k"))
			assert.Equal(t, name(take(a, "k")), "busy a")
			w.sleep(time.Second) // The next group waits for its turn no longer.
			test.end(c)
			if test.wait > 0 {
				w.sleep(test.wait)
			}
			assert.Equal(t, name(a.Acquire(context.Background(), "k", test.digest)), test.same)
			if test.other != "" {
				assert.Equal(t, name(b.Acquire(context.Background(), "k", test.digest)), test.other)
			}
		})
	}
}
