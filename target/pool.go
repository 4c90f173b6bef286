// Package target sends calls to one target and settles what became of each of them.
//
// A Pool keeps connections to one target and sends one call at a time on each. It is written over
// http.Request.Write and http.ReadResponse instead of http.Transport, because http.Transport sends some requests again
// by itself: a POST with an Idempotency-Key header whose body can be replayed reaches the target twice when a reused
// connection breaks.
//
// The outcome of a call follows from the bytes on its connection:
//
//   - No byte of the request was written, or the target refused with "not-run" and the id of this attempt: NotRun.
//   - Any byte was written and no complete head with the id of this attempt came back: Unknown.
//   - A complete head with the id of this attempt and a body of known extent: Answered. The body is streamed; if it ends
//     early, reading it fails with ErrTruncated.
//
// A connection whose request was given up, or whose answer was not read to its end, is closed and never reused, so a
// late answer cannot reach another call.
//
// # Usage
//
//	pool := target.New(target.Options{
//		Name:        "worker-1",
//		Address:     netip.MustParseAddrPort("10.0.0.7:8080"),
//		Connections: 200,
//		Probes:      budget,
//		Timers:      timers,
//	})
//	defer pool.Close()
//	switch o := pool.Send(ctx, call).(type) {
//	case *outcome.Answered:
//		defer o.Body.Close()
//		_, err := io.Copy(w, o.Body)
//	case *outcome.NotRun:
//	case *outcome.Unknown:
//	}
//
// A Budget belongs to a target and outlives its pools: pass the same one when a pool is replaced.
package target

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"skylarkbeam/outcome"
)

// Pool is a pool of connections to one target. It is safe for concurrent use.
type Pool struct {
	opts   Options
	done   chan struct{}
	ctx    context.Context // ends load reads when the pool is closed
	cancel context.CancelFunc

	mu     sync.Mutex
	idle   []*conn // in order of their last answer, the most recent one at the end
	open   int     // connections that exist, idle or not, and dials in progress
	closed bool

	report  outcome.Report // the last one learned
	learned time.Time      // when report was learned
	asked   time.Time      // when the latest request was written that was answered by the instance of report
	checks  int            // connection checks in progress
	waiting int            // calls that wait for news
	news    chan struct{}  // closed by the next report or released connection; nil if nobody waits for it

	// off switches single mechanisms off, so that tests can show the fault that each of them prevents.
	off struct {
		match    bool // accept answers with any request id
		extent   bool // accept answers without a known length
		alive    bool // do not look for closed idle connections
		recent   bool // send non-idempotent calls on connections of any age
		silence  bool // no first-byte timeout
		check    bool // no check of new connections
		evidence bool // only a check of its own confirms a new connection
		giveUp   bool // reuse connections whose request was given up
		ready    bool // ask only when the call comes in whether it may be written
		unknown  bool // forget that an earlier attempt within Send may have run
	}
}

// New returns a pool without connections.
func New(opts Options) *Pool {
	opts.SetDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		opts:   opts,
		done:   make(chan struct{}),
		ctx:    ctx,
		cancel: cancel,
	}
}

// Name returns the name of the target.
func (p *Pool) Name() string { return p.opts.Name }

// LastReport returns the last report learned about the target and when that was; the zero time if there is none.
func (p *Pool) LastReport() (outcome.Report, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.report, p.learned
}

// OpenConnections returns the number of connections, dials in progress included.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close refuses further calls with reason leaving, ends load reads and closes idle connections. Calls in flight run to
// their end.
func (p *Pool) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	idle := p.idle
	p.idle = nil
	if p.open == 0 {
		close(p.done)
	}
	p.mu.Unlock()
	p.cancel()
	p.drop(idle...)
}

// Done is closed after Close, when the last connection is closed.
func (p *Pool) Done() <-chan struct{} { return p.done }

// CloseIdle closes idle connections that have not been used for a while. It is meant to be called every few seconds.
func (p *Pool) CloseIdle() {
	p.dropBefore(p.opts.Timers.Now().Add(-idleLimit))
}

// reuse returns an idle connection that may carry call, or nil if there is none. It closes the idle connections that it
// finds unfit.
func (p *Pool) reuse(call *Call, now time.Time) *conn {
	for {
		c, unfit := p.pop(call, now)
		p.drop(unfit...)
		if c == nil {
			return nil
		}
		if p.off.alive || c.alive() {
			return c
		}
		p.drop(c)
	}
}

// pop takes an idle connection off the list, if possible one that is known to lead to the expected instance, else one of
// which the instance is not known.
func (p *Pool) pop(call *Call, now time.Time) (c *conn, unfit []*conn) {
	limit := idleLimit
	if !call.Idempotent && !p.off.recent {
		limit = recent
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	spare := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if now.Sub(c.answered) > c.keep(limit) {
			// All others answered even longer ago.
			unfit = append(unfit, p.idle[:i+1]...)
			p.idle = slices.Delete(p.idle, 0, i+1)
			spare -= i + 1
			break
		}
		if call.Instance == "" || p.leads(c, call.Instance) || p.unchecked() {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, unfit
		}
		if c.instance == "" {
			if p.evident(c) && p.report.Instance == call.Instance {
				c.instance = call.Instance
				p.idle = slices.Delete(p.idle, i, i+1)
				return c, unfit
			}
			spare = max(spare, i)
			continue
		}
		unfit = append(unfit, c)
		p.idle = slices.Delete(p.idle, i, i+1)
		spare--
	}
	if spare < 0 {
		return nil, unfit
	}
	c = p.idle[spare]
	p.idle = slices.Delete(p.idle, spare, spare+1)
	return c, unfit
}

