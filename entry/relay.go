package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
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

// relayCall passes a call on to other entries, one after the other, until one answers it. That is the way to an answer
// while this entry may not use any target, such as after a start of the whole deployment, when all targets are cold.
// Refused is the result if no other entry can help.
func (e *Entry) relayCall(ctx context.Context, c *call, refused *outcome.NotRun, others []fleet.Member) outcome.Outcome {
	for _, m := range others {
		if ctx.Err() != nil {
			break
		}
		e.counters.relays.Inc()
		c.runs.Add(1)
		timeout := c.deadline.Sub(e.timers.Now())
		message := c.message("", timeout)
		message.Repeat = c.repeat || c.unknown != ""
		result := e.receive(ctx, c, e.relay(m).Send(ctx, message), func(route.Result, bool) {})
		if a, ok := result.(*answer); ok {
			result = relayed(a)
		}
		switch r := result.(type) {
		case *answer:
			return r
		case *outcome.Unknown:
			if !c.idempotent || c.repeat {
				return r
			}
			c.unknown = r.Reason
		}
	}
	return refused
}

// relayed tells the answer of a target from what the other entry itself has to say.
func relayed(a *answer) outcome.Outcome {
	reason := outcome.Reason(a.Header.Get(headerReason))
	if reason == "" {
		return a
	}
	a.discard()
	if a.Status == http.StatusBadGateway || a.Status == http.StatusGatewayTimeout {
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
	return slices.DeleteFunc(e.others(), func(m fleet.Member) bool { return !names[m.Name] })
}

// others returns the other entries in operation, in random order. In its first second an entry has heard none of them yet.
func (e *Entry) others() []fleet.Member {
	now := e.timers.Now()
	others := slices.DeleteFunc(e.fleet.Members(), func(m fleet.Member) bool {
		unheard := m.LastHeard.IsZero() && m.State == fleet.RecordStateActive
		return m.Name == e.opts.Name || !unheard && !e.usable(now, m)
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
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
			Name:             m.Name,
			Address:          m.Control,
			MaxConnections:   relayConnections,
			Timers:           e.timers,
			FirstByteTimeout: time.Second,
			OnRetry:          e.counters.CountRetry,
			OnDialError:      func(err error) { e.traceDialFailed("entry", m.Name, err) },
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
