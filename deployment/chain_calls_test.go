package deployment_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"skylarkbeam/setting"
	"skylarkbeam/standin"
)

// Guards against repeats that multiply from level to level. Every target drops the answer of a tenth of its calls after they
// ran, and each entry may repeat a tenth of the first attempts. Where descendants of repeats are not repeated, all calls at a
// level that are not such descendants are at most those of the callers; each level above, and the level itself, adds at most
// a tenth of these. With targets that do not pass the mark on, each level multiplies the calls.
func TestChainRepeats(t *testing.T) {
	const share = 0.1
	tests := []struct {
		name       string
		unmarked   bool
		multiplies bool
	}{
		{
			name: "marked",
		},
		{
			name:       "unmarked",
			unmarked:   true,
			multiplies: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runs, calls := chainRuns(t, tt.unmarked, share)
			last := float64(calls) * (1 + share*chainLevels)
			if tt.multiplies {
				// Calls that fail for another reason on a busy machine make no repeats at the levels below.
				for n := 1; n < 3 && float64(runs[chainLevels-1]) <= last; n++ {
					runs, _ = chainRuns(t, tt.unmarked, share)
				}
				assert.Assert(t, float64(runs[chainLevels-1]) > last, "%d runs at the last level, the fault gives more than %g", runs[chainLevels-1], last)
				return
			}
			for i, n := range runs {
				bound := float64(calls) * (1 + share*float64(i+1))
				assert.Assert(t, float64(n) <= bound, "%d runs at level %d, bound %g", n, i+1, bound)
			}
		})
	}
}

// chainRuns sends calls through a new chain whose targets drop a part of their answers. It returns the runs at each level and
// the calls of the callers.
func chainRuns(t *testing.T, unmarked bool, dropped float64) (runs []int, calls int) {
	t.Helper()
	c := startChain(t, chainLevels, standin.Behavior{
		Slots:           16,
		OmitRetryHeader: unmarked,
		DiscardRuns:     true,
	})
	c.drop(dropped)
	r := c.load(8, 125, time.Millisecond)
	runs = c.runs()
	t.Logf("seed %d, %d of %d calls answered, runs of each level %v", c.seed, r.answered, r.calls, runs)
	return runs, r.calls
}

// Guards against a level that tells the next one more time than is left, and against a caller that is answered after its
// deadline because a level far below is slow. The answer may be late by what 12 levels take to give up on a busy machine.
func TestChainDeadline(t *testing.T) {
	const (
		timeout = 500 * time.Millisecond
		margin  = 500 * time.Millisecond
	)
	c := startChain(t, chainLevels, standin.Behavior{})
	c.slowLast(time.Minute)
	start := time.Now()
	status := c.call(t.Context(), timeout)
	took := time.Since(start)
	assert.Assert(t, status == http.StatusGatewayTimeout || status == http.StatusBadGateway, "status %d", status)
	assert.Assert(t, took < timeout+margin, "answered after %s of %s", took, timeout)
	before := timeout
	for level := 1; level <= chainLevels; level++ {
		left := c.left(level)
		assert.Assert(t, left > 0 && left < before, "level %d was told %s, the level above %s", level, left, before)
		before = left
	}
	// The levels above may have been answered that the call failed just before their own deadline.
	c.waitCanceled(t, chainLevels)
}

// Guards against reads that go on at the levels below after the caller has gone away. The deadline is far off, and so is the
// time after which a read on a reused connection is given up, so that neither can end them.
func TestChainCallerGone(t *testing.T) {
	c := startChain(t, chainLevels, standin.Behavior{})
	class := c.Settings.Classes["web"]
	class.Deadline = setting.Duration(time.Minute)
	c.Settings.Classes["web"] = class
	for name, s := range c.Settings.Services {
		s.Deadline, s.Work = setting.Duration(time.Minute), setting.Duration(3*time.Second)
		c.Settings.Services[name] = s
	}
	assert.NilError(t, c.Apply(t.Context()))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c.reset()
		if c.call(t.Context(), 50*time.Second); c.left(chainLevels) < 30*time.Second {
			return poll.Continue("the last level was told %s", c.left(chainLevels))
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	c.reset()
	c.slowLast(time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan int, 1)
	go func() { ended <- c.call(ctx, 50*time.Second) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.runs()[chainLevels-1] == 0 {
			return poll.Continue("no call at the last level")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	assert.Assert(t, c.left(chainLevels) > 30*time.Second, "the deadline is too near: %s", c.left(chainLevels))
	cancel()
	c.waitCanceled(t, 1)
	assert.Equal(t, <-ended, 0)
}

// Guards against an error that the last level answered, or the entry in front of it after its last repeat, and that a level
// above takes for a reason to repeat. The calls before earn two repeats, too few for a hedge, which would run a call again
// as well. The control is an answer that is dropped: the last level repeats that call as often as its budget allows.
func TestChainAnsweredError(t *testing.T) {
	tests := []struct {
		name  string
		fault standin.Fault
		last  int // calls at the last level
	}{
		{
			name:  "answered",
			fault: standin.FaultError,
			last:  1,
		},
		{
			name:  "dropped",
			fault: standin.FaultCloseBeforeResponse,
			last:  3,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := startChain(t, chainLevels, standin.Behavior{})
			for range 25 {
				assert.Equal(t, c.call(t.Context(), time.Second), http.StatusOK)
			}
			c.reset()
			for _, target := range c.targets(chainLevels) {
				target.UpdateBehavior(func(s *standin.Behavior) { s.Fault = tt.fault })
			}
			assert.Equal(t, c.call(t.Context(), time.Second), http.StatusBadGateway)
			for level := 1; level < chainLevels; level++ {
				assert.Equal(t, c.calls(level), 1, "calls at level %d", level)
			}
			assert.Equal(t, c.calls(chainLevels), tt.last, "calls at the last level")
		})
	}
}

// slowLast sets how long the targets of the last level run a call.
func (c *chain) slowLast(work time.Duration) {
	for _, t := range c.targets(c.levels) {
		t.UpdateBehavior(func(s *standin.Behavior) { s.ServiceTime = standin.Duration(work) })
	}
}

// calls returns the calls received at a level.
func (c *chain) calls(level int) int {
	n := 0
	for _, t := range c.targets(level) {
		n += t.Counts().Calls
	}
	return n
}

// left returns the time left that the last call of a level came with. Only one target of the level may have had calls.
func (c *chain) left(level int) time.Duration {
	var left time.Duration
	for _, t := range c.targets(level) {
		left = max(left, time.Duration(t.Counts().LastTimeout))
	}
	return left
}

// waitCanceled waits until a call was given up at each level from the first one given.
func (c *chain) waitCanceled(t *testing.T, first int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for level := first; level <= c.levels; level++ {
			n := 0
			for _, target := range c.targets(level) {
				n += target.Counts().Canceled
			}
			if n == 0 {
				return poll.Continue("the call at level %d goes on", level)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}
