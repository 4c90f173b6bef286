package caller

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/memory"
)

// ErrSlow is returned by reads of a body whose sender delivers less than memory.Progress requires.
var ErrSlow = errors.New("the body of the request arrives too slowly")

// errNoMemory is the error of a head for which no memory is left.
var errNoMemory = errors.New("no memory is left for the head of the request")

const (
	// maxDiscardBytes and discardTime bound the rest of a body that is read after the response, to keep the connection. A new
	// connection costs less.
	maxDiscardBytes = 256 << 10
	discardTime     = time.Second
	// abandonBytes bounds what is read from a caller that still sends a body after the response to it and the end of the
	// connection. A body of 64 MB is the largest one of usual limits, and simple clients send it whole before they read.
	abandonBytes = 64 << 20
	// pauseNoticed is how late the end of a sender's time must be noticed to show that this process did not run. A busy
	// machine delays a goroutine by tens of milliseconds.
	pauseNoticed = 200 * time.Millisecond
	// freeFields is the number of lines of a head that its connection's memory covers. Each further one takes fieldBytes when it is
	// parsed and copied for a target, however few bytes it has, and fieldStep are reserved at a time.
	freeFields = 64
	fieldBytes = 256
	fieldStep  = 16 << 10
	// reclaimPause is how long a connection that was closed to make room may take to return its memory.
	reclaimPause = 10 * time.Millisecond
)

// headMemory is the memory that the head of a request holds.
type headMemory struct {
	budget *memory.Budget
	// most is the largest head. held is what is reserved for its bytes, and fields for its fields.
	most   int
	held   int64
	fields int64
	// request is the reservation for a request beside open ones; nil if there is none.
	request *memory.Reservation
}

// reserve reserves memory for the largest head once a head is larger than what is free. left is what may still be read.
func (m *headMemory) reserve(left int) bool {
	if m.held > 0 || m.most-left < memory.FreeBytes {
		return true
	}
	if !m.budget.TryReserve(memory.Heads, int64(m.most)) {
		return false
	}
	m.held = int64(m.most)
	return true
}

// reserveFields reserves memory for the lines of a head.
func (m *headMemory) reserveFields(lines int) bool {
	for need := int64(lines-freeFields) * fieldBytes; m.fields < need; m.fields += fieldStep {
		if !m.budget.TryReserve(memory.Heads, fieldStep) {
			return false
		}
	}
	return true
}

// take returns a function that returns what is reserved for the request that was read last.
func (m *headMemory) take() (release func()) {
	budget, held, request := m.budget, m.held+m.fields, m.request
	m.held, m.fields, m.request = 0, 0, nil
	return func() {
		now := time.Now()
		budget.ReleaseBytes(now, memory.Heads, held)
		if request != nil {
			budget.Release(now, request, 0)
		}
	}
}

// reserveRequest reserves memory for a further request beside open ones. The connection is not read until there is some, or until
// no request is open. It returns false if the connection has ended.
func (c *conn) reserveRequest() bool {
	c.mu.Lock()
	open, turn := c.open, c.turn
	c.mu.Unlock()
	if open == 0 {
		return true
	}
	budget := c.server.opts.Memory
	r := budget.Reserve(time.Now(), memory.Requests, memory.RequestBytes)
	select {
	case <-r.Granted:
	case <-turn:
	case <-c.ctx.Done():
	}
	if !budget.Withdraw(time.Now(), r) {
		c.head.memory.request = r
	}
	return c.ctx.Err() == nil
}

// bodyWatch bounds the time for which the bytes of a body are waited for.
type bodyWatch struct {
	nc       net.Conn
	progress memory.Progress
	// until is the time after which the body is of no use; zero if there is none.
	until time.Time
}

// Read implements io.Reader.
func (w *bodyWatch) Read(p []byte) (int, error) {
	for {
		n, late, err := w.read(p)
		if !late {
			return n, err
		}
		// This process did not run for a while, so the bytes may have been there in time.
		w.progress = memory.Progress{}
	}
}

// read reads once. late reports whether the end of the time was noticed so late that the sender is not to blame.
func (w *bodyWatch) read(p []byte) (n int, late bool, err error) {
	start := time.Now()
	limit := start.Add(w.progress.Left())
	ends := !w.until.IsZero() && w.until.Before(limit)
	if ends {
		limit = w.until
	}
	if err := w.nc.SetReadDeadline(limit); err != nil {
		return 0, false, err
	}
	n, err = w.nc.Read(p)
	now := time.Now()
	w.progress.Record(n, now.Sub(start))
	if ends || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, false, err
	}
	return n, n == 0 && now.Sub(limit) > pauseNoticed, ErrSlow
}

// SetReadDeadline sets the time after which the body of the request is no longer waited for. It may be called by the handler
// before it reads the body.
func (r *response) SetReadDeadline(t time.Time) error {
	if w := r.conn.head.body; w != nil {
		w.until = t
	}
	return nil
}

// drain reads what a caller still sends after the last response, and discards it. It ends after a pause of lingerTime. A
// caller that does not read a response before it has sent the whole body gets more time, within abandonBytes.
func (c *conn) drain() {
	limit, left := time.Now().Add(maxLingerTime), int64(abandonBytes)
	for left > 0 {
		now := time.Now()
		_ = c.nc.SetReadDeadline(now.Add(min(lingerTime, limit.Sub(now))))
		n, err := io.CopyN(io.Discard, c.nc, min(left, maxDiscardBytes)) // Whatever comes is not answered any more.
		if err != nil && (n == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return
		}
		left -= n
	}
}

// mayHold reports whether n more bytes of a response may be held until its turn.
func (r *response) mayHold(n int) bool {
	total := len(r.held) + n
	if total > holdLimit {
		return false
	}
	if total <= memory.FreeBytes || int64(total) <= r.reserved {
		return true
	}
	// Room for what usually follows, so that each part does not reserve again.
	more := min(max(int64(total), 2*r.reserved), holdLimit) - r.reserved
	if !r.conn.server.opts.Memory.TryReserve(memory.Responses, more) {
		return false
	}
	r.reserved += more
	return true
}

// HoldBody reserves memory for a body of n bytes that the handler holds until the caller has read it. Where none is left, callers
// that do not read their responses lose their connections. It returns false if none is left all the same.
func (r *response) HoldBody(n int64) bool {
	if n <= memory.FreeBytes {
		return true
	}
	s := r.conn.server
	holding := s.opts.Memory.Reserve(time.Now(), memory.Responses, n)
	if holding == nil {
		return false
	}
	for !holding.IsGranted() && s.opts.Connections.reclaim() {
		pause := time.NewTimer(reclaimPause)
		select {
		case <-holding.Granted:
		case <-pause.C:
		}
		pause.Stop()
	}
	if s.opts.Memory.Withdraw(time.Now(), holding) {
		return false
	}
	r.holding = holding
	return true
}

// releaseHeld returns the memory of what was held.
func (r *response) releaseHeld() {
	r.conn.server.opts.Memory.ReleaseBytes(time.Now(), memory.Responses, r.reserved)
	r.reserved = 0
}

// releaseBody returns the memory that HoldBody has reserved.
func (r *response) releaseBody() {
	if r.holding != nil {
		r.conn.server.opts.Memory.Release(time.Now(), r.holding, 0)
		r.holding = nil
	}
}

// EnlargeReceiveBuffer lets a body of n bytes arrive faster, for which memory.ReceiveBufferBytes have been reserved. The connection
// has its former receive buffer again once the body has been read.
func (r *response) EnlargeReceiveBuffer(n int64) { r.conn.receiver.Enlarge(memory.ReceiveBufferFor(n)) }
