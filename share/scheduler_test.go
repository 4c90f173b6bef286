package share

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkbeam/outcome"
	"skylarkbeam/simulation"
)

func TestMain(m *testing.M) { simulation.Main(m, "1") }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newScheduler(capacity float64, shares map[string]float64) *Scheduler {
	s := New(Options{
		Share: func(name string) float64 { return shares[name] },
	})
	s.SetCapacity(epoch, capacity, capacity)
	return s
}

// Guards against an Admit that leaves a canceled call in the queue, or that waits past the deadline.
func TestAdmitGivesUp(t *testing.T) {
	s := newScheduler(1, map[string]float64{"a": 1})
	first, refusal := s.Admit(context.Background(), "a", time.Now().Add(time.Minute))
	assert.Assert(t, refusal == nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, refusal = s.Admit(ctx, "a", time.Now().Add(time.Minute))
	assert.Equal(t, outcome.Canceled, refusal.Reason)
	_, refusal = s.Admit(context.Background(), "a", time.Now().Add(50*time.Millisecond))
	assert.Equal(t, outcome.Deadline, refusal.Reason)
	assert.Equal(t, 0, len(first.Done(time.Now(), 0)))
	assert.Equal(t, 0, s.waiting+s.running)
}

// Guards against a refusal with a misleading reason, or without a retry delay.
func TestRefusals(t *testing.T) {
	shares := map[string]float64{"large": 0.5, "small": 0.1}
	type tt struct {
		name   string
		caller string
		flood  int // calls of the large caller before
		left   time.Duration
		want   outcome.Reason
	}
	call := func(name, caller string, flood int, left time.Duration, want outcome.Reason) tt {
		return tt{
			name:   name,
			caller: caller,
			flood:  flood,
			left:   left,
			want:   want,
		}
	}
	tests := []tt{
		call("free", "small", 0, time.Second, ""),
		call("too little time to run", "small", 0, 5*time.Millisecond, outcome.Deadline),
		call("small behind a flood", "small", 200, 100*time.Millisecond, ""),
		call("too little time to wait", "small", 200, 11*time.Millisecond, outcome.Deadline),
		call("above the share", "large", 200, 100*time.Millisecond, outcome.ShareExceeded),
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScheduler(2, shares)
			for range tt.flood {
				s.Enqueue(epoch, "large", epoch.Add(10*time.Second))
			}
			now := epoch.Add(time.Millisecond)
			_, refusal := s.Enqueue(now, tt.caller, now.Add(tt.left))
			if tt.want == "" {
				assert.Assert(t, refusal == nil, "%v", refusal)
				return
			}
			assert.Equal(t, tt.want, refusal.Reason)
			assert.Assert(t, refusal.RetryAfter >= minRetryAfter)
		})
	}
}

// Guards against shares that count calls instead of time: a caller with long calls gets as many slots as one with short
// calls, and an unused share goes to the others.
func TestSharesOfTime(t *testing.T) {
	// The fraction of the slot time held by the caller "long", alone and beside another caller.
	for callers, want := range map[string]float64{"long": 1, "long short": 0.5} {
		t.Run(callers, func(t *testing.T) {
			s := newScheduler(4, map[string]float64{"long": 0.4, "short": 0.4})
			serviceTimes := map[string]time.Duration{"long": 20 * time.Millisecond, "short": 2 * time.Millisecond}
			held := map[string]time.Duration{}
			type running struct {
				ticket *Ticket
				end    time.Time
			}
			var open []running
			for now := epoch; now.Before(epoch.Add(5 * time.Second)); now = now.Add(time.Millisecond) {
				for _, name := range strings.Fields(callers) {
					for s.callers[name] == nil || s.callers[name].waiting.Len() < 10 {
						ticket, refusal := s.Enqueue(now, name, now.Add(time.Minute))
						assert.Assert(t, refusal == nil, "%v", refusal)
						if ticket.Running() {
							open = append(open, running{ticket, now.Add(serviceTimes[name])})
						}
					}
				}
				for i := 0; i < len(open); i++ {
					if now.Before(open[i].end) {
						continue
					}
					name := open[i].ticket.caller.name
					held[name] += serviceTimes[name]
					for _, next := range open[i].ticket.Done(now, serviceTimes[name]) {
						open = append(open, running{next, now.Add(serviceTimes[next.caller.name])})
					}
					open = append(open[:i], open[i+1:]...)
					i--
				}
			}
			have := held["long"].Seconds() / (held["long"] + held["short"]).Seconds()
			assert.Assert(t, have > want-0.05 && have < want+0.05, "want %v, have %v", want, have)
		})
	}
}

