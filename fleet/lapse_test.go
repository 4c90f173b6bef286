package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against targets that are dropped all at once when their registrations lapse, against some that stay although they
// do not come back, and against single ones that are kept although they have left.
func TestKeepLapsed(t *testing.T) {
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
	assert.Equal(t, keepLapsed(now, former, single), time.Duration(0))
	assert.Equal(t, len(single.RegisteredTargets), 18)

	lapsed := &State{}
	assert.Equal(t, keepLapsed(now, former, lapsed), lapseTime)
	assert.Equal(t, len(lapsed.RegisteredTargets), 20)

	// Half of them come back; the rest is kept until the time is over, and not from anew.
	half := &State{
		RegisteredTargets: registered(0, 10),
	}
	assert.Equal(t, keepLapsed(now.Add(time.Second), lapsed, half), lapseTime-time.Second)
	assert.Equal(t, len(half.RegisteredTargets), 20)
	assert.Assert(t, half.RegisteredTargets[0].LapsedAt.IsZero() && !half.RegisteredTargets[19].LapsedAt.IsZero())
	late := &State{
		RegisteredTargets: registered(0, 10),
	}
	assert.Equal(t, keepLapsed(now.Add(lapseTime), half, late), time.Duration(0))
	assert.Equal(t, len(late.RegisteredTargets), 10)

	// Targets that said that they leave are not kept.
	leaving := &State{
		RegisteredTargets: registered(0, 20),
	}
	for i := range leaving.RegisteredTargets {
		leaving.RegisteredTargets[i].Leaving = true
	}
	assert.Equal(t, keepLapsed(now, leaving, &State{}), time.Duration(0))
}
