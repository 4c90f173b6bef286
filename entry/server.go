package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"skylarkbeam/caller"
)

const (
	// defaultAddressTTL is how long callers use an address list while no settings are in force.
	defaultAddressTTL = 10 * time.Second
	// leavePropagationTime is added to the address TTL on shutdown. Within it every peer learns that this entry is
	// leaving.
	leavePropagationTime = 2 * time.Second
	// readHeaderTimeout bounds the time a client takes to send the header of a request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is longer than the address TTL, so that idle connections are closed by the caller and not by the
	// entry.
	idleTimeout = 5 * time.Minute
	// callerShare, controlShare and extraShare are the parts of the connections that belong to the address for callers, the control
	// address, and all others together.
	callerShare  = 0.5
	controlShare = 0.25
	extraShare   = 0.25
	// relayHeaderBytes is what other entries add to the head of a call.
	relayHeaderBytes = 4 << 10
	// graceAcceptDivisor sets the part of the grace period, as 1/n, during which new connections are accepted.
	graceAcceptDivisor = 3
	// graceDispatchFraction is the part of the grace period during which calls are sent to targets. A later one is
	// refused, because it could still be running when the process ends.
	graceDispatchFraction = 0.4
	// graceExitMargin is the part of the grace period reserved for the exit of the process.
	graceExitMargin = 300 * time.Millisecond
	// graceAnswerMargin is how long before that the calls that are still running are answered.
	graceAnswerMargin = 150 * time.Millisecond
	// closeTimeout bounds the last writes to the table on shutdown.
	closeTimeout = 3 * time.Second
)

// Start serves all listeners and starts the background tasks.
func (e *Entry) Start() {
	e.callerServer = caller.NewServer(caller.Options{
		Handler:     e.callerHandler(),
		Connections: e.connections,
		Share:       callerShare,
		Limits:      e.callerLimits,
		Pacer:       e.link,
		Timers:      e.timers,
		Memory:      e.memory,
	})
	e.controlServer = e.newServer(e.boundMessages(e.controlHandler()), controlShare)
	for _, extra := range e.opts.ExtraListeners {
		e.extraServers = append(e.extraServers, e.newServer(extra.Handler(e), extraShare/float64(len(e.opts.ExtraListeners))))
	}
	e.startServer(e.controlServer, e.peers.WrapListener(e.listeners.control), "control")
	e.startServer(e.callerServer, e.listeners.caller, "caller")
	for i, extra := range e.opts.ExtraListeners {
		e.startServer(e.extraServers[i], e.listeners.extras[i], extra.Name)
	}
	e.startBackground()
	e.log.Info("serving",
		zap.Stringer("caller", e.CallerAddress()),
		zap.Stringer("control", e.ControlAddress()))
}

// callerLimits returns the limits for callers that are in force.
func (e *Entry) callerLimits() caller.Limits {
	settings := e.snapshot.Load().settings
	if settings == nil {
		return caller.Limits{
			MaxHeaderBytes:    http.DefaultMaxHeaderBytes,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
		}
	}
	return caller.Limits{
		MaxHeaderBytes:    settings.Limits.Head,
		ReadHeaderTimeout: time.Duration(settings.Limits.Read),
		IdleTimeout:       time.Duration(settings.Limits.Idle),
	}
}

// CallerAddress returns the address on which callers are served.
func (e *Entry) CallerAddress() netip.AddrPort {
	return addressOf(e.listeners.caller)
}

// ControlAddress returns the address on which other entries and operators are served.
func (e *Entry) ControlAddress() netip.AddrPort {
	return addressOf(e.listeners.control)
}

// newServer returns a server for an address other than that of callers, to which a share of the connections belongs.
func (e *Entry) newServer(handler http.Handler, share float64) *caller.Server {
	return caller.NewServer(caller.Options{
		Handler:       e.recoverPanics(handler),
		Connections:   e.connections,
		Share:         share,
		Interruptible: interruptible,
		Limits:        e.serviceLimits,
		Timers:        e.timers,
		Memory:        e.memory,
	})
}

// serviceServers returns the servers for addresses other than that of callers.
func (e *Entry) serviceServers() []*caller.Server {
	if e.controlServer == nil {
		return nil
	}
	return append([]*caller.Server{e.controlServer}, e.extraServers...)
}

