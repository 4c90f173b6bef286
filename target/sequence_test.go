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

// step is one call with the fault it meets, or something that happens to the target before it.
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
		event: rapid.SampledFrom([]string{"", "", "", "", "restart", "keep", "silence", "mute", "drain", "undrain"}).Draw(t, "event"),
		fault: rapid.SampledFrom(faults).Draw(t, "fault"),
		call:  newCall("POST", path, fmt.Sprintf("key-%d", i), strings.Repeat("b", rapid.SampledFrom([]int{0, 10, 9000}).Draw(t, "body"))),
	}
	s.call.Idempotent = rapid.Bool().Draw(t, "idempotent")
	s.call.Timeout = 60 * time.Millisecond
	return s
}

func (s *step) apply(target *standin.Target) {
	switch s.event {
	case "restart", "keep":
		target.Restart(s.event == "keep")
	case "silence", "mute":
		target.BlackholeConnections(s.event == "mute")
	case "drain", "undrain":
		target.UpdateBehavior(func(w *standin.Behavior) { w.Draining = s.event == "drain" })
	}
	target.InjectFaults(s.fault)
}

// faults runs steps, two calls at once, and describes what is wrong with their results.
func faults(target *standin.Target, p *Pool, steps []step) []string {
	have := make([]string, len(steps))
	var group sync.WaitGroup
	for i := range steps {
		steps[i].apply(target)
		group.Go(func() { have[i] = result(context.Background(), p, steps[i].call) })
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
		if strings.HasPrefix(have[i], "not-run") && runs > 0 || have[i] == "foreign" || runs > 1 && !s.call.Idempotent {
			wrong = append(wrong, fmt.Sprintf("%s (event %q, fault %q): %s, %d runs", key, s.event, s.fault, have[i], runs))
		}
	}
	return wrong
}

// Guards, for sequences of faults drawn at random, against a "not run" for a call that ran, against an answer handed
// over whole that is not the call's own, and against a non-idempotent call that runs twice. The control runs the same
// sequences with the mechanisms off.
func TestSequences(t *testing.T) {
	t.Parallel()
	wrong := 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := make([]step, rapid.IntRange(2, 8).Draw(rt, "steps"))
		for i := range steps {
			steps[i] = drawStep(rt, i)
		}
		for _, off := range []bool{false, true} {
			target, p, stop := startOnce(t)
			p.off.match, p.off.extent, p.off.unknown, p.off.giveUp = off, off, off, off
			have := faults(target, p, steps)
			stop()
			if off {
				wrong += len(have)
			} else if len(have) > 0 {
				rt.Fatalf("%s", strings.Join(have, "\n"))
			}
		}
	})
	t.Logf("control: %d wrong results", wrong)
	assert.Assert(t, wrong > 0, "the control found no wrong result")
}

// startOnce is start for a test that needs many targets one after the other.
func startOnce(t testing.TB) (*standin.Target, *Pool, func()) {
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
