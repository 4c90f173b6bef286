package bench

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// smallest is the users' smallest deployment.
func smallest() Rush {
	return Rush{
		Entries: 3,
		Targets: 12,
		Policy:  Route,
		Length:  20 * time.Second,
	}
}

func rushes(t *testing.T, name string, c Rush) *Tally {
	t.Helper()
	sum := &Tally{}
	for seed := range uint64(3) {
		c.Seed = seed + 1
		r := RunRush(c)
		sum.Offered += r.Offered
		sum.Timely += r.Timely
		sum.Answered += r.Answered
		sum.Refused += r.Refused
		sum.Refusals += r.Refusals
		sum.Waited += r.Waited
		sum.Cut += r.Cut
		sum.Reads += r.Reads
		sum.Fair += r.Fair
		sum.FairTimely += r.FairTimely
	}
	t.Logf("%-24s in time %.3f, answered %.3f, refused %.3f, cut %.3f, reads for a call %.2f, fair in time %.3f",
		name, sum.InTime(), sum.Served(), float64(sum.Refused)/float64(sum.Offered), float64(sum.Cut)/float64(sum.Offered),
		float64(sum.Reads)/float64(sum.Offered), float64(sum.FairTimely)/float64(max(sum.Fair, 1)))
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
			c.Load, c.Lost = load, lost
			have := rushes(t, name, c)
			for _, other := range []Policy{Random, TwoChoices, Least} {
				c.Policy = other
				control := rushes(t, string(other), c)
				assert.Check(t, 1-control.InTime() >= ratio*(1-have.InTime()), "%s: %s", name, other)
				assert.Check(t, have.Served() >= control.Served()-margin, "%s: %s", name, other)
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
	c.Load, c.Lost = 0.9, 0.5
	have := rushes(t, "all", c)
	without := map[string]func(c *Rush){
		"load reads":              func(c *Rush) { c.Blind = true },
		"order of waiting calls":  func(c *Rush) { c.Unordered = true },
		"waits for a fast target": func(c *Rush) { c.Hasty = true },
	}
	for name, off := range without {
		control := c
		off(&control)
		loss := have.InTime() - rushes(t, "without "+name, control).InTime()
		assert.Check(t, loss >= least, "without %s only %.3f fewer are in time", name, loss)
	}
}

// Guards against calls that are held back although they cannot be served: on average they are refused within an eighth of
// the time in which an answer is of full use.
func TestRushRefusals(t *testing.T) {
	t.Parallel()
	for _, load := range []float64{0.9, 1.2, 2} {
		c := smallest()
		c.Load, c.Lost = load, 0.5
		r := rushes(t, fmt.Sprintf("load %v", load), c)
		held := r.Waited / time.Duration(max(r.Refusals, 1))
		t.Logf("refused after %v on average", held)
		assert.Check(t, r.Refused > 0 && held <= rushAim/8, "load %v: refused after %v on average", load, held)
		assert.Check(t, float64(r.Cut) <= 0.01*float64(r.Offered), "load %v: %d calls cut at their deadline", load, r.Cut)
	}
}

// Guards against calls that come back after a refusal, and are late in any case, in the place of calls that can be in time:
// two thirds of the targets are lost, and refused callers come back twice. Each control lacks one of the two mechanisms: that
// calls which came back are known, and that a free slot is left to calls of any entry which can be in time.
func TestRushReturns(t *testing.T) {
	t.Parallel()
	const least, margin = 0.02, 0.02
	for _, targets := range []int{9, 18} {
		c := Rush{
			Entries: 6,
			Targets: targets,
			Slots:   2,
			Load:    0.6,
			Lost:    0.67,
			Returns: 2,
			Policy:  Route,
			Length:  24 * time.Second,
		}
		have := rushes(t, fmt.Sprintf("%d targets", targets), c)
		without := map[string]func(c *Rush){
			"memory of callers":    func(c *Rush) { c.Forgetful = true },
			"turn for timely ones": func(c *Rush) { c.Eager = true },
		}
		for name, off := range without {
			control := c
			off(&control)
			other := rushes(t, "without "+name, control)
			assert.Check(t, have.InTime() >= other.InTime()+least, "%d targets, without %s", targets, name)
			assert.Check(t, have.Served() >= other.Served()-margin, "%d targets, without %s", targets, name)
		}
	}
}

// Guards callers from one that asks for far more than the others. The negative control does not tell them apart.
func TestRushGreedy(t *testing.T) {
	t.Parallel()
	c := smallest()
	c.Load, c.Greedy = 0.6, 1
	fair := func(r *Tally) float64 { return float64(r.FairTimely) / float64(r.Fair) }
	have := fair(rushes(t, "greedy", c))
	c.Unordered = true
	control := fair(rushes(t, "unordered", c))
	assert.Check(t, have >= 2*control, "%.3f of the other callers' calls in time, %.3f without order", have, control)
}

// Guards against targets that hide that they are slow. The negative control sends by the calls in flight.
func TestRushDragged(t *testing.T) {
	t.Parallel()
	c := smallest()
	c.Load, c.Dragged = 0.6, 2
	have := rushes(t, "dragged", c)
	c.Policy = Least
	control := rushes(t, "least in flight", c)
	assert.Check(t, 1-control.InTime() >= 2*(1-have.InTime()))
}

// Guards against decisions that get worse, or need more load reads, with more entries and targets.
func TestRushSizes(t *testing.T) {
	t.Parallel()
	c := smallest()
	c.Load, c.Lost, c.Length = 0.7, 0.25, 12*time.Second
	small := rushes(t, "3 entries, 12 targets", c)
	c.Entries, c.Targets = 50, 300
	large := rushes(t, "50 entries, 300 targets", c)
	reads := func(r *Tally) float64 { return float64(r.Reads) / float64(r.Offered) }
	assert.Check(t, large.InTime() >= small.InTime()-0.02)
	assert.Check(t, reads(large) <= 1.1*reads(small), "%.2f load reads for a call, %.2f", reads(large), reads(small))
}
