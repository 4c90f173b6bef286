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

// Switches set how a target behaves. They can be changed at any moment and apply from the next call on.
type Switches struct {
	// Slots is how many calls run at once; 4 by default.
	Slots int `json:"slots"`
	// Queue is how many more calls wait; beyond it calls are refused with 503, not run.
	Queue int `json:"queue"`
	// Work is how long a call runs.
	Work Duration `json:"work"`
	// Slow multiplies Work, for a straggler or a noisy neighbour; 1 by default.
	Slow float64 `json:"slow"`
	// Cold is how long the target is cold after its start. A change applies from the next restart on.
	Cold Duration `json:"cold"`
	// Bear is how many calls at once the target bears while it is cold. Calls beyond it run and are counted as
	// violations.
	Bear int `json:"bear"`
	// Warmup multiplies Work while the target is cold; 3 by default.
	Warmup float64 `json:"warmup"`
	// Linger is how long a call goes on to run after its connection was closed or its time left was over.
	Linger Duration `json:"linger"`
	// Drain makes the phase draining; new calls are counted and refused with 503, not run.
	Drain bool `json:"drain"`
	// Freeze accepts calls and load reads and leaves them without an answer until it is switched off.
	Freeze bool `json:"freeze"`
	// Fault applies to each call for which Next has set none.
	Fault Fault `json:"fault"`
	// Delay is how late the answers of FaultLate are.
	Delay Duration `json:"delay"`
	// Stale is the age of what a load read returns, except for the instance.
	Stale Duration `json:"stale"`
	// Fixed is returned by load reads in place of the true load. An empty instance stands for the current one.
	Fixed *Load `json:"fixed"`
	// Onward is the URL of a call to another service, which the target makes with the method and the body of each call that it
	// runs, after Work and before it frees the slot. The call is answered when the whole answer to the onward call has
	// arrived, and with 502 if that call fails. Empty for none.
	Onward string `json:"onward"`
	// Unmarked leaves Skylarkbeam-Repeat out of onward calls, as a target does that does not know it.
	Unmarked bool `json:"unmarked"`
	// Forget stops the recording of runs, which needs memory for each call.
	Forget bool `json:"forget"`
}

// Load is the body of a load read.
type Load struct {
	Instance string        `json:"instance"`
	Phase    outcome.Phase `json:"phase"`
	Active   int           `json:"active"`
	Slots    int           `json:"slots"`
	Queued   int           `json:"queued"`
}

// Defaults fills zero fields.
func (s *Switches) Defaults() {
	if s.Slots == 0 {
		s.Slots = 4
	}
	if s.Slow == 0 {
		s.Slow = 1
	}
	if s.Warmup == 0 {
		s.Warmup = 3
	}
}

// Switches returns the current switches.
func (t *Target) Switches() Switches {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.switches
}

// Set changes the switches. The function must not call the target.
func (t *Target) Set(change func(*Switches)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.switches)
	t.switches.Defaults()
	t.admit()
	t.signal()
}

// signal wakes what waits for a change of the switches. The caller holds the lock.
func (t *Target) signal() {
	close(t.changed)
	t.changed = make(chan struct{})
}
