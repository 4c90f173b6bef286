package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"skylarkbeam/memory"
	"skylarkbeam/timer"
)

// startBounded is start with limits of memory.
func startBounded(t *testing.T, limits memory.Limits, handler http.HandlerFunc) (*memory.Budget, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	budget := memory.NewBudget(limits)
	s := NewServer(Options{
		Handler: handler,
		Limits: func() Limits {
			return Limits{
				MaxHeaderBytes:    32 << 10,
				ReadHeaderTimeout: 20 * time.Second,
				IdleTimeout:       20 * time.Second,
			}
		},
		Timers: timer.New(),
		Memory: budget,
	})
	go s.Serve(l)
	t.Cleanup(s.Close)
	return budget, l.Addr().String()
}

// small returns limits that a test reaches.
func small() memory.Limits {
	return memory.Limits{
		Large:       1 << 20,
		Small:       1 << 20,
		Responses:   1 << 20,
		Heads:       64 << 10,
		Requests:    1 << 20,
		Connections: 100,
	}
}

func nothingHeld(t *testing.T, b *memory.Budget) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, p := range memory.Parts {
			if u := b.Usage(p); u.Held != 0 {
				return poll.Continue("%+v", u)
			}
		}
		return poll.Success()
	})
}

// Guards against connections without a request, or with one that does not arrive, that keep others out, and against a request
// that is cut to make room.
func TestConnectionLimit(t *testing.T) {
	for name, half := range map[string]string{
		"head": "GET / HT",
		"body": "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) { testConnectionLimit(t, half) })
	}
}

func testConnectionLimit(t *testing.T, half string) {
	limits := small()
	limits.Connections = 5
	release := make(chan struct{})
	_, address := startBounded(t, limits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		_, _ = io.Copy(io.Discard, r.Body) // Half a body is never whole.
		fmt.Fprint(w, "whole")
	})
	busy := dial(t, address)
	fmt.Fprint(busy, get("/slow"))
	time.Sleep(50 * time.Millisecond)
	var idle []net.Conn
	for range 20 {
		c := dial(t, address)
		fmt.Fprint(c, half)
		idle = append(idle, c)
	}
	c := dial(t, address)
	fmt.Fprint(c, get("/"))
	_, body := read(t, bufio.NewReader(c))
	assert.Equal(t, body, "whole")
	_, err := idle[0].Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the connection that has been without a request for the longest time is open")
	close(release)
	_, body = read(t, bufio.NewReader(busy))
	assert.Equal(t, body, "whole")
}

// Guards against large heads, half sent, that hold more memory than there is, and against memory that stays reserved after
// them.
func TestHeadLimit(t *testing.T) {
	budget, address := startBounded(t, small(), func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whole") })
	large := "GET / HTTP/1.1\r\nHost: a.example\r\nX-Large: " + strings.Repeat("x", 16<<10)
	var half []net.Conn
	for range 2 {
		c := dial(t, address)
		fmt.Fprint(c, large)
		half = append(half, c)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if u := budget.Usage(memory.Heads); u.Held != 64<<10 {
			return poll.Continue("%+v", u)
		}
		return poll.Success()
	})
	refused := dial(t, address)
	fmt.Fprint(refused, large)
	resp, _ := read(t, bufio.NewReader(refused))
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get("Retry-After"), "1")
	usual := dial(t, address)
	fmt.Fprint(usual, get("/"))
	_, body := read(t, bufio.NewReader(usual))
	assert.Equal(t, body, "whole")
	fmt.Fprint(half[0], "\r\n\r\n")
	_, body = read(t, bufio.NewReader(half[0]))
	assert.Equal(t, body, "whole")
	half[1].Close()
	nothingHeld(t, budget)
}

// Guards against a refusal that a caller cannot read because it still sends, against a body that is read to its end however
// long it is, and against its bytes being read as a request.
func TestDiscardedBody(t *testing.T) {
	tests := map[string]struct {
		head string
		body func() io.Reader
	}{
		"announced": {
			head: "Content-Length: 1000000000",
			body: func() io.Reader { return io.LimitReader(requests{}, 1_000_000_000) },
		},
		"endless": {
			head: "Transfer-Encoding: chunked",
			body: func() io.Reader { return io.MultiReader(strings.NewReader("3b9aca00\r\n"), requests{}) },
		},
	}
	for name, test := range tests {
		for _, ends := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " ends=", ends), func(t *testing.T) {
				t.Parallel()
				budget, address := startBounded(t, small(), func(w http.ResponseWriter, r *http.Request) {
					assert.Check(t, r.Method == http.MethodPost, "a part of the body is handled")
					if ends {
						w.Header().Set("Connection", "close")
					}
					http.Error(w, "refused", http.StatusRequestEntityTooLarge)
				})
				c := dial(t, address)
				sent := make(chan int64)
				go func() {
					fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a.example\r\n%s\r\n\r\n", test.head)
					n, _ := io.Copy(c, test.body()) // Fails when the connection is closed.
					sent <- n
				}()
				resp, _ := read(t, bufio.NewReader(c))
				assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
				n := <-sent
				assert.Assert(t, n < 100<<20, "%d MB were read", n>>20)
				nothingHeld(t, budget)
			})
		}
	}
}

// requests is a body that looks like requests.
type requests struct{}

func (requests) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], "GET /unasked HTTP/1.1\r\nHost: a.example\r\n\r\n")
	}
	return n, nil
}

// Guards against a short rest of a body that costs the connection.
func TestShortRest(t *testing.T) {
	_, address := startBounded(t, small(), func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "refused") })
	c := dial(t, address)
	br := bufio.NewReader(c)
	for range 3 {
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10000\r\n\r\n%s", strings.Repeat("x", 10000))
		resp, body := read(t, br)
		assert.Equal(t, body, "refused")
		assert.Assert(t, !resp.Close)
	}
}

// Guards against a sender that stops and keeps what its body holds.
func TestSlowBody(t *testing.T) {
	failed := make(chan error, 1)
	_, address := startBounded(t, small(), func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		failed <- err
		w.Header().Set("Connection", "close")
		http.Error(w, "slow", http.StatusServiceUnavailable)
	})
	c := dial(t, address)
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1000000\r\n\r\nabc")
	resp, _ := read(t, bufio.NewReader(c))
	assert.ErrorIs(t, <-failed, ErrSlow)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
}

// Guards against responses behind a slow one that hold more memory than there is, and against memory that stays reserved
// after them.
func TestHeldResponses(t *testing.T) {
	limits := small()
	limits.Responses = 100 << 10
	release := make(chan struct{})
	budget, address := startBounded(t, limits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		w.Write(make([]byte, 90<<10))
	})
	c := dial(t, address)
	fmt.Fprint(c, get("/slow"), get("/"), get("/"), get("/"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if u := budget.Usage(memory.Responses); u.Held == 0 || u.Refused < 2 {
			return poll.Continue("%+v", u)
		}
		return poll.Success()
	})
	assert.Assert(t, budget.Usage(memory.Responses).Held <= 100<<10)
	close(release)
	br := bufio.NewReader(c)
	for range 4 {
		_, body := read(t, br)
		assert.Equal(t, len(body), 90<<10)
	}
	nothingHeld(t, budget)
}
