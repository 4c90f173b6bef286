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

// callbacks breaks the cycle between the fleet, which reports sightings and warm targets, and the entry, which acts on
// them. The entry is set before the first call arrives.
type callbacks struct {
	ready chan struct{}
	entry *Entry
}

func newCallbacks() *callbacks {
	return &callbacks{
		ready: make(chan struct{}),
	}
}

func (c *callbacks) seen(target, instance string) {
	<-c.ready
	c.entry.sighted(target, instance)
}

func (c *callbacks) warmed(target, instance string, falls int) {
	<-c.ready
	c.entry.table.SetWarm(c.entry.timers.Now(), target, instance, falls)
}

func (c *callbacks) fell(target, instance string, falls int) {
	<-c.ready
	c.entry.table.SetColdTransitions(c.entry.timers.Now(), target, instance, falls)
}

func newJournal() *journal {
	return &journal{}
}

// newLogger returns a logger whose lines also go to the journal.
func newLogger(opts Options, j *journal) *zap.Logger {
	return zap.New(zapcore.NewTee(opts.Logger.Core(), newJournalCore(j)))
}

// use is empty until the entry is assembled, because the fleet does not wait for it.
func (c *callbacks) use() map[string]map[string]float64 {
	select {
	case <-c.ready:
		return c.entry.use()
	default:
		return nil
	}
}

func newPeers(counters *Metrics) *fleet.Client {
	return fleet.NewClient(counters.set)
}

func newFleet(opts Options, timers *timer.Service, log *zap.Logger, counters *Metrics, l *listeners, peers *fleet.Client, c *callbacks) Fleet {
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
			Metrics:        counters.set,
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
		ValidateSettings:    checkSettings,
		Transport:           peers,
		Seeds:               opts.Seeds,
		ServeWithoutContact: opts.ServeWithoutContact,
		OnInstanceSeen:      c.seen,
		OnWarm:              c.warmed,
		OnColdTransition:    c.fell,
		Usage:               c.use,
		Metrics:             counters.set,
		Logger:              log,
	})
}

// newLedger returns nil if there is no platform on which claims could be kept.
func newLedger(opts Options, timers *timer.Service) *claim.Manager {
	if opts.Platform == nil {
		return nil
	}
	return claim.Open(claim.Options{
		Table:       opts.Platform,
		Entry:       opts.Name,
		Incarnation: hex.EncodeToString(random()),
		Timers:      timers,
	})
}

func newTable(opts Options, timers *timer.Service) *route.Table {
	return route.New(route.Options{
		Domain:  opts.Domain,
		Started: timers.Now(),
		Seed:    binary.BigEndian.Uint64(random()),
	})
}

func random() []byte {
	b := make([]byte, 8)
	// Read never fails, see crypto/rand.
	rand.Read(b)
	return b
}

// connect finishes the assembly: from here on the fleet's callbacks reach the entry.
func connect(opts Options, timers *timer.Service, log *zap.Logger, j *journal, counters *Metrics, l *listeners, peers *fleet.Client, f Fleet, ledger *claim.Manager, table *route.Table, c *callbacks) *Entry {
	c.entry = newEntry(opts, timers, log, j, counters, l, peers, f, ledger, table)
	close(c.ready)
	return c.entry
}