// serviceLimits returns the limits at addresses other than that of callers.
func (e *Entry) serviceLimits() caller.Limits {
	return caller.Limits{
		MaxHeaderBytes:    e.callerLimits().MaxHeaderBytes + relayHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

func (e *Entry) startServer(server *caller.Server, listener net.Listener, name string) {
	e.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, caller.ErrClosed) {
			e.log.Error("listener failed", zap.String("listener", name), zap.Error(err))
		}
	})
}

// Shutdown stops the entry without cutting calls in flight. It removes the entry from the address lists at once,
// serves until callers no longer use a list that contains it, and then waits for the last call to end. If ctx ends
// first, the remaining calls are cut.
//
// With a grace period, new calls are refused from graceDispatchFraction of it on, and calls without a response are answered
// right before its end.
func (e *Entry) Shutdown(ctx context.Context) {
	e.leaving.Store(true)
	e.fleet.Leave()
	acceptTime := e.AddressTTL() + leavePropagationTime
	if grace := e.gracePeriod(); grace > 0 {
		// The process is killed at the end of the grace period. A call accepted late in it could not be answered, so
		// a refused connection is better for callers that still use the address.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, grace-graceExitMargin)
		defer cancel()
		acceptTime = min(e.AddressTTL(), grace/graceAcceptDivisor)
		dispatchEnd := e.timers.Now().Add(time.Duration(graceDispatchFraction * float64(grace)))
		e.dispatchEnd.Store(&dispatchEnd)
		answer := time.AfterFunc(grace-graceExitMargin-graceAnswerMargin, e.endCalls)
		defer answer.Stop()
		e.callerServer.Drain()
	}
	e.log.Info("leaving", zap.Duration("stay", acceptTime))
	wait := time.NewTimer(acceptTime)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
	if err := e.callerServer.Shutdown(ctx); err != nil {
		e.logCut(err)
	}
	e.Close()
}

// gracePeriod returns the bound on the duration of a shutdown that begins now, or zero if there is none.
func (e *Entry) gracePeriod() time.Duration {
	if e.opts.GracePeriod == nil {
		return 0
	}
	return e.opts.GracePeriod()
}

// dispatchEnded reports whether a shutdown has ended the dispatch of calls.
func (e *Entry) dispatchEnded(now time.Time) bool {
	end := e.dispatchEnd.Load()
	return end != nil && !now.Before(*end)
}

// logCut logs what the end of a shutdown cuts: connections, most of them without a call, and calls.
func (e *Entry) logCut(err error) {
	connections, calls := zap.Int("connections", e.callerServer.Connections()), zap.Int64("calls", e.inflight.Load())
	if e.inflight.Load() == 0 {
		e.log.Info("connections without a call were closed", connections)
		return
	}
	e.log.Warn("calls were cut by an early stop", connections, calls, zap.Error(err))
}

// AddressTTL returns how long callers use the addresses that an entry gave them.
func (e *Entry) AddressTTL() time.Duration {
	if settings := e.snapshot.Load().settings; settings != nil {
		return time.Duration(settings.Limits.Keep)
	}
	return defaultAddressTTL
}

// Close stops the entry immediately and cuts calls in flight.
func (e *Entry) Close() {
	e.stopOnce.Do(func() {
		limit := closeTimeout
		if e.gracePeriod() > 0 {
			// Clients that hold connections open must not use up the margin.
			limit = graceExitMargin / 2
		}
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		e.callerServer.Close()
		e.rollouts.cancelCalls()
		if err := e.fleet.Close(ctx); err != nil {
			e.log.Warn("cannot remove the entry from the member list in the table", zap.Error(err))
		}
		e.controlServer.Shutdown(ctx)
		e.controlServer.Close()
		if e.claims != nil {
			e.claims.Close()
		}
		for _, server := range e.extraServers {
			server.Close()
		}
		close(e.done)
		e.closePools()
		e.peers.Close()
	})
	e.tasks.Wait()
	e.log.Info("stopped")
}

func (e *Entry) closePools() {
	for _, p := range e.snapshot.Load().pools {
		p.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peerPools {
		p.Close()
	}
}

// Ready reports whether the entry can receive calls: it is not shutting down, has settings and contact, and may probe
// targets.
func (e *Entry) Ready() bool {
	now := e.timers.Now()
	return !e.leaving.Load() && e.snapshot.Load().settings != nil && e.fleet.CanServe(now) && e.fleet.CanProbe(now)
}
