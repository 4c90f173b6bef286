package bench

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"skylarkbeam/route"
)

// The times of the ownership rules in section 2.10 of the design.
const (
	leaseTime    = 4 * time.Second
	takeoverTime = 5 * time.Second
	goneTime     = 6 * time.Second
	exchangeTime = time.Second
)

// membership is the fleet row: the active entries, and those before each change.
type membership struct {
	active [EntryCount]bool
	former []former
}

// former is what the active entries were up to a change.
type former struct {
	active [EntryCount]bool
	until  time.Duration
}

// set changes whether an entry is active.
func (m *membership) set(now time.Duration, index int, active bool) {
	m.former = append(slices.Clip(m.former), former{
		active: m.active,
		until:  now,
	})
	m.active[index] = active
}

// owner is chosen by rendezvous hashing over the active entries.
func owner(active [EntryCount]bool, target string) int {
	best, most := -1, uint32(0)
	for i, ok := range active {
		h := fnv.New32a()
		h.Write([]byte(target))
		h.Write([]byte{byte(i), 0x5a, byte(i * 37)})
		if sum := h.Sum32() * 2654435761; ok && (best < 0 || sum > most) {
			best, most = i, sum
		}
	}
	return best
}

// owns is the lease that the entry holds by its last read of the row. An entry that has been the owner through all
// changes of the last takeoverTime need not wait.
func (e *entry) owns(now time.Time, target string) (time.Time, bool) {
	s := e.sim
	wait := takeoverTime
	switch s.config.Ownership {
	case Independent, EvenQuota, OneCallPerEntry:
		return now.Add(leaseTime), true
	case NoTakeoverDelay:
		wait = 0
	}
	until := start.Add(e.read + leaseTime)
	if !now.Before(until) || owner(e.seen.active, target) != e.index {
		return time.Time{}, false
	}
	for _, f := range e.seen.former {
		if s.now < f.until+wait && owner(f.active, target) != e.index {
			return time.Time{}, false
		}
	}
	return until, true
}

// refresh reads the row; the answer comes some milliseconds after the start of the read. Half of the reads fail.
func (e *entry) refresh() {
	if e.dead || e.paused || e.sim.rand.IntN(2) == 0 {
		return
	}
	read, row := e.sim.now, e.sim.members
	e.sim.after(20*time.Millisecond, func() {
		if !e.paused && read > e.read {
			e.seen, e.read = row, read
		}
	})
}

// learn passes an event on as the peer exchange does: up to a second later.
func (s *sim) learn(from *entry, event route.Event) {
	for _, e := range s.entries {
		if e == from || event == nil {
			continue
		}
		delay := time.Duration(s.rand.Float64() * float64(exchangeTime))
		s.after(delay, func() {
			if e.dead || e.paused {
				return
			}
			switch event := event.(type) {
			case route.ColdDetected:
				e.table.ObserveInstance(s.time(), event.Target, event.Instance)
				e.table.SetColdTransitions(s.time(), event.Target, event.PreviousInstance, event.ColdTransitions)
			case route.Warmed:
				e.table.SetWarm(s.time(), event.Target, event.Instance, event.ColdTransitions)
			}
		})
	}
	if warmed, ok := event.(route.Warmed); ok {
		s.warmed(warmed.Target)
	}
}

// churn lets one entry after the other die and join, or pause, so that ownership moves.
func (s *sim) churn() {
	e := s.entries[s.rand.IntN(EntryCount)]
	if !e.dead && !e.paused {
		if s.rand.IntN(2) == 0 {
			s.kill(e)
		} else {
			s.pause(e, time.Duration(1+s.rand.IntN(8))*time.Second)
		}
	}
	s.after(time.Duration(1000+s.rand.IntN(2000))*time.Millisecond, s.churn)
}

// pause stops the entry for a while. It still believes what it believed when it wakes; if it was marked gone, it registers
// again.
func (s *sim) pause(e *entry, length time.Duration) {
	e.paused = true
	if length > goneTime {
		s.after(goneTime, func() { s.members.set(s.now, e.index, false) })
	}
	s.after(length, func() {
		e.paused = false
		if !s.members.active[e.index] {
			s.members.set(s.now, e.index, true)
		}
	})
}

// kill ends the entry. Its calls stay at the targets until the targets notice the broken connections.
func (s *sim) kill(e *entry) {
	e.dead = true
	calls := slices.SortedFunc(maps.Keys(s.calls), func(a, b *call) int { return cmp.Compare(a.arrived, b.arrived) })
	for _, c := range calls {
		if c.entry != e || c.over {
			continue
		}
		c.over = true
		delete(s.calls, c)
		for _, a := range c.attempts {
			if !a.ended {
				a.ended = true
				s.after(takeoverTime-leaseTime, func() { a.target.cancel(a) })
			}
		}
	}
	s.after(goneTime, func() {
		s.members.set(s.now, e.index, false)
		s.after(time.Second, func() { s.join(e.index) })
	})
}

// join replaces a dead entry by a new one that knows nothing but the stored facts.
func (s *sim) join(index int) {
	e := s.newEntry(index)
	s.entries[index] = e
	for _, t := range s.targets {
		if instance, ok := s.facts[t.index]; ok {
			e.table.SetWarm(s.time(), targetName(t.index), instance, 0)
		}
	}
	s.members.set(s.now, index, true)
}
