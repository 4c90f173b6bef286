package fleet

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"skylarkbeam/feed"
	"skylarkbeam/setting"
	"skylarkbeam/simulation"
	"skylarkbeam/timer"
)

// tables is a Store in memory.
type tables struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]map[string]feed.Row
	changed chan struct{}
	// horizon is the oldest version from which history is kept, down says that the store does not answer.
	horizon uint64
	down    bool
	calls   int
}

func newTables(names ...string) *tables {
	s := &tables{
		rows:    map[string]map[string]feed.Row{},
		changed: make(chan struct{}),
	}
	for _, name := range names {
		s.rows[name] = map[string]feed.Row{}
	}
	return s
}

func (s *tables) set(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table][key] = feed.Row{
		Key:     key,
		Value:   []byte(value),
		Version: s.version,
		Deleted: value == "",
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *tables) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *tables) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// forget drops the history.
func (s *tables) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.horizon = s.version + 1
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *tables) Read(_ context.Context, table string) (feed.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return feed.Batch{}, errors.New("down")
	}
	b := feed.Batch{
		Version: s.version,
		Whole:   true,
	}
	for _, row := range s.rows[table] {
		if !row.Deleted {
			b.Rows = append(b.Rows, row)
		}
	}
	return b, nil
}

func (s *tables) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (feed.Batch, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for over := false; ; {
		s.mu.Lock()
		b := feed.Batch{
			Version: s.version,
		}
		for _, row := range s.rows[table] {
			if row.Version > after {
				b.Rows = append(b.Rows, row)
			}
		}
		down, changed, gone := s.down, s.changed, after+1 < s.horizon
		s.mu.Unlock()
		switch {
		case down:
			return feed.Batch{}, errors.New("down")
		case gone:
			return feed.Batch{}, feed.ErrCompacted
		case len(b.Rows) > 0 || over:
			return b, nil
		}
		select {
		case <-changed:
		case <-limit.C:
			over = true
		case <-ctx.Done():
			return feed.Batch{}, ctx.Err()
		}
	}
}

func (s *tables) Put(_ context.Context, table, key string, value []byte) error {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		return errors.New("down")
	}
	s.set(table, key, string(value))
	return nil
}

func (s *tables) Remove(_ context.Context, table, key string) error {
	return s.Put(context.Background(), table, key, nil)
}

// composeNames makes a state of which the drained domains and the registered targets are the values of the rows.
func composeNames(_ *State, tables map[string]map[string]feed.Row) (*State, error) {
	s := &State{
		ParsedSettings: &setting.Settings{},
	}
	for _, row := range tables["op"] {
		s.DrainedDomains = append(s.DrainedDomains, string(row.Value))
	}
	for key := range tables["servers"] {
		s.RegisteredTargets = append(s.RegisteredTargets, RegisteredTarget{
			Name: key,
		})
	}
	return s, nil
}

// wire connects followers in memory.
type wire struct {
	mu    sync.Mutex
	peers map[netip.AddrPort]*Follower
	cut   map[netip.AddrPort]bool
	// far is the number of greetings between failure domains.
	far int
}

func (w *wire) find(to netip.AddrPort) (*Follower, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.peers[to]; p != nil && !w.cut[to] {
		return p, nil
	}
	return nil, errors.New("cut off")
}

func (w *wire) Greet(_ context.Context, to netip.AddrPort, g *Greeting) (*Greeting, error) {
	p, err := w.find(to)
	if err != nil {
		return nil, err
	}
	if g.Record.Domain != p.own.Domain {
		w.mu.Lock()
		w.far++
		w.mu.Unlock()
	}
	p.hear(g, p.now())
	return p.greeting(g.Record.Domain), nil
}

func (w *wire) Members(_ context.Context, to netip.AddrPort) (*Roll, error) {
	p, err := w.find(to)
	if err != nil {
		return nil, err
	}
	return p.roll(), nil
}

func (w *wire) Rows(ctx context.Context, to netip.AddrPort, table string, after uint64, wait time.Duration) (*feed.Batch, error) {
	p, err := w.find(to)
	if err != nil {
		return nil, err
	}
	b := p.tables[table].Watch(ctx, after, wait)
	return &b, nil
}

// followers starts n entries that follow the store.
func followers(t *testing.T, n int, store func(i int) Store) (*wire, []*Follower) {
	w := &wire{
		peers: map[netip.AddrPort]*Follower{},
		cut:   map[netip.AddrPort]bool{},
	}
	var list []*Follower
	for i := range n {
		control := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 81)
		f := Follow(FollowerOptions{
			Store:        store(i),
			Timers:       timer.New(),
			Name:         string(rune('a' + i)),
			Domain:       []string{"cairns", "townsville", "mackay"}[i*3/n],
			Control:      control,
			Tables:       []string{"op", "servers"},
			MembersTable: "entries",
			Transport:    w,
			BuildState:   composeNames,
		})
		w.mu.Lock()
		w.peers[control] = f
		w.mu.Unlock()
		list = append(list, f)
	}
	t.Cleanup(func() {
		for _, f := range list {
			f.stop()
		}
	})
	return w, list
}

// Guards against a state with the version of the former one, which entries would not put in force: a row of one table can
// be older than a row of the other that arrived before.
func TestFollowerVersions(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newTables("op", "servers", "entries")
		_, list := followers(t, 1, func(int) Store { return store })
		f := list[0]
		time.Sleep(time.Second)
		store.set("op", "config", "x")
		store.set("servers", "s1", "y")
		before := f.State().Version
		f.tables["servers"].Apply(feed.Batch{
			Rows: []feed.Row{
				{
					Key:     "s9",
					Value:   []byte("z"),
					Version: 100,
				},
			},
		})
		f.compose()
		newer := f.State()
		assert.Assert(t, newer.Version > before)
		store.set("op", "evacuate", "cairns")
		time.Sleep(time.Second)
		assert.Equal(t, len(f.State().DrainedDomains), 2)
		assert.Assert(t, f.State().Version > newer.Version, "an older row does not change the version")
	})
}

// Guards against greetings between failure domains that grow with the number of entries, because bytes there have a price,
// and against so few of them that entries take each other for lost.
func TestFarGreetings(t *testing.T) {
	const entries, seconds = 60, 30
	simulation.Run(t, func(t *testing.T) {
		store := newTables("op", "servers", "entries")
		w, list := followers(t, entries, func(int) Store { return store })
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		w.far = 0
		w.mu.Unlock()
		oldest := time.Duration(0)
		for range seconds * 10 {
			time.Sleep(100 * time.Millisecond)
			for _, f := range list {
				f.mu.RLock()
				assert.Equal(t, len(f.members), entries-1)
				for _, m := range f.members {
					oldest = max(oldest, f.now().Sub(m.heard))
				}
				f.mu.RUnlock()
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		t.Logf("%d greetings in %d s, the oldest news was %s old", w.far, seconds, oldest)
		assert.Assert(t, w.far <= 3*greetFarSum*seconds*5/4, "%d greetings between domains in %d s", w.far, seconds)
		assert.Assert(t, oldest < readerSilence, "the oldest news was %s old", oldest)
	})
}
