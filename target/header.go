package target

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"skylarkbeam/outcome"
)

// The header fields between entries and targets.
const (
	HeaderCaller   = "Skylarkbeam-Caller"
	HeaderTimeout  = "Skylarkbeam-Timeout"
	HeaderRequest  = "Skylarkbeam-Request"
	HeaderKey      = "Skylarkbeam-Key"
	HeaderInstance = "Skylarkbeam-Instance"
	HeaderPhase    = "Skylarkbeam-Phase"
	HeaderLoad     = "Skylarkbeam-Load"
	HeaderOutcome  = "Skylarkbeam-Outcome"
	// HeaderRepeat marks a hedge, a repeat of a call that may have run, and all calls that targets make for one.
	HeaderRepeat = "Skylarkbeam-Repeat"

	headerIdempotency = "Idempotency-Key"
	loadPath          = "/skylarkbeam/load"
)

// hopByHop tells whether a field concerns one connection only (RFC 9110, section 7.6.1).
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// ownField tells whether http.Request.Write sets a field itself or the pool omits it. Expect is omitted because the pool
// does not wait for a 100 response.
func ownField(name string) bool {
	switch name {
	case "Expect", "Host", "Content-Length":
		return true
	}
	return false
}

// copyRequestHeader copies the end-to-end fields of src into dst, which is cleared first.
func copyRequestHeader(dst, src http.Header) {
	clear(dst)
	for name, values := range src {
		if !hopByHop(name) && !ownField(name) {
			dst[name] = values
		}
	}
	deleteNamed(dst, src["Connection"])
	if _, ok := dst["User-Agent"]; !ok {
		// An empty value keeps http.Request.Write from adding its own.
		dst["User-Agent"] = emptyValue
	}
}

// cleanResponseHeader removes the fields that concern one connection only.
func cleanResponseHeader(h http.Header) {
	deleteNamed(h, h["Connection"])
	for name := range h {
		if hopByHop(name) {
			delete(h, name)
		}
	}
}

// deleteNamed removes the fields that a Connection header names.
func deleteNamed(h http.Header, connection []string) {
	for _, value := range connection {
		for name := range strings.SplitSeq(value, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
}

// parseReport reads the report that an answer carries. Fields that are missing or malformed stay zero.
func parseReport(h http.Header) outcome.Report {
	r := outcome.Report{
		Instance: h.Get(HeaderInstance),
		Phase:    outcome.Phase(h.Get(HeaderPhase)),
	}
	active, rest, ok1 := strings.Cut(h.Get(HeaderLoad), "/")
	slots, queued, ok2 := strings.Cut(rest, "/")
	if ok1 && ok2 {
		r.Active = count(active)
		r.Slots = count(slots)
		r.Queued = count(queued)
	}
	return r
}

// retryAfter reads the form of Retry-After that gives seconds.
func retryAfter(h http.Header) time.Duration {
	return time.Duration(min(count(h.Get("Retry-After")), 3600)) * time.Second
}
