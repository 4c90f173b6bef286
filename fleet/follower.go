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
	// greetInterval is how often an entry exchanges greetings. An entry that is not heard for three of them gets no more
	// callers.
	greetInterval = time.Second
	// greetNear and greetFar are the numbers of members in the own failure domain and in others that an entry greets in a
	// round. In a larger fleet, what it hears of the others travels through several rounds; bytes between failure domains
	// have a price.
	greetNear = 5
	greetFar  = 2
	// greetFarSum is the number of members in other failure domains that all entries of a domain greet together in a round. Each
	// greeting tells of the whole domain, and near ones pass it on within a round.
	greetFarSum = 12
	// lagTime is how long an entry that learns of a newer table from a peer waits for its own request to bring it. It is
	// longer than the pauses after which the reader and this entry ask again.
	lagTime = 500 * time.Millisecond
	// pulseTime is how long a request for changes of the desired state waits. It shows that the store answers; when it
	// fails, all other requests to the store are made again. A store that has swallowed a request without a sign is found
	// within the 3 s after which an entry has to know again what was acknowledged.
	pulseTime = 2 * time.Second
	// joinTime is how long a process waits after its start until it owns targets: by then it knows the other members.
	joinTime = 1500 * time.Millisecond
	// ownerSilence is how long an unheard member still counts as an owner.
	ownerSilence = 3 * time.Second
	// forgetTime is how long a member stays on the roll without being heard by anybody.
	forgetTime = time.Minute
	// OwnersPerTarget is the number of entries that own one target.
	OwnersPerTarget = 4
)

// Store is the service with the tables that a Follower follows and with the table of members.
type Store interface {
	feed.Source
	// Put writes a row and Remove deletes one; neither has a condition.
	Put(ctx context.Context, table, key string, value []byte) error
	Remove(ctx context.Context, table, key string) error
}

// FollowerOptions are the parts and names that a Follower is made of.
type FollowerOptions struct {
	Store  Store
	Timers *timer.Service
	Name   string
	Domain string
	// Caller and Control are the addresses for callers and for peers.
	Caller  netip.AddrPort
	Control netip.AddrPort
	// Tables are the names of the tables with the desired state and the registry, in this order, and Members is the one in
	// which entries find each other.
	Tables       []string
	MembersTable string
	// Seeds are control addresses of entries to ask while the store does not answer.
	Seeds     []netip.AddrPort
	Transport FollowerTransport
	// BuildState derives the state from the rows of the tables. The former state is nil at first. An error keeps it.
	BuildState func(former *State, tables map[string]map[string]feed.Row) (*State, error)
	// Metrics receives the gauges, and Logger the changes of state; both may be nil.
	Metrics *metrics.Set
	Logger  *zap.Logger
}

// FollowerTransport sends to other entries. *Client is the real one; tests use one in memory.
type FollowerTransport interface {
	// Greet sends a greeting and returns the one of the peer.
	Greet(ctx context.Context, to netip.AddrPort, g *Greeting) (*Greeting, error)
	// Members returns the members that a peer knows.
	Members(ctx context.Context, to netip.AddrPort) (*Roll, error)
	// Rows returns what a copy of a table lacks that is complete up to a version, as soon as there is anything or after the
	// wait.
	Rows(ctx context.Context, to netip.AddrPort, table string, after uint64, wait time.Duration) (*feed.Batch, error)
}

// Follower is the part of an entry in a fleet whose desired state is written by an operator into tables of a platform,
// where targets register themselves as well. The entries decide nothing: each follows the tables, passes on what it knows
// to entries that the platform turns away, and tells the others that it is alive. It is safe for concurrent use.
type Follower struct {
	opt    FollowerOptions
	log    *zap.Logger
	own    Record
	start  time.Time
	state  atomic.Pointer[State]
	tables map[string]*feed.Table

	composing sync.Mutex
	mu        sync.RWMutex
	changed   chan struct{}
	members   map[string]*member
	round     int
	leaving   bool
	// fetching names the tables that are being fetched from a peer.
	fetching map[string]bool
	// misses is the number of failed calls to the store in a row.
	misses int
	// watches are the requests for news under way, by number.
	watches  map[int]watch
	requests int

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	done   chan struct{}
}

// member is another entry as this one knows it.
type member struct {
	record Record
	// heard is when this entry or a peer last heard the member, since when it was put on the roll.
	heard time.Time
	since time.Time
	// lost says that the member has not been heard for ownerSilence, which was logged.
	lost bool
	// avoided is when the member did not answer a request for rows.
	avoided time.Time
	busy    bool
}

