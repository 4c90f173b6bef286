package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/feed"
	"skylarkbeam/simulation"
)

// refusingStore is a store that can be made to fail for one entry.
type refusingStore struct {
	*memoryStore
	refusing atomic.Bool
}

func (s *refusingStore) Read(ctx context.Context, table string) (feed.Batch, error) {
	if s.refusing.Load() {
		return feed.Batch{}, context.DeadlineExceeded
	}
	return s.memoryStore.Read(ctx, table)
}

func (s *refusingStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (feed.Batch, error) {
	if s.refusing.Load() {
		return feed.Batch{}, context.DeadlineExceeded
	}
	return s.memoryStore.Watch(ctx, table, after, wait)
}

// Guards against calls to the store that grow with the number of entries. At rest, only the readers may call it.
func TestReaders(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newMemoryStore("op", "servers", "entries")
		_, list := startFollowers(t, 12, func(int) Store { return store })
		time.Sleep(20 * time.Second)
		before := store.count()
		for i := range 10 {
			store.set("op", "config", fmt.Sprint(i))
			time.Sleep(time.Second)
			for _, f := range list {
				assert.DeepEqual(t, f.State().DrainedDomains, []string{fmt.Sprint(i)})
			}
		}
		calls := store.count() - before
		// Each reader calls once per change, and once per watch timeout of each table.
		assert.Assert(t, calls <= 3*10+3*2*2, "%d calls for 10 changes", calls)
	})
}

// Guards against rows that are passed on between failure domains, where traffic is charged, although each domain can
// have a reader.
func TestReaderDomains(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newMemoryStore("op", "servers", "entries")
		_, list := startFollowers(t, 12, func(int) Store { return store })
		time.Sleep(5 * time.Second)
		for _, f := range list {
			to, ok := f.reader()
			if !ok {
				continue
			}
			f.mu.RLock()
			domain := f.members[to.name].record.Domain
			f.mu.RUnlock()
			assert.Equal(t, domain, f.self.Domain, "%s follows %s", f.opt.Name, to.name)
		}
	})
}

// Guards against entries with slow links that pass large desired states on to a third of the fleet while others have faster links, and
// against a fleet without readers once those are lost.
func TestReaderLinks(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		const entries = 24
		store := newMemoryStore("op", "servers", "entries")
		transport := newMemoryTransport(t)
		// The last two of each failure domain have a link of 200 Mbit/s, the others of 10 or 11 Mbit/s.
		fast := func(i int) bool { return i%8 >= 6 }
		transport.bandwidth = func(i int) float64 {
			if fast(i) {
				return 200e6 / 8
			}
			return float64(10+i%2) * 1e6 / 8
		}
		var list []*Follower
		for i := range entries {
			list = append(list, transport.start(t, i, qldDomains[i/8], store, nil))
		}
		time.Sleep(10 * time.Second)
		var names []string
		for i, f := range list {
			if fast(i) {
				names = append(names, f.opt.Name)
			}
		}
		for _, f := range list {
			readers := readersOf(f)
			assert.Equal(t, len(readers), readerCount)
			assert.DeepEqual(t, readers, readersOf(list[0]))
			for _, name := range readers {
				assert.Assert(t, slices.Contains(names, name), "%s is a reader", name)
			}
		}
		rest := transport.lose(list, names)
		store.set("op", "config", "new")
		assert.Assert(t, learned(rest, "new", 2*applyTime) <= applyTime)
	})
}

// Guards against an entry that the store refuses and that does not learn of changes within the 2 s in which a desired
// state must be in force, for any choice of entries. The control shows that such an entry learns nothing without its
// peers.
func TestStoreRefuses(t *testing.T) {
	for _, alone := range []bool{false, true} {
		t.Run(fmt.Sprintf("alone %t", alone), func(t *testing.T) {
			simulation.Run(t, func(t *testing.T) {
				store := newMemoryStore("op", "servers", "entries")
				stores := make([]*refusingStore, 6)
				transport, list := startFollowers(t, 6, func(i int) Store {
					stores[i] = &refusingStore{
						memoryStore: store,
					}
					return stores[i]
				})
				time.Sleep(5 * time.Second)
				for i, f := range list {
					stores[i].refusing.Store(i < 4)
					transport.mu.Lock()
					transport.cut[f.opt.Control] = alone
					transport.mu.Unlock()
				}
				// The requests in flight still succeed; the store refuses the entries from their next requests on.
				store.set("op", "config", "1")
				time.Sleep(5 * time.Second)
				for n := 2; n < 6; n++ {
					store.set("op", "config", fmt.Sprint(n))
					time.Sleep(2 * time.Second)
					for i, f := range list {
						if alone && i < 4 {
							continue
						}
						assert.DeepEqual(t, f.State().DrainedDomains, []string{fmt.Sprint(n)})
					}
				}
				if alone {
					stale := list[0].State().DrainedDomains[0]
					assert.Assert(t, stale != "5", "an entry without store and peers knows %s", stale)
				}
			})
		})
	}
}

