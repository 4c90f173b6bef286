package fleet

import (
	"cmp"
	"context"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// The entries of a Follower's fleet learn who is alive from greetings. Each greeting and its response carry when the
// sender last heard from others, directly or through a third entry, so an entry need not talk to all others. Which
// members are greeted is fixed by rank and not drawn anew each time: with a new draw, some entries were not greeted for
// seconds, and each greeting needed a new connection.

const (
	// greetingInterval is the interval at which an entry greets each of its neighbors.
	greetingInterval = time.Second
	// maxNeighbors is the number of members in the entry's own failure domain that it greets.
	maxNeighbors = 5
	// greetingStep is the interval at which greetings are sent. The neighbors are greeted one after the other, because
	// information that arrives between two steps is passed on with the next one.
	greetingStep = greetingInterval / maxNeighbors
	// remoteGreetingsPerDomain is the number of members in other failure domains that all entries of a domain together
	// greet per second. Each of these greetings covers all members of the domain. Traffic between failure domains is
	// charged.
	remoteGreetingsPerDomain = 12
	// minRemoteInterval is the minimum time between two greetings of an entry to other domains.
	minRemoteInterval = 500 * time.Millisecond
	// remoteNeighbors is the number of members of each other domain that an entry greets in turn.
	remoteNeighbors = 2
	// maxReportedAge is the time after which a member is no longer reported as heard.
	maxReportedAge = 10 * time.Second
	// neverHeard is the age in a DomainAges of a member that is not reported as heard.
	neverHeard = 1<<16 - 1
	// bytesPerAge is the size of one age in a DomainAges.
	bytesPerAge = 2
	// ageUnit is the unit of the ages in a DomainAges.
	ageUnit = 10 * time.Millisecond
)

// greetingPlan determines whom an entry greets.
type greetingPlan struct {
	// neighbors are the members of the own failure domain that are greeted in this round, one at each step.
	neighbors []string
	step      int
	// readers are the entries that follow the store, as of the beginning of this round or later. unreached is set if none is
	// taken to reach it, and probe if this entry is to probe it in this round.
	readers   []string
	unreached bool
	probe     bool
	// remoteAt is when the next member of another domain is due. remoteTurn counts those greeted before, from a random
	// number, because entries that start together would otherwise all greet the same domain.
	remoteAt   time.Time
	remoteTurn int
}

// maxFirstTurn bounds the first remoteTurn. It is a multiple of the usual numbers of domains.
const maxFirstTurn = 840

// roll is the list of the members of a failure domain, this entry included.
type roll struct {
	names []string
	// members are in the order of names. The element of this entry itself is nil.
	members []*member
	hash    uint64
}

// runGreetings exchanges greetings with the other members at intervals.
func (f *Follower) runGreetings() {
	ticks := f.opt.Timers.Every("greetings", greetingStep)
	defer ticks.Stop()
	for {
		due, newRound := f.dueGreetings()
		f.greetAll(due)
		if f.restarted.due(f.now()) {
			f.greetEveryone()
		}
		if newRound {
			f.cancelStaleWatches()
			f.publishIfReader()
			f.probeIfDue()
		}
		select {
		case <-ticks.C:
		case <-f.ctx.Done():
			return
		}
	}
}

// greetAll greets members in the background.
func (f *Follower) greetAll(members []peerAddress) {
	for _, to := range members {
		f.tasks.Go(func() { f.greetOnce(to) })
	}
}

// greetEveryone greets all members in the background.
func (f *Follower) greetEveryone() {
	f.mu.Lock()
	everyone := f.startGreetings(slices.Collect(maps.Keys(f.members)))
	f.mu.Unlock()
	f.greetAll(everyone)
}

// greetOnce greets a member that startGreetings has returned.
func (f *Follower) greetOnce(to peerAddress) {
	defer f.finishGreeting(to.name)
	ctx, cancel := context.WithTimeout(f.ctx, f.greetingTimeout(to.name))
	defer cancel()
	if f.follows(to.name) {
		answered := make(chan struct{})
		defer close(answered)
		f.tasks.Go(func() { f.hedgeReader(answered) })
	}
	if err := f.greet(ctx, to); err != nil {
		f.log.Debug("greeting a peer failed", zap.String("peer", to.name), zap.Error(err))
		f.abandonReader(to, err)
	}
}

func (f *Follower) finishGreeting(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.members[name]; m != nil {
		m.greetingPending = false
	}
}

// dueGreetings returns the members to greet at this step, which it marks as being greeted, and whether a round begins.
func (f *Follower) dueGreetings() (due []peerAddress, newRound bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	newRound = f.plan.step%maxNeighbors == 0
	var names []string
	if newRound {
		f.updateLosses(now)
		f.plan.neighbors = f.nearestMembers(now, f.self.Domain, maxNeighbors)
		candidates := f.readerCandidates(now)
		f.plan.readers = chooseReaders(candidates)
		f.plan.unreached = len(readingCandidates(candidates)) == 0
		f.plan.probe = f.probeDue(now, candidates)
		names = append(names, f.silentMember(now))
	}
	if i := f.plan.step % maxNeighbors; i < len(f.plan.neighbors) {
		names = append(names, f.plan.neighbors[i])
	}
	names = append(names, f.readersDue(now)...)
	f.plan.step++
	if !now.Before(f.plan.remoteAt) {
		names = append(names, f.nextRemote(now))
		f.plan.remoteAt = now.Add(f.remoteDelay(now))
	}
	if len(f.members) == 0 {
		return f.seedAddresses(), newRound
	}
	return f.startGreetings(names), newRound
}

// startGreetings marks members as being greeted and returns their addresses. It leaves out unknown members and those
// whose last greeting has not ended. The caller holds the lock.
func (f *Follower) startGreetings(names []string) []peerAddress {
	var list []peerAddress
	for _, name := range names {
		m := f.members[name]
		if m == nil || m.greetingPending {
			continue
		}
		m.greetingPending = true
		m.greetedAt = f.now()
		list = append(list, peerAddress{
			name:    name,
			control: m.record.Control,
		})
	}
	return list
}

// seedAddresses returns the addresses of the seeds, of which nothing else is known.
func (f *Follower) seedAddresses() []peerAddress {
	var list []peerAddress
	for _, control := range f.opt.Seeds {
		if control != f.opt.Control {
			list = append(list, peerAddress{
				control: control,
			})
		}
	}
	return list
}

// updateLosses logs which members are no longer heard and removes those that have been silent for memberExpiry. The
// caller holds the lock.
func (f *Follower) updateLosses(now time.Time) {
	for name, m := range f.members {
		silence := m.silence(now)
		if lost := silence > ownerTimeout; lost != m.reportedLost {
			m.reportedLost = lost
			if lost {
				f.log.Warn("a member is not heard any more", zap.String("peer", name), zap.Duration("silence", silence))
			} else {
				f.log.Info("a member is heard again", zap.String("peer", name))
			}
		}
		if silence > memberExpiry {
			delete(f.members, name)
			f.rolls = nil
		}
	}
}

// silence returns the time since the member was heard or, if it never was, became known.
func (m *member) silence(now time.Time) time.Duration {
	return now.Sub(laterTime(m.heardAt, m.addedAt))
}

// nearestMembers returns up to n members of a failure domain that are not silent, by rank. Ranks differ from entry to
// entry, so the members are the neighbors of about the same number of entries, and a loss changes the neighbors of few.
// The caller holds the lock.
func (f *Follower) nearestMembers(now time.Time, domain string, n int) []string {
	var names []string
	for name, m := range f.members {
		if m.record.Domain == domain && m.silence(now) <= ownerTimeout {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(f.members[a].greetingRank, f.members[b].greetingRank), strings.Compare(a, b))
	})
	return names[:min(n, len(names))]
}

