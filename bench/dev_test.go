package bench

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

func TestDev(t *testing.T) {
	var configs []Config
	for _, shape := range []Shape{Beaconwatch, Mandacaru} {
		for _, sc := range Scenarios {
			if e := os.Getenv("SC"); e != "" && !strings.Contains(e, string(sc)) {
				continue
			}
			for _, load := range []float64{0.3, 0.7, 0.9, 1.1} {
				for seed := range uint64(3) {
					configs = append(configs, Config{Shape: shape, Policy: Route, Scenario: sc, Load: load, Seed: seed + 1, Length: 8 * time.Second})
				}
			}
		}
	}
	rs := sweep(configs)
	for i := 0; i < len(rs); i += 3 {
		c := rs[i].config
		var p50, p99, p999, g0, g1, g5, rep, tot float64
		for _, r := range rs[i : i+3] {
			p50 += r.Quantile(50).Seconds() * 1000 / 3
			p99 += r.Quantile(99).Seconds() * 1000 / 3
			p999 += r.Quantile(99.9).Seconds() * 1000 / 3
			g0 += r.Goodput(0) * 100 / 3
			g1 += (r.Goodput(1) + r.Goodput(2) + r.Goodput(3)) * 100 / 9
			g5 += (r.Goodput(4) + r.Goodput(5)) * 100 / 6
			rep += r.Repeats() * 100 / 3
			o, g := 0, 0
			for _, c := range r.callers {
				o += c.offered
				g += c.good
			}
			tot += float64(g) / float64(o) * 100 / 3
		}
		fmt.Printf("%.4s %-10s %3.0f p50 %5.1f p99 %5.1f p999 %5.1f L %5.1f M %5.1f S %5.1f T %5.1f rep %4.1f viol %3d fl %d %s\n", c.Shape.Name, c.Scenario, c.Load*100, p50, p99, p999, g0, g1, g5, tot, rep, rs[i].violations, rs[i].calls[4]*100/max(1, rs[i].first), rs[i].Refusals())
	}
}
