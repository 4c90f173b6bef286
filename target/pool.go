// Package target sends calls to one target and determines the outcome of each call.
//
// A Pool keeps connections to one target and sends one call at a time on each. It uses http.Request.Write and
// http.ReadResponse instead of http.Transport, because http.Transport retries some requests by itself: a POST with an
// Idempotency-Key header and a replayable body reaches the target twice if a reused connection breaks.
//
// The outcome of a call follows from the bytes on its connection:
//
//   - NotRun: no byte of the request was written, or the target refused with "not-run" and the ID of this attempt.
//   - Unknown: at least one byte was written and no complete head with the ID of this attempt came back.
//   - Answered: a complete head with the ID of this attempt came back, with a body of known extent. The body is streamed;
//     if it ends early, reading it fails with ErrTruncated.
//
// A connection is closed and never reused if its request was given up or its response was not read to the end. A late
// response therefore cannot reach another call.
//
// # Usage
//
//	pool := target.New(target.Options{
//		Name:           "worker-1",
//		Address:        netip.MustParseAddrPort("10.0.0.7:8080"),
//		MaxConnections: 200,
//		ProbeBudget:    budget,
//		Timers:         timers,
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
// A ProbeBudget belongs to a target and outlives its pools: pass the same one when a pool is replaced.
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
	ctx    context.Context // canceled by Close to end load reads
	cancel context.CancelFunc

	mu   sync.Mutex
	idle []*conn // ordered by last response, most recent last
	open int     // open connections, idle or not, and dials in progress
	// maxConnections is the maximum of open.
	maxConnections int
	closed         bool

	report          outcome.Report // the last report
	reportedAt      time.Time      // when report arrived
	latestRequestAt time.Time      // when the latest request answered by the instance of report was written
	checks          int            // connection checks in progress
	waiters         int            // calls that wait on changed
	changed         chan struct{}  // closed by the next report or released connection; nil if no call waits

	// disabled turns off single mechanisms, so that tests can show which failure each of them prevents.
	disabled struct {
		refusedCheck        bool // send a call again on a connection on which it was refused
		requestIDMatch      bool // accept responses with any request ID
		knownLength         bool // accept responses of unknown length
		writeFailure        bool // accept responses of unknown length after a failed write
		closedConnCheck     bool // do not detect closed idle connections
		freshnessCheck      bool // send non-idempotent calls on connections of any age
		firstByteTimeout    bool // wait for the first byte until the deadline
		maxReportAge        bool // send calls however old the last report is
		instanceCheck       bool // do not check the instance of new connections
		passiveConfirmation bool // confirm a new connection only by its own load read
		closeOnTimeout      bool // reuse connections whose request timed out
		beforeWrite         bool // call Call.BeforeWrite only when the call starts
		unknownOutcome      bool // forget that an earlier attempt within Send may have been executed
	}
}

// New returns a pool without connections.
func New(opts Options) *Pool {
	opts.SetDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		opts:           opts,
		maxConnections: opts.MaxConnections,
		done:           make(chan struct{}),
		ctx:            ctx,
		cancel:         cancel,
	}
	opts.Sockets.add(p)
	return p
}

// Name returns the name of the target.
func (p *Pool) Name() string { return p.opts.Name }

// LastReport returns the last report of the target and the time at which it arrived, which is zero if there is none.
func (p *Pool) LastReport() (outcome.Report, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.report, p.reportedAt
}

// OpenConnections returns the number of open connections, including dials in progress.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// SetMaxConnections changes the maximum number of open connections. Open ones above it are closed after their calls.
func (p *Pool) SetMaxConnections(n int) {
	p.mu.Lock()
	p.maxConnections = n
	p.mu.Unlock()
}

// Close refuses further calls with reason leaving, cancels load reads and closes idle connections. Calls in flight
// continue to their end.
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
	p.opts.Sockets.remove(p)
	p.cancel()
	p.closeConns(idle...)
}

// Done returns a channel that is closed when Close has been called and the last connection is closed.
func (p *Pool) Done() <-chan struct{} { return p.done }

// CloseIdle closes connections that have been idle for too long. It should be called every few seconds.
func (p *Pool) CloseIdle() {
	p.closeIdleBefore(p.opts.Timers.Now().Add(-maxIdleTime))
}

