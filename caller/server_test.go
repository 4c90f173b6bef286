package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"skylarkbeam/timer"
)

// start serves a handler and returns a connection to it.
func start(t *testing.T, limits Limits, handler http.HandlerFunc) (*Server, net.Conn) {
	t.Helper()
	if limits == (Limits{}) {
		limits = Limits{
			MaxHeaderBytes:    4096,
			ReadHeaderTimeout: 5 * time.Second,
			IdleTimeout:       5 * time.Second,
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(Options{
		Handler: handler,
		Limits:  func() Limits { return limits },
		Timers:  timer.New(),
	})
	go s.Serve(l)
	t.Cleanup(s.Close)
	return s, dial(t, l.Addr().String())
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	t.Cleanup(func() { c.Close() })
	return c
}

func get(path string, fields ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n" + strings.Join(append(fields, ""), "\r\n") + "\r\n"
}

// read returns the next response with its body.
func read(t *testing.T, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(body)
}

// Guards against requests on one connection that wait for the responses before them, and against responses that arrive in
// another order than their requests.
func TestReadsAhead(t *testing.T) {
	var all sync.WaitGroup
	all.Add(3)
	_, c := start(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		all.Done()
		all.Wait() // Ends only if the three are handled at the same time.
		if r.URL.Path == "/1" {
			time.Sleep(50 * time.Millisecond)
		}
		fmt.Fprint(w, r.URL.Path)
	})
	fmt.Fprint(c, get("/1"), get("/2"), get("/3"))
	br := bufio.NewReader(c)
	for _, want := range []string{"/1", "/2", "/3"} {
		_, have := read(t, br)
		assert.Equal(t, have, want)
	}
}

// Guards against work that goes on for a caller that has gone: while its response is being made, behind another request,
// after it asked for the connection to end, and while its body is still on the way.
func TestCallerGone(t *testing.T) {
	tests := map[string]string{
		"kept":      get("/"),
		"pipelined": get("/") + get("/"),
		"close":     get("/", "Connection: close"),
		"body":      "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10\r\n\r\nabc",
	}
	for name, request := range tests {
		t.Run(name, func(t *testing.T) {
			var begun, ended atomic.Int32
			_, c := start(t, Limits{}, func(_ http.ResponseWriter, r *http.Request) {
				begun.Add(1)
				io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
				ended.Add(1)
			})
			fmt.Fprint(c, request)
			want := int32(strings.Count(request, "HTTP/1.1"))
			poll.WaitOn(t, func(poll.LogT) poll.Result { return reached(&begun, want) })
			c.Close()
			poll.WaitOn(t, func(poll.LogT) poll.Result { return reached(&ended, want) })
		})
	}
}

func reached(n *atomic.Int32, want int32) poll.Result {
	if n.Load() == want {
		return poll.Success()
	}
	return poll.Continue("%d of %d", n.Load(), want)
}

// Guards against a stop that cuts requests which have been read, that leaves callers without a word that the connection
// ends, or that handles what comes after that word.
func TestFinish(t *testing.T) {
	release := make(chan struct{})
	var begun atomic.Int32
	s, c := start(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) {
		begun.Add(1)
		<-release
		fmt.Fprint(w, "whole")
	})
	fmt.Fprint(c, get("/1"), get("/2"))
	poll.WaitOn(t, func(poll.LogT) poll.Result { return reached(&begun, 2) })
	idle := dial(t, c.RemoteAddr().String())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.Connections() == 2 {
			return poll.Success()
		}
		return poll.Continue("not accepted")
	})
	s.Drain()
	close(release)
	br := bufio.NewReader(c)
	first, body := read(t, br)
	assert.Equal(t, body, "whole")
	assert.Assert(t, !first.Close)
	second, body := read(t, br)
	assert.Equal(t, body, "whole")
	assert.Assert(t, second.Close, "the last response does not end the connection")
	fmt.Fprint(c, get("/3"))
	_, err := br.ReadByte()
	assert.Assert(t, err != nil)
	assert.Equal(t, begun.Load(), int32(2))

	// A caller that has just connected gets one response.
	fmt.Fprint(idle, get("/4"))
	resp, body := read(t, bufio.NewReader(idle))
	assert.Equal(t, body, "whole")
	assert.Assert(t, resp.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.Shutdown(ctx))
}

// Guards against an idle connection that stays open after a stop until its idle time is over.
func TestFinishIdle(t *testing.T) {
	s, c := start(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whole") })
	fmt.Fprint(c, get("/"))
	br := bufio.NewReader(c)
	read(t, br)
	s.Drain()
	began := time.Now()
	_, err := br.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// Guards against idle connections that are kept for ever or closed too early, and against callers that take their time
// with the head of a request.
func TestIdle(t *testing.T) {
	limits := Limits{
		MaxHeaderBytes:    4096,
		ReadHeaderTimeout: 200 * time.Millisecond,
		IdleTimeout:       300 * time.Millisecond,
	}
	_, c := start(t, limits, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(500 * time.Millisecond) // Longer than the idle time, which does not run meanwhile.
		fmt.Fprint(w, "whole")
	})
	fmt.Fprint(c, get("/"))
	br := bufio.NewReader(c)
	_, body := read(t, br)
	assert.Equal(t, body, "whole")
	began := time.Now()
	_, err := br.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, time.Since(began) > 250*time.Millisecond, "closed after %s", time.Since(began))

	slow := dial(t, c.RemoteAddr().String())
	fmt.Fprint(slow, "GET / HT")
	resp, _ := read(t, bufio.NewReader(slow))
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
}

