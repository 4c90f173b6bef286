package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"skylarkbeam/outcome"
)

// maxProbeDuration is how long a load read continues in the background after its caller gave up. It counts against the
// budget meanwhile, because a paused target executes it when it resumes.
const maxProbeDuration = 10 * time.Second

// Errors of Probe and ReadLoad. Errors of the connection and of the response are wrapped.
var (
	// ErrProbeBudgetExhausted means that the probe budget allows no load read now.
	ErrProbeBudgetExhausted = errors.New("probe budget exhausted")
	// ErrProbeTimeout means that the load read got no response in time.
	ErrProbeTimeout = errors.New("no response in time")
)

// errConnEnds means that a load read succeeded and that its connection, which is closed, cannot be used again.
var errConnEnds = errors.New("connection cannot be reused")

// newLoadCall returns the call of a load read.
func (p *Pool) newLoadCall() *Call {
	return &Call{
		Method:     http.MethodGet,
		Path:       p.opts.LoadPath,
		Idempotent: true,
		loadRead:   true,
	}
}

// Probe returns a current report of the target: the last one if it is at most one second old, otherwise the result of a
// load read on a new connection. It does not use idle connections, because they have carried no response for a second
// and may have gone silent.
func (p *Pool) Probe(ctx context.Context) (outcome.Report, error) {
	now := p.opts.Timers.Now()
	if report, reportedAt := p.LastReport(); report.Instance != "" && now.Sub(reportedAt) <= freshnessLimit {
		return report, nil
	}
	if p.opts.ProbeBudget == nil {
		return outcome.Report{}, p.probeError(ErrProbeBudgetExhausted)
	}
	if _, ok := p.opts.ProbeBudget.Take(now); !ok {
		return outcome.Report{}, p.probeError(ErrProbeBudgetExhausted)
	}
	p.closeOldestIdle()
	deadline := now.Add(p.opts.DialTimeout + p.opts.ProbeTimeout)
	c, reason := p.connect(ctx, deadline)
	if reason != "" {
		p.opts.ProbeBudget.Cancel()
		return outcome.Report{}, p.probeError(fmt.Errorf("no connection: %s", reason))
	}
	return p.endLoadRead(ctx, c, deadline)
}

// endLoadRead does a load read on c and releases the connection. A report counts even if its connection ends with it:
// targets that leave close their connections.
func (p *Pool) endLoadRead(ctx context.Context, c *conn, deadline time.Time) (outcome.Report, error) {
	report, err := p.probeConn(ctx, c, deadline)
	switch {
	case err == nil:
		p.release(c)
	case !errors.Is(err, errConnEnds):
		return outcome.Report{}, p.probeError(err)
	}
	return report, nil
}

// ReadLoad does a load read on the most recently used idle connection, or on a new one if none is idle. Because the
// next call uses the same connection, this also shows that the connection is not silent. ReadLoad fails with
// ErrProbeBudgetExhausted, ErrProbeTimeout or the error of the connection.
func (p *Pool) ReadLoad(ctx context.Context) (outcome.Report, error) {
	now := p.opts.Timers.Now()
	if p.opts.ProbeBudget == nil {
		return outcome.Report{}, p.probeError(ErrProbeBudgetExhausted)
	}
	if _, ok := p.opts.ProbeBudget.Take(now); !ok {
		return outcome.Report{}, p.probeError(ErrProbeBudgetExhausted)
	}
	deadline := now.Add(p.opts.ProbeTimeout)
	c := p.takeIdle(p.newLoadCall(), now)
	if c == nil {
		var reason outcome.Reason
		if c, reason = p.connect(ctx, deadline); reason != "" {
			p.opts.ProbeBudget.Cancel()
			return outcome.Report{}, p.probeError(fmt.Errorf("no connection: %s", reason))
		}
	}
	return p.endLoadRead(ctx, c, deadline)
}

func (p *Pool) probeError(err error) error {
	return fmt.Errorf("probe target %s: %w", p.opts.Name, err)
}