// takeIdle returns an idle connection that may carry call, or nil if there is none. It closes unusable idle connections
// that it finds.
func (p *Pool) takeIdle(call *Call, now time.Time) *conn {
	for {
		c, unusable := p.popIdle(call, now)
		p.closeConns(unusable...)
		if c == nil {
			return nil
		}
		if p.disabled.closedConnCheck || c.alive() {
			return c
		}
		p.closeConns(c)
	}
}

// popIdle removes an idle connection from the list and returns it. It prefers a connection known to lead to the
// expected instance over one whose instance is unknown, and leaves those on which the call was refused. Unusable holds the
// connections to close.
func (p *Pool) popIdle(call *Call, now time.Time) (c *conn, unusable []*conn) {
	limit := maxIdleTime
	if !call.Idempotent && !p.disabled.freshnessCheck {
		limit = freshnessLimit
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	fallback, refused := -1, -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if now.Sub(c.respondedAt) > c.maxIdle(limit) {
			// The connections before it have been idle even longer.
			unusable = append(unusable, p.idle[:i+1]...)
			p.idle = slices.Delete(p.idle, 0, i+1)
			fallback -= i + 1
			refused -= i + 1
			break
		}
		if p.refusedOn(c, call) {
			refused = i
			continue
		}
		if call.Instance == "" || p.leadsTo(c, call.Instance) || p.skipsInstanceCheck() {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, unusable
		}
		if c.instance == "" {
			if p.confirmedByReport(c) && p.report.Instance == call.Instance {
				c.instance = call.Instance
				p.idle = slices.Delete(p.idle, i, i+1)
				return c, unusable
			}
			fallback = max(fallback, i)
			continue
		}
		unusable = append(unusable, c)
		p.idle = slices.Delete(p.idle, i, i+1)
		fallback--
		refused--
	}
	if fallback < 0 {
		if refused >= 0 && p.open-len(unusable) >= p.maxConnections {
			// The call needs a new connection in its place.
			unusable = append(unusable, p.idle[refused])
			p.idle = slices.Delete(p.idle, refused, refused+1)
		}
		return nil, unusable
	}
	c = p.idle[fallback]
	p.idle = slices.Delete(p.idle, fallback, fallback+1)
	return c, unusable
}

// refusedOn reports whether call was refused on c, so that another connection has to carry it.
func (p *Pool) refusedOn(c *conn, call *Call) bool {
	return c.refusedCall(call.ID) && !p.disabled.refusedCheck
}

// skipsInstanceCheck reports whether calls with an expected instance may use unchecked connections.
func (p *Pool) skipsInstanceCheck() bool {
	return p.opts.capabilities.VerifiesInstance || p.disabled.instanceCheck
}

// leadsTo reports whether c leads to the given instance. The last report must agree, because a target that restarts in
// place may keep its connections. The caller must hold p.mu.
func (p *Pool) leadsTo(c *conn, instance string) bool {
	return c.instance == instance && p.report.Instance == instance
}

// confirmedByReport reports whether c leads to the instance of the last report. This is the case if c was open before a
// request was written that this instance answered: c was then accepted by this instance or by an earlier one, and a
// connection to an earlier one is dead. The caller must hold p.mu.
func (p *Pool) confirmedByReport(c *conn) bool {
	return p.report.Instance != "" && !p.latestRequestAt.Before(c.dialedAt) && !p.disabled.passiveConfirmation
}

// closeIdleBefore closes the idle connections whose last response ended before t.
func (p *Pool) closeIdleBefore(t time.Time) {
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && p.idle[n].respondedAt.Before(t) {
		n++
	}
	expired := append([]*conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.mu.Unlock()
	p.closeConns(expired...)
}

// closeOldestIdle closes the connection that has been idle longest.
func (p *Pool) closeOldestIdle() {
	p.mu.Lock()
	if len(p.idle) == 0 {
		p.mu.Unlock()
		return
	}
	c := p.idle[0]
	p.idle = append(p.idle[:0], p.idle[1:]...)
	p.mu.Unlock()
	p.closeConns(c)
}

// reserveSlot reserves a slot for one more connection. It returns an empty reason on success.
func (p *Pool) reserveSlot() outcome.Reason {
	if reason := p.reserveOwnSlot(); reason != "" {
		return reason
	}
	if !p.opts.Sockets.take() {
		p.releaseOwnSlots(1)
		return outcome.QueueFull
	}
	return ""
}

func (p *Pool) reserveOwnSlot() outcome.Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return outcome.Leaving
	}
	if p.open >= p.maxConnections {
		return outcome.QueueFull
	}
	p.open++
	return ""
}

