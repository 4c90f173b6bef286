package route

import "time"

// LateHedge is Hedge for a call that fails unless its hedge is answered, because its first attempt is taken for lost. Like
// a retry, it may use the part of the budget that other hedges leave.
func (t *Table) LateHedge(now time.Time, service string, q Query) *Permit {
	if !q.Idempotent {
		return nil
	}
	return t.retryOrHedge(now, service, q, true, true)
}
