package entry

import "skylarkbeam/target"

// Headers exchanged with callers. Those that are also sent to targets are defined in package target.
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

// headerPrefix is the prefix of all headers of this project. Headers from a target with this prefix are not passed on
// to callers.
const headerPrefix = "Skylarkbeam-"

// Values of the header Skylarkbeam-Outcome.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
	outcomeFailed   = "failed"
)

// controlPath is the prefix of the paths that the entry itself serves. No service and no route of the settings can use it;
// a desired state can, see Options.NoAddressList.
const controlPath = "/skylarkbeam/"
