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

// scriptedServer sends the i-th response to the i-th request of each connection. When no response is left, it reads the
// request and closes the connection.
type scriptedServer struct {
	address  netip.AddrPort
	requests atomic.Int64
}

func startScriptedServer(t *testing.T, responses ...string) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedServer{
		address: netip.MustParseAddrPort(listener.Addr().String()),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, responses)
		}
	}()
	return s
}

func (s *scriptedServer) serve(conn net.Conn, responses []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.requests.Add(1)
		if i >= len(responses) {
			return
		}
		_, _ = io.WriteString(conn, responses[i])
	}
}

func response(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// Guards against an error kind that rules out an effect that the request may have had.
func TestClientKinds(t *testing.T) {
	whole := response(200, `{"versions":{"k":1}}`)
	type test struct {
		name      string
		want      ErrorKind
		responses []string
	}
	newTest := func(name string, want ErrorKind, responses ...string) test {
		return test{
			name:      name,
			want:      want,
			responses: responses,
		}
	}
	tests := []test{
		newTest("closed after the request", Ambiguous),
		newTest("truncated body", Ambiguous, whole[:len(whole)-3]),
		newTest("truncated body without a length", Ambiguous, "HTTP/1.1 200 x\r\n\r\n"+`{"versions":{"k":1}`),
		newTest("truncated body with a malformed length", Ambiguous, "HTTP/1.1 200 x\r\nContent-Length : 9\r\n\r\n"+`{"versions":{"k":1}`),
		newTest("truncated header", Ambiguous, whole[:20]),
		newTest("no JSON", Ambiguous, response(200, "hello")),
		newTest("no response", Ambiguous, ""),
		newTest("server error", Ambiguous, response(500, "")),
		newTest("gateway error", Ambiguous, response(502, `{"kind":"down"}`)),
		newTest("unavailable without a kind", Ambiguous, response(503, "")),
		newTest("unavailable", Unavailable, response(503, `{"kind":"down"}`)),
		newTest("too many requests without a kind", Throttled, response(429, "slow down")),
		newTest("rejected", Invalid, response(400, `{"kind":"invalid"}`)),
		newTest("redirected", Ambiguous, "HTTP/1.1 307 x\r\nLocation: /platform/commit\r\nContent-Length: 0\r\n\r\n"),
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := startScriptedServer(t, test.responses...)
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

// Guards against Ambiguous for a request that was never written to a connection. Claims would read back its result
// without need.
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
			name: "dial timeout",
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

// Guards against a commit that is sent twice because a reused connection breaks. As a control, http.Client does so if
// the body can be read again and the request has an Idempotency-Key.
func TestClientSendsOnce(t *testing.T) {
	server := startScriptedServer(t, response(200, `{}`))
	client := NewClient(ClientOptions{
		Address: server.address,
	})
	defer client.Close()
	_, err := client.Commit(t.Context(), Transaction{})
	assert.NilError(t, err)
	_, err = client.Commit(t.Context(), Transaction{})
	assert.Equal(t, KindOf(err), Ambiguous, "error %v", err)
	assert.Equal(t, server.requests.Load(), int64(2))

	server = startScriptedServer(t, response(200, `{}`))
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

// Guards against a write to a connection after its request was reported as Unavailable.
func TestAbortedConn(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	conn := &trackedConn{
		Conn: client,
	}
	conn.startRequest()
	assert.Equal(t, conn.abort(), false)
	_, err := conn.Write([]byte("x"))
	assert.ErrorContains(t, err, "connection was aborted")
}

// Guards against a commit that fails because the server has closed the idle connection on which it is sent.
func TestClientStaleConnection(t *testing.T) {
	server := startScriptedServer(t, response(200, `{}`))
	var first *trackedConn
	client := NewClient(ClientOptions{
		Address: server.address,
	})
	defer client.Close()
	dial := client.httpClient.Transport.(*http.Transport).DialContext
	client.httpClient.Transport.(*http.Transport).DialContext = func(
		ctx context.Context, network, address string,
	) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if first == nil {
			first = conn.(*trackedConn)
		}
		return conn, err
	}
	_, err := client.Commit(t.Context(), Transaction{})
	assert.NilError(t, err)
	first.mu.Lock()
	first.aborted = true // The next write fails before the first byte.
	first.mu.Unlock()
	_, err = client.Commit(t.Context(), Transaction{})
	assert.NilError(t, err)
	assert.Equal(t, server.requests.Load(), int64(2))
}
