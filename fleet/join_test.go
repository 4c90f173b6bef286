package fleet

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/simulation"
)

// knownMembers returns the smallest number of members that any of the entries hears.
func knownMembers(list []*Follower) int {
	least := len(list)
	for _, f := range list {
		f.mu.RLock()
		heard := 0
		for _, m := range f.members {
			if f.now().Sub(m.heardAt) < ownerTimeout {
				heard++
			}
		}
		f.mu.RUnlock()
		least = min(least, heard)
	}
	return least
}

// Guards against calls to the store by each entry of a large fleet that starts at once, other than the reads of the
// tables, and against members that do not find each other without them. Load: 60 entries that start within 0.3 s.
func TestJoinThroughSeeds(t *testing.T) {
	const entries = 60
	simulation.Run(t, func(t *testing.T) {
		store := newMemoryStore("op", "servers", "entries")
		transport := newMemoryTransport(t)
		seeds := []netip.AddrPort{testControl(0), testControl(20), testControl(40)}
		var list []*Follower
		for i := range entries {
			list = append(list, transport.start(t, i, qldDomains[i%len(qldDomains)], store, seeds))
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(ownerTimeout)
		assert.Equal(t, knownMembers(list), entries-1)
		// Each entry reads two tables. The readers write and read the table of members, watch two tables and repeat the
		// watch of the desired state.
		calls := store.count() - 2*entries
		t.Logf("%d further calls", calls)
		assert.Assert(t, calls <= 8*readerCount, "%d calls besides the reads of the tables", calls)
		// All of them learn of a change.
		store.set("op", "config", "x")
		time.Sleep(time.Second)
		for _, f := range list {
			assert.DeepEqual(t, f.State().DrainedDomains, []string{"x"})
		}
	})
}

// Guards against an entry that does not find the others because its seeds have been removed, and against entries that
// started with different seeds and stay in separate groups.
func TestJoinWithoutSeeds(t *testing.T) {
	seeds := map[string]func(i int) []netip.AddrPort{
		"no seed":           func(int) []netip.AddrPort { return nil },
		"seed that is gone": func(int) []netip.AddrPort { return []netip.AddrPort{testControl(99)} },
		"late entry with a seed that is gone": func(i int) []netip.AddrPort {
			if i == 11 {
				return []netip.AddrPort{testControl(99)}
			}
			return []netip.AddrPort{testControl(0)}
		},
		"two groups": func(i int) []netip.AddrPort { return []netip.AddrPort{testControl(i % 2)} },
	}
	for name, seedsOf := range seeds {
		t.Run(name, func(t *testing.T) {
			simulation.Run(t, func(t *testing.T) {
				store := newMemoryStore("op", "servers", "entries")
				transport := newMemoryTransport(t)
				var list []*Follower
				for i := range 12 {
					if i == 11 {
						time.Sleep(3 * time.Second)
					}
					list = append(list, transport.start(t, i, qldDomains[i%3], store, seedsOf(i)))
				}
				time.Sleep(3 * time.Second)
				if name == "two groups" {
					time.Sleep(membersReadInterval)
				}
				assert.Equal(t, knownMembers(list), 11)
			})
		})
	}
}

// Guards against a member row that stays behind when a reader shuts down, and against a call to the store by an entry
// that has no row.
func TestLeaveTable(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newMemoryStore("op", "servers", "entries")
		transport := newMemoryTransport(t)
		seeds := []netip.AddrPort{testControl(0)}
		var list []*Follower
		for i := range 12 {
			list = append(list, transport.start(t, i, qldDomains[i%3], store, seeds))
		}
		time.Sleep(5 * time.Second)
		for _, f := range list {
			before, published := store.countWrites(), f.published.Load()
			assert.NilError(t, f.Close(t.Context()))
			if !published {
				assert.Equal(t, store.countWrites(), before)
			}
			batch, err := store.Read(t.Context(), "entries")
			assert.NilError(t, err)
			for _, row := range batch.Rows {
				assert.Assert(t, row.Key != f.opt.Name)
			}
		}
	})
}

// Guards against an entry that cannot serve because the store does not answer when it starts, although its peers know the
// tables. They have read them while nothing had been written to the store.
func TestStartWithoutStore(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newMemoryStore("op", "servers", "entries")
		transport := newMemoryTransport(t)
		seeds := []netip.AddrPort{testControl(0)}
		first := transport.start(t, 0, qldDomains[0], store, seeds)
		for i := range 2 {
			transport.start(t, i+1, qldDomains[i+1], store, seeds)
		}
		time.Sleep(time.Second)
		store.set("op", "config", "x")
		store.set("servers", "target", "y")
		time.Sleep(time.Second)
		store.setDown(true)
		late := transport.start(t, 3, qldDomains[0], store, seeds)
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, late.State().DrainedDomains, []string{"x"})
		// Operators compare the entries by the version of the desired state.
		assert.Assert(t, late.State().BaseVersion > 0)
		assert.Equal(t, late.State().BaseVersion, first.State().BaseVersion)
	})
}
