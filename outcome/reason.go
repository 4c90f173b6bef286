package outcome

// Reason says why a call was refused, retried or canceled. Each reason has its own counter.
type Reason string

// Reasons for refusals by an entry. A call refused with one of them was not run.
const (
	// ShareExceeded means that the caller is above its share and would wait too long, or finds its queue full.
	ShareExceeded Reason = "share"
	// Deadline means that the call cannot be answered in the time left.
	Deadline Reason = "deadline"
	// QueueFull means that the queue of the service is full.
	QueueFull Reason = "queue"
	// Cold means that every available target is in its cold start and has as many calls as it can handle.
	Cold Reason = "cold"
	// Drained means that no target of the service is in service.
	Drained Reason = "drained"
	// Isolated means that the entry has lost contact with the platform and with its peers.
	Isolated Reason = "isolated"
	// TableUnavailable means that the table of the platform is unavailable, so that an at-most-once call cannot be
	// claimed.
	TableUnavailable Reason = "table"
	// KeyMissing means that a non-idempotent call has no idempotency key.
	KeyMissing Reason = "key"
	// Conflict means that the idempotency key was used with a different request.
	Conflict Reason = "conflict"
	// Claimed means that another call with the same idempotency key is in progress or ended with an unknown outcome.
	Claimed Reason = "claimed"
	// UnknownService means that no service has this path.
	UnknownService Reason = "service"
	// UnknownCaller means that the caller is not in the settings.
	UnknownCaller Reason = "caller"
	// Leaving means that the entry or the target is shutting down.
	Leaving Reason = "leaving"
	// Unauthorized means that the key of the request is missing, unknown or revoked.
	Unauthorized Reason = "unauthorized"
	// Unconfirmed means that the entry does not know the key, and cannot tell whether it is behind.
	Unconfirmed Reason = "unconfirmed"
	// Allowance means that the workspace of the call has used its allowance.
	Allowance Reason = "allowance"
	// NoLender means that the allowance of the workspace cannot be asked for.
	NoLender Reason = "lender"
	// Stale means that the entry has not heard from the platform for so long that keys may have been revoked.
	Stale Reason = "stale"
	// Invalid means that the request cannot be written as an HTTP/1.1 request to a target.
	Invalid Reason = "invalid"
	// NoMemory means that no memory was free for the body of the request in time.
	NoMemory Reason = "memory"
	// Slow means that the body of the request arrived too slowly.
	Slow Reason = "slow"
)

// Reasons for which an attempt got no complete response, and for which a call may be retried.
const (
	// Shed means that the target refused the call without running it.
	Shed Reason = "shed"
	// Dial means that no connection to the target could be opened or checked.
	Dial Reason = "dial"
	// Broken means that the connection broke before the headers of the response.
	Broken Reason = "broken"
	// Truncated means that the response ended early.
	Truncated Reason = "truncated"
	// Mismatched means that the response belongs to another request.
	Mismatched Reason = "crossed"
	// TimedOut means that nothing was received on the connection in time.
	TimedOut Reason = "silent"
	// Canceled means that the caller disconnected or a faster attempt won.
	Canceled Reason = "canceled"
	// InstanceChanged means that the target is no longer the expected instance, and is therefore cold.
	InstanceChanged Reason = "instance"
	// RateLimited means that the target limits the rate of its calls, and that this entry has no turn.
	RateLimited Reason = "limit"
	// Paused means that the target wants nothing from this entry for a while.
	Paused Reason = "pause"
	// BudgetExhausted means that the probe budget of the target allows no connection check at the moment.
	BudgetExhausted Reason = "budget"
	// Hedge means an additional attempt because the first one is slower than usual.
	Hedge Reason = "hedge"
	// VersionHeld means that a roll-out keeps calls from the version of the target.
	VersionHeld Reason = "version"
)

// Refusals lists the reasons for refusals in a fixed order, for counters and documentation.
var Refusals = []Reason{
	ShareExceeded, Deadline, QueueFull, Cold, Drained, Isolated, TableUnavailable, KeyMissing, Conflict, Claimed,
	UnknownService, UnknownCaller, Leaving, Invalid, NoMemory, Slow, Unauthorized, Unconfirmed, Stale, Allowance,
	NoLender,
}

// Retries lists the reasons for retries in a fixed order, for counters and documentation.
var Retries = []Reason{
	Shed, Dial, Broken, Truncated, Mismatched, TimedOut, Canceled, InstanceChanged, RateLimited, Paused, BudgetExhausted, Hedge, VersionHeld,
}
