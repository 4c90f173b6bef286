package route

import (
	"math"
	"time"

	"skylarkbeam/outcome"
)

// The rate that a target takes is divided between a few entries, its senders, each of which limits itself to its part.
// The others do not send to it: an equal part for each entry of a large fleet would be one call in minutes, and the
// entries that happen to send theirs at the same time would exceed the limit together.

const (
	// minSendersPerLimitedTarget is the number of entries that send to a target with a low limit. A target with a higher
	// one has a sender for each call per second.
	minSendersPerLimitedTarget = 4
	// limitBurst is how far ahead of its turn a sender may make a call.
	limitBurst = 500 * time.Millisecond
	// limitReadInterval is the interval at which an entry reads the load of a target that it may not send to, to learn
	// that the limit has ended.
	limitReadInterval = time.Second
	// maxSenderSilence is the time after which a sender makes a call whatever the limit is, if only the responses to
	// calls show that it has ended.
	maxSenderSilence = 30 * time.Second
	// otherEntriesFraction is the fraction of the limit that is left in that case to all entries that are no senders.
	otherEntriesFraction = 0.25
)

// RankFunc returns the position of this entry among those that send to a limited target in a failure domain, in an order
// that is the same at all entries, and their number.
type RankFunc func(now time.Time, target, domain string) (rank, entries int)

// minLimitEventInterval is the minimum time between two events of a target that changes its limit with each response.
const minLimitEventInterval = time.Second

// rateLimit is the limit that a target has named: the rate of calls that it takes from all entries together.
type rateLimit struct {
	// limited means that the target names a limit. limitRate is in calls per second.
	limited   bool
	limitRate float64
	// limitedSince is when the limit was first named, limitNamedAt when a response last named it.
	limitedSince time.Time
	limitNamedAt time.Time
	// limitReportedAt is when the limit was last reported with an event.
	limitReportedAt time.Time
	// limitSender means that this entry was a sender when it last asked. nextLimitedCall is when it has its next turn.
	limitSender     bool
	nextLimitedCall time.Time
	// limitReadAt is when the load was last read to learn of the end of the limit.
	limitReadAt time.Time
}

// applyLimit applies what a response says of the rate of calls that the target takes.
func (t *target) applyLimit(now time.Time, r outcome.Report) Event {
	switch limit := r.Limit.(type) {
	case outcome.RateLimit:
		return t.nameLimit(now, float64(limit), r.LoadRead)
	case outcome.Unlimited:
		return t.endLimit(now, r)
	case outcome.InvalidLimit:
		return InvalidStatement{
			Target: t.Name,
			Text:   limit.Text,
		}
	}
	return nil
}

func (t *target) nameLimit(now time.Time, rate float64, loadRead bool) Event {
	if loadRead {
		t.service.loadReadsNameLimits = true
	}
	t.limitNamedAt = now
	begins, changed := !t.limited, t.limitRate != rate
	t.limited, t.limitRate = true, rate
	if begins {
		t.beginLimit(now)
	} else if !changed || now.Sub(t.limitReportedAt) < minLimitEventInterval {
		return nil
	}
	t.limitReportedAt = now
	return LimitNamed{
		Target: t.Name,
		Rate:   rate,
	}
}

// endLimit ends the limit after a response that does not name it. The response to a request that was written before the
// limit was last named may be older, and targets may name it in responses to calls only.
func (t *target) endLimit(now time.Time, r outcome.Report) Event {
	if !t.limited || !r.RequestedAt.After(t.limitNamedAt) || r.LoadRead && !t.service.loadReadsNameLimits {
		return nil
	}
	t.limited = false
	return LimitEnded{
		Target:   t.Name,
		Duration: now.Sub(t.limitedSince),
	}
}

// beginLimit sets the first turn of this entry. Senders begin at a random time within their interval, because all entries
// learn of the limit at about the same time.
func (t *target) beginLimit(now time.Time) {
	t.limitedSince = now
	interval, sender := t.limitInterval(now)
	t.limitSender = sender
	if sender {
		interval = time.Duration(t.service.rand.Float64() * float64(interval))
	}
	t.nextLimitedCall = now.Add(interval + limitBurst)
}

// limitSenders returns the number of entries that send to the limited target, whether this entry is one of them, and the
// number of all entries.
func (t *target) limitSenders(now time.Time) (senders int, sender bool, entries int) {
	rank, entries := (*t.service.table.rank.Load())(now, t.Name, t.Domain)
	senders = entries
	if most := math.Ceil(t.limitRate); most < float64(entries) {
		senders = min(max(minSendersPerLimitedTarget, int(most)), entries)
	}
	return senders, rank < senders, entries
}

// maxLimitInterval stands for a turn that never comes.
const maxLimitInterval = 24 * time.Hour

