package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"skylarkbeam/outcome"
	"skylarkbeam/target"
	"skylarkbeam/workspace"
)

const (
	// maxUnconfirmedBytes bounds the memory of requests that wait until their refusal is confirmed. It is 2% of the
	// smallest machine's memory.
	maxUnconfirmedBytes = 4 << 20
	// unconfirmedBytes is the size of a waiting request besides its key.
	unconfirmedBytes = 8 << 10
	// unconfirmedRetryAfter is twice the time in which a change of the desired state usually reaches all entries.
	unconfirmedRetryAfter = 200 * time.Millisecond
	// contactInterval is the interval at which an entry that has to refuse keys without contact asks for a sign of it. The
	// shortest time without contact after which keys are refused is several times that.
	contactInterval = time.Second
	// priorityLevels is the number of priorities of routes that the queue distinguishes within one rank of workspaces.
	priorityLevels = 1 << 16
)

// identity says on whose behalf a call is made.
type identity struct {
	// keyed is set if requests need a key, unless their route is open.
	keyed bool
	// index is the index in which workspace was found. workspace is nil for a call without a key.
	index     *workspace.Index
	workspace *workspace.Workspace
	// key is the key that the workspace holds, empty for a relayed call.
	key workspace.Key
}

// identify finds the workspace of a request. ok is false if the request carries an unknown or no usable key.
func (e *Entry) identify(snap *snapshot, r *http.Request, relayed bool) (id identity, ok bool) {
	id = identity{
		keyed: snap.workspaces != nil,
		index: snap.workspaces,
	}
	if !id.keyed {
		return id, true
	}
	if relayed {
		// The entry that relayed the call has read the key and sends the name in its place.
		name := r.Header.Get(target.HeaderWorkspace)
		id.workspace = snap.workspaces.Named(name)
		return id, name == "" || id.workspace != nil
	}
	switch credential := e.protocol.Credential(r).(type) {
	case workspace.None:
		return id, true
	case workspace.Key:
		id.workspace, id.key = snap.workspaces.Find(credential), credential
		return id, id.workspace != nil
	default:
		return id, false
	}
}

// admission is what the settings say of a request.
type admission struct {
	snapshot *snapshot
	service  *service
	policy   callPolicy
	identity identity
}

// admitRequest finds the service and the workspace of a request. A request with an unknown key is refused only after the
// entry has confirmed that it has the newest settings. An unknown path is not confirmed: a call to the store for each of
// these costs more than the requests to a new route that arrive before its settings.
func (e *Entry) admitRequest(snap *snapshot, r *http.Request, relayed bool) (admission, *Refusal) {
	a, refusal := e.resolveRequest(snap, r, relayed)
	if refusal == nil || refusal.Reason != outcome.Unauthorized || snap.workspaces == nil {
		return a, refusal
	}
	size := int64(unconfirmedBytes + headerBytes(r.Header))
	if e.unconfirmed.Add(size) > maxUnconfirmedBytes {
		e.unconfirmed.Add(-size)
		return a, notRunRefusal(outcome.Unconfirmed, unconfirmedRetryAfter, "too many requests wait for confirmation")
	}
	err := e.fleet.Confirm(r.Context())
	e.unconfirmed.Add(-size)
	if err != nil {
		return a, notRunRefusal(outcome.Unconfirmed, unconfirmedRetryAfter, "this entry cannot confirm that it has the newest settings")
	}
	e.refreshSnapshot()
	return e.resolveRequest(e.snapshot.Load(), r, relayed)
}

func headerBytes(h http.Header) (n int) {
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value)
		}
	}
	return n
}

// resolveRequest finds the service and the workspace of a request in the settings of a snapshot.
func (e *Entry) resolveRequest(snap *snapshot, r *http.Request, relayed bool) (admission, *Refusal) {
	a := admission{
		snapshot: snap,
	}
	id, ok := e.identify(snap, r, relayed)
	if !ok {
		return a, notRunRefusal(outcome.Unauthorized, 0, "the key is unknown")
	}
	a.identity = id
	if a.service, a.policy, ok = snap.findService(r); !ok {
		return a, notRunRefusal(outcome.UnknownService, 0, "no service has this path")
	}
	if id.keyed && id.workspace == nil && !a.policy.open {
		return a, notRunRefusal(outcome.Unauthorized, 0, "the request has no key")
	}
	if id.workspace != nil && e.keysStale(snap) {
		return a, notRunRefusal(outcome.Stale, defaultRetryAfter, "this entry has lost contact, and keys may have been revoked")
	}
	return a, nil
}

