package target

import (
	"net/http"
	"strconv"
	"time"

	"skylarkbeam/outcome"
)

// Protocol encodes calls and load reads for a target and decodes its responses. NativeProtocol is Skylarkbeam's own;
// platforms whose workers speak another protocol implement theirs.
type Protocol interface {
	// SetRequestHeader sets the fields of one attempt in h, which already holds the caller's end-to-end fields.
	SetRequestHeader(h http.Header, a Attempt)
	// ParseHead returns the information in the head of a response.
	ParseHead(resp *http.Response) ResponseHead
	// StripResponseHeader deletes the fields that are not passed on to the caller. The hop-by-hop fields are already
	// gone.
	StripResponseHeader(h http.Header)
	// ReadLoad reads the response to a load read to its end.
	ReadLoad(resp *http.Response) (outcome.Report, error)
	// Capabilities returns what the protocol guarantees.
	Capabilities() Capabilities
}

// Capabilities describes what a Protocol guarantees.
type Capabilities struct {
	// VerifiesInstance means that a target refuses an attempt that expects another instance, so connections need no
	// check.
	VerifiesInstance bool
	// CloseDelimitedBodies means that a response without a length is complete if the target closes the connection in
	// order, and the whole request could be written.
	CloseDelimitedBodies bool
	// LoadReadsWithoutID means that load reads and their responses carry no ID.
	LoadReadsWithoutID bool
}

// Attempt describes one attempt of a call to the protocol.
type Attempt struct {
	// ID identifies the attempt. The response must carry the same ID.
	ID string
	// Remaining is the time that the target has for the call.
	Remaining time.Duration
	// Instance is the expected instance; empty for any.
	Instance string
	// Repeat reports whether the attempt descends from a hedge or a retry.
	Repeat bool
	// Key is the idempotency key of the call, if it has one.
	Key string
	// LoadRead reports whether the attempt is a load read.
	LoadRead bool
	// Keyed and Workspace are those of the call.
	Keyed     bool
	Workspace string
}

// ResponseHead is the information in the head of a response.
type ResponseHead struct {
	// ID is the ID of the attempt that the response belongs to.
	ID string
	// Report is the target's report about itself. Its instance is empty if the response does not name it.
	Report outcome.Report
	// Refused means that the target has not executed the call, InstanceMismatch that it refused because it is another
	// instance than expected.
	Refused          bool
	InstanceMismatch bool
	// RetryAfter is the time to wait after a refusal before a retry; zero if unknown.
	RetryAfter time.Duration
	// IdleTimeout is how long the target keeps an idle connection open; zero if unknown.
	IdleTimeout time.Duration
}

// NativeProtocol is Skylarkbeam's own protocol between entries and targets (docs/design.md, 2.3).
type NativeProtocol struct{}

var (
	emptyValue  = []string{""}
	repeatValue = []string{"1"}
)

// SetRequestHeader implements Protocol.
func (NativeProtocol) SetRequestHeader(h http.Header, a Attempt) {
	for _, name := range []string{HeaderInstance, HeaderPhase, HeaderLoad, HeaderOutcome, HeaderRepeat, HeaderKey, headerIdempotencyKey} {
		delete(h, name)
	}
	h[HeaderRequest] = []string{a.ID}
	h[HeaderTimeout] = []string{a.Remaining.String()}
	if a.Repeat {
		h[HeaderRepeat] = repeatValue
	}
	if a.Key != "" {
		h[HeaderKey] = []string{a.Key}
	}
	if !a.Keyed {
		return
	}
	delete(h, headerAuthorization)
	delete(h, HeaderWorkspace)
	if a.Workspace != "" {
		h[HeaderWorkspace] = []string{a.Workspace}
	}
}

// ParseHead implements Protocol.
func (NativeProtocol) ParseHead(resp *http.Response) ResponseHead {
	head := ResponseHead{
		ID:     resp.Header.Get(HeaderRequest),
		Report: parseReport(resp.Header),
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == "not-run" {
		head.Refused = true
		head.RetryAfter = parseRetryAfter(resp.Header)
	}
	return head
}

// StripResponseHeader implements Protocol.
func (NativeProtocol) StripResponseHeader(h http.Header) {
	for _, name := range []string{HeaderRequest, HeaderInstance, HeaderPhase, HeaderLoad, HeaderOutcome, HeaderRepeat, HeaderLimit} {
		delete(h, name)
	}
}

// ReadLoad implements Protocol.
func (NativeProtocol) ReadLoad(resp *http.Response) (outcome.Report, error) { return parseLoad(resp) }

// Capabilities implements Protocol.
func (NativeProtocol) Capabilities() Capabilities { return Capabilities{} }

// parseCount parses a non-negative number. It returns zero for anything else.
func parseCount(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return 0
	}
	return n
}
