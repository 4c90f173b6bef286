package target

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"skylarkbeam/outcome"
)

// Header fields exchanged between entries and targets.
const (
	HeaderCaller   = "Skylarkbeam-Caller"
	HeaderTimeout  = "Skylarkbeam-Timeout"
	HeaderRequest  = "Skylarkbeam-Request"
	HeaderKey      = "Skylarkbeam-Key"
	HeaderInstance = "Skylarkbeam-Instance"
	HeaderPhase    = "Skylarkbeam-Phase"
	HeaderLoad     = "Skylarkbeam-Load"
	HeaderOutcome  = "Skylarkbeam-Outcome"
	// HeaderLimit names the rate of calls that the target takes from all entries together, in calls per second.
	HeaderLimit = "Skylarkbeam-Limit"
	// HeaderRepeat marks hedges, retries of calls that may have been executed, and all calls that a target makes on
	// behalf of one of these.
	HeaderRepeat = "Skylarkbeam-Repeat"

	// HeaderWorkspace names the workspace that holds the key of the call.
	HeaderWorkspace = "Skylarkbeam-Workspace"

	headerIdempotencyKey = "Idempotency-Key"
	headerAuthorization  = "Authorization"
	defaultLoadPath      = "/skylarkbeam/load"
)

// isHopByHop reports whether a field is meaningful for a single connection only (RFC 9110, section 7.6.1).
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// isManagedField reports whether a field is either set by http.Request.Write or omitted by the pool. Expect is omitted
// because the pool does not wait for a 100 (Continue) response.
func isManagedField(name string) bool {
	switch name {
	case "Expect", "Host", "Content-Length":
		return true
	}
	return false
}

// copyRequestHeader clears dst and copies the end-to-end fields of src into it.
func copyRequestHeader(dst, src http.Header) {
	clear(dst)
	for name, values := range src {
		if !isHopByHop(name) && !isManagedField(name) {
			dst[name] = values
		}
	}
	deleteConnectionOptions(dst, src["Connection"])
	if _, ok := dst["User-Agent"]; !ok {
		// An empty value keeps http.Request.Write from adding its default.
		dst["User-Agent"] = emptyValue
	}
}

// removeHopByHop deletes the hop-by-hop fields of a response.
func removeHopByHop(h http.Header) {
	deleteConnectionOptions(h, h["Connection"])
	for name := range h {
		if isHopByHop(name) {
			delete(h, name)
		}
	}
}

// deleteConnectionOptions deletes the fields that a Connection header lists.
func deleteConnectionOptions(h http.Header, connection []string) {
	for _, value := range connection {
		for name := range strings.SplitSeq(value, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
}

// parseReport returns the report in a response header. Missing or malformed fields stay zero.
func parseReport(h http.Header) outcome.Report {
	r := outcome.Report{
		Instance: h.Get(HeaderInstance),
		Phase:    outcome.Phase(h.Get(HeaderPhase)),
		Limit:    outcome.ParseLimit(h.Values(HeaderLimit)),
	}
	active, rest, ok1 := strings.Cut(h.Get(HeaderLoad), "/")
	slots, queued, ok2 := strings.Cut(rest, "/")
	if ok1 && ok2 {
		r.Active = parseCount(active)
		r.Slots = parseCount(slots)
		r.Queued = parseCount(queued)
	}
	return r
}

// parseRetryAfter parses a Retry-After header given in seconds.
func parseRetryAfter(h http.Header) time.Duration {
	return time.Duration(min(parseCount(h.Get("Retry-After")), 3600)) * time.Second
}
