package fleet

import (
	"context"
	"slices"
	"time"

	"skylarkbeam/feed"
)

// A reader calls the store, and the other entries follow a reader. Entries may disagree on who the readers are, so an
// entry that another one follows reads the store itself, whatever it takes its own rank for. A chain or a cycle of
// followers is therefore not possible: whoever is followed follows nobody.

const (
	// readerGreetingInterval is the interval at which an entry greets the reader that it follows, and readerGreetTimeout
	// limits a greeting to a reader. A reader that has lost power is noticed after their sum. Links between failure domains
	// take a few milliseconds; an entry that is taken for lost by mistake only loses followers.
	readerGreetingInterval = 3 * greetingStep
	readerGreetTimeout     = 400 * time.Millisecond
	// readerHedgeDelay is the time without an answer of the reader after which the other readers are greeted, so that those that
	// do not answer either can be passed over at once when the first one counts as lost.
	readerHedgeDelay = readerGreetTimeout / 2
	// takeoverTimeout is how long a member may take to answer while the entry looks for a reader. All that were lost with the
	// reader are passed over after one takeoverTimeout more: 1.3 s of the 2 s within which a change must be in force.
	takeoverTimeout = 200 * time.Millisecond
	// maxConfirmations bounds how often an entry looks for a reader that answers before it follows one. Each time, the
	// members that did not answer are replaced by the next in rank.
	maxConfirmations = 4
	// confirmationPoll is the interval at which an entry checks whether its greetings have been answered.
	confirmationPoll = 20 * time.Millisecond
	// followedLinger is how long an entry reads the store after the last watch of a follower, which may send the next.
	followedLinger = time.Second
	// For detachTime after a reader has lost the store, watches of followers end after detachWait: the follower took the
	// reader for one that reaches the store, by a greeting from right before.
	detachTime = 300 * time.Millisecond
	detachWait = 50 * time.Millisecond
)

// awaitRows waits for a change of a table for an entry that follows this one, which reads the store meanwhile. If this entry
// loses the store or stops, it returns at once and without a change, so that the other can follow another reader.
// Without a wait, the other entry does not follow this one.
func (f *Follower) awaitRows(ctx context.Context, table *feed.Table, after uint64, wait time.Duration) {
	if wait <= 0 {
		return
	}
	f.mu.Lock()
	attachment := f.attachment
	now := f.now()
	followed := f.isFollowed(now)
	f.followers++
	if f.contact.detached && now.Sub(f.contact.detachedAt) < detachTime {
		wait = detachWait
	}
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.followers--
		f.followedAt = f.now()
	}()
	if !followed {
		f.cancelStaleWatches()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(attachment, cancel)()
	table.Wait(ctx, after, min(wait, peerWatchTimeout))
}

// isFollowed reports whether another entry follows this one. The caller holds the lock.
func (f *Follower) isFollowed(now time.Time) bool {
	return f.followers > 0 || !f.followedAt.IsZero() && now.Sub(f.followedAt) < followedLinger
}

// readerSearch is a search for a reader that answers. The result is set before done is closed.
type readerSearch struct {
	done chan struct{}
	to   peerAddress
	ok   bool
}

// confirmReaders returns a reader that answers, so that this entry does not follow one that was lost together with the last, or that
// does not reach the store; ok is false if this entry must call the store itself. Calls at the same time share a search.
func (f *Follower) confirmReaders(ctx context.Context) (to peerAddress, ok bool) {
	f.mu.Lock()
	s := f.search
	started := s == nil
	if started {
		s = &readerSearch{
			done: make(chan struct{}),
		}
		f.search = s
	}
	f.mu.Unlock()
	if !started {
		select {
		case <-s.done:
			return s.to, s.ok
		case <-ctx.Done():
			return peerAddress{}, false // The call to the store ends with ctx.
		}
	}
	s.to, s.ok = f.findReader(ctx)
	f.mu.Lock()
	f.search = nil
	f.mu.Unlock()
	close(s.done)
	return s.to, s.ok
}

