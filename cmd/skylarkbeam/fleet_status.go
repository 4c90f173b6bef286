package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"skylarkbeam/entry"
	"skylarkbeam/feed"
	"skylarkbeam/fleet"
)

const (
	// fleetTimeout limits the answer of one entry, and fleetInterval is the time between the two samples from which rates
	// are computed. An operator gets the summary of 200 entries within two seconds.
	fleetTimeout  = 600 * time.Millisecond
	fleetInterval = 500 * time.Millisecond
	// fleetRequests is the number of entries that are asked at the same time. With all of them, silent ones delay no other.
	fleetRequests = 256
	// fleetOutliers is the number of entries and targets that are listed because they stand out.
	fleetOutliers = 5
)

// fleetStatus is a summary of the status of all entries.
type fleetStatus struct {
	// Members is the number of entries that the first one knows, itself included and those marked gone left out.
	Members int            `json:"members"`
	Silent  []silentEntry  `json:"silent"`
	Domains []domainStatus `json:"domains"`
	// Version is the highest version of the accepted state that an entry runs. Behind lists entries with a lower one.
	Version  uint64                `json:"version"`
	Behind   []string              `json:"behind"`
	Services []entry.ServiceStatus `json:"services"`
	// Rollouts are the roll-outs as their coordinators see them.
	Rollouts []entry.RolloutStatus `json:"rollouts,omitempty"`
	// Rates are the refusals, retries and outcomes per second, by kind and reason.
	Rates   map[string]float64 `json:"rates"`
	Entries []outlier          `json:"entries"`
	Targets []outlier          `json:"targets"`
}

// silentEntry is an entry that did not answer.
type silentEntry struct {
	Entry  string `json:"entry"`
	Reason string `json:"reason"`
}

// domainStatus counts the entries of a failure domain by what they do.
type domainStatus struct {
	Domain  string         `json:"domain"`
	Entries map[string]int `json:"entries"`
}

// outlier is an entry or target that stands out, and why.
type outlier struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
	weight float64
}

// member is an entry to ask.
type member struct {
	name, domain, control string
}

// sample holds the answers of the entries that answered by name, and the errors of the others.
type sample struct {
	at      time.Time
	answers map[string]*entry.Status
	silent  map[string]error
}

// fleetStatus asks an entry for the members, and then all of them.
func (o *operator) fleetStatus(ctx context.Context) (*fleetStatus, error) {
	first, err := o.status(ctx)
	if err != nil {
		return nil, err
	}
	var members []member
	for _, m := range first.Members {
		if m.State != string(fleet.RecordStateGone) {
			members = append(members, member{
				name:    m.Name,
				domain:  m.Domain,
				control: m.Control.String(),
			})
		}
	}
	before := takeSample(ctx, members)
	select {
	case <-time.After(time.Until(before.at.Add(fleetInterval))):
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "asking the entries")
	}
	return summarize(members, before, takeSample(ctx, members)), nil
}

