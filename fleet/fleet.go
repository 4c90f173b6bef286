// Package fleet implements an entry's membership in the fleet of entries: the accepted state, the members, whether an
// entry may send new work, the ownership of cold targets, and the facts about warm targets.
//
// The entries share a table, which can be down for a long time, and also exchange messages directly. There is no
// leader. All lasting data is in the table and changes there by compare-and-swap. The peers only distribute what the
// table has accepted, and detect which entries are alive. docs/membership.md explains the design in full.
//
// # Usage
//
//	f := fleet.Open(fleet.Options{
//		Platform:         platform,
//		Timers:           timers,
//		Name:             "cairns-1",
//		Domain:           "cairns",
//		Caller:           caller,
//		Control:          control,
//		ValidateSettings: validate,
//		Transport:        fleet.NewClient(metrics),
//	})
//	container.Add(f.Service())
//
//	if f.CanServe(timers.Now()) {
//		state := f.State() // after CanServe, not before
//	}
//	if until, ok := f.Owns(timers.Now(), target); ok {
//		// The call to the cold target must end by until.
//	}
//
//	switch d := f.Drain(ctx, change, []string{"cairns"}, nil).(type) {
//	case *fleet.Accepted:
//	case *fleet.Conflict:
//	case *fleet.Refused:
//	case *fleet.Undecided: // repeat the call with the same change
//	}
//
//	f.Leave()
//	// Callers go to other entries; calls in flight end.
//	f.Close(ctx)
//
// # Rules
//
// A change is written only by an entry that hears at least half of the members, and is in effect once at least half of
// them run it. An entry that cannot reach the table sends work only while it hears more than half of them. Any two such
// sets have a member in common, and a reply counts as heard only once its receiver runs the versions that it names. So
// once the contact timeout has passed, no entry sends work according to an older state.
//
// Requests are timed from their start, on this process's own clock, and every condition is evaluated at the moment of
// the call. A process that resumes after a suspension finds its confirmations and leases expired, whatever is still in
// flight.
//
// When the members change, quorums of the former members count in addition to those of the present ones until half of
// both know the new roster.
//
// If the result of a write is unknown, the entry reads the record of the change. If there is none, it rewrites the head
// without a change, so that the first write can no longer commit.
//
// A new owner of a cold target waits 5 s after it learned of the view that made it the owner. The leases of the former
// owner end 4 s after the start of a read that preceded that view.
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
	// pollInterval and exchangeInterval allow for three failed attempts within contactTimeout.
	pollInterval     = time.Second
	exchangeInterval = time.Second
	// contactTimeout is the default maximum age of a confirmation; SetContactPolicy overrides it. A drained failure
	// domain may receive work for 5 s; the last second is for calls admitted just before.
	contactTimeout = 4 * time.Second
	// leaseDuration is the duration of an ownership lease, from the start of the read that grants it.
	leaseDuration = 4 * time.Second
	// minReportedSilence is the minimum silence of a peer for it to be listed in Message.Quiet. Shorter silences are
	// normal and omitted to save bytes.
	minReportedSilence = 1500 * time.Millisecond
	// takeoverDelay is how long a new owner waits. It exceeds leaseDuration by 1 s, which allows for clock rates that
	// differ by up to 20%.
	takeoverDelay = 5 * time.Second
	// suspectTimeout is how long an entry may be unheard before the table takes the place of messages: the entry
	// writes a heartbeat row, and the others read it.
	suspectTimeout = 2 * time.Second
	// goneTimeout is how long a member may be unheard by all entries before it is marked gone.
	goneTimeout = 6 * time.Second
	// vmAbsenceTimeout is how long a member must have been absent before the absence of its VM from the list of VMs
	// counts as its end. The list lags, so a VM that has just started may be missing.
	vmAbsenceTimeout = time.Minute
	// vmListInterval is the minimum time between two reads of the list of VMs.
	vmListInterval = 10 * time.Second
	// warmScanInterval is the time between two reads of the warm rows while a peer is silent.
	warmScanInterval = 30 * time.Second
	// tableTimeout and peerTimeout limit one request. A slower response would be almost out of date on arrival.
	tableTimeout = 2 * time.Second
	peerTimeout  = time.Second
	// retryInterval is the time between two attempts at a change.
	retryInterval = 50 * time.Millisecond
	// inEffectTimeout limits how long an accepted change waits for confirmation by the members.
	inEffectTimeout = 5 * time.Second
)

