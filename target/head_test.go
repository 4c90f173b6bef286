package target

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkbeam/outcome"
	"skylarkbeam/timer"
)

// Guards against a response that is none in HTTP/1.1, or whose body has no certain end, and that reaches a caller nevertheless: its
// connection must end, and the outcome is unknown. Odd heads stay allowed (docs/design/response-heads.md).
func TestResponseHead(t *testing.T) {
	const broken = "unknown broken"
	// Each has the status line and the fields of a head, the bytes behind it, and the status and the body that a caller gets.
	tests := map[string][4]string{
		"length":                        {"HTTP/1.1 200 OK", "Content-Length: 4\r\n", "body", "200 body"},
		"chunks":                        {"HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", "200 body"},
		"neither":                       {"HTTP/1.1 200 OK", "", "body", "200 body"},
		"odd letters":                   {"HTTP/1.1 200 OK", "cONTENT-lENGTH:4\r\n", "body", "200 body"},
		"HTTP/1.0":                      {"HTTP/1.0 200 OK", "Content-Length: 4\r\n", "body", "200 body"},
		"HTTP/1.7":                      {"HTTP/1.7 200 OK", "Content-Length: 4\r\n", "body", "200 body"},
		"HTTP/0.9":                      {"HTTP/0.9 200 OK", "Content-Length: 4\r\n", "body", broken},
		"HTTP/2.0":                      {"HTTP/2.0 200 OK", "Content-Length: 4\r\n", "body", broken},
		"HTTP/1.":                       {"HTTP/1. 200 OK", "Content-Length: 4\r\n", "body", broken},
		"HTTP/1.11":                     {"HTTP/1.11 200 OK", "Content-Length: 4\r\n", "body", broken},
		"small letters":                 {"http/1.1 200 OK", "Content-Length: 4\r\n", "body", broken},
		"line before the status":        {"\r\nHTTP/1.1 200 OK", "Content-Length: 4\r\n", "body", broken},
		"no status":                     {"HTTP/1.1", "Content-Length: 4\r\n", "body", broken},
		"no reason":                     {"HTTP/1.1 200", "Content-Length: 4\r\n", "body", "200 body"},
		"two blanks":                    {"HTTP/1.1  200  OK", "Content-Length: 4\r\n", "body", "200 body"},
		"tab before the status":         {"HTTP/1.1\t200 OK", "Content-Length: 4\r\n", "body", broken},
		"reason beyond ASCII":           {"HTTP/1.1 200 \xd6K\t!", "Content-Length: 4\r\n", "body", "200 body"},
		"CR in the reason":              {"HTTP/1.1 200 OK\rContent-Length: 2", "Content-Length: 4\r\n", "body", broken},
		"two CRs behind the reason":     {"HTTP/1.1 200 OK\r", "Content-Length: 4\r\n", "body", broken},
		"NUL in the reason":             {"HTTP/1.1 200 O\x00K", "Content-Length: 4\r\n", "body", broken},
		"ESC in the reason":             {"HTTP/1.1 200 \x1b[0m", "Content-Length: 4\r\n", "body", broken},
		"LF alone":                      {"HTTP/1.1 200 OK\nX-A: b", "Content-Length: 4\n", "body", "200 body"},
		"CR alone":                      {"HTTP/1.1 200 OK", "X-A: b\rContent-Length: 4\r\n", "body", broken},
		"blank before the colon":        {"HTTP/1.1 200 OK", "X-A : b\r\nContent-Length: 4\r\n", "body", broken},
		"blank behind the length":       {"HTTP/1.1 200 OK", "Content-Length : 4\r\n", "body", broken},
		"blank behind the coding":       {"HTTP/1.1 200 OK", "Transfer-Encoding : chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", broken},
		"blank in a name":               {"HTTP/1.1 200 OK", "X A: b\r\nContent-Length: 4\r\n", "body", broken},
		"NUL in a name":                 {"HTTP/1.1 200 OK", "X\x00A: b\r\nContent-Length: 4\r\n", "body", broken},
		"slash in a name":               {"HTTP/1.1 200 OK", "X/A: b\r\nContent-Length: 4\r\n", "body", broken},
		"no name":                       {"HTTP/1.1 200 OK", ": b\r\nContent-Length: 4\r\n", "body", broken},
		"no colon":                      {"HTTP/1.1 200 OK", "X-A\r\nContent-Length: 4\r\n", "body", broken},
		"all bytes of a name":           {"HTTP/1.1 200 OK", "!#$%&'*+-.^_`|~09azAZ: b\r\nContent-Length: 4\r\n", "body", "200 body"},
		"DEL in a value":                {"HTTP/1.1 200 OK", "X-A: \x7f\r\nContent-Length: 4\r\n", "body", broken},
		"value beyond ASCII":            {"HTTP/1.1 200 OK", "X-A:\t\xe4 \t\r\nContent-Length: 4\r\n", "body", "200 body"},
		"empty value":                   {"HTTP/1.1 200 OK", "X-A:\r\nContent-Length: 4\r\n", "body", "200 body"},
		"folded field":                  {"HTTP/1.1 200 OK", "X-A: b\r\n Content-Length: 2\r\nContent-Length: 4\r\n", "body", "200 body"},
		"folded first line":             {"HTTP/1.1 200 OK", " X-A: b\r\nContent-Length: 4\r\n", "body", broken},
		"length and coding":             {"HTTP/1.1 200 OK", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", broken},
		"coding and length":             {"HTTP/1.1 200 OK", "transfer-encoding: chunked\r\ncontent-length: 14\r\n", "4\r\nbody\r\n0\r\n\r\n", broken},
		"coding in HTTP/1.0":            {"HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", broken},
		"coding and length in HTTP/1.0": {"HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n", "", broken},
		"similar names":                 {"HTTP/1.1 200 OK", "Transfer-Encodings: x\r\nContent-Lengt: 1\r\nContent-Length: 4\r\n", "body", "200 body"},
		"two codings":                   {"HTTP/1.1 200 OK", "Transfer-Encoding: gzip, chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", broken},
		"coding twice":                  {"HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", broken},
		"equal lengths":                 {"HTTP/1.1 200 OK", "Content-Length: 4\r\nContent-Length: 4\r\n", "body", "200 body"},
		"unequal lengths":               {"HTTP/1.1 200 OK", "Content-Length: 4\r\nContent-Length: 3\r\n", "body", broken},
		"list of lengths":               {"HTTP/1.1 200 OK", "Content-Length: 4, 4\r\n", "body", broken},
		"signed length":                 {"HTTP/1.1 200 OK", "Content-Length: +4\r\n", "body", broken},
		"empty length":                  {"HTTP/1.1 200 OK", "Content-Length:\r\n", "body", broken},
		"no body by status":             {"HTTP/1.1 304 Unchanged", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "", "304 "},
		"informational first":           {"HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 200 OK", "Content-Length: 4\r\n", "body", "200 body"},
		"malformed informational first": {"HTTP/1.1 103 Early\r\nLink : a\r\n\r\nHTTP/1.1 200 OK", "Content-Length: 4\r\n", "body", broken},
		"long value":                    {"HTTP/1.1 200 OK", "X-A: " + strings.Repeat("v", 3*bufferBytes) + "\r\nContent-Length: 4\r\n", "body", "200 body"},
		"blank behind a long value":     {"HTTP/1.1 200 OK", "X-A: " + strings.Repeat("v", 3*bufferBytes) + "\r\nContent-Length : 4\r\n", "body", broken},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkHead(t, http.MethodGet, test)
		})
	}
	t.Run("no body by method", func(t *testing.T) {
		t.Parallel()
		checkHead(t, http.MethodHead, [4]string{"HTTP/1.1 200 OK", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "", "200 "})
	})
}

