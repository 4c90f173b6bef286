package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"skylarkbeam/outcome"
)

// sample is the load at one moment.
type sample struct {
	time   time.Time
	report outcome.Report
}

// note keeps the load for stale load reads. The caller holds the lock and calls it after each change.
func (t *Target) note() {
	if t.switches.LoadReportAge == 0 {
		t.history = nil
		return
	}
	now := time.Now()
	t.history = append(t.history, sample{
		time:   now,
		report: t.report(),
	})
	// One sample older than the limit remains: it was current at the limit.
	limit := now.Add(-time.Duration(t.switches.LoadReportAge))
	n := 0
	for n+1 < len(t.history) && t.history[n+1].time.Before(limit) {
		n++
	}
	t.history = append(t.history[:0], t.history[n:]...)
}

// load returns what a load read returns. The caller holds the lock.
func (t *Target) load() LoadReport {
	if f := t.switches.FixedLoad; f != nil {
		l := *f
		if l.Instance == "" {
			l.Instance = t.life.instance
		}
		return l
	}
	r := t.report()
	if t.switches.LoadReportAge > 0 {
		limit := time.Now().Add(-time.Duration(t.switches.LoadReportAge))
		old := outcome.Report{
			Phase: r.Phase,
			Slots: r.Slots,
		}
		for _, s := range t.history {
			if s.time.After(limit) {
				break
			}
			old = s.report
		}
		// A process cannot know the id of another start.
		old.Instance = r.Instance
		r = old
	}
	return LoadReport{
		Instance: r.Instance,
		Phase:    r.Phase,
		Active:   r.Active,
		Slots:    r.Slots,
		Queued:   r.Queued,
	}
}

func (t *Target) serveLoad(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.countLoad(time.Now())
	t.mu.Unlock()
	if !t.thaw(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	t.mu.Lock()
	l := t.load()
	fault := t.switches.Fault
	t.mu.Unlock()
	switch fault {
	case FaultError:
		t.refuse(w, r, http.StatusInternalServerError, false)
		return
	case FaultClose:
		panic(http.ErrAbortHandler)
	}
	data, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	for name, values := range t.fields(r.Header.Get("Skylarkbeam-Request")) {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