// Guards against entries that keep following a reader that has ended, and against a state that goes back.
func TestReaderEnds(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newMemoryStore("op", "servers", "entries")
		transport, list := startFollowers(t, 6, func(int) Store { return store })
		time.Sleep(5 * time.Second)
		list[0].mu.RLock()
		names := list[0].readerNames(list[0].now())
		list[0].mu.RUnlock()
		ended := map[string]bool{}
		for _, f := range list {
			if f.opt.Name == names[0] || f.opt.Name == names[1] {
				ended[f.opt.Name] = true
				transport.mu.Lock()
				transport.cut[f.opt.Control] = true
				transport.mu.Unlock()
				f.stop()
			}
		}
		for n := range 6 {
			store.set("op", "config", fmt.Sprint(n))
			time.Sleep(2 * time.Second)
			for _, f := range list {
				if !ended[f.opt.Name] {
					assert.DeepEqual(t, f.State().DrainedDomains, []string{fmt.Sprint(n)})
				}
			}
		}
		for _, f := range list {
			if ended[f.opt.Name] {
				continue
			}
			for _, m := range f.Members() {
				assert.Assert(t, !ended[m.Name] || f.now().Sub(m.LastHeard) > 3*time.Second, "%s counts as heard", m.Name)
			}
		}
	})
}

// silentStore is a store from which an entry can be cut off: calls then end without a response, as those of the client do.
type silentStore struct {
	Store
	cut atomic.Bool
}

// silentStoreMargin is how long the client of the store waits for a response, beyond the time of a watch.
const silentStoreMargin = 700 * time.Millisecond

func (s *silentStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (feed.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+silentStoreMargin)
	defer cancel()
	b, err := s.Store.Watch(ctx, table, after, wait)
	if s.cut.Load() {
		<-ctx.Done()
		return feed.Batch{}, ctx.Err()
	}
	return b, err
}

// Guards against a change that entries learn of later than 2 s after its acknowledgment because the readers are cut off from
// the store without an error. Load: all three readers of 20 entries lose the store right before the change, at any time of
// their watches.
func TestReadersLoseStore(t *testing.T) {
	const entries, bound = 20, 2 * time.Second
	for at := 5 * time.Second; at < 7*time.Second; at += 100 * time.Millisecond {
		t.Run(at.String(), func(t *testing.T) {
			simulation.Run(t, func(t *testing.T) {
				store := newMemoryStore("op", "servers", "entries")
				var stores []*silentStore
				_, list := startFollowersIn(t, qldDomains, entries, func(int) Store {
					stores = append(stores, &silentStore{
						Store: store,
					})
					return stores[len(stores)-1]
				})
				time.Sleep(at)
				list[0].mu.RLock()
				readers := list[0].readerNames(list[0].now())
				list[0].mu.RUnlock()
				for i, f := range list {
					stores[i].cut.Store(slices.Contains(readers, f.opt.Name))
				}
				store.set("op", "config", "x")
				time.Sleep(bound)
				for _, f := range list {
					if !slices.Contains(readers, f.opt.Name) {
						assert.Check(t, slices.Contains(f.State().DrainedDomains, "x"), "%s has not learned of the change", f.opt.Name)
					}
				}
			})
		})
	}
}

// Guards against a state that is lost when the store is down or has dropped its history, and against an entry that
// does not recover afterwards.
func TestStoreOutage(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newMemoryStore("op", "servers", "entries")
		_, list := startFollowers(t, 6, func(int) Store { return store })
		store.set("op", "config", "1")
		time.Sleep(5 * time.Second)
		store.setDown(true)
		store.set("op", "config", "2") // wakes the watch requests in flight
		time.Sleep(10 * time.Second)
		for _, f := range list {
			assert.DeepEqual(t, f.State().DrainedDomains, []string{"1"})
			assert.Assert(t, f.CanServe(f.now()))
		}
		store.compact()
		store.setDown(false)
		time.Sleep(2 * time.Second)
		for _, f := range list {
			assert.DeepEqual(t, f.State().DrainedDomains, []string{"2"})
		}
	})
}

