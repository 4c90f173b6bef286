package entry_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	restful "github.com/emicklei/go-restful/v3"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"skylarkbeam/entry"
	"skylarkbeam/fleet"
	"skylarkbeam/setting"
)

// countingFleet is a fleet with a fixed state that counts how often its members are listed.
type countingFleet struct {
	entry.Fleet
	state  atomic.Pointer[fleet.State]
	listed atomic.Int32
	done   chan struct{}
}

func (f *countingFleet) State() *fleet.State                                       { return f.state.Load() }
func (f *countingFleet) Changed() <-chan struct{}                                  { return nil }
func (f *countingFleet) CanServe(time.Time) bool                                   { return true }
func (f *countingFleet) SetContactPolicy(time.Duration, bool)                      {}
func (f *countingFleet) Service() *restful.WebService                              { return new(restful.WebService).Path("/fleet") }
func (f *countingFleet) Done() <-chan struct{}                                     { return f.done }
func (f *countingFleet) Err() error                                                { return nil }
func (f *countingFleet) Leave()                                                    {}
func (f *countingFleet) CanProbe(time.Time) bool                                   { return true }
func (f *countingFleet) Owner(string) string                                       { return "" }
func (f *countingFleet) WarmInstance(string) string                                { return "" }
func (f *countingFleet) AnnounceWarm(string, string, int)                          {}
func (f *countingFleet) ReportColdTransition(string, string, int)                  {}
func (f *countingFleet) ReportInstance(string, string)                             {}
func (f *countingFleet) Close(context.Context) error                               { close(f.done); return nil }
func (f *countingFleet) PeerUsage(time.Time) (map[string]map[string]float64, bool) { return nil, false }
func (f *countingFleet) WarmFacts(string) (warm fleet.Fact, coldTransitions []fleet.Fact) {
	return fleet.Fact{}, nil
}
func (f *countingFleet) Owns(time.Time, string) (time.Time, bool) { return time.Time{}, false }

func (f *countingFleet) Members() []fleet.Member {
	f.listed.Add(1)
	return make([]fleet.Member, 3)
}

// startCountingEntry starts an entry in a countingFleet with one service of the given number of targets.
func startCountingEntry(tb testing.TB, targets int) (*countingFleet, *entry.Entry) {
	state := &fleet.State{
		Version: 1,
		ParsedSettings: &setting.Settings{
			Services: map[string]setting.Service{"stock": {}},
		},
	}
	for i := range targets {
		name := fmt.Sprint("stock-", i)
		state.RegisteredTargets = append(state.RegisteredTargets, fleet.RegisteredTarget{
			Name:     name,
			Service:  "stock",
			Address:  netip.MustParseAddrPort("127.0.0.1:1"),
			Slots:    1,
			Instance: name,
		})
	}
	f := &countingFleet{
		done: make(chan struct{}),
	}
	f.state.Store(state)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	e, err := entry.Assemble(entry.Options{
		Name:           "entry-1",
		CallerAddress:  loopback,
		ControlAddress: loopback,
		Logger:         zap.NewNop(),
		NewFleet:       func(entry.FleetOptions) entry.Fleet { return f },
	})
	assert.NilError(tb, err)
	e.Start()
	tb.Cleanup(e.Close)
	return f, e
}

// Deriving a snapshot must not list the members once per target. With 300 entries and 3000 targets, that used all
// CPUs of all entries before the first call.
func TestSnapshotListsMembersOnce(t *testing.T) {
	listed := func(targets int) int32 {
		f, e := startCountingEntry(t, targets)
		e.RefreshSnapshot()
		n := f.listed.Load()
		assert.Equal(t, len(e.Status().TargetStatuses), targets)
		return n
	}
	assert.Equal(t, listed(10), listed(1000))
}

