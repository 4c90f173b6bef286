package target

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/link"
	"skylarkbeam/memory"
	"skylarkbeam/outcome"
	"skylarkbeam/timer"
)

var (
	errHeadTooLarge = errors.New("response head is too large")
	errWriteRefused = errors.New("request may no longer be written")
)

// maxRefusals bounds the refused calls that a connection remembers. It is closed when it has as many.
const maxRefusals = 32

// conn is a connection to the target. It is used by one call at a time or is in the idle list.
type conn struct {
	nc            net.Conn
	timers        *timer.Service
	rawConn       syscall.RawConn // nil if nc is not a socket
	br            *bufio.Reader
	bw            *bufio.Writer
	abort         func()
	peekFunc      func(fd uintptr) bool
	nothingToRead bool // result of the last peek
	receiver      link.Receiver
	instance      string // the instance that the connection leads to; empty if unknown
	dialedAt      time.Time
	respondedAt   time.Time // when the last response ended

	// State of the current request. The request and its parts are reused from call to call.
	writtenBytes  int64          // bytes of the request that the kernel has accepted
	writeFailed   bool           // a write to the connection failed
	refusal       outcome.Reason // why the request may not be written; empty if it may
	deadline      time.Time      // of the request
	beforeWrite   func(time.Time) outcome.Reason
	reserve       func(time.Time) outcome.Reason
	sentAt        time.Time
	headBytesLeft int64     // bytes that may still be read for the response head; negative if unlimited
	headCheck     headCheck // of the response head that is being read
	req           http.Request
	url           url.URL
	path          string // of the request, with its query, as the caller sent it
	writer        requestWriter
	header        http.Header
	body          requestBody
	// previousID is the ID of the previous attempt, whose response may arrive twice.
	previousID string
	// refused are the IDs of the calls that were refused on the connection. They may be sent again, with the same ID, but
	// not here: a late copy of the refusal could not be told from the response.
	refused []string
	// targetIdleTimeout is how long the target keeps an idle connection open; zero if unknown.
	targetIdleTimeout time.Duration
}

// requestBody is a request body in memory.
type requestBody struct{ bytes.Reader }

func (*requestBody) Close() error { return nil }

// joinPieces returns a reader of pieces, and their length. They are not copied.
func joinPieces(pieces [][]byte) (body io.ReadCloser, length int64) {
	readers := make([]io.Reader, len(pieces))
	for i, piece := range pieces {
		readers[i] = bytes.NewReader(piece)
		length += int64(len(piece))
	}
	return io.NopCloser(io.MultiReader(readers...)), length
}

func newConn(nc net.Conn, timers *timer.Service) *conn {
	c := &conn{
		nc:            nc,
		timers:        timers,
		header:        http.Header{},
		headBytesLeft: -1,
		receiver:      link.NewReceiver(nc, memory.ReceiveBuffer),
	}
	c.br = bufio.NewReaderSize((*connReader)(c), bufferBytes)
	c.bw = bufio.NewWriterSize((*connWriter)(c), bufferBytes)
	c.abort = func() { _ = nc.Close() }
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.rawConn = raw
			c.peekFunc = c.peekSocket
		}
	}
	return c
}

// maxIdle returns how long the connection may stay idle before it is no longer used, at most limit.
func (c *conn) maxIdle(limit time.Duration) time.Duration {
	if c.targetIdleTimeout <= 0 {
		return limit
	}
	return min(limit, c.targetIdleTimeout-c.targetIdleTimeout/idleMarginDivisor)
}

// refusedCall reports whether the call with the given ID was refused on the connection.
func (c *conn) refusedCall(id string) bool { return id != "" && slices.Contains(c.refused, id) }

// alive reports whether an idle connection is still open and has nothing to read. Bytes that arrive without a pending
// request belong to a late or mismatched response.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if c.rawConn == nil {
		return true
	}
	if err := c.nc.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	c.nothingToRead = false
	return c.rawConn.Read(c.peekFunc) == nil && c.nothingToRead
}

func (c *conn) peekSocket(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.nothingToRead = err == syscall.EAGAIN
	return true
}

