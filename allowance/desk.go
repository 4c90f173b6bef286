package allowance

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lostAfter is the silence after which another entry takes over from a lender.
	lostAfter = 3 * time.Second
	// leaseTime is the silence after which a member does not count for a lender's majority, and the time without a tick
	// after which a lender takes its process for paused. It is shorter than lostAfter, so that a lender that is cut off
	// stops before another one starts.
	leaseTime = 2 * time.Second
	// takeoverDelay is how long an entry is the first before it lends without having been given the bucket. Entries
	// learn of each other within that time.
	takeoverDelay = time.Second
	// forgetAfter is the silence after which an entry in contact with the store takes members for gone. Both sides of a
	// cut that leaves them in contact with the store would lend after that time, and after the loss of more than half
	// of the machines nobody lends before.
	forgetAfter = 20 * time.Second
	// aloneTime is how long an entry that has started waits for the others before it lends alone.
	aloneTime = 6 * time.Second
	// tellTime is how long asks name a process that has ended. By then all have missed it.
	tellTime = 6 * time.Second
	// lostTime is how long the word that a process has ended counts. Members that are silent for as long are forgotten. A
	// process that starts in its place has another incarnation.
	lostTime = time.Minute
)

// Member is an entry as the one that decides knows it.
type Member struct {
	Name        string
	Incarnation string
	// Active is set unless the entry is shutting down.
	Active bool
	// HeardAt is when the member was last heard, directly or through others.
	HeardAt time.Time
}

// View is what an entry knows of the fleet.
type View struct {
	// Self is the name of the entry.
	Self string
	// Members are all known entries, with this one.
	Members []Member
	// Contact is set if the entry hears from the store.
	Contact bool
	// Alone is set if the entry knows of no other one, but should.
	Alone bool
}

// Desk lends permits for the workspaces whose lender this entry is. It is not safe for concurrent use.
type Desk struct {
	startedAt time.Time
	tickedAt  time.Time
	view      View
	lost      map[string]lostProcess
	roles     map[string]*role
	// eligible are the sorted names of the entries that can lend, as of eligibleSince. lenders caches the results of Lender
	// for these. ticked is set once there are any.
	eligible      []string
	eligibleSince time.Time
	ticked        bool
	lenders       map[string]string
}

type lostProcess struct {
	incarnation string
	at          time.Time
}

// role is that of this entry for one workspace.
type role struct {
	// firstSince is when the entry became the first; zero if it is not.
	firstSince time.Time
	bucket     *bucket
}

// Transfer is a bucket that another entry is to take over.
type Transfer struct {
	To  string
	Ask Ask
}

// NewDesk returns the desk of an entry that has just started.
func NewDesk(now time.Time) *Desk {
	return &Desk{
		startedAt: now,
		tickedAt:  now,
		lost:      map[string]lostProcess{},
		roles:     map[string]*role{},
		lenders:   map[string]string{},
	}
}

// Tick takes over a view of the fleet and the sorted names of the workspaces with a rate. It returns the buckets that belong
// to other entries now.
func (d *Desk) Tick(now time.Time, view View, workspaces []string) []Transfer {
	d.dropIfPaused(now)
	d.tickedAt, d.view = now, view
	maps.DeleteFunc(d.lost, func(_ string, l lostProcess) bool { return now.Sub(l.at) > lostTime })
	d.updateEligible(now)
	mayLend := d.mayLend(now)
	for _, name := range workspaces {
		if d.roles[name] == nil && d.Lender(name) == view.Self && mayLend {
			// A workspace with a new limit has had no other lender since the entries changed.
			d.role(name).firstSince = d.eligibleSince
		}
		d.role(name)
	}
	var transfers []Transfer
	for _, name := range slices.Sorted(maps.Keys(d.roles)) {
		if !slices.Contains(workspaces, name) {
			delete(d.roles, name)
			continue
		}
		if transfer := d.updateRole(now, name, d.roles[name], mayLend); transfer != nil {
			transfers = append(transfers, *transfer)
		}
	}
	return transfers
}

// updateRole follows a change of the lender. It returns the bucket if another entry lends now.
func (d *Desk) updateRole(now time.Time, workspace string, r *role, mayLend bool) *Transfer {
	first := d.Lender(workspace)
	if !mayLend {
		// Another entry may lend on the other side of a cut.
		r.bucket, r.firstSince = nil, time.Time{}
		return nil
	}
	if first == d.view.Self {
		if r.firstSince.IsZero() {
			r.firstSince = now
		}
		return nil
	}
	r.firstSince = time.Time{}
	if r.bucket == nil || first == "" {
		return nil
	}
	r.bucket.update(now, r.bucket.limits)
	level := r.bucket.level
	r.bucket = nil
	return &Transfer{
		To: first,
		Ask: Ask{
			Workspace: workspace,
			Level:     &level,
		},
	}
}

// dropIfPaused forgets all buckets if the process has not run for so long that another entry may lend.
func (d *Desk) dropIfPaused(now time.Time) {
	if now.Sub(d.tickedAt) < leaseTime {
		return
	}
	for _, r := range d.roles {
		r.bucket, r.firstSince = nil, now
	}
	d.tickedAt = now
	// The members have to be heard anew.
	d.view.Members, d.eligible = nil, nil
	clear(d.lenders)
}

// RecordLost records that processes have ended.
func (d *Desk) RecordLost(now time.Time, incarnations map[string]string) {
	for name, incarnation := range incarnations {
		if name != d.view.Self && d.lost[name].incarnation != incarnation {
			d.lost[name] = lostProcess{
				incarnation: incarnation,
				at:          now,
			}
		}
	}
	if len(incarnations) > 0 {
		d.updateEligible(now)
	}
}

