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
	// claimExpiry is how long a key is remembered, and how long an unknown outcome blocks it.
	claimExpiry = 24 * time.Hour
	// expiryMargin is the time between Claim.DispatchDeadline and the expiry of the row. It allows for clock skew
	// between this process and the platform.
	expiryMargin = time.Hour
	// acquireTimeout bounds the wait of a call, and the duration of one transaction including its read-backs.
	acquireTimeout = 250 * time.Millisecond
	// outageProbeInterval is the interval of reads from a table that is down.
	outageProbeInterval = 250 * time.Millisecond
	// closeTimeout bounds the time that Close allows for queued writes.
	closeTimeout = 2 * time.Second
	// retryAfter is one second because the Retry-After header has a resolution of one second.
	retryAfter = time.Second
)

// Options configures a Manager.
type Options struct {
	Table store.Table
	// Entry is the name of the entry. Incarnation must be unique for each start of its process.
	Entry       string
	Incarnation string
	Timers      *timer.Service
	// Log, if not nil, receives a message when the table goes down or recovers.
	Log *zap.Logger

	disabled mechanisms
}

// mechanisms selects mechanisms that tests disable to show which failure each of them prevents.
type mechanisms struct {
	versionChecks bool          // do not check the versions of claims
	readBack      bool          // treat a lost response as not committed
	fence         bool          // treat a group that a read-back does not show as never committed
	refusal       bool          // queue calls while the table is down
	grouping      bool          // commit each write in its own transaction, without waiting for the interval
	expiry        time.Duration // of claims; claimExpiry if zero
}

// Manager acquires claims for one entry. It is safe for concurrent use.
type Manager struct {
	options  Options
	groupKey string
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	wake     chan struct{}
	pacer    pacer

	mu           sync.Mutex
	queue        []*write
	keys         map[string]keyState
	lastSequence uint64 // of the last nonce
	down         bool
	closing      bool

	// Used only by the run goroutine.
	groupVersion uint64 // of the group row; 0 until it has been written
	pending      *group // the group whose effect is unknown
}

// phase is the state of a key that a manager holds or tries to acquire.
type phase int

const (
	phaseAcquiring phase = iota
	phaseGranted
	phaseFinishing
	phaseReleasing
	// phaseUnknown is the phase of a key whose call was refused while its row may be in the table.
	phaseUnknown
)

// keyState is what a manager knows about a key that it holds or tries to acquire.
type keyState struct {
	row   claimRow
	phase phase
}

// Open returns a running Manager. Close stops it.
func Open(options Options) *Manager {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	if options.disabled.expiry == 0 {
		options.disabled.expiry = claimExpiry
	}
	m := &Manager{
		options:  options,
		groupKey: groupPrefix + options.Entry + "/" + options.Incarnation,
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		wake:     make(chan struct{}, 1),
		keys:     map[string]keyState{},
		pacer: pacer{
			interval: minTransactionInterval,
		},
	}
	go m.run()
	return m
}

// Close stops the manager. Calls of Acquire are refused from now on, and queued writes are committed within 2 s if the
// table allows. Done reports when that has ended. Claims that are still held then stay in the table until they expire.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closing = true
	m.refuseQueuedLocked()
	m.mu.Unlock()
	m.stopOnce.Do(func() { close(m.stop) })
}

// Done returns a channel that is closed when the manager has stopped.
func (m *Manager) Done() <-chan struct{} { return m.done }

// Acquire claims a key for the request with the given digest. It waits at most 250 ms. After that, or when ctx ends,
// the decision is Unavailable.
func (m *Manager) Acquire(ctx context.Context, key, digest string) Decision {
	d := m.acquire(ctx, key, digest)
	countDecision(d)
	return d
}

func (m *Manager) acquire(ctx context.Context, key, digest string) Decision {
	w, d := m.enqueue(key, digest)
	if d != nil {
		return d
	}
	if !m.options.disabled.refusal {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, acquireTimeout)
		defer cancel()
	}
	select {
	case d := <-w.decision:
		return d
	case <-ctx.Done():
		m.mu.Lock()
		defer m.mu.Unlock()
		m.giveUpLocked(w)
		return <-w.decision
	}
}

// enqueue returns a queued write, or the decision if it is already known.
func (m *Manager) enqueue(key, digest string) (*write, Decision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k, ok := m.keys[key]; ok {
		switch {
		case k.phase == phaseReleasing || k.phase == phaseUnknown:
			return nil, unavailable()
		default:
			return nil, k.row.decide(digest)
		}
	}
	if m.closing || m.down && !m.options.disabled.refusal {
		return nil, unavailable()
	}
	m.lastSequence++
	w := &write{
		key:      key,
		decision: make(chan Decision, 1),
		row: &claimRow{
			Digest:      digest,
			Entry:       m.options.Entry,
			Incarnation: m.options.Incarnation,
			Nonce:       fmt.Sprintf("%s.%d", m.options.Incarnation, m.lastSequence),
			State:       stateClaimed,
		},
	}
	m.keys[key] = keyState{
		row: *w.row,
	}
	m.enqueueLocked(w)
	return w, nil
}

// giveUpLocked refuses a call that does not wait any longer. If its claim may still reach the table, it is released as
// soon as its state is known. The caller must hold m.mu.
func (m *Manager) giveUpLocked(w *write) {
	if w.decided {
		return
	}
	w.decide(unavailable())
	if i := slices.Index(m.queue, w); i >= 0 {
		m.queue = slices.Delete(m.queue, i, i+1)
		delete(m.keys, w.key)
		return
	}
	m.keys[w.key] = keyState{
		row:   *w.row,
		phase: phaseUnknown,
	}
}

// enqueueFinal queues the last write of a claim. A nil row deletes the claim.
func (m *Manager) enqueueFinal(c *Claim, k keyState, final *claimRow) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keys[c.key] = k
	m.enqueueLocked(&write{
		key:     c.key,
		version: c.version,
		row:     final,
	})
}

// forget removes a key that this manager no longer holds.
func (m *Manager) forget(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.keys, key)
}

// enqueueLocked queues a write and wakes the run goroutine. The caller must hold m.mu.
func (m *Manager) enqueueLocked(w *write) {
	m.queue = append(m.queue, w)
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// refuseQueued refuses all calls whose claims are still queued.
func (m *Manager) refuseQueued() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refuseQueuedLocked()
}

// refuseQueuedLocked is refuseQueued for callers that hold m.mu.
func (m *Manager) refuseQueuedLocked() {
	m.queue = slices.DeleteFunc(m.queue, func(w *write) bool {
		if !w.isAcquisition() {
			return false
		}
		w.decide(unavailable())
		delete(m.keys, w.key)
		return true
	})
}

func unavailable() *Unavailable {
	return &Unavailable{
		RetryAfter: retryAfter,
	}
}
