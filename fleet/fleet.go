// Package fleet is an entry's part in the fleet of entries: the accepted state, the membership, the rule that says when
// an entry may send new work, the ownership of cold targets, and the facts about warm targets.
//
// The entries share a table that can be down for long, and they talk to each other directly. There is no leader. All
// that lasts is in the table and changes there by compare-and-swap; the peers only pass on what the table has accepted,
// and count who is there. docs/membership.md gives the reasons at length.
//
// # Usage
//
//	f := fleet.Open(fleet.Options{
//		Platform: platform,
//		Timers:   timers,
//		Name:     "cairns-1",
//		Domain:   "cairns",
//		Caller:   caller,
//		Control:  control,
//		Check:    check,
//		Peers:    fleet.NewClient(metrics),
//	})
//	container.Add(f.Service())
//
//	if f.Contact(timers.Now()) {
//		state := f.State() // after Contact, not before
//	}
//	if until, ok := f.Owns(timers.Now(), target); ok {
//		// The call to the cold target must end at until.
//	}
//
//	switch d := f.Drain(ctx, change, []string{"cairns"}, nil).(type) {
//	case *fleet.Accepted:
//	case *fleet.Conflict:
//	case *fleet.Refused:
//	case *fleet.Undecided: // ask again with the same change
//	}
//
//	f.Leave()
//	// Callers go elsewhere; calls in flight end.
//	f.Close(ctx)
//
// # Rules
//
// A change is written only by an entry that hears at least half of the members, and is in force once half of them run
// it. An entry without the table sends work only while it hears more than half of them. The two sets have a member in
// common, and an answer counts as heard only once its receiver runs the versions that it names. So after the contact
// time no entry sends work according to an older state.
//
// Times of requests count from their start, on this process's own clock, and every question is decided when it is
// asked. A process that wakes from a pause finds its confirmations and leases too old, whatever is still under way.
//
// When the members change, quorums of the last settled members count beside those of the present ones until half of
// both know the new roster.
//
// An unknown result of a write is settled by reading the receipt of the change, and, if it is absent, by a neutral write
// that advances the head, so that the lost write cannot commit later.
//
// A new owner of a cold target waits 5 s from when it learned the view that made it the owner; the leases of the old one
// end 4 s after the start of a read that was before that view.
package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/store"
	"skylarkbeam/timer"
)

//go:generate go tool -modfile=../tools/go.mod go-jsonschema -p fleet --only-models --tags json --capitalization ID -o message.go schema.json

const (
	// pollInterval and exchangeInterval leave three lost attempts within contactTime.
	pollInterval     = time.Second
	exchangeInterval = time.Second
	// contactTime is the default of Options.Contact. A drained failure domain may receive work for 5 s; the last second
	// is for calls that were let through just before.
	contactTime = 4 * time.Second
	// leaseTime is the lifetime of an ownership lease, from the start of the read that grants it.
	leaseTime = 4 * time.Second
	// lateTime is the silence from which on a message names a peer as quiet. Exchanges of the last second and a half are
	// the rule and not worth the bytes.
	lateTime = 1500 * time.Millisecond
	// waitTime is how long a new owner waits. It exceeds leaseTime by 1 s, which allows for clocks whose rates differ by
	// up to 20%.
	waitTime = 5 * time.Second
	// quietTime is how long an entry goes unheard before it or others use the table to show or see that it is alive.
	quietTime = 2 * time.Second
	// goneTime is how long an entry goes unheard by everybody before it is marked gone.
	goneTime = 6 * time.Second
	// vanishTime is how long a member must have been absent before its VM's absence from the list counts as its end. The
	// list lags, so a VM that has just started may not be listed yet.
	vanishTime = time.Minute
	// listInterval is how often the list of VMs is read while it can settle something.
	listInterval = 10 * time.Second
	// rescanInterval is how often the warm rows are read while a peer is unheard.
	rescanInterval = 30 * time.Second
	// tableTimeout and peerTimeout bound one request. A slower answer would be nearly out of date when it came.
	tableTimeout = 2 * time.Second
	peerTimeout  = time.Second
	// retryInterval separates attempts of a change.
	retryInterval = 50 * time.Millisecond
	// forceTime bounds how long an accepted change waits for the members to confirm it.
	forceTime = 5 * time.Second
)

