package route

import (
	"net/netip"
	"time"

	"skylarkbeam/outcome"
)

// Permit allows one attempt at one target. Done must be called exactly once.
type Permit struct {
	Target  string
	Domain  string
	Address netip.AddrPort
	// Instance is the instance that the attempt must reach; empty if any may run it.
	Instance string
	// Cold means that the target is in its cold start and this entry owns it.
	Cold bool
	// LeaseEnd is the end of the ownership lease of a cold target. The attempt must have ended by then. It is zero for a
	// warm target.
	LeaseEnd time.Time

	// Estimate is what the choice of a registered target was based on, zero for others.
	Estimate Estimate

	target *target
	start  time.Time
	done   bool
	// query describes the call.
	query Query
}

// Estimate is what the choice of a target was based on.
type Estimate struct {
	// Load is the number of calls that were expected at the target, Slowness how long work was expected to take there,
	// relative to the usual time.
	Load     float64
	Slowdown float64
	// LatencyRatio is how much slower than that the target was found to be lately.
	LatencyRatio float64
	// ReportAge is the age of the target's last report.
	ReportAge time.Duration
	// ExpectedLatency is when the answer was expected, from the choice on.
	ExpectedLatency time.Duration
	// Cold says that the target was in its cold start.
	Cold bool
}

// ResultKind is how an attempt ended.
type ResultKind int

// The ends of an attempt.
const (
	// Succeeded: the target answered, whatever it thinks of the request.
	Succeeded ResultKind = iota
	// Failed: the target answered with a server error, or may have run the call without an answer.
	Failed
	// Shed: the target refused without running the call.
	Shed
	// Unsent: nothing reached the target, or it was another instance than expected.
	Unsent
	// Canceled: the attempt was given up for a reason that is not the target's, such as a faster hedge.
	Canceled
)

// Result is the end of an attempt.
type Result struct {
	Kind ResultKind
	// Latency is the time from the permit to the end of the attempt.
	Latency time.Duration
	// Report is what the target said, the zero Report if nothing.
	Report outcome.Report
	// ResponseLength is the length of the answer in bytes, -1 if it is not known.
	ResponseLength int64
	// RunningUntil is until when the target may still run the call although the attempt has ended, as after a broken
	// connection; zero if the call has ended or never began.
	RunningUntil time.Time
}

// Done ends the attempt. It panics if the attempt has already ended.
func (p *Permit) Done(now time.Time, r Result) Event {
	s := p.target.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.done {
		panic("route: permit ended twice")
	}
	p.done = true
	return p.target.finish(now, p, r)
}
