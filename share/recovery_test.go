package share

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
)

// Guards against a scheduler that refuses every call after a stall of the targets. The stall raises the estimated
// service time above the deadlines, and refused calls give no sample that could correct it.
func TestRecoveryAfterStall(t *testing.T) {
	const deadline = 500 * time.Millisecond
	now := time.Unix(0, 0)
	s := New(Options{
		Share:       func(string) float64 { return 0.5 },
		ServiceTime: 10 * time.Millisecond,
	})
	s.SetCapacity(now, 4, 4)
	for range 100 {
		ticket, refusal := s.Enqueue(now, "web", now.Add(time.Hour))
		assert.Assert(t, refusal == nil)
		now = now.Add(2 * time.Second)
		ticket.Done(now, 2*time.Second)
	}
	_, refusal := s.Enqueue(now, "web", now.Add(deadline))
	assert.Assert(t, refusal != nil, "the stall did not raise the estimate above the deadline")
	assert.Equal(t, refusal.Reason, outcome.Deadline)
	for waited := time.Duration(0); ; waited += 100 * time.Millisecond {
		assert.Assert(t, waited < 5*time.Second, "calls are still refused %s after the stall", waited)
		_, refusal := s.Enqueue(now.Add(waited), "web", now.Add(waited+deadline))
		if refusal == nil {
			t.Logf("admitted %s after the stall", waited)
			return
		}
	}
}