// Lost returns the processes that have ended so recently that others may still take them for the lender. Asks name them.
func (d *Desk) Lost(now time.Time) map[string]string {
	incarnations := map[string]string{}
	for name, l := range d.lost {
		if now.Sub(l.at) < tellTime {
			incarnations[name] = l.incarnation
		}
	}
	return incarnations
}

// HasEnded reports whether a process is known to have ended.
func (d *Desk) HasEnded(name, incarnation string) bool {
	l, ok := d.lost[name]
	return ok && l.incarnation == incarnation
}

// updateEligible finds the entries that can lend: those that are heard.
func (d *Desk) updateEligible(now time.Time) {
	var eligible []string
	stopped := map[string]bool{}
	for _, m := range d.view.Members {
		silent := m.Name != d.view.Self && now.Sub(m.HeardAt) >= lostAfter
		if m.Active && !silent && !d.hasEnded(m) {
			eligible = append(eligible, m.Name)
		}
		stopped[m.Name] = silent || d.hasEnded(m)
	}
	slices.Sort(eligible)
	if slices.Equal(eligible, d.eligible) {
		return
	}
	d.eligible, d.eligibleSince = eligible, now
	if !d.ticked {
		// What the entry knew before it was asked counts from its start.
		d.ticked, d.eligibleSince = true, d.startedAt
	}
	former := d.lenders
	d.lenders = map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(d.roles)) {
		if d.Lender(name) == d.view.Self && stopped[former[name]] && d.roles[name].firstSince.IsZero() {
			// The former lender has ended, or is silent for longer than its lease, so this entry need not wait for it.
			d.roles[name].firstSince = now.Add(-takeoverDelay)
		}
	}
}

// hasEnded reports whether the process of a member has ended. One that was heard since has started again: the incarnation
// of a member is only known from its own greetings, and most members are heard through others.
func (d *Desk) hasEnded(m Member) bool {
	return d.HasEnded(m.Name, m.Incarnation) && !m.HeardAt.After(d.lost[m.Name].at)
}

// Lender returns the entry that lends the permits of a workspace: the first by the hash of both names among the entries
// that are heard. It returns an empty name if none is known.
func (d *Desk) Lender(workspace string) string {
	if name, ok := d.lenders[workspace]; ok {
		return name
	}
	best, bestScore := "", uint64(0)
	for _, name := range d.eligible {
		if score := xxhash.Sum64String("lender\x00" + name + "\x00" + workspace); best == "" || score > bestScore {
			best, bestScore = name, score
		}
	}
	d.lenders[workspace] = best
	return best
}

// Lend answers an ask for permits. The loan says whether this entry lends at all.
func (d *Desk) Lend(now time.Time, limits Limits, ask Ask) Loan {
	d.dropIfPaused(now)
	d.RecordLost(now, ask.Lost)
	r := d.role(ask.Workspace)
	if !d.mayLend(now) || d.Lender(ask.Workspace) != d.view.Self {
		return Loan{}
	}
	if r.firstSince.IsZero() {
		r.firstSince = now
	}
	if r.bucket == nil {
		begin := r.firstSince.Add(takeoverDelay)
		if begin.After(now) {
			return Loan{}
		}
		r.bucket = newBucket(begin, limits, max(reservePart*limits.room(), 1))
	}
	return r.bucket.lend(now, limits, ask)
}

// KnowsFleet reports whether the entry has had the time to learn of all others. Only then it can tell its part of what all
// entries send without a lender: right after the start of a fleet each knew a few members, and their parts added up to
// several times the whole.
func (d *Desk) KnowsFleet(now time.Time) bool { return now.Sub(d.startedAt) >= leaseTime }

// Accept takes over a bucket from another entry.
func (d *Desk) Accept(now time.Time, limits Limits, workspace string, level float64) {
	r := d.role(workspace)
	if r.bucket == nil {
		r.bucket = newBucket(now, limits, 0)
	}
	r.bucket.update(now, limits)
	r.bucket.level = min(r.bucket.level+max(level, 0), limits.capacity())
}

// role returns the role for a workspace. One that Tick has not named yet is new.
func (d *Desk) role(workspace string) *role {
	r := d.roles[workspace]
	if r == nil {
		r = &role{}
		d.roles[workspace] = r
	}
	return r
}

// mayLend reports whether this entry is on the side of a cut that lends: the one with more than half of the entries, or
// with the first of them if both sides are equal. An entry in contact with the store leaves out members that have been
// silent for forgetAfter.
func (d *Desk) mayLend(now time.Time) bool {
	if d.view.Alone && now.Sub(d.startedAt) < aloneTime {
		return false
	}
	all, heard := 0, 0
	firstName, firstScore, firstHeard := "", uint64(0), false
	for _, m := range d.view.Members {
		silence := now.Sub(m.HeardAt)
		if m.Name == d.view.Self {
			silence = 0
		}
		if d.hasEnded(m) || !m.Active && silence >= leaseTime || d.view.Contact && silence >= forgetAfter {
			continue
		}
		all++
		if silence < leaseTime {
			heard++
		}
		if score := xxhash.Sum64String("side\x00" + m.Name); firstName == "" || score > firstScore {
			firstName, firstScore, firstHeard = m.Name, score, silence < leaseTime
		}
	}
	return 2*heard > all || 2*heard == all && firstHeard
}
