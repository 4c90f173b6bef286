package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"skylarkbeam/feed"
)

// A reader calls the store, and the other entries follow a reader. Entries may disagree on who the readers are, so an
// entry that another one follows reads the store itself, whatever it takes its own rank for. A chain or a cycle of
// followers is therefore not possible: whoever is followed follows nobody.

const (
	// readerGreetingInterval is the interval at which an entry greets the reader that it follows, and readerGreetTimeout
	// limits a greeting to a reader. A reader that has lost power is noticed after their sum, and the others that were lost
	// with it after another readerGreetTimeout: 1.4 s of the 2 s within which a change must be in force. Links between
	// failure domains take a few milliseconds; an entry that is taken for lost by mistake only loses followers.
	readerGreetingInterval = 3 * greetingStep
	readerGreetTimeout     = 400 * time.Millisecond
	// maxConfirmations bounds how often an entry looks for readers that answer before it follows one. Each time, the
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

// confirmReaders greets the entries that this one takes for readers until those that it knows have answered, so that it
// does not follow one that was lost together with the last, or that does not reach the store.
func (f *Follower) confirmReaders(ctx context.Context) {
	start := f.now()
	for range maxConfirmations {
		f.mu.Lock()
		now := f.now()
		f.plan.readers = f.readerNames(now)
		if slices.Contains(f.plan.readers, f.opt.Name) || f.isFollowed(now) {
			f.mu.Unlock()
			return
		}
		names := slices.DeleteFunc(slices.Clone(f.plan.readers), func(name string) bool { return !f.members[name].repliedAt.Before(start) })
		due := f.startGreetings(names)
		f.mu.Unlock()
		if len(names) == 0 {
			return
		}
		var greetings sync.WaitGroup
		for _, to := range due {
			greetings.Go(func() { f.greetOnce(to) })
		}
		greetings.Wait()
		for f.greetingAny(names) && ctx.Err() == nil {
			f.sleep(ctx, confirmationPoll)
		}
	}
}

// greetingAny reports whether a greeting to one of the members has not ended.
func (f *Follower) greetingAny(names []string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return slices.ContainsFunc(names, func(name string) bool { return f.members[name] != nil && f.members[name].greetingPending })
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
	if g.Answered == 0 {
		return
	}
	answeredAt := at.Add(-time.Duration(g.Answered) * silenceUnit)
	f.storeAnsweredAt = laterTime(f.storeAnsweredAt, answeredAt)
	if f.contact.forgive(f.now(), answeredAt) {
		f.reportContact()
	}
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
	return m.record.Detached &&
		(!f.storeAnsweredAt.After(m.detachedAt) || now.Sub(m.detachedAt) < retryDelay(m.detachments))
}

// isConfirmed reports whether a member has said recently that it reaches the store, or that it does not. An entry does not
// follow another one before that, as it would make it call the store.
func (f *Follower) isConfirmed(name string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	m := f.members[name]
	return m != nil && f.now().Sub(m.repliedAt) <= 2*readerGreetingInterval
}
