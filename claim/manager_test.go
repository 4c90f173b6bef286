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

// Each of these disables one mechanism, for a control.
var (
	versionChecksDisabled = mechanisms{
		versionChecks: true,
	}
	readBackDisabled = mechanisms{
		readBack: true,
	}
	fenceDisabled = mechanisms{
		fence: true,
	}
	refusalDisabled = mechanisms{
		refusal: true,
	}
)

// uniquenessCases has all mechanisms enabled, and each mechanism that keeps claims unique or releases them disabled.
var uniquenessCases = map[string]mechanisms{
	"all mechanisms":          {},
	"version checks disabled": versionChecksDisabled,
	"read-back disabled":      readBackDisabled,
	"fence disabled":          fenceDisabled,
}

var unavailableFaults = store.Faults{
	Unavailable: true,
}

// environment is a table with managers in a synctest bubble.
type environment struct {
	t      *testing.T
	timers *timer.Service
	table  *store.Memory
	opened int
}

// simulate runs a test in simulated time.
func simulate(t *testing.T, run func(env *environment)) {
	t.Helper()
	simulation.Run(t, func(t *testing.T) {
		timers := timer.New()
		run(&environment{
			t:      t,
			timers: timers,
			table:  store.NewMemory(timers),
		})
	})
}

// runSimulated runs a subtest in simulated time.
func runSimulated(t *testing.T, name string, run func(t *testing.T, env *environment)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { simulate(t, func(env *environment) { run(t, env) }) })
}

// open returns a manager that has written its group row and is idle.
func (env *environment) open(entry string, disabled mechanisms) *Manager {
	return env.openOn(env.table, entry, disabled)
}

func (env *environment) openOn(table store.Table, entry string, disabled mechanisms) *Manager {
	env.opened++
	m := Open(Options{
		Table:       table,
		Entry:       entry,
		Incarnation: fmt.Sprintf("%s-%d", entry, env.opened),
		Timers:      env.timers,
		disabled:    disabled,
	})
	env.t.Cleanup(func() {
		m.Close()
		<-m.Done()
	})
	env.sleep(time.Second)
	return m
}

func (env *environment) faults(f store.Faults) { assert.NilError(env.t, env.table.SetFaults(f)) }

func (env *environment) sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func acquire(m *Manager, key string) Decision { return m.Acquire(context.Background(), key, "digest") }

func requireGranted(t *testing.T, d Decision) *Claim {
	t.Helper()
	g, ok := d.(*Granted)
	assert.Assert(t, ok, "have %#v, want a granted claim", d)
	return g.Claim
}

// describe returns a short description of a decision.
func describe(d Decision) string {
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

// Guards against a repeated call that is executed again, and against one that does not get the response of the first.
// With version checks disabled, another entry executes the repeated call.
func TestRepeat(t *testing.T) {
	keep := func(*Claim) {}
	finish := func(c *Claim) { c.Finish(201, "text/plain", []byte("booked")) }
	large := func(c *Claim) { c.Finish(201, "", []byte(strings.Repeat("x", MaxBodyBytes+1))) }
	type test struct {
		name      string
		end       func(*Claim)
		wait      time.Duration
		digest    string
		disabled  mechanisms
		wantSame  string // at the same manager
		wantOther string // at another manager, unless it depends on the order of two transactions
	}
	repeat := func(name string, end func(*Claim), wait time.Duration, same, other string) test {
		return test{
			name:      name,
			end:       end,
			wait:      wait,
			digest:    "digest",
			wantSame:  same,
			wantOther: other,
		}
	}
	mismatch := func(name string, end func(*Claim)) test {
		r := repeat(name, end, time.Second, "mismatch", "mismatch")
		r.digest = "other"
		return r
	}
	unchecked := repeat("running, version checks disabled", keep, 0, "busy a", "granted")
	unchecked.disabled = versionChecksDisabled
	const small, omitted = "done 201 text/plainbooked omitted=false", "done 201  omitted=true"
	tests := []test{
		repeat("running", keep, time.Hour, "busy a", "busy a"),
		repeat("finished just now", finish, 0, small, ""),
		repeat("finished", finish, time.Second, small, small),
		repeat("finished with a large response", large, time.Second, omitted, omitted),
		repeat("released just now", (*Claim).Release, 0, "unavailable", ""),
		repeat("released", (*Claim).Release, time.Second, "granted", "busy a"),
		repeat("abandoned", (*Claim).Abandon, 23*time.Hour, "busy a", "busy a"),
		mismatch("another request", keep),
		mismatch("another request, finished", finish),
		unchecked,
	}
	for _, test := range tests {
		runSimulated(t, test.name, func(t *testing.T, env *environment) {
			a, b := env.open("a", test.disabled), env.open("b", test.disabled)
			c := requireGranted(t, acquire(a, "k"))
			assert.Equal(t, describe(acquire(a, "k")), "busy a")
			env.sleep(time.Second) // Let the transaction interval elapse.
			test.end(c)
			if test.wait > 0 {
				env.sleep(test.wait)
			}
			assert.Equal(t, describe(a.Acquire(context.Background(), "k", test.digest)), test.wantSame)
			if test.wantOther != "" {
				assert.Equal(t, describe(b.Acquire(context.Background(), "k", test.digest)), test.wantOther)
			}
		})
	}
}
