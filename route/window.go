package route

import (
	"time"

	"skylarkbeam/outcome"
)

const (
	// windowShare is how many calls an entry may always have in flight, in multiples of its equal part of the slots.
	// More than 1, because the entries place their calls without knowing of each other, so some slots stay free while
	// calls queue elsewhere.
	windowShare = 1.25
	// windowCut is the factor by which the window shrinks when targets queue or shed.
	windowCut = 0.95
	// queueLimit is the average number of queued calls for each slot above which the window shrinks.
	queueLimit = 0.75
	// growthShare is the part of an entry's demand that is added within a round of answers.
	growthShare = 0.5
	// growthLimit bounds the growth of the window within a round of answers.
	growthLimit = 100.0
	// queueWeight is the weight of a new report in the average queue.
	queueWeight = 0.05
)

// capacity returns the window: the calls that this entry should have in flight. It shrinks while the targets queue,
// and grows by one within a round of answers while this entry uses it up, so that entries with more callers take what
// others leave.
func (s *service) capacity(now time.Time, demand float64) (window, total float64) {
	s.demand = demand
	slots, bearable := 0, 0
	for _, t := range s.targets {
		if t.Drained || t.leaving {
			continue
		}
		if t.isWarm() {
			slots += t.Slots
		} else if _, owned := t.own(now); owned {
			bearable += t.Bear
		}
	}
	s.slots = slots
	low, high := s.bounds()
	s.window = min(max(s.window, low), high)
	return max(s.window+float64(bearable), 1), float64(slots + bearable)
}

// growth is the number of calls by which the window grows within a round of answers. All entries shrink by the same
// factor, so their windows become proportional to what they add: the slots go where the demand is.
func growth(demand float64) float64 {
	return min(max(demand*growthShare, 0.1), growthLimit)
}

func (s *service) bounds() (low, high float64) {
	high = float64(s.slots)
	low = min(high*windowShare/float64(s.table.entries.Load()), high)
	return low, high
}

// setQueue adapts the window to a report.
func (s *service) setQueue(now time.Time, r outcome.Report) {
	if r.Slots <= 0 {
		return
	}
	s.queued += (float64(r.Queued)/float64(r.Slots) - s.queued) * queueWeight
	low, high := s.bounds()
	switch {
	case s.queued > queueLimit:
		s.cut(now)
	case float64(s.inflight+1) >= s.window:
		s.window += growth(s.demand) / max(s.window, 1)
	}
	s.window = min(max(s.window, low), high)
}

// shed shrinks the window after a target refused a call for lack of capacity.
func (s *service) shed(now time.Time) {
	s.cut(now)
}

// cut shrinks the window at most once in the time of a few calls, because the effect is not seen earlier.
func (s *service) cut(now time.Time) {
	if float64(now.Sub(s.windowed)) < 4*s.latency {
		return
	}
	s.windowed = now
	s.window *= windowCut
}
