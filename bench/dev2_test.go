package bench

import "testing"
import "time"

func TestWin(t *testing.T) {
	dbg = func(s *sim) {
		s.every(500*time.Millisecond, func() {
			for _, e := range s.entries {
				w, _ := e.selector.capacity(s.time(), e.scheduler.Demand(s.time()))
				t.Logf("%v e%d W %.2f demand %.2f waiting %d", s.now, e.index, w, e.scheduler.Demand(s.time()), len(e.waiting))
			}
		})
	}
	r := Run(Config{Shape: Beaconwatch, Policy: Route, Scenario: None, Load: 1.1, Seed: 1, Length: 3 * time.Second})
	for i := range Callers { t.Log(Callers[i].Name, r.Goodput(i)) }
	dbg = nil
}
