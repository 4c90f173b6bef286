package share

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a call with 100 ms of work whose aim and deadline are so far from the start.
func at(caller string, rank int, aim, deadline time.Duration) Call {
	return Call{
		Caller:       caller,
		Priority:     rank,
		SoftDeadline: start.Add(aim),
		Deadline:     start.Add(deadline),
		ServiceTime:  100 * time.Millisecond,
	}
}

const ms = time.Millisecond

// Guards against an order in which calls that can no longer be in time hold up calls that can, in which a lower rank does
// not count, or in which a caller that takes several times as much as others goes before them.
func TestLineOrder(t *testing.T) {
	tests := map[string]struct {
		calls []Call
		now   time.Duration
		greed string
		want  []int
	}{
		"aim": {
			calls: []Call{at("a", 0, 300*ms, 2000*ms), at("b", 0, 200*ms, 2000*ms), at("c", 0, 250*ms, 2000*ms)},
			want:  []int{1, 2, 0},
		},
		"rank": {
			calls: []Call{at("a", 2, 200*ms, 2000*ms), at("b", 1, 300*ms, 2000*ms)},
			want:  []int{1, 0},
		},
		"late": {
			calls: []Call{at("a", 0, 200*ms, 2000*ms), at("b", 1, 300*ms, 2000*ms)},
			now:   150 * ms,
			want:  []int{1, 0},
		},
		"greedy": {
			calls: []Call{at("a", 0, 200*ms, 2000*ms), at("b", 0, 300*ms, 2000*ms), at("c", 0, 400*ms, 2000*ms)},
			greed: "a",
			want:  []int{1, 2, 0},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewWaitQueue()
			l.SetExpectedThroughput(20)
			for _, c := range test.calls {
				l.RecordArrival(start, c)
			}
			for range 20 {
				if test.greed != "" {
					l.RecordArrival(start, at(test.greed, 0, 0, 0))
				}
			}
			places := map[*Waiter]int{}
			for i, c := range test.calls {
				p, refusal := l.Enqueue(start, c)
				assert.Assert(t, refusal == nil)
				places[p] = i
			}
			var have []int
			for now := start.Add(test.now); l.Len() > 0; {
				p := l.Waiting(now)[0]
				assert.Assert(t, l.Grant(now, p))
				have = append(have, places[p])
			}
			assert.DeepEqual(t, have, test.want)
		})
	}
}

// Guards against calls that wait until their deadline although they cannot be answered before, and against refusals of
// calls that can. Until a pace has been measured, the expected one counts.
func TestLineRefusesHopeless(t *testing.T) {
	l := NewWaitQueue()
	l.SetExpectedThroughput(10)
	var refused int
	for i := range 20 {
		if _, refusal := l.Enqueue(start, at(fmt.Sprint(i), 0, 300*ms, 1000*ms)); refusal != nil {
			refused++
			assert.Equal(t, refusal.Reason, outcome.Deadline)
			assert.Assert(t, refusal.RetryAfter >= 500*ms, "come back after %s", refusal.RetryAfter)
		}
	}
	assert.Equal(t, refused, 10)

	// The targets stand still: calls that could have been in time cannot any more.
	l.Expire(start.Add(100 * ms))
	assert.Assert(t, l.Len() < 10, "%d wait", l.Len())
	l.Expire(start.Add(901 * ms))
	assert.Equal(t, l.Len(), 0)
}

// Guards against calls that are held back although those that arrive later will always go before them. Load: 20 calls a
// second where 10 leave, all alike, of callers that use the same.
func TestLineRefusesOvertaken(t *testing.T) {
	l := NewWaitQueue()
	l.SetExpectedThroughput(10)
	joined := map[*Waiter]time.Time{}
	refused, held, longest := 0, time.Duration(0), time.Duration(0)
	count := func(since, now time.Time) {
		if now.Sub(start) > 2*time.Second {
			refused++
			held += now.Sub(since)
			longest = max(longest, now.Sub(since))
		}
	}
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(10 * ms) {
		elapsed := now.Sub(start)
		if elapsed%(50*ms) == 0 {
			c := at(fmt.Sprint(elapsed%(500*ms)), 0, elapsed+400*ms, elapsed+1600*ms)
			l.RecordArrival(now, c)
			if p, refusal := l.Enqueue(now, c); refusal == nil {
				joined[p] = now
			} else {
				count(now, now)
			}
		}
		if waiting := l.Waiting(now); elapsed%(100*ms) == 0 && len(waiting) > 0 {
			l.Grant(now, waiting[0])
		}
		l.Expire(now)
		for p, since := range joined {
			select {
			case <-p.Done:
				delete(joined, p)
				if p.Refusal() != nil {
					count(since, now)
				}
			default:
			}
		}
	}
	average := held / time.Duration(refused)
	t.Logf("%d refused after %v on average, %v at most", refused, average, longest)
	assert.Assert(t, refused > 150, "%d calls refused of 360, of which half cannot be served", refused)
	assert.Assert(t, average <= 50*ms, "refused after %v on average", average)
}

// Guards against refusals of calls that can be served, if late, when many come at once and then none: as many wait as leave
// before their deadline.
func TestLineHerd(t *testing.T) {
	l := NewWaitQueue()
	l.SetExpectedThroughput(20)
	waiting := 0
	for i := range 60 {
		c := at(fmt.Sprint(i), 0, 300*ms, 1100*ms)
		l.RecordArrival(start, c)
		if _, refusal := l.Enqueue(start, c); refusal == nil {
			waiting++
		}
	}
	assert.Assert(t, waiting >= 18 && waiting <= 22, "%d of 60 wait, 20 leave before their deadline", waiting)
}

// Guards against a pace that is taken from the time in which nothing waited, when calls leave as they come.
func TestLinePace(t *testing.T) {
	l := NewWaitQueue()
	l.SetExpectedThroughput(20)
	now := start
	for range 50 {
		p, refusal := l.Enqueue(now, Call{
			SoftDeadline: now.Add(300 * ms),
			Deadline:     now.Add(time.Second),
			ServiceTime:  100 * ms,
		})
		assert.Assert(t, refusal == nil)
		l.Grant(now.Add(ms), p)
		now = now.Add(time.Second)
	}
	var last *Refusal
	joined := 0
	for ; last == nil; joined++ {
		_, last = l.Enqueue(now, Call{
			SoftDeadline: now.Add(300 * ms),
			Deadline:     now.Add(time.Second),
			ServiceTime:  100 * ms,
		})
	}
	assert.Assert(t, joined > 15, "%d calls may wait at 20 calls a second", joined)
}

// Guards against a call that is granted after it has left, or left after it was granted.
func TestLineLeave(t *testing.T) {
	l := NewWaitQueue()
	p, _ := l.Enqueue(start, at("a", 0, 300*ms, 1000*ms))
	assert.Assert(t, l.Remove(p))
	assert.Assert(t, !l.Grant(start, p))
	p, _ = l.Enqueue(start, at("a", 0, 300*ms, 1000*ms))
	assert.Assert(t, l.Grant(start, p))
	assert.Assert(t, !l.Remove(p))
	<-p.Done
	assert.Assert(t, p.Refusal() == nil)
}
