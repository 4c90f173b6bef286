package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
)

// observeLimit records a report with the given limit, from the response to a call that was written at the given time.
func observeLimit(t *Table, now, requestedAt time.Time, name string, limit outcome.Limit, loadRead bool) Event {
	return t.Observe(now, name, outcome.Report{
		Instance:    name + ".1",
		Phase:       outcome.PhaseWarm,
		Slots:       registeredSlots,
		Slowdown:    1,
		Limit:       limit,
		RequestedAt: requestedAt,
		LoadRead:    loadRead,
	})
}

// Guards against a target that gets more calls than its limit from all entries together, and against one that gets
// hardly any. Load: entries that share the target and send as many calls as they can. Allowed is what the users allow.
func TestLimitOfAllEntries(t *testing.T) {
	const (
		duration = 60 * time.Second
		window   = 4 * time.Second
	)
	for _, entries := range []int{1, 6, 50} {
		for _, rate := range []float64{0, 0.3, 1, 1.4, 7.5, 40} {
			for _, loadRead := range []bool{false, true} {
				t.Run(fmt.Sprint(entries, rate, loadRead), func(t *testing.T) {
					var tables []*Table
					for i := range entries {
						table := New(Options{
							Entries: entries,
							Domain:  "a",
							Seed:    uint64(i),
						})
						table.SetTargets(epoch, registeredTargets("a", 1))
						table.SetRankFunc(func(time.Time, string, string) (int, int) { return i, entries })
						tables = append(tables, table)
					}
					var sent []time.Time
					for now := epoch; now.Before(epoch.Add(duration)); now = now.Add(10 * time.Millisecond) {
						for _, table := range tables {
							if now.Sub(epoch)%(500*time.Millisecond) == 0 {
								observeLimit(table, now, now, "a0", outcome.RateLimit(rate), loadRead)
							}
							p, _ := table.Pick(now, "stock", queryAged(0))
							if p == nil {
								continue
							}
							if p.Reserve(now) == "" {
								sent = append(sent, now)
							}
							p.Done(now, succeededAfter(time.Millisecond))
						}
					}
					most := 0
					for i, first := 0, 0; i < len(sent); i++ {
						for sent[i].Sub(sent[first]) >= window {
							first++
						}
						most = max(most, i-first+1)
					}
					allowed := int(1.5*rate*window.Seconds()) + 5
					assert.Assert(t, most <= allowed, "%d calls in %s, allowed %d", most, window, allowed)
					want := int(0.7*rate*duration.Seconds()) - minSendersPerLimitedTarget
					assert.Assert(t, len(sent) >= want, "%d calls, want at least %d", len(sent), want)
					if rate == 0 && loadRead {
						assert.Equal(t, len(sent), 0)
					}
				})
			}
		}
	}
}

// Guards against an attempt that is written although its target has named a limit since the target was chosen, and
// against a second attempt on the same permit, which the target would count as well.
func TestLimitBeforeWrite(t *testing.T) {
	table := registeredTable(registeredTargets("a", 1)...)
	table.SetRankFunc(func(time.Time, string, string) (int, int) { return 0, 1 })
	p, _ := table.Pick(epoch, "stock", queryAged(0))
	assert.Equal(t, p.Reserve(epoch), outcome.Reason(""))
	observeLimit(table, epoch, epoch, "a0", outcome.RateLimit(1), false)
	assert.Equal(t, p.Reserve(epoch.Add(time.Millisecond)), outcome.RateLimited)
	p.Done(epoch, succeededAfter(time.Millisecond))

	turn := epoch.Add(3 * time.Second)
	p, _ = table.Pick(turn, "stock", queryAged(0))
	assert.Equal(t, p.Reserve(turn), outcome.Reason(""))
	assert.Equal(t, p.Reserve(turn), outcome.RateLimited)
}