// unchecked tells whether connections carry calls with an expected instance without a check.
func (p *Pool) unchecked() bool {
	return p.opts.traits.VerifiesInstance || p.off.check
}

// leads tells whether c leads to the instance. A target that restarts in place may keep its connections, so the last
// report counts too. The caller holds the lock.
func (p *Pool) leads(c *conn, instance string) bool {
	return c.instance == instance && p.report.Instance == instance
}

// evident tells whether c leads to the instance that last reported: c was open before a request was written that this
// instance answered, so the process that accepted c was not a later one. If it was an earlier one, c is dead. The caller
// holds the lock.
func (p *Pool) evident(c *conn) bool {
	return p.report.Instance != "" && !p.asked.Before(c.dialed) && !p.off.evidence
}

// dropBefore closes the idle connections whose last answer came before the given time. The list has the oldest answers
// first.
func (p *Pool) dropBefore(limit time.Time) {
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && p.idle[n].answered.Before(limit) {
		n++
	}
	old := append([]*conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.mu.Unlock()
	p.drop(old...)
}

// dropOldest closes the idle connection that has been idle longest.
func (p *Pool) dropOldest() {
	p.mu.Lock()
	if len(p.idle) == 0 {
		p.mu.Unlock()
		return
	}
	c := p.idle[0]
	p.idle = append(p.idle[:0], p.idle[1:]...)
	p.mu.Unlock()
	p.drop(c)
}

// reserve makes room for one more connection. The reason is empty if there is room.
func (p *Pool) reserve() outcome.Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return outcome.Leaving
	}
	if p.open >= p.opts.MaxConnections {
		return outcome.QueueFull
	}
	p.open++
	return ""
}

// dial opens a connection in reserved room.
func (p *Pool) dial(ctx context.Context, deadline time.Time) (*conn, error) {
	limit := p.opts.Timers.Now().Add(p.opts.DialTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	nc, err := p.opts.Dial(ctx, p.opts.Address)
	if err != nil {
		p.unreserve(1)
		return nil, err
	}
	c := newConn(nc, p.opts.Timers)
	c.dialed = p.opts.Timers.Now()
	return c, nil
}

// release returns a connection whose last answer was read to its end, or one that is new.
func (p *Pool) release(c *conn) {
	c.answered = p.opts.Timers.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.drop(c)
		return
	}
	p.idle = append(p.idle, c)
	if c.instance != "" {
		p.notify()
	}
	p.mu.Unlock()
}

// notify wakes the calls that wait for news. The caller holds the lock.
func (p *Pool) notify() {
	if p.news != nil {
		close(p.news)
		p.news = nil
	}
}

// drop closes connections that are not in the idle list.
func (p *Pool) drop(conns ...*conn) {
	if len(conns) == 0 {
		return
	}
	for _, c := range conns {
		_ = c.nc.Close()
	}
	p.unreserve(len(conns))
}

func (p *Pool) unreserve(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open -= n
	if p.open < 0 {
		panic("target: more connections closed than opened")
	}
	if p.closed && p.open == 0 {
		close(p.done)
	}
}

// learn takes note of a report that answered a request written at the given time.
func (p *Pool) learn(r outcome.Report, sent time.Time) {
	if r.Instance == "" {
		return
	}
	p.mu.Lock()
	if r.Instance != p.report.Instance && p.report.Instance != "" && !sent.After(p.learned) {
		// An answer of the former instance that arrives after the first one of the new instance.
		p.mu.Unlock()
		return
	}
	if r.Instance != p.report.Instance || sent.After(p.asked) {
		p.asked = sent
	}
	p.report = r
	p.learned = p.opts.Timers.Now()
	p.notify()
	p.mu.Unlock()
	p.opts.OnReport(r)
}

// replaced tells whether the target is known, from a report of the last second, to be another instance.
func (p *Pool) replaced(instance string, now time.Time) (outcome.Report, bool) {
	if instance == "" || p.unchecked() {
		return outcome.Report{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.report.Instance != "" && now.Sub(p.learned) <= recent
	return p.report, known && p.report.Instance != instance
}

var (
	attempts      atomic.Uint64
	attemptPrefix = func() string {
		var b [6]byte
		_, _ = rand.Read(b[:])
		return hex.EncodeToString(b[:]) + "-"
	}()
)

// attemptID returns an id that no other attempt of any process has.
func attemptID() string {
	var b [32]byte
	return string(strconv.AppendUint(append(b[:0], attemptPrefix...), attempts.Add(1), 36))
}
