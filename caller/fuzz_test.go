package caller

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkbeam/outcome"
	"skylarkbeam/simulation"
	"skylarkbeam/target"
	"skylarkbeam/timer"
)

func TestMain(m *testing.M) {
	simulation.Main(m, "20261206", "rapid.checks", "500", "rapid.nofailfile", "true")
}

// requestSeeds are pipelined requests: usual ones, and those of review/6, 7 and 10 and their like.
var requestSeeds = []string{
	get("/a") + get("/b?c=d") + get("/e"),
	post("/a", "body", "Content-Length: 4") + post("/b", chunk("one")+chunk("two")+"0\r\n\r\n", "Transfer-Encoding: chunked") + get("/c"),
	post("/early", quoted, "Expect: 100-continue", fmt.Sprint("Content-Length: ", len(quoted))) + get("/next"),
	post("/early", quoted, fmt.Sprint("Content-Length: ", len(quoted))) + get("/next"),
	post("/early", chunk(quoted)+"0\r\n\r\n", "Transfer-Encoding: chunked") + get("/next"),
	post("/read", chunk("a")+"x\r\n"+quoted, "Transfer-Encoding: chunked"),
	post("/read", "5;a=b\r\nhello\r\n0\r\nTrailer: x\r\n\r\n", "Transfer-Encoding: chunked") + get("/next"),
	post("/read", chunk("a")+"0\r\nTrailer name: x\r\n y\r\n\r\n", "Transfer-Encoding: chunked") + get("/next"),
	post("/read", "0\r\n\r\n"+quoted, "Content-Length: 5", "Transfer-Encoding: chunked"),
	post("/stays/tides%2F7", "a stay", "Content-Length: 6") + get("/stays/%2E%2E/tides") + get("//stays//tides/"),
	get("/packs/keys|ferry") + get("/packs/keys%2Fferry|map") + get("/packs/f\u00e4hre") + get("/packs?map=a|b"),
	get("http://a.example/b?c") + get("*") + get("/d"),
	get("/a", "Connection: close") + get("/b"),
	"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /b HTTP/1.0\r\n\r\n" + get("/c"),
	"GET /a HTTP/1.1\nHost: a.example\n\n" + get("/b"),
}

// FuzzRequests guards against a target that runs what the bytes of a connection do not say, or in another order. To run it
// for ten minutes: go test ./caller -run '^$' -fuzz FuzzRequests -fuzztime 10m.
func FuzzRequests(f *testing.F) {
	for _, seed := range requestSeeds {
		f.Add([]byte(seed), uint16(0))
		f.Add([]byte(seed), uint16(1))
	}
	check := newRequestCheck(f)
	f.Fuzz(func(t *testing.T, data []byte, size uint16) { check.run(t, data, int(size)) })
}

// TestRandomRequests is FuzzRequests with a fixed seed and number of inputs: parts of the seeds, in any order, with a few
// bytes changed.
func TestRandomRequests(t *testing.T) {
	check := newRequestCheck(t)
	part := regexp.MustCompile(`(?s)[^\r\n ]+|\r\n| |\n|\r`)
	parts := part.FindAllString(strings.Join(append(requestSeeds, "\r\n\r\n", ": ", "\t", "\x00", "Content-Length: 0\r\n"), ""), -1)
	rapid.Check(t, func(rt *rapid.T) {
		var data []byte
		for range rapid.IntRange(1, 4).Draw(rt, "requests") {
			seed := []byte(rapid.SampledFrom(requestSeeds).Draw(rt, "seed"))
			for range rapid.IntRange(0, 3).Draw(rt, "changes") {
				from := rapid.IntRange(0, len(seed)).Draw(rt, "from")
				to := min(len(seed), from+rapid.SampledFrom([]int{0, 0, 1, 2, 10}).Draw(rt, "length"))
				seed = bytes.Join([][]byte{seed[:from], seed[to:]}, []byte(rapid.SampledFrom(parts).Draw(rt, "part")))
			}
			data = append(data, seed...)
		}
		check.run(rt, data, rapid.SampledFrom([]int{0, 1, 7, 100}).Draw(rt, "size"))
	})
}

// requestCheck sends bytes through the caller's side to a target and compares what arrives with what strictRequests reads.
// A request whose path begins with /early is answered without reading its body.
type requestCheck struct {
	pool *target.Pool

	mu  sync.Mutex
	ran []string
}

// fuzzer is a *testing.T, a *testing.F or a *rapid.T.
type fuzzer interface {
	assert.TestingT
	Helper()
}

