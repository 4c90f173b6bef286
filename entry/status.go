package entry

import (
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"skylarkbeam/outcome"
	"skylarkbeam/route"
	"skylarkbeam/setting"
)

// Status is what an entry tells operators about itself.
type Status struct {
	Entry          string   `json:"entry"`
	Domain         string   `json:"domain"`
	Contact        bool     `json:"contact"`
	Leaving        bool     `json:"leaving"`
	Version        uint64   `json:"version"`
	BaseVersion    uint64   `json:"base"`
	ChangeAuthor   string   `json:"who"`
	ChangeSummary  string   `json:"what"`
	ChangeTime     string   `json:"when"`
	DrainedDomains []string `json:"domains"`
	DrainedTargets []string `json:"targets"`
	Members        []member `json:"members"`
	Tasks          []task   `json:"tasks"`
	TargetStatuses []phase  `json:"phases"`
	// Counts are the counters of refusals, retries and outcomes that are not zero.
	Counts map[string]uint64 `json:"counts"`
	// Events are the last changes of state, the oldest first.
	Events []Event `json:"events"`
}

type member struct {
	Name         string           `json:"name"`
	Domain       string           `json:"domain"`
	State        string           `json:"state"`
	Version      uint64           `json:"version"`
	LastHeardAgo setting.Duration `json:"heard"`
}

type task struct {
	Name     string           `json:"name"`
	Interval setting.Duration `json:"interval"`
}

type phase struct {
	Target       string `json:"target"`
	Service      string `json:"service"`
	Owner        string `json:"owner"`
	WarmInstance string `json:"warm"`
	Instance     string `json:"instance"`
	// Phase is what the target said last, Use how this entry uses it.
	Phase        outcome.Phase `json:"phase"`
	RoutingState string        `json:"use"`
}

func (e *Entry) serveStatus(_ *restful.Request, resp *restful.Response) {
	writeJSON(resp, e.Status())
}

// Status returns what the entry knows and does at this moment.
func (e *Entry) Status() Status {
	now := e.timers.Now()
	state := e.fleet.State()
	s := Status{
		Entry:          e.opts.Name,
		Domain:         e.opts.Domain,
		Contact:        e.fleet.CanServe(now),
		Leaving:        e.leaving.Load(),
		Version:        state.Version,
		BaseVersion:    state.BaseVersion,
		ChangeAuthor:   state.Who,
		ChangeSummary:  state.What,
		DrainedDomains: append([]string{}, state.DrainedDomains...),
		DrainedTargets: append([]string{}, state.DrainedTargets...),
	}
	if !state.When.IsZero() {
		s.ChangeTime = state.When.UTC().Format(time.RFC3339)
	}
	for _, m := range e.fleet.Members() {
		row := member{
			Name:    m.Name,
			Domain:  m.Domain,
			State:   string(m.State),
			Version: m.Version,
		}
		if !m.LastHeard.IsZero() {
			row.LastHeardAgo = setting.Duration(now.Sub(m.LastHeard).Round(time.Millisecond))
		}
		s.Members = append(s.Members, row)
	}
	for _, t := range e.timers.Tasks() {
		s.Tasks = append(s.Tasks, task{
			Name:     t.Name,
			Interval: setting.Duration(t.Interval),
		})
	}
	s.TargetStatuses = e.phases()
	s.Counts = e.counters.nonzero()
	s.Events = e.journal.list()
	return s
}

func (e *Entry) phases() []phase {
	v := e.view.Load()
	var rows []phase
	for _, s := range e.table.Status(e.timers.Now()) {
		p := v.pools[s.Target]
		if p == nil {
			continue
		}
		report, _ := p.LastReport()
		rows = append(rows, phase{
			Target:       s.Target,
			Service:      s.Service,
			Owner:        e.fleet.Owner(s.Target),
			WarmInstance: e.fleet.WarmInstance(s.Target),
			Instance:     report.Instance,
			Phase:        report.Phase,
			RoutingState: useOf(s),
		})
	}
	return rows
}

// useOf says how the entry uses a target.
func useOf(s route.Status) string {
	switch {
	case !s.InService:
		return "drained or leaving"
	case !s.Warm:
		return "cold"
	case !s.EjectedUntil.IsZero():
		return "ejected after failures"
	}
	return "warm"
}
