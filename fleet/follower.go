package fleet

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/feed"
	"skylarkbeam/timer"
)

const (
	// peerFetchDelay is how long an entry that learns of a newer table from a peer waits for its own request to
	// deliver it. It is longer than the delays between requests of this entry and of the reader.
	peerFetchDelay = 500 * time.Millisecond
	// startupDelay is how long a process waits after its start before it owns targets. By then it knows the other
	// members.
	startupDelay = 1500 * time.Millisecond
	// ownerTimeout is the silence after which a member no longer counts as an owner.
	ownerTimeout = 3 * time.Second
	// ownershipCacheTime is how long a result of Owns is used. All owners of a target are asked for each call that it
	// might take, and each answer takes the hash of every member.
	ownershipCacheTime = 200 * time.Millisecond
	// maxCachedOwnerships bounds the memory of the cache.
	maxCachedOwnerships = 4096
	// memberExpiry is how long a member may be unheard by all entries before it is removed.
	memberExpiry = time.Minute
	// OwnersPerTarget is the number of entries that own a target at the same time.
	OwnersPerTarget = 4
)

// Store is the service that holds the tables that a Follower follows, and the table of members.
type Store interface {
	feed.Source
	// Put writes a row and Remove deletes one, both unconditionally.
	Put(ctx context.Context, table, key string, value []byte) error
	Remove(ctx context.Context, table, key string) error
}

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	Store  Store
	Timers *timer.Service
	Name   string
	Domain string
	// Caller and Control are the addresses for callers and for peers.
	Caller  netip.AddrPort
	Control netip.AddrPort
	// Bandwidth is the bandwidth of the machine's network link in each direction, in bytes per second, or zero if it is not known.
	Bandwidth float64
	// Tables are the names of the tables with the desired state and with the registry, in this order. MembersTable is
	// the table in which entries find each other.
	Tables       []string
	MembersTable string
	// Seeds are the control addresses of entries to contact while no member is known, such as when the store does not
	// answer.
	Seeds     []netip.AddrPort
	Transport FollowerTransport
	// BuildState derives the state from the tables. The former state has version 0 at first. If there is an error, the
	// former state is kept.
	BuildState func(former *State, tables map[string]*feed.Table) (*State, error)
	// Seed makes the random choices reproducible; 0 stands for a random seed.
	Seed uint64
	// Rollouts holds the status of roll-outs. It is nil if there are none.
	Rollouts RolloutStore
	// Metrics receives the gauges and Logger the state changes; both may be nil.
	Metrics *metrics.Set
	Logger  *zap.Logger
}

// FollowerTransport sends requests to other entries. *Client is the HTTP implementation; tests use one in memory.
type FollowerTransport interface {
	// Greet sends a greeting and returns the peer's greeting.
	Greet(ctx context.Context, to netip.AddrPort, g *Greeting) (*Greeting, error)
	// Members returns the members that a peer knows.
	Members(ctx context.Context, to netip.AddrPort) (*Roll, error)
	// Rows returns the changes of a table after a version, as soon as there is a change or after the wait.
	Rows(ctx context.Context, to netip.AddrPort, table string, after uint64, wait time.Duration) (*feed.Batch, error)
}

