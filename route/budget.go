package route

import (
	"math"
	"time"
)

// repeatShare is the default share of repeats and hedges in first attempts.
const repeatShare = 0.1

// repeatBurst lets a burst of failures be repeated at once, while the share holds over any longer time.
const repeatBurst = 10.0

// hedgeReserve is the part of the budget that hedges leave to repeats: a hedge makes a slow call faster, a repeat saves one
// that would fail.
const hedgeReserve = 3.0

// budgetSteps is the number of steps into which the window of a budget is divided. Steps that lie in a window in part count
// with all of their repeats and none of their first attempts, so the budget is never too generous.
const budgetSteps = 20

// slackPart is the part of the slack that is used. The rest allows for entries that do not know of each other yet.
const slackPart = 0.85

// budgetRule says how many repeats are allowed.
type budgetRule struct {
	// share is the part of first attempts.
	share float64
	// window is the time over which repeats are counted, zero if the budget is earned call by call.
	window time.Duration
	// slack is the number of repeats in a window that this entry may make beyond the share.
	slack float64
}

// budgetRule returns the rule for this entry: its even part of the slack.
func (t *Table) budgetRule(now time.Time) budgetRule {
	rule := budgetRule{
		share: math.Float64frombits(t.repeats.Load()),
		slack: slackPart * math.Float64frombits(t.slack.Load()) / float64(t.entries.Load()),
	}
	if rule.slack == 0 {
		return rule
	}
	rule.window = time.Duration(t.window.Load())
	if now.Sub(t.started) < rule.window {
		// A former process of this entry may have used its part, or the others the part of an entry that has been added.
		rule.slack = 0
	}
	return rule
}

// budget counts the attempts that may still be repeated or hedged. Without a window it starts empty, so that repeats never
// pass their share of first attempts, counted from the start.
type budget struct {
	epoch  time.Time
	tokens float64
	// steps are those of the last two windows.
	steps [2*budgetSteps + 1]budgetStep
}

// budgetStep counts what happened in one step of the window.
type budgetStep struct {
	number  int64
	first   float64
	repeats float64
}

func (b *budget) earn(now time.Time, rule budgetRule) {
	b.tokens = min(b.tokens+rule.share, repeatBurst)
	if rule.window > 0 {
		b.step(now, rule).first++
	}
}

func (b *budget) has(now time.Time, rule budgetRule, hedge bool) bool {
	left := b.tokens
	if rule.window > 0 {
		left = b.left(now, rule)
	}
	if hedge {
		return left >= 1+hedgeReserve
	}
	return left >= 1
}

func (b *budget) spend(now time.Time, rule budgetRule) {
	b.tokens--
	if rule.window > 0 {
		b.step(now, rule).repeats++
	}
}

// step returns the counts of the present step.
func (b *budget) step(now time.Time, rule budgetRule) *budgetStep {
	number := b.number(now, rule)
	s := &b.steps[number%int64(len(b.steps))]
	if s.number != number {
		*s = budgetStep{
			number: number,
		}
	}
	return s
}

// number returns the number of the present step, from 1.
func (b *budget) number(now time.Time, rule budgetRule) int64 {
	return 1 + int64(now.Sub(b.epoch)/(rule.window/budgetSteps))
}

// left returns the repeats that are still allowed. The window that ends now may have no more than the share of its own first
// attempts and the slack. A window that has begun later may go by those of the window before it, or half a window before it,
// as well, because it does not know its own yet. It counts already now: first attempts of a burst leave the window that ends
// now before repeats do that were made at the end of the burst.
func (b *budget) left(now time.Time, rule budgetRule) float64 {
	last := b.number(now, rule)
	// first and repeats are the sums over the steps before the one with the index, the first of which is the oldest.
	var first, repeats [2*budgetSteps + 2]float64
	oldest := last - 2*budgetSteps
	for i := range 2*budgetSteps + 1 {
		number := oldest + int64(i)
		first[i+1], repeats[i+1] = first[i], repeats[i]
		if s := &b.steps[max(number, 0)%int64(len(b.steps))]; number > 0 && s.number == number {
			first[i+1] += s.first
			repeats[i+1] += s.repeats
		}
	}
	// between is the number of first attempts in the steps from one index to before another.
	between := func(from, to int) float64 {
		return first[min(max(to, 0), len(first)-1)] - first[min(max(from, 0), len(first)-1)]
	}
	left := func(most float64, begin int) float64 {
		return rule.share*most + rule.slack - (repeats[len(repeats)-1] - repeats[begin])
	}
	least := left(between(budgetSteps+1, 2*budgetSteps+1), budgetSteps)
	// The window begins within the step with the index.
	for begin := budgetSteps + 1; begin <= 2*budgetSteps; begin++ {
		most := max(
			between(begin+1, begin+budgetSteps),
			between(begin-budgetSteps+1, begin),
			between(begin-budgetSteps/2+1, begin+budgetSteps/2),
		)
		least = min(least, left(most, begin))
	}
	return least
}
