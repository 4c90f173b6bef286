// Package entry implements the load balancer process that runs on an entry VM. It receives calls from callers,
// dispatches each to a target and returns complete responses.
//
// An Entry combines the other packages. For each call it asks, in this order: whether the entry may dispatch new work
// (fleet), when the call is admitted (share), whether a non-idempotent call may run (claim), which target receives it
// (route), and how the attempt ended (target). Every refusal and every retry is counted by reason.
//
// # Usage
//
//	e, err := entry.Assemble(entry.Options{
//		Name:           "entry1",
//		Domain:         "cairns",
//		CallerAddress:  netip.MustParseAddrPort("10.0.0.1:80"),
//		ControlAddress: netip.MustParseAddrPort("10.0.0.1:81"),
//		Platform:       client,
//		Logger:         logger,
//	})
//	if err != nil {
//		return err
//	}
//	e.Start()
//	<-ctx.Done()
//	e.Shutdown(context.Background())
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"skylarkbeam/caller"
	"skylarkbeam/claim"
	"skylarkbeam/fleet"
	"skylarkbeam/link"
	"skylarkbeam/memory"
	"skylarkbeam/route"
	"skylarkbeam/target"
	"skylarkbeam/timer"
)

// Entry is one load balancer process. Create one with Assemble.
type Entry struct {
	opts   Options
	timers *timer.Service
	log    *zap.Logger
	// callLog receives the lines about single calls, which are not recorded in the journal.
	callLog  *zap.Logger
	journal  *journal
	metrics  *Metrics
	protocol Protocol
	fleet    Fleet
	peers    *fleet.Client
	claims   *claim.Manager
	table    *route.Table
	link     *link.Pacer
	started  time.Time
	// memory bounds what bodies, heads and responses hold. collecting is set while garbage is collected for it.
	memory      *memory.Budget
	collecting  atomic.Bool
	connections *caller.Connections
	sockets     *target.Sockets
	// large makes large responses wait for each other while they are made.
	large memory.Exclusive

	snapshot atomic.Pointer[snapshot]
	// haveSettings is closed when the first snapshot is in force.
	haveSettings chan struct{}
	refreshMu    sync.Mutex

	mu        sync.Mutex
	budgets   map[string]*target.ProbeBudget
	peerPools map[string]*peerPool

	listeners     *listeners
	callerServer  *caller.Server
	controlServer *caller.Server
	extraServers  []*caller.Server

	leaving atomic.Bool
	// dispatchEnd is when a shutdown ends the dispatch of calls; nil if there is no such time.
	dispatchEnd atomic.Pointer[time.Time]
	// ending is canceled by endCalls, when a shutdown answers the calls that are still running.
	ending   context.Context
	endCalls context.CancelFunc
	// hadContact is the contact state that was last logged.
	hadContact atomic.Bool
	inflight   atomic.Int64
	// unconfirmed is the size of the requests that wait for a confirmation, in bytes.
	unconfirmed atomic.Int64
	allowances  *allowances
	// position is the position last passed to table.SetPosition.
	position  struct{ index, count int }
	loadReads loadReads
	rollouts  *rollouts
	// meanReadTime is the moving average of the duration of load reads, in nanoseconds.
	meanReadTime atomic.Int64
	// invalidLoggedAt is when a limit or pause that cannot be read was last logged, in nanoseconds since 1970.
	invalidLoggedAt atomic.Int64
	done            chan struct{}
	stopOnce        sync.Once
	tasks           sync.WaitGroup
}

// newEntry returns an entry made of the given components. It does not start anything.
func newEntry(
	opts Options, timers *timer.Service, log *zap.Logger, j *journal, metrics *Metrics, l *listeners,
	peers *fleet.Client, f Fleet, claims *claim.Manager, table *route.Table,
) *Entry {
	if opts.Protocol == nil {
		opts.Protocol = NativeProtocol{}
	}
	if opts.Memory == nil {
		opts.Memory = memory.NewBudget(memory.DeriveLimits(defaultMemory, memory.ProcessDescriptors()))
	}
	e := &Entry{
		memory:       opts.Memory,
		connections:  caller.NewConnections(opts.Memory),
		sockets:      target.NewSockets(opts.Memory.MaxTargetConnections),
		large:        memory.NewExclusive(),
		opts:         opts,
		timers:       timers,
		log:          log.With(zap.String("entry", opts.Name)),
		callLog:      opts.Logger.With(zap.String("entry", opts.Name)),
		journal:      j,
		metrics:      metrics,
		listeners:    l,
		protocol:     opts.Protocol,
		fleet:        f,
		peers:        peers,
		claims:       claims,
		table:        table,
		link:         link.New(opts.Bandwidth),
		started:      timers.Now(),
		budgets:      map[string]*target.ProbeBudget{},
		peerPools:    map[string]*peerPool{},
		allowances:   newAllowances(timers.Now()),
		done:         make(chan struct{}),
		haveSettings: make(chan struct{}),
	}
	e.ending, e.endCalls = context.WithCancel(context.Background())
	e.snapshot.Store(&snapshot{})
	table.SetLeaseFunc(f.Owns)
	table.SetRankFunc(f.Rank)
	table.SetPosition(positionByName(opts.Name))
	e.rollouts = newRollouts(e)
	e.registerGauges()
	return e
}

