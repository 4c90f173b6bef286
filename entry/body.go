package entry

import (
	"context"
	"io"
	"net/http"
	"os"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/caller"
	"skylarkbeam/memory"
	"skylarkbeam/outcome"
)

const (
	// maxMemoryWait bounds the time for which a body waits for memory. A caller that waits longer is better off at another
	// entry.
	maxMemoryWait = 5 * time.Second
	// memoryWaitDivisor is the part of the time left, as 1/n, for which a body waits for memory. The rest is for reading it and
	// for the call.
	memoryWaitDivisor = 2
	// firstPiece and largestPiece are the sizes in bytes of the pieces of a body of unknown length. Each is twice as large as
	// the one before, so that small bodies take little and large ones few pieces.
	firstPiece   = memory.FreeBytes
	largestPiece = 1 << 20
	// collectorPause is the pause between two collections while a body waits for memory, in multiples of the time that a
	// collection took, and minCollectorPause its minimum. Calls that have just ended may still use their bodies.
	collectorPause    = 4
	minCollectorPause = 20 * time.Millisecond
	// defaultMemory is the memory of a machine that is not known, in bytes.
	defaultMemory = 512 << 20
)

// requestBody is the body of a request. A body whose length was known has one piece.
type requestBody struct {
	pieces [][]byte
	size   int
}

func (b *requestBody) add(piece []byte) {
	if len(piece) > 0 {
		b.pieces = append(b.pieces, piece)
		b.size += len(piece)
	}
}

// bodyReader reads the body of a call and holds the memory for it.
type bodyReader struct {
	entry *Entry
	call  *call
	// connection is that of the call; nil if its receive buffer cannot be changed.
	connection receiver
	held       []*memory.Reservation
	// allocated are the bytes of the last reservation of the part for large bodies that have been allocated.
	allocated int64
	large     *memory.Reservation
}

// receiver is something whose connection can be given a larger receive buffer for a body of n bytes.
type receiver interface {
	EnlargeReceiveBuffer(n int64)
}

// receiveBody reads the body of a call. release must be called when the call has ended.
func (e *Entry) receiveBody(w http.ResponseWriter, c *call) (release func(), refusal *Refusal) {
	r := c.request
	if r.Body == nil || r.ContentLength == 0 {
		return func() {}, nil
	}
	b := &bodyReader{
		entry: e,
		call:  c,
	}
	b.connection, _ = w.(receiver)
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(c.deadline) // A server without it has limits of its own.
	switch limit := c.snapshot.settings.Limits.Body; {
	case r.ContentLength > int64(limit):
		refusal = bodyTooLarge()
	case r.ContentLength > 0:
		refusal = b.readKnown(int(r.ContentLength))
	default:
		refusal = b.readChunked(limit)
	}
	if refusal != nil {
		// The rest of the body is not read, so no request can follow on the connection.
		w.Header().Set("Connection", "close")
	}
	return b.release, refusal
}

func bodyTooLarge() *Refusal {
	refusal := notRunRefusal(outcome.Invalid, 0, "the request body is larger than limits.body")
	refusal.Status = http.StatusRequestEntityTooLarge
	return refusal
}

// readKnown reads a body of known length.
func (b *bodyReader) readKnown(n int) *Refusal {
	if refusal := b.reserve(int64(n), int64(n)); refusal != nil {
		return refusal
	}
	var first []byte
	if n > memory.SmallBody {
		// The caller may have left, or not have begun to send, when the reservation was granted.
		first = make([]byte, firstPiece)
		read, err := io.ReadAtLeast(b.call.request.Body, first, 1)
		if err != nil {
			return b.readRefusal(err)
		}
		first = first[:read]
	}
	body := b.allocate(n)
	copy(body, first)
	if _, err := io.ReadFull(b.call.request.Body, body[len(first):]); err != nil {
		return b.readRefusal(err)
	}
	b.call.body.add(body)
	return nil
}

// readChunked reads a body of unknown length. If it outgrows the part for small bodies, it reserves the largest body and
// returns what it does not need: bodies that hold a part of what they need could wait for each other.
func (b *bodyReader) readChunked(limit int) *Refusal {
	read, reserved := 0, memory.FreeBytes
	for size := firstPiece; ; size = min(2*size, largestPiece) {
		size = min(size, limit+1-read)
		if read+size > reserved {
			next := memory.SmallBody
			if reserved >= next {
				next = max(limit, reserved) + 1
			}
			expected := int64(0)
			if next > memory.SmallBody {
				expected = int64(next)
			}
			if refusal := b.reserve(int64(next), expected); refusal != nil {
				return refusal
			}
			reserved = next
			if read+size > reserved {
				size = reserved - read
			}
		}
		piece := b.allocate(size)
		n, err := io.ReadFull(b.call.request.Body, piece)
		read += n
		b.call.body.add(piece[:n])
		switch {
		case err == io.EOF || err == io.ErrUnexpectedEOF && b.complete():
			b.shrink()
			if read > limit {
				return bodyTooLarge()
			}
			return nil
		case err != nil:
			return b.readRefusal(err)
		case read > limit:
			return bodyTooLarge()
		}
	}
}

// complete reports whether a body of unknown length has been read to its end. io.ReadFull has the same error for a piece that
// is not full as the body for an end that is missing.
func (b *bodyReader) complete() bool {
	var end [1]byte
	n, err := b.call.request.Body.Read(end[:])
	return n == 0 && err == io.EOF
}