// checkHead sends a response in pieces of several sizes and checks what a caller gets.
func checkHead(t *testing.T, method string, test [4]string) {
	t.Helper()
	for _, size := range []int{1 << 20, 13, 1} {
		p := startRawTarget(t, func(nc *net.TCPConn, id string) {
			fields := [2]string{fmt.Sprintf("%s: %s\r\n%s: i\r\n", HeaderRequest, id, HeaderInstance), test[1]}
			if strings.HasPrefix(test[1], " ") {
				slices.Reverse(fields[:]) // It has to be the first line.
			}
			response := test[0] + "\r\n" + fields[0] + fields[1] + "\r\n" + test[2]
			for len(response) > 0 {
				n := min(size, len(response))
				if _, err := io.WriteString(nc, response[:n]); err != nil {
					return
				}
				response = response[n:]
			}
		})
		assert.Equal(t, describe(t, p.Send(t.Context(), newCall(method, "/", "", ""))), test[3], "%d bytes at once", size)
	}
}

// describe returns the status and the body of a response, or the outcome of a call without one.
func describe(t *testing.T, o outcome.Outcome) string {
	t.Helper()
	answered, ok := o.(*outcome.Answered)
	if !ok {
		return fmt.Sprintf("unknown %s", o.(*outcome.Unknown).Reason)
	}
	defer answered.Body.Close()
	body, err := io.ReadAll(answered.Body)
	assert.NilError(t, err)
	return fmt.Sprintf("%d %s", answered.Status, body)
}

// Guards against a check that costs an allocation for each head, or that finds another end of a head than http.ReadResponse.
func TestHeadCheck(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-A: b\r\n c\r\n \r\nX-D:\r\n\r\n"
	var check headCheck
	for i := range len(head) {
		assert.Assert(t, check.part != partEnd, "ended before byte %d", i)
		assert.NilError(t, check.scan([]byte(head[i:i+1])))
	}
	assert.Equal(t, check.part, partEnd)
	assert.NilError(t, check.scan([]byte("body\x00")))
	allocations := testing.AllocsPerRun(100, func() {
		check = headCheck{}
		_ = check.scan([]byte(head))
	})
	assert.Equal(t, allocations, 0.0)
}

// repeatingConn is a connection on which the same response arrives again and again.
type repeatingConn struct {
	net.Conn
	response []byte
	rest     []byte
}

// Read implements net.Conn.
func (c *repeatingConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		c.rest = c.response
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// BenchmarkReadResponse measures the reading of a usual head.
func BenchmarkReadResponse(b *testing.B) {
	response := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Mon, 07 Dec 2026 19:00:00 GMT\r\nContent-Length: 4\r\n" +
		"Request-Id: 9c41d07be2a35f68\r\nServer-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nServer-Load: 1,0,4,100\r\n" +
		"Keep-Alive: timeout=10\r\n\r\nbody"
	c := newConn(&repeatingConn{
		response: []byte(response),
	}, timer.New())
	c.req = http.Request{
		Method: http.MethodGet,
	}
	b.ReportAllocs()
	b.SetBytes(int64(len(response)))
	for b.Loop() {
		resp, err := c.readResponse()
		if err != nil {
			b.Fatal(err)
		}
		if body, _ := io.ReadAll(resp.Body); !bytes.Equal(body, []byte("body")) {
			b.Fatalf("body %q", body)
		}
	}
}
