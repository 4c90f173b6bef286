package route

import (
	"time"

	"skylarkbeam/outcome"
)

// A target says of itself in its responses that it is leaving, that it wants a pause, or that it limits the rate of its
// calls. What it has said is kept here and asked for in three places: when a target is selected, right before an attempt
// is written, and when the capacity of a service is estimated.

// statements is what a target has said of itself in its responses. It holds for one lifetime of the target, whatever the
// registry says of it meanwhile.
type statements struct {
	rateLimit
	// saysLeaving means that the target is leaving.
	saysLeaving bool
	// pausedUntil is the end of the time for which the target wants nothing from this entry. resuming means that no
	// response to a later request has arrived yet; until then the target gets one call at a time.
	pausedUntil time.Time
	resuming    bool
}

// applyStatements applies what a response says of its target.
func (t *target) applyStatements(now time.Time, r outcome.Report) Event {
	e := t.applyLimit(now, r)
	if r.InvalidPause != "" && e == nil {
		e = InvalidStatement{
			Target: t.Name,
			Text:   r.InvalidPause,
		}
	}
	if until := now.Add(r.Pause); r.Pause > 0 && until.After(t.pausedUntil) {
		if !t.paused(now) {
			e = Paused{
				Target: t.Name,
				Pause:  r.Pause,
			}
		}
		t.pausedUntil, t.resuming = until, true
	} else if !r.RequestedAt.Before(t.pausedUntil) {
		t.resuming = false
	}
	if r.Leaving && !t.saysLeaving {
		t.saysLeaving = true
		e = SaysLeaving{
			Target: t.Name,
		}
	}
	return e
}

// allowsCall reports whether what the target has said of itself allows a call of this entry now.
func (t *target) allowsCall(now time.Time) bool { return t.mayTakeLimitedCall(now) && t.mayResume(now) }

// mayResume reports whether a pause of the target, if it has wanted one, allows a call now. After its end, the first
// response shows whether it takes calls again.
func (t *target) mayResume(now time.Time) bool {
	return !t.resuming || !t.paused(now) && t.inflight == 0
}

// Reserve counts an attempt that is about to be written against the limit of its target. It returns the reason why the
// attempt may not be written: the target has said since the permit was given that it is leaving, that it wants a pause or
// that it has a limit, its version no longer gets calls, or this is another attempt at a target without a turn.
func (p *Permit) Reserve(now time.Time) outcome.Reason {
	s := p.target.service
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case p.target.saysLeaving:
		return outcome.Leaving
	case p.target.paused(now):
		return outcome.Paused
	case p.versionForbids(now):
		return outcome.VersionHeld
	}
	if p.reserved {
		p.reserved = false
		return ""
	}
	if !p.target.mayTakeLimitedCall(now) {
		return outcome.RateLimited
	}
	p.target.spendLimitedCall(now)
	return ""
}

// reserve counts the call of a new permit. The first Reserve does not count it again.
func (p *Permit) reserve(now time.Time) {
	p.target.spendLimitedCall(now)
	p.reserved = p.target.limited
}

// blocked returns how long a call has to wait if what they say of themselves keeps it from all targets of the service,
// and the reason. The reason is empty if a target may get the call.
func (s *service) blocked(now time.Time) (wait time.Duration, reason outcome.Reason) {
	for _, t := range s.targets {
		if !t.inService() || t.wrongInstance {
			continue
		}
		own, why := t.untilLimitedCall(now), outcome.RateLimited
		if left := t.pausedUntil.Sub(now); left > own {
			own, why = left, outcome.Paused
		}
		if own <= 0 && !t.limited {
			return 0, ""
		}
		if reason == "" || own < wait {
			wait, reason = own, why
		}
	}
	return wait, reason
}

// pausedRetryAfter returns the retry delay of a call while all targets want a pause: the time until the first one comes
// back, and a random part of as much again, so that not all callers return at that moment.
func (s *service) pausedRetryAfter(now time.Time) time.Duration {
	wait, _ := s.blocked(now)
	wait = max(wait, minLimitedRetryAfter)
	return min(wait+time.Duration(s.rand.Float64()*float64(min(wait, maxLimitedRetryAfter))), maxLimitedRetryAfter+wait)
}

const (
	// statementRetention is how long what a target has said of itself is kept after the registry has lost the target. A
	// registry that is behind or was restored may bring it back.
	statementRetention = 10 * time.Minute
	// maxRetainedStatements bounds the number of these targets.
	maxRetainedStatements = 4096
)

// retainedStatements is what a target had said when it was removed.
type retainedStatements struct {
	statements
	instance  string
	startedAt int64
	removedAt time.Time
}

// retainStatements keeps what a target has said that is being removed. The caller holds the lock of the Table.
func (t *Table) retainStatements(now time.Time, removed *target) {
	removed.service.mu.Lock()
	said := removed.statements
	removed.service.mu.Unlock()
	if !removed.registered() || !said.limited && !said.saysLeaving && !said.paused(now) {
		return
	}
	if len(t.retained) >= maxRetainedStatements {
		for name, r := range t.retained {
			if now.Sub(r.removedAt) > statementRetention || len(t.retained) >= maxRetainedStatements {
				delete(t.retained, name)
			}
		}
	}
	t.retained[removed.Name] = retainedStatements{
		statements: said,
		instance:   removed.Instance,
		startedAt:  removed.StartedAt,
		removedAt:  now,
	}
}

// recallStatements gives a target that was added what it had said before under the same name and in the same lifetime.
// former is its state at another address or service; nil if it has just been added. The caller holds the lock of the
// Table.
func (t *Table) recallStatements(now time.Time, former, added *target) {
	if !added.registered() {
		return
	}
	if former != nil {
		t.retainStatements(now, former)
	}
	r, ok := t.retained[added.Name]
	if !ok {
		return
	}
	delete(t.retained, added.Name)
	if r.instance == added.Instance && r.startedAt == added.StartedAt && now.Sub(r.removedAt) <= statementRetention {
		added.statements = r.statements
	}
}

// paused reports whether the target wants nothing from this entry now.
func (s *statements) paused(now time.Time) bool { return now.Before(s.pausedUntil) }
