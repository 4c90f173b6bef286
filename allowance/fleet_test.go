package allowance

import (
	"cmp"
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testWorkspace = "harbour"

// testEntry is an entry of a simulated fleet.
type testEntry struct {
	name        string
	boots       int
	incarnation string
	desk        *Desk
	wallet      *Wallet
	limits      Limits
	frozen      bool
	dead        bool
	leaving     bool
	// knownAs is the incarnation that the others know; empty for the current one.
	knownAs string
	// side is the part of a partition that the entry is in. contact is set if it hears from the store.
	side    int
	contact bool
	// heardAt is when the entry last heard the others.
	heardAt map[string]time.Time
}

// testFleet is a simulated fleet. Time passes in steps of 10 ms, messages take none.
type testFleet struct {
	t       *testing.T
	now     time.Time
	limits  Limits
	entries []*testEntry
	passed  []time.Time
	refused int
	asks    int
	steps   int
}

func newTestFleet(t *testing.T, entries int, limits Limits) *testFleet {
	f := &testFleet{
		t:      t,
		now:    time.Unix(1e9, 0),
		limits: limits,
	}
	for range entries {
		f.start()
	}
	f.run(3*time.Second, nil)
	f.passed, f.refused, f.asks = nil, 0, 0
	return f
}

func (f *testFleet) start() *testEntry {
	e := &testEntry{
		name:    fmt.Sprintf("entry-%d", len(f.entries)),
		contact: true,
	}
	f.entries = append(f.entries, e)
	f.boot(e)
	return e
}

// boot starts the process of an entry.
func (f *testFleet) boot(e *testEntry) {
	e.boots++
	e.incarnation = fmt.Sprint(e.boots)
	e.desk, e.wallet, e.limits, e.dead, e.frozen = NewDesk(f.now), &Wallet{}, f.limits, false, false
	e.heardAt = map[string]time.Time{}
}

func (f *testFleet) connected(a, b *testEntry) bool {
	return a.side == b.side && !a.dead && !b.dead && !a.frozen && !b.frozen
}

// greet lets entries hear each other. An entry learns of a silent one from those that know it.
func (f *testFleet) greet() {
	heard := map[int]map[string]time.Time{}
	for _, e := range f.entries {
		if e.dead || e.frozen {
			continue
		}
		if heard[e.side] == nil {
			heard[e.side] = map[string]time.Time{}
		}
		for name, at := range e.heardAt {
			if heard[e.side][name].Before(at) {
				heard[e.side][name] = at
			}
		}
		heard[e.side][e.name] = f.now
	}
	for _, e := range f.entries {
		if !e.dead && !e.frozen {
			e.heardAt = maps.Clone(heard[e.side])
		}
	}
}

func (f *testFleet) view(e *testEntry) View {
	v := View{
		Self:    e.name,
		Contact: e.contact,
		Members: make([]Member, 0, len(f.entries)),
	}
	for _, other := range f.entries {
		at, heard := e.heardAt[other.name]
		if other == e {
			at, heard = f.now, true
		}
		if heard {
			v.Members = append(v.Members, Member{
				Name:        other.name,
				Incarnation: cmp.Or(other.knownAs, other.incarnation),
				Active:      !other.leaving,
				HeardAt:     at,
			})
		}
	}
	v.Alone = len(v.Members) == 1 && len(f.entries) > 1
	return v
}

func (f *testFleet) named(name string) *testEntry {
	for _, e := range f.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// run lets time pass and calls load at each step.
func (f *testFleet) run(d time.Duration, load func(step int)) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		if f.steps%20 == 0 {
			f.greet()
		}
		if f.steps%25 == 0 {
			for _, e := range f.entries {
				if e.dead || e.frozen {
					continue
				}
				for _, transfer := range e.desk.Tick(f.now, f.view(e), []string{testWorkspace}) {
					if to := f.named(transfer.To); f.connected(e, to) {
						to.desk.Accept(f.now, to.limits, testWorkspace, *transfer.Ask.Level)
					}
				}
			}
		}
		if load != nil {
			load(f.steps)
		}
		f.steps++
	}
}

// request sends a request to an entry and reports whether it was passed on.
func (f *testFleet) request(e *testEntry) bool {
	if e.dead || e.frozen {
		return true // It does not arrive.
	}
	if _, ok := e.wallet.Take(f.now); ok || f.borrow(e) {
		f.passed = append(f.passed, f.now)
		return true
	}
	f.refused++
	return false
}