// Guards against a limit that is ended by a response that is older than it or that says nothing of limits, and against
// one that lasts although the target no longer names it.
func TestLimitEnds(t *testing.T) {
	named := epoch.Add(time.Second)
	later := named.Add(time.Second)
	tests := map[string]struct {
		end         func(table *Table) Event
		readsName   bool
		wantLimited bool
	}{
		"response to a later call": {
			end: func(table *Table) Event {
				return observeLimit(table, later, named.Add(time.Millisecond), "a0", outcome.Unlimited{}, false)
			},
		},
		"response to an earlier call": {
			end: func(table *Table) Event {
				return observeLimit(table, later, epoch, "a0", outcome.Unlimited{}, false)
			},
			wantLimited: true,
		},
		"response that says nothing": {
			end: func(table *Table) Event {
				return observeLimit(table, later, later, "a0", nil, false)
			},
			wantLimited: true,
		},
		"invalid limit": {
			end: func(table *Table) Event {
				return observeLimit(table, later, later, "a0", outcome.InvalidLimit{}, false)
			},
			wantLimited: true,
		},
		"load read": {
			end: func(table *Table) Event {
				return observeLimit(table, later, later, "a0", outcome.Unlimited{}, true)
			},
			wantLimited: true,
		},
		"load read where they name limits": {
			end: func(table *Table) Event {
				return observeLimit(table, later, later, "a0", outcome.Unlimited{}, true)
			},
			readsName: true,
		},
		"change of the registration": {
			end: func(table *Table) Event {
				changed := registeredTargets("a", 1)
				changed[0].Slots++
				table.SetTargets(later, changed)
				return nil
			},
			wantLimited: true,
		},
		"later lifetime": {
			end: func(table *Table) Event {
				restarted := registeredTargets("a", 1)
				restarted[0].StartedAt = 1
				table.SetTargets(later, restarted)
				return nil
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := registeredTable(registeredTargets("a", 1)...)
			table.SetRankFunc(func(time.Time, string, string) (int, int) { return 0, 1 })
			event := observeLimit(table, named, epoch, "a0", outcome.RateLimit(0), test.readsName)
			assert.DeepEqual(t, event, LimitNamed{
				Target: "a0",
			})
			test.end(table)
			p, reason := table.Pick(later, "stock", queryAged(0))
			assert.Equal(t, p == nil, test.wantLimited, "%v", reason)
		})
	}
}

// Guards against calls that wait for a target whose limit keeps them from it until their deadline, and against callers
// that all come back at the same time. Load: a service of which all targets have a limit.
func TestLimitRefusedAtOnce(t *testing.T) {
	table := registeredTable(registeredTargets("a", 2)...)
	table.SetRankFunc(func(time.Time, string, string) (int, int) { return 5, 6 })
	table.SetEntries(6)
	for _, name := range []string{"a0", "a1"} {
		observeLimit(table, epoch, epoch, name, outcome.RateLimit(3), true)
	}
	assert.Equal(t, table.ExpectedThroughput(epoch, "stock", queryAged(0)), 0.0)
	last := time.Duration(0)
	for range 4 {
		p, reason := table.Pick(epoch, "stock", queryAged(0))
		assert.Assert(t, p == nil)
		assert.Equal(t, reason, outcome.RateLimited)
		after := table.RetryAfter(epoch, "stock", reason)
		assert.Equal(t, (after - last).Round(time.Millisecond), time.Second)
		last = after
	}
	due := table.LoadReads(epoch.Add(limitReadInterval), "stock", queryAged(0), nil)
	assert.DeepEqual(t, due.Background, []string{"a0", "a1"})
	assert.Equal(t, len(due.Targets), 0)
	assert.Equal(t, len(table.LoadReads(epoch.Add(limitReadInterval+1), "stock", queryAged(0), nil).Background), 0)
}

// observePause records a refusal with a pause, or an ordinary response without one, of a request that was written at the
// given time.
func observePause(t *Table, now, requestedAt time.Time, name string, pause time.Duration) Event {
	return t.Observe(now, name, outcome.Report{
		Instance:    name + ".1",
		Phase:       outcome.PhaseWarm,
		Slots:       registeredSlots,
		Pause:       pause,
		RequestedAt: requestedAt,
	})
}

