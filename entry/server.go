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
	// defaultKeep is how long callers keep an address list if no settings are in force.
	defaultKeep = 10 * time.Second
	// leaveMargin is added to that on shutdown: the time until every peer knows that this entry is leaving.
	leaveMargin = 2 * time.Second
	// headerTimeout bounds the time in which a caller must send the head of a request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is longer than any caller keeps an address, so that a caller and not the entry ends the use of an idle
	// connection.
	idleTimeout = 5 * time.Minute
	// gracePart is the part of a grace period, as 1/n, in which calls are still taken.
	gracePart = 3
	// graceMargin is the part of a grace period that is left for the end of the process.
	graceMargin = 300 * time.Millisecond
	// closeTimeout bounds the last writes to the table on shutdown.
	closeTimeout = 3 * time.Second
)

// Start serves both listeners and starts the background work.
func (e *Entry) Start() {
	e.callerServer = caller.NewServer(caller.Options{
		Handler: e.callerHandler(),
		Limits:  e.callerLimits,
		Pacer:   e.link,
		Timers:  e.timers,
	})
	e.controlServer = e.server(e.controlHandler())
	e.serveOn(e.controlServer, e.peers.WrapListener(e.listeners.control), "control")
	e.tasks.Go(func() {
		if err := e.callerServer.Serve(e.listeners.caller); !errors.Is(err, caller.ErrClosed) {
			e.log.Error("listener failed", zap.String("listener", "caller"), zap.Error(err))
		}
	})
	for i, extra := range e.opts.ExtraListeners {
		server := e.server(extra.Handler(e))
		e.extraServers = append(e.extraServers, server)
		e.serveOn(server, e.listeners.extras[i], extra.Name)
	}
	e.background()
	e.log.Info("serving",
		zap.Stringer("caller", e.CallerAddress()),
		zap.Stringer("control", e.ControlAddress()))
}

// callerLimits are the limits for callers that are in force.
func (e *Entry) callerLimits() caller.Limits {
	settings := e.view.Load().settings
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

// ControlAddress returns the address on which peers and operators are served.
func (e *Entry) ControlAddress() netip.AddrPort {
	return addressOf(e.listeners.control)
}

func (e *Entry) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(e.log),
	}
}

func (e *Entry) serveOn(server *http.Server, listener net.Listener, name string) {
	e.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("listener failed", zap.String("listener", name), zap.Error(err))
		}
	})
}

// Shutdown stops the entry without cutting a call. From its start on, no address list names the entry; it goes on serving
// for as long as a caller may keep a list that does, and then until the last call has ended. It ends early if ctx does,
// in which case calls can be cut.
func (e *Entry) Shutdown(ctx context.Context) {
	e.leaving.Store(true)
	e.fleet.Leave()
	stay := e.AddressTTL() + leaveMargin
	if e.opts.GracePeriod > 0 {
		// The process is killed at the end of the grace period. A call that is taken late in it could not be answered, so
		// callers that still have the address are better off with a refused connection.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, e.opts.GracePeriod-graceMargin)
		defer cancel()
		stay = min(e.AddressTTL(), e.opts.GracePeriod/gracePart)
		e.callerServer.Drain()
	}
	e.log.Info("leaving", zap.Duration("stay", stay))
	wait := time.NewTimer(stay)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
	if err := e.callerServer.Shutdown(ctx); err != nil {
		e.log.Warn("calls were cut by an early stop", zap.Error(err))
	}
	e.Close()
}

// AddressTTL returns how long callers keep the addresses that an entry gave them.
func (e *Entry) AddressTTL() time.Duration {
	if settings := e.view.Load().settings; settings != nil {
		return time.Duration(settings.Limits.Keep)
	}
	return defaultKeep
}

// Close stops the entry at once. Calls in flight are cut.
func (e *Entry) Close() {
	e.stopOnce.Do(func() {
		limit := closeTimeout
		if e.opts.GracePeriod > 0 {
			limit = graceMargin
		}
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		e.callerServer.Close()
		if err := e.fleet.Close(ctx); err != nil {
			e.log.Warn("the entry is still in the table's list of members", zap.Error(err))
		}
		e.controlServer.Shutdown(ctx)
		e.controlServer.Close()
		if e.ledger != nil {
			e.ledger.Close()
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
	for _, p := range e.view.Load().pools {
		p.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.relays {
		r.Close()
	}
}

// Ready tells whether callers may be sent to the entry: it is not shutting down, it has settings and contact, and it may
// check connections.
func (e *Entry) Ready() bool {
	now := e.timers.Now()
	return !e.leaving.Load() && e.view.Load().settings != nil && e.fleet.CanServe(now) && e.fleet.CanProbe(now)
}