func takeSample(ctx context.Context, members []member) sample {
	s := sample{
		at:      time.Now(),
		answers: map[string]*entry.Status{},
		silent:  map[string]error{},
	}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(fleetRequests)
	for _, m := range members {
		group.Go(func() error {
			status, err := askBriefly(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				s.silent[m.name] = err
			} else {
				s.answers[m.name] = status
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	return s
}

func askBriefly(ctx context.Context, m member) (*entry.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	o := operator{
		entry: m.control,
	}
	data, err := o.call(ctx, http.MethodGet, "status?brief=1", nil)
	if err != nil {
		return nil, err
	}
	var s entry.Status
	return &s, errors.Wrap(json.Unmarshal(data, &s), "reading the status")
}

// summarize derives the summary from two samples.
func summarize(members []member, before, after sample) *fleetStatus {
	f := &fleetStatus{
		Members: len(members),
		Rates:   map[string]float64{},
	}
	domains := map[string]map[string]int{}
	targets := map[string]*targetUse{}
	var entries []outlier
	for _, m := range members {
		s := after.answers[m.name]
		use := "silent"
		if s != nil {
			use = condition(s)
			f.Version = max(f.Version, s.BaseVersion)
			f.addServices(s.Services)
			for _, r := range s.Rollouts {
				if r.Whole {
					f.Rollouts = append(f.Rollouts, r)
				}
			}
			entries = append(entries, f.addRates(m, before, after))
			for _, t := range s.TargetStatuses {
				useOf(targets, t.Target, t.Service).add(t.RoutingState)
			}
		} else {
			f.Silent = append(f.Silent, silentEntry{
				Entry:  m.name + " at " + m.control,
				Reason: after.silent[m.name].Error(),
			})
		}
		if domains[m.domain] == nil {
			domains[m.domain] = map[string]int{}
		}
		domains[m.domain][use]++
	}
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		f.Domains = append(f.Domains, domainStatus{
			Domain:  domain,
			Entries: domains[domain],
		})
	}
	for _, m := range members {
		if s := after.answers[m.name]; s != nil && s.BaseVersion < f.Version {
			f.Behind = append(f.Behind, fmt.Sprintf("%s at %s", m.name, feed.FormatVersion(s.BaseVersion)))
		}
	}
	f.Entries = standOut(entries)
	f.Targets = standOut(outlyingTargets(targets, len(after.answers)))
	return f
}

// addServices adds the calls of an entry. Of the targets, the entries all know the same, so the largest number of each use
// is taken.
func (f *fleetStatus) addServices(services []entry.ServiceStatus) {
	for _, s := range services {
		i := slices.IndexFunc(f.Services, func(other entry.ServiceStatus) bool { return other.Service == s.Service })
		if i < 0 {
			f.Services = append(f.Services, s)
			continue
		}
		f.Services[i].InFlight += s.InFlight
		f.Services[i].Waiting += s.Waiting
		for use, n := range s.Targets {
			f.Services[i].Targets[use] = max(f.Services[i].Targets[use], n)
		}
	}
}

// addRates adds the rates of an entry and returns how far it stands out: by calls that wait and refusals.
func (f *fleetStatus) addRates(m member, before, after sample) outlier {
	s, earlier := after.answers[m.name], before.answers[m.name]
	waiting, refused := 0, 0.0
	for _, service := range s.Services {
		waiting += service.Waiting
	}
	if earlier != nil {
		elapsed := after.at.Sub(before.at).Seconds()
		for name, count := range s.Counts {
			if count < earlier.Counts[name] {
				continue // the entry has restarted
			}
			rate := float64(count-earlier.Counts[name]) / elapsed
			f.Rates[name] += rate
			if strings.HasPrefix(name, "refused ") {
				refused += rate
			}
		}
	}
	return outlier{
		Name:   m.name,
		Reason: fmt.Sprintf("%d calls waiting, %.1f refused per second", waiting, refused),
		weight: float64(waiting) + refused,
	}
}

// targetUse counts the entries by how they use a target that is not in normal use everywhere.
type targetUse struct {
	service string
	entries map[string]int
}

func useOf(targets map[string]*targetUse, name, service string) *targetUse {
	if targets[name] == nil {
		targets[name] = &targetUse{
			service: service,
			entries: map[string]int{},
		}
	}
	return targets[name]
}

func (u *targetUse) add(use string) { u.entries[use]++ }

// outlyingTargets returns the targets that not all entries see alike: those that all leave out are cold or leave.
func outlyingTargets(targets map[string]*targetUse, entries int) []outlier {
	var list []outlier
	for name, u := range targets {
		var parts []string
		most := 0
		for _, use := range slices.Sorted(maps.Keys(u.entries)) {
			parts = append(parts, fmt.Sprintf("%s at %d of %d entries", use, u.entries[use], entries))
			most = max(most, u.entries[use])
		}
		if most == entries {
			continue
		}
		list = append(list, outlier{
			Name:   name + " of " + u.service,
			Reason: strings.Join(parts, ", "),
			weight: float64(most),
		})
	}
	return list
}

// standOut returns the outliers with the largest weights above zero.
func standOut(list []outlier) []outlier {
	list = slices.DeleteFunc(list, func(o outlier) bool { return o.weight == 0 })
	slices.SortFunc(list, func(a, b outlier) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), strings.Compare(a.Name, b.Name))
	})
	return list[:min(len(list), fleetOutliers)]
}

func (f *fleetStatus) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "fleet\t%d entries in %d failure domains, %d answered\n", f.Members, len(f.Domains), f.Members-len(f.Silent))
	for _, s := range f.Silent[:min(len(f.Silent), fleetOutliers)] {
		fmt.Fprintf(w, "silent\t%s: %s\n", s.Entry, s.Reason)
	}
	if more := len(f.Silent) - fleetOutliers; more > 0 {
		fmt.Fprintf(w, "silent\tand %d more\n", more)
	}
	for _, d := range f.Domains {
		fmt.Fprintf(w, "domain\t%s: %s\n", d.Domain, uses(d.Entries))
	}
	fmt.Fprintf(w, "state\tversion %s, %d entries behind: %s\n", feed.FormatVersion(f.Version), len(f.Behind), list(f.Behind[:min(len(f.Behind), fleetOutliers)]))
	for _, s := range f.Services {
		fmt.Fprintf(w, "service\t%s: %s; %d calls at targets, %d waiting\n", s.Service, uses(s.Targets), s.InFlight, s.Waiting)
	}
	printRollouts(w, f.Rollouts)
	for _, name := range slices.Sorted(maps.Keys(f.Rates)) {
		if f.Rates[name] > 0 {
			fmt.Fprintf(w, "rate\t%s: %.1f per second\n", name, f.Rates[name])
		}
	}
	for _, o := range f.Entries {
		fmt.Fprintf(w, "entry\t%s: %s\n", o.Name, o.Reason)
	}
	for _, o := range f.Targets {
		fmt.Fprintf(w, "target\t%s: %s\n", o.Name, o.Reason)
	}
}
