package main

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"skylarkbeam/setting"
)

// idleTime is how long the cost of control is measured.
const idleTime = 20 * time.Second

// sizes describe a deployment whose control is measured.
type sizes struct {
	entries, services, targets, callers int
}

// settings returns settings of the given size. The addresses are replaced by those that the system chooses.
func (z sizes) settings() *setting.Settings {
	s := &setting.Settings{
		Domains:  map[string]setting.Domain{},
		Entries:  map[string]setting.Entry{},
		Services: map[string]setting.Service{},
		Classes: map[string]setting.Class{
			"crew": {
				Share:    0.9 / float64(z.callers),
				Deadline: setting.Duration(time.Second),
			},
		},
		Callers: map[string]setting.Caller{},
	}
	for i := range 8 {
		s.Domains[fmt.Sprintf("domain-%d", i)] = setting.Domain{
			Region: fmt.Sprintf("region-%d", i/4),
		}
	}
	port := uint16(10000)
	next := func() netip.AddrPort {
		port++
		return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	}
	for i := range z.entries {
		s.Entries[fmt.Sprintf("entry-%d", i+1)] = setting.Entry{
			Domain:  fmt.Sprintf("domain-%d", i%8),
			Caller:  next(),
			Control: next(),
		}
	}
	for i := range z.callers {
		s.Callers[fmt.Sprintf("caller-%d", i)] = setting.Caller{
			Class: "crew",
		}
	}
	for i := range z.services {
		name := fmt.Sprintf("service-%d", i)
		targets := map[string]setting.Target{}
		for j := range z.targets / z.services {
			targets[fmt.Sprintf("%s-%d", name, j)] = setting.Target{
				Address: next(),
				Domain:  fmt.Sprintf("domain-%d", j%8),
			}
		}
		s.Services[name] = setting.Service{
			Path:        "/" + name,
			Slots:       4,
			Connections: 200,
			Cold: setting.Cold{
				Time: setting.Duration(300 * time.Millisecond),
			},
			Targets: targets,
		}
	}
	s.SetDefaults()
	return s
}

// BenchmarkControl measures what control costs an entry without calls: processor time, memory, bytes and requests to the
// table per second, and what a change of the settings costs. It prints one row for each size.
//
//	go test ./cmd/skylarkbeam -run '^$' -bench Control -benchtime 1x
func BenchmarkControl(b *testing.B) {
	small := func(entries int) sizes {
		return sizes{
			entries:  entries,
			services: 3,
			targets:  30,
			callers:  8,
		}
	}
	tests := []sizes{
		small(6),
		small(3),
		small(12),
		{
			entries:  6,
			services: 30,
			targets:  150,
			callers:  8,
		},
		{
			entries:  6,
			services: 120,
			targets:  600,
			callers:  100,
		},
	}
	for _, z := range tests {
		b.Run(fmt.Sprintf("entries=%d/services=%d/targets=%d", z.entries, z.services, z.targets), func(b *testing.B) {
			for range b.N {
				measureControl(b, z)
			}
		})
	}
}

func measureControl(b *testing.B, z sizes) {
	p := startSetup(b, setup{
		settings: z.settings(),
		extra:    `{}`,
		targets:  []string{"-forget"},
	})
	sort.Slice(p.entries, func(i, j int) bool { return p.entries[i].name < p.entries[j].name })
	time.Sleep(2 * time.Second)
	e := p.entries[len(p.entries)-1]
	cpu, before := usageOf(b, p, e).cpu, p.metrics(b, e)
	time.Sleep(idleTime)
	used, after := usageOf(b, p, e).cpu-cpu, p.metrics(b, e)
	perSecond := func(name string) float64 { return (after[name] - before[name]) / idleTime.Seconds() }
	b.ReportMetric(100*used.Seconds()/idleTime.Seconds(), "core-%")
	b.ReportMetric(float64(residentBytes(b, e))/(1<<20), "MiB")
	b.ReportMetric(perSecond(`skylarkbeam_fleet_bytes_total{direction="sent"}`), "sent-B/s")
	b.ReportMetric(perSecond(`skylarkbeam_fleet_bytes_total{direction="received"}`), "received-B/s")
	b.ReportMetric(perSecond(`skylarkbeam_fleet_table_total{kind="read"}`), "table-reads/s")
	b.ReportMetric(perSecond(`skylarkbeam_fleet_table_total{kind="write"}`), "table-writes/s")
	b.ReportMetric(perSecond(`skylarkbeam_probes_total`), "probes/s")
	cpu = usageOf(b, p, e).cpu
	const changes = 10
	var slowest time.Duration
	for i := range changes {
		slowest = max(slowest, p.drainEverywhere(b, i))
	}
	b.ReportMetric(float64((usageOf(b, p, e).cpu-cpu).Milliseconds())/changes, "cpu-ms/change")
	b.ReportMetric(float64(slowest.Milliseconds()), "slowest-change-ms")
	b.ReportMetric(0, "ns/op")
}

// drainEverywhere drains a failure domain and returns the time until every entry runs the change.
func (p *processes) drainEverywhere(b *testing.B, i int) time.Duration {
	b.Helper()
	start := time.Now()
	out, err := p.command("drain", fmt.Sprintf("domain=domain-%d", i%8))
	if err != nil {
		out, err = p.command("restore", fmt.Sprintf("domain=domain-%d", i%8))
	}
	if err != nil {
		b.Fatalf("change failed: %s", out)
	}
	version := p.status(p.entries[0]).Version
	p.until("all entries run the change", func() bool {
		for _, e := range p.entries {
			if s := p.status(e); s == nil || s.Version < version {
				return false
			}
		}
		return true
	})
	return time.Since(start)
}

var metricLine = regexp.MustCompile(`(?m)^(\S+) (\S+)$`)

// metrics returns the metrics of an entry.
func (p *processes) metrics(b *testing.B, e *entryProcess) map[string]float64 {
	b.Helper()
	r := p.call(p.client, e.control, "GET", "/metrics", "", "", "")
	if r.err != nil {
		b.Fatal(r.err)
	}
	values := map[string]float64{}
	for _, m := range metricLine.FindAllStringSubmatch(r.body, -1) {
		if v, err := strconv.ParseFloat(m[2], 64); err == nil {
			values[m[1]] = v
		}
	}
	return values
}

// residentBytes returns the memory of a process.
func residentBytes(b *testing.B, e *entryProcess) int {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", e.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	if err != nil {
		b.Fatal(err)
	}
	return pages * os.Getpagesize()
}