// Follower is an entry's membership in a fleet whose desired state an operator writes to the tables of a platform,
// where targets register themselves as well. The entries make no decisions: each follows the tables, passes rows on to
// entries that the platform does not serve, and tells the others that it is alive. It is safe for concurrent use.
type Follower struct {
	opt       FollowerOptions
	log       *zap.Logger
	self      Record
	startedAt time.Time
	state     atomic.Pointer[State]
	tables    map[string]*feed.Table

	// rebuildMu is held while the state is derived. rebuildAt is when that happens next without a change of the tables.
	rebuildMu sync.Mutex
	rebuildAt time.Time
	mu        sync.RWMutex
	changed   chan struct{}
	members   map[string]*member
	plan      greetingPlan
	restarted restartNotice
	// joined is set once other members are known or the table of members has been read, which was last at membersReadAt.
	// published is set once this entry is in that table.
	joined        bool
	membersReadAt time.Time
	published     atomic.Bool
	// publishing is set while this entry is being written to it.
	publishing bool
	// publishedEra is the era of the store in which this entry was written to that table. A restore loses the row.
	publishedEra atomic.Uint64
	// rolls are computed from members when they are needed; nil if members have changed since.
	rolls   map[string]*roll
	random  *rand.Rand
	leaving bool
	// fetching contains the tables that are being fetched from a peer, fetchingMembers is set while the members are.
	fetching        map[string]bool
	fetchingMembers bool
	// contact is what this entry learns from its calls to the store. attachment is canceled when they make this entry
	// detached, and then replaced. storeAnsweredAt is when the store last answered another entry.
	contact          storeContact
	storeAnsweredAt  time.Time
	attachment       context.Context
	cancelAttachment context.CancelFunc
	// storeLostAt is when consecutive calls of an entry to the store last failed, by failure domain.
	storeLostAt map[string]time.Time
	// owned caches the results of Owns by target, ranks those of Rank.
	ownedMu sync.Mutex
	owned   map[string]ownership
	ranks   map[string]ranking
	// watchRequests holds the watch requests in flight by ID.
	watchRequests map[int]watchRequest
	lastWatchID   int
	// doubts holds, by table, whether changes of it may be unknown.
	doubts   map[string]doubt
	rollouts rolloutHandler
	// followers is the number of watches of other entries in progress, the last of which ended at followedAt.
	followers  int
	followedAt time.Time
	// readerLostAt is when this entry last left a reader. search is its search for another one; nil if there is none.
	readerLostAt time.Time
	search       *readerSearch
	confirm      confirmations
	large        *largeMessages

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	done   chan struct{}
}

// ownership is whether this entry owned a target at a time.
type ownership struct {
	owned bool
	at    time.Time
}

// member is another entry as this entry knows it.
type member struct {
	record Record
	// heardAt is when this entry or a peer last heard from the member, addedAt when it became known.
	heardAt time.Time
	addedAt time.Time
	// reportedLost is set while the member has been silent for ownerTimeout, which has been logged.
	reportedLost bool
	// rowsFailedAt is when the member last failed to answer a request for rows, or a greeting while it was the reader.
	rowsFailedAt    time.Time
	greetingPending bool
	// greetedAt is when this entry last sent a greeting to the member, repliedAt when it last got one from it.
	greetedAt time.Time
	repliedAt time.Time
	// answeredAt is when the store last answered the member.
	answeredAt time.Time
	// detachedAt is when the member last said whether it reaches the store, detachments how often it did not, each time
	// after it had been taken for a candidate for a reader.
	detachedAt  time.Time
	detachments int
	// rolls contains the hashes of the member's rolls by failure domain, as of its last greeting.
	rolls map[string]uint64
	// greetingRank orders the members as neighbors of this entry, readerRank as readers of the store.
	greetingRank uint64
	readerRank   uint64
}

// Follow starts to follow the tables. It returns at once; CanServe is false until the state is known.
func Follow(opt FollowerOptions) *Follower {
	if opt.Logger == nil {
		opt.Logger = zap.NewNop()
	}
	if opt.Metrics == nil {
		opt.Metrics = metrics.NewSet()
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		opt: opt,
		log: opt.Logger,
		self: Record{
			Incarnation: newIncarnation(),
			Domain:      opt.Domain,
			Caller:      opt.Caller,
			Control:     opt.Control,
			State:       RecordStateActive,
			Link:        int(opt.Bandwidth),
		},
		startedAt:     opt.Timers.Now(),
		large:         newLargeMessages(),
		tables:        map[string]*feed.Table{},
		changed:       make(chan struct{}),
		members:       map[string]*member{},
		storeLostAt:   map[string]time.Time{},
		owned:         map[string]ownership{},
		ranks:         map[string]ranking{},
		random:        newRandom(opt.Seed, opt.Name),
		fetching:      map[string]bool{},
		watchRequests: map[int]watchRequest{},
		doubts:        map[string]doubt{},
		ctx:           ctx,
		cancel:        cancel,
		done:          make(chan struct{}),
	}
	f.attachment, f.cancelAttachment = context.WithCancel(ctx)
	f.plan.remoteTurn = f.random.IntN(maxFirstTurn)
	f.plan.remoteAt = f.startedAt.Add(time.Duration(f.random.Int64N(int64(minRemoteInterval))))
	f.state.Store(&State{})
	for _, name := range opt.Tables {
		f.tables[name] = feed.NewTable(name)
	}
	for _, table := range f.tables {
		f.tasks.Go(func() { f.followTable(table) })
	}
	f.registerGauges()
	f.tasks.Go(f.join)
	f.tasks.Go(f.runGreetings)
	go func() {
		f.tasks.Wait()
		close(f.done)
	}()
	return f
}