// protocolOptions are the rules of the protocol. Tests switch single rules off to show which fault each of them
// prevents.
type protocolOptions struct {
	maxContactAge time.Duration
	ownerDelay    time.Duration
	goneAfter     time.Duration
	// usePeerReports makes the decision that a member is gone consider the reports of other entries and the heartbeat
	// rows.
	usePeerReports bool
	// fenceLostWrites prevents a write with an unknown result from committing later.
	fenceLostWrites bool
	// requireQuorum requires that at least half of the members answer before a change is written.
	requireQuorum bool
	// allowOlderVersions lets an older version of the state replace a newer one.
	allowOlderVersions bool
	// timeFromArrival times requests from the arrival of the response instead of the start of the request.
	timeFromArrival bool
	// maxFetches limits the concurrent fetches of the state.
	maxFetches int
	// dropPriorEarly drops the prior members at once instead of when half of the members know the new roster.
	dropPriorEarly bool
}

// Options configure a Fleet.
type Options struct {
	Platform store.Platform
	Timers   *timer.Service
	// Name is the entry's name in the settings and Domain its failure domain.
	Name   string
	Domain string
	// Caller and Control are the addresses for callers and for peers. The process must listen on Control before it
	// calls Open, which shows that a former process with the same name and address has ended.
	Caller  netip.AddrPort
	Control netip.AddrPort
	// ValidateSettings returns an error if settings are invalid; nil accepts all settings.
	ValidateSettings func(settings []byte) error
	// Transport sends messages to other entries.
	Transport Transport
	// Seeds are the control addresses of entries to contact while no roster is known, so that a process can start
	// while the table is down.
	Seeds []netip.AddrPort
	// ServeWithoutContact keeps an entry without contact in service. Drained failure domains may then receive new
	// work.
	ServeWithoutContact bool
	// OnInstanceSeen is called when another entry reports an instance of a target that this entry owns; may be nil.
	OnInstanceSeen func(target, instance string)
	// OnWarm is called with each new warm fact; may be nil.
	OnWarm func(target, instance string, transitions int)
	// OnColdTransition is called when another entry reports that an instance has gone from warm back to cold without a
	// restart of its process; may be nil.
	OnColdTransition func(target, instance string, transitions int)
	// Usage returns the average number of slots that callers use at this entry, by service and caller, to be sent to
	// the other entries. It is called once per round of exchanges; may be nil.
	Usage func() map[string]map[string]float64
	// Metrics receives the counters and Logger the state changes; both may be nil.
	Metrics *metrics.Set
	Logger  *zap.Logger
}

// Fleet is this entry's membership in the fleet. It is safe for concurrent use.
type Fleet struct {
	opt         Options
	protocol    protocolOptions
	incarnation string
	counters    *counters
	large       *largeMessages
	log         *zap.Logger
	state       atomic.Pointer[State]
	leaving     atomic.Bool

	mu                  sync.RWMutex
	changed             chan struct{}
	ready               bool
	registered          bool
	hadPredecessor      bool
	registeredAt        time.Time
	confirmedAt         time.Time
	leasedAt            time.Time
	roster              Roster
	views               viewHistory
	peers               map[string]*peer
	lastHeard           map[string]time.Time
	lastRead            tableRead
	lastRoster          storedRoster
	absentSince         map[string]time.Time
	vmsListedAt         time.Time
	warmScannedAt       time.Time
	stopped             bool
	err                 error
	serveWithoutContact bool
	// usage is the usage sent in the messages of the current round.
	usage map[string]map[string]int

	warm warmFacts
	// coldTransitions holds the number of cold transitions of instances that have not become warm since.
	coldTransitions map[instanceKey]int

	ctx            context.Context
	cancel         context.CancelFunc
	maintenanceDue chan struct{}
	// pushDue wakes the task that announces cold transitions.
	pushDue chan struct{}
	// fetchSlots limits the concurrent fetches of the state.
	fetchSlots chan struct{}
	tasks      sync.WaitGroup
	done       chan struct{}
}

// Open joins the fleet in the background and returns at once. CanServe is false until the state is known.
func Open(opt Options) *Fleet { return open(opt, protocolOptions{}) }