func (f *testFleet) borrow(e *testEntry) bool {
	if _, held := e.wallet.Refusal(f.now, 0); held {
		return false
	}
	ask := e.wallet.Ask(f.now, e.limits, testWorkspace, 1)
	for range 3 {
		lender := f.named(e.desk.Lender(testWorkspace))
		if lender == nil {
			break
		}
		if lender.dead && lender.side == e.side {
			// The connection is refused.
			e.desk.RecordLost(f.now, map[string]string{lender.name: cmp.Or(lender.knownAs, lender.incarnation)})
			continue
		}
		if lender != e {
			f.asks++
		}
		if lender != e && !f.connected(e, lender) {
			break
		}
		ask.Lost = e.desk.Lost(f.now)
		loan := lender.desk.Lend(f.now, lender.limits, ask)
		if !loan.Lends {
			break
		}
		granted := min(loan.Permits, 1)
		e.wallet.Receive(f.now, f.now, e.limits, loan, loan.Permits-granted)
		return granted == 1
	}
	return e.desk.KnowsFleet(f.now) && e.wallet.TakeContactless(f.now, e.limits, len(f.view(e).Members))
}

// spread sends requests at a rate, each to an entry that choose names.
func (f *testFleet) spread(rate float64, choose func(n int) *testEntry) func(int) {
	due, n := 0.0, 0
	return func(int) {
		for due += rate / 100; due >= 1; due-- {
			f.request(choose(n))
			n++
		}
	}
}

func (f *testFleet) turns(n int) *testEntry { return f.entries[n%len(f.entries)] }

