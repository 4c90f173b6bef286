package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an owner that starts before the lease of another one has certainly ended, and against a needless gap.
func TestOwnershipHistory(t *testing.T) {
	const self, other = "self", "other"
	view := func(number uint64, owner string) Roster {
		return Roster{
			View: number,
			Members: map[string]Record{
				"entry": {
					Incarnation: owner,
					State:       RecordStateActive,
				},
			},
		}
	}
	type learned struct {
		at     time.Duration
		roster Roster
	}
	tests := []struct {
		name   string
		views  []learned
		before time.Duration // the last moment without ownership, if any
		after  time.Duration // the first moment with it
	}{
		{
			name:   "start",
			views:  []learned{{0, view(1, self)}},
			before: 4999 * time.Millisecond,
			after:  5 * time.Second,
		},
		{
			name:   "taken over",
			views:  []learned{{0, view(1, other)}, {10 * time.Second, view(2, self)}},
			before: 14999 * time.Millisecond,
			after:  15 * time.Second,
		},
		{
			name:  "unchanged",
			views: []learned{{0, view(1, self)}, {10 * time.Second, view(2, self)}},
			after: 10 * time.Second,
		},
		{
			name:   "missed a view",
			views:  []learned{{0, view(1, self)}, {10 * time.Second, view(3, self)}},
			before: 14999 * time.Millisecond,
			after:  15 * time.Second,
		},
		{
			name:   "unchanged soon after taken over",
			views:  []learned{{0, view(1, other)}, {10 * time.Second, view(2, self)}, {12 * time.Second, view(3, self)}},
			before: 14999 * time.Millisecond,
			after:  15 * time.Second,
		},
		{
			name:   "lost for a moment",
			views:  []learned{{0, view(1, self)}, {10 * time.Second, view(2, other)}, {11 * time.Second, view(3, self)}},
			before: 15999 * time.Millisecond,
			after:  16 * time.Second,
		},
	}
	start := time.Now()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, wait := range []time.Duration{waitTime, 0} {
				var past ownership
				for _, v := range tt.views {
					past.learn(start.Add(v.at), v.roster, wait)
				}
				assert.Assert(t, past.holds(start.Add(tt.after), self, "target", wait))
				// Without the wait, the control, each of them owns too early.
				if tt.before > 0 {
					assert.Equal(t, wait == 0, past.holds(start.Add(tt.before), self, "target", wait))
				}
			}
		})
	}
}
