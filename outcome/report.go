package outcome

import "time"

// Phase is what a target reports about its own readiness. It can be stale or wrong.
type Phase string

// Phases reported by targets.
const (
	PhaseUnknown  Phase = ""
	PhaseCold     Phase = "cold"
	PhaseWarm     Phase = "warm"
	PhaseDraining Phase = "draining"
)

// Report is the information about a target that a response or a load read carries.
type Report struct {
	// Instance identifies one process start of the target.
	Instance string
	Phase    Phase
	// Active is the number of calls that are running.
	Active int
	// Slots is the number of calls that the target runs at once.
	Slots int
	// Queued is the number of calls that wait at the target.
	Queued int
	// Slowdown is the current duration of calls at the target, relative to the usual one; 0 if not reported.
	Slowdown float64
	// ColdRemaining is the time until the cold start of the target ends; 0 if it is warm or does not report it.
	ColdRemaining time.Duration
}
