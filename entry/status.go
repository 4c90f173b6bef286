package entry

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"skylarkbeam/memory"
	"skylarkbeam/outcome"
	"skylarkbeam/route"
	"skylarkbeam/setting"
)

// Status is the state of an entry, as shown to operators.
type Status struct {
	Entry   string `json:"entry"`
	Domain  string `json:"domain"`
	Contact bool   `json:"contact"`
	Leaving bool   `json:"leaving"`
	Version uint64 `json:"version"`
	// BaseVersion is the version of the last change, which the next change must be based on.
	BaseVersion    uint64          `json:"base"`
	ChangeAuthor   string          `json:"who"`
	ChangeSummary  string          `json:"what"`
	ChangeTime     string          `json:"when"`
	DrainedDomains []string        `json:"domains"`
	DrainedTargets []string        `json:"targets"`
	Members        []memberStatus  `json:"members"`
	Services       []ServiceStatus `json:"services"`
	// Rollouts are the roll-outs that the operator has ordered.
	Rollouts       []RolloutStatus `json:"rollouts,omitempty"`
	Tasks          []taskStatus    `json:"tasks"`
	TargetStatuses []targetStatus  `json:"phases"`
	// Counts holds the counters of refusals, retries and outcomes that are not zero.
	Counts map[string]uint64 `json:"counts"`
	// Memory is the memory held for bodies, heads and responses.
	Memory []memory.Usage `json:"memory,omitempty"`
	// Workspaces are the workspaces with the most requests, and the sum of the others.
	Workspaces []WorkspaceStatus `json:"workspaces,omitempty"`
	// Events are the last changes of state, oldest first.
	Events []Event `json:"events"`
}

type memberStatus struct {
	Name         string           `json:"name"`
	Domain       string           `json:"domain"`
	Control      netip.AddrPort   `json:"control"`
	State        string           `json:"state"`
	Version      uint64           `json:"version"`
	LastHeardAgo setting.Duration `json:"heard"`
}

// ServiceStatus is the state of a service at this entry.
type ServiceStatus struct {
	Service string `json:"service"`
	// Targets is the number of targets by how this entry uses them.
	Targets map[string]int `json:"targets"`
	// InFlight and Waiting are the numbers of calls at targets and in the queue.
	InFlight int `json:"calls"`
	Waiting  int `json:"waiting"`
}

type taskStatus struct {
	Name     string           `json:"name"`
	Interval setting.Duration `json:"interval"`
}

type targetStatus struct {
	Target       string `json:"target"`
	Service      string `json:"service"`
	Owner        string `json:"owner"`
	WarmInstance string `json:"warm"`
	Instance     string `json:"instance"`
	// Phase is what the target last reported. RoutingState is how this entry uses the target.
	Phase        outcome.Phase `json:"phase"`
	RoutingState string        `json:"use"`
	// Limit is the rate of calls that the target takes from all entries together, in calls per second; nil if it has
	// named none.
	Limit *float64 `json:"limit,omitempty"`
}

// serveStatus responds with the status. With the query brief, it leaves out what a view of many entries does not need.
func (e *Entry) serveStatus(req *restful.Request, resp *restful.Response) {
	if req.QueryParameter("brief") != "" {
		writeJSON(resp, e.briefStatus())
		return
	}
	writeJSON(resp, e.Status())
}

// Status returns the current status.
func (e *Entry) Status() Status {
	s := e.briefStatus()
	now := e.timers.Now()
	for _, m := range e.fleet.Members() {
		row := memberStatus{
			Name:    m.Name,
			Domain:  m.Domain,
			Control: m.Control,
			State:   string(m.State),
			Version: m.Version,
		}
		if !m.LastHeard.IsZero() {
			row.LastHeardAgo = setting.Duration(now.Sub(m.LastHeard).Round(time.Millisecond))
		}
		s.Members = append(s.Members, row)
	}
	for _, t := range e.timers.Tasks() {
		s.Tasks = append(s.Tasks, taskStatus{
			Name:     t.Name,
			Interval: setting.Duration(t.Interval),
		})
	}
	s.TargetStatuses = e.targetStatuses(e.table.Status(now))
	s.Workspaces = e.metrics.workspaces.largest()
	s.Events = e.journal.list()
	s.Memory = e.memoryUsage()
	return s
}

// briefStatus returns the status without members, tasks, events and targets in normal use.
func (e *Entry) briefStatus() Status {
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
		Counts:         e.metrics.nonzero(),
	}
	if !state.When.IsZero() {
		s.ChangeTime = state.When.UTC().Format(time.RFC3339)
	}
	targets := e.table.Status(now)
	s.Services = e.serviceStatuses(targets)
	s.Rollouts = e.rollouts.status(now)
	s.TargetStatuses = e.targetStatuses(slices.DeleteFunc(targets, func(t route.Status) bool {
		return routingState(t) == UseWarm
	}))
	return s
}

// serviceStatuses returns the state of the services, sorted by name.
func (e *Entry) serviceStatuses(targets []route.Status) []ServiceStatus {
	services := e.snapshot.Load().services
	rows := make([]ServiceStatus, 0, len(services))
	for _, name := range slices.Sorted(maps.Keys(services)) {
		row := ServiceStatus{
			Service:  name,
			Targets:  map[string]int{},
			InFlight: e.table.Inflight(name),
			Waiting:  services[name].queue.Len(),
		}
		for _, t := range targets {
			if t.Service == name {
				row.Targets[routingState(t)]++
			}
		}
		rows = append(rows, row)
	}
	return rows
}

func (e *Entry) targetStatuses(targets []route.Status) []targetStatus {
	snap := e.snapshot.Load()
	var rows []targetStatus
	for _, s := range targets {
		p := snap.pools[s.Target]
		if p == nil {
			continue
		}
		report, _ := p.LastReport()
		row := targetStatus{
			Target:       s.Target,
			Service:      s.Service,
			Owner:        e.fleet.Owner(s.Target),
			WarmInstance: e.fleet.WarmInstance(s.Target),
			Instance:     report.Instance,
			Phase:        report.Phase,
			RoutingState: routingState(s),
		}
		if s.Limited {
			row.Limit = &s.LimitRate
		}
		rows = append(rows, row)
	}
	return rows
}

// Routing states of targets: in normal use, and held back because of the version.
const (
	UseWarm = "warm"
	UseHeld = "held for its version"
)

// routingState describes how the entry uses a target.
func routingState(s route.Status) string {
	switch {
	case s.Held:
		return UseHeld
	case !s.InService:
		return "drained or leaving"
	case !s.Warm:
		return "cold"
	case s.Unreachable:
		return "unreachable"
	case s.Paused:
		return "paused"
	case s.Limited:
		return "limited"
	case !s.EjectedUntil.IsZero():
		return "ejected after failures"
	}
	return UseWarm
}
