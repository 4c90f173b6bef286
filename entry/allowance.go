package entry

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	restful "github.com/emicklei/go-restful/v3"
	"go.uber.org/zap"

	"skylarkbeam/allowance"
	"skylarkbeam/fleet"
	"skylarkbeam/outcome"
	"skylarkbeam/setting"
	"skylarkbeam/workspace"
)

const (
	// allowancePath is the path at the control address at which entries ask for permits.
	allowancePath = "allowance"
	// askTimeout bounds one ask. A round trip takes 0.5 to 7 ms, but a small machine may not run for 100 ms.
	askTimeout = 250 * time.Millisecond
	// askRetryDelay is the time between two asks while no entry lends.
	askRetryDelay = 50 * time.Millisecond
	// lenderWait is how long a call waits while no entry lends, which happens when a lender is lost. It is as long as
	// calls wait for the first settings.
	lenderWait = time.Second
	// maxAsking bounds the calls of one workspace that wait for an answer at an entry.
	maxAsking = 512
	// maxAskBytes bounds the body of an ask.
	maxAskBytes = 64 << 10
	// allowanceInterval is the interval at which the desk learns of the fleet.
	allowanceInterval = 250 * time.Millisecond
	// silentProbeInterval is the minimum time between two connections to a member that is not heard.
	silentProbeInterval = time.Second
	// silentProbeDivisor makes these connections rarer the longer the member is silent.
	silentProbeDivisor = 5
	// contactAge is how long ago an entry in contact has last heard from the store or from an entry that reads it.
	contactAge = 2 * time.Second
)

// The defaults of the limits that the settings may leave out.
const (
	defaultPeriod    = 5 * time.Second
	defaultOvershoot = 0.1
	defaultSpare     = 20
)

// allowances asks for the permits of the workspaces, and lends those of which this entry is the lender.
type allowances struct {
	mu      sync.Mutex
	desk    *allowance.Desk
	wallets map[string]*wallet
	// members are those of the last tick, by name.
	members map[string]fleet.Member
	// probedAt is when members that were not heard were last probed. Only the tick uses it.
	probedAt map[string]time.Time
}

// wallet is the wallet of a workspace with the calls that wait for an ask.
type wallet struct {
	allowance.Wallet
	asking  bool
	waiting []*permitWait
}

// permitWait is a call that waits for a permit. Its fields are set before done is closed.
type permitWait struct {
	done    chan struct{}
	until   time.Time
	settled bool
	refusal *Refusal
	expires time.Time
	// patient is set if no entry lent when the call came. It then waits on if the new lender has too few permits.
	patient bool
}

func newAllowances(now time.Time) *allowances {
	return &allowances{
		desk:     allowance.NewDesk(now),
		wallets:  map[string]*wallet{},
		members:  map[string]fleet.Member{},
		probedAt: map[string]time.Time{},
	}
}

// allowanceLimits returns the limits of a workspace. ok is false if it has none.
func allowanceLimits(settings *setting.Settings, w *workspace.Workspace) (limits allowance.Limits, ok bool) {
	if w == nil || w.Rate <= 0 {
		return allowance.Limits{}, false
	}
	limits = allowance.Limits{
		Rate:      w.Rate,
		Burst:     w.Burst,
		Window:    defaultPeriod,
		Overshoot: defaultOvershoot,
		Slack:     defaultSpare,
	}
	if p := settings.Limits.Period; p != nil {
		limits.Window = time.Duration(*p)
	}
	if o := settings.Limits.Overshoot; o != nil {
		limits.Overshoot = *o
	}
	if s := settings.Limits.Spare; s != nil {
		limits.Slack = *s
	}
	return limits, true
}

