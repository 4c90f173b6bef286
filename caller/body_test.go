package caller

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

// quoted is a request that is quoted in the body of another one and must never run.
const quoted = "POST /quoted HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n"

// chunk returns a chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// post returns a request with a body, whose fields tell how long it is.
func post(path, body string, fields ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\n" + strings.Join(append(fields, ""), "\r\n") + "\r\n" + body
}

// Guards against bytes of a body that are read as the next request, after a response that was given before the body was
// read to its end or because it cannot be read, and against a connection that is closed although the next request on it
// can be told from the body. Requests with path /early are answered without reading their bodies.
func TestUnreadBody(t *testing.T) {
	length := func(n int) string { return fmt.Sprint("Content-Length: ", n) }
	const chunked, expect = "Transfer-Encoding: chunked", "Expect: 100-continue"
	large := strings.Repeat(quoted, 2*maxDiscardBytes/len(quoted))
	tests := []struct {
		name    string
		request string
		// closed is set if the connection must end with the response, said if the response must say so.
		closed, said bool
	}{
		{
			name:    "expected, and sent with the head",
			request: post("/early", quoted, length(len(quoted)), expect),
			closed:  true,
			said:    true,
		},
		{
			name:    "expected, chunked, and sent with the head",
			request: post("/early", chunk(quoted)+"0\r\n\r\n", chunked, expect),
			closed:  true,
			said:    true,
		},
		{
			name:    "expected, and not sent",
			request: post("/early", "", length(len(quoted)), expect),
			closed:  true,
			said:    true,
		},
		{
			name:    "length",
			request: post("/early", quoted, length(len(quoted))),
		},
		{
			name:    "chunked",
			request: post("/early", chunk(quoted)+chunk(quoted)+"0\r\n\r\n", chunked),
		},
		{
			name:    "large, with a length",
			request: post("/early", large, length(len(large))),
			closed:  true,
			said:    true,
		},
		{
			name:    "large, chunked",
			request: post("/early", chunk(large)+"0\r\n\r\n", chunked),
			closed:  true,
		},
		{
			name:    "malformed chunk",
			request: post("/read", chunk("a")+"x\r\n"+quoted, chunked),
			closed:  true,
			said:    true,
		},
		{
			name:    "malformed chunk that is not read",
			request: post("/early", chunk("a")+"x\r\n"+quoted, chunked),
			closed:  true,
		},
		{
			name:    "chunk longer than its size",
			request: post("/read", "1\r\nab\r\n"+quoted, chunked),
			closed:  true,
			said:    true,
		},
		{
			name:    "malformed trailer",
			request: post("/read", chunk("a")+"0\r\nno field\r\n\r\n"+quoted, chunked),
			closed:  true,
			said:    true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ran := &pathRecorder{}
			_, c := start(t, Limits{}, ran.serve)
			_, err := io.WriteString(c, test.request+get("/next"))
			assert.NilError(t, err)
			br := bufio.NewReader(c)
			resp, _ := read(t, br)
			first := test.request[len("POST "):strings.Index(test.request, " HTTP")]
			if test.closed {
				_, err = br.ReadByte()
				assert.Equal(t, err, io.EOF, "a response to no request")
				assert.DeepEqual(t, ran.all(), []string{first})
			} else {
				_, body := read(t, br)
				assert.Equal(t, body, "/next")
				assert.DeepEqual(t, ran.all(), []string{first, "/next"})
			}
			assert.Equal(t, resp.Close, test.said)
		})
	}
}

// pathRecorder is a handler that records the paths of its requests.
type pathRecorder struct {
	mu    sync.Mutex
	paths []string
}

func (p *pathRecorder) serve(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.paths = append(p.paths, r.URL.Path)
	p.mu.Unlock()
	if r.URL.Path == "/read" {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	}
	fmt.Fprint(w, r.URL.Path)
}

func (p *pathRecorder) all() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.paths...)
}

// Guards against a response that a caller loses because it sends a large body to its end before it reads the response, as
// simple clients do: the connection must be read until the body has come.
func TestUnreadBodyKeepsResponse(t *testing.T) {
	ran := &pathRecorder{}
	_, c := start(t, Limits{}, ran.serve)
	const size = 16 << 20
	_, err := io.WriteString(c, post("/early", "", fmt.Sprint("Content-Length: ", size)))
	assert.NilError(t, err)
	_, err = io.CopyN(c, zeros{}, size)
	assert.NilError(t, err)
	resp, body := read(t, bufio.NewReader(c))
	assert.Equal(t, body, "/early")
	assert.Assert(t, resp.Close)
}

// Guards against a connection that stays open while a caller does not send the rest of a body that nobody reads.
func TestUnreadBodyNotSent(t *testing.T) {
	ran := &pathRecorder{}
	s, c := start(t, Limits{}, ran.serve)
	_, err := io.WriteString(c, post("/early", "abc", "Content-Length: 10"))
	assert.NilError(t, err)
	br := bufio.NewReader(c)
	read(t, br)
	_, err = br.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	deadline := time.Now().Add(10 * time.Second)
	for s.Connections() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, s.Connections(), 0)
}
