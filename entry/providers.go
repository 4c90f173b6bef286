package entry

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"skylarkbeam/claim"
	"skylarkbeam/fleet"
	"skylarkbeam/route"
	"skylarkbeam/timer"
)

// callbacks breaks the dependency cycle between the fleet, which reports instances and warm targets, and the entry,
// which handles these reports. entry is set before ready is closed.
type callbacks struct {
	ready chan struct{}
	entry *Entry
}

func newCallbacks() *callbacks {
	return &callbacks{
		ready: make(chan struct{}),
	}
}

func (c *callbacks) onInstanceSeen(target, instance string) {
	<-c.ready
	c.entry.onInstanceSeen(target, instance)
}

func (c *callbacks) onWarm(target, instance string, coldTransitions int) {
	<-c.ready
	c.entry.table.SetWarm(c.entry.timers.Now(), target, instance, coldTransitions)
}

func (c *callbacks) onColdTransition(target, instance string, coldTransitions int) {
	<-c.ready
	c.entry.table.SetColdTransitions(c.entry.timers.Now(), target, instance, coldTransitions)
}

// usage returns nil until the entry is assembled. It does not block, because the fleet does not wait for the entry.
func (c *callbacks) usage() map[string]map[string]float64 {
	select {
	case <-c.ready:
		return c.entry.usage()
	default:
		return nil
	}
}

func newJournal() *journal {
	return &journal{}
}

// newLogger returns a logger that also records its lines in the journal.
func newLogger(opts Options, j *journal) *zap.Logger {
	return zap.New(zapcore.NewTee(opts.Logger.Core(), newJournalCore(j)))
}

func newPeerClient(metrics *Metrics) *fleet.Client {
	return fleet.NewClient(metrics.set)
}

func newFleet(
	opts Options, timers *timer.Service, log *zap.Logger, metrics *Metrics, l *listeners, peers *fleet.Client,
	c *callbacks,
) Fleet {
	control := opts.AdvertiseAddress
	if !control.IsValid() {
		control = addressOf(l.control)
	}
	if opts.NewFleet != nil {
		return opts.NewFleet(FleetOptions{
			Timers:         timers,
			PeerClient:     peers,
			CallerAddress:  addressOf(l.caller),
			ControlAddress: control,
			Metrics:        metrics.set,
			Logger:         log.With(zap.String("entry", opts.Name)),
		})
	}
	return fleet.Open(fleet.Options{
		Platform:            opts.Platform,
		Timers:              timers,
		Name:                opts.Name,
		Domain:              opts.Domain,
		Caller:              addressOf(l.caller),
		Control:             control,
		ValidateSettings:    validateSettings,
		Transport:           peers,
		Seeds:               opts.Seeds,
		ServeWithoutContact: opts.ServeWithoutContact,
		OnInstanceSeen:      c.onInstanceSeen,
		OnWarm:              c.onWarm,
		OnColdTransition:    c.onColdTransition,
		Usage:               c.usage,
		Metrics:             metrics.set,
		Logger:              log,
	})
}

// newClaimManager returns nil if there is no platform to store claims on.
func newClaimManager(opts Options, timers *timer.Service) *claim.Manager {
	if opts.Platform == nil {
		return nil
	}
	return claim.Open(claim.Options{
		Table:       opts.Platform,
		Entry:       opts.Name,
		Incarnation: hex.EncodeToString(randomBytes()),
		Timers:      timers,
	})
}

func newTable(opts Options, timers *timer.Service) *route.Table {
	return route.New(route.Options{
		Domain:  opts.Domain,
		Started: timers.Now(),
		Seed:    binary.BigEndian.Uint64(randomBytes()),
	})
}

func randomBytes() []byte {
	b := make([]byte, 8)
	// crypto/rand.Read never returns an error.
	rand.Read(b)
	return b
}

// assemble creates the entry and lets the fleet's callbacks reach it.
func assemble(
	opts Options, timers *timer.Service, log *zap.Logger, j *journal, metrics *Metrics, l *listeners,
	peers *fleet.Client, f Fleet, claims *claim.Manager, table *route.Table, c *callbacks,
) *Entry {
	c.entry = newEntry(opts, timers, log, j, metrics, l, peers, f, claims, table)
	close(c.ready)
	return c.entry
}
