package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"skylarkbeam/fleet"
	"skylarkbeam/outcome"
	"skylarkbeam/route"
	"skylarkbeam/target"
)

// relayConnections is the largest number of connections to one other entry.
const relayConnections = 64

// relay is the connection pool to another entry. To this entry, the other one is like a target: it answers with the
// request id of the attempt, and it refuses with "not-run".
type relay struct {
	*target.Pool
	address netip.AddrPort
}

// relayCall passes a call on to an entry that owns cold targets of the service. That is the way to an answer while this
// entry knows no warm target, such as after a start of the whole deployment.
func (e *Entry) relayCall(ctx context.Context, c *call) any {
	var result any = &outcome.NotRun{
		Reason: outcome.Cold,
	}
	for _, m := range e.owners(c) {
		if ctx.Err() != nil {
			return result
		}
		e.counters.relays.Inc()
		start := e.timers.Now()
		o := e.relay(m).Send(ctx, c.message("", c.deadline.Sub(start)))
		result = e.receive(ctx, c, o, func(route.Kind, outcome.Report, bool) {})
		if a, ok := result.(*answer); ok {
			result = relayed(a)
		}
		switch r := result.(type) {
		case *answer:
			return r
		case *outcome.Unknown:
			if !c.idempotent {
				return r
			}
		case *outcome.NotRun:
			// The other entry's refusal is one for want of a target that can take the call.
			result = &outcome.NotRun{
				Reason: outcome.Cold,
			}
		}
	}
	return result
}

// relayed tells the answer of a target from what the other entry itself has to say.
func relayed(a *answer) any {
	reason := outcome.Reason(a.header.Get(headerReason))
	if reason == "" {
		return a
	}
	a.discard()
	if a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout {
		return &outcome.Unknown{
			Reason: reason,
		}
	}
	return &outcome.NotRun{
		Reason: reason,
	}
}

// owners returns the entries that own targets of the service, in random order.
func (e *Entry) owners(c *call) []fleet.Member {
	names := map[string]bool{}
	for name := range c.service.spec.Targets {
		names[e.fleet.Owner(name)] = true
	}
	var owners []fleet.Member
	for _, m := range e.fleet.Members() {
		if names[m.Name] && m.Name != e.opts.Name && m.State == fleet.RecordStateActive {
			owners = append(owners, m)
		}
	}
	rand.Shuffle(len(owners), func(i, j int) { owners[i], owners[j] = owners[j], owners[i] })
	return owners
}

// relay returns the connection pool to another entry.
func (e *Entry) relay(m fleet.Member) *relay {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.relays[m.Name]
	if r != nil && r.address == m.Control {
		return r
	}
	if r != nil {
		r.Close()
	}
	r = &relay{
		Pool: target.New(target.Options{
			Name:        m.Name,
			Address:     m.Control,
			Connections: relayConnections,
			Timers:      e.timers,
			Silence:     time.Second,
			OnRetry:     e.counters.Retried,
		}),
		address: m.Control,
	}
	e.relays[m.Name] = r
	return r
}

// serveRelay handles a call that another entry passes on.
func (e *Entry) serveRelay(w http.ResponseWriter, r *http.Request) {
	if key := r.Header.Get(target.HeaderKey); key != "" {
		// The pool sends the key to the target under its other name again.
		r.Header.Set(headerKey, key)
	}
	e.serve(w, r, true)
}
