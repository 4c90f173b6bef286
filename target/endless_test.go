package target

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
	"skylarkbeam/timer"
)

// endlessTarget is a target in trouble: it answers each request with the start of a response and then sends bytes until
// its caller closes the connection.
type endlessTarget struct {
	address netip.AddrPort
	// start returns what it sends first. unread targets send it before they have read a request.
	start  func(id string) string
	repeat string
	unread bool
	// drip is the pause after each byte of repeat; without a pause, bytes are sent as fast as the connection takes them.
	drip time.Duration
	// open is the number of open connections.
	open atomic.Int64
}

func startEndlessTarget(t *testing.T, target *endlessTarget) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target.address = netip.MustParseAddrPort(l.Addr().String())
	var served sync.WaitGroup
	t.Cleanup(served.Wait)
	t.Cleanup(func() { _ = l.Close() })
	served.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			target.open.Add(1)
			served.Go(func() {
				defer target.open.Add(-1)
				defer conn.Close()
				target.serve(conn)
			})
		}
	})
}

func (target *endlessTarget) serve(conn net.Conn) {
	id := ""
	if !target.unread {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		id = req.Header.Get(HeaderRequest)
	}
	if _, err := conn.Write([]byte(target.start(id))); err != nil {
		return
	}
	block := []byte(strings.Repeat(target.repeat, 4096/len(target.repeat)+1))
	for i := 0; ; i++ {
		if target.drip > 0 {
			time.Sleep(target.drip)
			block = []byte{target.repeat[i%len(target.repeat)]}
		}
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// endlessResponses are the places at which bytes without end can come. known is set if the bytes show that they are no
// response, however slowly they come. A whole body may be followed by such bytes.
var endlessResponses = map[string]struct {
	start  string
	repeat string
	unread bool
	known  bool
	want   string
}{
	"no status line": {
		repeat: "\x00\xff~",
		known:  true,
		want:   "unknown broken",
	},
	"no status line, request not read": {
		repeat: "garbage ",
		unread: true,
		known:  true,
		want:   "unknown broken",
	},
	"status line": {
		start:  "HTTP/1.1 200 ",
		repeat: "O",
		want:   "unknown broken",
	},
	"header name": {
		start:  "HTTP/1.1 200 OK\r\n",
		repeat: "X",
		want:   "unknown broken",
	},
	"header value": {
		start:  "HTTP/1.1 200 OK\r\nX-Long: ",
		repeat: "x",
		want:   "unknown broken",
	},
	"headers": {
		start:  "HTTP/1.1 200 OK\r\n",
		repeat: "X-Next: y\r\n",
		want:   "unknown broken",
	},
	"informational responses": {
		repeat: "HTTP/1.1 103 Early Hints\r\n\r\n",
		want:   "unknown broken",
	},
	"chunk size": {
		start:  "HTTP/1.1 200 OK\r\nSkylarkbeam-Request: %ID\r\nTransfer-Encoding: chunked\r\n\r\n",
		repeat: "0",
		want:   "truncated",
	},
	"chunk extension": {
		start:  "HTTP/1.1 200 OK\r\nSkylarkbeam-Request: %ID\r\nTransfer-Encoding: chunked\r\n\r\n4;x=",
		repeat: "y",
		want:   "truncated",
	},
	"trailer": {
		start:  "HTTP/1.1 200 OK\r\nSkylarkbeam-Request: %ID\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Trailer: ",
		repeat: "z",
		want:   "truncated",
	},
	"body of a refusal": {
		start:  "HTTP/1.1 503 Busy\r\nSkylarkbeam-Request: %ID\r\nSkylarkbeam-Outcome: not-run\r\nContent-Length: 1000000000\r\n\r\n",
		repeat: "busy ",
		known:  true,
		want:   "not-run shed",
	},
	"body without length": {
		start:  "HTTP/1.1 200 OK\r\nSkylarkbeam-Request: %ID\r\n\r\n",
		repeat: "data",
		known:  true,
		want:   "unknown truncated",
	},
	"after the body": {
		start:  "HTTP/1.1 200 OK\r\nSkylarkbeam-Request: %ID\r\nSkylarkbeam-Instance: i\r\nContent-Length: 0\r\n\r\n",
		repeat: "HTTP/1.1 200 OK\r\n",
		known:  true,
		want:   "mismatched", // complete, with a body unlike that of the stand-in
	},
}

// Guards against a call that outlives its deadline, or a response that looks whole or not run, when a target sends bytes
// without end, and against a connection that stays open after that. The target sends them as fast as the connection
// takes them, or byte by byte.
func TestEndless(t *testing.T) {
	const (
		timeout = 400 * time.Millisecond
		margin  = 250 * time.Millisecond // for a busy machine
	)
	for name, test := range endlessResponses {
		for _, drip := range []time.Duration{0, 2 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s drip=%s", name, drip), func(t *testing.T) {
				t.Parallel()
				target, p := endlessPool(t, test.start, test.repeat, test.unread, drip)
				call := newCall("POST", "/", "", "")
				call.Idempotent = false
				call.Timeout = timeout
				start := time.Now()
				have := send(t.Context(), p, call)
				elapsed := time.Since(start)
				want := test.want
				if drip > 0 && !test.known && want == "unknown broken" {
					want = "unknown silent"
				}
				assert.Equal(t, have, want)
				limit := timeout + margin
				if drip == 0 || test.known {
					limit = timeout // at once, and not at the deadline
				}
				assert.Assert(t, elapsed < limit, "ended after %s", elapsed)
				p.Close()
				waitClosed(t, target)
			})
		}
	}
}

