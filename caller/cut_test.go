package caller

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a response that is cut and that its caller takes for whole, because its body ends with the connection and the
// connection ends in order.
func TestCutResponse(t *testing.T) {
	part := strings.Repeat("x", 2*holdLimit) // More than is held before the head is written.
	tests := map[string]struct {
		// handle writes the rest of a response whose part was written.
		handle func(s *Server, w http.ResponseWriter)
		whole  bool
	}{
		"whole": {
			handle: func(*Server, http.ResponseWriter) {},
			whole:  true,
		},
		"handler gives up": {
			handle: func(*Server, http.ResponseWriter) { panic(http.ErrAbortHandler) },
		},
		"server is closed": {
			handle: func(s *Server, _ http.ResponseWriter) { s.Close() },
		},
		"write fails": {
			handle: func(_ *Server, w http.ResponseWriter) { w.(*response).failed = io.ErrShortWrite },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := make(chan *Server, 1)
			s, c := start(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(w, strings.NewReader(part))
				assert.Check(t, err)
				test.handle(<-servers, w)
			})
			servers <- s
			_, err := fmt.Fprint(c, "GET / HTTP/1.0\r\n\r\n")
			assert.NilError(t, err)
			data, err := io.ReadAll(c)
			assert.Assert(t, strings.HasPrefix(string(data), "HTTP/1.1 200 OK\r\n"), "%d bytes", len(data))
			assert.Assert(t, (err == nil) == test.whole, "%d bytes, %v", len(data), err)
			if test.whole {
				assert.Assert(t, strings.HasSuffix(string(data), "\r\n\r\n"+part), "%d bytes", len(data))
			}
		})
	}
}
