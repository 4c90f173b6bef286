package share

import (
	"container/list"
	"time"

	"skylarkbeam/outcome"
)

// state is the state of a Ticket.
type state int

const (
	waiting state = iota
	running
	refused
	ended
)

// Ticket is the place of one call. A running ticket must be ended with Done, once.
type Ticket struct {
	scheduler *Scheduler
	caller    *caller
	deadline  time.Time
	number    uint64
	element   *list.Element

	state   state
	refusal *Refusal
	// settled is closed once a waiting ticket runs or is refused. It is nil if the ticket ran at once.
	settled chan struct{}
}

// Running tells whether the call may run.
func (t *Ticket) Running() bool {
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	return t.state == running
}

// Refusal returns why the waiting call was refused, nil if it was not.
func (t *Ticket) Refusal() *Refusal {
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	return t.refusal
}

// Done ends a running call and returns the waiting tickets that it started or refused. Latency is how long the call held
// its slot, or 0 if that says nothing of usual calls. It panics if the call is not running.
func (t *Ticket) Done(now time.Time, latency time.Duration) []*Ticket {
	s := t.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != running {
		panic("share: ticket ended that was not running")
	}
	t.state = ended
	return s.finish(now, t, latency)
}

// giveUp refuses the call if it still waits.
func (t *Ticket) giveUp(now time.Time, reason outcome.Reason) {
	s := t.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state == waiting {
		s.reject(now, t, reason)
	}
}

func (t *Ticket) result() (*Ticket, *Refusal) {
	if refusal := t.Refusal(); refusal != nil {
		return nil, refusal
	}
	return t, nil
}