// Guards against bytes without end in response to a load read: it must end in time, its connection must not carry a call,
// and must be closed in the end.
func TestEndlessLoadRead(t *testing.T) {
	for name, test := range endlessResponses {
		if test.want == "mismatched" {
			continue
		}
		for _, drip := range []time.Duration{0, 2 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s drip=%s", name, drip), func(t *testing.T) {
				t.Parallel()
				target, p := endlessPool(t, test.start, test.repeat, test.unread, drip)
				start := time.Now()
				_, err := p.ReadLoad(t.Context())
				assert.Assert(t, err != nil)
				assert.Assert(t, time.Since(start) < time.Second)
				assert.Assert(t, p.takeIdle(newCall("GET", "/", "", ""), time.Now()) == nil)
				p.Close()
				waitClosed(t, target)
			})
		}
	}
}

// Guards against memory that grows with what targets in trouble send: 100 of them at once must take less than the 64 MB
// that an entry has for control.
func TestEndlessMemory(t *testing.T) {
	const targets, limit = 100, 64 << 20
	for _, name := range []string{"header value", "headers", "informational responses", "chunk extension", "trailer"} {
		t.Run(name, func(t *testing.T) {
			test := endlessResponses[name]
			var sending sync.WaitGroup
			runtime.GC()
			var before, now runtime.MemStats
			runtime.ReadMemStats(&before)
			for range targets {
				_, p := endlessPool(t, test.start, test.repeat, test.unread, 0)
				sending.Go(func() {
					call := newCall("GET", "/", "", "")
					call.Timeout = time.Second
					send(t.Context(), p, call)
				})
			}
			ended := make(chan struct{})
			go func() {
				sending.Wait()
				close(ended)
			}()
			peak := uint64(0)
			for running := true; running; {
				select {
				case <-ended:
					running = false
				case <-time.After(5 * time.Millisecond):
				}
				runtime.GC()
				runtime.ReadMemStats(&now)
				peak = max(peak, now.HeapAlloc)
			}
			t.Logf("%d MB more at the peak", (int64(peak)-int64(before.HeapAlloc))>>20)
			assert.Assert(t, int64(peak)-int64(before.HeapAlloc) < limit)
		})
	}
}

// endlessPool starts a target that sends bytes without end, and returns a pool of connections to it.
func endlessPool(t *testing.T, start, repeat string, unread bool, drip time.Duration) (*endlessTarget, *Pool) {
	target := &endlessTarget{
		start:  func(id string) string { return strings.ReplaceAll(start, "%ID", id) },
		repeat: repeat,
		unread: unread,
		drip:   drip,
	}
	startEndlessTarget(t, target)
	timers := timer.New()
	budget := NewAverageProbeBudget(100, time.Second)
	p := New(Options{
		Name:        "endless",
		Address:     target.address,
		ProbeBudget: budget,
		Timers:      timers,
		OnReport:    func(outcome.Report) {},
	})
	t.Cleanup(p.Close)
	return target, p
}

// waitClosed waits until all connections to the target are closed.
func waitClosed(t *testing.T, target *endlessTarget) {
	t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	for target.open.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, target.open.Load(), int64(0), "open connections")
}
