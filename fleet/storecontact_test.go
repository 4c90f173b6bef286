package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/feed"
)

// Guards against an entry that the store refuses for long and that calls it again and again because others reach it, and
// against one that stays detached although its failures are older than an answer to another entry.
func TestStoreContact(t *testing.T) {
	now := time.Now()
	var c storeContact
	c.recordAnswer(now)
	fail := func(after time.Duration) {
		sentAt := now
		now = now.Add(after)
		c.recordFailure(now, sentAt)
	}
	fail(100 * time.Millisecond)
	assert.Assert(t, !c.detached, "one failure right after an answer")
	fail(100 * time.Millisecond)
	assert.Assert(t, c.detached && c.gaveUp())
	assert.Assert(t, !c.forgive(now.Add(time.Hour), now), "no answer after the failure")
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		answered := now.Add(time.Millisecond)
		assert.Assert(t, !c.forgive(now.Add(delay-time.Millisecond), answered), "before %s", delay)
		assert.Assert(t, c.forgive(now.Add(delay), answered), "after %s", delay)
		assert.Assert(t, !c.detached)
		if delay == maxRetryDelay {
			break
		}
		fail(delay)
		fail(100 * time.Millisecond)
	}
	assert.Assert(t, !c.recordAnswer(now), "the failures were forgiven")
	fail(silentCallTime)
	assert.Assert(t, c.detached && !c.gaveUp(), "one failure after a long silence")
	assert.Assert(t, c.recordAnswer(now))
	assert.Assert(t, !c.detached)
}

// Guards against watches that are taken for complete although the store has changes that no answer had, and against calls
// for changes that another watch has returned.
func TestStoreVersions(t *testing.T) {
	batch := func(version uint64, rows ...uint64) feed.Batch {
		b := feed.Batch{
			Version: version,
		}
		for _, v := range rows {
			b.Rows = append(b.Rows, feed.Row{
				Version: v,
			})
		}
		return b
	}
	whole := batch(14, 12, 13, 14)
	whole.Whole = true
	steps := []struct {
		batch   feed.Batch
		missing bool
	}{
		{
			batch: batch(5, 1, 2), // the first answer, before any watch
		},
		{
			batch: batch(6, 6),
		},
		{
			batch: batch(6),
		},
		{
			batch:   batch(7),
			missing: true,
		},
		{
			batch: batch(7, 7), // the other watch is late
		},
		{
			batch: batch(9, 8, 8, 9),
		},
		{
			batch:   batch(11, 11),
			missing: true,
		},
		{
			batch:   whole,
			missing: true,
		},
		{
			batch:   batch(feed.NewVersion(1, 3), feed.NewVersion(1, 3)),
			missing: true,
		},
	}
	var c storeContact
	for i, step := range steps {
		assert.Equal(t, c.recordVersion(step.batch), step.missing, "step %d", i)
	}
}

// Guards against readers that are all in one failure domain, and against an outage of the store in which all entries call it.
func TestChooseReaders(t *testing.T) {
	var candidates []readerCandidate
	for i := range 20 {
		candidates = append(candidates, readerCandidate{
			name:   string(rune('a' + i)),
			domain: qldDomains[min(i/3, 4)],
			rank:   uint64(i),
		})
	}
	assert.DeepEqual(t, chooseReaders(candidates), []string{"a", "d", "g"})
	for i := range candidates {
		candidates[i].detached = candidates[i].rank == 0 || candidates[i].rank == 6
	}
	assert.DeepEqual(t, chooseReaders(candidates), []string{"b", "d", "h"})
	for i := range candidates {
		// The first twelve are a, d, g, j and m, which are the first of their domains, and b, c, e, f, h, i and k.
		candidates[i].detached = candidates[i].rank <= 10 || candidates[i].rank == 12
	}
	assert.DeepEqual(t, chooseReaders(candidates), []string{"a", "d", "g"})
	assert.Equal(t, len(chooseReaders(nil)), 0)
}