// most returns the greatest number of requests passed on in any window.
func (f *testFleet) most() int {
	most, first := 0, 0
	for i, at := range f.passed {
		for at.Sub(f.passed[first]) >= f.limits.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (f *testFleet) check() {
	f.t.Helper()
	bound := f.limits.Bound()
	f.t.Logf("%d passed, %d refused, at most %d of %.0f in a window, %.2f messages for each request", len(f.passed), f.refused,
		f.most(), bound, float64(f.asks)/float64(max(len(f.passed)+f.refused, 1)))
	assert.Check(f.t, float64(f.most()) <= bound, "%d requests in a window, the bound is %.0f", f.most(), bound)
}

func (f *testFleet) lender() *testEntry { return f.named(f.entries[0].desk.Lender(testWorkspace)) }

var testLimits = map[string]Limits{
	"large": {
		Rate:      258,
		Burst:     258,
		Window:    5 * time.Second,
		Overshoot: 0.1,
		Slack:     20,
	},
	"small": {
		Rate:      3,
		Burst:     5,
		Window:    5 * time.Second,
		Overshoot: 0.1,
		Slack:     20,
	},
	"no burst": {
		Rate:      40,
		Window:    5 * time.Second,
		Overshoot: 0.1,
		Slack:     20,
	},
}

// Guards against requests below the allowance that are refused, wherever they arrive.
func TestBelowAllowance(t *testing.T) {
	const entries = 56
	for name, limits := range testLimits {
		for place, choose := range map[string]func(f *testFleet) func(n int) *testEntry{
			"one entry":   func(f *testFleet) func(int) *testEntry { return func(int) *testEntry { return f.entries[7] } },
			"all entries": func(f *testFleet) func(int) *testEntry { return f.turns },
			"moving in a second": func(f *testFleet) func(int) *testEntry {
				return func(int) *testEntry { return f.entries[f.steps/100%entries] }
			},
		} {
			t.Run(name+", "+place, func(t *testing.T) {
				f := newTestFleet(t, entries, limits)
				f.run(20*time.Second, f.spread(limits.Rate, choose(f)))
				f.check()
				assert.Check(t, f.refused == 0)
			})
		}
		t.Run(name+", a burst after a pause", func(t *testing.T) {
			f := newTestFleet(t, entries, limits)
			for range 3 {
				f.run(time.Duration((limits.Burst/limits.Rate+2)*float64(time.Second)), nil)
				for range int(limits.Burst) {
					f.request(f.entries[11])
				}
			}
			f.check()
			assert.Check(t, f.refused == 0)
		})
	}
}

// Guards against more requests than the bound allows, in each failure, and against an allowance that is not used, which
// senders that ask for four times as much must always get.
func TestOverAllowance(t *testing.T) {
	events := map[string]func(f *testFleet) (at map[int]func()){
		"nothing": func(*testFleet) map[int]func() { return nil },
		"the lender ends": func(f *testFleet) map[int]func() {
			return map[int]func(){1000: func() { f.lender().dead = true }}
		},
		"the lender ends without a word": func(f *testFleet) map[int]func() {
			return map[int]func(){1000: func() { l := f.lender(); l.dead, l.side = true, 9 }}
		},
		"the lender restarts": func(f *testFleet) map[int]func() {
			l := f.lender()
			return map[int]func(){1000: func() { l.dead = true }, 1100: func() { f.boot(l) }}
		},
		"the lender restarts, and few entries hear of the new process": func(f *testFleet) map[int]func() {
			l := f.lender()
			// Half of the entries do not notice that the process has ended.
			away := func(side int) {
				for i, e := range f.entries {
					if i%2 == 1 && e != l {
						e.side = side
					}
				}
			}
			return map[int]func(){
				1000: func() { l.dead, l.knownAs = true, l.incarnation; away(1) },
				1100: func() { f.boot(l); away(0) },
			}
		},
		"the lender is paused": func(f *testFleet) map[int]func() {
			l := f.lender()
			return map[int]func(){1000: func() { l.frozen = true }, 1500: func() { l.frozen = false }}
		},
		"the lender is paused for a second": func(f *testFleet) map[int]func() {
			l := f.lender()
			return map[int]func(){1000: func() { l.frozen = true }, 1100: func() { l.frozen = false }}
		},
		"the lender is cut off with half": func(f *testFleet) map[int]func() { return cutHalf(f, true) },
		"half without the lender are cut": func(f *testFleet) map[int]func() { return cutHalf(f, false) },
		"entries start": func(f *testFleet) map[int]func() {
			at := map[int]func(){}
			for i := range 8 {
				at[1000+50*i] = func() { f.start() }
			}
			return at
		},
		"entries leave": func(f *testFleet) map[int]func() {
			at := map[int]func(){}
			for i := range 8 {
				e := f.entries[(i*7)%len(f.entries)]
				if i == 0 {
					e = f.lender()
				}
				at[1000+100*i] = func() { e.leaving = true }
				at[1300+100*i] = func() { e.dead = true }
			}
			return at
		},
		"all entries are cut off from each other": func(f *testFleet) map[int]func() {
			return map[int]func(){1000: func() {
				for i, e := range f.entries {
					e.side = i
				}
			}, 1200: func() {
				for _, e := range f.entries {
					e.side = 0
				}
			}}
		},
		"a third of the entries is cut off, but not from the store": func(f *testFleet) map[int]func() {
			return map[int]func(){1000: func() {
				for i, e := range f.entries {
					e.side = min(i%3, 1)
				}
			}, 1900: func() {
				for _, e := range f.entries {
					e.side = 0
				}
			}}
		},
		"a third of the entries end": func(f *testFleet) map[int]func() {
			return map[int]func(){1000: func() {
				for i := 0; i < len(f.entries); i += 3 {
					f.entries[i].dead, f.entries[i].side = true, 9
				}
			}}
		},
		"all entries restart": func(f *testFleet) map[int]func() {
			return map[int]func(){1000: func() {
				for _, e := range f.entries {
					f.boot(e)
				}
			}}
		},
	}
	for name, limits := range testLimits {
		entries := 20
		if name == "large" {
			entries = 56
		}
		for event, plan := range events {
			t.Run(name+", "+event, func(t *testing.T) {
				t.Parallel()
				f := newTestFleet(t, entries, limits)
				start := f.steps
				at := plan(f)
				load := f.spread(4*limits.Rate, f.turns)
				f.run(25*time.Second, func(step int) {
					if act := at[step-start]; act != nil {
						act()
					}
					load(step)
				})
				f.check()
				share := float64(len(f.passed)) / (limits.Rate*25 + limits.Burst)
				assert.Check(t, share > 0.75, "%.2f of the allowance was used", share)
			})
		}
	}
}

// cutHalf cuts off half of the entries, with or without the lender, from the others and the store for seven seconds.
func cutHalf(f *testFleet, withLender bool) map[int]func() {
	l := f.lender()
	return map[int]func(){
		1000: func() {
			n := 0
			for _, e := range f.entries {
				if e == l && withLender || e != l && n < len(f.entries)/2 {
					e.side = 1
				}
				if e != l {
					n++
				}
			}
		},
		1150: func() {
			for _, e := range f.entries {
				e.contact = e.side == 0
			}
		},
		1700: func() {
			for _, e := range f.entries {
				e.side, e.contact = 0, true
			}
		},
	}
}

// Guards against a lower limit that comes into force late, and a higher one that is not used.
func TestLimitsChange(t *testing.T) {
	high := testLimits["large"]
	low := high
	low.Rate, low.Burst = 20, 10
	f := newTestFleet(t, 56, high)
	set := func(limits Limits) {
		f.limits = limits
		for _, e := range f.entries {
			e.limits = limits
		}
	}
	f.run(10*time.Second, f.spread(4*high.Rate, f.turns))
	f.check()
	set(low)
	f.run(low.Window, f.spread(4*high.Rate, f.turns))
	f.passed = nil
	f.run(10*time.Second, f.spread(4*high.Rate, f.turns))
	f.check()
	set(high)
	f.passed = nil
	f.run(10*time.Second, f.spread(4*high.Rate, f.turns))
	f.check()
	assert.Check(t, float64(len(f.passed)) > 0.9*high.Rate*10, "%d", len(f.passed))
}

// Guards against entries that have just started and take a part of what may be sent without a lender that is far too large,
// because they know few of the others.
func TestContactlessAfterStart(t *testing.T) {
	f := newTestFleet(t, 56, testLimits["large"])
	for i, e := range f.entries {
		f.boot(e)
		e.side = i // None hears of another one.
	}
	f.passed = nil
	f.run(leaseTime-100*time.Millisecond, f.spread(4*f.limits.Rate, f.turns))
	assert.Equal(t, len(f.passed), 0, "requests passed on without a lender")
}