// Guards against the work of deriving all routes anew whenever a target comes or goes. With 60 entries, 300 targets and
// 1400 routes, that was a third of the processor time of the entries.
func TestSnapshotKeepsRoutes(t *testing.T) {
	allocations := func(routes int) float64 {
		f, e := startCountingEntry(t, 10)
		settings := *f.state.Load().ParsedSettings
		settings.Routes = map[string]setting.Route{}
		for i := range routes {
			settings.Routes[fmt.Sprint(i)] = setting.Route{
				Host:  "stays.example",
				Path:  fmt.Sprintf("/%d/", i),
				Parts: map[string]setting.Weight{"stock": 1},
			}
		}
		refresh := func(settings *setting.Settings) {
			next := *f.state.Load()
			next.Version++
			next.ParsedSettings = settings
			f.state.Store(&next)
			e.RefreshSnapshot()
		}
		refresh(&settings)
		return testing.AllocsPerRun(20, func() { refresh(&settings) })
	}
	few, many := allocations(10), allocations(1400)
	assert.Assert(t, many <= 2*few, "%.0f allocations for a change with 1400 routes, %.0f with 10", many, few)
}

// Guards against a snapshot that differs from one derived at once when targets come, change and go one by one, and
// against the work of deriving all targets anew at each change. With 900 targets, that was 3.5 ms of processor time.
func TestSnapshotOfChanges(t *testing.T) {
	const targets = 200
	f, e := startCountingEntry(t, targets)
	e.RefreshSnapshot()
	change := func(change func(list []fleet.RegisteredTarget) []fleet.RegisteredTarget) {
		next := *f.state.Load()
		next.Version++
		next.RegisteredTargets = change(slices.Clone(next.RegisteredTargets))
		slices.SortFunc(next.RegisteredTargets, func(a, b fleet.RegisteredTarget) int { return strings.Compare(a.Name, b.Name) })
		f.state.Store(&next)
		e.RefreshSnapshot()
	}
	statuses := func() map[string]string {
		have := map[string]string{}
		for _, s := range e.Status().TargetStatuses {
			have[s.Target] = s.Service + " " + s.RoutingState
		}
		return have
	}
	kept := e.Pool("stock-7")
	change(func(list []fleet.RegisteredTarget) []fleet.RegisteredTarget { return list[:len(list)-1] })
	assert.Equal(t, len(statuses()), targets-1)
	change(func(list []fleet.RegisteredTarget) []fleet.RegisteredTarget {
		list[3].Leaving = true
		list[4].Address = netip.MustParseAddrPort("127.0.0.1:2")
		list[5].Service = "unknown"
		return append(list, fleet.RegisteredTarget{
			Name:     "stock-new",
			Service:  "stock",
			Address:  netip.MustParseAddrPort("127.0.0.1:1"),
			Slots:    1,
			Instance: "stock-new",
		})
	})
	have := statuses()
	assert.Equal(t, len(have), targets-1)
	names := f.state.Load().RegisteredTargets
	assert.Equal(t, have[names[3].Name], "stock drained or leaving")
	assert.Equal(t, have["stock-new"], "stock warm")
	_, known := have[names[5].Name]
	assert.Assert(t, !known, "a target of an unknown service")
	assert.Assert(t, e.Pool("stock-7") == kept, "the connections of a target that has not changed are kept")
	// All targets are derived anew when the operators drain a failure domain.
	next := *f.state.Load()
	next.Version++
	next.DrainedDomains = []string{""}
	f.state.Store(&next)
	e.RefreshSnapshot()
	assert.Equal(t, statuses()["stock-new"], "stock drained or leaving")
	assert.Assert(t, e.Pool("stock-7") == kept)
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, e := startCountingEntry(b, n)
			e.RefreshSnapshot()
			for b.Loop() {
				next := *f.state.Load()
				next.Version++
				next.RegisteredTargets = slices.Clone(next.RegisteredTargets)
				next.RegisteredTargets[7].Leaving = !next.RegisteredTargets[7].Leaving
				f.state.Store(&next)
				e.RefreshSnapshot()
			}
		})
	}
}
