package target

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkbeam/standin"
)

// step is one call with its fault, and an event at the target before it.
type step struct {
	event string
	fault standin.Fault
	call  *Call
}

func drawStep(t *rapid.T, i int) step {
	faults := append([]standin.Fault{standin.FaultNone, standin.FaultNone, standin.FaultNone}, standin.Faults...)
	path := fmt.Sprintf("/p%d?size=%d", i, rapid.SampledFrom([]int{0, 1, 300, 20000}).Draw(t, "size"))
	if rapid.Bool().Draw(t, "chunked") {
		path += "&chunked=1"
	}
	s := step{
		event: rapid.SampledFrom([]string{"", "", "", "", "restart", "restart-keep", "silence", "drop-responses", "drain", "undrain"}).Draw(t, "event"),
		fault: rapid.SampledFrom(faults).Draw(t, "fault"),
		call:  newCall("POST", path, fmt.Sprintf("key-%d", i), strings.Repeat("b", rapid.SampledFrom([]int{0, 10, 9000}).Draw(t, "body"))),
	}
	s.call.Idempotent = rapid.Bool().Draw(t, "idempotent")
	s.call.Timeout = 60 * time.Millisecond
	return s
}

func (s *step) apply(target *standin.Target) {
	switch s.event {
	case "restart", "restart-keep":
		target.Restart(s.event == "restart-keep")
	case "silence", "drop-responses":
		target.BlackholeConnections(s.event == "drop-responses")
	case "drain", "undrain":
		target.UpdateBehavior(func(w *standin.Behavior) { w.Draining = s.event == "drain" })
	}
	target.InjectFaults(s.fault)
}

// runSteps runs steps, two calls at a time, and describes wrong results.
func runSteps(target *standin.Target, p *Pool, steps []step) []string {
	have := make([]string, len(steps))
	var group sync.WaitGroup
	for i := range steps {
		steps[i].apply(target)
		group.Go(func() { have[i] = send(context.Background(), p, steps[i].call) })
		if i%2 == 1 {
			group.Wait()
		}
	}
	group.Wait()
	// Requests that were given up may still reach the target.
	time.Sleep(20 * time.Millisecond)
	var wrong []string
	for i, s := range steps {
		key := s.call.Header.Get("Idempotency-Key")
		runs := target.RunsForKey(key)
		if strings.HasPrefix(have[i], "not-run") && runs > 0 || have[i] == "mismatched" || runs > 1 && !s.call.Idempotent {
			wrong = append(wrong, fmt.Sprintf("%s (event %q, fault %q): %s, %d runs", key, s.event, s.fault, have[i], runs))
		}
	}
	return wrong
}

// Guards against NotRun for a call that was executed, against a complete response that belongs to another call, and
// against a non-idempotent call that is executed twice, in random sequences of faults. The control runs the same
// sequences with the mechanisms disabled.
func TestSequences(t *testing.T) {
	t.Parallel()
	wrong := 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := make([]step, rapid.IntRange(2, 8).Draw(rt, "steps"))
		for i := range steps {
			steps[i] = drawStep(rt, i)
		}
		for _, disabled := range []bool{false, true} {
			target, p, stop := startTargetWithStop(t)
			p.disabled.requestIDMatch, p.disabled.knownLength, p.disabled.unknownOutcome, p.disabled.closeOnTimeout = disabled, disabled, disabled, disabled
			have := runSteps(target, p, steps)
			stop()
			if disabled {
				wrong += len(have)
			} else if len(have) > 0 {
				rt.Fatalf("%s", strings.Join(have, "\n"))
			}
		}
	})
	t.Logf("control: %d wrong results", wrong)
	assert.Assert(t, wrong > 0, "the control found no wrong result")
}

// startTargetWithStop is like startTarget, for tests that need many targets one after another.
func startTargetWithStop(t testing.TB) (*standin.Target, *Pool, func()) {
	s, err := standin.Start(standin.New(standin.Options{
		Behavior: standin.Behavior{
			ResponseDelay: standin.Duration(90 * time.Millisecond),
		},
	}), loopback)
	assert.NilError(t, err)
	p := New(Options{
		Address:          s.Address,
		FirstByteTimeout: 20 * time.Millisecond,
	})
	return s.Target, p, func() {
		p.Close()
		_ = s.Close()
		<-p.Done()
	}
}