// limits are the rules that tests switch off to show what they are for.
type limits struct {
	contact time.Duration
	wait    time.Duration
	gone    time.Duration
	// reported makes the verdict that a member is gone look at what other entries have heard.
	reported bool
	// neutral settles lost writes.
	neutral bool
	// quorum demands at least half of the members for a change.
	quorum bool
	// revert lets older versions replace newer ones.
	revert bool
	// arrival counts times from the arrival of an answer instead of the start of the request.
	arrival bool
	// fetches is how many fetches of the state may be under way at once.
	fetches int
	// dropEarly drops the prior members at once, instead of when half of them know.
	dropEarly bool
}

// Options are the parts and names that a Fleet is made of.
type Options struct {
	Platform store.Platform
	Timers   *timer.Service
	// Name is the entry's name in the settings and Domain its failure domain.
	Name   string
	Domain string
	// Caller and Control are the addresses for callers and for peers. The process must listen on Control before it calls
	// Open: that shows that a former process of its name with the same address has ended.
	Caller  netip.AddrPort
	Control netip.AddrPort
	// ValidateSettings reports why settings are invalid; nil accepts all.
	ValidateSettings func(settings []byte) error
	// Transport sends messages to other entries.
	Transport Transport
	// Seeds are control addresses of entries to ask while no roster is known, so that a process can start while the
	// table is down.
	Seeds []netip.AddrPort
	// ServeWithoutContact keeps an entry without contact in service; it gives up the promise that drained failure domains receive no
	// new work.
	ServeWithoutContact bool
	// OnInstanceSeen is told of an instance of a target that another entry has seen and that this entry owns; may be nil.
	OnInstanceSeen func(target, instance string)
	// OnWarm is told of each new warm fact; may be nil.
	OnWarm func(target, instance string, falls int)
	// OnColdTransition is told when another entry has seen that an instance is not warm any more; may be nil.
	OnColdTransition func(target, instance string, falls int)
	// Usage returns the average number of slots that callers use at this entry, by service and caller, for the other
	// entries; may be nil. It is called once in a round of exchanges.
	Usage func() map[string]map[string]float64
	// Metrics receives the counters and Logger the changes of state; both may be nil.
	Metrics *metrics.Set
	Logger  *zap.Logger
}

// Fleet is this entry's part in the fleet. It is safe for concurrent use.
type Fleet struct {
	opt         Options
	limits      limits
	incarnation string
	counters    *counters
	log         *zap.Logger
	state       atomic.Pointer[State]
	leaving     atomic.Bool

	mu         sync.RWMutex
	changed    chan struct{}
	ready      bool
	registered bool
	former     bool
	joined     time.Time
	confirmed  time.Time
	leased     time.Time
	roster     Roster
	ownership  ownership
	peers      map[string]*peer
	lastHeard  map[string]time.Time
	latest     table
	known      rosterRow
	absent     map[string]time.Time
	listed     time.Time
	scanned    time.Time
	ended      bool
	err        error
	serve      bool
	// use is what the messages of the present round tell.
	use map[string]map[string]int

	warm facts
	// fallen holds the falls of instances since they were warm.
	fallen map[fallenInstance]int

	ctx    context.Context
	cancel context.CancelFunc
	kick   chan struct{}
	// fallsPending wakes the task that tells of falls.
	fallsPending chan struct{}
	// fetching has room for the fetches of the state that may be under way.
	fetching chan struct{}
	tasks    sync.WaitGroup
	done     chan struct{}
}

// Open starts to take part in the fleet. It returns at once; Contact is false until the state is known.
func Open(opt Options) *Fleet { return open(opt, limits{}) }

