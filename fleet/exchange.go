package fleet

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Transport sends to other entries. NewClient returns the real one; tests use one in memory.
type Transport interface {
	// Send delivers a message and returns the answer.
	Send(ctx context.Context, to netip.AddrPort, message *Message) (*Message, error)
	// FetchSnapshot returns the state and the roster of another entry. The settings are left out if they have the given name. The
	// warm facts are included if they are asked for.
	FetchSnapshot(ctx context.Context, to netip.AddrPort, object string, warm bool) (*Snapshot, error)
}

// peer is what this entry knows of another member's present incarnation.
type peer struct {
	incarnation string
	// since is when the incarnation appeared, heard the start of the last exchange that it answered.
	since time.Time
	heard time.Time
	reply Message
	// leaving is the peer's own word.
	leaving bool
	busy    bool
	// own and relayed are the numbers of the last warm facts of either kind that the peer confirmed, steady is since when
	// its digest is the same, and seen and fell are sightings and falls that it has not confirmed.
	own     uint64
	relayed uint64
	steady  time.Time
	seen    map[string]string
	fell    map[fallenInstance]int
	// watched is when its beats were first looked at, beaten when one was new.
	watched time.Time
	beaten  time.Time
	beatRow uint64
	// use is what callers use at the peer, by its message of the time used.
	use  map[string]map[string]int
	used time.Time
}

func newPeer(incarnation string, now time.Time, fallen map[fallenInstance]int) *peer {
	return &peer{
		incarnation: incarnation,
		since:       now,
		seen:        map[string]string{},
		fell:        maps.Clone(fallen),
	}
}

// tenth is the unit of Message.Quiet.
const tenth = 100 * time.Millisecond

// silence returns how long before the message its sender heard a peer, at most.
func (m *Message) silence(name string) time.Duration {
	if tenths, ok := m.Quiet[name]; ok {
		return time.Duration(tenths) * tenth
	}
	return lateTime
}

// address is where to send to; the name is empty while no roster is known.
type address struct {
	name    string
	control netip.AddrPort
}

// addresses returns where the other members are, or the seeds while no roster is known. Idle ones are those without an
// exchange in flight; they are marked as busy.
func (f *Fleet) addresses(idle bool) []address {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []address
	for name, record := range f.roster.Members {
		p := f.peers[name]
		if p == nil || idle && p.busy {
			continue
		}
		p.busy = p.busy || idle
		list = append(list, address{
			name:    name,
			control: record.Control,
		})
	}
	if f.roster.Version == 0 {
		for _, control := range f.opt.Seeds {
			if control != f.opt.Control {
				list = append(list, address{
					control: control,
				})
			}
		}
	}
	return list
}

// tick starts an exchange with each peer that has answered the last one. It does not wait, so that a silent peer does
// not delay the others.
func (f *Fleet) tick() {
	f.measureUse()
	for _, to := range f.addresses(true) {
		f.tasks.Add(1)
		go func() {
			defer f.tasks.Done()
			f.exchange(f.ctx, to)
			f.mu.Lock()
			defer f.mu.Unlock()
			if p := f.peers[to.name]; p != nil {
				p.busy = false
			}
		}()
	}
}

// round exchanges with all peers, waits for the answers and returns the incarnations that answered.
func (f *Fleet) round(ctx context.Context) map[string]bool {
	var all sync.WaitGroup
	var mu sync.Mutex
	answered := map[string]bool{}
	for _, to := range f.addresses(false) {
		all.Go(func() {
			incarnation, ok := f.exchange(ctx, to)
			mu.Lock()
			defer mu.Unlock()
			answered[incarnation] = ok
		})
	}
	all.Wait()
	return answered
}

// exchange sends a message to a peer. The answer counts as heard only when this entry runs at least the versions that
// it names, and from the time at which the request was started: an answer or a request that waited in a buffer while
// this process was paused says nothing about the present.
func (f *Fleet) exchange(ctx context.Context, to address) (incarnation string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	start := f.now()
	message, confirm := f.compose(to.name)
	f.counters.messages.Inc()
	reply, err := f.opt.Transport.Send(ctx, to.control, message)
	if err == nil {
		err = f.catchUp(ctx, to.control, reply)
	}
	if err != nil {
		f.log.Debug("exchange failed", zap.String("peer", to.name), zap.Error(err))
		return "", false
	}
	f.absorb(reply)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.limits.arrival {
		start = f.now()
	}
	if start.After(f.lastHeard[reply.Incarnation]) {
		f.lastHeard[reply.Incarnation] = start
	}
	for incarnation, at := range f.lastHeard {
		if start.Sub(at) > vanishTime {
			delete(f.lastHeard, incarnation)
		}
	}
	p := f.peers[reply.Entry]
	if p == nil || p.incarnation != reply.Incarnation || !start.After(p.heard) {
		return reply.Incarnation, true
	}
	p.heard = start
	if p.steady.IsZero() || p.reply.Digest != reply.Digest {
		p.steady = start
	}
	p.reply = *reply
	p.leaving = p.leaving || reply.Leaving
	confirm(p)
	f.confirmFalls(p, message.Fell)
	for _, sighting := range message.Seen {
		if p.seen[sighting.Target] == sighting.Instance {
			delete(p.seen, sighting.Target)
		}
	}
	return reply.Incarnation, true
}

