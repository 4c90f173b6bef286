package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/feed"
)

// The store can refuse some entries and serve the others. If all candidates for readers are detached, which an outage before can have
// caused, the first of them call the store, and they may be the ones that it refuses. Therefore all others probe the store by turns
// then. An entry that gets an answer tells the candidates at once, whom the others follow, and greetings pass on which entries the store
// has answered.

const (
	// reachedTime is how long after an answer an entry is taken to reach the store. A reader gets one every 1.7 s at least.
	reachedTime = 3 * time.Second
	// probesPerRound is the average number of entries that probe the store in a round of greetings.
	probesPerRound = readerCount
)

// probeDue reports whether this entry is to probe the store in this round. The caller holds the lock.
func (f *Follower) probeDue(now time.Time, candidates []readerCandidate) bool {
	return probesNeeded(candidates) && f.settled(now) && !f.leaving && !slices.Contains(f.plan.readers, f.opt.Name) &&
		f.random.IntN(max(len(candidates), 1)) < probesPerRound
}

// probeIfDue probes the store in the background if this entry is to do that in this round.
func (f *Follower) probeIfDue() {
	f.mu.RLock()
	due := f.plan.probe
	f.mu.RUnlock()
	if due {
		f.tasks.Go(f.probeStore)
	}
}

// probeStore calls the store once. If it answers, this entry becomes a reader.
func (f *Follower) probeStore() {
	table := f.tables[f.opt.Tables[0]]
	if !table.Loaded() {
		return // The table is being read, from the store if no other entry has it.
	}
	sentAt := f.now()
	batch, err := f.opt.Store.Watch(f.ctx, table.Name(), table.CompleteVersion(), 0)
	f.recordStoreResult(sentAt, batch, err)
	if err != nil && !errors.Is(err, feed.ErrCompacted) {
		return
	}
	if err == nil && table.Apply(batch) {
		f.rebuild()
	}
	f.mu.Lock()
	f.log.Info("the store answers this entry while it answers none of the usual readers")
	due := f.startGreetings(takeoverNames(f.readerCandidates(f.now())))
	f.mu.Unlock()
	f.greetAll(due)
	f.cancelStaleWatches()
}

// reaches reports whether the store has just answered the member.
func (m *member) reaches(now time.Time) bool {
	return !m.answeredAt.IsZero() && now.Sub(m.answeredAt) < reachedTime && !m.detachedAfter(m.answeredAt)
}

// detachedAfter reports whether the member has said after a time that it does not reach the store.
func (m *member) detachedAfter(at time.Time) bool {
	return m.record.Detached && !at.After(m.detachedAt)
}

// latestReached returns the time since the store answered the members that it has answered last, in units of silenceUnit. The caller
// holds the lock.
func (f *Follower) latestReached(now time.Time) map[string]int {
	var names []string
	for name, m := range f.members {
		if m.reaches(now) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return f.members[b].answeredAt.Compare(f.members[a].answeredAt) })
	reached := make(map[string]int, readerCount)
	for _, name := range names[:min(len(names), readerCount)] {
		reached[name] = roundUp(now.Sub(f.members[name].answeredAt), silenceUnit)
	}
	return reached
}

// recordAnswers records what a member reports of answers of the store, as of the given time. The caller holds the lock.
func (f *Follower) recordAnswers(m *member, g *Greeting, at time.Time) {
	if g.Answered > 0 {
		f.recordReached(m, at.Add(-time.Duration(g.Answered)*silenceUnit))
	}
	for name, tenths := range g.Reached {
		if other := f.members[name]; other != nil {
			f.recordReached(other, at.Add(-time.Duration(tenths)*silenceUnit))
		}
	}
	if f.contact.forgive(f.now(), f.storeAnsweredAt) {
		f.reportContact()
	}
}

// recordReached records that the store has answered a member at a time. If no entry was taken to reach the store before, this entry and
// its followers leave their readers. The caller holds the lock.
func (f *Follower) recordReached(m *member, at time.Time) {
	m.answeredAt = laterTime(m.answeredAt, at)
	f.storeAnsweredAt = laterTime(f.storeAnsweredAt, at)
	if !f.plan.unreached || !m.reaches(f.now()) {
		return
	}
	f.plan.unreached = false
	f.releaseFollowers()
	f.tasks.Go(f.cancelStaleWatches)
}

// releaseFollowers ends the watches of followers. The caller holds the lock.
func (f *Follower) releaseFollowers() {
	f.cancelAttachment()
	f.attachment, f.cancelAttachment = context.WithCancel(f.ctx)
}