// Follow starts to follow the tables. It returns at once; Contact is false until the state is known.
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
		own: Record{
			Incarnation: newIncarnation(),
			Domain:      opt.Domain,
			Caller:      opt.Caller,
			Control:     opt.Control,
			State:       RecordStateActive,
		},
		start:    opt.Timers.Now(),
		tables:   map[string]*feed.Table{},
		changed:  make(chan struct{}),
		members:  map[string]*member{},
		fetching: map[string]bool{},
		watches:  map[int]watch{},
		ctx:      ctx,
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	f.state.Store(&State{})
	for _, name := range opt.Tables {
		f.tables[name] = feed.NewTable(name)
	}
	for _, table := range f.tables {
		f.tasks.Go(func() { f.follow(table) })
	}
	f.gauges()
	f.tasks.Go(f.join)
	f.tasks.Go(f.greetings)
	go func() {
		f.tasks.Wait()
		close(f.done)
	}()
	return f
}

// gauges registers the values that are computed when the metrics are read.
func (f *Follower) gauges() {
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
			if f.now().Sub(m.heard) < ownerSilence {
				n++
			}
		}
		return float64(n)
	})
	f.opt.Metrics.GetOrCreateGauge("skylarkbeam_store_detached", func() float64 {
		f.mu.RLock()
		defer f.mu.RUnlock()
		if f.own.Detached {
			return 1
		}
		return 0
	})
}

func (f *Follower) now() time.Time { return f.opt.Timers.Now() }

func (f *Follower) follow(table *feed.Table) {
	name := zap.String("table", table.Name())
	wait := time.Duration(feed.DefaultWatchTimeout)
	if table.Name() == f.opt.Tables[0] {
		wait = pulseTime
	}
	feed.Follow(f.ctx, feed.Options{
		WatchTimeout: wait,
		Table:        table,
		Source: upstream{
			follower: f,
		},
		Timers:       f.opt.Timers,
		BatchDelay:   f.gather,
		OnChange:     f.compose,
		OnDisconnect: func(err error) { f.log.Warn("the store does not answer", name, zap.Error(err)) },
		OnReconnect: func(away time.Duration) {
			f.log.Info("the store answers again", name, zap.Duration("away", away))
		},
		Logger: f.log,
	})
}

// later composes the state anew after a while.
func (f *Follower) later(d time.Duration) {
	time.AfterFunc(d, func() {
		if f.ctx.Err() == nil {
			f.compose()
		}
	})
}

// RebuildState derives the state anew, after something beside the tables has changed.
func (f *Follower) RebuildState() { f.compose() }

// compose puts the state in force that follows from the tables.
func (f *Follower) compose() {
	f.composing.Lock()
	defer f.composing.Unlock()
	rows := map[string]map[string]feed.Row{}
	for name, table := range f.tables {
		if !table.Loaded() {
			return
		}
		rows[name] = table.Rows()
	}
	former := f.state.Load()
	next, err := f.opt.BuildState(former, rows)
	if err != nil {
		f.log.Error("the desired state cannot be read, the former one stays in force", zap.Error(err),
			zap.Uint64("version", former.Version))
		return
	}
	next.Version = former.Version + 1
	if again := keepLapsed(f.now(), former, next); again > 0 {
		f.log.Warn("many targets have vanished from the registry, keeping them for a while", zap.Duration("again", again))
		f.later(again)
	}
	f.state.Store(next)
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// State returns the state that this entry runs. Its version counts the states of this process; it is 0 before the tables
// were read.
func (f *Follower) State() *State { return f.state.Load() }

// Changed returns a channel that is closed at the next change of the state. Take the channel first and look at State
// afterwards, then no change is missed.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// CanServe tells whether the entry may send work: it knows a state. An entry that nobody reaches goes on with the last
// one, because targets refuse work that is not for them.
func (f *Follower) CanServe(time.Time) bool { return f.state.Load().ParsedSettings != nil }

// join puts this entry on the table of members and reads it.
func (f *Follower) join() {
	for f.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(f.ctx, tableTimeout)
		err := f.opt.Store.Put(ctx, f.opt.MembersTable, f.opt.Name, encode(f.own))
		if err == nil {
			err = f.readMembers(ctx)
		}
		cancel()
		if err == nil {
			return
		}
		f.log.Debug("joining failed", zap.Error(err))
		f.pause(f.ctx, time.Second)
	}
}

func (f *Follower) readMembers(ctx context.Context) error {
	batch, err := f.opt.Store.Read(ctx, f.opt.MembersTable)
	if err != nil {
		return errors.Wrap(err, "read the members")
	}
	for _, row := range batch.Rows {
		var record Record
		if err := decodeRecord(row.Value, &record); err != nil {
			f.log.Warn("malformed member", zap.String("entry", row.Key), zap.Error(err))
			continue
		}
		f.enroll(row.Key, record)
	}
	return nil
}

