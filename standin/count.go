package standin

import (
	"maps"
	"time"
)

// Counts are what a target has counted since its stand-in was created or since Reset. A restart does not change them.
type Counts struct {
	// Calls is the number of calls received, refused ones included.
	Calls int `json:"calls"`
	// Runs is the number of calls that began to run.
	Runs int `json:"runs"`
	// Shed is the number of calls refused because the queue was full, or by FaultShed.
	Shed int `json:"shed"`
	// Drained is the number of calls received while draining.
	Drained int `json:"drained"`
	// Peak is the largest number of calls at once while cold.
	Peak int `json:"peak"`
	// Violations is the number of calls received while cold beyond what the target bears.
	Violations int `json:"violations"`
	// Last describes the calls that were present at the last violation.
	Last string `json:"last,omitempty"`
	// Loads is the number of load reads.
	Loads int `json:"loads"`
	// Window is the largest number of load reads in any window of one second.
	Window int `json:"window"`
	// Canceled is the number of calls that ended early: the connection was closed or the time left was over.
	Canceled int `json:"canceled"`
	// Left is the time left that the last call came with.
	Left Duration `json:"left"`
}

// Runs are the numbers of runs by Skylarkbeam-Key and by Skylarkbeam-Request.
type Runs struct {
	Keys     map[string]int `json:"keys"`
	Requests map[string]int `json:"requests"`
}

func newRuns() Runs {
	return Runs{
		Keys:     map[string]int{},
		Requests: map[string]int{},
	}
}

// Counts returns the current counts.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Runs returns a copy of the recorded runs.
func (t *Target) Runs() Runs {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Runs{
		Keys:     maps.Clone(t.runs.Keys),
		Requests: maps.Clone(t.runs.Requests),
	}
}

// KeyRuns returns how often calls with the key ran.
func (t *Target) KeyRuns(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs.Keys[key]
}

// Reset sets all counts to zero and forgets the recorded runs.
func (t *Target) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts = Counts{}
	t.runs = newRuns()
	t.loads = nil
}

// countLoad counts a load read. The caller holds the lock.
func (t *Target) countLoad(now time.Time) {
	n := 0
	for n < len(t.loads) && now.Sub(t.loads[n]) >= time.Second {
		n++
	}
	t.loads = append(t.loads[:0], t.loads[n:]...)
	t.loads = append(t.loads, now)
	t.counts.Loads++
	t.counts.Window = max(t.counts.Window, len(t.loads))
}

// countRun counts the begin of a run. The caller holds the lock.
func (t *Target) countRun(id, key string) {
	t.counts.Runs++
	if t.switches.Forget {
		return
	}
	if id != "" {
		t.runs.Requests[id]++
	}
	if key != "" {
		t.runs.Keys[key]++
	}
}