// registerGauges registers the metrics that are computed when they are read.
func (f *Follower) registerGauges() {
	for name, table := range f.tables {
		f.opt.Metrics.GetOrCreateGauge(fmt.Sprintf("skylarkbeam_table_age_seconds{table=%q}", name), func() float64 {
			return f.now().Sub(table.ConfirmedAt()).Seconds()
		})
	}
	f.opt.Metrics.GetOrCreateGauge("skylarkbeam_members_heard", func() float64 {
		f.mu.RLock()
		defer f.mu.RUnlock()
		n := 0
		for _, m := range f.members {
			if f.now().Sub(m.heardAt) < ownerTimeout {
				n++
			}
		}
		return float64(n)
	})
	f.opt.Metrics.GetOrCreateGauge("skylarkbeam_store_detached", func() float64 {
		f.mu.RLock()
		defer f.mu.RUnlock()
		if f.self.Detached {
			return 1
		}
		return 0
	})
}

func (f *Follower) now() time.Time { return f.opt.Timers.Now() }

// rebuildAfter rebuilds the state after a delay, unless that is about to happen sooner. The caller holds rebuildMu.
func (f *Follower) rebuildAfter(now time.Time, delay time.Duration) {
	at := now.Add(delay)
	if f.rebuildAt.After(now) && !f.rebuildAt.After(at) {
		return
	}
	f.rebuildAt = at
	time.AfterFunc(delay, func() {
		if f.ctx.Err() == nil {
			f.rebuild()
		}
	})
}

// RebuildState derives the state again, after something other than the tables has changed.
func (f *Follower) RebuildState() { f.rebuild() }

// rebuild derives the state from the tables and installs it.
func (f *Follower) rebuild() {
	f.rebuildMu.Lock()
	defer f.rebuildMu.Unlock()
	for _, table := range f.tables {
		if !table.Loaded() {
			return
		}
	}
	former := f.state.Load()
	// Read before the rows, so that the state has all changes up to this version.
	baseVersion := f.tables[f.opt.Tables[0]].LatestVersion()
	next, err := f.opt.BuildState(former, f.tables)
	if err != nil {
		f.log.Error("the desired state cannot be read, the former one stays in force", zap.Error(err),
			zap.Uint64("version", former.Version))
		return
	}
	next.Version = former.Version + 1
	next.BaseVersion = baseVersion
	now := f.now()
	outage := f.storeOutage(now)
	if recheck := retainLapsed(now, former, next, f.retentionOf(outage, next.DrainTime)); recheck > 0 {
		f.log.Warn("many targets have vanished from the registry, keeping them for a while", zap.Duration("again", recheck),
			zap.Bool("outage", outage))
		f.rebuildAfter(now, recheck)
	}
	if next.RebuildAfter > 0 {
		f.rebuildAfter(now, next.RebuildAfter)
	}
	f.state.Store(next)
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// State returns the state that this entry runs. Its version counts the states of this process and is 0 before the
// tables have been read.
func (f *Follower) State() *State { return f.state.Load() }

// Changed returns a channel that is closed at the next change of the state. To miss no change, get the channel before
// calling State.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// CanServe reports whether the entry may send work, which it may as soon as it knows a state. An isolated entry
// continues with the last known state, because targets refuse work that is not meant for them.
func (f *Follower) CanServe(time.Time) bool { return f.state.Load().ParsedSettings != nil }

func (f *Follower) fetchMembers(from netip.AddrPort) {
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.fetchingMembers = false
	}()
	ctx, cancel := context.WithTimeout(f.ctx, peerTimeout)
	defer cancel()
	roll, err := f.opt.Transport.Members(ctx, from)
	if err != nil {
		f.log.Debug("fetching the members from a peer failed", zap.Error(err))
		return
	}
	for name, record := range roll.Members {
		f.addMember(name, record)
	}
}

