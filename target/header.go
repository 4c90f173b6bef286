package target

import (
	"net/http"
	"net/textproto"
	"strconv"
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

// replacedField tells whether the pool sets or omits a field whatever the caller sent. Expect is omitted because the
// pool does not wait for a 100 response.
func replacedField(name string) bool {
	switch name {
	case HeaderRequest, HeaderTimeout, HeaderKey, HeaderInstance, HeaderPhase, HeaderLoad, HeaderOutcome,
		HeaderRepeat, headerIdempotency, "Expect", "Host", "Content-Length":
		return true
	}
	return false
}

// copyRequestHeader copies the fields of src that are passed on to a target into dst, which is cleared first.
func copyRequestHeader(dst, src http.Header) {
	clear(dst)
	for name, values := range src {
		if !hopByHop(name) && !replacedField(name) {
			dst[name] = values
		}
	}
	deleteNamed(dst, src["Connection"])
	if _, ok := dst["User-Agent"]; !ok {
		// An empty value keeps http.Request.Write from adding its own.
		dst["User-Agent"] = emptyValue
	}
}

var (
	emptyValue  = []string{""}
	repeatValue = []string{"1"}
)

// cleanResponseHeader removes what is not passed on to the caller.
func cleanResponseHeader(h http.Header) {
	deleteNamed(h, h["Connection"])
	for name := range h {
		switch name {
		case HeaderRequest, HeaderInstance, HeaderPhase, HeaderLoad, HeaderOutcome, HeaderRepeat:
			delete(h, name)
		default:
			if hopByHop(name) {
				delete(h, name)
			}
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

func count(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// retryAfter reads the form of Retry-After that gives seconds.
func retryAfter(h http.Header) time.Duration {
	return time.Duration(min(count(h.Get("Retry-After")), 3600)) * time.Second
}
