package entry

import (
	"context"
	"time"

	"skylarkbeam/share"
)

// Fell tells the entry that a target has fallen cold, as another entry does.
func (e *Entry) Fell(target, instance string, falls int) {
	e.table.SetColdTransitions(e.timers.Now(), target, instance, falls)
}

// Refresh derives the view from the present state, unless that was done.
func (e *Entry) Refresh() { e.refresh() }

// ProbeCold is the periodic look at cold targets.
func (e *Entry) ProbeCold() { e.probeCold() }

// TakeProbes sets the quota of probes of a registered target, a second, and returns how many it allows at once.
func (e *Entry) TakeProbes(name string, quota int) int {
	now := e.timers.Now()
	b := e.budget(now, name, quota, true)
	n := 0
	for {
		if _, ok := b.Take(now); !ok {
			return n
		}
		n++
	}
}

// PassOver lets the task that places waiting calls look at one that has just joined the line, and at one whose caller has left.
// It returns how many of the two can leave the line by themselves afterwards.
func (e *Entry) PassOver(d time.Duration) int {
	l := newLine("tides")
	now := e.timers.Now()
	left, cancel := context.WithCancel(context.Background())
	cancel()
	var places []*share.Waiter
	for range 2 {
		p, _ := l.Enqueue(now, share.Call{
			SoftDeadline: now.Add(time.Minute),
			Deadline:     now.Add(time.Minute),
		})
		places = append(places, p)
	}
	e.wait(l, places[1], &waiter{
		ctx: left,
	})
	time.Sleep(d)
	n := 0
	for _, p := range places {
		if l.Remove(p) {
			n++
		}
	}
	return n
}