// Guards against requests that are passed on although they are malformed or too large.
func TestRejects(t *testing.T) {
	tests := map[string]struct {
		request string
		want    int
	}{
		"malformed": {
			request: "NONSENSE\r\n\r\n",
			want:    http.StatusBadRequest,
		},
		"no host": {
			request: "GET / HTTP/1.1\r\n\r\n",
			want:    http.StatusBadRequest,
		},
		"large head": {
			request: get("/", "X-Large: "+strings.Repeat("x", 8192)),
			want:    http.StatusRequestHeaderFieldsTooLarge,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, c := start(t, Limits{}, func(http.ResponseWriter, *http.Request) { t.Error("was handled") })
			fmt.Fprint(c, test.request)
			resp, _ := read(t, bufio.NewReader(c))
			assert.Equal(t, resp.StatusCode, test.want)
			assert.Assert(t, resp.Close)
		})
	}
}

// Guards against a caller that holds a connection with bytes that do not end: in a head, or after the body that it has
// declared. They come as fast as the connection takes them, or byte by byte.
func TestEndlessRequest(t *testing.T) {
	tests := map[string]struct {
		start  string
		repeat string
		want   []int
	}{
		"request line": {
			repeat: "G",
			want:   []int{http.StatusRequestHeaderFieldsTooLarge},
		},
		"header": {
			start:  "GET / HTTP/1.1\r\nHost: a.example\r\nX-Long: ",
			repeat: "x",
			want:   []int{http.StatusRequestHeaderFieldsTooLarge},
		},
		"headers": {
			start:  "GET / HTTP/1.1\r\nHost: a.example\r\n",
			repeat: "X-Next: y\r\n",
			want:   []int{http.StatusRequestHeaderFieldsTooLarge},
		},
		"beyond the body": {
			start:  "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody",
			repeat: "more\r\n",
			want:   []int{http.StatusOK, http.StatusBadRequest},
		},
	}
	for name, test := range tests {
		for _, drip := range []time.Duration{0, 2 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s drip=%s", name, drip), func(t *testing.T) {
				t.Parallel()
				_, c := start(t, Limits{
					MaxHeaderBytes:    4096,
					ReadHeaderTimeout: 300 * time.Millisecond,
					IdleTimeout:       5 * time.Second,
				}, func(w http.ResponseWriter, r *http.Request) {
					body, err := io.ReadAll(r.Body)
					assert.Check(t, err)
					assert.Check(t, string(body) == "body", "%q", body)
				})
				began := time.Now()
				closed := make(chan struct{})
				go func() {
					defer close(closed)
					_, err := io.WriteString(c, test.start)
					for i := 0; err == nil; i++ {
						block := strings.Repeat(test.repeat, 100)
						if drip > 0 {
							time.Sleep(drip)
							block = test.repeat[i%len(test.repeat):][:1]
						}
						_, err = io.WriteString(c, block)
					}
				}()
				br := bufio.NewReader(c)
				for _, want := range test.want {
					resp, err := http.ReadResponse(br, nil)
					if err != nil {
						break // The connection was reset behind the response, with bytes of ours unread.
					}
					if drip > 0 && len(test.want) == 1 {
						want = http.StatusRequestTimeout
					}
					assert.Check(t, resp.StatusCode == want, "status %d, not %d", resp.StatusCode, want)
					io.Copy(io.Discard, resp.Body)
				}
				<-closed
				assert.Assert(t, time.Since(began) < 3*time.Second, "closed after %s", time.Since(began))
			})
		}
	}
}

// Guards against an answer that breaks off and looks whole.
func TestBrokenAnswer(t *testing.T) {
	tests := map[string]http.HandlerFunc{
		"short": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			fmt.Fprint(w, "abc")
		},
		"aborted": func(w http.ResponseWriter, _ *http.Request) {
			w.Write(make([]byte, 2*holdLimit))
			panic(http.ErrAbortHandler)
		},
	}
	for name, handler := range tests {
		t.Run(name, func(t *testing.T) {
			_, c := start(t, Limits{}, handler)
			fmt.Fprint(c, get("/"))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			assert.Assert(t, err != nil, "the answer looks whole")
		})
	}
}

// Guards against bodies that are cut, mixed with the next request or never asked for.
func TestBodies(t *testing.T) {
	_, c := start(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.NilError(t, err)
		w.Write(body)
	})
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n\r\nfirst"+
		"POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nsec\r\n3\r\nond\r\n0\r\n\r\n"+
		"POST / HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	br := bufio.NewReader(c)
	for _, want := range []string{"first", "second"} {
		_, body := read(t, br)
		assert.Equal(t, body, want)
	}
	line, err := br.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
	_, err = br.ReadString('\n')
	assert.NilError(t, err)
	fmt.Fprint(c, "third")
	_, body := read(t, br)
	assert.Equal(t, body, "third")
}

// Guards against large answers that are held in memory or that a caller of HTTP/1.0 cannot tell the end of.
func TestLargeAnswer(t *testing.T) {
	_, c := start(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(w, io.LimitReader(zeros{}, 3*holdLimit))
	})
	fmt.Fprint(c, get("/"))
	br := bufio.NewReader(c)
	resp, body := read(t, br)
	assert.Equal(t, len(body), 3*holdLimit)
	assert.Assert(t, !resp.Close)
	fmt.Fprint(c, "GET / HTTP/1.0\r\n\r\n")
	resp, body = read(t, br)
	assert.Equal(t, len(body), 3*holdLimit)
	assert.Assert(t, resp.Close)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against a process that does not end because it is stopped right after its start.
func TestCloseFirst(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(Options{})
	s.Close()
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, ErrClosed)
	case <-time.After(5 * time.Second):
		t.Fatal("Serve accepts connections after Close")
	}
}
