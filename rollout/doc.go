// Package rollout decides how the traffic of a service moves from one version of its targets to another. An operator
// orders it; a bad version must get few requests and none after it has been found out, and a good version must not be
// turned away.
//
// The package has no sockets, goroutines or clocks: time is passed in, and calls to the store are returned as actions. A
// Participant is the part of each entry: it bounds the exposure, counts results and obeys the phase. A Coordinator is the
// part of the one entry that gathers the counts of all and decides. Versions knows which versions of a service are in
// service while no order says so. Judge compares two versions.
//
// # Usage
//
// At each entry:
//
//	p := rollout.NewParticipant(now, order, bounds, running)
//	table.SetVersionPolicy(order.Service, policyOf(p))
//	p.Record(now, version, route, rollout.Answered, latency, warm)
//	reply := send(coordinator, p.Report(entry, incarnation, inflight))
//	p.Hear(now, reply)
//
// At the coordinator, several times a second:
//
//	switch a := c.Step(now, view).(type) {
//	case rollout.Read:
//		stored, err := store.ReadRollout(ctx, order.Service)
//		c.RowRead(now, stored, err)
//	case rollout.Write:
//		stored, err := store.WriteRollout(ctx, order.Service, a.Row, a.Version)
//		c.RowWritten(now, stored, err)
//	}
package rollout

//go:generate go tool -modfile=../tools/go.mod go-jsonschema -p rollout --only-models --tags json -o message.go schema.json
