package claim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"skylarkbeam/store"
	"skylarkbeam/timer"
)

const (
	// expiry is how long a key is remembered, and how long an unknown outcome blocks it.
	expiry = 24 * time.Hour
	// expiryMargin is kept between Claim.Until and the expiry of the row, for the difference of the clocks of this
	// process and of the platform.
	expiryMargin = time.Hour
	// waitLimit bounds the wait of a call, and the time of one transaction with its read-backs.
	waitLimit = 250 * time.Millisecond
	// probeInterval is how often a ledger reads from a table that is down.
	probeInterval = 250 * time.Millisecond
	// closeLimit bounds the time that Close leaves for writing what is queued.
	closeLimit = 2 * time.Second
	// retryAfter is a whole second because that is the unit of the header Retry-After.
	retryAfter = time.Second
)

// Options has what a Ledger needs.
type Options struct {
	Table store.Table
	// Entry is the name of the entry, Incarnation is unique for each start of its process.
	Entry       string
	Incarnation string
	Timers      *timer.Service
	// Log is told when the table goes down or comes back; nil for no log.
	Log *zap.Logger

	disabled mechanisms
}

// mechanisms names what tests switch off to show the fault that each of them prevents.
type mechanisms struct {
	check    bool // versions of claims are not checked
	readBack bool // a lost answer counts as not committed
	fence    bool // a group that a read-back does not show counts as never committed
	refuse   bool // calls queue while the table is down
	group    bool // each write has a transaction of its own, which does not wait for its turn
	expiry   time.Duration
}

// Manager takes claims for one entry. It is safe for concurrent use.
type Manager struct {
	options  Options
	groupKey string
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	wake     chan struct{}
	pace     pace

	mu       sync.Mutex
	queue    []*write
	held     map[string]holding
	sequence uint64 // of the last nonce
	down     bool
	closing  bool

	// Used by the goroutine of run only.
	version uint64 // of the group row; 0 before it was written
	pending *group // the group whose effect is unknown
}

// phase is what a ledger knows about a key that it holds or tries to get.
type phase int

const (
	phaseTaking phase = iota
	phaseGranted
	phaseFinishing
	phaseReleasing
	// phaseUnknown is the phase of a key whose call was refused while its row may be in the table.
	phaseUnknown
)

type holding struct {
	row   row
	phase phase
}

// Open returns a running Ledger. Close ends it.
func Open(o Options) *Manager {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.disabled.expiry == 0 {
		o.disabled.expiry = expiry
	}
	l := &Manager{
		options:  o,
		groupKey: groupPrefix + o.Entry + "/" + o.Incarnation,
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		wake:     make(chan struct{}, 1),
		held:     map[string]holding{},
		pace: pace{
			spacing: minSpacing,
		},
	}
	go l.run()
	return l
}

// Close ends the ledger: Take is refused from now on, and what is queued is written within 2 s if the table allows.
// Done tells when that has ended. Claims that are still held then
// stay in the table until they expire.
func (l *Manager) Close() {
	l.mu.Lock()
	l.closing = true
	l.refuseQueued()
	l.mu.Unlock()
	l.stopOnce.Do(func() { close(l.stop) })
}

// Done is closed when nothing of the ledger runs any more.
func (l *Manager) Done() <-chan struct{} { return l.done }

// Acquire claims a key for a request with this digest. It waits for at most 250 ms; after that, or when ctx ends, the
// decision is Unavailable.
func (l *Manager) Acquire(ctx context.Context, key, digest string) Decision {
	d := l.take(ctx, key, digest)
	count(d)
	return d
}

func (l *Manager) take(ctx context.Context, key, digest string) Decision {
	w, d := l.enqueue(key, digest)
	if d != nil {
		return d
	}
	if !l.options.disabled.refuse {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, waitLimit)
		defer cancel()
	}
	select {
	case d := <-w.answer:
		return d
	case <-ctx.Done():
		l.mu.Lock()
		defer l.mu.Unlock()
		l.giveUp(w)
		return <-w.answer
	}
}

// enqueue returns a queued write, or the decision if the ledger knows it already.
func (l *Manager) enqueue(key, digest string) (*write, Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.held[key]; ok {
		switch {
		case h.phase == phaseReleasing || h.phase == phaseUnknown:
			return nil, unavailable()
		default:
			return nil, h.row.decide(digest)
		}
	}
	if l.closing || l.down && !l.options.disabled.refuse {
		return nil, unavailable()
	}
	l.sequence++
	w := &write{
		key:    key,
		answer: make(chan Decision, 1),
		row: &row{
			Digest:      digest,
			Entry:       l.options.Entry,
			Incarnation: l.options.Incarnation,
			Nonce:       fmt.Sprintf("%s.%d", l.options.Incarnation, l.sequence),
			State:       stateClaimed,
		},
	}
	l.held[key] = holding{
		row: *w.row,
	}
	l.push(w)
	return w, nil
}

// giveUp answers a call that is not going to wait any longer. If its claim is on the way to the table, it is released
// as soon as its fate is known.
func (l *Manager) giveUp(w *write) {
	if w.answered {
		return
	}
	w.reply(unavailable())
	if i := slices.Index(l.queue, w); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
		delete(l.held, w.key)
		return
	}
	l.held[w.key] = holding{
		row:   *w.row,
		phase: phaseUnknown,
	}
}

// end queues the last write of a claim; a nil row deletes it.
func (l *Manager) end(c *Claim, h holding, last *row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[c.key] = h
	l.push(&write{
		key:     c.key,
		version: c.version,
		row:     last,
	})
}

func (l *Manager) forget(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, key)
}

func (l *Manager) push(w *write) {
	l.queue = append(l.queue, w)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Manager) refuseAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuseQueued()
}

// refuseQueued answers all calls whose claims are still in the queue.
func (l *Manager) refuseQueued() {
	l.queue = slices.DeleteFunc(l.queue, func(w *write) bool {
		if !w.isTake() {
			return false
		}
		w.reply(unavailable())
		delete(l.held, w.key)
		return true
	})
}

func unavailable() *Unavailable {
	return &Unavailable{
		RetryAfter: retryAfter,
	}
}
