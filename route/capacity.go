package route

import (
	"time"

	"skylarkbeam/outcome"
)

const (
	// minWindowFactor is the throughput that an entry may always have, in multiples of that of its equal part of the
	// slots.
	minWindowFactor = 1
	// maxQueueCompensation is the longest queue, in calls per slot, for which the minimum window is extended. Without
	// this bound the minimum windows of all entries sustain a queue of any length: with four of ten targets lost at 70%
	// load, 13% of the calls were shed.
	maxQueueCompensation = 0.5
	// targetQueueLength is the average number of queued calls per slot at which the windows of all entries add up to
	// the demand. With a smaller value, slots stay free while calls queue at other targets, because the entries place
	// calls independently of each other.
	targetQueueLength = 1.0
	// queueWeight is the weight of a new report in the average queue length.
	queueWeight = 0.05
	// minQueueLength keeps the window finite while nothing is queued.
	minQueueLength = 0.02
	// shedQueueLength is the queue length, in calls per slot, that a shed call counts as.
	shedQueueLength = 3.0
)

// capacity returns the window, which is the number of calls that this entry should have in flight, and the total number
// of slots. The window is proportional to the demand of this entry and shrinks while calls queue at the targets. All
// entries see similar queues, so their windows are proportional to their demand. A window that grew and shrank in steps
// let some entries take the slots of others: at 110% of capacity, one of six entries refused 30% of its calls while
// three refused less than 5%.
func (s *service) capacity(now time.Time, demand float64) (window, total float64) {
	slots, coldSlots := 0, 0
	ejecting := s.mayEject(now)
	for _, t := range s.targets {
		if !t.inService() || ejecting && now.Before(t.ejectedUntil) {
			continue
		}
		if t.isWarm() {
			slots += t.Slots
		} else if _, owned := t.acquireLease(now); owned {
			coldSlots += t.ColdConcurrency
		}
	}
	total = float64(slots)
	queueLength := s.currentQueueLength()
	// A call takes longer while targets have queues, so the same throughput needs a larger window.
	minWindow := total * minWindowFactor / float64(s.table.entries.Load()) * (1 + min(queueLength, maxQueueCompensation))
	// The measured demand includes the time that calls wait in the queues of targets.
	window = demand / (1 + queueLength) * targetQueueLength / max(queueLength, minQueueLength)
	window = max(min(window, total), minWindow)
	return max(window+float64(coldSlots), 1), total + float64(coldSlots)
}

// currentQueueLength returns the average number of queued calls at a target, per slot. As far as reports cannot be
// trusted it is derived from the latency: with reports that were 500 ms old, the windows oscillated between their
// bounds, which cost a tenth of the goodput at 110% of capacity.
func (s *service) currentQueueLength() float64 {
	confidence := s.confidence.level()
	if s.baseLatency == 0 {
		return s.queueLength
	}
	return confidence*s.queueLength + (1-confidence)*(s.meanLatency/s.baseLatency-1)
}

// recordQueue updates the average queue length from a report.
func (s *service) recordQueue(r outcome.Report) {
	if r.Slots > 0 {
		s.queueLength += (float64(r.Queued)/float64(r.Slots) - s.queueLength) * queueWeight
	}
}

// recordShed records that a target shed a call because it had no capacity.
func (s *service) recordShed() {
	s.queueLength += max(shedQueueLength-s.queueLength, 0) * queueWeight
}