// reserve reserves n bytes for a body, and a receive buffer for the expected ones. It waits for a bounded time, in which the body is
// not read.
func (b *bodyReader) reserve(n, expected int64) *Refusal {
	if n <= memory.FreeBytes {
		return nil
	}
	part, e := memory.BodyPart(n), b.entry
	now := e.timers.Now()
	limit := min(b.call.deadline.Sub(now)/memoryWaitDivisor, maxMemoryWait)
	r := e.reserveMemory(b.call.request.Context(), part, n+b.receiveBuffer(expected), limit)
	if r == nil {
		return notRunRefusal(outcome.NoMemory, e.memory.RetryAfter(part, n), "no memory is free for the request body")
	}
	b.held = append(b.held, r)
	if part == memory.Large {
		b.large = r
	}
	if b.connection != nil {
		b.connection.EnlargeReceiveBuffer(expected)
	}
	return nil
}

// receiveBuffer returns the memory that the receive buffer for a body of n bytes takes.
func (b *bodyReader) receiveBuffer(n int64) int64 {
	if b.connection == nil {
		return 0
	}
	return memory.ReceiveBufferBytes(n)
}

// reserveMemory reserves n bytes, and waits for them until the time limit or the end of ctx. It returns nil if there are none.
func (e *Entry) reserveMemory(ctx context.Context, part memory.Part, n int64, limit time.Duration) *memory.Reservation {
	r := e.memory.Reserve(e.timers.Now(), part, n)
	if r == nil || r.IsGranted() {
		return r
	}
	e.collect()
	end := time.NewTimer(limit)
	defer end.Stop()
	select {
	case <-r.Granted:
	case <-end.C:
	case <-ctx.Done():
	case <-e.ending.Done():
	}
	if e.memory.Withdraw(e.timers.Now(), r) {
		return nil
	}
	return r
}

// allocate allocates a piece of a body. The memory of large bodies counts until the collector has freed it.
func (b *bodyReader) allocate(n int) []byte {
	piece := make([]byte, n)
	if b.large != nil && n > 0 {
		b.allocated += int64(n)
		runtime.AddCleanup(&piece[0], b.entry.largeFreed, int64(n))
	}
	return piece
}

func (e *Entry) largeFreed(n int64) { e.memory.Freed(e.timers.Now(), memory.Large, n) }

// shrink returns what a body of unknown length did not need.
func (b *bodyReader) shrink() {
	if b.large != nil {
		b.entry.memory.Shrink(b.entry.timers.Now(), b.large, b.allocated)
	}
}

// release ends the reservations.
func (b *bodyReader) release() {
	now := b.entry.timers.Now()
	for _, r := range b.held {
		garbage := int64(0)
		if r == b.large {
			garbage = b.allocated
		}
		b.entry.memory.Release(now, r, garbage)
	}
	b.held = nil
	if b.allocated > 0 {
		b.entry.collect()
	}
}

func (b *bodyReader) readRefusal(err error) *Refusal {
	switch {
	case errors.Is(err, caller.ErrSlow):
		return notRunRefusal(outcome.Slow, defaultRetryAfter, "the request body arrives too slowly")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return notRunRefusal(outcome.Deadline, defaultRetryAfter, "the request body arrives too late")
	default:
		return notRunRefusal(outcome.Invalid, 0, "the request body could not be read")
	}
}

// collect runs the garbage collector while a reservation waits that ended calls could make room for.
func (e *Entry) collect() {
	if !e.memory.WaitsForCollector() || !e.collecting.CompareAndSwap(false, true) {
		return
	}
	e.tasks.Go(func() {
		defer e.collecting.Store(false)
		for e.memory.WaitsForCollector() {
			start := time.Now()
			runtime.GC()
			e.metrics.collections.Inc()
			pause := time.NewTimer(max(collectorPause*time.Since(start), minCollectorPause))
			select {
			case <-pause.C:
			case <-e.done:
				pause.Stop()
				return
			}
		}
	})
}

// holdResponse reserves memory for the first part of a response: more bytes than were reserved before. It returns false if
// there is none.
func (r *response) holdResponse(n int64) bool {
	if n <= memory.FreeBytes || n <= r.reserved {
		return true
	}
	if !r.entry.memory.TryReserve(memory.Responses, n-r.reserved) {
		return false
	}
	r.reserved = n
	return true
}

// unknownResponse is the number of bytes that are expected of a response that does not say how long it is.
const unknownResponse = 64 << 10

// expectBody lets the body of a response arrive faster, if memory is left for that.
func (r *response) expectBody(o *outcome.Answered) {
	n := o.Length
	if n < 0 {
		n = unknownResponse
	}
	size := memory.ReceiveBufferBytes(n)
	body, ok := o.Body.(receiver)
	if !ok || size == 0 || !r.entry.memory.TryReserve(memory.Responses, size) {
		return
	}
	r.buffer = size
	body.EnlargeReceiveBuffer(n)
}

// release returns the memory of the first part and of the receive buffer.
func (r *response) release() {
	r.releaseBuffer()
	r.entry.memory.ReleaseBytes(r.entry.timers.Now(), memory.Responses, r.reserved)
	r.reserved = 0
}

// releaseBuffer returns the memory of the receive buffer.
func (r *response) releaseBuffer() {
	r.entry.memory.ReleaseBytes(r.entry.timers.Now(), memory.Responses, r.buffer)
	r.buffer = 0
}

// memoryUsage returns the state of the parts of the memory.
func (e *Entry) memoryUsage() []memory.Usage {
	var list []memory.Usage
	for _, p := range memory.Parts {
		list = append(list, e.memory.Usage(p))
	}
	return list
}
