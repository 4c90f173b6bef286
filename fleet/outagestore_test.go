package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/feed"
)

// outageStore is a store with outages, as one or all entries reach it. In a silent outage, the calls in flight and those
// that are sent are never answered, also after its end; in another one, they fail at once.
type outageStore struct {
	*memoryStore
	state   sync.Mutex
	silent  bool
	begun   chan struct{} // closed when an outage begins
	ongoing bool
	// deaf makes the store never answer the calls in flight to a table, without an outage. muted are the tables whose calls are
	// never answered either.
	deaf  map[string]chan struct{}
	muted map[string]bool
	// sent is the number of calls.
	sent int
}

func newOutageStore(store *memoryStore) *outageStore {
	s := &outageStore{
		memoryStore: store,
		begun:       make(chan struct{}),
		deaf:        map[string]chan struct{}{},
		muted:       map[string]bool{},
	}
	for table := range store.rows {
		s.deaf[table] = make(chan struct{})
	}
	return s
}

func (s *outageStore) sentCalls() int {
	s.state.Lock()
	defer s.state.Unlock()
	return s.sent
}

func (s *outageStore) begin(silent bool) {
	s.state.Lock()
	defer s.state.Unlock()
	s.silent, s.ongoing = silent, true
	close(s.begun)
}

func (s *outageStore) end() {
	s.state.Lock()
	defer s.state.Unlock()
	s.ongoing = false
	s.begun = make(chan struct{})
}

// lose makes the store forget the calls in flight to a table, without an outage.
func (s *outageStore) lose(table string) {
	s.state.Lock()
	defer s.state.Unlock()
	close(s.deaf[table])
	s.deaf[table] = make(chan struct{})
}

// mute makes the store forget the calls to a table in flight, and those that are sent until the end of the mute.
func (s *outageStore) mute(table string, muted bool) {
	if muted {
		s.lose(table)
	}
	s.state.Lock()
	defer s.state.Unlock()
	s.muted[table] = muted
}

// call makes a call as the client of the store does, with its timeout.
func (s *outageStore) call(ctx context.Context, table string, timeout time.Duration, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.state.Lock()
	s.sent++
	begun, deaf, muted := s.begun, s.deaf[table], s.muted[table]
	s.state.Unlock()
	if muted {
		<-ctx.Done()
		return ctx.Err()
	}
	reached, stop := context.WithCancel(ctx)
	defer stop()
	lost := make(chan bool, 1)
	over := make(chan struct{})
	go func() {
		select {
		case <-begun:
			lost <- true
		case <-deaf:
			lost <- true
		case <-over:
			lost <- false
		}
		stop()
	}()
	err := errors.New("not sent")
	select {
	case <-begun:
	default:
		err = call(reached)
	}
	close(over)
	if !<-lost {
		return err
	}
	s.state.Lock()
	reset := s.ongoing && !s.silent
	s.state.Unlock()
	if reset {
		return errors.New("connection reset")
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s *outageStore) Read(ctx context.Context, table string) (batch feed.Batch, err error) {
	err = s.call(ctx, table, tableTimeout, func(ctx context.Context) error {
		batch, err = s.memoryStore.Read(ctx, table)
		return err
	})
	if err != nil {
		return feed.Batch{}, err
	}
	return batch, nil
}

func (s *outageStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (batch feed.Batch, err error) {
	err = s.call(ctx, table, wait+silentStoreMargin, func(ctx context.Context) error {
		batch, err = s.memoryStore.Watch(ctx, table, after, wait)
		return err
	})
	if err != nil {
		return feed.Batch{}, err
	}
	return batch, nil
}

func (s *outageStore) Put(ctx context.Context, table, key string, value []byte) error {
	return s.call(ctx, table, tableTimeout, func(ctx context.Context) error {
		return s.memoryStore.Put(ctx, table, key, value)
	})
}
