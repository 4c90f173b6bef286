package fleet

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"skylarkbeam/feed"
	"skylarkbeam/simulation"
)

// Guards against an entry that takes the answer that the history is gone for a failure to reach the store: with one failed
// call, it counted as detached, and its followers left it.
func TestMissingHistory(t *testing.T) {
	simulation.Run(t, func(t *testing.T) {
		store := newMemoryStore("op", "servers", "entries")
		_, list := startFollowers(t, 1, func(int) Store { return store })
		f := list[0]
		time.Sleep(3 * time.Second)
		f.recordStoreResult(f.now(), feed.Batch{}, errors.New("down"))
		f.recordStoreResult(f.now(), feed.Batch{}, errors.Wrap(feed.ErrCompacted, "watch"))
		assert.Assert(t, !f.self.Detached)
		f.recordStoreResult(f.now(), feed.Batch{}, errors.New("down"))
		assert.Assert(t, !f.self.Detached, "the failures are not consecutive")
		f.recordStoreResult(f.now(), feed.Batch{}, errors.New("down"))
		assert.Assert(t, f.self.Detached)
	})
}
