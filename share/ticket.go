package share

import (
	"container/list"
	"time"

	"skylarkbeam/outcome"
)

// ticketState is the state of a Ticket.
type ticketState int

const (
	waiting ticketState = iota
	running
	refused
	ended
)

// Ticket represents one call in a Scheduler. A running ticket must be ended with Done exactly once.
type Ticket struct {
	scheduler *Scheduler
	caller    *caller
	deadline  time.Time
	number    uint64
	element   *list.Element

	state   ticketState
	refusal *Refusal
	// decided is closed once a waiting ticket runs or is refused. It is nil if the ticket ran immediately.
	decided chan struct{}
}

// Running reports whether the call may run.
func (t *Ticket) Running() bool {
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	return t.state == running
}

// Refusal returns why the waiting call was refused, or nil if it was not.
func (t *Ticket) Refusal() *Refusal {
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	return t.refusal
}

// Done ends a running call and returns the waiting tickets that it started or refused. Latency is how long the call
// held its slot, or 0 if that is not representative of the service time. It panics if the call is not running.
func (t *Ticket) Done(now time.Time, latency time.Duration) []*Ticket {
	s := t.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != running {
		panic("share: Ticket.Done called on a ticket that is not running")
	}
	t.state = ended
	return s.finish(now, t, latency)
}

// cancel refuses the call if it is still waiting.
func (t *Ticket) cancel(now time.Time, reason outcome.Reason) {
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