func open(opt Options, proto protocolOptions) *Fleet {
	if proto == (protocolOptions{}) {
		proto = defaultProtocol()
	}
	if opt.Logger == nil {
		opt.Logger = zap.NewNop()
	}
	if opt.Metrics == nil {
		opt.Metrics = metrics.NewSet()
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		opt:                 opt,
		protocol:            proto,
		incarnation:         newIncarnation(),
		serveWithoutContact: opt.ServeWithoutContact,
		counters:            newCounters(opt.Metrics),
		large:               newLargeMessages(),
		log:                 opt.Logger.With(zap.String("entry", opt.Name)),
		changed:             make(chan struct{}),
		peers:               map[string]*peer{},
		lastHeard:           map[string]time.Time{},
		absentSince:         map[string]time.Time{},
		ctx:                 ctx,
		cancel:              cancel,
		coldTransitions:     map[instanceKey]int{},
		maintenanceDue:      make(chan struct{}, 1),
		pushDue:             make(chan struct{}, 1),
		fetchSlots:          make(chan struct{}, proto.maxFetches),
		done:                make(chan struct{}),
	}
	f.warm.byTarget = map[string]*warmFact{}
	f.state.Store(&State{})
	f.tasks.Add(4)
	go f.runEvery("fleet poll", pollInterval, f.poll)
	go f.runEvery("fleet exchange", exchangeInterval, f.startExchanges)
	go f.runMaintenance()
	go f.pushTransitions()
	go func() {
		f.tasks.Wait()
		close(f.done)
	}()
	return f
}

func defaultProtocol() protocolOptions {
	return protocolOptions{
		maxContactAge:   contactTimeout,
		ownerDelay:      takeoverDelay,
		goneAfter:       goneTimeout,
		usePeerReports:  true,
		fenceLostWrites: true,
		requireQuorum:   true,
		maxFetches:      1,
	}
}

func newIncarnation() string {
	b := make([]byte, 6)
	rand.Read(b)
	return hex.EncodeToString(b)
}

func (f *Fleet) now() time.Time { return f.opt.Timers.Now() }

// runEvery runs a task at once and then at each tick.
func (f *Fleet) runEvery(name string, interval time.Duration, task func()) {
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

// poll reads the table. It leaves the writes that follow from it to the maintenance task, so that they don't delay the
// next read.
func (f *Fleet) poll() {
	keys := f.heartbeatKeys()
	t, err := f.readTable(f.ctx, keys...)
	if err != nil {
		f.log.Debug("reading the table failed", zap.Error(err))
		return
	}
	f.mu.Lock()
	f.lastRead = t
	f.recordHeartbeats(t, keys)
	f.mu.Unlock()
	f.triggerMaintenance()
}

func (f *Fleet) triggerMaintenance() {
	select {
	case f.maintenanceDue <- struct{}{}:
	default:
	}
}

// Done is closed when the Fleet has stopped, after Close or because another process has taken over the entry's name.
func (f *Fleet) Done() <-chan struct{} { return f.done }

// Err returns why the Fleet stopped by itself, or nil if it did not.
func (f *Fleet) Err() error {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.err
}

// stopWithError stops the Fleet for good. The caller holds mu.
func (f *Fleet) stopWithError(err error) {
	if !f.stopped {
		f.stopped = true
		f.err = err
		f.log.Error("fleet stopped", zap.Error(err))
		f.cancel()
	}
}

// Leave marks the entry as leaving, immediately towards the peers and in the table as soon as it answers. The entry
// stays a member until Close.
func (f *Fleet) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving.Swap(true) || f.stopped {
		return
	}
	f.tasks.Add(1)
	go func() {
		defer f.tasks.Done()
		f.exchangeAll(f.ctx)
	}()
	f.triggerMaintenance()
}

// Close stops the Fleet, so that CanServe and Owns return false. It then removes the entry from the roster, so that a
// later process with the same name need not wait; ctx limits that write. An error means that the write failed or that
// its result is unknown, and that a later process will wait.
func (f *Fleet) Close(ctx context.Context) error {
	f.stop()
	f.mu.RLock()
	registered, err := f.registered, f.err
	f.mu.RUnlock()
	if !registered || err != nil {
		return err
	}
	for {
		t, err := f.readTable(ctx)
		if err != nil {
			return errors.Wrap(err, "leave the fleet")
		}
		own, ok := t.roster.Members[f.opt.Name]
		if !ok || own.Incarnation != f.incarnation {
			return nil
		}
		next := t.roster.withChange(func(members map[string]Record) { delete(members, f.opt.Name) }).withoutVoter(f.incarnation, "")
		committed, err := f.writeRoster(ctx, t, next)
		if err != nil || committed {
			return errors.Wrap(err, "leave the fleet")
		}
	}
}

// stop ends all activity without telling anyone, like a crash.
func (f *Fleet) stop() {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
	f.cancel()
	<-f.done
}
