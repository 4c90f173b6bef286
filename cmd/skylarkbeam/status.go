package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkbeam/entry"
)

const statusUsage = `status shows what an entry knows and does, or the state of all entries.

Usage:
  skylarkbeam status [-entry IP:PORT] [-events N] [-json]
  skylarkbeam status -all [-entry IP:PORT] [-json]

It prints the accepted state and who changed it, the members, the targets with their
owners, the counters of refusals and retries by reason, and the last events: each change
of state that the entry saw or made, and why.

With -all it asks all members that the entry knows, twice, and prints a summary: entries
by failure domain, those that did not answer, versions, services, refusals and retries
per second, and what stands out. It takes about two seconds.

Flags:
  -entry IP:PORT   control address of any entry (127.0.0.1:7201)
  -events N        number of events (20)
  -all             ask all entries
  -json            print JSON

Examples:
  skylarkbeam status -entry 127.0.0.1:7203
  skylarkbeam status -events 256
  skylarkbeam status -all -json
`

func newStatus(s streams) *ffcli.Command {
	var o operator
	var events int
	var all, asJSON bool
	command := newCommand(s, "status", "show what an entry, or all of them, know and do", statusUsage,
		func(ctx context.Context, args []string) error {
			if err := noArguments(args, "status", statusUsage); err != nil {
				return err
			}
			if all {
				fleet, err := o.fleetStatus(ctx)
				if err != nil {
					return err
				}
				return printOrEncode(s.Out, asJSON, fleet, func() { fleet.print(s.Out) })
			}
			status, err := o.status(ctx)
			if err != nil {
				return err
			}
			return printOrEncode(s.Out, asJSON, status, func() { printStatus(s.Out, status, events) })
		})
	command.FlagSet.StringVar(&o.entry, "entry", "127.0.0.1:7201", "")
	command.FlagSet.IntVar(&events, "events", 20, "")
	command.FlagSet.BoolVar(&all, "all", false, "")
	command.FlagSet.BoolVar(&asJSON, "json", false, "")
	return command
}

// printOrEncode prints a value by a function, or as JSON.
func printOrEncode(out io.Writer, asJSON bool, value any, print func()) error {
	if !asJSON {
		print()
		return nil
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "writing the status")
}

func printStatus(out io.Writer, s *entry.Status, events int) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "entry\t%s in %s: %s\n", s.Entry, s.Domain, condition(s))
	fmt.Fprintf(w, "state\tversion %d by %s at %s: %s\n", s.Version, s.ChangeAuthor, s.ChangeTime, s.ChangeSummary)
	fmt.Fprintf(w, "drained\tdomains: %s; targets: %s\n", list(s.DrainedDomains), list(s.DrainedTargets))
	for _, m := range s.Members {
		fmt.Fprintf(w, "member\t%s in %s: %s, version %d, heard %s ago\n",
			m.Name, m.Domain, m.State, m.Version, time.Duration(m.LastHeardAgo).Round(time.Millisecond))
	}
	for _, service := range s.Services {
		fmt.Fprintf(w, "service\t%s: %s; %d calls at targets, %d waiting\n",
			service.Service, uses(service.Targets), service.InFlight, service.Waiting)
	}
	printRollouts(w, s.Rollouts)
	for _, p := range s.TargetStatuses {
		fmt.Fprintf(w, "target\t%s of %s: %s, owner %s\n", p.Target, p.Service, p.RoutingState, p.Owner)
	}
	for _, t := range s.Tasks {
		fmt.Fprintf(w, "task\t%s every %s\n", t.Name, t.Interval)
	}
	for _, m := range s.Memory {
		if m.Held > 0 || m.Garbage > 0 || m.Waiting > 0 || m.Waits > 0 || m.Refused > 0 {
			fmt.Fprintf(w, "memory\t%s: %.1f MB held, %.1f MB not collected yet, of %.1f MB; %d waiting, %d waited, %d refused\n", m.Part,
				megabytes(m.Held), megabytes(m.Garbage), megabytes(m.Limit), m.Waiting, m.Waits, m.Refused)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Counts)) {
		fmt.Fprintf(w, "count\t%s: %d\n", name, s.Counts[name])
	}
	for _, ws := range s.Workspaces {
		fmt.Fprintf(w, "workspace\t%s: %d requests; refused: %s\n", ws.Workspace, ws.Requests, refusals(ws))
	}
	for _, e := range s.Events[max(len(s.Events)-events, 0):] {
		fmt.Fprintf(w, "event\t%s %s\n", e.Time.UTC().Format(time.RFC3339), e.Text)
	}
	w.Flush()
}

// printRollouts prints the roll-outs that operators have ordered.
func printRollouts(out io.Writer, rollouts []entry.RolloutStatus) {
	for _, r := range rollouts {
		counts := "at this entry"
		if r.Whole {
			counts = "at all entries"
		}
		fmt.Fprintf(out, "roll-out\t%s to %s in %s: %s, coordinated by %s\n", r.Service, r.To, r.Duration, r.Phase, r.Coordinator)
		fmt.Fprintf(out, "\t%s: %d of %d requests to the new version, bound %.0f\n", counts, r.Taken, r.Requests, r.Allowed)
		fmt.Fprintf(out, "\t%s: %d of %d failed, median %s\n", r.To, r.New.Failures, r.New.Answers, r.New.Median)
		fmt.Fprintf(out, "\t%s: %d of %d failed, median %s\n", list(r.Base), r.Old.Failures, r.Old.Answers, r.Old.Median)
		if r.Reason != "" {
			fmt.Fprintf(out, "\treason: %s\n", r.Reason)
		}
		if r.Waiting != "" {
			fmt.Fprintf(out, "\twaits for %s\n", r.Waiting)
		}
	}
}

func megabytes(n int64) float64 { return float64(n) / (1 << 20) }

// refusals lists the refused requests of a workspace by reason, as in "12 allowance, 1 queue".
func refusals(ws entry.WorkspaceStatus) string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(ws.Refused)) {
		parts = append(parts, fmt.Sprintf("%d %s", ws.Refused[reason], reason))
	}
	return list(parts)
}

// condition says in a few words whether the entry takes calls, and why not.
func condition(s *entry.Status) string {
	switch {
	case s.Leaving:
		return "leaving"
	case !s.Contact:
		return "refuses new calls: no contact with the platform or a majority of the members"
	case s.BaseVersion == 0:
		return "refuses calls: no settings were applied yet"
	}
	return "in operation"
}

func list(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// uses lists numbers of targets by their use, as in "12 warm, 1 cold".
func uses(targets map[string]int) string {
	var parts []string
	for _, use := range slices.Sorted(maps.Keys(targets)) {
		parts = append(parts, fmt.Sprintf("%d %s", targets[use], use))
	}
	return list(parts)
}
