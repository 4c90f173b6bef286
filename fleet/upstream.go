package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"skylarkbeam/feed"
)

const (
	// readers is the number of entries that follow the store itself; the others follow them. Each call to the store has a
	// price, and three survive the loss of any two.
	readers = 3
	// readerSilence is how long an unheard member still counts as a reader.
	readerSilence = 2500 * time.Millisecond
	// peerWait is how long an entry waits for news from a peer in one request.
	peerWait = 10 * time.Second
	// avoidTime is how long an entry does not follow a peer that did not answer.
	avoidTime = 2 * time.Second
	// detachAfter is the number of failed calls to the store after which an entry tells the others that it does not reach
	// the store.
	detachAfter = 2
	// peerGather separates requests to a peer, which have no price.
	peerGather = 20 * time.Millisecond
)

// upstream is where an entry takes the rows of the tables from: the store if it is one of the readers, else a reader.
type upstream struct {
	follower *Follower
}

// Read implements feed.Source.
func (u upstream) Read(ctx context.Context, table string) (feed.Batch, error) {
	f := u.follower
	if to, ok := f.reader(); ok {
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		batch, err := f.opt.Transport.Rows(ctx, to.control, table, 0, 0)
		if err == nil {
			return *batch, nil
		}
		f.avoid(to, err)
	}
	batch, err := f.opt.Store.Read(ctx, table)
	f.reached(err)
	return batch, err
}

// Watch implements feed.Source.
func (u upstream) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (feed.Batch, error) {
	f := u.follower
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if to, ok := f.reader(); ok {
		defer f.following(to.name, cancel)()
		ctx, cancel := context.WithTimeout(ctx, peerWait+peerTimeout)
		defer cancel()
		batch, err := f.opt.Transport.Rows(ctx, to.control, table, after, peerWait)
		if err == nil {
			return *batch, nil
		}
		f.avoid(to, err)
		// The peer may have told nothing for as long as it was asked to wait, so nothing is lost by asking another one.
		return feed.Batch{
			Version: after,
		}, nil
	}
	defer f.following("", cancel)()
	batch, err := f.opt.Store.Watch(ctx, table, after, wait)
	if err != nil && f.ctx.Err() == nil && ctx.Err() != nil {
		// This entry is no reader any more, or another request has failed.
		return feed.Batch{
			Version: after,
		}, nil
	}
	f.reached(err)
	return batch, err
}

// reader returns the member to follow; ok is false if this entry is to ask the store itself.
func (f *Follower) reader() (to address, ok bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := f.now()
	if now.Sub(f.start) < joinTime {
		return address{}, false
	}
	names := f.readerNames(now)
	if len(names) == 0 || slices.Contains(names, f.opt.Name) {
		return address{}, false
	}
	// Those in the own failure domain first, then one that other entries of it are likely not to choose.
	slices.SortFunc(names, func(a, b string) int {
		near := func(name string) int {
			if f.members[name].record.Domain == f.own.Domain {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(near(a), near(b)), cmp.Compare(xxhash.Sum64String(f.opt.Name+a), xxhash.Sum64String(f.opt.Name+b)))
	})
	return address{
		name:    names[0],
		control: f.members[names[0]].record.Control,
	}, true
}

// readerNames returns the entries that follow the store, as far as this entry knows: those with the lowest hashes among
// the entries that are heard and reach the store, and first one in each failure domain, because the others follow it and
// bytes between domains have a price. The caller holds the lock.
func (f *Follower) readerNames(now time.Time) []string {
	var attached, all []string
	add := func(name string, detached bool) {
		all = append(all, name)
		if !detached {
			attached = append(attached, name)
		}
	}
	if !f.leaving {
		add(f.opt.Name, f.own.Detached)
	}
	for name, m := range f.members {
		if m.record.State == RecordStateActive && now.Sub(m.heard) < readerSilence && now.Sub(m.avoided) >= avoidTime {
			add(name, m.record.Detached)
		}
	}
	if len(attached) > 0 {
		all = attached
	}
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String("reader\x00"+a), xxhash.Sum64String("reader\x00"+b))
	})
	domains := map[string]bool{}
	var first, rest []string
	for _, name := range all {
		domain := f.own.Domain
		if m := f.members[name]; m != nil {
			domain = m.record.Domain
		}
		if domains[domain] {
			rest = append(rest, name)
		} else {
			domains[domain] = true
			first = append(first, name)
		}
	}
	list := append(first, rest...)
	return list[:min(len(list), readers)]
}

// reached takes note of the result of a call to the store.
func (f *Follower) reached(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil || f.ctx.Err() != nil {
		f.misses = 0
	} else {
		f.misses++
	}
	if f.misses == 1 {
		// What the store has swallowed is not answered any more.
		for _, w := range f.watches {
			if w.reader == "" {
				w.cancel()
			}
		}
	}
	detached := f.misses >= detachAfter
	if detached != f.own.Detached {
		f.own.Detached = detached
		f.log.Info("contact with the store changed", zap.Bool("detached", detached))
	}
}

// avoid takes note of a peer that did not answer.
func (f *Follower) avoid(to address, err error) {
	if f.ctx.Err() != nil {
		return
	}
	f.log.Debug("a peer did not answer", zap.String("peer", to.name), zap.Error(err))
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[to.name]; m != nil {
		m.avoided = f.now()
	}
}

// following enters a request to the named reader, or to the store if the name is empty, which is cancelled when another one
// is to be asked. The result ends the entry.
func (f *Follower) following(name string, cancel context.CancelFunc) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	number := f.requests
	f.watches[number] = watch{
		reader: name,
		cancel: cancel,
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.watches, number)
	}
}

// watch is a request for news that is under way.
type watch struct {
	reader string
	cancel context.CancelFunc
}

// redirect cancels the requests for news to a reader that is no longer the one to ask.
func (f *Follower) redirect() {
	to, _ := f.reader()
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, w := range f.watches {
		if w.reader != to.name {
			w.cancel()
		}
	}
}

// gather returns the time between requests for news.
func (f *Follower) gather() time.Duration {
	if _, ok := f.reader(); ok {
		return peerGather
	}
	return feed.DefaultBatchDelay
}
