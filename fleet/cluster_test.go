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

// cluster is a fleet in memory with faults of the network, the processes and the platform on demand. It runs in a
// synctest bubble.
type cluster struct {
	memory   *store.Memory
	timers   *timer.Service
	protocol protocolOptions
	// unchecked removes the checks from all writes.
	unchecked atomic.Bool
	// fetches counts the snapshot requests to peers.
	fetches    atomic.Int64
	fetchDelay atomic.Int64

	mu        sync.Mutex
	nodes     map[string]*node
	byAddress map[netip.AddrPort]*node
	port      uint16
}

// node is one process. It implements store.Platform and Transport for its Fleet.
type node struct {
	*store.Memory
	cl      *cluster
	name    string
	fleet   *Fleet
	control netip.AddrPort

	mu        sync.Mutex
	resumed   chan struct{} // closed while the process is not suspended
	tableCut  bool
	partition int // processes in different partitions cannot reach each other
	// tableDelay and peerDelay delay the responses of the table and of peers.
	tableDelay atomic.Int64
	peerDelay  atomic.Int64
	// settingsMissing makes the object store report that the settings do not exist.
	settingsMissing atomic.Bool
	ended           bool
	events          []string
}

func simulate(t *testing.T, options protocolOptions, names string, run func(t *testing.T, cl *cluster)) {
	simulation.Run(t, func(t *testing.T) {
		cl := newCluster(options)
		defer cl.close()
		for _, name := range names {
			cl.start(string(name), false)
		}
		time.Sleep(12 * time.Second)
		run(t, cl)
	})
}

func newCluster(options protocolOptions) *cluster {
	timers := timer.New()
	return &cluster{
		memory:    store.NewMemory(timers),
		timers:    timers,
		protocol:  options,
		nodes:     map[string]*node{},
		byAddress: map[netip.AddrPort]*node{},
	}
}

// start starts a process with a name, at the former address or at a new one. A former process with that name keeps
// running unless it was killed.
func (cl *cluster) start(name string, moved bool) *node {
	cl.mu.Lock()
	former := cl.nodes[name]
	n := &node{
		Memory:  cl.memory,
		cl:      cl,
		name:    name,
		resumed: make(chan struct{}),
	}
	close(n.resumed)
	if former != nil && !moved {
		n.control = former.control
	} else {
		cl.port++
		n.control = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(cl.port)}), cl.port)
	}
	cl.nodes[name], cl.byAddress[n.control] = n, n
	var seeds []netip.AddrPort
	for control := range cl.byAddress {
		seeds = append(seeds, control)
	}
	cl.mu.Unlock()
	fleet := open(Options{
		Platform:       n,
		Timers:         cl.timers,
		Name:           name,
		Domain:         "cairns",
		Caller:         n.control,
		Control:        n.control,
		Transport:      n,
		Seeds:          seeds,
		OnInstanceSeen: n.recordEvent,
		OnColdTransition: func(target, instance string, transitions int) {
			n.recordEvent(target, fmt.Sprint(instance, " cold transition ", transitions))
		},
	}, cl.protocol)
	n.mu.Lock()
	n.fleet = fleet
	n.mu.Unlock()
	return n
}

func (cl *cluster) close() {
	for _, n := range cl.byAddress {
		n.resume()
		n.kill()
	}
	// Simulated time stops with the test, so everything in flight must end before.
	time.Sleep(10 * time.Second)
}

// each calls a function for each process that runs, in the order of the addresses.
func (cl *cluster) each(do func(n *node)) {
	nodes := slices.SortedFunc(func(yield func(*node) bool) {
		for _, n := range cl.byAddress {
			if !yield(n) {
				return
			}
		}
	}, func(a, b *node) int { return a.control.Compare(b.control) })
	for _, n := range nodes {
		if !n.ended && !n.paused() {
			do(n)
		}
	}
}

func (n *node) recordEvent(target, event string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events = append(n.events, target+"="+event)
}

func (n *node) kill() {
	n.mu.Lock()
	n.ended = true
	n.mu.Unlock()
	n.fleet.stop()
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.pausedLocked() {
		n.resumed = make(chan struct{})
	}
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pausedLocked() {
		close(n.resumed)
	}
}

func (n *node) paused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pausedLocked()
}

func (n *node) pausedLocked() bool {
	select {
	case <-n.resumed:
		return false
	default:
		return true
	}
}

// setPartition cuts the process off from the table if cutTable is set, and from the processes in other partitions.
func (n *node) setPartition(cutTable bool, partition int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tableCut, n.partition = cutTable, partition
}

