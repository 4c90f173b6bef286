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
	// recent is the age of its last answer up to which a connection may carry a non-idempotent call, and the age up to
	// which a report counts as current. The value is part of the design (2.7).
	recent = time.Second
	// idleLimit is below the idle timeouts of a minute and more that servers commonly have, so that a target rarely
	// closes a connection at the moment at which it is reused.
	idleLimit = 30 * time.Second
	// idleMargin is the part of a target's own idle timeout, as 1/n, in which its connections are no longer used: a request
	// that crosses the close of its connection is lost.
	idleMargin = 4
	// maxAwait is how long a call waits for another one to confirm its connection. It covers the usual work of a call;
	// after a longer wait another target would have answered.
	maxAwait = 50 * time.Millisecond
	// maxHead bounds the head of an answer, informational answers included. net/http servers accept 1 MiB by default.
	maxHead = 1 << 20
	// maxLoad bounds the body of a load read, and the body of a refusal that is read in order to keep the connection.
	maxLoad = 16 << 10
	// bufferSize holds a usual head with a small body; larger bodies bypass the buffers.
	bufferSize = 4 << 10
)

// Options describe a pool. Zero fields get their defaults.
type Options struct {
	Name    string
	Address netip.AddrPort
	// MaxConnections is the largest number of open connections; 200 by default.
	MaxConnections int
	// ProbeBudget is the budget for load reads and connection checks. Without one, neither is done: Probe fails, and a call
	// with an expected instance goes only on connections that are already known to lead to it.
	ProbeBudget *ProbeBudget
	Timers      *timer.Service
	// Protocol is how the target speaks; Own by default.
	Protocol Protocol
	// LoadPath is the path of load reads; /skylarkbeam/load by default.
	LoadPath string
	// DialTimeout is the longest time for opening a connection; 250ms by default.
	DialTimeout time.Duration
	// ProbeTimeout is the longest time for a load read; 250ms by default.
	ProbeTimeout time.Duration
	// FirstByteTimeout is how long an idempotent call waits for the first byte on a reused connection before it is sent again on
	// a new one; 250ms by default, and no limit if it is negative. It should be several times the usual time of the
	// service's work.
	FirstByteTimeout time.Duration
	// OnReport is called for each report learned, from answers, refusals, load reads and connection checks. It must
	// return fast. Reports of concurrent requests can arrive in another order than the target sent them.
	OnReport func(outcome.Report)
	// MayRetry is asked before Send writes a call again that may have been sent already; nil allows all. A call of which
	// nothing was written needs no permission.
	MayRetry func() bool
	// OnRetry is called when Send sends a call again by itself.
	OnRetry func(outcome.Reason)
	// OnDialError is told why a connection could not be opened, unless the call was canceled. Outcomes say only that it could
	// not.
	OnDialError func(error)
	// Dial opens a connection; TCP by default.
	Dial func(context.Context, netip.AddrPort) (net.Conn, error)

	host   string
	traits Capabilities
}

// SetDefaults fills zero fields.
func (o *Options) SetDefaults() {
	if o.MaxConnections == 0 {
		o.MaxConnections = 200
	}
	if o.Protocol == nil {
		o.Protocol = NativeProtocol{}
	}
	if o.LoadPath == "" {
		o.LoadPath = loadPath
	}
	o.traits = o.Protocol.Capabilities()
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

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address.String())
}
