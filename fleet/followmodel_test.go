package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkbeam/feed"
	"skylarkbeam/simulation"
	"skylarkbeam/timer"
)

// link is the transport of one entry, which can be partitioned from others.
type link struct {
	*memoryTransport
	from  netip.AddrPort
	sides map[netip.AddrPort]int // guarded by memoryTransport.mu
}

// awaitPath waits for the end of ctx if the other entry is on another side of a partition.
func (l link) awaitPath(ctx context.Context, to netip.AddrPort) error {
	l.mu.Lock()
	cut := l.sides[l.from] != l.sides[to]
	l.mu.Unlock()
	if cut {
		<-ctx.Done()
		return errors.Wrap(ctx.Err(), "partitioned")
	}
	return nil
}

func (l link) Greet(ctx context.Context, to netip.AddrPort, g *Greeting) (*Greeting, error) {
	if err := l.awaitPath(ctx, to); err != nil {
		return nil, err
	}
	return l.memoryTransport.Greet(ctx, to, g)
}

func (l link) Members(ctx context.Context, to netip.AddrPort) (*Roll, error) {
	if err := l.awaitPath(ctx, to); err != nil {
		return nil, err
	}
	return l.memoryTransport.Members(ctx, to)
}

func (l link) Rows(ctx context.Context, to netip.AddrPort, table string, after uint64, wait time.Duration) (*feed.Batch, error) {
	if err := l.awaitPath(ctx, to); err != nil {
		return nil, err
	}
	b, err := l.memoryTransport.Rows(ctx, to, table, after, wait)
	if err == nil {
		err = l.awaitPath(ctx, to)
	}
	return b, err
}

// followModel is a fleet that follows a store through faults.
type followModel struct {
	transport *memoryTransport
	sides     map[netip.AddrPort]int
	common    *memoryStore
	stores    []*outageStore
	list      []*Follower
	lost      map[int]bool
	failing   map[int]bool
}

func newFollowModel(t *testing.T, entries int) *followModel {
	m := &followModel{
		transport: newMemoryTransport(t),
		sides:     map[netip.AddrPort]int{},
		common:    newMemoryStore("op", "servers", "entries"),
		lost:      map[int]bool{},
		failing:   map[int]bool{},
	}
	for i := range entries {
		store := newOutageStore(m.common)
		f := Follow(FollowerOptions{
			Store:        store,
			Timers:       timer.New(),
			Name:         string(rune('a' + i)),
			Domain:       qldDomains[i%3],
			Control:      testControl(i),
			Tables:       []string{"op", "servers"},
			MembersTable: "entries",
			Transport: link{
				memoryTransport: m.transport,
				from:            testControl(i),
				sides:           m.sides,
			},
			BuildState: buildTestState,
			Seed:       *followerSeed,
		})
		m.transport.mu.Lock()
		m.transport.peers[testControl(i)] = f
		m.transport.mu.Unlock()
		m.stores = append(m.stores, store)
		m.list = append(m.list, f)
	}
	return m
}

func (m *followModel) stop() {
	for _, f := range m.list {
		f.stop()
	}
}

// setFailing begins or ends an outage of the store for one entry.
func (m *followModel) setFailing(i int, failing, silent bool) {
	switch {
	case failing && !m.failing[i]:
		m.stores[i].begin(silent)
	case !failing && m.failing[i]:
		m.stores[i].end()
	}
	m.failing[i] = failing
}

func (m *followModel) apply(t *rapid.T, e event) {
	i := e.Node % len(m.list)
	switch e.Op {
	case "lose":
		if len(m.lost) < len(m.list)-2 && !m.lost[i] {
			m.lost[i] = true
			m.transport.lose(m.list, []string{m.list[i].opt.Name})
		}
	case "refuse", "silence":
		m.setFailing(i, true, e.Op == "silence")
	case "admit":
		m.setFailing(i, false, false)
	case "outage", "silent outage", "up":
		for i := range m.list {
			m.setFailing(i, e.Op != "up", e.Op == "silent outage")
		}
	case "compact":
		m.common.compact()
	case "forget":
		m.stores[i].lose("servers")
	case "partition", "heal":
		m.transport.mu.Lock()
		clear(m.sides)
		if e.Op == "partition" {
			for i, f := range m.list {
				m.sides[f.opt.Control] = e.Node >> (i % 3) & 1
			}
		}
		m.transport.mu.Unlock()
	case "change":
		m.common.set("op", "config", fmt.Sprint(m.common.version))
	default:
		t.Fatalf("unknown event %q", e.Op)
	}
}

// check checks that no entry that another one follows follows a third one.
func (m *followModel) check(t *testing.T) {
	synctest.Wait()
	for i, f := range m.list {
		if m.lost[i] {
			continue
		}
		f.mu.RLock()
		followers := f.followers
		var follows []string
		for _, w := range f.watchRequests {
			if w.reader != "" {
				follows = append(follows, w.reader)
			}
		}
		f.mu.RUnlock()
		if followers > 0 && len(follows) > 0 {
			t.Errorf("%s has %d watches of followers and follows %v", f.opt.Name, followers, follows)
		}
	}
}

// Guards against entries that follow each other, or another that follows a third one, while none of them reads the store,
// and against a change that is not in force in time at entries that reach each other and the store again, whatever happened
// before.
func TestFollowModel(t *testing.T) {
	ops := []string{
		"lose", "refuse", "silence", "admit", "admit", "outage", "silent outage", "up", "up", "compact", "forget", "partition",
		"heal", "change",
	}
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.IntRange(3, 9).Draw(rt, "entries")
		events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			return event{
				Op:   rapid.SampledFrom(ops).Draw(t, "op"),
				Node: rapid.IntRange(0, 8).Draw(t, "node"),
				Wait: time.Duration(rapid.IntRange(0, 40).Draw(t, "tenths")) * 100 * time.Millisecond,
			}
		}), 1, 30).Draw(rt, "events")
		failed := false
		t.Run("schedule", func(t *testing.T) {
			simulation.Run(t, func(t *testing.T) {
				defer func() { failed = t.Failed() }()
				m := newFollowModel(t, entries)
				defer m.stop()
				time.Sleep(3 * time.Second)
				for _, e := range events {
					m.apply(rt, e)
					for waited := time.Duration(0); waited < e.Wait; waited += 100 * time.Millisecond {
						time.Sleep(100 * time.Millisecond)
						m.check(t)
					}
				}
				m.apply(rt, event{
					Op: "up",
				})
				m.apply(rt, event{
					Op: "heal",
				})
				time.Sleep(3 * time.Second)
				m.common.set("op", "config", "final")
				m.common.set("servers", "final", "x")
				time.Sleep(applyTime)
				m.check(t)
				for i, f := range m.list {
					if !m.lost[i] {
						assert.Check(t, slices.Contains(f.State().DrainedDomains, "final"), "%s, desired state", f.opt.Name)
						assert.Check(t, len(f.State().RegisteredTargets) == 1, "%s, registry", f.opt.Name)
					}
				}
			})
		})
		if failed {
			rt.Fatalf("the schedule failed")
		}
	})
}
