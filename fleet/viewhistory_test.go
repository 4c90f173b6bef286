package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an owner that starts before the lease of another owner has certainly ended, and against an
// unnecessary time without an owner.
func TestOwnershipHistory(t *testing.T) {
	const self, other = "self", "other"
	type learnedView struct {
		at     time.Duration
		roster Roster
	}
	at := func(at time.Duration, view uint64, owner string) learnedView {
		return learnedView{
			at: at,
			roster: Roster{
				View: view,
				Members: map[string]Record{
					"entry": {
						Incarnation: owner,
						State:       RecordStateActive,
					},
				},
			},
		}
	}
	type test struct {
		name   string
		views  []learnedView
		before time.Duration // the last moment without ownership, if any
		after  time.Duration // the first moment with ownership
	}
	from := func(name string, after time.Duration, views ...learnedView) test {
		return test{
			name:   name,
			views:  views,
			before: after - time.Millisecond,
			after:  after,
		}
	}
	unchanged := from("unchanged", 10*time.Second, at(0, 1, self), at(10*time.Second, 2, self))
	unchanged.before = 0
	tests := []test{
		from("start", 5*time.Second, at(0, 1, self)),
		from("taken over", 15*time.Second, at(0, 1, other), at(10*time.Second, 2, self)),
		unchanged,
		from("missed a view", 15*time.Second, at(0, 1, self), at(10*time.Second, 3, self)),
		from("unchanged soon after taken over", 15*time.Second,
			at(0, 1, other), at(10*time.Second, 2, self), at(12*time.Second, 3, self)),
		from("lost for a moment", 16*time.Second,
			at(0, 1, self), at(10*time.Second, 2, other), at(11*time.Second, 3, self)),
	}
	start := time.Now()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, wait := range []time.Duration{takeoverDelay, 0} {
				var history viewHistory
				for _, v := range tt.views {
					history.add(start.Add(v.at), v.roster, wait)
				}
				assert.Assert(t, history.ownsThroughout(start.Add(tt.after), self, "target", wait))
				// In the control, which does not wait, ownership starts too early.
				if tt.before > 0 {
					assert.Equal(t, wait == 0, history.ownsThroughout(start.Add(tt.before), self, "target", wait))
				}
			}
		})
	}
}