// dial opens a connection in a reserved slot. It releases the slot on failure.
func (p *Pool) dial(ctx context.Context, deadline time.Time) (*conn, error) {
	limit := p.opts.Timers.Now().Add(p.opts.DialTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	nc, err := p.opts.Dial(ctx, p.opts.Address)
	if err != nil {
		p.releaseSlots(1)
		return nil, err
	}
	c := newConn(nc, p.opts.Timers)
	c.dialedAt = p.opts.Timers.Now()
	return c, nil
}

// release puts a connection on the idle list. The connection must be new, or its last response read to the end.
func (p *Pool) release(c *conn) {
	c.respondedAt = p.opts.Timers.Now()
	c.receiver.Shrink()
	p.mu.Lock()
	if p.closed || p.open > p.maxConnections {
		p.mu.Unlock()
		p.closeConns(c)
		return
	}
	p.idle = append(p.idle, c)
	if c.instance != "" {
		p.notifyWaiters()
	}
	p.mu.Unlock()
}

// returnIdle puts back an idle connection that was taken and not used.
func (p *Pool) returnIdle(c *conn) {
	p.mu.Lock()
	if p.closed || p.open > p.maxConnections {
		p.mu.Unlock()
		p.closeConns(c)
		return
	}
	i, _ := slices.BinarySearchFunc(p.idle, c.respondedAt, func(other *conn, at time.Time) int { return other.respondedAt.Compare(at) })
	p.idle = slices.Insert(p.idle, i, c)
	p.mu.Unlock()
}

// notifyWaiters wakes the calls that wait on changed. The caller must hold p.mu.
func (p *Pool) notifyWaiters() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// closeConns closes connections that are not in the idle list and releases their slots.
func (p *Pool) closeConns(conns ...*conn) {
	if len(conns) == 0 {
		return
	}
	for _, c := range conns {
		_ = c.nc.Close()
	}
	p.releaseSlots(len(conns))
}

func (p *Pool) releaseSlots(n int) {
	p.opts.Sockets.release(n)
	p.releaseOwnSlots(n)
}

func (p *Pool) releaseOwnSlots(n int) {
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

// recordReport records a report from the response to a request that was written at sentAt.
func (p *Pool) recordReport(r outcome.Report, sentAt time.Time) {
	if r.Instance == "" {
		return
	}
	r.RequestedAt = sentAt
	p.mu.Lock()
	if r.Instance != p.report.Instance && p.report.Instance != "" && !sentAt.After(p.reportedAt) {
		// A late response of the previous instance, which arrived after the first one of the new instance.
		p.mu.Unlock()
		return
	}
	if r.Instance != p.report.Instance || sentAt.After(p.latestRequestAt) {
		p.latestRequestAt = sentAt
	}
	p.report = r
	p.reportedAt = p.opts.Timers.Now()
	p.notifyWaiters()
	p.mu.Unlock()
	p.opts.OnReport(r)
}

// instanceReplaced reports whether a current report shows another instance than the given one. It returns that report.
func (p *Pool) instanceReplaced(instance string, now time.Time) (outcome.Report, bool) {
	if instance == "" || p.skipsInstanceCheck() {
		return outcome.Report{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.report.Instance != "" && now.Sub(p.reportedAt) <= freshnessLimit
	return p.report, known && p.report.Instance != instance
}

var (
	attemptCount  atomic.Uint64
	attemptPrefix = func() string {
		var b [6]byte
		_, _ = rand.Read(b[:])
		return hex.EncodeToString(b[:]) + "-"
	}()
)

// newAttemptID returns an ID that is unique among all attempts of all processes.
func newAttemptID() string {
	var b [32]byte
	return string(strconv.AppendUint(append(b[:0], attemptPrefix...), attemptCount.Add(1), 36))
}