// enroll puts a member on the roll that was not known yet.
func (f *Follower) enroll(name string, record Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name == f.opt.Name || f.members[name] != nil {
		return
	}
	f.members[name] = &member{
		record: record,
		since:  f.now(),
	}
}

// greetings exchanges greetings with the other members at intervals.
func (f *Follower) greetings() {
	ticks := f.opt.Timers.Every("greetings", greetInterval)
	defer ticks.Stop()
	for {
		f.greetRound(false)
		f.redirect()
		select {
		case <-ticks.C:
		case <-f.ctx.Done():
			return
		}
	}
}

// greetRound greets the members whose turn it is, or all of them.
func (f *Follower) greetRound(all bool) {
	for _, to := range f.turn(all) {
		f.tasks.Go(func() {
			defer f.greeted(to.name)
			ctx, cancel := context.WithTimeout(f.ctx, peerTimeout)
			defer cancel()
			if err := f.greet(ctx, to); err != nil {
				f.log.Debug("greeting failed", zap.String("peer", to.name), zap.Error(err))
			}
		})
	}
}

func (f *Follower) greeted(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[name]; m != nil {
		m.busy = false
	}
}

// turn returns the members to greet now. Members that have not been heard for a while are greeted less often.
func (f *Follower) turn(all bool) []address {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.round++
	var list []address
	for name, m := range f.members {
		silence := now.Sub(later(m.heard, m.since))
		if lost := silence > ownerSilence; lost != m.lost {
			m.lost = lost
			if lost {
				f.log.Warn("a member is not heard any more", zap.String("peer", name), zap.Duration("silence", silence))
			} else {
				f.log.Info("a member is heard again", zap.String("peer", name))
			}
		}
		if silence > forgetTime {
			delete(f.members, name)
			continue
		}
		if m.busy || !all && silence > 5*greetInterval && f.round%5 != 0 {
			continue
		}
		list = append(list, address{
			name:    name,
			control: m.record.Control,
		})
	}
	if len(f.members) == 0 {
		for _, control := range f.opt.Seeds {
			if control != f.opt.Control {
				list = append(list, address{
					control: control,
				})
			}
		}
	}
	if !all {
		list = f.some(list)
	}
	for _, to := range list {
		if m := f.members[to.name]; m != nil {
			m.busy = true
		}
	}
	return list
}

// some returns a part of the members, at random, and the reader that this entry follows. The caller holds the lock.
func (f *Follower) some(list []address) []address {
	var part []address
	near, far, farLimit := 0, 0, f.farLimit()
	for _, to := range list { // The order of a map is random.
		m := f.members[to.name]
		switch {
		case m == nil || f.followed(to.name):
			part = append(part, to)
		case m.record.Domain == f.own.Domain && near < greetNear:
			near++
			part = append(part, to)
		case m.record.Domain != f.own.Domain && far < farLimit:
			far++
			part = append(part, to)
		}
	}
	return part
}

// farLimit returns the number of members in other failure domains to greet in this round: the part of this entry in
// greetFarSum, with the fraction decided at random, and at most greetFar. The caller holds the lock.
func (f *Follower) farLimit() int {
	entries := 1
	for _, m := range f.members {
		if m.record.Domain == f.own.Domain && f.now().Sub(m.heard) < ownerSilence {
			entries++
		}
	}
	return min(int(greetFarSum/float64(entries)+rand.Float64()), greetFar)
}

