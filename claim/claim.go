package claim

import (
	"bytes"
	"sync/atomic"
	"time"
)

// Claim is the permission to run one call. Its holder ends it once, by Finish, Release or Abandon; later calls of these
// have no effect. It is safe for concurrent use.
type Claim struct {
	ledger  *Manager
	key     string
	row     row
	version uint64
	until   time.Time
	ended   atomic.Bool
}

// DispatchDeadline returns the time after which the call must no longer be dispatched: the claim lapses some time later. It has a
// monotonic reading, so that a process that was paused sees the time that has really passed.
func (c *Claim) DispatchDeadline() time.Time { return c.until }

// Finish records the answer of the call for repeats, in a later group. A body of more than MaxAnswer bytes is not kept.
// Until the record is in the table, a repeat at another entry is Busy.
func (c *Claim) Finish(status int, contentType string, body []byte) {
	if !c.ended.CompareAndSwap(false, true) {
		return
	}
	done := c.row
	done.State = stateDone
	done.Status = status
	done.Type = contentType
	if len(body) > MaxBodyBytes {
		done.Omitted = true
	} else {
		done.Answer = bytes.Clone(body)
	}
	c.ledger.end(c, holding{
		row:   done,
		phase: phaseFinishing,
	}, &done)
}

// Release frees the key in a later group. It may be called only if the call certainly did not run.
func (c *Claim) Release() {
	if !c.ended.CompareAndSwap(false, true) {
		return
	}
	c.ledger.end(c, holding{
		row:   c.row,
		phase: phaseReleasing,
	}, nil)
}

// Abandon ends a claim whose call has an unknown outcome. The key stays Busy until the claim expires.
func (c *Claim) Abandon() {
	if c.ended.CompareAndSwap(false, true) {
		c.ledger.forget(c.key)
	}
}
