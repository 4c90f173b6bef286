package entry_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/standin"
)

// Guards against reads that fail at a target which never answers although the retry budget could save them: hedges left
// the reserve of the budget to retries, but a call on a new connection is not sent again before its deadline.
func TestHedgeReserve(t *testing.T) {
	const deadline = 5 * time.Second // Far above what a read takes on a busy machine.
	d := startStock(t, standin.Behavior{
		Slots: 4,
	}, deadline)
	e := d.Entries[0]
	q := get("/stock/1")
	for range 200 {
		assert.Equal(t, send(context.Background(), e, q).outcome(), "answered")
	}
	// Each hedge that wins closes a connection to the frozen target, so that the next call there is on a new one.
	for range 5 {
		d.Targets["stock-2"].Target.InjectFaults(standin.FaultNoResponse)
		for range 20 {
			e.LeaveRetryReserve("stock")
			r := send(context.Background(), e, q)
			assert.Equal(t, r.outcome(), "answered", "reason %s", r.reason())
		}
		for range 60 { // They earn the reserve again.
			send(context.Background(), e, q)
		}
	}
}