// Done returns a channel that is closed when the entry has stopped.
func (e *Entry) Done() <-chan struct{} { return e.done }

func (e *Entry) registerGauges() {
	e.registerMemoryGauges()
	e.metrics.RegisterGauge("skylarkbeam_calls_in_flight", func() float64 { return float64(e.inflight.Load()) })
	e.metrics.RegisterGauge("skylarkbeam_state_version", func() float64 { return float64(e.fleet.State().Version) })
	e.metrics.RegisterGauge("skylarkbeam_contact", func() float64 {
		if e.fleet.CanServe(e.timers.Now()) {
			return 1
		}
		return 0
	})
}

// handleTargetEvent logs and counts a change in the state of a target, and reports cold transitions and finished cold
// starts to the other entries.
func (e *Entry) handleTargetEvent(event route.Event) {
	switch ev := event.(type) {
	case nil:
	case route.ColdDetected:
		e.metrics.coldTransitions.Inc()
		e.log.Info("target has a new instance or became cold again; only its owner sends to it",
			zap.String("target", ev.Target), zap.String("instance", ev.Instance),
			zap.String("owner", e.fleet.Owner(ev.Target)))
		e.fleet.ReportInstance(ev.Target, ev.Instance)
		if ev.PreviousInstance != "" {
			e.fleet.ReportColdTransition(ev.Target, ev.PreviousInstance, ev.ColdTransitions)
		}
	case route.Unreachable:
		e.log.Info("target does not answer", zap.String("target", ev.Target))
	case route.Recovered:
		e.log.Info("target answers again", zap.String("target", ev.Target), zap.Duration("away", ev.Downtime))
	case route.LimitNamed:
		e.metrics.limitsNamed.Inc()
		e.log.Info("target limits the rate of its calls", zap.String("target", ev.Target), zap.Float64("rate", ev.Rate))
	case route.LimitEnded:
		e.log.Info("target no longer limits the rate of its calls", zap.String("target", ev.Target),
			zap.Duration("limited", ev.Duration))
	case route.SaysLeaving:
		e.metrics.targetsLeaving.Inc()
		e.log.Info("target says that it is leaving", zap.String("target", ev.Target))
	case route.Paused:
		e.metrics.targetPauses.Inc()
		e.log.Info("target wants a pause", zap.String("target", ev.Target), zap.Duration("pause", ev.Pause))
	case route.InvalidStatement:
		e.metrics.invalidLimits.Inc()
		e.logInvalidStatement(ev)
	case route.Warmed:
		e.metrics.targetsWarmed.Inc()
		e.log.Info("target has finished its cold start; all entries may send to it",
			zap.String("target", ev.Target), zap.String("instance", ev.Instance))
		e.fleet.AnnounceWarm(ev.Target, ev.Instance, ev.ColdTransitions)
	}
}

// invalidLogInterval is the minimum time between two log lines about limits and pauses that cannot be read. A target that
// names one does so in each response.
const invalidLogInterval = 10 * time.Second

func (e *Entry) logInvalidStatement(ev route.InvalidStatement) {
	now := e.timers.Now().UnixNano()
	last := e.invalidLoggedAt.Load()
	if last != 0 && now-last < int64(invalidLogInterval) || !e.invalidLoggedAt.CompareAndSwap(last, now) {
		return
	}
	e.log.Warn("ignoring a limit or pause of a target that cannot be read", zap.String("target", ev.Target),
		zap.String("value", ev.Text))
}

// onInstanceSeen is called when another entry has seen an instance of a target that this entry owns.
func (e *Entry) onInstanceSeen(name, instance string) {
	e.table.ObserveInstance(e.timers.Now(), name, instance)
}
