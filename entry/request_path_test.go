package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/entry"
	"skylarkbeam/standin"
)

// sendTarget sends a request of the caller "web" whose target http.Client would encode anew.
func sendTarget(t *testing.T, e *entry.Entry, method, target, key string) reply {
	t.Helper()
	c, err := net.Dial("tcp", e.CallerAddress().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: a.example\r\nSkylarkbeam-Caller: web\r\nIdempotency-Key: %s\r\nConnection: close\r\n\r\n",
		method, target, key)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode,
		header: resp.Header,
		body:   string(body),
		err:    err,
	}
}

// Guards against targets that get another path or query than the caller sent, and against a key that counts for two
// requests which differ only in how their paths are encoded.
func TestTargetBytes(t *testing.T) {
	d := startFourSlotStock(t)
	e := d.Entries[0]
	for _, target := range []string{"/stock/a|b", "/stock/a%2Fb", "/stock/a%2fb|c", "/stock/f\xc3\xa4hre?a=\"b\"", "/stock/{a}^?"} {
		r := sendTarget(t, e, "GET", target, "")
		assert.Equal(t, r.outcome(), "answered", target)
		assert.Equal(t, r.body, string(standin.ExpectedBody("GET", target, "", nil)), target)
	}
	assert.Equal(t, sendTarget(t, e, "GET", "/stock%2Fa", "").reason(), "service")
	assert.Equal(t, sendTarget(t, e, "GET", "/stock/100%", "").status, http.StatusBadRequest)

	assert.Equal(t, sendTarget(t, e, "POST", "/stock/a|b", "piped").outcome(), "answered")
	assert.Equal(t, sendTarget(t, e, "POST", "/stock/a|b", "piped").header.Get("Skylarkbeam-Replayed"), "true")
	assert.Equal(t, sendTarget(t, e, "POST", "/stock/a%7Cb", "piped").reason(), "conflict")
}
