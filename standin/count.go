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
	// DrainingCalls is the number of calls received while draining.
	DrainingCalls int `json:"drained"`
	// MaxColdConcurrency is the largest number of calls at once while cold.
	MaxColdConcurrency int `json:"peak"`
	// ColdViolations is the number of calls received while cold beyond what the target bears.
	ColdViolations int `json:"violations"`
	// LastColdViolation describes the calls that were present at the last violation.
	LastColdViolation string `json:"last,omitempty"`
	// LoadReads is the number of load reads.
	LoadReads int `json:"loads"`
	// MaxLoadReadsPerSecond is the largest number of load reads in any window of one second.
	MaxLoadReadsPerSecond int `json:"window"`
	// Canceled is the number of calls that ended early: the connection was closed or the time left was over.
	Canceled int `json:"canceled"`
	// LastTimeout is the time left that the last call came with.
	LastTimeout Duration `json:"left"`
}

// RunCounts are the numbers of runs by Skylarkbeam-Key and by Skylarkbeam-Request.
type RunCounts struct {
	ByKey     map[string]int `json:"keys"`
	ByRequest map[string]int `json:"requests"`
}

func newRuns() RunCounts {
	return RunCounts{
		ByKey:     map[string]int{},
		ByRequest: map[string]int{},
	}
}

// Counts returns the current counts.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Runs returns a copy of the recorded runs.
func (t *Target) Runs() RunCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return RunCounts{
		ByKey:     maps.Clone(t.runs.ByKey),
		ByRequest: maps.Clone(t.runs.ByRequest),
	}
}

// RunsForKey returns how often calls with the key ran.
func (t *Target) RunsForKey(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs.ByKey[key]
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
	t.counts.LoadReads++
	t.counts.MaxLoadReadsPerSecond = max(t.counts.MaxLoadReadsPerSecond, len(t.loads))
}

// countRun counts the begin of a run. The caller holds the lock.
func (t *Target) countRun(id, key string) {
	t.counts.Runs++
	if t.switches.DiscardRuns {
		return
	}
	if id != "" {
		t.runs.ByRequest[id]++
	}
	if key != "" {
		t.runs.ByKey[key]++
	}
}
