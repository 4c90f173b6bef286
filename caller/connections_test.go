package caller

import (
	"bufio"
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
	"gotest.tools/v3/poll"

	"skylarkbeam/memory"
	"skylarkbeam/timer"
)

// startShared starts servers that share a limit of connections, each with a handler. Requests at the second one may be interrupted.
func startShared(t *testing.T, limits memory.Limits, handlers ...http.HandlerFunc) (*memory.Budget, []string) {
	t.Helper()
	budget := memory.NewBudget(limits)
	shared := NewConnections(budget)
	var addresses []string
	for i, handler := range handlers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		o := Options{
			Handler:     handler,
			Connections: shared,
			Share:       1 / float64(len(handlers)),
			Limits: func() Limits {
				return Limits{
					MaxHeaderBytes:    32 << 10,
					ReadHeaderTimeout: 20 * time.Second,
					IdleTimeout:       20 * time.Second,
				}
			},
			Timers: timer.New(),
			Memory: budget,
		}
		if i == 1 {
			o.Interruptible = func(*http.Request) bool { return true }
		}
		s := NewServer(o)
		go s.Serve(l)
		t.Cleanup(s.Close)
		addresses = append(addresses, l.Addr().String())
	}
	return budget, addresses
}

func answer(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whole") }

// answered sends a request on a connection and fails if it is not answered.
func answered(t *testing.T, c net.Conn) {
	t.Helper()
	fmt.Fprint(c, get("/"))
	_, body := read(t, bufio.NewReader(c))
	assert.Equal(t, body, "whole")
}

// Guards against a crowd at one address that keeps clients out at another one, or closes the connections on which others were
// answered.
func TestSharedLimit(t *testing.T) {
	for name, text := range map[string]string{
		"silent": "",
		"head":   "GET / HT",
		"body":   "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\nabc",
		"wait":   "GET /wait HTTP/1.1\r\nHost: a.example\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			limits := small()
			limits.Connections = 16
			handler := func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/wait" {
					<-r.Context().Done()
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				answer(w, r)
			}
			_, addresses := startShared(t, limits, answer, handler)
			callers, members := dial(t, addresses[0]), dial(t, addresses[1])
			answered(t, callers)
			answered(t, members)
			for range 100 {
				fmt.Fprint(dial(t, addresses[1]), text)
			}
			answered(t, callers)
			if name != "wait" { // Requests that wait are not distinguished from those of members that wait.
				answered(t, members)
			}
			answered(t, dial(t, addresses[0]))
			answered(t, dial(t, addresses[1]))
		})
	}
}

// Guards against requests that may run at one address and take the place that belongs to others.
func TestSharedRunning(t *testing.T) {
	limits := small()
	limits.Connections = 16
	release := make(chan struct{})
	_, addresses := startShared(t, limits, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answer(w, r)
	}, answer)
	var running []net.Conn
	for range 12 {
		c := dial(t, addresses[0])
		fmt.Fprint(c, get("/"))
		running = append(running, c)
	}
	time.Sleep(50 * time.Millisecond)
	refused := dial(t, addresses[0])
	_, err := refused.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "there are more connections than the share allows")
	for range 4 {
		answered(t, dial(t, addresses[1]))
	}
	close(release)
	for _, c := range running {
		_, body := read(t, bufio.NewReader(c))
		assert.Equal(t, body, "whole")
	}
}

// Guards against clients that do not read their responses and keep others out, and against their memory.
func TestStalledClients(t *testing.T) {
	limits := small()
	limits.Connections = 4
	budget, address := startBounded(t, limits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/" {
			answer(w, r)
			return
		}
		if h, ok := w.(interface{ HoldBody(n int64) bool }); !ok || !h.HoldBody(1<<20) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(64<<20))
		for range 64 {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				return
			}
		}
	})
	for range 4 {
		c := dial(t, address)
		fmt.Fprint(c, get("/large"))
		_, _ = c.Read(make([]byte, 1)) // The connection may have been closed to make room.
	}
	time.Sleep(2 * stallNotice)
	answered(t, dial(t, address))
	c := dial(t, address)
	fmt.Fprint(c, get("/large"))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, "clients that do not read keep the memory")
	c.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if u := budget.Usage(memory.Responses); u.Held > 1<<20 {
			return poll.Continue("%+v", u)
		}
		return poll.Success()
	})
}

// Guards against a limit that becomes lower than the number of open connections and then keeps all clients out.
func TestLoweredLimit(t *testing.T) {
	limits := small()
	budget, address := startBounded(t, limits, answer)
	for range 80 {
		answered(t, dial(t, address))
	}
	limits.Connections = 10
	budget.SetLimits(time.Now(), limits)
	answered(t, dial(t, address))
}

// Guards against memory for fields, which take far more than their bytes, and against memory that stays reserved after them.
func TestManyFields(t *testing.T) {
	release := make(chan struct{})
	budget, address := startBounded(t, small(), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		answer(w, r)
	})
	many := strings.Repeat("a:\r\n", 300)
	held := dial(t, address)
	fmt.Fprint(held, get("/slow", many))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if u := budget.Usage(memory.Heads); u.Held < 236*fieldBytes {
			return poll.Continue("%+v", u)
		}
		return poll.Success()
	})
	refused := dial(t, address)
	fmt.Fprint(refused, get("/", many))
	resp, _ := read(t, bufio.NewReader(refused))
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	answered(t, dial(t, address))
	close(release)
	_, body := read(t, bufio.NewReader(held))
	assert.Equal(t, body, "whole")
	nothingHeld(t, budget)
}

// Guards against pipelined requests that are handled beside each other without memory for them, against ones that are not handled
// once there is some, and against memory that stays reserved after them.
func TestPipelinedMemory(t *testing.T) {
	limits := small()
	limits.Requests = 2 * memory.RequestBytes
	entered, release := make(chan struct{}, 100), make(chan struct{})
	budget, address := startBounded(t, limits, func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-release
		answer(w, r)
	})
	var conns []net.Conn
	for range 2 {
		c := dial(t, address)
		fmt.Fprint(c, strings.Repeat(get("/"), 10))
		conns = append(conns, c)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if u := budget.Usage(memory.Requests); u.Waiting != 2 {
			return poll.Continue("%+v", u)
		}
		return poll.Success()
	})
	assert.Equal(t, len(entered), 4, "one request of each connection and two others")
	close(release)
	for _, c := range conns {
		br := bufio.NewReader(c)
		for range 10 {
			_, body := read(t, br)
			assert.Equal(t, body, "whole")
		}
	}
	nothingHeld(t, budget)
}

// Guards against unread bytes beyond the receive buffer, of connections that wait to be accepted too, and against more of those than
// the backlog.
func TestListen(t *testing.T) {
	const backlog, clients = 4, 20
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), backlog)
	assert.NilError(t, err)
	defer l.Close()
	connected, piece := 0, make([]byte, 1<<20)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for range clients {
		d := net.Dialer{
			Timeout: 100 * time.Millisecond,
		}
		c, err := d.DialContext(ctx, "tcp", l.Addr().String())
		if err != nil {
			break
		}
		defer c.Close()
		connected++
		go c.Write(piece)
	}
	assert.Assert(t, connected <= backlog+1, "%d connections", connected)
	for range connected {
		c, err := l.Accept()
		assert.NilError(t, err)
		defer c.Close()
		time.Sleep(50 * time.Millisecond) // Nothing more arrives while nothing is read.
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		n, err := c.Read(make([]byte, len(piece)))
		assert.NilError(t, err)
		assert.Assert(t, n <= 2*memory.ReceiveBuffer, "%d bytes", n)
	}
}
