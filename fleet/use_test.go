package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a message that grows with the number of callers, and against one that leaves out the largest.
func TestLargest(t *testing.T) {
	use := map[string]map[string]float64{
		"stock":  {},
		"orders": {},
	}
	for i := range 50 {
		use["stock"][fmt.Sprintf("crew-%02d", i)] = float64(i) / 100
	}
	use["orders"]["office"] = 3.5
	have := largest(use)
	assert.Equal(t, have["orders"]["office"], 350)
	assert.Equal(t, len(have["stock"]), maxUse-1)
	assert.Equal(t, have["stock"]["crew-49"], 49)
	assert.Equal(t, have["stock"]["crew-42"], 0, "of the stock callers only the %d largest are named", maxUse-1)
}

// Guards against use that is counted twice, and against the use of a silent peer, which is not its use any more.
func TestElsewhere(t *testing.T) {
	now := time.Now()
	f := &Fleet{
		peers: map[string]*peer{
			"a": {
				use:  map[string]map[string]int{"stock": {"office": 150}},
				used: now.Add(-time.Second),
			},
			"b": {
				use:  map[string]map[string]int{"stock": {"office": 50, "crew": 1}},
				used: now,
			},
			"silent": {
				use:  map[string]map[string]int{"stock": {"office": 900}},
				used: now.Add(-useTime),
			},
		},
	}
	sum, known := f.PeerUsage(now)
	assert.Assert(t, known)
	assert.DeepEqual(t, sum, map[string]map[string]float64{"stock": {"office": 2, "crew": 0.01}})
	_, known = f.PeerUsage(now.Add(useTime))
	assert.Assert(t, !known)
}
