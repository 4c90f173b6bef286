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

// Transport sends messages to other entries. NewClient returns the HTTP implementation; tests use one in memory.
type Transport interface {
	// Send delivers a message and returns the reply.
	Send(ctx context.Context, to netip.AddrPort, message *Message) (*Message, error)
	// FetchSnapshot returns the state and the roster of another entry. The settings are omitted if their object has
	// the given name. The warm facts are included on request.
	FetchSnapshot(ctx context.Context, to netip.AddrPort, object string, warm bool) (*Snapshot, error)
}

// peer is what this entry knows about the current incarnation of another member.
type peer struct {
	incarnation string
	// appearedAt is when the incarnation first appeared in the roster, heardAt the start of the last exchange that it
	// answered.
	appearedAt time.Time
	heardAt    time.Time
	lastReply  Message
	// leaving is set once the peer has said that it is leaving.
	leaving    bool
	exchanging bool
	// ackedOwn and ackedRelayed are the sequence numbers up to which the peer has confirmed own and relayed warm
	// facts. digestSince is the time since which its digest has not changed. pendingInstances and pendingTransitions
	// are new instances and cold transitions that it has not confirmed yet.
	ackedOwn           uint64
	ackedRelayed       uint64
	digestSince        time.Time
	pendingInstances   map[string]string
	pendingTransitions map[instanceKey]int
	// watchedSince is when this entry began to read the peer's heartbeat rows, lastHeartbeat is when it last saw a new
	// one.
	watchedSince  time.Time
	lastHeartbeat time.Time
	heartbeatRow  uint64
	// usage is the peer's slot usage by service and caller, as of the message received at usageAt.
	usage   map[string]map[string]int
	usageAt time.Time
}

func newPeer(incarnation string, now time.Time, transitions map[instanceKey]int) *peer {
	return &peer{
		incarnation:        incarnation,
		appearedAt:         now,
		pendingInstances:   map[string]string{},
		pendingTransitions: maps.Clone(transitions),
	}
}

// silenceUnit is the unit of Message.Quiet and Greeting.Heard.
const silenceUnit = 100 * time.Millisecond

// silence returns the maximum time between the sender's last contact with the named peer and this message.
func (m *Message) silence(name string) time.Duration {
	if tenths, ok := m.Quiet[name]; ok {
		return time.Duration(tenths) * silenceUnit
	}
	return minReportedSilence
}

// peerAddress is the address of a peer. The name is empty while no roster is known.
type peerAddress struct {
	name    string
	control netip.AddrPort
}

// peerAddresses returns the addresses of the other members, or the seeds while no roster is known. With idle set it
// returns only peers without a regular exchange in flight, and marks them as exchanging.
func (f *Fleet) peerAddresses(idle bool) []peerAddress {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []peerAddress
	for name, record := range f.roster.Members {
		p := f.peers[name]
		if p == nil || idle && p.exchanging {
			continue
		}
		p.exchanging = p.exchanging || idle
		list = append(list, peerAddress{
			name:    name,
			control: record.Control,
		})
	}
	if f.roster.Version == 0 {
		for _, control := range f.opt.Seeds {
			if control != f.opt.Control {
				list = append(list, peerAddress{
					control: control,
				})
			}
		}
	}
	return list
}

// startExchanges starts an exchange with each peer whose last regular exchange has ended. It does not wait for
// replies, so a silent peer does not delay the others.
func (f *Fleet) startExchanges() {
	f.measureUsage()
	for _, to := range f.peerAddresses(true) {
		f.tasks.Add(1)
		go func() {
			defer f.tasks.Done()
			f.exchange(f.ctx, to)
			f.mu.Lock()
			defer f.mu.Unlock()
			if p := f.peers[to.name]; p != nil {
				p.exchanging = false
			}
		}()
	}
}