// fetchRows fetches the missing changes of a table from a peer, unless this entry's own request delivers them first.
func (f *Follower) fetchRows(table *feed.Table, from netip.AddrPort, version uint64) {
	f.mu.Lock()
	busy := f.fetching[table.Name()]
	f.fetching[table.Name()] = true
	f.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.fetching, table.Name())
	}()
	f.sleep(f.ctx, peerFetchDelay)
	if table.LatestVersion() >= version {
		return
	}
	ctx, cancel := context.WithTimeout(f.ctx, peerTimeout)
	defer cancel()
	batch, err := f.opt.Transport.Rows(ctx, from, table.Name(), table.CompleteVersion(), 0)
	if err != nil {
		f.log.Debug("fetching rows from a peer failed", zap.String("table", table.Name()), zap.Error(err))
		return
	}
	if table.Apply(*batch) {
		f.log.Info("took rows from a peer", zap.String("table", table.Name()), zap.Stringer("peer", from),
			zap.Uint64("version", version))
		f.rebuild()
	}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Members returns all members, sorted by name, this entry included.
func (f *Follower) Members() []Member {
	f.mu.RLock()
	defer f.mu.RUnlock()
	own := Member{
		Name:        f.opt.Name,
		Incarnation: f.self.Incarnation,
		Domain:      f.self.Domain,
		Caller:      f.self.Caller,
		Control:     f.self.Control,
		State:       RecordStateActive,
		Version:     f.State().Version,
		LastHeard:   f.now(),
	}
	if f.leaving {
		own.State = RecordStateLeaving
	}
	members := []Member{own}
	for name, m := range f.members {
		members = append(members, Member{
			Name:        name,
			Incarnation: m.record.Incarnation,
			Domain:      m.record.Domain,
			Caller:      m.record.Caller,
			Control:     m.record.Control,
			State:       m.record.State,
			LastHeard:   m.heardAt,
		})
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// Owns reports whether this entry is one of the OwnersPerTarget owners of a target. Only they send to it while it is
// cold. Entries may disagree on the owners while they disagree on who is alive; the limit of a cold target allows for
// that.
func (f *Follower) Owns(now time.Time, target string) (until time.Time, ok bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.leaving || now.Sub(f.startedAt) < startupDelay {
		return time.Time{}, false
	}
	f.ownedMu.Lock()
	defer f.ownedMu.Unlock()
	cached, known := f.owned[target]
	if !known || now.Sub(cached.at) >= ownershipCacheTime {
		cached = ownership{
			owned: f.computeOwnership(now, target),
			at:    now,
		}
		if len(f.owned) >= maxCachedOwnerships {
			clear(f.owned)
		}
		f.owned[target] = cached
	}
	return now.Add(ownerTimeout), cached.owned
}

// computeOwnership reports whether this entry is an owner of a target, by the hash of every member that is heard. The
// caller holds the lock.
func (f *Follower) computeOwnership(now time.Time, target string) bool {
	ownScore := xxhash.Sum64String(f.opt.Name + "\x00" + target)
	higher := 0
	for name, m := range f.members {
		if now.Sub(m.heardAt) < ownerTimeout && xxhash.Sum64String(name+"\x00"+target) > ownScore {
			higher++
		}
	}
	return higher < OwnersPerTarget
}

// Leave tells the other members that this entry is shutting down.
func (f *Follower) Leave() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.greetEveryone()
}

// Close stops the Follower and removes the entry from the table of members if it is there; ctx limits the removal.
func (f *Follower) Close(ctx context.Context) error {
	f.stop()
	if !f.published.Load() {
		return nil
	}
	return errors.Wrap(f.opt.Store.Remove(ctx, f.opt.MembersTable, f.opt.Name), "leave the fleet")
}

// stop ends all activity without telling anyone.
func (f *Follower) stop() {
	f.cancel()
	<-f.done
}

// Done is closed when the Follower has stopped.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Err always returns nil, because a Follower does not stop by itself.
func (f *Follower) Err() error { return nil }

// Owner returns the name of the first owner of a target.
func (f *Follower) Owner(target string) string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	active := map[string]string{
		f.opt.Name: f.self.Incarnation,
	}
	for name, m := range f.members {
		if f.now().Sub(m.heardAt) < ownerTimeout {
			active[name] = m.record.Incarnation
		}
	}
	name, _ := owner(active, target)
	return name
}

// memberList returns the records of all members, including this entry.
func (f *Follower) memberList() *Roll {
	f.mu.RLock()
	defer f.mu.RUnlock()
	records := map[string]Record{
		f.opt.Name: f.self,
	}
	for name, m := range f.members {
		records[name] = m.record
	}
	return &Roll{
		Members: maps.Clone(records),
	}
}
