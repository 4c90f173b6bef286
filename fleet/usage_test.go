package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a message that grows with the number of callers, and against one that omits the largest usages.
func TestLargestUsage(t *testing.T) {
	usage := map[string]map[string]float64{
		"stock":  {},
		"orders": {},
	}
	for i := range 50 {
		usage["stock"][fmt.Sprintf("crew-%02d", i)] = float64(i) / 100
	}
	usage["orders"]["office"] = 3.5
	have := largestUsage(usage)
	assert.Equal(t, have["orders"]["office"], 350)
	assert.Equal(t, len(have["stock"]), maxUsagePairs-1)
	assert.Equal(t, have["stock"]["crew-49"], 49)
	assert.Equal(t, have["stock"]["crew-42"], 0, "of the stock callers only the %d largest are named", maxUsagePairs-1)
}

// Guards against usage that is counted twice, and against counting the last known usage of a silent peer.
func TestPeerUsage(t *testing.T) {
	now := time.Now()
	f := &Fleet{
		peers: map[string]*peer{
			"a": {
				usage:   map[string]map[string]int{"stock": {"office": 150}},
				usageAt: now.Add(-time.Second),
			},
			"b": {
				usage:   map[string]map[string]int{"stock": {"office": 50, "crew": 1}},
				usageAt: now,
			},
			"silent": {
				usage:   map[string]map[string]int{"stock": {"office": 900}},
				usageAt: now.Add(-usageTimeout),
			},
		},
	}
	sum, known := f.PeerUsage(now)
	assert.Assert(t, known)
	assert.DeepEqual(t, sum, map[string]map[string]float64{"stock": {"office": 2, "crew": 0.01}})
	_, known = f.PeerUsage(now.Add(usageTimeout))
	assert.Assert(t, !known)
}
