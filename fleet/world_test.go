package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"skylarkbeam/simulation"
	"skylarkbeam/store"
	"skylarkbeam/timer"
)

// world is a fleet in memory whose network, processes and platform fail on demand. It runs in a synctest bubble.
type world struct {
	memory *store.Memory
	timers *timer.Service
	limits limits
	// unchecked removes the checks from all writes.
	unchecked atomic.Bool
	// fetches counts snapshots sent to peers.
	fetches   atomic.Int64
	slowFetch atomic.Int64

	mu    sync.Mutex
	nodes map[string]*node
	hosts map[netip.AddrPort]*node
	port  uint16
}

// node is one process. It implements store.Platform and Peers for its Fleet.
type node struct {
	*store.Memory
	w       *world
	name    string
	fleet   *Fleet
	control netip.AddrPort

	mu      sync.Mutex
	gate    chan struct{} // closed while the process runs
	noTable bool
	side    int // processes on different sides of a partition do not reach each other
	// late and slowPeers are how long answers of the table and of peers are under way.
	late      atomic.Int64
	slowPeers atomic.Int64
	// missing makes the object store say that it has no settings.
	missing atomic.Bool
	dead    bool
	seen    []string
}

func simulate(t *testing.T, l limits, names string, run func(t *testing.T, w *world)) {
	simulation.Run(t, func(t *testing.T) {
		w := newWorld(l)
		defer w.close()
		for _, name := range names {
			w.start(string(name), false)
		}
		time.Sleep(12 * time.Second)
		run(t, w)
	})
}

func newWorld(l limits) *world {
	timers := timer.New()
	return &world{
		memory: store.NewMemory(timers),
		timers: timers,
		limits: l,
		nodes:  map[string]*node{},
		hosts:  map[netip.AddrPort]*node{},
	}
}

// start starts a process under a name, at the former address or at a new one. A former process lives on if it was not
// killed.
func (w *world) start(name string, moved bool) *node {
	w.mu.Lock()
	former := w.nodes[name]
	n := &node{
		Memory: w.memory,
		w:      w,
		name:   name,
		gate:   make(chan struct{}),
	}
	close(n.gate)
	if former != nil && !moved {
		n.control = former.control
	} else {
		w.port++
		n.control = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(w.port)}), w.port)
	}
	w.nodes[name], w.hosts[n.control] = n, n
	var seeds []netip.AddrPort
	for control := range w.hosts {
		seeds = append(seeds, control)
	}
	w.mu.Unlock()
	fleet := open(Options{
		Platform:         n,
		Timers:           w.timers,
		Name:             name,
		Domain:           "cairns",
		Caller:           n.control,
		Control:          n.control,
		Transport:        n,
		Seeds:            seeds,
		OnInstanceSeen:   n.see,
		OnColdTransition: func(target, instance string, falls int) { n.see(target, fmt.Sprint(instance, " fell ", falls)) },
	}, w.limits)
	n.mu.Lock()
	n.fleet = fleet
	n.mu.Unlock()
	return n
}

func (w *world) close() {
	for _, n := range w.hosts {
		n.wake()
		n.kill()
	}
	// Simulated time stops with the test, and with it all that is still under way.
	time.Sleep(10 * time.Second)
}

// each calls a function for each process that runs, in the order of their names.
func (w *world) each(do func(n *node)) {
	hosts := slices.SortedFunc(func(yield func(*node) bool) {
		for _, n := range w.hosts {
			if !yield(n) {
				return
			}
		}
	}, func(a, b *node) int { return a.control.Compare(b.control) })
	for _, n := range hosts {
		if !n.dead && !n.paused() {
			do(n)
		}
	}
}

func (n *node) see(target, instance string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seen = append(n.seen, target+"="+instance)
}

func (n *node) kill() {
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.fleet.stop()
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.pausedLocked() {
		n.gate = make(chan struct{})
	}
}

func (n *node) wake() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pausedLocked() {
		close(n.gate)
	}
}

func (n *node) paused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pausedLocked()
}

func (n *node) pausedLocked() bool {
	select {
	case <-n.gate:
		return false
	default:
		return true
	}
}

// cut partitions the process from the table, and from the processes on other sides.
func (n *node) cut(table bool, side int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noTable, n.side = table, side
}

// end notes that the process has ended by itself.
func (n *node) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
}

// alone is a side that no other process is on.
func (n *node) alone() int { return int(n.control.Port()) }

// running blocks while the process is paused; its own deadlines do not help a paused process.
func (n *node) running() {
	n.mu.Lock()
	gate := n.gate
	n.mu.Unlock()
	<-gate
}

