package share

import (
	"container/list"
	"math"
	"time"
)

// caller is the state of one caller. The lock of the Scheduler guards it.
type caller struct {
	name    string
	share   float64
	running int
	waiting *list.List // of *Ticket
	// use is the average number of running calls over the window, up to the time settled.
	use float64
	// elsewhere is the use at other entries.
	elsewhere float64
	// offered is the average number of calls that arrive in a second.
	offered float64
	settled time.Time
}

// settle brings the use up to now. It is exact as long as running has not changed since.
func (c *caller) settle(now time.Time) {
	d := now.Sub(c.settled)
	if d <= 0 {
		return
	}
	n := float64(c.running)
	fade := math.Exp(-d.Seconds() / window.Seconds())
	c.use = n + (c.use-n)*fade
	c.offered *= fade
	c.settled = now
}

// oldest returns the number of the first waiting call; lower is older.
func (c *caller) oldest() uint64 {
	return c.waiting.Front().Value.(*Ticket).number
}

// work returns the use as a number of calls in the window, including what the running calls will still use. Usual is the
// usual time of a call in seconds.
func (c *caller) work(usual float64) float64 {
	return (c.use+c.elsewhere)*window.Seconds()/usual + float64(c.running)
}
