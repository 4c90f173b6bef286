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
	// usage is the average number of running calls over the window, as of updatedAt.
	usage float64
	// remoteUsage is the usage at other entries.
	remoteUsage float64
	// arrivalRate is the average number of calls that arrive per second.
	arrivalRate float64
	updatedAt   time.Time
}

// update brings the averages up to now. It is exact if running has not changed since the last update.
func (c *caller) update(now time.Time) {
	elapsed := now.Sub(c.updatedAt)
	if elapsed <= 0 {
		return
	}
	n := float64(c.running)
	decay := math.Exp(-elapsed.Seconds() / usageWindow.Seconds())
	c.usage = n + (c.usage-n)*decay
	c.arrivalRate *= decay
	c.updatedAt = now
}

// oldest returns the number of the first waiting call. Numbers increase in the order of arrival.
func (c *caller) oldest() uint64 {
	return c.waiting.Front().Value.(*Ticket).number
}

// usedCalls returns the usage as a number of calls in the window, including what the running calls will still use. The
// service time is given in seconds.
func (c *caller) usedCalls(serviceTime float64) float64 {
	return (c.usage+c.remoteUsage)*usageWindow.Seconds()/serviceTime + float64(c.running)
}