// followed tells whether this entry takes rows from the member. The caller holds the lock.
func (f *Follower) followed(name string) bool {
	for _, w := range f.watches {
		if w.reader == name {
			return true
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *Follower) greet(ctx context.Context, to address) error {
	start := f.now()
	reply, err := f.opt.Transport.Greet(ctx, to.control, f.greeting(f.domainOf(to.name)))
	if err != nil {
		return err
	}
	f.hear(reply, start)
	return nil
}

// domainOf returns the failure domain of a member, empty if it is not known.
func (f *Follower) domainOf(name string) string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if m := f.members[name]; m != nil {
		return m.record.Domain
	}
	return ""
}

// greeting returns a greeting for a member in a failure domain. One in another domain is told only of the members in the
// domain of this entry, because bytes between domains have a price.
func (f *Follower) greeting(domain string) *Greeting {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := f.now()
	g := &Greeting{
		Entry:  f.opt.Name,
		Record: f.own,
		Tables: map[string]uint64{},
		Heard:  map[string]int{},
	}
	if f.leaving {
		g.Record.State = RecordStateLeaving
	}
	for name, table := range f.tables {
		g.Tables[name] = table.LatestVersion()
	}
	for name, m := range f.members {
		told := domain == f.own.Domain || m.record.Domain == f.own.Domain
		if told && !m.heard.IsZero() && now.Sub(m.heard) < 10*greetInterval {
			g.Heard[name] = int(now.Sub(m.heard) / tenth)
		}
	}
	return g
}

// hear takes over what a peer tells of itself and of others at the given time.
func (f *Follower) hear(g *Greeting, at time.Time) {
	f.mu.Lock()
	m := f.members[g.Entry]
	if m == nil {
		m = &member{
			since: at,
		}
		f.members[g.Entry] = m
	}
	if m.record.Incarnation != g.Record.Incarnation || m.record.State != g.Record.State {
		f.log.Info("heard of a member", zap.String("peer", g.Entry), zap.String("state", string(g.Record.State)),
			zap.String("incarnation", g.Record.Incarnation))
	}
	m.record = g.Record
	m.heard = later(m.heard, at)
	strangers := false
	for name, tenths := range g.Heard {
		if name == f.opt.Name {
			continue
		}
		other := f.members[name]
		if other == nil {
			strangers = true
			continue
		}
		other.heard = later(other.heard, at.Add(-time.Duration(tenths)*tenth))
	}
	control := m.record.Control
	f.mu.Unlock()
	if strangers {
		f.tasks.Go(func() { f.askMembers(control) })
	}
	for name, version := range g.Tables {
		if table := f.tables[name]; table != nil && version > table.LatestVersion() {
			f.tasks.Go(func() { f.fetch(table, control, version) })
		}
	}
}

func (f *Follower) askMembers(from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(f.ctx, peerTimeout)
	defer cancel()
	roll, err := f.opt.Transport.Members(ctx, from)
	if err != nil {
		f.log.Debug("asking for the members failed", zap.Error(err))
		return
	}
	for name, record := range roll.Members {
		f.enroll(name, record)
	}
}

// fetch takes from a peer what this entry lacks of a table, unless its own request to the store brings it first.
func (f *Follower) fetch(table *feed.Table, from netip.AddrPort, version uint64) {
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
	f.pause(f.ctx, lagTime)
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
		f.compose()
	}
}

func (f *Follower) pause(ctx context.Context, d time.Duration) {
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
		Incarnation: f.own.Incarnation,
		Domain:      f.own.Domain,
		Caller:      f.own.Caller,
		Control:     f.own.Control,
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
			LastHeard:   m.heard,
		})
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// Owns tells whether this entry is one of the CoOwners of a target, which alone send to it while it is cold. The entries
// agree on the owners as far as they agree on who is alive; the limit of a cold target allows for the difference.
func (f *Follower) Owns(now time.Time, target string) (until time.Time, ok bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.leaving || now.Sub(f.start) < joinTime {
		return time.Time{}, false
	}
	mine := xxhash.Sum64String(f.opt.Name + "\x00" + target)
	better := 0
	for name, m := range f.members {
		if now.Sub(m.heard) < ownerSilence && xxhash.Sum64String(name+"\x00"+target) > mine {
			better++
		}
	}
	return now.Add(ownerSilence), better < OwnersPerTarget
}

// Leave tells the other members that this entry is shutting down.
func (f *Follower) Leave() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.greetRound(true)
}

// Close stops the Follower and takes the entry off the table of members; ctx bounds that.
func (f *Follower) Close(ctx context.Context) error {
	f.stop()
	return errors.Wrap(f.opt.Store.Remove(ctx, f.opt.MembersTable, f.opt.Name), "leave the fleet")
}

// stop ends all activity without a word to anybody.
func (f *Follower) stop() {
	f.cancel()
	<-f.done
}

// Done is closed when the Follower has stopped.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Err is always nil: a Follower does not stop by itself.
func (f *Follower) Err() error { return nil }

// Owner returns the name of the first owner of a target.
func (f *Follower) Owner(target string) string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	active := map[string]string{
		f.opt.Name: f.own.Incarnation,
	}
	for name, m := range f.members {
		if f.now().Sub(m.heard) < ownerSilence {
			active[name] = m.record.Incarnation
		}
	}
	name, _ := owner(active, target)
	return name
}

// roll returns the records of all members, this entry included.
func (f *Follower) roll() *Roll {
	f.mu.RLock()
	defer f.mu.RUnlock()
	records := map[string]Record{
		f.opt.Name: f.own,
	}
	for name, m := range f.members {
		records[name] = m.record
	}
	return &Roll{
		Members: maps.Clone(records),
	}
}

// RegisteredTarget is a target that has registered itself.
type RegisteredTarget struct {
	Name     string
	Service  string
	Domain   string
	Address  netip.AddrPort
	Slots    int
	Instance string
	// StartedAt is the time of the instance's start as the target counts it. A target can start anew under the same name.
	StartedAt int64
	// ColdUntil is until when the target says that it is in its cold start; zero if it is not.
	ColdUntil time.Time
	// Leaving says that the target is about to end.
	Leaving bool
	// LapsedAt is when the registration vanished together with many others; zero if it is there.
	LapsedAt time.Time
}