// prepareRequest fills in the request. It replaces all fields left by the previous request.
func (c *conn) prepareRequest(protocol Protocol, call *Call, host, id string, remaining time.Duration) error {
	c.url = url.URL{
		Opaque: "/", // Stands for the path, see requestWriter.
	}
	c.path = call.Path
	copyRequestHeader(c.header, call.Header)
	protocol.SetRequestHeader(c.header, Attempt{
		ID:        id,
		Remaining: remaining,
		Instance:  call.Instance,
		Repeat:    call.Repeat,
		Key:       call.Header.Get(headerIdempotencyKey),
		LoadRead:  call.loadRead,
		Keyed:     call.Keyed,
		Workspace: call.Workspace,
	})
	c.req = http.Request{
		Method: call.Method,
		URL:    &c.url,
		Host:   host,
		Header: c.header,
	}
	if call.Stream != nil && call.StreamLength != 0 {
		c.req.Body = io.NopCloser(call.Stream)
		c.req.ContentLength = call.StreamLength
	}
	body := call.Body
	if len(call.Pieces) == 1 {
		body = call.Pieces[0]
	}
	if call.Stream == nil && len(body) > 0 {
		c.body.Reset(body)
		c.req.Body = &c.body
		c.req.ContentLength = int64(len(body))
	}
	if call.Stream == nil && len(call.Pieces) > 1 {
		c.req.Body, c.req.ContentLength = joinPieces(call.Pieces)
	}
	return nil
}

// writeRequest writes the prepared request.
func (c *conn) writeRequest() error {
	c.writtenBytes = 0
	c.writeFailed = false
	c.refusal = ""
	c.bw.Reset((*connWriter)(c))
	// Clear the body so that an idle connection does not keep it in memory.
	defer func() {
		c.req.Body = nil
		c.body.Reset(nil)
		c.beforeWrite, c.reserve = nil, nil
	}()
	c.writer = requestWriter{
		Writer: c.bw,
		method: c.req.Method,
		path:   c.path,
	}
	if err := c.req.Write(&c.writer); err != nil {
		return err
	}
	return c.bw.Flush()
}

// awaitFirstByte waits for the first byte of a response until limit, which is before the deadline of the request.
func (c *conn) awaitFirstByte(limit time.Time) error {
	if err := c.nc.SetReadDeadline(limit); err != nil {
		return err
	}
	if _, err := c.br.Peek(1); err != nil {
		return err
	}
	return c.nc.SetReadDeadline(c.deadline)
}

// readResponse reads the head of the response to the prepared request. It skips informational responses.
func (c *conn) readResponse() (*http.Response, error) {
	c.headBytesLeft = maxHeadBytes
	defer func() { c.headBytesLeft = -1 }()
	for {
		c.headCheck = headCheck{}
		buffered, _ := c.br.Peek(c.br.Buffered()) // What is buffered can be peeked at.
		if err := c.headCheck.scan(buffered); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.br, &c.req)
		if c.headCheck.err != nil {
			// The parser may report a line that ends with the failed read instead.
			return nil, c.headCheck.err
		}
		if err != nil {
			return nil, err
		}
		if err := c.headCheck.checkResponse(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
}

// discardBody reads a short body to its end, so that the connection can be reused. It reports whether it got there
// within discardTimeout.
func (c *conn) discardBody(resp *http.Response) bool {
	if endsWithConnection(resp) {
		return false
	}
	limit := c.timers.Now().Add(discardTimeout)
	if limit.Before(c.deadline) {
		if err := c.nc.SetReadDeadline(limit); err != nil {
			return false
		}
	}
	_, err := io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
	return err == io.EOF && c.nc.SetReadDeadline(c.deadline) == nil
}

// refusalReason returns why the prepared request may not be written now, or an empty reason if it may.
func (c *conn) refusalReason() outcome.Reason {
	now := c.timers.Now()
	if !now.Before(c.deadline) {
		return outcome.Deadline
	}
	if c.beforeWrite != nil {
		if reason := c.beforeWrite(now); reason != "" {
			return reason
		}
	}
	if c.reserve != nil {
		return c.reserve(now)
	}
	return ""
}

type connReader conn

func (r *connReader) Read(p []byte) (int, error) {
	if r.headBytesLeft < 0 {
		return r.nc.Read(p)
	}
	if r.headBytesLeft == 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(p)) > r.headBytesLeft {
		p = p[:r.headBytesLeft]
	}
	n, err := r.nc.Read(p)
	r.headBytesLeft -= int64(n)
	if err := r.headCheck.scan(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}

type connWriter conn

// Write checks right before the first byte whether the request may still be written: opening the connection takes time,
// and the process may have been paused since the call was admitted.
func (w *connWriter) Write(p []byte) (int, error) {
	if w.writtenBytes == 0 {
		if w.refusal = (*conn)(w).refusalReason(); w.refusal != "" {
			return 0, errWriteRefused
		}
	}
	n, err := w.nc.Write(p)
	w.writtenBytes += int64(n)
	w.writeFailed = w.writeFailed || err != nil
	return n, err
}
