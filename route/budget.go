package route

import (
	"math"
	"time"
)

// defaultRetryRatio is the default ratio of retries and hedges to first attempts.
const defaultRetryRatio = 0.1

// maxRetryTokens is the largest burst of retries. It lets a burst of failures be retried at once, while the ratio holds
// over any longer time.
const maxRetryTokens = 10.0

// retryReserve is the part of the budget that hedges leave to retries: a hedge makes a slow call faster, while a retry
// saves one that would fail.
const retryReserve = 3.0

// budgetBuckets is the number of buckets into which the budget window is divided. A bucket that lies only partly in a
// window counts with all of its retries and none of its first attempts, so the budget is never exceeded.
const budgetBuckets = 20

// usableSlackFraction is the fraction of the slack that is used. The rest allows for entries that do not know of each
// other yet.
const usableSlackFraction = 0.85

// budgetConfig sets how many retries are allowed.
type budgetConfig struct {
	// ratio is the number of retries per first attempt.
	ratio float64
	// window is the time over which retries are counted; zero if each first attempt earns a part of a retry.
	window time.Duration
	// slack is the number of retries in a window that this entry may make beyond the ratio.
	slack float64
}

// budgetConfig returns the limits for this entry, with its equal part of the slack.
func (t *Table) budgetConfig(now time.Time) budgetConfig {
	config := budgetConfig{
		ratio: math.Float64frombits(t.retryRatio.Load()),
		slack: usableSlackFraction * math.Float64frombits(t.retrySlack.Load()) / float64(t.entries.Load()),
	}
	if config.slack == 0 {
		return config
	}
	config.window = time.Duration(t.retryWindow.Load())
	if now.Sub(t.started) < config.window {
		// The previous process of this entry may have used its part, or the other entries the part of an entry that was
		// added.
		config.slack = 0
	}
	return config
}

// retryBudget counts the retries and hedges that are still allowed. Without a window it starts empty, so that the ratio
// of retries to first attempts holds from the start.
type retryBudget struct {
	epoch  time.Time
	tokens float64
	// buckets are those of the last two windows.
	buckets [2*budgetBuckets + 1]budgetBucket
}

// budgetBucket counts the attempts in one part of the window.
type budgetBucket struct {
	number        int64
	firstAttempts float64
	retries       float64
}

func (b *retryBudget) deposit(now time.Time, config budgetConfig) {
	b.tokens = min(b.tokens+config.ratio, maxRetryTokens)
	if config.window > 0 {
		b.bucket(now, config).firstAttempts++
	}
}

func (b *retryBudget) allows(now time.Time, config budgetConfig, hedge bool) bool {
	balance := b.tokens
	if config.window > 0 {
		balance = b.balance(now, config)
	}
	if hedge {
		return balance >= 1+retryReserve
	}
	return balance >= 1
}

func (b *retryBudget) withdraw(now time.Time, config budgetConfig) {
	b.tokens--
	if config.window > 0 {
		b.bucket(now, config).retries++
	}
}

// bucket returns the current bucket.
func (b *retryBudget) bucket(now time.Time, config budgetConfig) *budgetBucket {
	number := b.bucketNumber(now, config)
	current := &b.buckets[number%int64(len(b.buckets))]
	if current.number != number {
		*current = budgetBucket{
			number: number,
		}
	}
	return current
}

// bucketNumber returns the number of the current bucket, from 1.
func (b *retryBudget) bucketNumber(now time.Time, config budgetConfig) int64 {
	return 1 + int64(now.Sub(b.epoch)/(config.window/budgetBuckets))
}

// balance returns the retries that are still allowed. The window that ends now may have as many as the ratio of its own
// first attempts, plus the slack. A window that began later does not know all of its first attempts yet, so it may also
// use those of the window before it, or of the window half a window earlier. These later windows are checked now
// because the first attempts of a burst leave the window that ends now before the retries made at the end of the burst
// do.
func (b *retryBudget) balance(now time.Time, config budgetConfig) float64 {
	current := b.bucketNumber(now, config)
	// firstAttempts and retries are the sums over the buckets before the given index; index 0 is the oldest bucket.
	var first, retries [2*budgetBuckets + 2]float64
	oldest := current - 2*budgetBuckets
	for i := range 2*budgetBuckets + 1 {
		number := oldest + int64(i)
		first[i+1], retries[i+1] = first[i], retries[i]
		if bucket := &b.buckets[max(number, 0)%int64(len(b.buckets))]; number > 0 && bucket.number == number {
			first[i+1] += bucket.firstAttempts
			retries[i+1] += bucket.retries
		}
	}
	// attemptsBetween returns the number of first attempts in the buckets from one index up to, but not including,
	// another.
	attemptsBetween := func(from, to int) float64 {
		return first[min(max(to, 0), len(first)-1)] - first[min(max(from, 0), len(first)-1)]
	}
	remaining := func(attempts float64, begin int) float64 {
		return config.ratio*attempts + config.slack - (retries[len(retries)-1] - retries[begin])
	}
	lowest := remaining(attemptsBetween(budgetBuckets+1, 2*budgetBuckets+1), budgetBuckets)
	// The window begins within the bucket at this index.
	for begin := budgetBuckets + 1; begin <= 2*budgetBuckets; begin++ {
		attempts := max(
			attemptsBetween(begin+1, begin+budgetBuckets),
			attemptsBetween(begin-budgetBuckets+1, begin),
			attemptsBetween(begin-budgetBuckets/2+1, begin+budgetBuckets/2),
		)
		lowest = min(lowest, remaining(attempts, begin))
	}
	return lowest
}