// silentMember returns a silent member, so that members that were cut off from each other meet again, or "" if there is
// none. The caller holds the lock.
func (f *Follower) silentMember(now time.Time) string {
	var names []string
	for name, m := range f.members {
		if m.silence(now) > ownerTimeout {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	return names[f.random.IntN(len(names))]
}

// nextRemote returns the next member of another failure domain, or "" if there is none. Consecutive greetings go to
// different domains. The caller holds the lock.
func (f *Follower) nextRemote(now time.Time) string {
	domains := f.otherDomains()
	if len(domains) == 0 {
		return ""
	}
	turn := f.plan.remoteTurn
	f.plan.remoteTurn++
	names := f.nearestMembers(now, domains[turn%len(domains)], remoteNeighbors)
	if len(names) == 0 {
		return ""
	}
	return names[turn/len(domains)%len(names)]
}

// otherDomains returns the failure domains of other members, sorted. The caller holds the lock.
func (f *Follower) otherDomains() []string {
	var domains []string
	for domain := range f.currentRolls() {
		if domain != f.self.Domain {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// remoteDelay returns the time until the next greeting of this entry to another domain. The entries of a domain share
// remoteGreetingsPerDomain. Half of the delay is random, because entries that have started together would otherwise all
// greet at the same moment. The caller holds the lock.
func (f *Follower) remoteDelay(now time.Time) time.Duration {
	entries := 1
	for _, m := range f.members {
		if m.record.Domain == f.self.Domain && m.silence(now) <= ownerTimeout {
			entries++
		}
	}
	mean := max(time.Duration(entries)*time.Second/remoteGreetingsPerDomain, minRemoteInterval)
	return 3*mean/4 + time.Duration(f.random.Int64N(int64(mean/2)))
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *Follower) greet(ctx context.Context, to peerAddress) error {
	start := f.now()
	domain, rolls := f.domainAndRolls(to.name)
	reply, err := f.opt.Transport.Greet(ctx, to.control, f.newGreeting(domain, rolls))
	if err != nil {
		return err
	}
	f.applyGreeting(reply, start)
	if reply.Former {
		f.restarted.record(f.now())
	}
	return nil
}

// replyTo records a greeting and returns the response to it.
func (f *Follower) replyTo(g *Greeting) *Greeting {
	former := f.knowsFormer(g)
	f.applyGreeting(g, f.now())
	reply := f.newGreeting(g.Record.Domain, g.rolls())
	reply.Former = former
	return reply
}

// rolls returns the hashes of the sender's rolls by failure domain.
func (g *Greeting) rolls() map[string]uint64 {
	rolls := make(map[string]uint64, len(g.Ages))
	for domain, ages := range g.Ages {
		rolls[domain] = ages.Roll
	}
	return rolls
}

// domainAndRolls returns the failure domain of a member and the hashes of its rolls as of its last greeting. The domain
// is "" if the member is not known.
func (f *Follower) domainAndRolls(name string) (domain string, rolls map[string]uint64) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if m := f.members[name]; m != nil {
		return m.record.Domain, m.rolls
	}
	return "", nil
}

// newGreeting returns a greeting for a member in a failure domain, whose rolls have the given hashes. If that is another
// domain, the greeting covers only the members in this entry's domain, because traffic between domains is charged. Names
// are sent only where the rolls differ: they are most of the bytes and of the processor time of a greeting.
func (f *Follower) newGreeting(domain string, rolls map[string]uint64) *Greeting {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	g := &Greeting{
		Entry:    f.opt.Name,
		Record:   f.self,
		Tables:   map[string]uint64{},
		Heard:    map[string]int{},
		Ages:     map[string]DomainAges{},
		Lost:     f.recentStoreLosses(now),
		Answered: f.storeAnswerAge(now),
		Reached:  f.latestReached(now),
	}
	if f.leaving {
		g.Record.State = RecordStateLeaving
	}
	for name, table := range f.tables {
		g.Tables[name] = table.LatestVersion()
	}
	for d, r := range f.currentRolls() {
		if domain != f.self.Domain && d != f.self.Domain {
			continue
		}
		ages := DomainAges{
			Roll: r.hash,
		}
		if rolls[d] == r.hash {
			ages.Ages = r.ages(now)
		} else {
			r.addHeard(now, g.Heard)
		}
		g.Ages[d] = ages
	}
	return g
}

// currentRolls returns the rolls of all failure domains. The caller holds the lock.
func (f *Follower) currentRolls() map[string]*roll {
	if f.rolls != nil {
		return f.rolls
	}
	f.rolls = map[string]*roll{}
	add := func(domain, name string) {
		if f.rolls[domain] == nil {
			f.rolls[domain] = &roll{}
		}
		f.rolls[domain].names = append(f.rolls[domain].names, name)
	}
	add(f.self.Domain, f.opt.Name)
	for name, m := range f.members {
		add(m.record.Domain, name)
	}
	for _, r := range f.rolls {
		slices.Sort(r.names)
		r.hash = xxhash.Sum64String(strings.Join(r.names, "\x00"))
		for _, name := range r.names {
			r.members = append(r.members, f.members[name])
		}
	}
	return f.rolls
}

// age returns the time since the member was heard. ok is false if it is not to be reported as heard.
func (m *member) age(now time.Time) (age time.Duration, ok bool) {
	if m == nil || m.heardAt.IsZero() {
		return 0, false
	}
	age = now.Sub(m.heardAt)
	return age, age < maxReportedAge
}

// roundUp returns an age in units. Ages are rounded up: with rounding down, each entry that passes information on would
// make it look newer, and a lost member would count as heard for seconds longer.
func roundUp(age, unit time.Duration) int { return int((age + unit - 1) / unit) }

// ages returns the ages of the members in the order of their names.
func (r *roll) ages(now time.Time) []byte {
	data := make([]byte, 0, bytesPerAge*len(r.members))
	for _, m := range r.members {
		units := neverHeard
		if age, ok := m.age(now); ok {
			units = roundUp(age, ageUnit)
		}
		data = binary.BigEndian.AppendUint16(data, uint16(units))
	}
	return data
}

// addHeard adds the ages of the members by name, in units of silenceUnit.
func (r *roll) addHeard(now time.Time, heard map[string]int) {
	for i, m := range r.members {
		if age, ok := m.age(now); ok {
			heard[r.names[i]] = roundUp(age, silenceUnit)
		}
	}
}

// applyAges records what a peer with the same roll reports as of the given time.
func (r *roll) applyAges(data []byte, at time.Time) {
	for i, m := range r.members {
		units := binary.BigEndian.Uint16(data[bytesPerAge*i:])
		if m != nil && units != neverHeard {
			m.heardAt = laterTime(m.heardAt, at.Add(-time.Duration(units)*ageUnit))
		}
	}
}

// applyGreeting records what a peer reports about itself and others as of the given time.
func (f *Follower) applyGreeting(g *Greeting, at time.Time) {
	f.mu.Lock()
	m := f.members[g.Entry]
	if m == nil {
		m = f.insertMember(g.Entry, Record{}, at)
	}
	if m.record.Incarnation != g.Record.Incarnation || m.record.State != g.Record.State {
		f.log.Info("heard of a member", zap.String("peer", g.Entry), zap.String("state", string(g.Record.State)),
			zap.String("incarnation", g.Record.Incarnation))
	}
	if m.record.Domain != g.Record.Domain {
		f.rolls = nil
	}
	f.recordReader(m, g, at)
	m.record = g.Record
	f.recordAnswers(m, g, at)
	m.heardAt = laterTime(m.heardAt, at)
	m.rolls = g.rolls()
	rolls := f.currentRolls()
	for domain, ages := range g.Ages {
		if r := rolls[domain]; r != nil && r.hash == ages.Roll && len(ages.Ages) == bytesPerAge*len(r.members) {
			r.applyAges(ages.Ages, at)
		}
	}
	unknownMembers := false
	for name, tenths := range g.Heard {
		if name == f.opt.Name {
			continue
		}
		other := f.members[name]
		if other == nil {
			unknownMembers = true
			continue
		}
		other.heardAt = laterTime(other.heardAt, at.Add(-time.Duration(tenths)*silenceUnit))
	}
	control := m.record.Control
	fetch := unknownMembers && !f.fetchingMembers
	f.fetchingMembers = f.fetchingMembers || fetch
	f.mu.Unlock()
	if fetch {
		f.tasks.Go(func() { f.fetchMembers(control) })
	}
	for name, version := range g.Tables {
		if table := f.tables[name]; table != nil && version > table.LatestVersion() {
			f.tasks.Go(func() { f.fetchRows(table, control, version) })
		}
	}
}

// insertMember adds a member. The caller holds the lock.
func (f *Follower) insertMember(name string, record Record, now time.Time) *member {
	m := &member{
		record:       record,
		addedAt:      now,
		greetingRank: xxhash.Sum64String(f.opt.Name + "\x00" + name),
		readerRank:   readerRank(name),
	}
	f.members[name] = m
	f.rolls = nil
	return m
}

// newRandom returns the source of the random choices of an entry. A seed of 0 stands for a random one.
func newRandom(seed uint64, name string) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
}