// limitInterval returns the interval between the turns of this entry at the limited target, and whether it is a sender.
// If load reads do not name limits, all entries must make a call now and then to learn that the limit has ended.
func (t *target) limitInterval(now time.Time) (interval time.Duration, sender bool) {
	senders, sender, entries := t.limitSenders(now)
	interval = maxLimitInterval
	if rate := t.limitRate / float64(max(senders, 1)); sender && rate > 1/maxLimitInterval.Seconds() {
		interval = time.Duration(float64(time.Second) / rate)
	}
	if t.service.loadReadsNameLimits {
		return interval, sender
	}
	if sender && senders < entries {
		interval = time.Duration(float64(interval) / (1 - otherEntriesFraction))
	}
	if sender {
		return min(interval, maxSenderSilence), true
	}
	rate := otherEntriesFraction * max(t.limitRate, float64(senders)/maxSenderSilence.Seconds())
	// The entries learn of a limit at about the same time.
	silence := float64(entries) / rate * (1 + t.service.rand.Float64())
	return time.Duration(min(silence, maxLimitInterval.Seconds()) * float64(time.Second)), false
}

// untilLimitedCall returns the time until this entry may send the target another call.
func (t *target) untilLimitedCall(now time.Time) time.Duration {
	if !t.limited {
		return 0
	}
	interval, sender := t.limitInterval(now)
	if sender != t.limitSender {
		// An entry that becomes a sender waits for the calls of the former one to leave the window.
		t.limitSender = sender
		t.nextLimitedCall = now.Add(interval)
	}
	if latest := now.Add(interval + limitBurst); sender && t.nextLimitedCall.After(latest) {
		t.nextLimitedCall = latest // The rate was raised.
	}
	return max(t.nextLimitedCall.Sub(now)-limitBurst, 0)
}

// mayTakeLimitedCall reports whether the limit of the target, if it has one, allows a call of this entry now.
func (t *target) mayTakeLimitedCall(now time.Time) bool {
	return !t.limited || t.untilLimitedCall(now) == 0
}

// spendLimitedCall counts a call of this entry.
func (t *target) spendLimitedCall(now time.Time) {
	if !t.limited {
		return
	}
	interval, _ := t.limitInterval(now)
	if t.nextLimitedCall.Before(now) {
		t.nextLimitedCall = now
	}
	t.nextLimitedCall = t.nextLimitedCall.Add(interval)
}

// limitedDue returns the targets with a limit that are due for a load read although this entry may not send to them.
func (s *service) limitedDue(now time.Time) []string {
	var names []string
	for _, t := range s.targets {
		if t.limited && t.inService() && !t.paused(now) && now.Sub(t.limitReadAt) >= limitReadInterval && !t.mayTakeLimitedCall(now) {
			t.limitReadAt = now
			names = append(names, t.Name)
		}
	}
	return names
}

const (
	// minLimitedRetryAfter and maxLimitedRetryAfter bound the retry delay of calls that the limits of all targets keep
	// from these.
	minLimitedRetryAfter = 100 * time.Millisecond
	maxLimitedRetryAfter = 5 * time.Second
)

// limitedRetryAfter returns the retry delay of a call that was refused because of the limits. Callers come back to any
// entry, one after the other at the rate that all targets take together.
func (s *service) limitedRetryAfter(now time.Time) time.Duration {
	rate := 0.0
	for _, t := range s.targets {
		if t.inService() && t.limited {
			rate += t.limitRate
		}
	}
	spacing := maxLimitedRetryAfter
	if each := rate / float64(s.table.entries.Load()); each > 1/maxLimitedRetryAfter.Seconds() {
		spacing = time.Duration(float64(time.Second) / each)
	}
	if s.nextLimitedReturn.Before(now) {
		s.nextLimitedReturn = now
	}
	s.nextLimitedReturn = s.nextLimitedReturn.Add(spacing)
	delay := s.nextLimitedReturn.Sub(now)
	if delay >= maxLimitedRetryAfter {
		// More calls were refused than can come back in this time. They are spread over half of it.
		s.nextLimitedReturn = now.Add(maxLimitedRetryAfter)
		return maxLimitedRetryAfter - time.Duration(s.rand.Float64()*float64(maxLimitedRetryAfter)/2)
	}
	return max(delay, minLimitedRetryAfter)
}

// throughput returns the number of calls per second that this entry may send the target, of all that the target can run
// at the given rate.
func (t *target) throughput(now time.Time, capacity float64) float64 {
	share := capacity / float64(t.service.table.entries.Load())
	if t.paused(now) {
		return 0
	}
	if !t.limited {
		return share
	}
	senders, sender, _ := t.limitSenders(now)
	if !sender {
		return 0
	}
	return min(t.limitRate, capacity) / float64(senders)
}
