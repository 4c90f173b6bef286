package fleet

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fell tells whether the node has heard of the first fall of the instance.
func (n *node) fell(target, instance string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Contains(n.seen, target+"="+instance+" fell 1")
}

// Guards against an entry that takes a target for warm until the next round of exchanges, or for ever, after another entry
// has seen it fall: one that is reached, one that is cut off at that time, and one that starts later. A fall that a warm
// fact has superseded must not stay.
func TestFell(t *testing.T) {
	simulate(t, usual(), "abcd", func(t *testing.T, w *world) {
		a, b, c := w.nodes["a"], w.nodes["b"], w.nodes["c"]
		a.fleet.AnnounceWarm("target-0", "first", 0)
		a.fleet.AnnounceWarm("target-1", "first", 0)
		c.cut(false, c.alone())
		time.Sleep(2300 * time.Millisecond)
		b.fleet.ReportColdTransition("target-0", "first", 1)
		b.fleet.ReportColdTransition("target-1", "first", 1)
		time.Sleep(2 * pushInterval)
		assert.Assert(t, a.fell("target-0", "first") && a.fell("target-1", "first"))
		assert.Assert(t, !c.fell("target-0", "first"))
		c.cut(false, 0)
		a.fleet.AnnounceWarm("target-1", "first", 1)
		time.Sleep(2 * time.Second)
		assert.Assert(t, c.fell("target-0", "first"))
		w.nodes["d"].kill()
		d := w.start("d", false)
		time.Sleep(3 * time.Second)
		assert.Assert(t, d.fell("target-0", "first"))
		w.each(func(n *node) {
			warm, fallen := n.fleet.WarmFacts("target-1")
			assert.Equal(t, warm.Falls, 1, n.name)
			assert.Equal(t, len(fallen), 0, n.name)
			_, fallen = n.fleet.WarmFacts("target-0")
			assert.Equal(t, len(fallen), 1, n.name)
		})
	})
}
