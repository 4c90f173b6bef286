package share

import (
	"container/list"
	"math"
	"time"
)

// caller is the state of one caller. The lock of the Scheduler guards it.
type caller struct {
	share   float64
	running int
	waiting *list.List // of *Ticket
	// use is the average number of running calls over the window, up to the time settled.
	use     float64
	settled time.Time
}

// settle brings the use up to now. It is exact as long as running has not changed since.
func (c *caller) settle(now time.Time) {
	d := now.Sub(c.settled)
	if d <= 0 {
		return
	}
	n := float64(c.running)
	c.use = n + (c.use-n)*math.Exp(-d.Seconds()/window.Seconds())
	c.settled = now
}

// oldest returns the number of the first waiting call; lower is older.
func (c *caller) oldest() uint64 {
	return c.waiting.Front().Value.(*Ticket).number
}
