package bench

import "time"

// loop runs events in the order of their simulated time.
type loop struct {
	now    time.Duration
	events []event // a binary heap; container/heap would allocate for each event
	number uint64
}

type event struct {
	at     time.Duration
	number uint64 // keeps events of the same time in the order of their creation
	run    func()
}

func (e event) before(other event) bool {
	return e.at < other.at || e.at == other.at && e.number < other.number
}

// after runs the function once the delay has passed.
func (l *loop) after(delay time.Duration, run func()) {
	l.number++
	e := event{
		at:     l.now + max(delay, 0),
		number: l.number,
		run:    run,
	}
	l.events = append(l.events, e)
	h := l.events
	i := len(h) - 1
	for i > 0 && e.before(h[(i-1)/2]) {
		h[i] = h[(i-1)/2]
		i = (i - 1) / 2
	}
	h[i] = e
}

// pop removes the first event.
func (l *loop) pop() event {
	h := l.events
	first, e := h[0], h[len(h)-1]
	h[len(h)-1] = event{}
	h = h[:len(h)-1]
	l.events = h
	if len(h) == 0 {
		return first
	}
	i := 0
	for {
		child := 2*i + 1
		if child >= len(h) {
			break
		}
		if child+1 < len(h) && h[child+1].before(h[child]) {
			child++
		}
		if !h[child].before(e) {
			break
		}
		h[i] = h[child]
		i = child
	}
	h[i] = e
	return first
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
		e := l.pop()
		l.now = e.at
		e.run()
	}
}

// start is the wall time at which simulated time begins. It is fixed so that runs can be repeated.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (l *loop) time() time.Time {
	return start.Add(l.now)
}
