package entry

import (
	"fmt"

	"skylarkbeam/memory"
)

// registerMemoryGauges registers what is held, by part.
func (e *Entry) registerMemoryGauges() {
	e.metrics.RegisterGauge("skylarkbeam_connections", func() float64 {
		if e.callerServer == nil {
			return 0
		}
		return float64(e.callerServer.Connections())
	})
	e.metrics.RegisterGauge("skylarkbeam_service_connections", func() float64 {
		n := 0
		for _, s := range e.serviceServers() {
			n += s.Connections()
		}
		return float64(n)
	})
	e.metrics.RegisterGauge("skylarkbeam_target_connections", func() float64 { return float64(e.sockets.Open()) })
	e.metrics.RegisterGauge("skylarkbeam_target_connections_closed_total", func() float64 { return float64(e.sockets.Closed()) })
	e.metrics.RegisterGauge("skylarkbeam_target_connections_refused_total", func() float64 { return float64(e.sockets.Refused()) })
	e.metrics.RegisterGauge("skylarkbeam_connections_refused_total", func() float64 {
		return float64(e.connections.ClosedFull())
	})
	for _, p := range memory.Parts {
		for name, value := range map[string]func(memory.Usage) float64{
			"held_bytes":    func(u memory.Usage) float64 { return float64(u.Held) },
			"garbage_bytes": func(u memory.Usage) float64 { return float64(u.Garbage) },
			"limit_bytes":   func(u memory.Usage) float64 { return float64(u.Limit) },
			"waiting":       func(u memory.Usage) float64 { return float64(u.Waiting) },
			"waits_total":   func(u memory.Usage) float64 { return float64(u.Waits) },
			"refused_total": func(u memory.Usage) float64 { return float64(u.Refused) },
		} {
			e.metrics.RegisterGauge(fmt.Sprintf("skylarkbeam_memory_%s{part=%q}", name, p), func() float64 {
				return value(e.memory.Usage(p))
			})
		}
	}
}