// probeConn does one load read on c and ends the probe that was taken for it. If it returns an error, c is closed now
// or when the load read ends. The error errConnEnds comes with a report.
func (p *Pool) probeConn(ctx context.Context, c *conn, deadline time.Time) (outcome.Report, error) {
	type result struct {
		report outcome.Report
		err    error
	}
	var settled atomic.Bool // by the load read that has its result, or by the caller that gives up
	results := make(chan result, 1)
	go func() {
		report, err := p.runProbe(c)
		if settled.CompareAndSwap(false, true) {
			results <- result{
				report: report,
				err:    err,
			}
		} else if err == nil {
			p.release(c)
		}
	}()
	now := p.opts.Timers.Now()
	if limit := now.Add(p.opts.ProbeTimeout); limit.Before(deadline) {
		deadline = limit
	}
	timeout := time.NewTimer(deadline.Sub(now))
	defer timeout.Stop()
	select {
	case r := <-results:
		return r.report, r.err
	case <-timeout.C:
	case <-ctx.Done():
	}
	if !settled.CompareAndSwap(false, true) {
		r := <-results
		return r.report, r.err
	}
	return outcome.Report{}, fmt.Errorf("load read: %w", ErrProbeTimeout)
}

// runProbe does a load read that may last up to maxProbeDuration and ends its probe. It closes the connection on
// failure.
func (p *Pool) runProbe(c *conn) (outcome.Report, error) {
	deadline := p.opts.Timers.Now().Add(maxProbeDuration)
	resp, _, stopWatch, failure := p.exchange(p.ctx, c, p.newLoadCall(), deadline, deadline)
	end := p.opts.Timers.Now()
	switch o := failure.(type) {
	case *outcome.NotRun:
		p.opts.ProbeBudget.Cancel()
		return outcome.Report{}, fmt.Errorf("load read: %s", o.Reason)
	case *outcome.Unknown:
		if o.Reason == outcome.Canceled {
			end = deadline
		}
		p.opts.ProbeBudget.Done(end)
		return outcome.Report{}, fmt.Errorf("load read: %s", o.Reason)
	}
	p.opts.ProbeBudget.Done(end)
	report, err := p.opts.Protocol.ReadLoad(resp)
	if err == nil && c.br.Buffered() > 0 {
		err = errors.New("more bytes than one response")
	}
	if !stopWatch() && err == nil {
		err = context.Canceled
	}
	if err != nil {
		p.closeConns(c)
		return outcome.Report{}, fmt.Errorf("load read: %w", err)
	}
	c.instance = report.Instance
	report.LoadRead = true
	p.recordReport(report, c.sentAt)
	if resp.Close {
		p.closeConns(c)
		return report, errConnEnds
	}
	return report, nil
}

// parseLoad reads the response to a load read to its end.
func parseLoad(resp *http.Response) (outcome.Report, error) {
	var load struct {
		Instance string        `json:"instance"`
		Phase    outcome.Phase `json:"phase"`
		Active   int           `json:"active"`
		Slots    int           `json:"slots"`
		Queued   int           `json:"queued"`
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxDiscardBytes))
	if err != nil {
		return outcome.Report{}, err
	}
	if len(data) == maxDiscardBytes {
		return outcome.Report{}, errors.New("response is too long")
	}
	if resp.StatusCode != http.StatusOK {
		return outcome.Report{}, fmt.Errorf("status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(data, &load); err != nil {
		return outcome.Report{}, err
	}
	// The header is written with the response, whereas the body may have been prepared earlier.
	if header := resp.Header.Get(HeaderInstance); header != "" {
		load.Instance = header
	}
	if load.Instance == "" {
		return outcome.Report{}, errors.New("response names no instance")
	}
	return outcome.Report{
		Instance: load.Instance,
		Phase:    load.Phase,
		Active:   max(load.Active, 0),
		Slots:    max(load.Slots, 0),
		Queued:   max(load.Queued, 0),
		Limit:    outcome.ParseLimit(resp.Header.Values(HeaderLimit)),
	}, nil
}
