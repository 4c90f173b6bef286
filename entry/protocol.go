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
	"skylarkbeam/workspace"
)

// Protocol defines the headers exchanged with callers and targets. NativeProtocol is the protocol of this project; a
// platform with other conventions provides its own.
type Protocol interface {
	// RequestID returns the request ID set by the caller, or an empty string if callers set none.
	RequestID(r *http.Request) string
	// ParseRequest reads the metadata of a call from the request. settings are those in force.
	ParseRequest(settings *setting.Settings, r *http.Request) (CallMetadata, *Refusal)
	// Credential returns what a request carries to name its workspace. It is used only if the settings have workspaces.
	Credential(r *http.Request) workspace.Credential
	// SetResponseHeader sets the header of the response to a caller from the header of a target's response.
	SetResponseHeader(to, from http.Header)
	// WriteRefusal writes the response to a call that has no response from a target.
	WriteRefusal(w http.ResponseWriter, refusal *Refusal)
	// TargetProtocol returns the protocol used with targets.
	TargetProtocol() target.Protocol
}

// CallMetadata is the metadata that a request carries besides host, method, path and body.
type CallMetadata struct {
	// Caller is the name of the caller.
	Caller string
	// IdempotencyKey is the idempotency key, empty if the caller sets none. A non-idempotent call without one still
	// runs at most once.
	IdempotencyKey string
	// Timeout is the time left until the deadline of the call, or zero if the caller sets none.
	Timeout time.Duration
	// IsRetry is set if the call is itself a retry or hedge of an upstream entry.
	IsRetry bool
}

// Refusal explains why a call gets no response from a target. The entry sends it instead.
type Refusal struct {
	// Status is the HTTP status that NativeProtocol sends.
	Status int
	// Outcome is one of the values of the header Skylarkbeam-Outcome.
	Outcome string
	Reason  outcome.Reason
	// RetryAfter is the delay after which a retry may succeed, or zero if it cannot.
	RetryAfter time.Duration
	Message    string
}

// NotRun reports whether the call certainly has not run and will not run.
func (r *Refusal) NotRun() bool { return r.Outcome == outcomeNotRun }

// NativeProtocol is the protocol of this project for callers (docs/design.md, 2.3).
type NativeProtocol struct{}

// RequestID implements Protocol.
func (NativeProtocol) RequestID(*http.Request) string { return "" }

// ParseRequest implements Protocol.
func (NativeProtocol) ParseRequest(settings *setting.Settings, r *http.Request) (CallMetadata, *Refusal) {
	metadata := CallMetadata{
		Caller:         r.Header.Get(headerCaller),
		IdempotencyKey: r.Header.Get(headerKey),
		IsRetry:        r.Header.Get(headerRepeat) != "",
	}
	if _, ok := callerClass(settings, metadata.Caller); !ok {
		return metadata, notRunRefusal(outcome.UnknownCaller, 0, "unknown caller in header "+headerCaller)
	}
	if text := r.Header.Get(headerTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return metadata, notRunRefusal(outcome.Invalid, 0, "header "+headerTimeout+" is not a positive duration")
		}
		metadata.Timeout = timeout
	}
	return metadata, nil
}

// keyScheme is the authentication scheme of keys. Its letter case does not count (RFC 9110, 11.1).
const keyScheme = "Bearer"

// Credential implements Protocol.
func (NativeProtocol) Credential(r *http.Request) workspace.Credential {
	return workspace.ParseAuthorization(r.Header["Authorization"], keyScheme)
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
func (NativeProtocol) WriteRefusal(w http.ResponseWriter, refusal *Refusal) {
	header := w.Header()
	header.Set(headerOutcome, refusal.Outcome)
	header.Set(headerReason, string(refusal.Reason))
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	http.Error(w, fmt.Sprintf("%s: %s", refusal.Reason, refusal.Message), refusal.Status)
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
