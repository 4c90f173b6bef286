package fleet

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	restful "github.com/emicklei/go-restful/v3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"skylarkbeam/store"
	"skylarkbeam/timer"
)

// listen serves a handler on loopback.
func listen(t *testing.T, handler http.Handler, wrap func(net.Listener) net.Listener) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{
		Handler: handler,
	}
	go server.Serve(wrap(listener))
	t.Cleanup(func() { server.Close() })
	return netip.MustParseAddrPort(listener.Addr().String())
}

// servePlatform starts a platform on loopback and returns a function that connects to it.
func servePlatform(t *testing.T) func(tableBytes *Client) store.Platform {
	handler := store.NewHandler(store.NewMemory(timer.New()))
	address := listen(t, handler, func(l net.Listener) net.Listener { return l })
	return func(tableBytes *Client) store.Platform {
		return store.NewClient(store.ClientOptions{
			Address: address,
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return tableBytes.countBytes(conn), nil
			},
		})
	}
}

// serve starts an entry on loopback that uses real connections.
func serve(t *testing.T, name string, p store.Platform, set *metrics.Set) *Fleet {
	client := NewClient(set)
	container := restful.NewContainer()
	control := listen(t, container, client.WrapListener)
	f := Open(Options{
		Platform:  p,
		Timers:    timer.New(),
		Name:      name,
		Domain:    "cairns",
		Caller:    control,
		Control:   control,
		Transport: client,
		Metrics:   set,
	})
	container.Add(f.Service())
	t.Cleanup(func() {
		assert.NilError(t, f.Close(context.Background()))
		client.Close()
	})
	return f
}

// waitAll polls until a condition holds for all entries.
func waitAll(t *testing.T, all []*Fleet, limit time.Duration, holds func(f *Fleet) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, f := range all {
			if !holds(f) {
				return poll.Continue("%s has %d members and version %d", f.opt.Name, len(f.Members()), f.State().Version)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(limit))
}

// Guards against messages that do not survive real HTTP. Three entries on loopback must form a fleet and distribute
// settings.
func TestHTTP(t *testing.T) {
	connect := servePlatform(t)
	var all []*Fleet
	for _, name := range []string{"a", "b", "c"} {
		all = append(all, serve(t, name, connect(NewClient(nil)), metrics.NewSet()))
	}
	waitAll(t, all, 20*time.Second, func(f *Fleet) bool { return len(f.Members()) == 3 && f.CanServe(time.Now()) })
	settings := []byte(strings.Repeat("{}\n", 1000))
	d := accepted(t, all[0].Apply(context.Background(), Change{
		ID:  "one",
		Who: "operator",
	}, settings))
	waitAll(t, all, 20*time.Second, func(f *Fleet) bool {
		return f.State().Version == d.Version && string(f.State().Settings) == string(settings)
	})
}

var measure = flag.Duration("measure", 0, "measure the cost of control for this time in each case")

// TestMeasure prints the cost of control traffic; docs/measurements-fleet.md contains the results.
func TestMeasure(t *testing.T) {
	if *measure == 0 {
		t.Skip("run with -measure=20s")
	}
	fmt.Println("entries facts phase | B/s: sent to peers, to table, received from peers, from table | messages/s reads/s writes/s CPU% heap-KB, all per node")
	for _, size := range [][2]int{{3, 0}, {6, 0}, {12, 0}, {6, 300}, {6, 600}} {
		entries, facts := size[0], size[1]
		t.Run(fmt.Sprint(entries, facts), func(t *testing.T) {
			connect, tableBytes := servePlatform(t), metrics.NewSet()
			set := metrics.NewSet()
			before := heap()
			var all []*Fleet
			for i := range entries {
				all = append(all, serve(t, fmt.Sprintf("cairns-%d", i), connect(NewClient(tableBytes)), set))
			}
			time.Sleep(4 * time.Second)
			for _, target := range targets(facts) {
				all[0].AnnounceWarm(target, newIncarnation(), 0)
			}
			if facts > 0 {
				report(entries, facts, "spread", set, tableBytes, before)
			}
			start := time.Now()
			waitAll(t, all, 5*time.Minute, func(f *Fleet) bool { return f.warm.digest() == all[0].warm.digest() })
			time.Sleep(3 * time.Second)
			fmt.Printf("same facts after another %v\n", time.Since(start).Round(time.Second))
			report(entries, facts, "steady", set, tableBytes, before)
		})
	}
}

// report measures for the configured time and prints the rates per node.
func report(entries, facts int, phase string, set, tableBytes *metrics.Set, before uint64) {
	bytes := []string{
		`skylarkbeam_fleet_bytes_total{direction="sent"}`, `skylarkbeam_fleet_bytes_total{direction="received"}`,
	}
	names := []string{
		`skylarkbeam_fleet_messages_total`, `skylarkbeam_fleet_table_total{kind="read"}`,
		`skylarkbeam_fleet_table_total{kind="write"}`,
	}
	sample := func() (values []float64) {
		for _, name := range bytes {
			values = append(values, float64(set.GetOrCreateCounter(name).Get()), float64(tableBytes.GetOrCreateCounter(name).Get()))
		}
		for _, name := range names {
			values = append(values, float64(set.GetOrCreateCounter(name).Get()))
		}
		return append(values, cpu().Seconds()*100)
	}
	first := sample()
	time.Sleep(*measure)
	second := sample()
	fmt.Printf("%d %d %s |", entries, facts, phase)
	for i := range first {
		fmt.Printf(" %.2f", (second[i]-first[i])/measure.Seconds()/float64(entries))
	}
	fmt.Printf(" %d\n", (int64(heap())-int64(before))/1024/int64(entries))
}

func cpu() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
