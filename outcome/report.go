package outcome

import "time"

// Phase is what a target says of its own readiness. It can lag or mislead.
type Phase string

// The phases that a target reports.
const (
	PhaseUnknown  Phase = ""
	PhaseCold     Phase = "cold"
	PhaseWarm     Phase = "warm"
	PhaseDraining Phase = "draining"
)

// Report is what an answer or a load read carried about the target.
type Report struct {
	// Instance identifies one process start of the target.
	Instance string
	Phase    Phase
	// Active is the number of calls being run, Slots how many the target runs at once, Queued the calls that wait.
	Active int
	Slots  int
	Queued int
	// Slowdown is how long work takes at the target at this moment, relative to the usual time; 0 if it does not say.
	Slowdown float64
	// ColdRemaining is how much longer the target stays cold; 0 if it is warm or does not say.
	ColdRemaining time.Duration
}