// exchangeAll exchanges messages with all peers, waits for the replies and returns the incarnations that replied.
func (f *Fleet) exchangeAll(ctx context.Context) map[string]bool {
	var all sync.WaitGroup
	var mu sync.Mutex
	answered := map[string]bool{}
	for _, to := range f.peerAddresses(false) {
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

// exchange sends a message to a peer. The peer counts as heard only once this entry runs at least the versions named
// in the reply, and from the time when the request started: a request or reply that was buffered while this process
// was suspended says nothing about the present.
func (f *Fleet) exchange(ctx context.Context, to peerAddress) (incarnation string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	start := f.now()
	message, confirm := f.newMessage(to.name)
	f.counters.messages.Inc()
	reply, err := f.opt.Transport.Send(ctx, to.control, message)
	if err == nil {
		err = f.catchUp(ctx, to.control, reply)
	}
	if err != nil {
		f.log.Debug("exchange with a peer failed", zap.String("peer", to.name), zap.Error(err))
		return "", false
	}
	f.applyMessage(reply)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.protocol.timeFromArrival {
		start = f.now()
	}
	if start.After(f.lastHeard[reply.Incarnation]) {
		f.lastHeard[reply.Incarnation] = start
	}
	for incarnation, at := range f.lastHeard {
		if start.Sub(at) > vmAbsenceTimeout {
			delete(f.lastHeard, incarnation)
		}
	}
	p := f.peers[reply.Entry]
	if p == nil || p.incarnation != reply.Incarnation || !start.After(p.heardAt) {
		return reply.Incarnation, true
	}
	p.heardAt = start
	if p.digestSince.IsZero() || p.lastReply.Digest != reply.Digest {
		p.digestSince = start
	}
	p.lastReply = *reply
	p.leaving = p.leaving || reply.Leaving
	confirm(p)
	f.confirmTransitions(p, message.Fell)
	for _, reported := range message.Seen {
		if p.pendingInstances[reported.Target] == reported.Instance {
			delete(p.pendingInstances, reported.Target)
		}
	}
	return reply.Incarnation, true
}

// catchUp fetches the state and the roster from the sender of a message if they are newer than those of this entry.
func (f *Fleet) catchUp(ctx context.Context, control netip.AddrPort, m *Message) error {
	if !f.behind(m) {
		return nil
	}
	// All peers announce a change almost at once, and one fetch is enough.
	select {
	case f.fetchSlots <- struct{}{}:
		defer func() { <-f.fetchSlots }()
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for another fetch of the state")
	}
	if !f.behind(m) {
		return nil
	}
	// A process that starts while the table is down gets all warm facts at once instead of in small messages.
	f.mu.RLock()
	warm := !f.ready && f.warmScannedAt.IsZero()
	f.mu.RUnlock()
	current := f.State()
	snapshot, err := f.opt.Transport.FetchSnapshot(ctx, control, current.document.Object, warm)
	if err != nil {
		return errors.Wrap(err, "fetch the state")
	}
	f.mergeWarm(snapshot.Warm, m.Entry)
	settings := snapshot.Settings
	switch {
	case snapshot.Document.Object == current.document.Object:
		settings = current.Settings
	case snapshot.Document.Object != "":
		if err := f.verifySettings(snapshot.Document.Object, settings); err != nil {
			return err
		}
	}
	f.install(snapshot.Document, settings, snapshot.Roster)
	return nil
}

func (f *Fleet) behind(m *Message) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return m.Version > f.State().Version || m.Roster > f.roster.Version
}

// newMessage returns a message to a peer, and a function that records what the peer has confirmed by its reply.
func (f *Fleet) newMessage(name string) (message *Message, confirm func(p *peer)) {
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
		Detached:    now.Sub(f.confirmedAt) >= leaseDuration,
	}
	for other, p := range f.peers {
		if silence := now.Sub(p.heardAt); silence >= minReportedSilence {
			m.Quiet[other] = int(min(silence/silenceUnit, 99))
		}
	}
	confirm = func(*peer) {}
	p := f.peers[name]
	if p == nil {
		return m, confirm
	}
	m.Use = f.usage
	limit := max(1, maxWarmFactsPerRound/len(f.peers))
	switch {
	case p.heardAt.IsZero():
		// The first reply brings the peer's digest, which shows whether there is anything to send.
	case now.Sub(p.digestSince) < relayDelay:
		list, last := f.warm.unsent(p.ackedOwn, name, p.lastReply.Digest, false, limit)
		m.Warm, confirm = list, func(p *peer) { p.ackedOwn = max(p.ackedOwn, last) }
	default:
		list, last := f.warm.unsent(p.ackedRelayed, name, p.lastReply.Digest, true, limit)
		m.Warm, confirm = list, func(p *peer) { p.ackedRelayed = max(p.ackedRelayed, last) }
	}
	m.Fell = p.transitionsToSend()
	for target, instance := range p.pendingInstances {
		m.Seen = append(m.Seen, Fact{
			Target:   target,
			Instance: instance,
		})
	}
	return m, confirm
}

// applyMessage applies the facts of a message.
func (f *Fleet) applyMessage(m *Message) {
	f.mergeWarm(m.Warm, m.Entry)
	f.mergeTransitions(m.Fell)
	if f.opt.OnInstanceSeen != nil {
		for _, reported := range m.Seen {
			f.opt.OnInstanceSeen(reported.Target, reported.Instance)
		}
	}
}

// mergeWarm merges warm facts from a peer, or from the table if the name is empty.
func (f *Fleet) mergeWarm(list []Fact, from string) {
	for _, fact := range f.warm.merge(list, from) {
		f.notifyWarm(fact)
	}
}

func (f *Fleet) notifyWarm(fact Fact) {
	f.dropSuperseded(fact)
	if f.opt.OnWarm != nil {
		f.opt.OnWarm(fact.Target, fact.Instance, fact.Falls)
	}
}

// Receive handles a message from a peer and returns the reply. If the sender has newer versions, they are fetched
// first, so that the reply already confirms them.
func (f *Fleet) Receive(ctx context.Context, m *Message) (*Message, error) {
	f.mu.RLock()
	stopped := f.stopped
	sender, known := f.roster.Members[m.Entry]
	p := f.peers[m.Entry]
	f.mu.RUnlock()
	if stopped {
		return nil, errors.New("the entry has stopped")
	}
	f.applyMessage(m)
	f.recordUsage(m)
	if known {
		if err := f.catchUp(ctx, sender.Control, m); err != nil {
			f.log.Debug("fetching the state from a peer failed", zap.String("peer", m.Entry), zap.Error(err))
		}
	}
	if m.Leaving && p != nil && p.incarnation == m.Incarnation {
		f.mu.Lock()
		p.leaving = true
		f.mu.Unlock()
	}
	reply, _ := f.newMessage("")
	return reply, nil
}
