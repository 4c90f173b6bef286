package target

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/outcome"
	"skylarkbeam/timer"
)

var (
	errHeadTooLarge = errors.New("head of the answer is too large")
	errNotReady     = errors.New("the call may no longer be written")
)

// conn is a connection to the target. It belongs to one call at a time, or to the idle list.
type conn struct {
	nc       net.Conn
	timers   *timer.Service
	raw      syscall.RawConn // nil if nc is not a socket
	br       *bufio.Reader
	bw       *bufio.Writer
	abort    func()
	peek     func(fd uintptr) bool
	quiet    bool   // result of the last peek
	instance string // that the connection leads to; empty if that is not known
	dialed   time.Time
	answered time.Time // when the last answer ended

	// State of the current request. The request and its parts are reused from call to call.
	written int64          // bytes of the request that the kernel took
	broken  bool           // a write to the connection failed
	refused outcome.Reason // why the request may not be written; empty if it may
	until   time.Time      // when the time for the request is over
	ready   func(time.Time) outcome.Reason
	sent    time.Time
	head    int64 // bytes that may still be read for the head; negative if there is no limit
	req     http.Request
	url     url.URL
	header  http.Header
	body    replay
	// former is the id of the attempt before the current one, whose answer may come twice.
	former string
	// idle is how long the target keeps the connection open without a request; zero if it has not said.
	idle time.Duration
}

// replay is a request body in memory.
type replay struct{ bytes.Reader }

func (*replay) Close() error { return nil }

func newConn(nc net.Conn, timers *timer.Service) *conn {
	c := &conn{
		nc:     nc,
		timers: timers,
		header: http.Header{},
		head:   -1,
	}
	c.br = bufio.NewReaderSize((*connReader)(c), bufferSize)
	c.bw = bufio.NewWriterSize((*connWriter)(c), bufferSize)
	c.abort = func() { _ = nc.Close() }
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw = raw
			c.peek = c.peekSocket
		}
	}
	return c
}

// keep returns how long the connection may stay idle before it is no longer used, limit at most.
func (c *conn) keep(limit time.Duration) time.Duration {
	if c.idle <= 0 {
		return limit
	}
	return min(limit, c.idle-c.idle/idleMargin)
}

// alive tells whether an idle connection is still open and has nothing to read. Bytes that arrive without a request
// are a late or crossed answer.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	if err := c.nc.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	c.quiet = false
	return c.raw.Read(c.peek) == nil && c.quiet
}

func (c *conn) peekSocket(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.quiet = err == syscall.EAGAIN
	return true
}

// prepare fills in the request. All fields that a former request left are replaced.
func (c *conn) prepare(protocol Protocol, call *Call, host, id string, left time.Duration) error {
	if strings.HasPrefix(call.Path, "//") {
		// url.URL.RequestURI would put a scheme before an opaque part of this form.
		u, err := url.ParseRequestURI(call.Path)
		if err != nil {
			return err
		}
		c.url = *u
	} else {
		c.url = url.URL{
			Opaque: call.Path,
		}
	}
	copyRequestHeader(c.header, call.Header)
	protocol.SetRequestHeader(c.header, Attempt{
		ID:        id,
		Remaining: left,
		Instance:  call.Instance,
		Repeat:    call.Repeat,
		Key:       call.Header.Get(headerIdempotency),
		LoadRead:  call.load,
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
	if call.Stream == nil && len(call.Body) > 0 {
		c.body.Reset(call.Body)
		c.req.Body = &c.body
		c.req.ContentLength = int64(len(call.Body))
	}
	return nil
}

// write writes the prepared request.
func (c *conn) write() error {
	c.written = 0
	c.broken = false
	c.refused = ""
	c.bw.Reset((*connWriter)(c))
	// An idle connection must not keep the body of its last call in memory.
	defer func() {
		c.req.Body = nil
		c.body.Reset(nil)
		c.ready = nil
	}()
	if err := c.req.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// awaitByte waits for the first byte of an answer until limit, which is before the end of the time for the request.
func (c *conn) awaitByte(limit time.Time) error {
	if err := c.nc.SetReadDeadline(limit); err != nil {
		return err
	}
	if _, err := c.br.Peek(1); err != nil {
		return err
	}
	return c.nc.SetReadDeadline(c.until)
}

// read reads the head of the answer to the prepared request. Informational answers are skipped.
func (c *conn) read() (*http.Response, error) {
	c.head = maxHead
	defer func() { c.head = -1 }()
	for {
		resp, err := http.ReadResponse(c.br, &c.req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("target switched protocols")
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
}

// check returns why the prepared request may not be written now, or an empty reason.
func (c *conn) check() outcome.Reason {
	now := c.timers.Now()
	if !now.Before(c.until) {
		return outcome.Deadline
	}
	if c.ready == nil {
		return ""
	}
	return c.ready(now)
}

type connReader conn

func (r *connReader) Read(p []byte) (int, error) {
	if r.head < 0 {
		return r.nc.Read(p)
	}
	if r.head == 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(p)) > r.head {
		p = p[:r.head]
	}
	n, err := r.nc.Read(p)
	r.head -= int64(n)
	return n, err
}

type connWriter conn

// Write asks right before the first byte whether the request may still be written: the process may have been paused since
// the call was let in, and connecting takes time.
func (w *connWriter) Write(p []byte) (int, error) {
	if w.written == 0 {
		if w.refused = (*conn)(w).check(); w.refused != "" {
			return 0, errNotReady
		}
	}
	n, err := w.nc.Write(p)
	w.written += int64(n)
	w.broken = w.broken || err != nil
	return n, err
}
