package target

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
	"skylarkbeam/standin"
)

// Guards against header fields that reach the wrong side: hop-by-hop fields, the caller's Idempotency-Key, and forged
// fields of the protocol between entries and targets.
func TestHeader(t *testing.T) {
	// The value sent, the value wanted at the target, and the value wanted at the caller if the target sends it.
	tests := map[string][3]string{
		"Accept":               {"text/plain", "text/plain", "text/plain"},
		"Skylarkbeam-Caller":   {"tablet", "tablet", "tablet"},
		"X-Named":              {"x", "", ""},
		"X-Also-Named":         {"x", "", ""},
		"Keep-Alive":           {"timeout=5", "", ""},
		"Proxy-Connection":     {"keep-alive", "", ""},
		"Te":                   {"trailers", "", ""},
		"Upgrade":              {"websocket", "", ""},
		"Proxy-Authorization":  {"secret", "", ""},
		"Expect":               {"100-continue", "", "100-continue"},
		"Idempotency-Key":      {"key", "", "key"},
		"Skylarkbeam-Key":      {"forged", "key", "forged"},
		"Skylarkbeam-Phase":    {"warm", "", ""},
		"Skylarkbeam-Instance": {"forged", "", ""},
		"Skylarkbeam-Outcome":  {"answered", "", ""},
		"User-Agent":           {"", "", ""},
	}
	var received *http.Request
	p := startHandler(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r
		w.Header().Set("Connection", "X-Named, x-also-named")
		for name, test := range tests {
			w.Header().Set(name, test[0])
		}
		w.Header().Set("Skylarkbeam-Request", r.Header.Get("Skylarkbeam-Request"))
	}))
	call := newCall("GET", "/a%2Fb?c=d", "", "")
	call.Host = "example.test"
	call.Header.Set("Connection", "X-Named,close , x-also-named")
	for name, test := range tests {
		if test[0] != "" {
			call.Header.Set(name, test[0])
		}
	}
	answered := p.Send(t.Context(), call).(*outcome.Answered)
	assert.Equal(t, received.RequestURI, "/a%2Fb?c=d")
	assert.Equal(t, received.Host, "example.test")
	left, err := time.ParseDuration(received.Header.Get("Skylarkbeam-Timeout"))
	assert.NilError(t, err)
	assert.Assert(t, left > time.Second && left <= call.Timeout)
	for name, test := range tests {
		assert.Equal(t, received.Header.Get(name), test[1], name)
		assert.Equal(t, answered.Header.Get(name), test[2], name)
	}
	assert.Equal(t, call.Header.Get("Connection"), "X-Named,close , x-also-named", "the caller's header was changed")
}

// startHandler returns a pool that leads to a handler.
func startHandler(t *testing.T, h http.Handler) *Pool {
	t.Helper()
	ln, err := net.Listen("tcp", loopback.String())
	assert.NilError(t, err)
	s := http.Server{
		Handler: h,
	}
	go func() { _ = s.Serve(ln) }()
	p := New(Options{
		Address: ln.Addr().(*net.TCPAddr).AddrPort(),
	})
	t.Cleanup(func() {
		p.Close()
		_ = s.Close()
		<-p.Done()
	})
	return p
}

