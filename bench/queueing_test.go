package bench

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// smallest is the users' smallest deployment.
func smallest() QueueingConfig {
	return QueueingConfig{
		Entries:  3,
		Targets:  12,
		Policy:   Route,
		Duration: 20 * time.Second,
	}
}

func runSeeds(t *testing.T, name string, c QueueingConfig) *QueueingResult {
	t.Helper()
	sum := &QueueingResult{}
	for seed := range uint64(3) {
		c.Seed = seed + 1
		r := RunQueueing(c)
		sum.Offered += r.Offered
		sum.WithinObjective += r.WithinObjective
		sum.Answered += r.Answered
		sum.RefusedCalls += r.RefusedCalls
		sum.Refusals += r.Refusals
		sum.RefusalWait += r.RefusalWait
		sum.TimedOut += r.TimedOut
		sum.LoadReads += r.LoadReads
		sum.OtherCalls += r.OtherCalls
		sum.OtherWithinObjective += r.OtherWithinObjective
	}
	t.Logf("%-24s in time %.3f, answered %.3f, refused %.3f, cut %.3f, reads for a call %.2f, fair in time %.3f",
		name, sum.ObjectiveRatio(), sum.AnsweredRatio(), float64(sum.RefusedCalls)/float64(sum.Offered), float64(sum.TimedOut)/float64(sum.Offered),
		float64(sum.LoadReads)/float64(sum.Offered), float64(sum.OtherWithinObjective)/float64(max(sum.OtherCalls, 1)))
	return sum
}

// Guards against late and lost answers while targets are slow in spells, nearly full, or partly lost: no other policy may
// lose fewer than one and a half times as many, or answer more.
func TestRush(t *testing.T) {
	t.Parallel()
	const ratio, margin = 1.5, 0.02
	for _, load := range []float64{0.5, 0.7, 0.9} {
		for _, lost := range []float64{0, 0.5} {
			name := fmt.Sprintf("load %v, lost %v", load, lost)
			c := smallest()
			c.Load, c.LostFraction = load, lost
			have := runSeeds(t, name, c)
			for _, other := range []Policy{Random, TwoChoices, LeastInFlight} {
				c.Policy = other
				control := runSeeds(t, string(other), c)
				assert.Check(t, 1-control.ObjectiveRatio() >= ratio*(1-have.ObjectiveRatio()), "%s: %s", name, other)
				assert.Check(t, have.AnsweredRatio() >= control.AnsweredRatio()-margin, "%s: %s", name, other)
			}
		}
	}
}

// Guards against mechanisms without use: each of them alone must have its part in the answers that are in time, while half
// of the targets are lost under a high load.
func TestRushMechanisms(t *testing.T) {
	t.Parallel()
	const least = 0.05
	c := smallest()
	c.Load, c.LostFraction = 0.9, 0.5
	have := runSeeds(t, "all", c)
	without := map[string]func(c *QueueingConfig){
		"load reads":              func(c *QueueingConfig) { c.NoLoadReads = true },
		"order of waiting calls":  func(c *QueueingConfig) { c.FIFO = true },
		"waits for a fast target": func(c *QueueingConfig) { c.NoWaitForFasterTarget = true },
	}
	for name, off := range without {
		control := c
		off(&control)
		loss := have.ObjectiveRatio() - runSeeds(t, "without "+name, control).ObjectiveRatio()
		assert.Check(t, loss >= least, "without %s only %.3f fewer are in time", name, loss)
	}
}

// Guards against calls that are held back although they cannot be served: on average they are refused within an eighth of
// the time in which an answer is of full use.
func TestRushRefusals(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.9, 1.2, 2} {
		c := smallest()
		c.Load, c.LostFraction = load, 0.5
		r := runSeeds(t, fmt.Sprintf("load %v", load), c)
		held := r.RefusalWait / time.Duration(max(r.Refusals, 1))
		t.Logf("refused after %v on average", held)
		assert.Check(t, r.RefusedCalls > 0 && held <= defaultObjective/8, "load %v: refused after %v on average", load, held)
		assert.Check(t, float64(r.TimedOut) <= 0.01*float64(r.Offered), "load %v: %d calls cut at their deadline", load, r.TimedOut)
	}
}

// largeDomain is a failure domain of the users' largest deployment and its service with the shortest objective.
func largeDomain() QueueingConfig {
	return QueueingConfig{
		Entries:       38,
		Targets:       62,
		Slots:         2,
		Objective:     300 * time.Millisecond,
		Deadline:      5 * time.Second,
		WorkDeviation: 0.3,
		CallerRetries: 2,
		Policy:        Route,
		Duration:      15 * time.Second,
	}
}

// payoff is what the answers are worth to callers on average: a late one a tenth of one that is in time.
func payoff(r *QueueingResult) float64 {
	const late = 0.1
	return r.ObjectiveRatio() + late*(r.AnsweredRatio()-r.ObjectiveRatio())
}