func open(opt Options, l limits) *Fleet {
	if l == (limits{}) {
		l = usual()
	}
	if opt.Logger == nil {
		opt.Logger = zap.NewNop()
	}
	if opt.Metrics == nil {
		opt.Metrics = metrics.NewSet()
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		opt:          opt,
		limits:       l,
		incarnation:  newIncarnation(),
		serve:        opt.ServeWithoutContact,
		counters:     newCounters(opt.Metrics),
		log:          opt.Logger.With(zap.String("entry", opt.Name)),
		changed:      make(chan struct{}),
		peers:        map[string]*peer{},
		lastHeard:    map[string]time.Time{},
		absent:       map[string]time.Time{},
		ctx:          ctx,
		cancel:       cancel,
		fallen:       map[fallenInstance]int{},
		kick:         make(chan struct{}, 1),
		fallsPending: make(chan struct{}, 1),
		fetching:     make(chan struct{}, l.fetches),
		done:         make(chan struct{}),
	}
	f.warm.known = map[string]*fact{}
	f.state.Store(&State{})
	f.tasks.Add(4)
	go f.every("fleet poll", pollInterval, f.poll)
	go f.every("fleet exchange", exchangeInterval, f.tick)
	go f.maintain()
	go f.pushFalls()
	go func() {
		f.tasks.Wait()
		close(f.done)
	}()
	return f
}

func usual() limits {
	return limits{
		contact:  contactTime,
		wait:     waitTime,
		gone:     goneTime,
		reported: true,
		neutral:  true,
		quorum:   true,
		fetches:  1,
	}
}

func newIncarnation() string {
	b := make([]byte, 6)
	rand.Read(b)
	return hex.EncodeToString(b)
}

func (f *Fleet) now() time.Time { return f.opt.Timers.Now() }

// every runs a task at once and then at each tick.
func (f *Fleet) every(name string, interval time.Duration, task func()) {
	defer f.tasks.Done()
	ticks := f.opt.Timers.Every(name, interval)
	defer ticks.Stop()
	for {
		task()
		select {
		case <-ticks.C:
		case <-f.ctx.Done():
			return
		}
	}
}

// poll reads the table and hands the result to the maintenance writes, which must not delay the next read.
func (f *Fleet) poll() {
	keys := f.beatKeys()
	t, err := f.read(f.ctx, keys...)
	if err != nil {
		f.log.Debug("poll failed", zap.Error(err))
		return
	}
	f.mu.Lock()
	f.latest = t
	f.watch(t, keys)
	f.mu.Unlock()
	f.wake()
}

func (f *Fleet) wake() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// Done is closed when the Fleet has stopped, after Close or because another process has taken the entry's name.
func (f *Fleet) Done() <-chan struct{} { return f.done }

// Err tells why the Fleet stopped by itself, nil if it did not.
func (f *Fleet) Err() error {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.err
}

// fail stops the Fleet for good. The caller holds mu.
func (f *Fleet) fail(err error) {
	if !f.ended {
		f.ended = true
		f.err = err
		f.log.Error("fleet stopped", zap.Error(err))
		f.cancel()
	}
}

// Leave marks the entry as leaving, towards the peers now and in the table when it answers. The entry stays a member
// until Close.
func (f *Fleet) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving.Swap(true) || f.ended {
		return
	}
	f.tasks.Add(1)
	go func() {
		defer f.tasks.Done()
		f.round(f.ctx)
	}()
	f.wake()
}

// Close stops the Fleet: Contact and Owns are false from here on. It then removes the entry from the roster, so that a
// later process of the same name need not wait; ctx bounds that write. An error says that the write failed or that its
// result is unknown, and a later process waits.
func (f *Fleet) Close(ctx context.Context) error {
	f.stop()
	f.mu.RLock()
	registered, err := f.registered, f.err
	f.mu.RUnlock()
	if !registered || err != nil {
		return err
	}
	for {
		t, err := f.read(ctx)
		if err != nil {
			return errors.Wrap(err, "leave the fleet")
		}
		own, ok := t.roster.Members[f.opt.Name]
		if !ok || own.Incarnation != f.incarnation {
			return nil
		}
		next := t.roster.edit(func(members map[string]Record) { delete(members, f.opt.Name) }).without(f.incarnation, "")
		committed, err := f.write(ctx, t, next)
		if err != nil || committed {
			return errors.Wrap(err, "leave the fleet")
		}
	}
}

// stop ends all activity without a word to anybody, as a crash would.
func (f *Fleet) stop() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	f.cancel()
	<-f.done
}