// Guards against streams that are sent twice or accepted as complete when they are not.
func TestStream(t *testing.T) {
	tests := []struct {
		name     string
		stream   string
		length   int64
		fault    standin.Fault
		want     string
		wantRuns int
	}{
		{
			name:     "length",
			stream:   "0123456789",
			length:   10,
			want:     "complete",
			wantRuns: 1,
		},
		{
			name:     "chunked",
			stream:   "0123456789",
			length:   -1,
			want:     "complete",
			wantRuns: 1,
		},
		{
			name:     "empty",
			want:     "complete",
			wantRuns: 1,
		},
		{
			name:   "short",
			stream: "01234",
			length: 10,
			want:   "not-run canceled",
		},
		{
			name:   "long and short",
			stream: strings.Repeat("0", 9000),
			length: 10000,
			want:   "unknown canceled",
		},
		{
			name:     "broken",
			stream:   "0123456789",
			length:   10,
			fault:    standin.FaultCloseBeforeResponse,
			want:     "unknown broken",
			wantRuns: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target, p := startTarget(t, standin.Behavior{}, nil)
			assertSend(t, p, newCall("GET", "/", "", ""), "complete")
			target.InjectFaults(test.fault)
			call := newCall("PUT", "/x", "key", test.stream)
			call.Idempotent = true
			call.Stream = strings.NewReader(test.stream)
			call.StreamLength = test.length
			assertSend(t, p, call, test.want)
			assert.Equal(t, target.RunsForKey("key"), test.wantRuns)
		})
	}
}

// Guards against Unknown for a call of which nothing was written, and against NotRun once a byte was written.
func TestWritten(t *testing.T) {
	for limit, want := range map[int]string{
		0:  "not-run broken",
		1:  "unknown broken",
		40: "unknown broken", // half a head
	} {
		t.Run(fmt.Sprint(limit, " bytes"), func(t *testing.T) {
			p := New(Options{
				Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
					return &brokenConn{
						limit: limit,
					}, nil
				},
			})
			defer p.Close()
			assertSend(t, p, newCall("POST", "/", "key", ""), want)
			assert.Equal(t, p.OpenConnections(), 0)
		})
	}
}

// brokenConn is a connection that breaks after it has accepted limit bytes.
type brokenConn struct {
	net.Conn
	limit int
}

func (b *brokenConn) Write(p []byte) (int, error) {
	n := min(b.limit, len(p))
	b.limit -= n
	return n, io.ErrClosedPipe
}

func (b *brokenConn) Read([]byte) (int, error)    { return 0, io.ErrClosedPipe }
func (b *brokenConn) Close() error                { return nil }
func (b *brokenConn) SetDeadline(time.Time) error { return nil }

// Measures a call on a reused connection, including the target, which runs in the same process.
func BenchmarkSend(b *testing.B) {
	_, p := startTarget(b, standin.Behavior{
		Slots:       1000,
		DiscardRuns: true,
	}, nil)
	benchmarkSend(b, p)
}

// Measures the pool alone, on an in-memory connection that responds to each request at once.
func BenchmarkSendMemory(b *testing.B) {
	p := New(Options{
		Dial: func(context.Context, netip.AddrPort) (net.Conn, error) { return &echoConn{}, nil },
	})
	defer p.Close()
	benchmarkSend(b, p)
}

func benchmarkSend(b *testing.B, p *Pool) {
	call := newCall("GET", "/stock?size=512", "", "")
	call.Header.Set("Skylarkbeam-Caller", "tablet")
	call.Header.Set("Accept", "application/json")
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		assert.NilError(b, readBody(p.Send(ctx, call)))
	}
}

// echoConn is an in-memory connection that responds to each request at once.
type echoConn struct {
	net.Conn
	out bytes.Buffer
}

func (e *echoConn) Write(p []byte) (int, error) {
	_, rest, _ := bytes.Cut(p, []byte("Skylarkbeam-Request: "))
	id, _, _ := bytes.Cut(rest, []byte("\r\n"))
	e.out.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Type: text/plain\r\nSkylarkbeam-Request: ")
	e.out.Write(id)
	e.out.WriteString("\r\nSkylarkbeam-Instance: 0123456789abcdef\r\nSkylarkbeam-Phase: warm\r\nSkylarkbeam-Load: 1/2/0\r\n\r\nhello")
	return len(p), nil
}

func (e *echoConn) Read(p []byte) (int, error)      { return e.out.Read(p) }
func (e *echoConn) Close() error                    { return nil }
func (e *echoConn) SetDeadline(time.Time) error     { return nil }
func (e *echoConn) SetReadDeadline(time.Time) error { return nil }
