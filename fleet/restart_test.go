package fleet

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/simulation"
)

// Guards against members that take an entry that has restarted for the former process, which was leaving, and therefore
// disagree on who lends the permits of a workspace.
func TestRestartIsKnown(t *testing.T) {
	const entries, restarted = 56, 7
	simulation.Run(t, func(t *testing.T) {
		store := newMemoryStore("op", "servers", "entries")
		store.set("op", "rates", "x")
		transport := newMemoryTransport(t)
		seeds := []netip.AddrPort{testControl(0), testControl(20), testControl(40)}
		var list []*Follower
		for i := range entries {
			list = append(list, transport.start(t, i, qldDomains[i%len(qldDomains)], store, seeds))
		}
		time.Sleep(5 * time.Second)
		list[restarted].Leave()
		time.Sleep(2 * time.Second)
		list[restarted].stop()
		time.Sleep(500 * time.Millisecond)
		list[restarted] = transport.start(t, restarted, qldDomains[restarted%len(qldDomains)], store, seeds)
		name, incarnation := list[restarted].opt.Name, list[restarted].self.Incarnation
		time.Sleep(1500 * time.Millisecond)
		behind := 0
		for i, f := range list {
			for _, m := range f.Members() {
				if i != restarted && m.Name == name && (m.Incarnation != incarnation || m.State != RecordStateActive) {
					behind++
				}
			}
		}
		assert.Equal(t, behind, 0, "members that do not know of the restart")
	})
}
