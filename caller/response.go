package caller

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"skylarkbeam/memory"
)

// holdLimit is the number of bytes of a response that are held while a response before it is still being written. A
// handler that writes more waits.
const holdLimit = 1 << 20

// response is the http.ResponseWriter of one request. Its bytes go to the connection once the response before it has been
// written.
type response struct {
	conn *conn
	req  *http.Request
	// request is the body of the request; nil if its head could not be read.
	request *body
	// turn is closed when the response before this one has been written, written when this one has.
	turn    <-chan struct{}
	written chan struct{}

	header http.Header
	status int
	// held are the bytes of the body that were not written yet; headed says that the head was.
	held   []byte
	headed bool
	// reserved is the memory that is reserved for held, and holding what the handler has reserved until the response has been read;
	// nil if it has reserved nothing.
	reserved int64
	holding  *memory.Reservation
	// running says that the request counts as one that may run.
	running bool
	// length is the length of the body, -1 if it is sent in chunks, and sent what of it was written.
	length int64
	sent   int64
	failed error
	// body writes the body to the connection.
	body io.Writer
}

func newResponse(c *conn, req *http.Request, turn <-chan struct{}) *response {
	return &response{
		conn:    c,
		req:     req,
		turn:    turn,
		written: make(chan struct{}),
		header:  http.Header{},
		body:    c.server.opts.Pacer.Writer(c.ctx, (*bodyWriter)(c)),
	}
}

// bodyWriter writes parts of bodies to a connection, each with a limit of its own: a paced body may take longer than
// stallTime although the caller reads it.
type bodyWriter conn

// Write implements io.Writer.
func (w *bodyWriter) Write(p []byte) (int, error) {
	_ = w.nc.SetWriteDeadline(time.Now().Add(stallTime))
	return w.bw.Write(p)
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
		r.responds()
	}
}

// responds notes that the request does not run any more: its handler responds, or has ended.
func (r *response) responds() {
	if !r.running {
		return
	}
	r.running = false
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	r.conn.running--
}

// Write implements http.ResponseWriter. It waits for the responses before this one if the body is large.
func (r *response) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if r.failed != nil {
		return 0, r.failed
	}
	if !r.headed && !r.streams() && r.mayHold(len(p)) {
		r.held = append(r.held, p...)
		return len(p), nil
	}
	if err := r.start(); err != nil {
		return 0, err
	}
	return len(p), r.write(p)
}

// streams tells whether the body goes to the connection as it is written: it has a length, and it is this response's turn.
func (r *response) streams() bool {
	if r.header.Get("Content-Length") == "" {
		return false
	}
	select {
	case <-r.turn:
		return true
	default:
		return false
	}
}

// start waits for the turn of the response and writes the head and what was held.
func (r *response) start() error {
	if r.headed || r.failed != nil {
		return r.failed
	}
	if r.failed = r.awaitTurn(); r.failed != nil {
		r.held = nil
		r.releaseHeld()
		return r.failed
	}
	r.writeHead()
	held := r.held
	r.held = nil
	defer r.releaseHeld()
	if len(held) == 0 {
		return nil
	}
	return r.write(held)
}

// awaitTurn waits until the responses before this one have been written. It fails if the connection ends meanwhile, also if
// the turn has come: then a response before this one was left out, or is still being written, and a caller that closed only
// its direction of the connection would take this one for that.
func (r *response) awaitTurn() error {
	select {
	case <-r.turn:
	case <-r.conn.ctx.Done():
	}
	return r.conn.ctx.Err()
}

// writeHead writes the head.
func (r *response) writeHead() {
	r.headed = true
	bw := r.conn.bw
	text := http.StatusText(r.status)
	bw.WriteString("HTTP/1.1 " + strconv.Itoa(r.status) + " " + text + "\r\n")
	r.length = -1
	if length := r.header.Get("Content-Length"); length != "" {
		if n, err := strconv.ParseInt(length, 10, 64); err == nil {
			r.length = n
		}
	}
	r.header.Del("Transfer-Encoding")
	if r.length < 0 && r.chunked() {
		r.header.Set("Transfer-Encoding", "chunked")
	}
	wanted := r.request != nil && r.request.endsConnection() || r.req.Close || strings.EqualFold(r.header.Get("Connection"), "close") || r.endsWithConnection()
	r.header.Del("Connection")
	if r.conn.endsWith(r, wanted) {
		r.header.Set("Connection", "close")
	}
	if r.endsWithConnection() {
		r.conn.resetOnClose(true)
	}
	_ = r.header.Write(bw) // The buffer keeps the error for the flush.
	bw.WriteString("\r\n")
}

// chunked tells whether a body without a known length is sent in chunks. To a caller of HTTP/1.0 it ends with the
// connection.
func (r *response) chunked() bool { return r.bodyAllowed() && r.req.ProtoAtLeast(1, 1) }

// endsWithConnection tells whether the body ends with the connection. Its caller takes it for whole if the connection ends in order.
func (r *response) endsWithConnection() bool { return r.length < 0 && r.bodyAllowed() && !r.chunked() }

// proceed tells a caller that waits for it to send the body of its request.
func (r *response) proceed() {
	if r.awaitTurn() != nil {
		return
	}
	r.conn.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	if r.conn.bw.Flush() != nil {
		r.conn.abort()
	}
}

func (r *response) bodyAllowed() bool {
	return r.req.Method != http.MethodHead && r.status >= 200 && r.status != http.StatusNoContent && r.status != http.StatusNotModified
}

// write writes a part of the body.
func (r *response) write(p []byte) error {
	if !r.bodyAllowed() || len(p) == 0 {
		return nil
	}
	_ = r.conn.nc.SetWriteDeadline(time.Now().Add(stallTime))
	bw := r.conn.bw
	if r.length < 0 && r.chunked() {
		bw.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n")
	}
	n, err := r.body.Write(p)
	r.sent += int64(n)
	if err != nil {
		r.failed = err
		return err
	}
	if r.length < 0 && r.chunked() {
		bw.WriteString("\r\n")
	}
	return nil
}

// finish writes what is left of the response after the handler has returned.
func (r *response) finish() {
	r.WriteHeader(http.StatusOK)
	if !r.headed && r.bodyAllowed() {
		r.header.Set("Content-Length", strconv.Itoa(len(r.held)))
	}
	if r.start() != nil {
		if r.headed {
			r.conn.abort() // A write of the body failed.
		}
		return
	}
	bw := r.conn.bw
	if r.length < 0 && r.chunked() {
		bw.WriteString("0\r\n\r\n")
	}
	short := r.length >= 0 && r.bodyAllowed() && r.sent < r.length
	_ = r.conn.nc.SetWriteDeadline(time.Now().Add(stallTime))
	if err := bw.Flush(); err != nil || short {
		// A response that is shorter than its length must not look complete.
		r.conn.abort()
		return
	}
	if r.endsWithConnection() {
		r.conn.resetOnClose(false)
	}
}

// ReadFrom implements io.ReaderFrom, so that io.Copy uses a buffer that the connection's memory covers.
func (r *response) ReadFrom(src io.Reader) (int64, error) {
	buffer := make([]byte, 4*bufferSize)
	total := int64(0)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			m, werr := r.Write(buffer[:n])
			total += int64(m)
			if werr != nil {
				return total, werr
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

var _ http.ResponseWriter = (*response)(nil)