// Guards against lost tickets, more running calls than slots, a caller within its share that waits behind one above its
// share, and a call that is never decided.
func TestSchedulerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := map[string]float64{}
		names := []string{"a", "b", "c", "d"}
		for _, name := range names {
			shares[name] = rapid.Float64Range(0, 0.25).Draw(t, "share")
		}
		capacity := float64(rapid.IntRange(1, 8).Draw(t, "capacity"))
		s := newScheduler(capacity, shares)
		now := epoch
		open := map[*Ticket]struct{}{}
		waitingTickets := map[*Ticket]struct{}{}
		recordDecided := func(tickets []*Ticket) {
			for _, ticket := range tickets {
				assert.Assert(t, ticket.state != waiting)
				_, waited := waitingTickets[ticket]
				assert.Assert(t, waited)
				delete(waitingTickets, ticket)
				if ticket.Running() {
					open[ticket] = struct{}{}
				}
			}
		}
		// checkOrder checks that no call of a caller above its share started while a caller within its share had
		// waiting calls.
		checkOrder := func(tickets []*Ticket, before map[string]float64) {
			for _, ticket := range tickets {
				if !ticket.Running() || len(tickets) > 1 {
					continue
				}
				for _, c := range s.backlogged {
					if c != ticket.caller && before[c.name] < 1 {
						assert.Assert(t, before[ticket.caller.name] < 1, "%s went before %s", ticket.caller.name, c.name)
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "caller")
				left := time.Duration(rapid.IntRange(1, 500).Draw(t, "left")) * time.Millisecond
				ticket, refusal := s.Enqueue(now, name, now.Add(left))
				switch {
				case refusal != nil:
					assert.Assert(t, refusal.RetryAfter >= minRetryAfter && refusal.RetryAfter <= maxRetryAfter)
				case ticket.Running():
					open[ticket] = struct{}{}
				default:
					waitingTickets[ticket] = struct{}{}
				}
			},
			"done": func(t *rapid.T) {
				var first *Ticket
				for ticket := range open {
					if first == nil || ticket.number < first.number {
						first = ticket
					}
				}
				if first == nil {
					return
				}
				delete(open, first)
				before := map[string]float64{}
				for _, c := range s.backlogged {
					c.update(now)
					before[c.name] = s.usageRatio(c)
				}
				if first.caller.waiting.Len() > 0 {
					before[first.caller.name] -= s.serviceTime / usageWindow.Seconds() / (first.caller.share * s.capacity)
				}
				decided := first.Done(now, 0)
				checkOrder(decided, before)
				recordDecided(decided)
			},
			"capacity": func(t *rapid.T) {
				capacity = float64(rapid.IntRange(1, 8).Draw(t, "capacity"))
				recordDecided(s.SetCapacity(now, capacity, capacity))
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
				recordDecided(s.Expire(now))
				for ticket := range waitingTickets {
					assert.Assert(t, ticket.deadline.After(now), "a call waits past its deadline")
				}
			},
			"": func(t *rapid.T) {
				assert.Equal(t, len(open), s.running)
				assert.Equal(t, len(waitingTickets), s.waiting)
				assert.Assert(t, s.waiting == 0 || float64(s.running) >= capacity, "a slot is free while calls wait")
				for _, c := range s.backlogged {
					assert.Assert(t, c.waiting.Len() > 0)
				}
			},
		})
	})
}

// Guards against data races and lost wake-ups between concurrent calls.
func TestConcurrentAdmit(t *testing.T) {
	s := newScheduler(3, map[string]float64{"c0": 0.3, "c1": 0.3})
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for n := range 50 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n%3+1)*5*time.Millisecond)
				ticket, refusal := s.Admit(ctx, fmt.Sprintf("c%d", i%4), time.Now().Add(100*time.Millisecond))
				if refusal == nil {
					time.Sleep(100 * time.Microsecond)
					ticket.Done(time.Now(), 100*time.Microsecond)
				}
				s.Demand(time.Now())
				cancel()
			}
		})
	}
	wg.Wait()
	assert.Equal(t, 0, s.running)
	assert.Equal(t, 0, s.waiting)
}

// BenchmarkEnqueue measures one call while all callers have calls waiting.
func BenchmarkEnqueue(b *testing.B) {
	for _, callers := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			s := New(Options{
				Share:       func(string) float64 { return 1 / float64(callers) },
				ServiceTime: time.Millisecond,
			})
			s.SetCapacity(epoch, 10, 60)
			names := make([]string, callers)
			for i := range names {
				names[i] = fmt.Sprintf("c%d", i)
			}
			now := epoch
			var open []*Ticket
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				if t, refusal := s.Enqueue(now, names[i%callers], now.Add(time.Hour)); refusal == nil && t.Running() {
					open = append(open, t)
				}
				if i >= 10+2*callers {
					open = append(open[1:], open[0].Done(now, time.Millisecond)...)
				}
			}
		})
	}
}

// BenchmarkAdmit measures one call while slots are free.
func BenchmarkAdmit(b *testing.B) {
	s := New(Options{
		Share:       func(string) float64 { return 1 },
		ServiceTime: time.Millisecond,
	})
	s.SetCapacity(time.Now(), 10, 60)
	ctx := context.Background()
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		ticket, refusal := s.Admit(ctx, "c", deadline)
		if refusal != nil {
			b.Fatal(refusal.Reason)
		}
		ticket.Done(time.Now(), time.Millisecond)
	}
}
