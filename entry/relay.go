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

// maxPeerConnections is the maximum number of connections to one other entry.
const maxPeerConnections = 64

// peerPool is the connection pool to another entry. The other entry acts like a target: it returns the request ID of
// the attempt, and refuses calls with the outcome not-run.
type peerPool struct {
	*target.Pool
	address netip.AddrPort
}

// relayCall forwards a call to other entries, one after the other, until one returns a response. It is used while
// this entry may not use any target, for example after a restart of the whole deployment, when all targets are cold.
// It returns notRun if no other entry can help.
func (e *Entry) relayCall(ctx context.Context, c *call, notRun *outcome.NotRun, peers []fleet.Member) outcome.Outcome {
	if c.key == "" {
		// The other entry ends the call when its connection is closed, unless the call may run. With a key, this entry
		// would not learn which, and the key would stay claimed.
		ctx = c.waiting
	}
	for _, m := range peers {
		c.place = placeRelay
		if c.waiting.Err() != nil {
			break
		}
		e.metrics.relays.Inc()
		c.runs.Add(1)
		timeout := c.deadline.Sub(e.timers.Now())
		message := c.message("", timeout)
		var reason outcome.Reason
		if message.Workspace, reason = e.authorize(c); reason != "" {
			c.runs.Add(-1)
			break
		}
		message.Repeat = c.isRetry || c.unknownReason != ""
		result := e.receiveOutcome(ctx, c, e.peerPool(m).Send(ctx, message), func(route.Result, bool) {})
		if resp, ok := result.(*response); ok {
			result = relayedOutcome(resp)
		}
		switch r := result.(type) {
		case *response:
			return r
		case *outcome.Unknown:
			if !c.idempotent || c.isRetry {
				return r
			}
			c.unknownReason = r.Reason
		}
	}
	return notRun
}

// relayedOutcome returns the response if it is that of a target, or else the outcome that the other entry reports.
func relayedOutcome(resp *response) outcome.Outcome {
	reason := outcome.Reason(resp.Header.Get(headerReason))
	if reason == "" {
		return resp
	}
	resp.discard()
	if resp.Status == http.StatusBadGateway || resp.Status == http.StatusGatewayTimeout {
		return &outcome.Unknown{
			Reason: reason,
		}
	}
	return &outcome.NotRun{
		Reason: reason,
	}
}

// owningEntries returns the other entries that own targets of the service, in random order.
func (e *Entry) owningEntries(c *call) []fleet.Member {
	names := map[string]bool{}
	for name := range c.service.spec.Targets {
		names[e.fleet.Owner(name)] = true
	}
	return slices.DeleteFunc(e.otherEntries(), func(m fleet.Member) bool { return !names[m.Name] })
}

// otherEntries returns the other available entries, in random order. It includes active entries that were never heard
// from, because in its first second an entry has not heard from any.
func (e *Entry) otherEntries() []fleet.Member {
	now := e.timers.Now()
	entries := slices.DeleteFunc(e.fleet.Members(), func(m fleet.Member) bool {
		neverHeard := m.LastHeard.IsZero() && m.State == fleet.RecordStateActive
		return m.Name == e.opts.Name || !neverHeard && !e.available(now, m)
	})
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries
}

// peerPool returns the connection pool to another entry.
func (e *Entry) peerPool(m fleet.Member) *peerPool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peerPools[m.Name]
	if p != nil && p.address == m.Control {
		return p
	}
	if p != nil {
		p.Close()
	}
	p = &peerPool{
		Pool: target.New(target.Options{
			Name:             m.Name,
			Address:          m.Control,
			MaxConnections:   maxPeerConnections,
			Timers:           e.timers,
			Sockets:          e.sockets,
			FirstByteTimeout: time.Second,
			OnRetry:          e.metrics.CountRetry,
			OnDialError:      func(err error) { e.logDialError("entry", m.Name, err) },
		}),
		address: m.Control,
	}
	e.peerPools[m.Name] = p
	return p
}

// serveRelay handles a call relayed by another entry.
func (e *Entry) serveRelay(w http.ResponseWriter, r *http.Request) {
	if key := r.Header.Get(target.HeaderKey); key != "" {
		// Targets and other entries receive the key in target.HeaderKey.
		r.Header.Set(headerKey, key)
	}
	e.serveRequest(w, r, true)
}
