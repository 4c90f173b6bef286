package caller

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests of which two readers find different ends or fields: they must get 400 and not run, and nothing
// behind them may run.
func TestAmbiguousHead(t *testing.T) {
	tests := map[string]string{
		"two framings":           post("/read", "0\r\n\r\n"+quoted, "Content-Length: 5", "Transfer-Encoding: chunked"),
		"two framings, reversed": post("/read", "0\r\n\r\n"+quoted, "transfer-encoding: chunked", "content-length: 100"),
		"chunked of HTTP/1.0": strings.Replace(post("/read", chunk(quoted)+"0\r\n\r\n", "Transfer-Encoding: chunked",
			"Connection: keep-alive"), "HTTP/1.1", "HTTP/1.0", 1),
		"two lengths":         post("/read", "12345"+quoted, "Content-Length: 5", "Content-Length: 6"),
		"list of lengths":     post("/read", "12345"+quoted, "Content-Length: 5, 5"),
		"signed length":       post("/read", "12345"+quoted, "Content-Length: +5"),
		"another encoding":    post("/read", quoted, "Transfer-Encoding: gzip, chunked"),
		"encoding with space": post("/read", chunk(quoted)+"0\r\n\r\n", "Transfer-Encoding : chunked"),
		"folded field":        post("/read", quoted, "X-Note: a", " Content-Length: 5"),
		"bare CR":             get("/read", "X-Note: a\rContent-Length: 5") + quoted,
		"NUL":                 get("/read", "X-Note: a\x00b") + quoted,
		"another version":     strings.Replace(get("/read"), "HTTP/1.1", "HTTP/3.0", 1) + quoted,
		"nameless field":      get("/read", ": a") + quoted,
		"host with a path":    "GET /read HTTP/1.1\r\nHost: a.example/b\r\n\r\n" + quoted,
		"absolute, no field":  "GET http://a.example/read HTTP/1.1\r\n\r\n" + quoted,
		"absolute, no host":   strings.Replace(get("/read"), "/read", "http:///read", 1) + quoted,
		"no host":             "GET /read HTTP/1.1\r\n\r\n" + quoted,
		"two hosts":           get("/read", "Host: b.example") + quoted,
	}
	for name, request := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ran := &pathRecorder{}
			_, c := start(t, Limits{}, ran.serve)
			_, err := io.WriteString(c, request)
			assert.NilError(t, err)
			br := bufio.NewReader(c)
			resp, _ := read(t, br)
			assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
			assert.Assert(t, resp.Close)
			_, err = br.ReadByte()
			assert.Equal(t, err, io.EOF)
			assert.Equal(t, len(ran.all()), 0)
		})
	}
}
