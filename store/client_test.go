package store

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rawServer answers each request of a connection by the answer with the same index, or closes the connection after it
// has read the whole request if there is none left.
type rawServer struct {
	address  netip.AddrPort
	requests atomic.Int64
}

func serveRaw(t *testing.T, answers ...string) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &rawServer{
		address: netip.MustParseAddrPort(listener.Addr().String()),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, answers)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn, answers []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.requests.Add(1)
		if i >= len(answers) {
			return
		}
		_, _ = io.WriteString(conn, answers[i])
	}
}

func answer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// Guards against an error that claims to know more about the effect than the client can.
func TestClientKinds(t *testing.T) {
	whole := answer(200, `{"versions":{"k":1}}`)
	type test struct {
		name    string
		want    ErrorKind
		answers []string
	}
	answered := func(name string, want ErrorKind, answers ...string) test {
		return test{
			name:    name,
			want:    want,
			answers: answers,
		}
	}
	tests := []test{
		answered("closed after the request", Ambiguous),
		answered("answer cut short", Ambiguous, whole[:len(whole)-3]),
		answered("head cut short", Ambiguous, whole[:20]),
		answered("no JSON", Ambiguous, answer(200, "hello")),
		answered("silence", Ambiguous, ""),
		answered("server error", Ambiguous, answer(500, "")),
		answered("gateway error", Ambiguous, answer(502, `{"kind":"down"}`)),
		answered("unavailable without a kind", Ambiguous, answer(503, "")),
		answered("unavailable", Unavailable, answer(503, `{"kind":"down"}`)),
		answered("too many requests without a kind", Throttled, answer(429, "slow down")),
		answered("rejected", Invalid, answer(400, `{"kind":"invalid"}`)),
		answered("redirected", Ambiguous, "HTTP/1.1 307 x\r\nLocation: /platform/commit\r\nContent-Length: 0\r\n\r\n"),
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := serveRaw(t, test.answers...)
			client := NewClient(ClientOptions{
				Address: server.address,
				Timeout: 200 * time.Millisecond,
			})
			defer client.Close()
			_, err := client.Commit(t.Context(), Transaction{})
			assert.Assert(t, err != nil)
			assert.Equal(t, KindOf(err), test.want, "error %v", err)
			assert.Equal(t, server.requests.Load(), int64(1))
		})
	}
}

// Guards against Lost for a request that no connection has carried; claims would then wait for a read-back.
func TestClientDown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	refused := netip.MustParseAddrPort(listener.Addr().String())
	assert.NilError(t, listener.Close())
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	tests := []struct {
		name string
		ctx  context.Context
		dial func(context.Context, string, string) (net.Conn, error)
	}{
		{
			name: "connection refused",
			ctx:  t.Context(),
		},
		{
			name: "context ended",
			ctx:  canceled,
		},
		{
			name: "dial takes too long",
			ctx:  t.Context(),
			dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
		},
		{
			name: "connection closed before the first byte",
			ctx:  t.Context(),
			dial: func(context.Context, string, string) (net.Conn, error) {
				conn, _ := net.Pipe()
				return conn, conn.Close()
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := NewClient(ClientOptions{
				Address: refused,
				Timeout: 100 * time.Millisecond,
				Dial:    test.dial,
			})
			defer client.Close()
			_, err := client.Commit(test.ctx, Transaction{})
			assert.Assert(t, err != nil)
			assert.Equal(t, KindOf(err), Unavailable, "error %v", err)
		})
	}
}

// Guards against a commit that is sent again when a kept connection breaks. The client of net/http, given a body that
// can be read again and an idempotency key, does that.
func TestClientSendsOnce(t *testing.T) {
	server := serveRaw(t, answer(200, `{}`))
	client := NewClient(ClientOptions{
		Address: server.address,
	})
	defer client.Close()
	_, err := client.Commit(t.Context(), Transaction{})
	assert.NilError(t, err)
	_, err = client.Commit(t.Context(), Transaction{})
	assert.Equal(t, KindOf(err), Ambiguous, "error %v", err)
	assert.Equal(t, server.requests.Load(), int64(2))

	server = serveRaw(t, answer(200, `{}`))
	control := &http.Client{
		Transport: &http.Transport{},
	}
	defer control.CloseIdleConnections()
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://"+server.address.String(), strings.NewReader("{}"))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", "k")
		resp, err := control.Do(req)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	assert.Equal(t, server.requests.Load(), int64(3))
}

// Guards against a request that leaves after its error was reported as Down.
func TestSealedConn(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	conn := &sealableConn{
		Conn: client,
	}
	conn.begin()
	assert.Equal(t, conn.seal(), false)
	_, err := conn.Write([]byte("x"))
	assert.ErrorContains(t, err, "given up")
}

// Guards against the loss of a commit to a kept connection that the server has closed meanwhile.
func TestClientStaleConnection(t *testing.T) {
	server := serveRaw(t, answer(200, `{}`))
	var first *sealableConn
	client := NewClient(ClientOptions{
		Address: server.address,
	})
	defer client.Close()
	dial := client.http.Transport.(*http.Transport).DialContext
	client.http.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if first == nil {
			first = conn.(*sealableConn)
		}
		return conn, err
	}
	_, err := client.Commit(t.Context(), Transaction{})
	assert.NilError(t, err)
	first.mu.Lock()
	first.sealed = true // Its next write fails before the first byte.
	first.mu.Unlock()
	_, err = client.Commit(t.Context(), Transaction{})
	assert.NilError(t, err)
	assert.Equal(t, server.requests.Load(), int64(2))
}
