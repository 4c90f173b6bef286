package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against entries that start at once and all choose among the same few targets until they have heard of each
// other. In a failure domain with 40 entries and 61 targets, each target is in the apertures of eight entries on average;
// none may be in those of half of them.
func TestPositionByName(t *testing.T) {
	const entries, targets, aperture = 40, 61, 12
	for domain := range 5 {
		use := make([]int, targets)
		for i := range entries {
			index, count := positionByName(fmt.Sprintf("frontend-qld-coast-%c-%d", 'a'+domain, i+1))
			for j := range aperture {
				use[(index*targets/count+j)%targets]++
			}
		}
		most := 0
		for _, n := range use {
			most = max(most, n)
		}
		t.Logf("domain %d: a target is used by %d entries at most", domain, most)
		assert.Assert(t, most < entries/2)
	}
}
