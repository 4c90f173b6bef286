package fleet

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	restful "github.com/emicklei/go-restful/v3"

	"skylarkbeam/feed"
)

// confirmPath is the path below PeerPath at which a reader confirms the table with the desired state.
const confirmPath = "/confirm"

const (
	// confirmTimeout bounds one confirmation. Callers give up a request after about a second.
	confirmTimeout = 900 * time.Millisecond
	// peerConfirmInterval is the minimum time between two confirmations by a reader. Requests in between share one, so
	// that a flood of them costs 20 messages a second.
	peerConfirmInterval = 50 * time.Millisecond
	// storeConfirmInterval is the same for confirmations by the store, which are charged: 2 calls a second of each reader.
	storeConfirmInterval = 500 * time.Millisecond
	// readerContactAge is how long ago a reader that vouches for the store has last heard from it. A reader hears from it
	// once in stateWatchTimeout.
	readerContactAge = 1500 * time.Millisecond
)

var errNotReader = errors.New("this entry does not read the store")

// confirmations merges requests to confirm the desired state.
type confirmations struct {
	mu sync.Mutex
	// next is the confirmation that has not started yet; nil if there is none.
	next      *confirmation
	startedAt time.Time
	// contactAt is when this entry last heard from the store or from an entry that reads it.
	contactAt time.Time
}

// confirmation is one confirmation. err is set before done is closed.
type confirmation struct {
	done chan struct{}
	err  error
}

// confirmTransport is the part of a transport that confirmations need. *Client implements it.
type confirmTransport interface {
	// Confirm returns the changes of a table after a version from an entry that reads the store. If fresh is set, they
	// include all changes that the store had acknowledged before the call.
	Confirm(ctx context.Context, to netip.AddrPort, table string, after uint64, fresh bool) (*feed.Batch, error)
}

// Confirm returns once the state includes every change of the desired state that the store had acknowledged before the
// call. It fails if that cannot be established, such as while the store does not answer. Concurrent calls share
// messages.
func (f *Follower) Confirm(ctx context.Context) error {
	if f.ctx.Err() != nil {
		return errors.Wrap(f.ctx.Err(), "confirm the desired state")
	}
	c := f.joinConfirmation()
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "confirm the desired state")
	}
}

// joinConfirmation returns the confirmation that starts next.
func (f *Follower) joinConfirmation() *confirmation {
	f.confirm.mu.Lock()
	defer f.confirm.mu.Unlock()
	if f.confirm.next != nil {
		return f.confirm.next
	}
	c := &confirmation{
		done: make(chan struct{}),
	}
	f.confirm.next = c
	go f.runConfirmation(c)
	return c
}

func (f *Follower) runConfirmation(c *confirmation) {
	defer close(c.done)
	interval := storeConfirmInterval
	if _, ok := f.reader(); ok {
		interval = peerConfirmInterval
	}
	f.confirm.mu.Lock()
	wait := interval - f.now().Sub(f.confirm.startedAt)
	f.confirm.mu.Unlock()
	if wait > 0 {
		f.sleep(f.ctx, wait)
	}
	f.confirm.mu.Lock()
	f.confirm.next, f.confirm.startedAt = nil, f.now()
	f.confirm.mu.Unlock()
	c.err = f.fetchConfirmation(true)
}

// fetchConfirmation asks the entry that this one follows, or the store, for changes of the desired state.
func (f *Follower) fetchConfirmation(fresh bool) error {
	table := f.tables[f.opt.Tables[0]]
	if !table.Loaded() {
		return errors.New("the table is not known yet")
	}
	ctx, cancel := context.WithTimeout(f.ctx, confirmTimeout)
	defer cancel()
	after := table.CompleteVersion()
	var batch feed.Batch
	if to, ok := f.reader(); ok {
		transport, ok := f.opt.Transport.(confirmTransport)
		if !ok {
			return errors.New("the transport cannot confirm tables")
		}
		received, err := transport.Confirm(ctx, to.control, table.Name(), after, fresh)
		if err != nil {
			return errors.Wrapf(err, "confirm the desired state at %s", to.name)
		}
		batch = *received
	} else {
		var err error
		if batch, err = f.opt.Store.Watch(ctx, table.Name(), after, 0); err != nil {
			return errors.Wrap(err, "confirm the desired state at the store")
		}
	}
	f.recordContact(nil)
	// Another request may have delivered a change that is not in the state yet.
	if table.Apply(batch) || f.state.Load().BaseVersion < table.LatestVersion() {
		f.rebuild()
	}
	return nil
}

// recordContact records that the store, or an entry that reads it, has answered.
func (f *Follower) recordContact(err error) {
	if err != nil {
		return
	}
	f.confirm.mu.Lock()
	defer f.confirm.mu.Unlock()
	f.confirm.contactAt = f.now()
}

// ContactAt returns when this entry last heard from the store or from an entry that reads it.
func (f *Follower) ContactAt() time.Time {
	f.confirm.mu.Lock()
	defer f.confirm.mu.Unlock()
	return f.confirm.contactAt
}

// RefreshContact asks the entry that this one follows whether it hears from the store. It has no effect for an entry that
// reads the store itself.
func (f *Follower) RefreshContact() error {
	if _, ok := f.reader(); !ok {
		return nil
	}
	return f.fetchConfirmation(false)
}

// serveConfirm answers an entry that follows this one.
func (f *Follower) serveConfirm(req *restful.Request, resp *restful.Response) {
	table := f.tables[f.opt.Tables[0]]
	after, err := strconv.ParseUint(req.QueryParameter("after"), 10, 64)
	if err != nil || req.QueryParameter("table") != table.Name() {
		http.Error(resp, "need the name of the table and a version", http.StatusBadRequest)
		return
	}
	if _, follows := f.reader(); follows {
		err = errNotReader
	} else if req.QueryParameter("fresh") == "true" {
		err = f.Confirm(req.Request.Context())
	} else if f.now().Sub(f.ContactAt()) > readerContactAge {
		err = errNotReader
	}
	if err != nil {
		http.Error(resp, err.Error(), http.StatusServiceUnavailable)
		return
	}
	f.large.writeTable(req, resp, table, after)
}

// Confirm returns the changes of a table after a version from an entry that reads the store.
func (c *Client) Confirm(ctx context.Context, to netip.AddrPort, table string, after uint64, fresh bool) (*feed.Batch, error) {
	var batch feed.Batch
	query := url.Values{
		"table": {table},
		"after": {strconv.FormatUint(after, 10)},
		"fresh": {strconv.FormatBool(fresh)},
	}
	err := c.do(ctx, http.MethodGet, to, PeerPath+confirmPath+"?"+query.Encode(), nil, maxSnapshotBytes, &batch)
	return &batch, err
}

// Confirm returns nil: a Fleet polls the table itself, and serves only while it is in contact.
func (f *Fleet) Confirm(context.Context) error { return nil }

// ContactAt returns when the table or a majority of the peers was last heard; SetContactPolicy decides what follows from
// a time without contact, so this is always the present.
func (f *Fleet) ContactAt() time.Time { return f.now() }

// RefreshContact has no effect: a Fleet polls the table.
func (f *Fleet) RefreshContact() error { return nil }
