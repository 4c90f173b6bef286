package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// controls returns the handler of the paths under /standin/.
func (t *Target) controls() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/{$}", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, struct {
			Name     string   `json:"name"`
			Service  string   `json:"service"`
			Instance string   `json:"instance"`
			Switches Behavior `json:"switches"`
			Counts   Counts   `json:"counts"`
		}{
			Name:     t.name,
			Service:  t.service,
			Instance: t.Instance(),
			Switches: t.Behavior(),
			Counts:   t.Counts(),
		})
	})
	mux.HandleFunc("GET /standin/runs", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, t.Runs())
	})
	mux.HandleFunc("PATCH /standin/switches", func(w http.ResponseWriter, r *http.Request) {
		// Decoding into a copy keeps an invalid request from changing anything.
		changed := t.Behavior()
		if changed.FixedLoad != nil {
			fixed := *changed.FixedLoad
			changed.FixedLoad = &fixed
		}
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&changed)
		if err == nil && changed.Fault != FaultNone && !slices.Contains(Faults, changed.Fault) {
			err = fmt.Errorf("fault %q does not exist", changed.Fault)
		}
		if err != nil {
			http.Error(w, fmt.Sprintf("switches: %v", err), http.StatusBadRequest)
			return
		}
		t.UpdateBehavior(func(s *Behavior) { *s = changed })
		writeJSON(w, t.Behavior())
	})
	mux.HandleFunc("POST /standin/next", func(w http.ResponseWriter, r *http.Request) {
		var faults []Fault
		for name := range strings.SplitSeq(r.URL.Query().Get("fault"), ",") {
			f := Fault(name)
			if f != FaultNone && !slices.Contains(Faults, f) {
				http.Error(w, fmt.Sprintf("fault %q does not exist", name), http.StatusBadRequest)
				return
			}
			faults = append(faults, f)
		}
		t.InjectFaults(faults...)
	})
	mux.HandleFunc("POST /standin/restart", func(_ http.ResponseWriter, r *http.Request) {
		t.Restart(r.URL.Query().Get("keep") != "")
	})
	mux.HandleFunc("POST /standin/silence", func(_ http.ResponseWriter, r *http.Request) {
		t.BlackholeConnections(r.URL.Query().Get("run") != "")
	})
	mux.HandleFunc("POST /standin/reset", func(http.ResponseWriter, *http.Request) {
		t.Reset()
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The error is that of a connection that broke.
	_ = json.NewEncoder(w).Encode(v)
}
