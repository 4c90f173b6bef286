package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/link"
	"skylarkbeam/memory"
)

const (
	// bufferSize holds a usual head with a small body.
	bufferSize = 4 << 10
	// stallTime bounds one write to a caller that does not read.
	stallTime = 30 * time.Second
	// lastCall is how long a connection that is to end still reads requests that may be on their way already.
	lastCall = 5 * time.Millisecond
	// lingerTime is how long a connection is read after its last response, while no bytes come. Closing it with unread
	// bytes would reset it, and the caller could lose the response. maxLingerTime is the limit for bytes that do come, as
	// of a body that nobody reads: 64 MB take 2 s at the 256 Mbit/s from which on bodies are not paced.
	lingerTime    = 500 * time.Millisecond
	maxLingerTime = 2 * time.Second
)

// conn is one connection of a caller. One goroutine reads requests, and one for each request writes its response.
type conn struct {
	server *Server
	nc     net.Conn
	head   *headReader
	br     *bufio.Reader
	bw     *bufio.Writer   // belongs to the response whose turn it is
	ctx    context.Context // ends when the caller goes away or the connection is aborted
	cancel context.CancelFunc
	slots  chan struct{}
	tasks  sync.WaitGroup

	mu sync.Mutex
	// finishing says that the connection is to end with the response to the last request that was read, and closed that
	// this response says so, after which no request is taken.
	finishing bool
	closed    bool
	// readUntil is the time until which a connection that is to end reads further requests; zero if it is not to end yet
	// or waits for its first one.
	readUntil time.Time
	// awaiting says that the next request is being waited for.
	awaiting bool
	// open is the number of requests without a whole response, last the newest of all.
	open int
	last *response
	// turn is closed when the response to the last request has been written.
	turn chan struct{}
	// running is the number of requests that may run: their handlers have not begun to respond, and they may not be interrupted.
	// answered says that a response was written.
	running  int
	answered bool
	// idleSince is the time at which the last response was written, or the connection was accepted. evicted says that the
	// connection is being closed because there are too many.
	idleSince time.Time
	evicted   bool
	// receivingSince is the time since which the body of the last request is awaited; zero if none is.
	receivingSince time.Time

	// writingSince is when the write that is in progress began, in nanoseconds since 1970; 0 if there is none.
	writingSince atomic.Int64
	// receiver is the receive buffer, which is enlarged for some bodies.
	receiver link.Receiver
}

// connWriter writes to a connection and notes how long a write lasts.
type connWriter conn

// Write implements io.Writer.
func (w *connWriter) Write(p []byte) (int, error) {
	w.writingSince.Store(time.Now().UnixNano())
	defer w.writingSince.Store(0)
	return w.nc.Write(p)
}

func newConn(s *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{
		server: s,
		nc:     nc,
		head: &headReader{
			src:  nc,
			left: -1,
			memory: headMemory{
				budget: s.opts.Memory,
			},
		},
		ctx:    ctx,
		cancel: cancel,
		slots:  make(chan struct{}, s.opts.MaxConcurrentRequests),
		turn:   make(chan struct{}),

		idleSince: time.Now(),
		receiver:  link.NewReceiver(nc, memory.ReceiveBuffer),
	}
	c.br = bufio.NewReaderSize(c.head, bufferSize)
	c.bw = bufio.NewWriterSize((*connWriter)(c), bufferSize)
	close(c.turn)
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.server.ended(c)
	for c.next() {
	}
	releaseHead := c.head.memory.take()
	releaseHead()
	c.watch()
	if c.ctx.Err() == nil {
		c.linger()
	}
	c.abort()
}

// watch waits for the responses to the last requests. A caller that goes away meanwhile ends them.
func (c *conn) watch() {
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := c.br.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
	}()
	c.tasks.Wait()
	_ = c.nc.SetReadDeadline(time.Now()) // Ends the read.
	<-watched
}

// linger tells the caller that no more will be written and reads what it still sends.
func (c *conn) linger() {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.drain()
}

// abort ends the connection at once.
func (c *conn) abort() {
	c.cancel()
	c.nc.Close()
}

// resetOnClose chooses whether the end of the connection resets it, whatever closes it: this server or the end of the process. A reset
// loses what has not been sent yet, also of the responses before.
func (c *conn) resetOnClose(reset bool) {
	lingerer, ok := c.nc.(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	seconds := -1 // The default: closing sends the rest in the background.
	if reset {
		seconds = 0
	}
	_ = lingerer.SetLinger(seconds) // It fails only on a connection that is closed.
}

// finish makes the connection end as soon as the requests that were read are answered.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishing = true
	c.arm()
}