// markEnded records that the process has ended by itself.
func (n *node) markEnded() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = true
}

// ownPartition returns a partition that no other process is in.
func (n *node) ownPartition() int { return int(n.control.Port()) }

// waitResumed blocks while the process is suspended, whatever its own deadlines are.
func (n *node) waitResumed() {
	n.mu.Lock()
	resumed := n.resumed
	n.mu.Unlock()
	<-resumed
}

// waitTable blocks until the deadline if the table is cut off, as in a partition.
func (n *node) waitTable(ctx context.Context) error {
	n.waitResumed()
	n.mu.Lock()
	cut := n.tableCut
	n.mu.Unlock()
	if !cut {
		return nil
	}
	<-ctx.Done()
	n.waitResumed()
	return ctx.Err()
}

func (n *node) Get(ctx context.Context, keys []string) (map[string]store.Row, error) {
	defer n.waitResumed()
	if err := n.waitTable(ctx); err != nil {
		return nil, err
	}
	rows, err := n.Memory.Get(ctx, keys)
	time.Sleep(time.Duration(n.tableDelay.Load()))
	return rows, err
}

func (n *node) Objects() store.ObjectStore {
	if n.settingsMissing.Load() {
		return emptyObjects{}
	}
	return n.Memory.Objects()
}

// emptyObjects is an object store without objects.
type emptyObjects struct{ store.ObjectStore }

func (emptyObjects) Get(context.Context, string) ([]byte, error) {
	return nil, &store.Error{
		Kind: store.NotFound,
		Err:  errors.New("no such object"),
	}
}

func (n *node) Scan(ctx context.Context, prefix string) ([]store.Row, error) {
	defer n.waitResumed()
	if err := n.waitTable(ctx); err != nil {
		return nil, err
	}
	return n.Memory.Scan(ctx, prefix)
}

func (n *node) Commit(ctx context.Context, tx store.Transaction) (store.Result, error) {
	defer n.waitResumed()
	if err := n.waitTable(ctx); err != nil {
		return nil, err
	}
	if n.cl.unchecked.Load() {
		tx.Checks = nil
	}
	return n.Memory.Commit(ctx, tx)
}

// connect returns the process at an address. It fails at once if no process listens there, and blocks until the
// deadline if the process is partitioned or suspended.
func (n *node) connect(ctx context.Context, to netip.AddrPort) (*node, error) {
	n.waitResumed()
	n.cl.mu.Lock()
	peer := n.cl.byAddress[to]
	n.cl.mu.Unlock()
	if peer == nil {
		return nil, errors.New("connection refused")
	}
	peer.mu.Lock()
	resumed, ended, partition := peer.resumed, peer.ended, peer.partition
	ready := peer.fleet != nil
	peer.mu.Unlock()
	n.mu.Lock()
	cut := partition != n.partition
	n.mu.Unlock()
	if ended || !ready {
		return nil, errors.New("connection refused")
	}
	if cut {
		resumed = nil
	}
	select {
	case <-resumed:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return peer, nil
}

func (n *node) Send(ctx context.Context, to netip.AddrPort, message *Message) (*Message, error) {
	defer n.waitResumed()
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
	// The peer may be suspended while it handles the message.
	select {
	case reply := <-answer:
		time.Sleep(time.Duration(n.peerDelay.Load()))
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *node) FetchSnapshot(ctx context.Context, to netip.AddrPort, object string, warm bool) (*Snapshot, error) {
	defer n.waitResumed()
	peer, err := n.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	n.cl.fetches.Add(1)
	time.Sleep(time.Duration(n.cl.fetchDelay.Load()))
	return peer.fleet.Snapshot(object, warm), nil
}

func (n *node) canServe() bool { return n.fleet.CanServe(n.cl.timers.Now()) }

func (n *node) owns(target string) bool {
	_, ok := n.fleet.Owns(n.cl.timers.Now(), target)
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

func (cl *cluster) loseNextCommit(point store.LossPoint, delay time.Duration) {
	cl.setFaults(store.Faults{
		LostCommits: store.CommitLoss{
			Count: 1,
			Point: point,
			Delay: delay,
		},
	})
}

func (cl *cluster) setDown(down bool) {
	cl.setFaults(store.Faults{
		Unavailable: down,
	})
}

func (cl *cluster) setFaults(f store.Faults) {
	if err := cl.memory.SetFaults(f); err != nil {
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

// roster returns the roster known to the process.
func (n *node) roster() Roster { return n.fleet.Snapshot("", false).Roster }
