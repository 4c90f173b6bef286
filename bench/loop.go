package bench

import (
	"container/heap"
	"time"
)

// loop runs events in the order of their simulated time.
type loop struct {
	now    time.Duration
	events events
	number uint64
}

type event struct {
	at     time.Duration
	number uint64 // keeps events of the same time in the order of their creation
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// after runs the function once the delay has passed.
func (l *loop) after(delay time.Duration, run func()) {
	l.number++
	heap.Push(&l.events, event{
		at:     l.now + max(delay, 0),
		number: l.number,
		run:    run,
	})
}

// every runs the function at each interval.
func (l *loop) every(interval time.Duration, run func()) {
	l.after(interval, func() {
		run()
		l.every(interval, run)
	})
}

// runUntil runs all events up to the end.
func (l *loop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}

// start is the wall time at which simulated time begins. It is fixed so that runs can be repeated.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (l *loop) time() time.Time {
	return start.Add(l.now)
}
