// Package entry is the process on an entry VM: it takes calls from callers, sends them to targets and returns whole
// answers.
//
// An Entry puts the other packages together. For each call it asks in this order: whether the entry may send new work
// (fleet), whether the caller's call goes next (share), whether a non-idempotent call may run (claim), which target gets
// it (route), and what became of it (target). Each refusal and each retry is counted by its reason.
//
// # Usage
//
//	e, err := entry.Assemble(entry.Options{
//		Name:     "entry1",
//		Domain:   "cairns",
//		Caller:   netip.MustParseAddrPort("10.0.0.1:80"),
//		Control:  netip.MustParseAddrPort("10.0.0.1:81"),
//		Platform: client,
//		Logger:   logger,
//	})
//	if err != nil {
//		return err
//	}
//	e.Start()
//	<-ctx.Done()
//	e.Shutdown(context.Background())
package entry

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"skylarkbeam/caller"
	"skylarkbeam/claim"
	"skylarkbeam/fleet"
	"skylarkbeam/link"
	"skylarkbeam/route"
	"skylarkbeam/target"
	"skylarkbeam/timer"
)

// Entry is one entry process. Assemble returns a new one.
type Entry struct {
	opts   Options
	timers *timer.Service
	log    *zap.Logger
	// calls is for lines about single calls, which the journal of changes of state does not keep.
	calls    *zap.Logger
	journal  *journal
	counters *Metrics
	protocol Protocol
	fleet    Fleet
	peers    *fleet.Client
	ledger   *claim.Manager
	table    *route.Table
	link     *link.Pacer
	started  time.Time

	view       atomic.Pointer[view]
	refreshing sync.Mutex

	mu      sync.Mutex
	budgets map[string]*target.ProbeBudget
	relays  map[string]*relay

	listeners     *listeners
	callerServer  *caller.Server
	controlServer *http.Server
	extraServers  []*http.Server

	leaving atomic.Bool
	// hadContact is what watchContact saw last.
	hadContact atomic.Bool
	inflight   atomic.Int64
	// position is what findPosition told the table last.
	position struct{ index, count int }
	// readTime is the average time of load reads in nanoseconds.
	readTime atomic.Int64
	done     chan struct{}
	stopOnce sync.Once
	tasks    sync.WaitGroup
}

// newEntry puts an entry together from its parts.
func newEntry(opts Options, timers *timer.Service, log *zap.Logger, j *journal, counters *Metrics, l *listeners, peers *fleet.Client, f Fleet, ledger *claim.Manager, table *route.Table) *Entry {
	if opts.Protocol == nil {
		opts.Protocol = NativeProtocol{}
	}
	e := &Entry{
		opts:      opts,
		timers:    timers,
		log:       log.With(zap.String("entry", opts.Name)),
		calls:     opts.Logger.With(zap.String("entry", opts.Name)),
		journal:   j,
		counters:  counters,
		listeners: l,
		protocol:  opts.Protocol,
		fleet:     f,
		peers:     peers,
		ledger:    ledger,
		table:     table,
		link:      link.New(opts.Bandwidth),
		started:   timers.Now(),
		budgets:   map[string]*target.ProbeBudget{},
		relays:    map[string]*relay{},
		done:      make(chan struct{}),
	}
	e.view.Store(&view{})
	table.SetLeaseFunc(f.Owns)
	e.gauges()
	return e
}

// Done is closed when the entry has stopped.
func (e *Entry) Done() <-chan struct{} { return e.done }

// gauges registers the values that are computed when the metrics are read.
func (e *Entry) gauges() {
	e.counters.RegisterGauge("skylarkbeam_calls_in_flight", func() float64 { return float64(e.inflight.Load()) })
	e.counters.RegisterGauge("skylarkbeam_state_version", func() float64 { return float64(e.fleet.State().Version) })
	e.counters.RegisterGauge("skylarkbeam_contact", func() float64 {
		if e.fleet.CanServe(e.timers.Now()) {
			return 1
		}
		return 0
	})
}

// notify passes a change of a target's phase on to the other entries.
func (e *Entry) notify(event route.Event) {
	switch ev := event.(type) {
	case nil:
	case route.ColdDetected:
		e.counters.falls.Inc()
		e.log.Info("target has a new instance or has fallen, and is cold; only its owner sends to it",
			zap.String("target", ev.Target), zap.String("instance", ev.Instance), zap.String("owner", e.fleet.Owner(ev.Target)))
		e.fleet.ReportInstance(ev.Target, ev.Instance)
		if ev.PreviousInstance != "" {
			e.fleet.ReportColdTransition(ev.Target, ev.PreviousInstance, ev.ColdTransitions)
		}
	case route.Unreachable:
		e.log.Info("target does not answer", zap.String("target", ev.Target))
	case route.Recovered:
		e.log.Info("target answers again", zap.String("target", ev.Target), zap.Duration("away", ev.Downtime))
	case route.Warmed:
		e.counters.warmed.Inc()
		e.log.Info("target has finished its cold start; all entries may send to it",
			zap.String("target", ev.Target), zap.String("instance", ev.Instance))
		e.fleet.AnnounceWarm(ev.Target, ev.Instance, ev.ColdTransitions)
	}
}

// sighted is called when another entry has seen an instance of a target that this entry owns.
func (e *Entry) sighted(name, instance string) {
	e.table.ObserveInstance(e.timers.Now(), name, instance)
}
