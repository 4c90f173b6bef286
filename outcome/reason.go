package outcome

// Reason says why a call was refused, sent again or given up. Each reason has a counter of its own.
type Reason string

// Reasons for refusals by an entry. A call refused with one of them was not run.
const (
	// ShareExceeded: the caller is beyond its share and its queue is full.
	ShareExceeded Reason = "share"
	// Deadline: the call cannot be answered in the time that it has left.
	Deadline Reason = "deadline"
	// QueueFull: the queue of the service is full.
	QueueFull Reason = "queue"
	// Cold: every target that is left is in its cold start and has all the work it can bear.
	Cold Reason = "cold"
	// Drained: no target of the service is in operation.
	Drained Reason = "drained"
	// Isolated: the entry has lost contact with the platform and with its peers.
	Isolated Reason = "isolated"
	// TableUnavailable: the platform's table is down, so an at-most-once call cannot be claimed.
	TableUnavailable Reason = "table"
	// KeyMissing: a non-idempotent call has no idempotency key.
	KeyMissing Reason = "key"
	// Conflict: the idempotency key was used with another request.
	Conflict Reason = "conflict"
	// Claimed: another call with the same idempotency key is being run or ended in an unknown outcome.
	Claimed Reason = "claimed"
	// UnknownService: no service has this path.
	UnknownService Reason = "service"
	// UnknownCaller: the caller is not in the settings.
	UnknownCaller Reason = "caller"
	// Leaving: the entry or the target is shutting down.
	Leaving Reason = "leaving"
	// Invalid: the request cannot be written as an HTTP/1.1 request to a target.
	Invalid Reason = "invalid"
)

// Reasons for which a dispatch did not end in a whole answer, and for which a call may be sent again.
const (
	// Shed: the target refused without running the call.
	Shed Reason = "shed"
	// Dial: no connection to the target could be opened or checked.
	Dial Reason = "dial"
	// Broken: the connection broke before the head of the answer.
	Broken Reason = "broken"
	// Truncated: the answer ended early.
	Truncated Reason = "truncated"
	// Mismatched: the answer belongs to another request.
	Mismatched Reason = "crossed"
	// TimedOut: nothing came back on the connection in time.
	TimedOut Reason = "silent"
	// Canceled: the caller went away or a faster attempt won.
	Canceled Reason = "canceled"
	// InstanceChanged: the target is no longer the instance that was expected, so it is cold.
	InstanceChanged Reason = "instance"
	// BudgetExhausted: the probe budget of the target allows no further connection check now.
	BudgetExhausted Reason = "budget"
	// Hedge: an additional attempt because the first one is slower than usual.
	Hedge Reason = "hedge"
)

// Refusals lists the refusal reasons in a fixed order, for counters and documentation.
var Refusals = []Reason{ShareExceeded, Deadline, QueueFull, Cold, Drained, Isolated, TableUnavailable, KeyMissing, Conflict, Claimed, UnknownService, UnknownCaller, Leaving, Invalid}

// Retries lists the retry reasons in a fixed order, for counters and documentation.
var Retries = []Reason{Shed, Dial, Broken, Truncated, Mismatched, TimedOut, Canceled, InstanceChanged, BudgetExhausted, Hedge}