// takePermit takes a permit for a call, and asks the lender if there is none.
func (e *Entry) takePermit(ctx context.Context, c *call) *Refusal {
	if c.relayed {
		return nil
	}
	w := c.identity.workspace
	if _, ok := allowanceLimits(c.snapshot.settings, w); !ok {
		return nil
	}
	expires, refusal := e.awaitPermit(ctx, c.deadline, w.Name)
	if refusal == nil {
		c.permitOf, c.permitExpires = w.Name, expires
	}
	return refusal
}

// awaitPermit takes a permit of a workspace and returns the time until which it can be used.
func (e *Entry) awaitPermit(ctx context.Context, deadline time.Time, name string) (expires time.Time, refusal *Refusal) {
	now := e.timers.Now()
	a := e.allowances
	a.mu.Lock()
	w := a.wallet(name)
	if expires, ok := w.Take(now); ok {
		a.mu.Unlock()
		return expires, nil
	}
	if retry, ok := w.Refusal(now, rand.Float64()); ok {
		a.mu.Unlock()
		return time.Time{}, allowanceRefusal(retry)
	}
	if len(w.waiting) >= maxAsking {
		a.mu.Unlock()
		return time.Time{}, notRunRefusal(outcome.NoLender, defaultRetryAfter, "too many requests wait for the allowance of the workspace")
	}
	p := &permitWait{
		done:  make(chan struct{}),
		until: now.Add(min(lenderWait, deadline.Sub(now)/2)),
	}
	w.waiting = append(w.waiting, p)
	if !w.asking {
		w.asking = true
		e.tasks.Go(func() { e.askForWaiting(name, w) })
	}
	a.mu.Unlock()
	select {
	case <-p.done:
		return p.expires, p.refusal
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.settled && p.refusal == nil {
		w.Return(e.timers.Now(), p.expires)
	}
	p.settled = true
	return time.Time{}, notRunRefusal(outcome.Canceled, 0, "the caller went away")
}

func allowanceRefusal(retry time.Duration) *Refusal {
	return notRunRefusal(outcome.Allowance, retry, "the workspace has used its allowance")
}

// returnPermit gives back the permit of a call that has not run.
func (e *Entry) returnPermit(c *call) {
	if c == nil || c.permitOf == "" {
		return
	}
	a := e.allowances
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wallet(c.permitOf).Return(e.timers.Now(), c.permitExpires)
	c.permitOf = ""
	e.metrics.permitsReturned.Inc()
}

// wallet returns the wallet of a workspace. The caller holds the lock.
func (a *allowances) wallet(name string) *wallet {
	w := a.wallets[name]
	if w == nil {
		w = &wallet{}
		a.wallets[name] = w
	}
	return w
}

// settle ends the wait of a call. The caller holds the lock. It returns false if the call has gone.
func (p *permitWait) settle(refusal *Refusal) bool {
	if p.settled {
		return false
	}
	p.settled, p.refusal = true, refusal
	close(p.done)
	return true
}

// askForWaiting asks for the calls that wait until none is left.
func (e *Entry) askForWaiting(name string, w *wallet) {
	a := e.allowances
	for {
		a.mu.Lock()
		waiting := slices.DeleteFunc(w.waiting, func(p *permitWait) bool { return p.settled })
		w.waiting = nil
		if len(waiting) == 0 {
			w.asking = false
			a.mu.Unlock()
			return
		}
		askedAt := e.timers.Now()
		limits, _ := e.limitsOf(name)
		ask := w.Ask(askedAt, limits, name, len(waiting))
		a.mu.Unlock()
		loan := e.ask(name, ask)
		if e.distribute(name, w, waiting, askedAt, loan) {
			continue
		}
		pause := time.NewTimer(askRetryDelay)
		select {
		case <-pause.C:
		case <-e.done:
			pause.Stop()
		}
	}
}

// distribute gives the permits of a loan to the calls that wait, in their order. It returns false if calls wait on because
// no entry lends.
func (e *Entry) distribute(name string, w *wallet, waiting []*permitWait, askedAt time.Time, loan allowance.Loan) bool {
	limits, limited := e.limitsOf(name)
	now := e.timers.Now()
	a := e.allowances
	a.mu.Lock()
	defer a.mu.Unlock()
	left := loan.Permits
	if !loan.Lends {
		entries, divided := len(a.members), a.desk.KnowsFleet(now)
		for i, p := range waiting {
			switch {
			case p.settled:
			case !limited:
				// The limit was removed meanwhile.
				p.settle(nil)
			case divided && w.TakeContactless(now, limits, entries):
				e.metrics.contactlessPermits.Inc()
				p.settle(nil)
			case !now.Before(p.until) || e.closed():
				p.settle(notRunRefusal(outcome.NoLender, defaultRetryAfter, "the allowance of the workspace cannot be asked for"))
			default:
				for _, p := range waiting[i:] {
					p.patient = true
				}
				w.waiting = append(slices.Clone(waiting[i:]), w.waiting...)
				return false
			}
		}
		return true
	}
	var refused, patient []*permitWait
	for _, p := range waiting {
		p.expires = askedAt.Add(limits.Expiry())
		switch {
		case left > 0 && p.settle(nil):
			left--
		case p.settled:
		case p.patient && now.Before(p.until):
			patient = append(patient, p)
		default:
			refused = append(refused, p)
		}
	}
	w.Receive(now, askedAt, limits, loan, left)
	for i, p := range refused {
		retry, _ := w.Refusal(now, (float64(i)+rand.Float64())/float64(len(refused)))
		p.settle(allowanceRefusal(retry))
	}
	w.waiting = append(patient, w.waiting...)
	return len(patient) == 0
}

// limitsOf returns the limits of a workspace that are in force. ok is false if it has none.
func (e *Entry) limitsOf(name string) (limits allowance.Limits, ok bool) {
	snap := e.snapshot.Load()
	if snap.workspaces == nil {
		return allowance.Limits{}, false
	}
	return allowanceLimits(snap.settings, snap.workspaces.Named(name))
}

func (e *Entry) closed() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// ask asks the lender of a workspace. If that entry has ended, it asks the next one.
func (e *Entry) ask(name string, ask allowance.Ask) allowance.Loan {
	a := e.allowances
	for range 3 {
		a.mu.Lock()
		lender := a.desk.Lender(name)
		member, known := a.members[lender]
		ask.Lost = a.desk.Lost(e.timers.Now())
		a.mu.Unlock()
		if lender == e.opts.Name {
			return e.lend(ask)
		}
		if !known {
			return allowance.Loan{}
		}
		var loan allowance.Loan
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		err := e.peers.Post(ctx, member.Control, controlPath+allowancePath, ask, &loan)
		cancel()
		e.metrics.asks.Inc()
		if err == nil {
			return loan
		}
		e.metrics.failedAsks.Inc()
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return allowance.Loan{}
		}
		// Nothing listens at the address, so the process has ended.
		a.mu.Lock()
		a.desk.RecordLost(e.timers.Now(), map[string]string{lender: member.Incarnation})
		a.mu.Unlock()
	}
	return allowance.Loan{}
}

