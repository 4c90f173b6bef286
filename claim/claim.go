package claim

import (
	"bytes"
	"sync/atomic"
	"time"
)

// Claim is the permission to execute one call. Its holder ends it once with Finish, Release or Abandon; later calls of
// these methods have no effect. Claim is safe for concurrent use.
type Claim struct {
	manager          *Manager
	key              string
	row              claimRow
	version          uint64
	dispatchDeadline time.Time
	ended            atomic.Bool
}

// DispatchDeadline returns the time after which the call must no longer be dispatched. The claim expires some time
// after it. The time has a monotonic clock reading, so a process that was paused notices how much time has really
// passed.
func (c *Claim) DispatchDeadline() time.Time { return c.dispatchDeadline }

// Finish records the response to the call for repeated calls with the same key. It is written with a later group. A
// body of more than MaxBodyBytes bytes is not kept. Until the record is in the table, a repeated call at another entry
// is Busy.
func (c *Claim) Finish(status int, contentType string, body []byte) {
	if !c.ended.CompareAndSwap(false, true) {
		return
	}
	done := c.row
	done.State = stateDone
	done.Status = status
	done.ContentType = contentType
	if len(body) > MaxBodyBytes {
		done.Omitted = true
	} else {
		done.Body = bytes.Clone(body)
	}
	c.manager.enqueueFinal(c, keyState{
		row:   done,
		phase: phaseFinishing,
	}, &done)
}

// Release frees the key. The release is written with a later group. Release may be called only if the call certainly
// was not executed.
func (c *Claim) Release() {
	if !c.ended.CompareAndSwap(false, true) {
		return
	}
	c.manager.enqueueFinal(c, keyState{
		row:   c.row,
		phase: phaseReleasing,
	}, nil)
}

// Abandon ends a claim whose call has an unknown outcome. The key stays Busy until the claim expires.
func (c *Claim) Abandon() {
	if c.ended.CompareAndSwap(false, true) {
		c.manager.forget(c.key)
	}
}