// findReader greets the entries that this one takes for readers and returns the one to follow. If one of them does not answer in
// time, it greets all candidates at once and chooses among those that answer: the loss of many entries must not take longer than that
// of one.
func (f *Follower) findReader(ctx context.Context) (to peerAddress, ok bool) {
	since := f.now()
	// all is set if all candidates are to be greeted, askedAll once they have been.
	all, askedAll := false, false
	for range maxConfirmations {
		f.mu.Lock()
		now := f.now()
		all = f.passOverdue(f.readerNames(now)) || all
		candidates := f.readerCandidates(now)
		if askedAll {
			candidates = f.answeredCandidates(candidates, since)
		}
		f.plan.readers = chooseReaders(candidates)
		to, ok = f.nearestReader(now, f.plan.readers)
		if !ok || f.hasAnswered(to.name, since) {
			f.mu.Unlock()
			return to, ok
		}
		names := f.plan.readers
		if all {
			names = takeoverNames(candidates)
		}
		names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == f.opt.Name || f.hasAnswered(name, since) })
		due := f.startGreetings(names)
		f.mu.Unlock()
		f.greetAll(due)
		for f.awaitsAnswer(names, since) && f.now().Sub(now) < takeoverTimeout && ctx.Err() == nil {
			f.sleep(ctx, confirmationPoll)
		}
		f.passOver(names, since)
		all, askedAll = true, all
	}
	return to, ok
}

// answeredCandidates returns the first candidates without those that have not answered a greeting that was sent after a time, or all
// candidates if no other entry has. The caller holds the lock.
func (f *Follower) answeredCandidates(candidates []readerCandidate, since time.Time) []readerCandidate {
	names := takeoverNames(candidates)
	if !slices.ContainsFunc(names, func(name string) bool { return f.hasAnswered(name, since) }) {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(c readerCandidate) bool {
		return !slices.Contains(names, c.name) || c.name != f.opt.Name && !f.hasAnswered(c.name, since)
	})
}

// hasAnswered reports whether a member has answered a greeting that was sent after a time. The caller holds the lock.
func (f *Follower) hasAnswered(name string, since time.Time) bool {
	m := f.members[name]
	return m != nil && !m.repliedAt.Before(since)
}

// awaitsAnswer reports whether this entry waits for an answer of one of the members. An entry that is followed reads the store and
// does not wait.
func (f *Follower) awaitsAnswer(names []string, since time.Time) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return !f.isFollowed(f.now()) && slices.ContainsFunc(names, func(name string) bool {
		m := f.members[name]
		return m != nil && m.greetingPending && !f.hasAnswered(name, since) && !f.isOverdue(m)
	})
}

// isOverdue reports whether a member has not answered a greeting within takeoverTimeout. The caller holds the lock.
func (f *Follower) isOverdue(m *member) bool {
	return m.greetingPending && f.now().Sub(m.greetedAt) >= takeoverTimeout
}

// passOverdue makes this entry choose its reader among other members than those that are overdue, and reports whether there are any.
// The caller holds the lock.
func (f *Follower) passOverdue(names []string) (found bool) {
	for _, name := range names {
		if m := f.members[name]; m != nil && f.isOverdue(m) {
			m.rowsFailedAt = f.now()
			found = true
		}
	}
	return found
}

// passOver makes this entry choose its reader among other members than those that have not answered.
func (f *Follower) passOver(names []string, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		if m := f.members[name]; m != nil && !f.hasAnswered(name, since) {
			m.rowsFailedAt = f.now()
		}
	}
}

// hedgeReader greets the other readers if the one that this entry follows has not answered within readerHedgeDelay. answered is closed
// when it has.
func (f *Follower) hedgeReader(answered <-chan struct{}) {
	delay := time.NewTimer(readerHedgeDelay)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-answered:
		return
	}
	f.mu.Lock()
	due := f.startGreetings(f.plan.readers)
	f.mu.Unlock()
	f.greetAll(due)
}

