package entry

import (
	"bytes"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/fleet"
	"skylarkbeam/memory"
)

const (
	// messageCopies is how often a handler holds the body of a message: as it grows, and decoded.
	messageCopies = 2
	// maxMessageWait bounds the time for which a message waits for memory. Entries give up after about a second.
	maxMessageWait = time.Second
	// serviceRetryAfter is sent with refusals of messages, in seconds.
	serviceRetryAfter = "1"
)

// interruptible reports whether a request may be cut to make room for a connection: it is not a call and changes nothing.
func interruptible(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) && r.Header.Get(headerRequest) == ""
}

// boundMessages bounds what the bodies of messages at the control address hold. The body of a call is bounded where it is read.
func (e *Entry) boundMessages(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerRequest) != "" {
			next.ServeHTTP(w, r)
			return
		}
		release, ok := e.reserveMessage(r)
		defer release()
		if !ok {
			// The rest of the body is not read.
			w.Header().Set("Connection", "close")
			refuseService(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// recoverPanics ends the connection, and not the process, if a handler panics.
func (e *Entry) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer e.recoverHandler(r)
		next.ServeHTTP(w, r)
	})
}

// recoverHandler is called when a handler returns or panics.
func (e *Entry) recoverHandler(r *http.Request) {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		e.log.Error("a handler panicked", zap.Any("reason", p), zap.String("path", printablePath(r)), zap.ByteString("stack", debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}

func refuseService(w http.ResponseWriter) {
	w.Header().Set("Retry-After", serviceRetryAfter)
	http.Error(w, "no memory is free", http.StatusServiceUnavailable)
}

// messageLimit returns the size in bytes of the largest message at the path of a request.
func messageLimit(r *http.Request) int64 {
	if strings.HasPrefix(r.URL.Path, fleet.PeerPath) {
		return fleet.MaxMessageBytes
	}
	return maxChangeBytes
}

// reserveMessage reserves memory for the body of a message. It returns false if there is none in time.
func (e *Entry) reserveMessage(r *http.Request) (release func(), ok bool) {
	n := r.ContentLength
	if limit := messageLimit(r); n < 0 || n > limit {
		n = limit // The handlers read no more than that.
	}
	if n <= memory.FreeMessage {
		return func() {}, true
	}
	n *= messageCopies
	held := e.reserveMemory(r.Context(), memory.BodyPart(n), n, maxMessageWait)
	if held == nil {
		return func() {}, false
	}
	return func() { e.memory.Release(e.timers.Now(), held, 0) }, true
}

// oneAtATime makes the responses of a handler one after the other, because that takes far more memory than the result, and holds
// each in memory until its client has read it.
func (e *Entry) oneAtATime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		made := &madeResponse{
			header: w.Header(),
			status: http.StatusOK,
		}
		if e.large.Do(r.Context(), func() { next.ServeHTTP(made, r) }) != nil {
			return // The client has gone.
		}
		if !memory.HoldBody(w, made.body.Len()) {
			refuseService(w)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(made.body.Len()))
		w.WriteHeader(made.status)
		_, _ = w.Write(made.body.Bytes()) // The client may have gone.
	})
}

// madeResponse is a response in memory.
type madeResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (m *madeResponse) Header() http.Header { return m.header }

// WriteHeader implements http.ResponseWriter.
func (m *madeResponse) WriteHeader(status int) { m.status = status }

// Write implements http.ResponseWriter.
func (m *madeResponse) Write(p []byte) (int, error) { return m.body.Write(p) }