// catchUp fetches what the sender of a message has and this entry lacks.
func (f *Fleet) catchUp(ctx context.Context, control netip.AddrPort, m *Message) error {
	if !f.behind(m) {
		return nil
	}
	// All peers tell of a change within a moment. One fetch is enough.
	select {
	case f.fetching <- struct{}{}:
		defer func() { <-f.fetching }()
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for another fetch of the state")
	}
	if !f.behind(m) {
		return nil
	}
	// A process that starts while the table is down gets the warm facts at once, not in small messages.
	f.mu.RLock()
	warm := !f.ready && f.scanned.IsZero()
	f.mu.RUnlock()
	current := f.State()
	snap, err := f.opt.Transport.FetchSnapshot(ctx, control, current.document.Object, warm)
	if err != nil {
		return errors.Wrap(err, "fetch the state")
	}
	f.learn(snap.Warm, m.Entry)
	settings := snap.Settings
	switch {
	case snap.Document.Object == current.document.Object:
		settings = current.Settings
	case snap.Document.Object != "":
		if err := f.verify(snap.Document.Object, settings); err != nil {
			return err
		}
	}
	f.install(snap.Document, settings, snap.Roster)
	return nil
}

func (f *Fleet) behind(m *Message) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return m.Version > f.State().Version || m.Roster > f.roster.Version
}

// compose returns a message for a peer, and what to note when the peer has answered it.
func (f *Fleet) compose(name string) (message *Message, confirm func(p *peer)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := f.now()
	m := &Message{
		Entry:       f.opt.Name,
		Incarnation: f.incarnation,
		Version:     f.State().Version,
		Roster:      f.roster.Version,
		Quiet:       map[string]int{},
		Digest:      f.warm.digest(),
		Leaving:     f.leaving.Load(),
		Detached:    now.Sub(f.confirmed) >= leaseTime,
	}
	for other, p := range f.peers {
		if silence := now.Sub(p.heard); silence >= lateTime {
			m.Quiet[other] = int(min(silence/tenth, 99))
		}
	}
	confirm = func(*peer) {}
	p := f.peers[name]
	if p == nil {
		return m, confirm
	}
	m.Use = f.use
	limit := max(1, maxFacts/len(f.peers))
	switch {
	case p.heard.IsZero():
		// The digest of its first answer will tell whether there is anything to send.
	case now.Sub(p.steady) < relayTime:
		list, last := f.warm.since(p.own, name, p.reply.Digest, false, limit)
		m.Warm, confirm = list, func(p *peer) { p.own = max(p.own, last) }
	default:
		list, last := f.warm.since(p.relayed, name, p.reply.Digest, true, limit)
		m.Warm, confirm = list, func(p *peer) { p.relayed = max(p.relayed, last) }
	}
	m.Fell = p.pendingFalls()
	for target, instance := range p.seen {
		m.Seen = append(m.Seen, Fact{
			Target:   target,
			Instance: instance,
		})
	}
	return m, confirm
}

// absorb takes over the facts of a message.
func (f *Fleet) absorb(m *Message) {
	f.learn(m.Warm, m.Entry)
	f.mergeFalls(m.Fell)
	if f.opt.OnInstanceSeen != nil {
		for _, sighting := range m.Seen {
			f.opt.OnInstanceSeen(sighting.Target, sighting.Instance)
		}
	}
}

// learn merges warm facts from a peer, or from the table if the name is empty.
func (f *Fleet) learn(list []Fact, from string) {
	for _, fresh := range f.warm.merge(list, from) {
		f.warmed(fresh)
	}
}

func (f *Fleet) warmed(fresh Fact) {
	f.forgetFalls(fresh)
	if f.opt.OnWarm != nil {
		f.opt.OnWarm(fresh.Target, fresh.Instance, fresh.Falls)
	}
}

// Receive handles a message from a peer and returns the answer. A sender that has something newer is asked for it
// before the answer, so that the answer already confirms it.
func (f *Fleet) Receive(ctx context.Context, m *Message) (*Message, error) {
	f.mu.RLock()
	ended := f.ended
	sender, known := f.roster.Members[m.Entry]
	p := f.peers[m.Entry]
	f.mu.RUnlock()
	if ended {
		return nil, errors.New("the entry has stopped")
	}
	f.absorb(m)
	f.noteUse(m)
	if known {
		if err := f.catchUp(ctx, sender.Control, m); err != nil {
			f.log.Debug("catching up failed", zap.String("peer", m.Entry), zap.Error(err))
		}
	}
	if m.Leaving && p != nil && p.incarnation == m.Incarnation {
		f.mu.Lock()
		p.leaving = true
		f.mu.Unlock()
	}
	reply, _ := f.compose("")
	return reply, nil
}