// greetingTimeout returns the timeout of a greeting to a member.
func (f *Follower) greetingTimeout(name string) time.Duration {
	if f.isReaderElsewhere(name) {
		return readerGreetTimeout
	}
	return peerTimeout
}

// isReaderElsewhere reports whether a member was one of the readers when this entry last looked, or is still followed.
func (f *Follower) isReaderElsewhere(name string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return slices.Contains(f.plan.readers, name) || f.followsMember(name)
}

// abandonReader passes over a reader that has failed to answer a greeting. A watch request to it may otherwise wait for a
// response until the member counts as silent.
func (f *Follower) abandonReader(to peerAddress, err error) {
	if f.isReaderElsewhere(to.name) {
		f.recordPeerFailure(to, err)
		f.cancelStaleWatches()
	}
}

// follows reports whether this entry watches the rows of the member.
func (f *Follower) follows(name string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.followsMember(name)
}

// followsMember reports whether this entry watches the rows of the member. The caller holds the lock.
func (f *Follower) followsMember(name string) bool {
	for _, w := range f.watchRequests {
		if w.reader == name {
			return true
		}
	}
	return false
}

// readersDue returns the readers that this entry follows and has not greeted for readerGreetingInterval. The caller holds
// the lock.
func (f *Follower) readersDue(now time.Time) []string {
	var names []string
	for _, w := range f.watchRequests {
		m := f.members[w.reader]
		// Steps do not begin at exact times.
		if m != nil && now.Sub(m.greetedAt) > readerGreetingInterval-greetingStep/2 {
			names = append(names, w.reader)
		}
	}
	return names
}

// storeAnswerAge returns the time since the store last answered this entry, in units of silenceUnit, or zero if that was
// not recently. The caller holds the lock.
func (f *Follower) storeAnswerAge(now time.Time) int {
	if age := now.Sub(f.contact.answeredAt); age < maxReportedAge {
		return max(1, roundUp(age, silenceUnit))
	}
	return 0
}

// recordReader records what a member reports of its calls to the store, as of the given time. The caller holds the lock.
func (f *Follower) recordReader(m *member, g *Greeting, at time.Time) {
	m.repliedAt = laterTime(m.repliedAt, at)
	for domain, tenths := range g.Lost {
		f.recordStoreLoss(domain, at.Add(-time.Duration(tenths)*silenceUnit))
	}
	if g.Record.Detached && !m.record.Detached {
		f.cancelWatchesTo(g.Entry)
	}
	switch {
	case !g.Record.Detached:
		m.detachments = 0
	case !m.record.Detached || m.detachments == 0:
		m.detachments = 1
	case f.storeAnsweredAt.After(m.detachedAt) && at.Sub(m.detachedAt) >= retryDelay(m.detachments):
		// The member was a candidate for a reader again in the meantime.
		m.detachments++
	}
	m.detachedAt = at
}

// cancelWatchesTo cancels the watches at a member, or at the store if the name is empty. The caller holds the lock.
func (f *Follower) cancelWatchesTo(name string) {
	for _, w := range f.watchRequests {
		if w.reader == name {
			w.cancel()
		}
	}
}

// isDetached reports whether the member is taken for one that does not reach the store. What it said of that is dropped
// once the store has answered another entry later: an entry hears most others rarely, and with what they said during an
// outage, entries would not agree on the readers after it. The caller holds the lock.
func (f *Follower) isDetached(m *member, now time.Time) bool {
	return m.detachedAfter(m.answeredAt) &&
		(!f.storeAnsweredAt.After(m.detachedAt) || now.Sub(m.detachedAt) < retryDelay(m.detachments))
}

// isConfirmed reports whether a member has said recently, and since this entry last lost a reader, that it reaches the store, or that
// it does not. An entry does not follow another one before that, as it would make it call the store.
func (f *Follower) isConfirmed(name string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	m := f.members[name]
	return m != nil && f.now().Sub(m.repliedAt) <= 2*readerGreetingInterval && !m.repliedAt.Before(f.readerLostAt)
}
