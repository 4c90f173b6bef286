package entry

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"skylarkbeam/outcome"
)

// shownWorkspaces is the number of workspaces that metrics and status name; the others are summed up. A deployment has
// about a hundred, a few of them large.
const shownWorkspaces = 20

// restOfWorkspaces is the name of the sum of the workspaces that are not named.
const restOfWorkspaces = "(rest)"

// WorkspaceStatus is what an entry has received from a workspace since its start.
type WorkspaceStatus struct {
	Workspace string `json:"workspace"`
	// Requests is the number of requests, and Refused the number of those that were refused, by reason.
	Requests uint64                    `json:"requests"`
	Refused  map[outcome.Reason]uint64 `json:"refused"`
}

// workspaceUsage counts the requests of workspaces. The names come from the settings.
type workspaceUsage struct {
	mu     sync.Mutex
	counts map[string]*WorkspaceStatus
}

// record counts a request of a workspace. reason is empty unless it was refused.
func (u *workspaceUsage) record(name string, reason outcome.Reason) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts == nil {
		u.counts = map[string]*WorkspaceStatus{}
	}
	s := u.counts[name]
	if s == nil {
		s = &WorkspaceStatus{
			Workspace: name,
			Refused:   map[outcome.Reason]uint64{},
		}
		u.counts[name] = s
	}
	s.Requests++
	if reason != "" {
		s.Refused[reason]++
	}
}

// largest returns the counts of the workspaces with the most requests, and the sum of the others.
func (u *workspaceUsage) largest() []WorkspaceStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list []WorkspaceStatus
	for _, s := range u.counts {
		c := *s
		c.Refused = maps.Clone(s.Refused)
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b WorkspaceStatus) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Workspace, b.Workspace))
	})
	if len(list) <= shownWorkspaces {
		return list
	}
	rest := WorkspaceStatus{
		Workspace: restOfWorkspaces,
		Refused:   map[outcome.Reason]uint64{},
	}
	for _, s := range list[shownWorkspaces:] {
		rest.Requests += s.Requests
		for reason, n := range s.Refused {
			rest.Refused[reason] += n
		}
	}
	return append(list[:shownWorkspaces], rest)
}

// writeMetrics writes the counts in the Prometheus text format. They are gauges, because a workspace can come to be
// counted in the rest.
func (u *workspaceUsage) writeMetrics(w io.Writer) {
	for _, s := range u.largest() {
		fmt.Fprintf(w, "skylarkbeam_workspace_requests{workspace=%q} %d\n", s.Workspace, s.Requests)
		for _, reason := range slices.Sorted(maps.Keys(s.Refused)) {
			fmt.Fprintf(w, "skylarkbeam_workspace_refused{workspace=%q,reason=%q} %d\n", s.Workspace, reason, s.Refused[reason])
		}
	}
}

// recordWorkspace counts a call of a workspace with the refusal that it got, if any.
func (e *Entry) recordWorkspace(c *call, refusal *Refusal) {
	if c == nil || c.identity.workspace == nil || c.relayed {
		return
	}
	reason := outcome.Reason("")
	if refusal != nil {
		reason = refusal.Reason
	}
	e.metrics.workspaces.record(c.identity.workspace.Name, reason)
}