// Guards against calls that come back after a refusal, and are late in any case, in the place of calls that can be in time:
// two thirds of the targets are lost, and refused callers come back twice. Each control lacks one of the two mechanisms: that
// calls which came back are known, and that a free slot is left to calls of any entry which can be in time. The second one
// matters where many entries share the targets: with six, the entry whose call has ended mostly has a timely call itself.
func TestRushReturns(t *testing.T) {
	t.Parallel()
	const least, margin = 0.02, 0.02
	small := QueueingConfig{
		Entries:       6,
		Slots:         2,
		Load:          0.6,
		LostFraction:  0.67,
		CallerRetries: 2,
		Policy:        Route,
		Duration:      96 * time.Second, // in 24 s, results differ by 0.02 from seed to seed
	}
	tests := []struct {
		config   QueueingConfig
		turnGain float64
	}{
		{
			config:   withTargets(small, 9),
			turnGain: -margin,
		},
		{
			config:   withTargets(small, 18),
			turnGain: -margin,
		},
		{
			config:   withLoad(largeDomain(), 0.6, 0.67),
			turnGain: least,
		},
	}
	for _, tt := range tests {
		name := fmt.Sprintf("%d entries, %d targets", tt.config.Entries, tt.config.Targets)
		have := payoff(runSeeds(t, name, tt.config))
		control := tt.config
		control.IgnoreCallerRetries = true
		other := payoff(runSeeds(t, "without memory of callers", control))
		assert.Check(t, have >= other+least, "%s: %.3f, without memory of callers %.3f", name, have, other)
		control = tt.config
		control.AdmitLateCalls = true
		other = payoff(runSeeds(t, "without turn for timely calls", control))
		assert.Check(t, have >= other+tt.turnGain, "%s: %.3f, without turn for timely calls %.3f", name, have, other)
	}
}

func withTargets(c QueueingConfig, targets int) QueueingConfig {
	c.Targets = targets
	return c
}

func withLoad(c QueueingConfig, load, lost float64) QueueingConfig {
	c.Load, c.LostFraction = load, lost
	return c
}

// Guards against calls at targets that are busy while one that is idle has not been looked at: most targets are in use or slow,
// as in a burst at the largest deployment. The control reads a single group of three targets before a placement. The
// scheduler that knows all targets is the upper bound.
func TestRushReads(t *testing.T) {
	t.Parallel()
	const least = 0.05
	for load, lost := range map[float64]float64{0.75: 0, 0.65: 0.3} {
		c := withLoad(largeDomain(), load, lost)
		have := runSeeds(t, fmt.Sprintf("load %v, lost %v", load, lost), c)
		control := c
		control.LoadReadRounds = 1
		other := runSeeds(t, "one group", control)
		assert.Check(t, payoff(have) >= payoff(other)+least)
		c.Policy = Central
		bound := runSeeds(t, string(Central), c)
		assert.Check(t, payoff(have) < payoff(bound))
	}
}

// Guards against calls that wait beside free slots because the budget of load reads was used up in the first seconds of a
// burst, at the quota that the largest deployment leaves to an entry and target. In the control the quota holds for each ten
// seconds.
func TestRushQuota(t *testing.T) {
	t.Parallel()
	const least = 0.05
	c := withLoad(largeDomain(), 0.75, 0)
	c.LoadReadQuota, c.LoadReadWindow = 6, 30*time.Second
	have := runSeeds(t, "30 s", c)
	c.LoadReadWindow = 10 * time.Second
	control := runSeeds(t, "10 s", c)
	assert.Check(t, payoff(have) >= payoff(control)+least)
}

// Guards callers from one that asks for far more than the others. The negative control does not tell them apart.
func TestRushGreedy(t *testing.T) {
	t.Parallel()
	c := smallest()
	c.Load, c.GreedyLoad = 0.6, 1
	fair := func(r *QueueingResult) float64 { return float64(r.OtherWithinObjective) / float64(r.OtherCalls) }
	have := fair(runSeeds(t, "greedy", c))
	c.FIFO = true
	control := fair(runSeeds(t, "unordered", c))
	assert.Check(t, have >= 2*control, "%.3f of the other callers' calls in time, %.3f without order", have, control)
}

// Guards against targets that hide that they are slow. The negative control sends by the calls in flight.
func TestRushDragged(t *testing.T) {
	t.Parallel()
	c := smallest()
	c.Load, c.UnderreportingTargets = 0.6, 2
	have := runSeeds(t, "dragged", c)
	c.Policy = LeastInFlight
	control := runSeeds(t, "least in flight", c)
	assert.Check(t, 1-control.ObjectiveRatio() >= 2*(1-have.ObjectiveRatio()))
}

// Guards against decisions that get worse, or need more load reads, with more entries and targets.
func TestRushSizes(t *testing.T) {
	t.Parallel()
	c := smallest()
	// The small deployment has few calls: in 12 s, its result differs by 0.03 from seed to seed.
	c.Load, c.LostFraction, c.Duration = 0.7, 0.25, 2*time.Minute
	small := runSeeds(t, "3 entries, 12 targets", c)
	c.Entries, c.Targets, c.Duration = 50, 300, 12*time.Second
	large := runSeeds(t, "50 entries, 300 targets", c)
	reads := func(r *QueueingResult) float64 { return float64(r.LoadReads) / float64(r.Offered) }
	assert.Check(t, large.ObjectiveRatio() >= small.ObjectiveRatio()-0.02)
	assert.Check(t, reads(large) <= 1.1*reads(small), "%.2f load reads for a call, %.2f", reads(large), reads(small))
}