// keysStale reports whether the entry has had no contact for so long that it must not trust the keys that it knows.
func (e *Entry) keysStale(snap *snapshot) bool {
	limit := snap.settings.Limits.Revocation
	return limit != nil && e.timers.Now().Sub(e.fleet.ContactAt()) > time.Duration(*limit)
}

// refreshContact asks for a sign of contact while the settings say that keys are not trusted without it.
func (e *Entry) refreshContact() {
	snap := e.snapshot.Load()
	if snap.settings == nil || snap.workspaces == nil || snap.settings.Limits.Revocation == nil ||
		e.timers.Now().Sub(e.fleet.ContactAt()) < contactInterval {
		return
	}
	if err := e.fleet.RefreshContact(); err != nil {
		e.metrics.contactFailures.Inc()
	}
}

// authorization is the workspace of a call according to a snapshot.
type authorization struct {
	index     *workspace.Index
	workspace string
	reason    outcome.Reason
}

// authorize returns the name of the workspace that holds the key of a call now, or the reason why the call may not run.
// Between its admission and an attempt, the key may have been revoked or moved to another workspace.
func (e *Entry) authorize(c *call) (name string, reason outcome.Reason) {
	if !c.identity.keyed || c.identity.workspace == nil {
		return "", ""
	}
	snap := e.snapshot.Load()
	if snap.workspaces == nil {
		return c.identity.workspace.Name, ""
	}
	known := c.authorized.Load()
	if known == nil || known.index != snap.workspaces {
		known = c.lookUp(snap.workspaces)
		c.authorized.Store(known)
	}
	if known.reason == "" && e.keysStale(snap) {
		return "", outcome.Stale
	}
	return known.workspace, known.reason
}

// lookUp finds the workspace of a call in an index.
func (c *call) lookUp(index *workspace.Index) *authorization {
	found := c.identity.workspace
	if index != c.identity.index {
		if c.identity.key != "" {
			found = index.Find(c.identity.key)
		} else {
			found = index.Named(found.Name)
		}
	}
	a := &authorization{
		index: index,
	}
	if found == nil {
		a.reason = outcome.Unauthorized
		return a
	}
	a.workspace = found.Name
	return a
}

// sendRefusal returns the reason why nothing of a call may be sent now, or an empty reason.
func (e *Entry) sendRefusal(c *call, now time.Time) outcome.Reason {
	if reason := e.dispatchRefusal(now); reason != "" {
		return reason
	}
	_, reason := e.authorize(c)
	return reason
}

// writeRefusalReason is sendRefusal for a request that names a workspace and is about to be written. A key that has moved
// to another workspace since makes the call be placed again.
func (e *Entry) writeRefusalReason(c *call, now time.Time, named string) outcome.Reason {
	if reason := e.sendRefusal(c, now); reason != "" {
		return reason
	}
	if name, _ := e.authorize(c); name != named {
		return outcome.Unconfirmed
	}
	return ""
}

// priority orders the call in the queue: by the rank of its workspace, then by that of its route. A call without a
// workspace, or of one without a rank, has the rank of its route in both places.
func (c *call) priority() int {
	if !c.identity.keyed {
		return c.policy.priority
	}
	rank := c.policy.priority
	if w := c.identity.workspace; w != nil && w.Rank != nil {
		rank = *w.Rank
	}
	return rank*priorityLevels + min(max(c.policy.priority, 0), priorityLevels-1)
}

// workspaceState is the part of a call that belongs to its workspace.
type workspaceState struct {
	identity   identity
	authorized atomic.Pointer[authorization]
	// permitOf is the workspace whose permit the call holds, empty if it has none.
	permitOf string
	// permitExpires is until when another call can use it.
	permitExpires time.Time
}