// lend answers an ask of this or of another entry.
func (e *Entry) lend(ask allowance.Ask) allowance.Loan {
	limits, ok := e.limitsOf(ask.Workspace)
	if !ok {
		return allowance.Loan{}
	}
	now := e.timers.Now()
	a := e.allowances
	a.mu.Lock()
	defer a.mu.Unlock()
	if ask.Level != nil {
		a.desk.Accept(now, limits, ask.Workspace, *ask.Level)
		return allowance.Loan{}
	}
	loan := a.desk.Lend(now, limits, ask)
	e.metrics.lent.Add(loan.Permits)
	return loan
}

// serveAllowance answers an ask of another entry.
func (e *Entry) serveAllowance(req *restful.Request, resp *restful.Response) {
	var ask allowance.Ask
	data, err := io.ReadAll(io.LimitReader(req.Request.Body, maxAskBytes))
	if err == nil {
		err = json.Unmarshal(data, &ask)
	}
	if err != nil {
		http.Error(resp, "malformed ask", http.StatusBadRequest)
		return
	}
	// A third of a message would be headers that entries do not need.
	resp.Header()["Date"] = nil
	writeJSON(resp, e.lend(ask))
}

// updateAllowances tells the desk of the fleet, and passes on the buckets of which this entry is no longer the lender.
func (e *Entry) updateAllowances() {
	snap := e.snapshot.Load()
	if snap.workspaces == nil || len(snap.limitedWorkspaces) == 0 {
		return
	}
	now := e.timers.Now()
	members := e.fleet.Members()
	view := allowance.View{
		Self:    e.opts.Name,
		Contact: now.Sub(e.fleet.ContactAt()) < contactAge,
		Alone:   len(members) == 1 && len(e.opts.Seeds) > 0,
	}
	byName := make(map[string]fleet.Member, len(members))
	silent := false
	for _, m := range members {
		byName[m.Name] = m
		silent = silent || now.Sub(m.LastHeard) > contactAge
		view.Members = append(view.Members, allowance.Member{
			Name:        m.Name,
			Incarnation: m.Incarnation,
			Active:      m.State == fleet.RecordStateActive,
			HeardAt:     m.LastHeard,
		})
	}
	a := e.allowances
	e.probeSilent(now, members)
	a.mu.Lock()
	a.members = byName
	transfers := a.desk.Tick(now, view, snap.limitedWorkspaces)
	maps.DeleteFunc(a.wallets, func(name string, w *wallet) bool {
		return !w.asking && snap.workspaces.Named(name) == nil
	})
	a.mu.Unlock()
	if silent && !view.Contact {
		// Only then contact decides whether this entry may lend.
		if err := e.fleet.RefreshContact(); err != nil {
			e.metrics.contactFailures.Inc()
		}
	}
	for _, t := range transfers {
		// A lender that does not tick for leaseTime takes its process for paused, so it does not wait for the answers.
		e.tasks.Go(func() { e.transferBucket(t, byName[t.To]) })
	}
}

