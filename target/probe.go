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

// maxProbe is how long a load read is waited for in the background after its caller gave up. While it is waited for it
// counts against the budget, because a target that was paused runs it when it wakes.
const maxProbe = 10 * time.Second

// Errors of Probe. Failures of the connection and of the answer are wrapped errors of their own.
var (
	// ErrProbeBudgetExhausted means that the budget allows no load read now.
	ErrProbeBudgetExhausted = errors.New("probe budget is used up")
	// ErrProbeTimeout means that the load read was not answered in time.
	ErrProbeTimeout = errors.New("no answer in time")
)

// loadCall returns the call of a load read.
func (p *Pool) loadCall() *Call {
	return &Call{
		Method:     http.MethodGet,
		Path:       p.opts.LoadPath,
		Idempotent: true,
		load:       true,
	}
}

// Probe returns the target's report: the last one learned if that was within the last second, else the result of a load
// read on a new connection. Idle connections have carried no answer for a second then and may have gone silent.
func (p *Pool) Probe(ctx context.Context) (outcome.Report, error) {
	now := p.opts.Timers.Now()
	if report, learned := p.LastReport(); report.Instance != "" && now.Sub(learned) <= recent {
		return report, nil
	}
	if p.opts.ProbeBudget == nil {
		return outcome.Report{}, p.probeError(ErrProbeBudgetExhausted)
	}
	if _, ok := p.opts.ProbeBudget.Take(now); !ok {
		return outcome.Report{}, p.probeError(ErrProbeBudgetExhausted)
	}
	p.dropOldest()
	deadline := now.Add(p.opts.DialTimeout + p.opts.ProbeTimeout)
	c, reason := p.connect(ctx, deadline)
	if reason != "" {
		p.opts.ProbeBudget.Cancel()
		return outcome.Report{}, p.probeError(fmt.Errorf("no connection: %s", reason))
	}
	report, err := p.load(ctx, c, deadline)
	if err != nil {
		return outcome.Report{}, p.probeError(err)
	}
	p.release(c)
	return report, nil
}

// ReadLoad does a load read on the connection that was used last, or on a new one if none is idle. The connection is then the
// next one to carry a call, so the read also shows that it is not silent. It fails with ErrBudget or ErrLate, or with the
// error of the connection.
func (p *Pool) ReadLoad(ctx context.Context) (outcome.Report, error) {
	now := p.opts.Timers.Now()
	if p.opts.ProbeBudget == nil {
		return outcome.Report{}, p.probeError(ErrProbeBudgetExhausted)
	}
	if _, ok := p.opts.ProbeBudget.Take(now); !ok {
		return outcome.Report{}, p.probeError(ErrProbeBudgetExhausted)
	}
	deadline := now.Add(p.opts.ProbeTimeout)
	c := p.reuse(p.loadCall(), now)
	if c == nil {
		var reason outcome.Reason
		if c, reason = p.connect(ctx, deadline); reason != "" {
			p.opts.ProbeBudget.Cancel()
			return outcome.Report{}, p.probeError(fmt.Errorf("no connection: %s", reason))
		}
	}
	report, err := p.load(ctx, c, deadline)
	if err != nil {
		return outcome.Report{}, p.probeError(err)
	}
	p.release(c)
	return report, nil
}

func (p *Pool) probeError(err error) error {
	return fmt.Errorf("probe target %s: %w", p.opts.Name, err)
}

// load does one load read on c and ends the probe that was taken for it. If it returns an error, c is closed or will
// be taken care of.
func (p *Pool) load(ctx context.Context, c *conn, deadline time.Time) (outcome.Report, error) {
	type result struct {
		report outcome.Report
		err    error
	}
	var settled atomic.Bool // by the read with its result, or by the caller giving up
	results := make(chan result, 1)
	go func() {
		report, err := p.readLoad(c)
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
	late := time.NewTimer(deadline.Sub(now))
	defer late.Stop()
	select {
	case r := <-results:
		return r.report, r.err
	case <-late.C:
	case <-ctx.Done():
	}
	if !settled.CompareAndSwap(false, true) {
		r := <-results
		return r.report, r.err
	}
	return outcome.Report{}, fmt.Errorf("load read: %w", ErrProbeTimeout)
}

// readLoad does a load read that lasts as long as it must, and settles its probe. It closes the connection on failure.
func (p *Pool) readLoad(c *conn) (outcome.Report, error) {
	deadline := p.opts.Timers.Now().Add(maxProbe)
	resp, _, stop, failed := p.exchange(p.ctx, c, p.loadCall(), deadline, deadline)
	end := p.opts.Timers.Now()
	switch o := failed.(type) {
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
	if err == nil && (resp.Close || c.br.Buffered() > 0) {
		err = errors.New("connection cannot be used again")
	}
	if !stop() && err == nil {
		err = context.Canceled
	}
	if err != nil {
		p.drop(c)
		return outcome.Report{}, fmt.Errorf("load read: %w", err)
	}
	c.instance = report.Instance
	p.learn(report, c.sent)
	return report, nil
}

// parseLoad reads the answer to a load read to its end.
func parseLoad(resp *http.Response) (outcome.Report, error) {
	var wire struct {
		Instance string        `json:"instance"`
		Phase    outcome.Phase `json:"phase"`
		Active   int           `json:"active"`
		Slots    int           `json:"slots"`
		Queued   int           `json:"queued"`
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxLoad))
	if err != nil {
		return outcome.Report{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return outcome.Report{}, fmt.Errorf("status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return outcome.Report{}, err
	}
	// The header is written with the answer; the body may have been prepared earlier.
	if header := resp.Header.Get(HeaderInstance); header != "" {
		wire.Instance = header
	}
	if wire.Instance == "" {
		return outcome.Report{}, errors.New("no instance")
	}
	return outcome.Report{
		Instance: wire.Instance,
		Phase:    wire.Phase,
		Active:   max(wire.Active, 0),
		Slots:    max(wire.Slots, 0),
		Queued:   max(wire.Queued, 0),
	}, nil
}
