package fleet

import (
	"time"

	"skylarkbeam/feed"
)

const (
	// detachAfterFailures is the number of consecutive failed calls to the store after which an entry leaves the reading
	// to others.
	detachAfterFailures = 2
	// silentCallTime is the time without any answer of the store after which a single failed call detaches an entry. The
	// watch of the desired state answers after stateWatchTimeout, and the store within 400 ms when it is slow. Waiting for
	// a second failure would cost the followers of a reader that is cut off another 0.85 s of the 2 s that they have.
	silentCallTime = 1500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound how long after its last failed call a detached entry is no candidate for a
	// reader although others reach the store. The delay doubles with each detachment without an answer in between, so
	// that an entry that the store refuses makes a few calls a minute.
	minRetryDelay = 4 * time.Second
	maxRetryDelay = time.Minute
)

// storeContact is what an entry learns from its own calls to the store. An entry that does not call the store learns
// nothing more of it, so what it learned from failed calls is dropped once another entry has got an answer.
type storeContact struct {
	// failures is the number of consecutive failed calls, the last of which ended at failedAt.
	failures   int
	failedAt   time.Time
	answeredAt time.Time
	// detached is reported to the other entries since detachedAt. detachments counts how often it was set since the last
	// answer.
	detached    bool
	detachedAt  time.Time
	detachments int
	// version is the latest version of the store that an answer has named. completeAt is when the last call was sent whose
	// answer named no version whose changes were unknown.
	version    uint64
	completeAt time.Time
}

// recordAnswer records an answer and reports whether calls had failed before it.
func (c *storeContact) recordAnswer(now time.Time) (recovered bool) {
	recovered = c.failures > 0
	*c = storeContact{
		answeredAt: now,
		version:    c.version,
		completeAt: c.completeAt,
	}
	return recovered
}

// recordFailure records the failure of a call that was sent at a time, and reports whether it is the first one.
func (c *storeContact) recordFailure(now, sentAt time.Time) (first bool) {
	c.failures++
	c.failedAt = now
	silent := now.Sub(laterTime(c.answeredAt, sentAt)) >= silentCallTime
	if !c.detached && (c.failures >= detachAfterFailures || silent) {
		c.detached = true
		c.detachedAt = now
		c.detachments++
	}
	return c.failures == 1
}

// gaveUp reports whether the entry leaves the reading to others that reach the store, if there are any.
func (c *storeContact) gaveUp() bool { return c.failures >= detachAfterFailures }

// reaches reports whether the store has just answered.
func (c *storeContact) reaches(now time.Time) bool {
	return !c.gaveUp() && !c.answeredAt.IsZero() && now.Sub(c.answeredAt) < reachedTime
}

// retryDelay returns how long after its last failed call an entry is no candidate for a reader.
func retryDelay(detachments int) time.Duration {
	return min(minRetryDelay<<min(max(detachments-1, 0), 8), maxRetryDelay)
}

// forgive drops the failures if another entry has got an answer since, and reports whether it did. The entry is then a
// candidate for a reader again; it does not call the store because of that.
func (c *storeContact) forgive(now, answeredElsewhere time.Time) bool {
	if c.failures == 0 || !answeredElsewhere.After(c.failedAt) || now.Sub(c.failedAt) < retryDelay(c.detachments) {
		return false
	}
	c.failures = 0
	c.detached = false
	return true
}

// recordVersion records the version of the store in an answer, and reports whether the store has changes that the answer
// does not have: versions increase by one with each transaction, whatever the table.
func (c *storeContact) recordVersion(b feed.Batch) (missing bool) {
	known := c.version
	if b.Version <= known {
		return false
	}
	c.version = b.Version
	if known == 0 || b.Whole {
		// A whole table does not have its deletions.
		return known > 0
	}
	seen := map[uint64]bool{}
	for _, row := range b.Rows {
		if row.Version > known {
			seen[row.Version] = true
		}
	}
	return uint64(len(seen)) < b.Version-known
}
