package entry

import "skylarkbeam/target"

// Headers between caller and entry. Those that targets see as well are defined in package target.
const (
	headerCaller   = target.HeaderCaller
	headerTimeout  = target.HeaderTimeout
	headerKey      = "Idempotency-Key"
	headerOutcome  = target.HeaderOutcome
	headerReason   = "Skylarkbeam-Reason"
	headerReplayed = "Skylarkbeam-Replayed"
	headerStatus   = "Skylarkbeam-Status"
	headerRequest  = target.HeaderRequest
	headerRepeat   = target.HeaderRepeat
)

// headerPrefix begins the names of all headers of the system. A target's own are not passed on to callers.
const headerPrefix = "Skylarkbeam-"

// Values of the header Skylarkbeam-Outcome.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
	outcomeFailed   = "failed"
)

// controlPath is the prefix of the paths that the system itself serves; no service can have it.
const controlPath = "/skylarkbeam/"
