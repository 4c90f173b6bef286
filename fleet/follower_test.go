package fleet

import (
	"context"
	"flag"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"skylarkbeam/feed"
	"skylarkbeam/setting"
	"skylarkbeam/simulation"
	"skylarkbeam/timer"
)

// memoryStore is a Store in memory.
type memoryStore struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]map[string]feed.Row
	changed chan struct{}
	// compactedBefore is the oldest version from which history is kept. down makes all requests fail.
	compactedBefore uint64
	down            bool
	calls           int
	writes          int
}

func newMemoryStore(names ...string) *memoryStore {
	s := &memoryStore{
		rows:    map[string]map[string]feed.Row{},
		changed: make(chan struct{}),
	}
	for _, name := range names {
		s.rows[name] = map[string]feed.Row{}
	}
	return s
}

func (s *memoryStore) set(table, key, value string) {
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

// remove removes rows in one transaction.
func (s *memoryStore) remove(table string, keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, key := range keys {
		s.rows[table][key] = feed.Row{
			Key:     key,
			Version: s.version,
			Deleted: true,
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *memoryStore) countWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// compact drops the history.
func (s *memoryStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedBefore = s.version + 1
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) Read(_ context.Context, table string) (feed.Batch, error) {
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

func (s *memoryStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (feed.Batch, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for timedOut := false; ; {
		s.mu.Lock()
		b := feed.Batch{
			Version: s.version,
		}
		for _, row := range s.rows[table] {
			if row.Version > after {
				b.Rows = append(b.Rows, row)
			}
		}
		down, changed, gone := s.down, s.changed, after+1 < s.compactedBefore
		s.mu.Unlock()
		switch {
		case down:
			return feed.Batch{}, errors.New("down")
		case gone:
			return feed.Batch{}, feed.ErrCompacted
		case len(b.Rows) > 0 || timedOut:
			return b, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-ctx.Done():
			return feed.Batch{}, ctx.Err()
		}
	}
}

func (s *memoryStore) Put(_ context.Context, table, key string, value []byte) error {
	s.mu.Lock()
	s.calls++
	s.writes++
	down := s.down
	s.mu.Unlock()
	if down {
		return errors.New("down")
	}
	s.set(table, key, string(value))
	return nil
}

func (s *memoryStore) Remove(_ context.Context, table, key string) error {
	return s.Put(context.Background(), table, key, nil)
}

// testDrainTime is how long targets in tests serve after they have left the registry.
const testDrainTime = 2 * time.Second

// partialStore is the store as one entry reaches it.
type partialStore struct {
	*memoryStore
	down atomic.Bool
}

func (s *partialStore) Read(ctx context.Context, table string) (feed.Batch, error) {
	if s.down.Load() {
		return feed.Batch{}, errors.New("down")
	}
	return s.memoryStore.Read(ctx, table)
}

func (s *partialStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (feed.Batch, error) {
	for {
		if s.down.Load() {
			return feed.Batch{}, errors.New("down")
		}
		part := min(wait, 100*time.Millisecond)
		b, err := s.memoryStore.Watch(ctx, table, after, part)
		if wait -= part; err != nil || len(b.Rows) > 0 || wait <= 0 {
			return b, err
		}
	}
}

// buildTestState builds a state whose drained domains are the values in table op and whose registered targets are the
// keys in table servers.
func buildTestState(_ *State, tables map[string]*feed.Table) (*State, error) {
	s := &State{
		ParsedSettings: &setting.Settings{},
		DrainTime:      testDrainTime,
	}
	for key, row := range tables["op"].Rows() {
		if key == "rates" {
			s.ParsedSettings.Workspaces = map[string]setting.Workspace{
				"harbour": {
					Rate: 1,
				},
			}
			continue
		}
		s.DrainedDomains = append(s.DrainedDomains, string(row.Value))
	}
	for _, key := range slices.Sorted(maps.Keys(tables["servers"].Rows())) {
		s.RegisteredTargets = append(s.RegisteredTargets, RegisteredTarget{
			Name: key,
		})
	}
	return s, nil
}

// memoryTransport connects followers in memory.
type memoryTransport struct {
	mu    sync.Mutex
	peers map[netip.AddrPort]*Follower
	cut   map[netip.AddrPort]bool
	// isolated entries neither send nor receive greetings.
	isolated map[netip.AddrPort]bool
	// dark entries answer nothing, and requests to them wait for their timeout.
	dark map[netip.AddrPort]bool
	// remoteGreetings is the number of greetings between failure domains.
	remoteGreetings int
	// bandwidth returns the bandwidth of an entry's link; nil if none is known.
	bandwidth func(i int) float64
}

func (tr *memoryTransport) find(to netip.AddrPort) (*Follower, error) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if p := tr.peers[to]; p != nil && !tr.cut[to] {
		return p, nil
	}
	return nil, errors.New("cut off")
}

// awaitLight waits for the end of ctx if the entry is dark.
func (tr *memoryTransport) awaitLight(ctx context.Context, to netip.AddrPort) error {
	tr.mu.Lock()
	dark := tr.dark[to]
	tr.mu.Unlock()
	if dark {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (tr *memoryTransport) Greet(ctx context.Context, to netip.AddrPort, g *Greeting) (*Greeting, error) {
	if err := tr.awaitLight(ctx, to); err != nil {
		return nil, err
	}
	p, err := tr.find(to)
	if err != nil {
		return nil, err
	}
	tr.mu.Lock()
	isolated := tr.isolated[to] || tr.isolated[g.Record.Control]
	if g.Record.Domain != p.self.Domain {
		tr.remoteGreetings++
	}
	tr.mu.Unlock()
	if isolated {
		return nil, errors.New("isolated")
	}
	return p.replyTo(g), nil
}

func (tr *memoryTransport) Members(ctx context.Context, to netip.AddrPort) (*Roll, error) {
	if err := tr.awaitLight(ctx, to); err != nil {
		return nil, err
	}
	p, err := tr.find(to)
	if err != nil {
		return nil, err
	}
	return p.memberList(), nil
}

func (tr *memoryTransport) Rows(ctx context.Context, to netip.AddrPort, table string, after uint64, wait time.Duration) (*feed.Batch, error) {
	if err := tr.awaitLight(ctx, to); err != nil {
		return nil, err
	}
	p, err := tr.find(to)
	if err != nil {
		return nil, err
	}
	if p.ctx.Err() != nil {
		return nil, errors.New("stopped")
	}
	p.awaitRows(ctx, p.tables[table], after, wait)
	b := p.tables[table].ChangesSince(after)
	if err := tr.awaitLight(ctx, to); err != nil {
		return nil, err
	}
	return &b, nil
}

// followerSeed is the seed of the random choices of the followers.
var followerSeed = flag.Uint64("fleet.seed", 20261204, "seed of the followers")

// startFollowers starts n entries in three failure domains that follow the store.
func startFollowers(t *testing.T, n int, store func(i int) Store) (*memoryTransport, []*Follower) {
	return startFollowersIn(t, []string{"cairns", "townsville", "mackay"}, n, store)
}

// startFollowersIn starts n entries that follow the store, in equal numbers in the failure domains.
func startFollowersIn(t *testing.T, domains []string, n int, store func(i int) Store) (*memoryTransport, []*Follower) {
	transport := newMemoryTransport(t)
	var list []*Follower
	for i := range n {
		list = append(list, transport.start(t, i, domains[i*len(domains)/n], store(i), nil))
	}
	return transport, list
}

func newMemoryTransport(t *testing.T) *memoryTransport {
	t.Logf("seed %d", *followerSeed)
	return &memoryTransport{
		peers:    map[netip.AddrPort]*Follower{},
		cut:      map[netip.AddrPort]bool{},
		isolated: map[netip.AddrPort]bool{},
		dark:     map[netip.AddrPort]bool{},
	}
}

// testControl returns the control address of an entry.
func testControl(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 81)
}

// start starts an entry, which stops at the end of the test.
func (tr *memoryTransport) start(t *testing.T, i int, domain string, store Store, seeds []netip.AddrPort) *Follower {
	bandwidth := 0.
	if tr.bandwidth != nil {
		bandwidth = tr.bandwidth(i)
	}
	f := Follow(FollowerOptions{
		Bandwidth:    bandwidth,
		Store:        store,
		Timers:       timer.New(),
		Name:         string(rune('a' + i)),
		Domain:       domain,
		Control:      testControl(i),
		Tables:       []string{"op", "servers"},
		MembersTable: "entries",
		Seeds:        seeds,
		Transport:    tr,
		BuildState:   buildTestState,
		Seed:         *followerSeed,
	})
	tr.mu.Lock()
	tr.peers[testControl(i)] = f
	tr.mu.Unlock()
	t.Cleanup(f.stop)
	return f
}

// Guards against a new state with the version of the former one, which entries would not install. It can come
// about when a row of one table is older than a row of the other table that arrived before.
func TestFollowerVersions(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newMemoryStore("op", "servers", "entries")
		_, list := startFollowers(t, 1, func(int) Store { return store })
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
		f.rebuild()
		newer := f.State()
		assert.Assert(t, newer.Version > before)
		store.set("op", "evacuate", "cairns")
		time.Sleep(time.Second)
		assert.Equal(t, len(f.State().DrainedDomains), 2)
		assert.Assert(t, f.State().Version > newer.Version, "an older row does not change the version")
	})
}

// Guards against greetings between failure domains that grow with the number of entries, because that traffic is
// charged, and against so few of them that entries take each other for lost.
func TestRemoteGreetings(t *testing.T) {
	const entries, seconds = 60, 30
	simulation.Run(t, func(t *testing.T) {
		store := newMemoryStore("op", "servers", "entries")
		transport, list := startFollowers(t, entries, func(int) Store { return store })
		time.Sleep(10 * time.Second)
		transport.mu.Lock()
		transport.remoteGreetings = 0
		transport.mu.Unlock()
		oldest := time.Duration(0)
		for range seconds * 10 {
			time.Sleep(100 * time.Millisecond)
			for _, f := range list {
				f.mu.RLock()
				assert.Equal(t, len(f.members), entries-1)
				for _, m := range f.members {
					oldest = max(oldest, f.now().Sub(m.heardAt))
				}
				f.mu.RUnlock()
			}
		}
		transport.mu.Lock()
		defer transport.mu.Unlock()
		t.Logf("%d greetings in %d s, the oldest information was %s old", transport.remoteGreetings, seconds, oldest)
		assert.Assert(t, transport.remoteGreetings <= 3*remoteGreetingsPerDomain*seconds*5/4, "%d greetings between domains in %d s", transport.remoteGreetings, seconds)
		assert.Assert(t, oldest < readerTimeout, "the oldest information was %s old", oldest)
	})
}
