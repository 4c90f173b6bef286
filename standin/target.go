// Package standin is a stand-in for the targets of the platform, for tests and demonstrations.
//
// A Target is an http.Handler that speaks the messages between entries and targets, and that has the properties the
// platform's targets have: slots and a bounded queue, shedding, deadlines and cancellation, a cold start, draining, and
// load reports that lag or mislead. Its faults are switched on in Go, or over HTTP under /standin/. It counts how often
// each call ran, so a test can compare what a caller was told with what happened.
//
// # Usage
//
//	t := standin.New(standin.Options{
//		Name: "worker-1",
//		Switches: standin.Switches{
//			Slots: 2,
//			Work:  standin.Duration(5 * time.Millisecond),
//		},
//	})
//	server, err := standin.Start(t, netip.MustParseAddrPort("127.0.0.1:0"))
//	defer server.Close()
//	t.Next(standin.FaultCut)
//	t.Set(func(s *standin.Switches) { s.Drain = true })
//
// An answer's body follows from the request alone, see Want, so a crossed or truncated answer is recognizable. The query
// parameter size gives its length in bytes, chunked=1 sends it in chunks, and status=N gives the status.
package standin

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"skylarkbeam/outcome"
)

// Options describe a target.
type Options struct {
	Name    string
	Service string
	Behavior
}

// Target is a stand-in for one target. It is safe for concurrent use. Faults that concern connections as a whole need a
// Server.
type Target struct {
	name    string
	service string
	control http.Handler
	// transport carries onward calls.
	transport *http.Transport

	mu       sync.Mutex
	switches Behavior
	changed  chan struct{} // closed and replaced when the switches change
	life     *life
	active   int
	waiting  []chan struct{} // queued calls, the oldest first; closed to give a slot
	next     []Fault
	cross    *crossing
	counts   Counts
	runs     RunCounts
	loads    []time.Time // load reads of the last second
	history  []sample    // former load, kept while Stale is set
	conns    map[*conn]struct{}
	listener *listener // nil without a Server
	starts   int       // restarts that closed the connections
}

// life is one process start of the target.
type life struct {
	instance string
	start    time.Time
	cold     time.Duration     // how long it is cold; a later change of the switch must not make a warm process cold
	present  map[*inbound]bool // running or queued
}

// New returns a target that starts now.
func New(opts Options) *Target {
	t := &Target{
		name:      opts.Name,
		service:   opts.Service,
		switches:  opts.Behavior,
		transport: newTransport(),
		changed:   make(chan struct{}),
		life:      newLife(opts.ColdDuration),
		runs:      newRuns(),
		conns:     map[*conn]struct{}{},
	}
	t.switches.SetDefaults()
	t.control = t.controls()
	return t
}

func newLife(cold Duration) *life {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return &life{
		instance: hex.EncodeToString(b[:]),
		start:    time.Now(),
		cold:     time.Duration(cold),
		present:  map[*inbound]bool{},
	}
}

// Name returns the name of the target.
func (t *Target) Name() string { return t.name }

// Instance returns the id of the current process start.
func (t *Target) Instance() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.life.instance
}

// Restart makes the target a new instance that is cold again and not draining. Unless keep is set, all connections are
// closed, which ends the calls in flight.
func (t *Target) Restart(keep bool) {
	t.mu.Lock()
	l := t.listener
	t.mu.Unlock()
	if l != nil && !keep {
		l.stop()
		defer l.resume()
	}
	t.mu.Lock()
	t.life = newLife(t.switches.ColdDuration)
	t.switches.Draining = false
	t.history = nil
	t.signal()
	var conns []*conn
	if !keep {
		t.starts++
		for c := range t.conns {
			c.dead = true
			conns = append(conns, c)
		}
	}
	t.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// MakeCold makes the target cold again for a time, without a new process start.
func (t *Target) MakeCold(cold time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.life.start = time.Now()
	t.life.cold = cold
}

// ServeHTTP handles calls, load reads and the controls.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/standin/"):
		t.control.ServeHTTP(w, r)
	case r.URL.Path == "/skylarkbeam/load":
		t.serveLoad(w, r)
	default:
		t.serveCall(w, r)
	}
}

// report returns the true state. The caller holds the lock.
func (t *Target) report() outcome.Report {
	phase := outcome.PhaseWarm
	switch {
	case t.switches.Draining:
		phase = outcome.PhaseDraining
	case t.cold():
		phase = outcome.PhaseCold
	}
	return outcome.Report{
		Instance: t.life.instance,
		Phase:    phase,
		Active:   t.active,
		Slots:    t.switches.Slots,
		Queued:   len(t.waiting),
	}
}

func (t *Target) cold() bool {
	return time.Since(t.life.start) < t.life.cold
}

// fields returns the header of every answer: the id of the request that it answers and the target's state.
func (t *Target) fields(id string) http.Header {
	t.mu.Lock()
	r := t.report()
	t.mu.Unlock()
	h := http.Header{}
	if id != "" {
		h.Set("Skylarkbeam-Request", id)
	}
	h.Set("Skylarkbeam-Instance", r.Instance)
	h.Set("Skylarkbeam-Phase", string(r.Phase))
	h.Set("Skylarkbeam-Load", fmt.Sprintf("%d/%d/%d", r.Active, r.Slots, r.Queued))
	return h
}
