package target

import (
	"context"
	"net"
	"net/netip"
	"time"

	"skylarkbeam/outcome"
	"skylarkbeam/timer"
)

const (
	// freshnessLimit is how long after its last response a connection may carry a non-idempotent call, and how long a
	// report counts as current (docs/design.md, 2.7).
	freshnessLimit = time.Second
	// maxReportAge is the age of the last report from which a call with an expected instance is preceded by a connection
	// check. The target may be leaving since, and then gets no new calls after at most 5 s. An entry that has sent it
	// nothing for a while learns so only by asking.
	maxReportAge = 3 * time.Second
	// maxIdleTime is below the idle timeouts of one minute or more that are common on servers, so that a target rarely
	// closes a connection at the moment of its reuse.
	maxIdleTime = 30 * time.Second
	// idleMarginDivisor sets the last part of a target's idle timeout, as 1/n of it, in which its connections are no
	// longer used. A request that crosses the close of its connection is lost.
	idleMarginDivisor = 4
	// defaultConfirmationWait covers the usual processing time of a call; after a longer wait another target would already
	// have responded.
	defaultConfirmationWait = 50 * time.Millisecond
	// maxHeadBytes bounds the head of a response, including informational responses. Targets in trouble may send heads
	// without end, many of them at once.
	maxHeadBytes = 256 << 10
	// maxDiscardBytes bounds the body of a load read, and of a refusal that is read to its end to keep the connection.
	maxDiscardBytes = 16 << 10
	// discardTimeout bounds how long such a body is waited for. A new connection takes less time.
	discardTimeout = 20 * time.Millisecond
	// bufferBytes holds a typical head with a small body. Larger bodies bypass the buffers.
	bufferBytes = 4 << 10
)

// Options configures a Pool. Zero fields get their defaults.
type Options struct {
	Name    string
	Address netip.AddrPort
	// MaxConnections is the maximum number of open connections. Defaults to 200.
	MaxConnections int
	// ProbeBudget limits load reads and connection checks. Without a budget there are none: Probe fails, and a call
	// with an expected instance only uses connections already known to lead to it.
	ProbeBudget *ProbeBudget
	Timers      *timer.Service
	// Protocol is the protocol of the target. Defaults to NativeProtocol.
	Protocol Protocol
	// LoadPath is the path of load reads. Defaults to /skylarkbeam/load.
	LoadPath string
	// DialTimeout bounds the opening of a connection. Defaults to 250 ms.
	DialTimeout time.Duration
	// ProbeTimeout bounds a load read. Defaults to 250 ms.
	ProbeTimeout time.Duration
	// FirstByteTimeout is how long an idempotent call waits for the first byte on a reused connection before it is sent
	// again on a new one. It should be several times the usual processing time of the service. Defaults to 250 ms; a
	// negative value disables it.
	FirstByteTimeout time.Duration
	// ConfirmationWait bounds how long a call waits for another call to confirm its connection. Defaults to 50 ms.
	ConfirmationWait time.Duration
	// OnReport is called with each report received in a response, refusal, load read or connection check. It must
	// return quickly. Reports of concurrent requests can arrive out of order.
	OnReport func(outcome.Report)
	// MayRetry is called before Send sends a call again that may have reached the target. If it is nil, all such
	// retries are allowed. Calls of which nothing was written need no permission.
	MayRetry func() bool
	// OnRetry is called when Send itself retries a call.
	OnRetry func(outcome.Reason)
	// OnDialError is called with the error of a failed dial, unless the call was canceled. The outcome of the call does
	// not include this error.
	OnDialError func(error)
	// Sockets bounds the connections of all pools that share it; nil if nothing does.
	Sockets *Sockets
	// Dial opens a connection. Defaults to TCP.
	Dial func(context.Context, netip.AddrPort) (net.Conn, error)

	host         string
	capabilities Capabilities
}

// SetDefaults sets zero fields to their defaults.
func (o *Options) SetDefaults() {
	if o.MaxConnections == 0 {
		o.MaxConnections = 200
	}
	if o.Protocol == nil {
		o.Protocol = NativeProtocol{}
	}
	if o.LoadPath == "" {
		o.LoadPath = defaultLoadPath
	}
	o.capabilities = o.Protocol.Capabilities()
	if o.Timers == nil {
		o.Timers = timer.New()
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = 250 * time.Millisecond
	}
	if o.ProbeTimeout == 0 {
		o.ProbeTimeout = 250 * time.Millisecond
	}
	if o.FirstByteTimeout == 0 {
		o.FirstByteTimeout = 250 * time.Millisecond
	}
	if o.ConfirmationWait == 0 {
		o.ConfirmationWait = defaultConfirmationWait
	}
	if o.OnReport == nil {
		o.OnReport = func(outcome.Report) {}
	}
	if o.OnRetry == nil {
		o.OnRetry = func(outcome.Reason) {}
	}
	if o.OnDialError == nil {
		o.OnDialError = func(error) {}
	}
	o.host = o.Address.String()
	if o.Dial == nil {
		o.Dial = dialTCP
	}
}
