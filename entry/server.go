package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
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
	// closeTimeout bounds the last writes to the table on shutdown.
	closeTimeout = 3 * time.Second
)

// Start serves both listeners and starts the background work.
func (e *Entry) Start() {
	e.callerServer = e.server(e.callerHandler())
	e.controlServer = e.server(e.controlHandler())
	e.serveOn(e.controlServer, e.peers.Listener(e.listeners.control), "control")
	e.serveOn(e.callerServer, e.listeners.caller, "caller")
	e.background()
	e.log.Info("serving",
		zap.Stringer("caller", e.CallerAddress()),
		zap.Stringer("control", e.ControlAddress()))
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
	keep := defaultKeep
	if settings := e.view.Load().settings; settings != nil {
		keep = time.Duration(settings.Limits.Keep)
	}
	e.log.Info("leaving", zap.Duration("keep", keep+leaveMargin))
	wait := time.NewTimer(keep + leaveMargin)
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

// Close stops the entry at once. Calls in flight are cut.
func (e *Entry) Close() {
	e.stopOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		e.callerServer.Close()
		if err := e.fleet.Close(ctx); err != nil {
			e.log.Warn("the entry is still in the table's list of members", zap.Error(err))
		}
		e.controlServer.Shutdown(ctx)
		e.controlServer.Close()
		e.ledger.Close()
		close(e.done)
		e.closePools()
		e.peers.Close()
	})
	e.tasks.Wait()
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

// Ready tells whether the entry can send calls: it has settings, it has contact, and it may check connections.
func (e *Entry) Ready() bool {
	now := e.timers.Now()
	return e.view.Load().settings != nil && e.fleet.Contact(now) && e.fleet.Probes(now)
}
