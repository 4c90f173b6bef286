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
	// Instance is the instance that the attempt must reach; empty if any instance may run it.
	Instance string
	// Version is the version of a registered target.
	Version string
	// Cold means that the target is in its cold start and this entry owns it.
	Cold bool
	// LeaseEnd is the end of the ownership lease of a cold target; the attempt must have ended by then. It is zero for
	// a warm target.
	LeaseEnd time.Time

	// Estimate holds the estimates on which the selection of a registered target was based; zero for other targets.
	Estimate Estimate

	target *target
	start  time.Time
	done   bool
	// query describes the call.
	query Query
	// reserved means that the next attempt is counted against the limit of the target already.
	reserved bool
}

// Estimate holds the estimates on which the selection of a target was based.
type Estimate struct {
	// Load is the expected number of calls at the target.
	Load float64
	// Slowdown is the expected slowdown of the target, relative to the usual service time.
	Slowdown float64
	// LatencyRatio is the recent ratio of actual to expected latency at the target.
	LatencyRatio float64
	// ReportAge is the age of the target's last report.
	ReportAge time.Duration
	// ExpectedLatency is the time in which a response was expected.
	ExpectedLatency time.Duration
	// Cold means that the target was in its cold start.
	Cold bool
}

// ResultKind classifies how an attempt ended.
type ResultKind int

// The kinds of results.
const (
	// Succeeded means that the target answered, with whatever status for the request itself.
	Succeeded ResultKind = iota
	// Failed means that the target answered with a server error, or may have run the call without answering.
	Failed
	// Shed means that the target refused the call without running it.
	Shed
	// Unsent means that nothing reached the target, or another instance than the expected one answered.
	Unsent
	// Canceled means that the attempt was canceled for a reason unrelated to the target, such as a faster hedge.
	Canceled
)

// Result describes the end of an attempt.
type Result struct {
	Kind ResultKind
	// Latency is the time from the permit to the end of the attempt.
	Latency time.Duration
	// Report is the report of the target; zero if there was none.
	Report outcome.Report
	// ResponseLength is the length of the response in bytes; -1 if unknown.
	ResponseLength int64
	// RunningUntil is the time until which the target may still run the call although the attempt has ended, for
	// example after a broken connection. It is zero if the call has ended or never started.
	RunningUntil time.Time
}

// Done ends the attempt. It panics if the attempt has already ended.
func (p *Permit) Done(now time.Time, r Result) Event {
	s := p.target.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.done {
		panic("route: Permit.Done called twice")
	}
	p.done = true
	return p.target.finish(now, p, r)
}
