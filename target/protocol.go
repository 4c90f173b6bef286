package target

import (
	"net/http"
	"strconv"
	"time"

	"skylarkbeam/outcome"
)

// Protocol is how calls, answers and load reads are written on the connections to a target. Own is the one of this
// project; a platform with workers of its own brings another.
type Protocol interface {
	// SetRequestHeader sets the fields of one attempt in h, which has the caller's end-to-end fields already.
	SetRequestHeader(h http.Header, a Attempt)
	// ParseHead returns what the head of an answer says.
	ParseHead(resp *http.Response) ResponseHead
	// StripResponseHeader removes the fields that are not passed on to the caller. The hop-by-hop fields are gone already.
	StripResponseHeader(h http.Header)
	// ReadLoad reads the answer to a load read to its end.
	ReadLoad(resp *http.Response) (outcome.Report, error)
	// Capabilities are what the protocol guarantees.
	Capabilities() Capabilities
}

// Capabilities say what a Protocol guarantees.
type Capabilities struct {
	// VerifiesInstance means that a target refuses an attempt that expects another instance, so that connections need no check.
	VerifiesInstance bool
	// CloseDelimitedBodies means that an answer without a length is whole if its connection is closed in order.
	CloseDelimitedBodies bool
	// LoadReadsWithoutID means that load reads carry no id and are answered without one.
	LoadReadsWithoutID bool
}

// Attempt is what the pool says of one attempt at a call.
type Attempt struct {
	// ID identifies the attempt; its answer must have the same.
	ID string
	// Remaining is the time that the target has for the call.
	Remaining time.Duration
	// Instance is the expected instance, empty for any.
	Instance string
	// Repeat says that the attempt descends from a hedge or a repeat.
	Repeat bool
	// Key is the idempotency key of the call, if it has one.
	Key string
	// LoadRead says that the attempt is a load read.
	LoadRead bool
}

// ResponseHead is what the head of an answer says.
type ResponseHead struct {
	// ID is the id of the attempt that is answered.
	ID string
	// Report is what the target says of itself. Its instance may be empty if the answer does not name it.
	Report outcome.Report
	// Refused means that the target has not run the call, Replaced that it has not because it is another instance.
	Refused          bool
	InstanceMismatch bool
	// RetryAfter is when coming back makes sense after a refusal; zero if that is not known.
	RetryAfter time.Duration
	// IdleTimeout is how long the target keeps an idle connection; zero if it does not say.
	IdleTimeout time.Duration
}

// NativeProtocol is this project's protocol towards targets (docs/design.md, 2.3).
type NativeProtocol struct{}

var (
	emptyValue  = []string{""}
	repeatValue = []string{"1"}
)

// SetRequestHeader implements Protocol.
func (NativeProtocol) SetRequestHeader(h http.Header, a Attempt) {
	for _, name := range []string{HeaderInstance, HeaderPhase, HeaderLoad, HeaderOutcome, HeaderRepeat, HeaderKey, headerIdempotency} {
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
}

// ParseHead implements Protocol.
func (NativeProtocol) ParseHead(resp *http.Response) ResponseHead {
	head := ResponseHead{
		ID:     resp.Header.Get(HeaderRequest),
		Report: parseReport(resp.Header),
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == "not-run" {
		head.Refused = true
		head.RetryAfter = retryAfter(resp.Header)
	}
	return head
}

// StripResponseHeader implements Protocol.
func (NativeProtocol) StripResponseHeader(h http.Header) {
	for _, name := range []string{HeaderRequest, HeaderInstance, HeaderPhase, HeaderLoad, HeaderOutcome, HeaderRepeat} {
		delete(h, name)
	}
}

// ReadLoad implements Protocol.
func (NativeProtocol) ReadLoad(resp *http.Response) (outcome.Report, error) { return parseLoad(resp) }

// Capabilities implements Protocol.
func (NativeProtocol) Capabilities() Capabilities { return Capabilities{} }

// count reads a number that is not negative; anything else counts as zero.
func count(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return 0
	}
	return n
}