// probeSilent finds out which of the members that are not heard have ended: nothing listens at their address. Others may be
// cut off, and their side of the cut may lend.
func (e *Entry) probeSilent(now time.Time, members []fleet.Member) {
	a := e.allowances
	for _, m := range members {
		silence := now.Sub(m.LastHeard)
		interval := max(silentProbeInterval, silence/silentProbeDivisor)
		if m.State != fleet.RecordStateActive || silence < contactAge || now.Sub(a.probedAt[m.Name]) < interval {
			continue
		}
		a.mu.Lock()
		ended := a.desk.HasEnded(m.Name, m.Incarnation)
		a.mu.Unlock()
		if ended {
			continue
		}
		a.probedAt[m.Name] = now
		e.tasks.Go(func() {
			conn, err := net.DialTimeout("tcp", m.Control.String(), askTimeout)
			if err == nil {
				_ = conn.Close() // Nothing was written.
				return
			}
			if errors.Is(err, syscall.ECONNREFUSED) {
				a.mu.Lock()
				defer a.mu.Unlock()
				a.desk.RecordLost(e.timers.Now(), map[string]string{m.Name: m.Incarnation})
			}
		})
	}
}

func (e *Entry) transferBucket(t allowance.Transfer, to fleet.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var loan allowance.Loan
	if err := e.peers.Post(ctx, to.Control, controlPath+allowancePath, t.Ask, &loan); err != nil {
		e.metrics.failedAsks.Inc()
		e.log.Info("the bucket of a workspace could not be passed on, the new lender starts with an empty one",
			zap.String("workspace", t.Ask.Workspace), zap.String("lender", t.To), zap.Error(err))
	}
}
