package entry

// Headers between caller and entry, and between entry and target.
const (
	headerCaller   = "Skylarkbeam-Caller"
	headerTimeout  = "Skylarkbeam-Timeout"
	headerKey      = "Idempotency-Key"
	headerOutcome  = "Skylarkbeam-Outcome"
	headerReason   = "Skylarkbeam-Reason"
	headerReplayed = "Skylarkbeam-Replayed"
	headerRequest  = "Skylarkbeam-Request"
)

// Values of the header Skylarkbeam-Outcome.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
	outcomeFailed   = "failed"
)

// controlPath is the prefix of the paths that the system itself serves; no service can have it.
const controlPath = "/skylarkbeam/"
