package route

import (
	"time"

	"skylarkbeam/outcome"
)

const (
	// windowFloor is the throughput that an entry may always have, in multiples of its equal part of the slots.
	windowFloor = 1
	// floorQueue bounds the queues for which the floor makes up. Without a bound the floors of all entries keep up any
	// queue: with four of ten targets gone at 70% load, 13% of the calls were shed.
	floorQueue = 0.5
	// queueTarget is the average number of queued calls for each slot at which the windows of all entries add up to the
	// demand. With less, slots stay free while calls queue at other targets, because the entries place their calls
	// without knowing of each other.
	queueTarget = 1.0
	// queueWeight is the weight of a new report in the average queue.
	queueWeight = 0.05
	// queueFloor keeps the window finite while nothing queues.
	queueFloor = 0.02
	// shedQueue is the queue that a refusal for lack of capacity stands for, in calls for each slot.
	shedQueue = 3.0
)

// capacity returns the window: the calls that this entry should have in flight. It is proportional to the demand of
// this entry and shrinks while the targets queue. All entries see about the same queues, so their windows are
// proportional to their demand. A window that grows and shrinks in steps instead let some entries take the slots of
// others: at 110% of capacity one of six entries refused 30% of its calls while three refused less than 5%.
func (s *service) capacity(now time.Time, demand float64) (window, total float64) {
	slots, bearable := 0, 0
	ejecting := s.mayEject(now)
	for _, t := range s.targets {
		if !t.operating() || ejecting && now.Before(t.ejected) {
			continue
		}
		if t.isWarm() {
			slots += t.Slots
		} else if _, owned := t.own(now); owned {
			bearable += t.ColdConcurrency
		}
	}
	total = float64(slots)
	queue := s.queue()
	// A call stays longer while targets queue, so the same calls a second take a larger window.
	low := total * windowFloor / float64(s.table.entries.Load()) * (1 + min(queue, floorQueue))
	// The demand was measured with the time that calls queue at the targets.
	window = demand / (1 + queue) * queueTarget / max(queue, queueFloor)
	window = max(min(window, total), low)
	return max(window+float64(bearable), 1), total + float64(bearable)
}

// queue returns the average number of calls that queue at a target, for each slot. As far as reports cannot be trusted it
// is derived from the latency: reports that were 500 ms old made the windows swing between their bounds, which cost a
// tenth of the goodput at 110% of capacity.
func (s *service) queue() float64 {
	trust := s.trust.level()
	if s.base == 0 {
		return s.queued
	}
	return trust*s.queued + (1-trust)*(s.latency/s.base-1)
}

// setQueue takes the queue of a target from a report.
func (s *service) setQueue(r outcome.Report) {
	if r.Slots > 0 {
		s.queued += (float64(r.Queued)/float64(r.Slots) - s.queued) * queueWeight
	}
}

// shed notes that a target refused a call for lack of capacity.
func (s *service) shed() {
	s.queued += max(shedQueue-s.queued, 0) * queueWeight
}
