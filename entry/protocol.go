package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"skylarkbeam/outcome"
	"skylarkbeam/setting"
	"skylarkbeam/target"
)

// Protocol is how callers and targets speak with an entry. Own is the one of this project; a platform whose callers and
// targets speak otherwise brings another.
type Protocol interface {
	// RequestID returns the id that the caller gave to the call; empty if callers give none.
	RequestID(r *http.Request) string
	// ParseRequest reads what a request says of its call beside host, method, path and body. The settings are those in force.
	ParseRequest(settings *setting.Settings, r *http.Request) (CallMetadata, *Refusal)
	// SetResponseHeader fills in the header of the answer to a caller from the header of a target's answer.
	SetResponseHeader(to, from http.Header)
	// WriteRefusal writes the final answer to a call that gets none of a target.
	WriteRefusal(w http.ResponseWriter, no *Refusal)
	// TargetProtocol is how targets speak.
	TargetProtocol() target.Protocol
}

// CallMetadata is what a request says of its call.
type CallMetadata struct {
	// Caller is who is calling.
	Caller string
	// IdempotencyKey is the idempotency key, empty if the caller has none and the call is to run at most once nevertheless.
	IdempotencyKey string
	// Timeout is the time that the call has left; zero if the caller does not say.
	Timeout time.Duration
	// IsRetry says that the call descends from a hedge or a repeat.
	IsRetry bool
}

// Refusal says why a call gets no answer of a target. It is sent by the entry itself.
type Refusal struct {
	// Status is the HTTP status by which Own refuses.
	Status int
	// Outcome is one of the values of the header Skylarkbeam-Outcome.
	Outcome string
	Reason  outcome.Reason
	// RetryAfter is when coming back makes sense; zero if it does not.
	RetryAfter time.Duration
	Message    string
}

// NotRun tells whether the call has certainly not run and will not.
func (r *Refusal) NotRun() bool { return r.Outcome == outcomeNotRun }

// NativeProtocol is this project's protocol towards callers (docs/design.md, 2.3).
type NativeProtocol struct{}

// RequestID implements Protocol.
func (NativeProtocol) RequestID(*http.Request) string { return "" }

// ParseRequest implements Protocol.
func (NativeProtocol) ParseRequest(settings *setting.Settings, r *http.Request) (CallMetadata, *Refusal) {
	q := CallMetadata{
		Caller:         r.Header.Get(headerCaller),
		IdempotencyKey: r.Header.Get(headerKey),
		IsRetry:        r.Header.Get(headerRepeat) != "",
	}
	if _, ok := callerClass(settings, q.Caller); !ok {
		return q, notRun(outcome.UnknownCaller, 0, "unknown caller in header "+headerCaller)
	}
	if text := r.Header.Get(headerTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return q, notRun(outcome.Invalid, 0, "header "+headerTimeout+" is not a positive duration")
		}
		q.Timeout = timeout
	}
	return q, nil
}

// SetResponseHeader implements Protocol.
func (NativeProtocol) SetResponseHeader(to, from http.Header) {
	for name, values := range from {
		if strings.HasPrefix(name, headerPrefix) {
			continue
		}
		to[name] = values
	}
	to.Set(headerOutcome, outcomeAnswered)
}

// WriteRefusal implements Protocol.
func (NativeProtocol) WriteRefusal(w http.ResponseWriter, no *Refusal) {
	header := w.Header()
	header.Set(headerOutcome, no.Outcome)
	header.Set(headerReason, string(no.Reason))
	if no.RetryAfter > 0 {
		seconds := (no.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	http.Error(w, fmt.Sprintf("%s: %s", no.Reason, no.Message), no.Status)
}

// TargetProtocol implements Protocol.
func (NativeProtocol) TargetProtocol() target.Protocol { return target.NativeProtocol{} }

func callerClass(settings *setting.Settings, caller string) (setting.Class, bool) {
	c, ok := settings.Callers[caller]
	if !ok {
		return setting.Class{}, false
	}
	class, ok := settings.Classes[c.Class]
	return class, ok
}