// Guards against calls at a target in its pause, also those whose target was chosen before it, against load reads
// there, and against a burst at its end.
func TestPause(t *testing.T) {
	table := registeredTable(registeredTargets("a", 1)...)
	before, _ := table.Pick(epoch, "stock", queryAged(0))
	assert.DeepEqual(t, observePause(table, epoch, epoch, "a0", 2*time.Second), Paused{
		Target: "a0",
		Pause:  2 * time.Second,
	})
	assert.Equal(t, before.Reserve(epoch), outcome.Paused)
	before.Done(epoch, Result{
		Kind: Canceled,
	})
	// An ordinary response to an earlier request does not end it, a shorter pause does not either.
	observePause(table, epoch, epoch, "a0", 0)
	observePause(table, epoch, epoch, "a0", time.Second)
	end := epoch.Add(2 * time.Second)
	for now := epoch; now.Before(end); now = now.Add(100 * time.Millisecond) {
		p, reason := table.Pick(now, "stock", queryAged(0))
		assert.Assert(t, p == nil, "a call %s before the end", end.Sub(now))
		if end.Sub(now) > registeredDeadline {
			assert.Equal(t, reason, outcome.Paused)
		}
		reads := table.LoadReads(now, "stock", queryAged(0), nil)
		assert.Equal(t, len(reads.Targets)+len(reads.Background), 0)
		assert.Equal(t, table.ExpectedThroughput(now, "stock", queryAged(0)), 0.0)
	}
	first, _ := table.Pick(end, "stock", queryAged(0))
	assert.Equal(t, first.Reserve(end), outcome.Reason(""))
	second, _ := table.Pick(end, "stock", queryAged(0))
	assert.Assert(t, second == nil, "two calls before the target has answered")
	observePause(table, end, end, "a0", 0)
	second, _ = table.Pick(end, "stock", queryAged(0))
	assert.Assert(t, second != nil)
}

// Guards against calls at a target that has said that it is leaving: one whose target was chosen before, and others after
// the registry has lost the target and has it back, or has it at another address.
func TestSaysLeaving(t *testing.T) {
	targets := registeredTargets("a", 2)
	lost, moved, restarted := targets[1:], registeredTargets("a", 2), registeredTargets("a", 2)
	moved[0].Address = targets[1].Address
	restarted[0].StartedAt = 1
	table := registeredTable(targets[0])
	p, _ := table.Pick(epoch, "stock", queryAged(0))
	event := table.Observe(epoch, "a0", outcome.Report{
		Instance: "a0.1",
		Leaving:  true,
	})
	assert.DeepEqual(t, event, SaysLeaving{
		Target: "a0",
	})
	assert.Equal(t, p.Reserve(epoch), outcome.Leaving)
	steps := []struct {
		name    string
		apply   func()
		wantUse bool
	}{
		{
			name:  "same",
			apply: func() { table.SetTargets(epoch, targets) },
		},
		{
			name:  "lost",
			apply: func() { table.SetTargets(epoch, lost) },
		},
		{
			name:  "back",
			apply: func() { table.SetTargets(epoch, targets) },
		},
		{
			name:  "removed",
			apply: func() { table.UpdateTargets(epoch, nil, []string{"a0"}) },
		},
		{
			name:  "added",
			apply: func() { table.UpdateTargets(epoch, targets[:1], nil) },
		},
		{
			name:  "moved",
			apply: func() { table.SetTargets(epoch, moved) },
		},
		{
			name:    "restarted",
			apply:   func() { table.SetTargets(epoch, restarted) },
			wantUse: true,
		},
	}
	for _, step := range steps {
		step.apply()
		used := false
		for range 2 * registeredSlots {
			p, _ := table.Pick(epoch, "stock", queryAged(0))
			if p == nil {
				break
			}
			used = used || p.Target == "a0"
			defer p.Done(epoch, succeededAfter(time.Millisecond))
		}
		assert.Equal(t, used, step.wantUse, step.name)
	}
}
