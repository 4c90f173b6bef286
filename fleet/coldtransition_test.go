package fleet

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// heardTransition reports whether the node has heard of the first cold transition of the instance.
func (n *node) heardTransition(target, instance string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Contains(n.events, target+"="+instance+" cold transition 1")
}

// Guards against an entry that takes a target for warm, until the next round of exchanges or forever, after another
// entry has seen it become cold again. It covers an entry that is reachable, one that is partitioned at that time, and
// one that starts later. A cold transition must not persist once a warm fact has superseded it.
func TestColdTransition(t *testing.T) {
	simulate(t, defaultProtocol(), "abcd", func(t *testing.T, cl *cluster) {
		a, b, c := cl.nodes["a"], cl.nodes["b"], cl.nodes["c"]
		a.fleet.AnnounceWarm("target-0", "first", 0)
		a.fleet.AnnounceWarm("target-1", "first", 0)
		c.setPartition(false, c.ownPartition())
		time.Sleep(2300 * time.Millisecond)
		b.fleet.ReportColdTransition("target-0", "first", 1)
		b.fleet.ReportColdTransition("target-1", "first", 1)
		time.Sleep(2 * minPushInterval)
		assert.Assert(t, a.heardTransition("target-0", "first") && a.heardTransition("target-1", "first"))
		assert.Assert(t, !c.heardTransition("target-0", "first"))
		c.setPartition(false, 0)
		a.fleet.AnnounceWarm("target-1", "first", 1)
		time.Sleep(2 * time.Second)
		assert.Assert(t, c.heardTransition("target-0", "first"))
		cl.nodes["d"].kill()
		d := cl.start("d", false)
		time.Sleep(3 * time.Second)
		assert.Assert(t, d.heardTransition("target-0", "first"))
		cl.each(func(n *node) {
			warm, transitions := n.fleet.WarmFacts("target-1")
			assert.Equal(t, warm.Falls, 1, n.name)
			assert.Equal(t, len(transitions), 0, n.name)
			_, transitions = n.fleet.WarmFacts("target-0")
			assert.Equal(t, len(transitions), 1, n.name)
		})
	})
}
