package fleet

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/feed"
	"skylarkbeam/simulation"
)

// turnedAway is the store as seen by an entry that it turns away at times.
type turnedAway struct {
	*tables
	away atomic.Bool
}

func (s *turnedAway) Read(ctx context.Context, table string) (feed.Batch, error) {
	if s.away.Load() {
		return feed.Batch{}, context.DeadlineExceeded
	}
	return s.tables.Read(ctx, table)
}

func (s *turnedAway) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (feed.Batch, error) {
	if s.away.Load() {
		return feed.Batch{}, context.DeadlineExceeded
	}
	return s.tables.Watch(ctx, table, after, wait)
}

// Guards against calls to the store that grow with the number of entries: at rest, only the readers follow it.
func TestReaders(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newTables("op", "servers", "entries")
		_, list := followers(t, 12, func(int) Store { return store })
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
		// Each reader calls once for each change and once for each wait of both tables.
		assert.Assert(t, calls <= 3*10+3*2*2, "%d calls for 10 changes", calls)
	})
}

// Guards against rows that are passed on between failure domains, where bytes have a price, although each domain could have
// a reader.
func TestReaderDomains(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newTables("op", "servers", "entries")
		_, list := followers(t, 12, func(int) Store { return store })
		time.Sleep(5 * time.Second)
		for _, f := range list {
			to, ok := f.reader()
			if !ok {
				continue
			}
			f.mu.RLock()
			domain := f.members[to.name].record.Domain
			f.mu.RUnlock()
			assert.Equal(t, domain, f.own.Domain, "%s follows %s", f.opt.Name, to.name)
		}
	})
}

// Guards against an entry that the store turns away and that does not learn of changes within the 2 s in which a desired
// state has to be in force, whichever entries these are. The control shows that it learns nothing without its peers.
func TestTurnedAway(t *testing.T) {
	for _, alone := range []bool{false, true} {
		t.Run(fmt.Sprintf("alone %t", alone), func(t *testing.T) {
			simulation.Run(t, func(t *testing.T) {
				store := newTables("op", "servers", "entries")
				views := make([]*turnedAway, 6)
				w, list := followers(t, 6, func(i int) Store {
					views[i] = &turnedAway{
						tables: store,
					}
					return views[i]
				})
				time.Sleep(5 * time.Second)
				for i, f := range list {
					views[i].away.Store(i < 4)
					w.mu.Lock()
					w.cut[f.opt.Control] = alone
					w.mu.Unlock()
				}
				// The requests that are under way get their answers; from the next ones on the entries are turned away.
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

// Guards against entries that go on following a reader that has ended, and against a state that goes back.
func TestReaderEnds(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newTables("op", "servers", "entries")
		w, list := followers(t, 6, func(int) Store { return store })
		time.Sleep(5 * time.Second)
		list[0].mu.RLock()
		names := list[0].readerNames(list[0].now())
		list[0].mu.RUnlock()
		ended := map[string]bool{}
		for _, f := range list {
			if f.opt.Name == names[0] || f.opt.Name == names[1] {
				ended[f.opt.Name] = true
				w.mu.Lock()
				w.cut[f.opt.Control] = true
				w.mu.Unlock()
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

// Guards against a state that is lost when the history is dropped or the store is down, and against an entry that does not
// come back afterwards.
func TestStoreAway(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newTables("op", "servers", "entries")
		_, list := followers(t, 6, func(int) Store { return store })
		store.set("op", "config", "1")
		time.Sleep(5 * time.Second)
		store.setDown(true)
		store.set("op", "config", "2") // Wakes the requests that wait.
		time.Sleep(10 * time.Second)
		for _, f := range list {
			assert.DeepEqual(t, f.State().DrainedDomains, []string{"1"})
			assert.Assert(t, f.CanServe(f.now()))
		}
		store.forget()
		store.setDown(false)
		time.Sleep(2 * time.Second)
		for _, f := range list {
			assert.DeepEqual(t, f.State().DrainedDomains, []string{"2"})
		}
	})
}

// Guards against more entries that send to a cold target than its limit allows for, and against cold targets that nobody
// warms.
func TestCoOwners(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newTables("op", "servers", "entries")
		_, list := followers(t, 12, func(int) Store { return store })
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

// Guards against an entry that shuts down and is still named to callers a moment later.
func TestLeaveIsHeard(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newTables("op", "servers", "entries")
		_, list := followers(t, 6, func(int) Store { return store })
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

// swallowing is a store that at times takes requests without ever answering them, so that the client gives up.
type swallowing struct {
	*tables
	silent atomic.Bool
	// outages counts how often the store has fallen silent. What it was asked before that is lost.
	outages atomic.Int64
}

func (s *swallowing) fall() {
	s.outages.Add(1)
	s.silent.Store(true)
}

func (s *swallowing) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (feed.Batch, error) {
	limit, cancel := context.WithTimeout(ctx, wait+700*time.Millisecond)
	defer cancel()
	outages := s.outages.Load()
	answer := make(chan feed.Batch, 1)
	failed := make(chan error, 1)
	go func() {
		b, err := s.tables.Watch(limit, table, after, wait)
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
	case <-limit.Done():
		return feed.Batch{}, limit.Err()
	}
}

// Guards against entries that wait for the answer to a request which the store has swallowed, and miss what is acknowledged
// after its return.
func TestSwallowedRequest(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := &swallowing{
			tables: newTables("op", "servers", "entries"),
		}
		_, list := followers(t, 6, func(int) Store { return store })
		time.Sleep(5 * time.Second)
		for n := range 20 {
			store.fall()
			time.Sleep(time.Duration(500+400*n) * time.Millisecond)
			store.silent.Store(false)
			time.Sleep(time.Second)
			store.set("op", "config", fmt.Sprint(n))
			// The entries are bound by what is acknowledged once the store has been well for 3 s.
			time.Sleep(2 * time.Second)
			for i, f := range list {
				assert.Equal(t, f.State().DrainedDomains[0], fmt.Sprint(n), "entry %d, outage %d", i, n)
			}
		}
	})
}
