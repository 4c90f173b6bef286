package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"skylarkbeam/fleet"
	"skylarkbeam/memory"
)

// Guards against messages that hold more than is reserved for them, against reservations by the size of settings for messages of entries,
// and against memory that stays reserved.
func TestMessageMemory(t *testing.T) {
	tests := map[string]struct {
		path   string
		length int64
		held   int64
	}{
		"small": {
			path:   fleet.PeerPath + "/greet",
			length: memory.FreeMessage,
		},
		"large": {
			path:   fleet.PeerPath + "/greet",
			length: 100_000,
			held:   200_000,
		},
		"chunked": {
			path:   fleet.PeerPath + "/greet",
			length: -1,
			held:   2 * fleet.MaxMessageBytes,
		},
		"too large": {
			path:   fleet.PeerPath + "/greet",
			length: 1 << 40,
			held:   2 * fleet.MaxMessageBytes,
		},
		"settings": {
			path:   controlPath + "settings",
			length: -1,
			held:   2 * maxChangeBytes,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := bodyEntry(memory.DeriveLimits(512<<20, 0))
			held := func() int64 { return e.memory.Usage(memory.Small).Held + e.memory.Usage(memory.Large).Held }
			ran := false
			handler := e.boundMessages(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				ran = true
				assert.Equal(t, held(), test.held)
			}))
			r := httptest.NewRequest(http.MethodPost, test.path, strings.NewReader(""))
			r.ContentLength = test.length
			handler.ServeHTTP(httptest.NewRecorder(), r)
			assert.Assert(t, ran)
			assert.Equal(t, held(), int64(0))
		})
	}
}

// Guards against messages that are read without memory for them.
func TestNoMemoryForMessage(t *testing.T) {
	e := bodyEntry(memory.DeriveLimits(16<<20, 0))
	e.endCalls() // Ends the wait at once.
	assert.Assert(t, e.memory.TryReserve(memory.Small, e.memory.Usage(memory.Small).Limit))
	r := httptest.NewRequest(http.MethodPost, fleet.PeerPath+"/greet", strings.NewReader(""))
	r.ContentLength = 100_000
	refused := httptest.NewRecorder()
	e.boundMessages(http.NotFoundHandler()).ServeHTTP(refused, r)
	assert.Equal(t, refused.Code, http.StatusServiceUnavailable)
	assert.Equal(t, refused.Header().Get("Retry-After"), serviceRetryAfter)
	assert.Equal(t, refused.Header().Get("Connection"), "close")
}

// Guards against a handler whose panic ends the process, and against one that leaves no line in the log.
func TestRecoverPanics(t *testing.T) {
	core, logs := observer.New(zap.ErrorLevel)
	e := &Entry{
		log: zap.New(core),
	}
	serve := func(reason any) (recovered any) {
		defer func() { recovered = recover() }()
		e.recoverPanics(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "half")
			if reason != nil {
				panic(reason)
			}
		})).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/x", nil))
		return nil
	}
	assert.Equal(t, serve(nil), nil)
	assert.Equal(t, serve(http.ErrAbortHandler), http.ErrAbortHandler)
	assert.Equal(t, logs.Len(), 0)
	assert.Equal(t, serve("unexpected"), http.ErrAbortHandler)
	assert.Equal(t, logs.FilterMessage("a handler panicked").Len(), 1)
}
