package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// copyingTarget refuses each call once. It sends each refusal a second time, where the response to a later request is
// due on the same connection: lag requests later.
type copyingTarget struct {
	ln  net.Listener
	lag int

	mu   sync.Mutex
	seen map[string]int // requests by ID
	runs map[string]int // executions by ID
}

func startCopyingTarget(t *testing.T, lag int, change func(*Options)) (*copyingTarget, *Pool) {
	t.Helper()
	ln, err := net.Listen("tcp", loopback.String())
	assert.NilError(t, err)
	target := &copyingTarget{
		ln:   ln,
		lag:  lag,
		seen: map[string]int{},
		runs: map[string]int{},
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go target.serve(nc)
		}
	}()
	opts := Options{
		Name:    "worker",
		Address: ln.Addr().(*net.TCPAddr).AddrPort(),
	}
	if change != nil {
		change(&opts)
	}
	p := New(opts)
	t.Cleanup(func() {
		p.Close()
		_ = ln.Close()
	})
	return target, p
}

func (c *copyingTarget) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	refusals := map[int]string{} // by the number of the request before whose response they are sent again
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(HeaderRequest)
		if _, err := io.WriteString(nc, refusals[n]); err != nil {
			return
		}
		if _, err := io.WriteString(nc, c.respond(id, func(refusal string) { refusals[n+c.lag] = refusal })); err != nil {
			return
		}
	}
}

func (c *copyingTarget) respond(id string, refused func(string)) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[id]++
	if c.seen[id] == 1 && strings.HasPrefix(id, "again") {
		refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: not-run\r\nContent-Length: 0\r\n\r\n",
			HeaderRequest, id, HeaderOutcome)
		refused(refusal)
		return refusal
	}
	c.runs[id]++
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderRequest, id)
}

func (c *copyingTarget) runsOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// Guards against a late copy of a refusal that is taken for the response to the next attempt of the same call, which
// was executed. The control sends that attempt on the connection on which the call was refused.
func TestCopiedRefusal(t *testing.T) {
	tests := []struct {
		name string
		lag  int // other calls on the connection between the two attempts, plus one
		max  int // connections; 0 for the default
	}{
		{
			name: "next call",
			lag:  1,
		},
		{
			name: "all connections in use",
			lag:  1,
			max:  1,
		},
		{
			name: "calls in between",
			lag:  3,
		},
	}
	for _, tt := range tests {
		for disabled, want := range map[bool]string{false: "200", true: "not-run shed"} {
			t.Run(fmt.Sprintf("%s/disabled=%v", tt.name, disabled), func(t *testing.T) {
				target, p := startCopyingTarget(t, tt.lag, func(o *Options) { o.MaxConnections = tt.max })
				p.disabled.refusedCheck = disabled
				attempt := func(id string) string {
					call := newCall("POST", "/", "key", "body")
					call.ID = id
					have := send(t.Context(), p, call)
					if have == "mismatched" { // The response has no body of the stand-in.
						have = "200"
					}
					return have
				}
				assert.Equal(t, attempt("again"), "not-run shed")
				for i := range tt.lag - 1 {
					assert.Equal(t, attempt(fmt.Sprint("other-", i)), "200")
				}
				assert.Equal(t, attempt("again"), want)
				waitUntil(t, func() bool { return target.runsOf("again") == 1 })
			})
		}
	}
}

// Guards against a connection that is used without limit after refusals, each of which has to be remembered.
func TestManyRefusals(t *testing.T) {
	_, p := startCopyingTarget(t, 1000, nil)
	first := ""
	for i := range 3 * maxRefusals {
		call := newCall("POST", "/", "key", "")
		call.ID = fmt.Sprint("again-", i)
		assertSend(t, p, call, "not-run shed")
		for _, c := range p.idle {
			assert.Assert(t, len(c.refused) < maxRefusals)
			if first == "" {
				first = c.nc.LocalAddr().String()
			}
		}
	}
	assert.Assert(t, len(p.idle) == 0 || p.idle[0].nc.LocalAddr().String() != first, "the first connection is still open")
}

func waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(5 * time.Second); !holds(); {
		assert.Assert(t, time.Now().Before(limit), "did not happen in time")
		time.Sleep(time.Millisecond)
	}
}