// Guards against more entries sending to a cold target than its limit allows for, and against cold targets that nobody
// warms up.
func TestOwnersPerTarget(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newMemoryStore("op", "servers", "entries")
		_, list := startFollowers(t, 12, func(int) Store { return store })
		count := func(target string) int {
			n := 0
			for _, f := range list {
				if _, ok := f.Owns(f.now(), target); ok {
					n++
				}
			}
			return n
		}
		assert.Equal(t, count("x"), 0, "before the members are known")
		time.Sleep(10 * time.Second)
		for i := range 50 {
			assert.Equal(t, count(fmt.Sprint("target-", i)), OwnersPerTarget)
		}
	})
}

// Guards against entries that do not agree on the senders of a target with a limit, and against targets that the
// entries of their own failure domain do not send to.
func TestRank(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newMemoryStore("op", "servers", "entries")
		_, list := startFollowers(t, 12, func(int) Store { return store })
		for _, f := range list {
			rank, entries := f.Rank(f.now(), "x", "")
			assert.Assert(t, rank >= entries, "a sender before the members are known")
		}
		time.Sleep(10 * time.Second)
		for i := range 50 {
			target, domain := fmt.Sprint("target-", i), list[i%12].self.Domain
			ranks, domains := map[int]bool{}, map[string]int{}
			for _, f := range list {
				rank, entries := f.Rank(f.now(), target, domain)
				assert.Equal(t, entries, 12)
				ranks[rank] = true
				domains[f.self.Domain]++
				if f.self.Domain == domain {
					assert.Assert(t, rank < 12/3, "%s", f.opt.Name)
				}
			}
			assert.Equal(t, len(ranks), 12)
			assert.Equal(t, len(domains), 3)
		}
		list[0].Leave()
		rank, entries := list[0].Rank(list[0].now(), "x", "")
		assert.Equal(t, rank, entries)
	})
}

// Guards against an entry that shuts down and is still announced to callers a moment later.
func TestLeavePropagates(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newMemoryStore("op", "servers", "entries")
		_, list := startFollowers(t, 6, func(int) Store { return store })
		time.Sleep(5 * time.Second)
		list[2].Leave()
		time.Sleep(100 * time.Millisecond)
		for i, f := range list {
			for _, m := range f.Members() {
				if m.Name == list[2].opt.Name {
					assert.Equal(t, m.State, RecordStateLeaving, "at entry %d", i)
				}
			}
		}
	})
}

// unansweringStore is a store that at times accepts requests but never answers them, so that the client times out.
type unansweringStore struct {
	*memoryStore
	silent atomic.Bool
	// outages counts the outages. Requests sent before an outage are lost.
	outages atomic.Int64
}

func (s *unansweringStore) startOutage() {
	s.outages.Add(1)
	s.silent.Store(true)
}

func (s *unansweringStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (feed.Batch, error) {
	limited, cancel := context.WithTimeout(ctx, wait+700*time.Millisecond)
	defer cancel()
	outages := s.outages.Load()
	answer := make(chan feed.Batch, 1)
	failed := make(chan error, 1)
	go func() {
		b, err := s.memoryStore.Watch(limited, table, after, wait)
		if err != nil {
			failed <- err
			return
		}
		if !s.silent.Load() && s.outages.Load() == outages {
			answer <- b
		}
	}()
	select {
	case b := <-answer:
		return b, nil
	case err := <-failed:
		return feed.Batch{}, err
	case <-limited.Done():
		return feed.Batch{}, limited.Err()
	}
}

// Guards against entries that wait for the response to a request that the store has lost, and that miss changes
// acknowledged after its recovery.
func TestUnansweredRequest(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := &unansweringStore{
			memoryStore: newMemoryStore("op", "servers", "entries"),
		}
		_, list := startFollowers(t, 6, func(int) Store { return store })
		time.Sleep(5 * time.Second)
		for n := range 20 {
			store.startOutage()
			time.Sleep(time.Duration(500+400*n) * time.Millisecond)
			store.silent.Store(false)
			time.Sleep(time.Second)
			store.set("op", "config", fmt.Sprint(n))
			// The entries must follow acknowledged changes once the store has been available for 3 s.
			time.Sleep(2 * time.Second)
			for i, f := range list {
				assert.Equal(t, f.State().DrainedDomains[0], fmt.Sprint(n), "entry %d, outage %d", i, n)
			}
		}
	})
}
