package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against targets that are all dropped at once when their registrations lapse, against lapsed targets that are
// retained although they do not come back, and against the retention of single targets that have left.
func TestRetainLapsed(t *testing.T) {
	registered := func(from, to int) []RegisteredTarget {
		var list []RegisteredTarget
		for i := from; i < to; i++ {
			list = append(list, RegisteredTarget{
				Name: fmt.Sprintf("t%02d", i),
			})
		}
		return list
	}
	now := time.Now()
	former := &State{
		RegisteredTargets: registered(0, 20),
	}
	single := &State{
		RegisteredTargets: registered(2, 20),
	}
	assert.Equal(t, retainLapsed(now, former, single), time.Duration(0))
	assert.Equal(t, len(single.RegisteredTargets), 18)

	lapsed := &State{}
	assert.Equal(t, retainLapsed(now, former, lapsed), lapsedRetention)
	assert.Equal(t, len(lapsed.RegisteredTargets), 20)

	// Half of the targets come back. The rest is retained until the original time is over.
	half := &State{
		RegisteredTargets: registered(0, 10),
	}
	assert.Equal(t, retainLapsed(now.Add(time.Second), lapsed, half), lapsedRetention-time.Second)
	assert.Equal(t, len(half.RegisteredTargets), 20)
	assert.Assert(t, half.RegisteredTargets[0].LapsedAt.IsZero() && !half.RegisteredTargets[19].LapsedAt.IsZero())
	late := &State{
		RegisteredTargets: registered(0, 10),
	}
	assert.Equal(t, retainLapsed(now.Add(lapsedRetention), half, late), time.Duration(0))
	assert.Equal(t, len(late.RegisteredTargets), 10)

	// Targets that announced that they leave are not retained.
	leaving := &State{
		RegisteredTargets: registered(0, 20),
	}
	for i := range leaving.RegisteredTargets {
		leaving.RegisteredTargets[i].Leaving = true
	}
	assert.Equal(t, retainLapsed(now, leaving, &State{}), time.Duration(0))
}
