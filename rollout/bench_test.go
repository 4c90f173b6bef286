package rollout

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// newBenchReports returns reports of entries with ten routes.
func newBenchReports(entries int, to string) []*Report {
	list := make([]*Report, entries)
	for i := range list {
		p := NewParticipant(time.Unix(0, 0), NewOrder("s", to, 12, 1, 0), Bounds{}, true)
		for j := range 40 {
			version := "v1"
			if j%10 == 0 {
				version = to
			}
			p.Record(fmt.Sprint("target-", j%8), version, fmt.Sprint("route-", j%10), Answered, time.Duration(10+j%60)*time.Millisecond, false)
		}
		list[i] = p.Report(fmt.Sprint("entry-", i), "0123456789abcdef", 0)
	}
	return list
}

// BenchmarkCoordinator measures one step with the reports of 189 entries, and logs the size of a report. The coordinator takes
// four steps and two reports of each entry a second.
func BenchmarkCoordinator(b *testing.B) {
	reports := newBenchReports(189, "v2")
	data, err := json.Marshal(reports[0])
	if err != nil {
		b.Fatal(err)
	}
	now := time.Unix(0, 0)
	order := NewOrder("s", "v2", 12, 1, 0)
	c := NewCoordinator(order, Unknown{}, nil, 0)
	c.RowRead(now, Stored{
		Row: &Row{
			Order:   order,
			Phase:   Trial{},
			Base:    []string{"v1"},
			Entries: 189,
		},
		Version: 1,
	}, nil)
	for b.Loop() {
		for _, r := range reports {
			c.Report(now, r)
		}
		c.Step(now, View{
			Order: &order,
			Known: 189,
			Slots: map[string]int{
				"v1": 10,
				"v2": 10,
			},
		})
	}
	b.ReportMetric(float64(len(data)), "bytes/report")
}

// BenchmarkDecodeReport measures the decoding of one report.
func BenchmarkDecodeReport(b *testing.B) {
	data, err := json.Marshal(newBenchReports(1, "v2")[0])
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		var r Report
		if err := json.Unmarshal(data, &r); err != nil {
			b.Fatal(err)
		}
	}
}
