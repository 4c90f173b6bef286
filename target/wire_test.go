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

// Guards against fields that reach the wrong side: hop-by-hop fields, the caller's Idempotency-Key, and forged fields
// of the messages between entries and targets.
func TestHeader(t *testing.T) {
	// The value sent, what is wanted of it at the target, and what at the caller if the target sends the value.
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
	var got *http.Request
	p := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
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
	assert.Equal(t, got.RequestURI, "/a%2Fb?c=d")
	assert.Equal(t, got.Host, "example.test")
	left, err := time.ParseDuration(got.Header.Get("Skylarkbeam-Timeout"))
	assert.NilError(t, err)
	assert.Assert(t, left > time.Second && left <= call.Timeout)
	for name, test := range tests {
		assert.Equal(t, got.Header.Get(name), test[1], name)
		assert.Equal(t, answered.Header.Get(name), test[2], name)
	}
	assert.Equal(t, call.Header.Get("Connection"), "X-Named,close , x-also-named", "the caller's header was changed")
}

// serve returns a pool that leads to a handler.
func serve(t *testing.T, h http.Handler) *Pool {
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

// Guards against streams that are sent twice or taken for whole when they are not.
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
			want:     "whole",
			wantRuns: 1,
		},
		{
			name:     "chunked",
			stream:   "0123456789",
			length:   -1,
			want:     "whole",
			wantRuns: 1,
		},
		{
			name:     "empty",
			want:     "whole",
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
			target, p := start(t, standin.Behavior{}, nil)
			expect(t, p, newCall("GET", "/", "", ""), "whole")
			target.InjectFaults(test.fault)
			call := newCall("PUT", "/x", "key", test.stream)
			call.Idempotent = true
			call.Stream = strings.NewReader(test.stream)
			call.StreamLength = test.length
			expect(t, p, call, test.want)
			assert.Equal(t, target.RunsForKey("key"), test.wantRuns)
		})
	}
}

// Guards against "unknown" for a call of which nothing was written, and against "not run" once a byte was.
func TestWritten(t *testing.T) {
	for takes, want := range map[int]string{
		0:  "not-run broken",
		1:  "unknown broken",
		40: "unknown broken", // half a head
	} {
		t.Run(fmt.Sprint(takes, " bytes"), func(t *testing.T) {
			p := New(Options{
				Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
					return &breaking{
						takes: takes,
					}, nil
				},
			})
			defer p.Close()
			expect(t, p, newCall("POST", "/", "key", ""), want)
			assert.Equal(t, p.OpenConnections(), 0)
		})
	}
}

// breaking is a connection that breaks after it has taken a number of bytes.
type breaking struct {
	net.Conn
	takes int
}

func (b *breaking) Write(p []byte) (int, error) {
	n := min(b.takes, len(p))
	b.takes -= n
	return n, io.ErrClosedPipe
}

func (b *breaking) Read([]byte) (int, error)    { return 0, io.ErrClosedPipe }
func (b *breaking) Close() error                { return nil }
func (b *breaking) SetDeadline(time.Time) error { return nil }

// Measures a call on a reused connection. The figures include the stand-in, which runs in the same process.
func BenchmarkSend(b *testing.B) {
	_, p := start(b, standin.Behavior{
		Slots:       1000,
		DiscardRuns: true,
	}, nil)
	benchmarkSend(b, p)
}

// Measures the pool without a target: a connection in memory that answers each request at once.
func BenchmarkSendMemory(b *testing.B) {
	p := New(Options{
		Dial: func(context.Context, netip.AddrPort) (net.Conn, error) { return &echo{}, nil },
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
		assert.NilError(b, drain(p.Send(ctx, call)))
	}
}

type echo struct {
	net.Conn
	out bytes.Buffer
}

func (e *echo) Write(p []byte) (int, error) {
	_, rest, _ := bytes.Cut(p, []byte("Skylarkbeam-Request: "))
	id, _, _ := bytes.Cut(rest, []byte("\r\n"))
	e.out.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Type: text/plain\r\nSkylarkbeam-Request: ")
	e.out.Write(id)
	e.out.WriteString("\r\nSkylarkbeam-Instance: 0123456789abcdef\r\nSkylarkbeam-Phase: warm\r\nSkylarkbeam-Load: 1/2/0\r\n\r\nhello")
	return len(p), nil
}

func (e *echo) Read(p []byte) (int, error)      { return e.out.Read(p) }
func (e *echo) Close() error                    { return nil }
func (e *echo) SetDeadline(time.Time) error     { return nil }
func (e *echo) SetReadDeadline(time.Time) error { return nil }
