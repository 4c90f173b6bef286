package standin

import (
	"time"

	"skylarkbeam/outcome"
)

// Duration is a time.Duration that is written as text, like "250ms", in JSON.
type Duration time.Duration

// MarshalText writes the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Behavior set how a target behaves. They can be changed at any moment and apply from the next call on.
type Behavior struct {
	// Slots is how many calls run at once; 4 by default.
	Slots int `json:"slots"`
	// QueueLimit is how many more calls wait; beyond it calls are refused with 503, not run.
	QueueLimit int `json:"queue"`
	// ServiceTime is how long a call runs.
	ServiceTime Duration `json:"work"`
	// Slowdown multiplies Work, for a straggler or a noisy neighbour; 1 by default.
	Slowdown float64 `json:"slow"`
	// ColdDuration is how long the target is cold after its start. A change applies from the next restart on.
	ColdDuration Duration `json:"cold"`
	// ColdConcurrency is how many calls at once the target bears while it is cold. Calls beyond it run and are counted as
	// violations.
	ColdConcurrency int `json:"bear"`
	// ColdSlowdown multiplies Work while the target is cold; 3 by default.
	ColdSlowdown float64 `json:"warmup"`
	// CancellationDelay is how long a call goes on to run after its connection was closed or its time left was over.
	CancellationDelay Duration `json:"linger"`
	// Draining makes the phase draining; new calls are counted and refused with 503, not run.
	Draining bool `json:"drain"`
	// Paused accepts calls and load reads and leaves them without an answer until it is switched off.
	Paused bool `json:"freeze"`
	// Fault applies to each call for which Next has set none.
	Fault Fault `json:"fault"`
	// FaultShare is the fraction of the calls to which Fault applies, and FaultPath the beginning of their paths; 0 and
	// empty for all. With Slowdown, they make the versions of a service that a roll-out has to find out.
	FaultShare float64 `json:"share"`
	FaultPath  string  `json:"path"`
	// Version is the version of the software that the target stands for.
	Version string `json:"version"`
	// ResponseDelay is how late the answers of FaultLate are.
	ResponseDelay Duration `json:"delay"`
	// LoadReportAge is the age of what a load read returns, except for the instance.
	LoadReportAge Duration `json:"stale"`
	// FixedLoad is returned by load reads in place of the true load. An empty instance stands for the current one.
	FixedLoad *LoadReport `json:"fixed"`
	// DependencyURL is the URL of a call to another service, which the target makes with the method and the body of each call that it
	// runs, after Work and before it frees the slot. The call is answered when the whole answer to the onward call has
	// arrived, and with 502 if that call fails. Empty for none.
	DependencyURL string `json:"onward"`
	// OmitRetryHeader leaves Skylarkbeam-Repeat out of onward calls, as a target does that does not know it.
	OmitRetryHeader bool `json:"unmarked"`
	// DiscardRuns stops the recording of runs, which needs memory for each call.
	DiscardRuns bool `json:"forget"`
}

// LoadReport is the body of a load read.
type LoadReport struct {
	Instance string        `json:"instance"`
	Phase    outcome.Phase `json:"phase"`
	Active   int           `json:"active"`
	Slots    int           `json:"slots"`
	Queued   int           `json:"queued"`
}

// SetDefaults fills zero fields.
func (s *Behavior) SetDefaults() {
	if s.Slots == 0 {
		s.Slots = 4
	}
	if s.Slowdown == 0 {
		s.Slowdown = 1
	}
	if s.ColdSlowdown == 0 {
		s.ColdSlowdown = 3
	}
}

// Behavior returns the current switches.
func (t *Target) Behavior() Behavior {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.switches
}

// UpdateBehavior changes the switches. The function must not call the target.
func (t *Target) UpdateBehavior(change func(*Behavior)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.switches)
	t.switches.SetDefaults()
	t.admit()
	t.signal()
}

// signal wakes what waits for a change of the switches. The caller holds the lock.
func (t *Target) signal() {
	close(t.changed)
	t.changed = make(chan struct{})
}
