package entry_test

import (
	"context"
	"fmt"
	"net/netip"
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

// countedFleet is a fleet whose state never changes and that counts how often its members are listed.
type countedFleet struct {
	entry.Fleet
	state  atomic.Pointer[fleet.State]
	listed atomic.Int32
	done   chan struct{}
}

func (f *countedFleet) State() *fleet.State                                       { return f.state.Load() }
func (f *countedFleet) Changed() <-chan struct{}                                  { return nil }
func (f *countedFleet) CanServe(time.Time) bool                                   { return true }
func (f *countedFleet) SetContactPolicy(time.Duration, bool)                      {}
func (f *countedFleet) Service() *restful.WebService                              { return new(restful.WebService).Path("/fleet") }
func (f *countedFleet) Done() <-chan struct{}                                     { return f.done }
func (f *countedFleet) Err() error                                                { return nil }
func (f *countedFleet) Leave()                                                    {}
func (f *countedFleet) CanProbe(time.Time) bool                                   { return true }
func (f *countedFleet) Owner(string) string                                       { return "" }
func (f *countedFleet) WarmInstance(string) string                                { return "" }
func (f *countedFleet) AnnounceWarm(string, string, int)                          {}
func (f *countedFleet) ReportColdTransition(string, string, int)                  {}
func (f *countedFleet) ReportInstance(string, string)                             {}
func (f *countedFleet) Close(context.Context) error                               { close(f.done); return nil }
func (f *countedFleet) PeerUsage(time.Time) (map[string]map[string]float64, bool) { return nil, false }
func (f *countedFleet) WarmFacts(string) (warm fleet.Fact, fallen []fleet.Fact) {
	return fleet.Fact{}, nil
}
func (f *countedFleet) Owns(time.Time, string) (time.Time, bool) { return time.Time{}, false }

func (f *countedFleet) Members() []fleet.Member {
	f.listed.Add(1)
	return make([]fleet.Member, 3)
}

// countedEntry returns an entry in a fleet with a service of so many targets.
func countedEntry(tb testing.TB, targets int) (*countedFleet, *entry.Entry) {
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
	f := &countedFleet{
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

// Guards against a view whose derivation lists all entries once for each target. With 300 entries and 3000 targets that
// took the processors of all entries before the first call.
func TestViewSize(t *testing.T) {
	listed := func(targets int) int32 {
		f, e := countedEntry(t, targets)
		e.Refresh()
		n := f.listed.Load()
		assert.Equal(t, len(e.Status().TargetStatuses), targets)
		return n
	}
	assert.Equal(t, listed(10), listed(1000))
}

func BenchmarkView(b *testing.B) {
	for _, n := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, e := countedEntry(b, n)
			for b.Loop() {
				next := *f.state.Load()
				next.Version++
				f.state.Store(&next)
				e.Refresh()
			}
		})
	}
}