func newRequestCheck(tb testing.TB) *requestCheck {
	tb.Helper()
	check := &requestCheck{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	server := &http.Server{
		Handler: http.HandlerFunc(check.serveTarget),
	}
	go server.Serve(l)
	check.pool = target.New(target.Options{
		Address: l.Addr().(*net.TCPAddr).AddrPort(),
	})
	tb.Cleanup(func() {
		check.pool.Close()
		server.Close()
	})
	return check
}

// serveTarget is the target: it notes what it runs and answers with it.
func (check *requestCheck) serveTarget(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	text := describe(r.Method, r.RequestURI, body)
	check.mu.Lock()
	check.ran = append(check.ran, text)
	check.mu.Unlock()
	w.Header().Set("Skylarkbeam-Request", r.Header.Get("Skylarkbeam-Request"))
	w.Header().Set("X-Ran", strconv.Quote(text))
}

func describe(method, target string, body []byte) string {
	return fmt.Sprintf("%s %s %q", method, target, body)
}

func (check *requestCheck) run(t fuzzer, data []byte, size int) {
	t.Helper()
	check.mu.Lock()
	check.ran = nil
	check.mu.Unlock()
	nc := newBytesConn(data, size)
	s := NewServer(Options{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { check.serve(w, r, nc) }),
		Limits: func() Limits {
			return Limits{
				MaxHeaderBytes:    4096,
				ReadHeaderTimeout: time.Minute,
				IdleTimeout:       time.Minute,
			}
		},
		Timers: timer.New(),
	})
	s.start(nc)
	select {
	case <-nc.closed:
	case <-time.After(30 * time.Second):
		t.Log("the connection does not end")
		t.FailNow()
	}
	want := strictRequests(data)
	answers := nc.answers()
	check.mu.Lock()
	defer check.mu.Unlock()
	left := append([]string(nil), want...)
	for _, ran := range check.ran {
		i := 0
		for i < len(left) && left[i] != ran {
			i++
		}
		assert.Assert(t, i < len(left), "the target ran %s, which was not sent: %q", ran, data)
		left[i] = "" // Runs once.
	}
	for i, answer := range answers {
		if strings.HasPrefix(answer, "refused") {
			assert.Equal(t, i, len(answers)-1, "answers follow %s: %q", answer, data)
			continue
		}
		assert.Assert(t, i < len(want), "the answer %s to no request: %q", answer, data)
		early := strings.SplitN(want[i], " ", 3)[1]
		if answer != "early" || !strings.HasPrefix(early, "/early") {
			assert.Equal(t, answer, want[i], "%q", data)
		}
	}
}

// serve is the handler at the caller's side.
func (check *requestCheck) serve(w http.ResponseWriter, r *http.Request, nc *bytesConn) {
	if strings.HasPrefix(r.RequestURI, "/early") {
		w.Header().Set("X-Ran", strconv.Quote("early"))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if b := r.Body.(*body); !b.ended() {
		nc.body.Store(b) // The next request is not read before.
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// The requests of a connection that ends are run as well, as far as they were read.
	o := check.pool.Send(context.WithoutCancel(r.Context()), &target.Call{
		Method:  r.Method,
		Path:    r.RequestURI,
		Host:    r.Host,
		Header:  r.Header,
		Body:    body,
		Timeout: 20 * time.Second,
	})
	answered, ok := o.(*outcome.Answered)
	if !ok {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer answered.Body.Close()
	w.Header()["X-Ran"] = answered.Header["X-Ran"]
	w.WriteHeader(answered.Status)
}

// bytesConn is the connection of a caller that sends some bytes, up to size at once, and waits. Time passes on it only when
// all have been read: then each read deadline is over at once.
type bytesConn struct {
	size int
	// body is the last body that a handler has begun to read.
	body   atomic.Pointer[body]
	closed chan struct{}
	once   sync.Once

	mu       sync.Mutex
	changed  *sync.Cond
	in       []byte
	out      bytes.Buffer
	deadline bool
	ended    bool
}

func newBytesConn(data []byte, size int) *bytesConn {
	c := &bytesConn{
		size:   size,
		in:     data,
		closed: make(chan struct{}),
	}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Read implements net.Conn.
func (c *bytesConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.in) == 0 {
		switch {
		case c.ended:
			return 0, net.ErrClosed
		case c.readsBody():
			return 0, io.EOF // The rest of the body does not come.
		case c.deadline:
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
	if c.size > 0 {
		p = p[:min(len(p), c.size)]
	}
	n := copy(p, c.in)
	c.in = c.in[n:]
	return n, nil
}

func (c *bytesConn) readsBody() bool {
	b := c.body.Load()
	return b != nil && !b.ended()
}

// Write implements net.Conn.
func (c *bytesConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out.Write(p)
}

// Close implements net.Conn.
func (c *bytesConn) Close() error {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	c.changed.Broadcast()
	c.once.Do(func() { close(c.closed) })
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *bytesConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = !t.IsZero()
	c.mu.Unlock()
	c.changed.Broadcast()
	return nil
}

// SetDeadline implements net.Conn.
func (c *bytesConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *bytesConn) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr implements net.Conn.
func (c *bytesConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *bytesConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// answers returns what the responses say, and "refused" with the status for those that are not the target's.
func (c *bytesConn) answers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var answers []string
	br := bufio.NewReader(&c.out)
	for {
		// The bodies are short of nothing: the target sends none, and HEAD has none.
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return answers
		}
		if resp.StatusCode == http.StatusContinue {
			continue
		}
		io.Copy(io.Discard, resp.Body)
		text, err := strconv.Unquote(resp.Header.Get("X-Ran"))
		if err != nil {
			text = fmt.Sprint("refused ", resp.StatusCode)
		}
		answers = append(answers, text)
	}
}