// reach blocks until the deadline if the table is cut off, as a partition does.
func (n *node) reach(ctx context.Context) error {
	n.running()
	n.mu.Lock()
	cut := n.noTable
	n.mu.Unlock()
	if !cut {
		return nil
	}
	<-ctx.Done()
	n.running()
	return ctx.Err()
}

func (n *node) Get(ctx context.Context, keys []string) (map[string]store.Row, error) {
	defer n.running()
	if err := n.reach(ctx); err != nil {
		return nil, err
	}
	rows, err := n.Memory.Get(ctx, keys)
	time.Sleep(time.Duration(n.late.Load()))
	return rows, err
}

func (n *node) Objects() store.ObjectStore {
	if n.missing.Load() {
		return empty{}
	}
	return n.Memory.Objects()
}

// empty is an object store without objects.
type empty struct{ store.ObjectStore }

func (empty) Get(context.Context, string) ([]byte, error) {
	return nil, &store.Error{
		Kind: store.NotFound,
		Err:  errors.New("no such object"),
	}
}

func (n *node) Scan(ctx context.Context, prefix string) ([]store.Row, error) {
	defer n.running()
	if err := n.reach(ctx); err != nil {
		return nil, err
	}
	return n.Memory.Scan(ctx, prefix)
}

func (n *node) Commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	defer n.running()
	if err := n.reach(ctx); err != nil {
		return nil, err
	}
	if n.w.unchecked.Load() {
		tx.Checks = nil
	}
	return n.Memory.Commit(ctx, tx)
}

// connect finds the process at an address. It fails at once if none listens there and blocks until the deadline if it
// is partitioned or paused.
func (n *node) connect(ctx context.Context, to netip.AddrPort) (*node, error) {
	n.running()
	n.w.mu.Lock()
	peer := n.w.hosts[to]
	n.w.mu.Unlock()
	if peer == nil {
		return nil, errors.New("connection refused")
	}
	peer.mu.Lock()
	gate, dead, side := peer.gate, peer.dead, peer.side
	ready := peer.fleet != nil
	peer.mu.Unlock()
	n.mu.Lock()
	cut := side != n.side
	n.mu.Unlock()
	if dead || !ready {
		return nil, errors.New("connection refused")
	}
	if cut {
		gate = nil
	}
	select {
	case <-gate:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return peer, nil
}

func (n *node) Send(ctx context.Context, to netip.AddrPort, message *Message) (*Message, error) {
	defer n.running()
	peer, err := n.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	answer := make(chan *Message, 1)
	go func() {
		if reply, err := peer.fleet.Receive(ctx, message); err == nil {
			answer <- reply
		}
	}()
	// The peer may be paused while it handles the message.
	select {
	case reply := <-answer:
		time.Sleep(time.Duration(n.slowPeers.Load()))
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *node) FetchSnapshot(ctx context.Context, to netip.AddrPort, object string, warm bool) (*Snapshot, error) {
	defer n.running()
	peer, err := n.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	n.w.fetches.Add(1)
	time.Sleep(time.Duration(n.w.slowFetch.Load()))
	return peer.fleet.Snapshot(object, warm), nil
}

func (n *node) contact() bool { return n.fleet.CanServe(n.w.timers.Now()) }

func (n *node) owns(target string) bool {
	_, ok := n.fleet.Owns(n.w.timers.Now(), target)
	return ok
}

// owned returns a target that this process owns.
func (n *node) owned() string { return targets(50)[slices.IndexFunc(targets(50), n.owns)] }

// drain drains a failure domain through this process.
func (n *node) drain(id string, base uint64) Decision {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	return n.fleet.Drain(ctx, Change{
		ID:          id,
		BaseVersion: base,
		Who:         "operator " + n.name,
	}, []string{id}, nil)
}

func (n *node) drained(domain string) bool {
	return slices.Contains(n.fleet.State().DrainedDomains, domain)
}

func accepted(t *testing.T, d Decision) *Accepted {
	t.Helper()
	a, ok := d.(*Accepted)
	assert.Assert(t, ok, "have %T %+v", d, d)
	return a
}

func (w *world) lose(point store.LossPoint, late time.Duration) {
	w.faults(store.Faults{
		LostCommits: store.CommitLoss{
			Count: 1,
			Point: point,
			Delay: late,
		},
	})
}

func (w *world) down(down bool) {
	w.faults(store.Faults{
		Unavailable: down,
	})
}

func (w *world) faults(f store.Faults) {
	if err := w.memory.SetFaults(f); err != nil {
		panic(err)
	}
}

func targets(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("target-%d", i)
	}
	return names
}

// roster returns the roster that a process knows.
func (n *node) roster() Roster { return n.fleet.Snapshot("", false).Roster }