// next reads one request and starts its handler. It returns false if there is to be no further one.
func (c *conn) next() bool {
	if !c.await() {
		return false
	}
	limits := c.server.opts.Limits()
	c.head.memory.most = limits.MaxHeaderBytes
	c.head.begin(c.br, limits.MaxHeaderBytes)
	late := time.Now().Add(limits.ReadHeaderTimeout)
	_ = c.nc.SetReadDeadline(late)
	var req *http.Request
	var err error
	if !c.head.refused {
		req, err = http.ReadRequest(c.br)
	}
	// A head that was cut by a limit can pass for a malformed one.
	if err != nil && c.head.left == 0 {
		err = errHeadTooLarge
	}
	if c.head.refused {
		err = errNoMemory
	}
	release := c.head.memory.take()
	if err != nil && !time.Now().Before(late) {
		err = os.ErrDeadlineExceeded
	}
	raw := c.head.end(c.br)
	_ = c.nc.SetReadDeadline(time.Time{})
	if err == nil {
		err = checkHead(req, raw)
	}
	if err == nil {
		err = normalizeTarget(req)
	}
	if err != nil {
		c.reject(err)
		release()
		return false
	}
	req.RemoteAddr = c.nc.RemoteAddr().String()
	r := c.begin(req)
	if r == nil {
		release()
		return false
	}
	body := newBody(req, r)
	req.Body = body
	r.request = body
	c.head.body = &bodyWatch{
		nc: c.nc,
	}
	c.setReceiving(time.Now())
	c.tasks.Go(func() {
		defer release()
		c.handle(r, req, body)
	})
	// Nothing else reads the connection until then. A connection that is aborted fails the reads of the body.
	<-body.done
	c.head.body = nil
	c.setReceiving(time.Time{})
	c.receiver.Shrink()
	return body.whole && !req.Close && c.ctx.Err() == nil
}

func (c *conn) setReceiving(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivingSince = since
}

// await waits for the first byte of the next request, and for room to handle it.
func (c *conn) await() bool {
	select {
	case c.slots <- struct{}{}:
	case <-c.ctx.Done():
		return false
	}
	for {
		c.mu.Lock()
		c.awaiting = true
		c.arm()
		c.mu.Unlock()
		_, err := c.br.Peek(1)
		c.mu.Lock()
		c.awaiting = false
		over := c.finishing && c.last != nil || c.open == 0
		late := !c.readUntil.IsZero() && !time.Now().Before(c.readUntil)
		c.mu.Unlock()
		switch {
		case err == nil && late:
			// A caller that always has a request on its way would be served until the process ends.
			return false
		case err == nil:
			return c.reserveRequest()
		case !errors.Is(err, os.ErrDeadlineExceeded):
			// The caller has gone, so nobody reads the responses that are still to come.
			c.cancel()
			return false
		case over:
			_ = c.nc.SetReadDeadline(time.Time{})
			return false
		}
	}
}

// arm sets the time until which the next request may begin. A connection that is to end waits only for what may be on its
// way, unless it is new: its caller has been told to use this server. The caller holds the lock.
func (c *conn) arm() {
	if !c.awaiting {
		return
	}
	limit := time.Time{}
	switch {
	case c.finishing && c.last != nil:
		if c.readUntil.IsZero() {
			c.readUntil = time.Now().Add(lastCall)
		}
		limit = c.readUntil
	case c.open == 0:
		limit = time.Now().Add(c.server.opts.Limits().IdleTimeout)
	}
	_ = c.nc.SetReadDeadline(limit)
}

// begin enters a request whose head was read. It returns nil if a response has already told the caller that the connection
// ends.
func (c *conn) begin(req *http.Request) *response {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	r := newResponse(c, req, c.turn)
	if f := c.server.opts.Interruptible; f == nil || !f(req) {
		r.running = true
		c.running++
	}
	c.turn = r.written
	c.last = r
	c.open++
	return r
}

// endsWith decides, when the head of a response is written, whether the connection ends with it. Wanted says that it is to
// end.
func (c *conn) endsWith(r *response, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishing = c.finishing || wanted
	c.closed = c.closed || c.finishing && c.last == r
	return c.closed
}

func (c *conn) handle(r *response, req *http.Request, body *body) {
	defer func() {
		if p := recover(); p != nil {
			c.abort()
			if p != http.ErrAbortHandler {
				panic(p)
			}
		}
		body.Close()
		c.end(r)
		<-c.slots
	}()
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	c.server.opts.Handler.ServeHTTP(r, req.WithContext(ctx))
	r.responds()
	r.finish()
}

// end notes that a response was written and starts the idle time if it was the last one.
func (c *conn) end(r *response) {
	r.releaseHeld()
	r.releaseBody()
	close(r.written)
	r.responds()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	c.answered = true
	c.idleSince = time.Now()
	c.arm()
}

// reject answers a request that cannot be read, after the responses before it.
func (c *conn) reject(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errNoMemory):
		status = http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		c.cancel()
		return
	}
	r := c.begin(&http.Request{
		Method:     http.MethodGet,
		ProtoMajor: 1,
		ProtoMinor: 1,
		Close:      true,
	})
	if r == nil {
		return
	}
	if status == http.StatusServiceUnavailable {
		// Heads are held for as long as their calls take, most for less than a second.
		r.Header().Set("Retry-After", "1")
	}
	http.Error(r, http.StatusText(status), status)
	r.finish()
	c.end(r)
}
