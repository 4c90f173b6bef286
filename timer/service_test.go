package timer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/simulation"
)

// Guards against ticks that arrive at another interval than the one asked for, and against a stopped subscription
// that still ticks or is still listed.
func TestEvery(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		s := New()
		sub := s.Every("poll", 250*time.Millisecond)
		start := s.Now()
		for i := 1; i <= 3; i++ {
			have := (<-sub.C).Sub(start)
			assert.Equal(t, have, time.Duration(i)*250*time.Millisecond)
		}
		assert.DeepEqual(t, s.Tasks(), []Task{
			{
				Name:     "poll",
				Interval: 250 * time.Millisecond,
			},
		})
		sub.Stop()
		assert.Equal(t, len(s.Tasks()), 0)
		select {
		case <-sub.C:
			t.Fatal("a stopped subscription ticked")
		case <-time.After(time.Second):
		}
	})
}
