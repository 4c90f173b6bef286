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
)

// Guards against a response that a caller takes for that of an earlier request, after it has closed its direction of the
// connection: the responses that it still gets must be the first ones.
func TestHalfClosed(t *testing.T) {
	const requests = 8 // Fewer than are handled at the same time, so that the end is read.
	_, c := start(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/1" {
			<-r.Context().Done()
			time.Sleep(5 * time.Millisecond) // Like a call that may be running, which goes on without its caller.
		}
		if r.URL.Path == "/0" {
			time.Sleep(20 * time.Millisecond) // The others are ready meanwhile.
		}
		fmt.Fprint(w, r.URL.Path)
	})
	var all strings.Builder
	for i := range requests {
		all.WriteString(get(fmt.Sprint("/", i)))
	}
	_, err := io.WriteString(c, all.String())
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond) // So that most requests are read before; it passes without, too.
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	br := bufio.NewReader(c)
	for i := range requests {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return
		}
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), fmt.Sprint("/", i))
	}
}
