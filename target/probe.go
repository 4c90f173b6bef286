package target

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"skylarkbeam/outcome"
)

// ErrBudget is the error of Probe if the budget allows no load read now.
var ErrBudget = errors.New("probe budget is used up")

var loadCall = &Call{
	Method:     http.MethodGet,
	Path:       loadPath,
	Idempotent: true,
}

// Probe returns the target's report: the last one learned if that was within the last second, else the result of a load
// read. Errors are ErrBudget, and failures of the connection or of the answer.
func (p *Pool) Probe(ctx context.Context) (outcome.Report, error) {
	now := p.opts.Timers.Now()
	if report, learned := p.Report(); report.Instance != "" && now.Sub(learned) <= recent {
		return report, nil
	}
	if p.opts.Probes == nil {
		return outcome.Report{}, fmt.Errorf("probe target %s: %w", p.opts.Name, ErrBudget)
	}
	if _, ok := p.opts.Probes.Take(now); !ok {
		return outcome.Report{}, fmt.Errorf("probe target %s: %w", p.opts.Name, ErrBudget)
	}
	deadline := now.Add(p.opts.Connect + p.opts.Check)
	c := p.reuse(loadCall, now)
	if c == nil {
		var reason outcome.Reason
		if c, reason = p.connect(ctx, deadline); reason != "" {
			p.opts.Probes.Cancel()
			return outcome.Report{}, fmt.Errorf("probe target %s: no connection: %s", p.opts.Name, reason)
		}
	}
	report, err := p.load(ctx, c, deadline)
	if err != nil {
		return outcome.Report{}, fmt.Errorf("probe target %s: %w", p.opts.Name, err)
	}
	p.release(c)
	return report, nil
}

// load does one load read on c, which it closes on failure, and ends the probe that was taken for it.
func (p *Pool) load(ctx context.Context, c *conn, deadline time.Time) (outcome.Report, error) {
	if limit := p.opts.Timers.Now().Add(p.opts.Check); limit.Before(deadline) {
		deadline = limit
	}
	report, abandoned, err := p.readLoad(ctx, c, deadline)
	if err != nil && c.written == 0 {
		p.opts.Probes.Cancel()
	} else {
		p.opts.Probes.Done(p.opts.Timers.Now(), abandoned)
	}
	if err == nil {
		c.instance = report.Instance
		p.learn(report, c.sent)
	}
	return report, err
}

// readLoad reports as abandoned a load read that the target may still have to run.
func (p *Pool) readLoad(ctx context.Context, c *conn, deadline time.Time) (report outcome.Report, abandoned bool, err error) {
	var wire struct {
		Instance string        `json:"instance"`
		Phase    outcome.Phase `json:"phase"`
		Active   int           `json:"active"`
		Slots    int           `json:"slots"`
		Queued   int           `json:"queued"`
	}
	resp, stop, failed := p.exchange(ctx, c, loadCall, deadline, deadline)
	switch o := failed.(type) {
	case *outcome.NotRun:
		return outcome.Report{}, false, fmt.Errorf("load read: %s", o.Reason)
	case *outcome.Unknown:
		return outcome.Report{}, o.Reason == outcome.Silent || o.Reason == outcome.Canceled, fmt.Errorf("load read: %s", o.Reason)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxLoad))
	if err == nil {
		err = json.Unmarshal(data, &wire)
	}
	switch {
	case err != nil:
	case resp.StatusCode != http.StatusOK:
		err = fmt.Errorf("status %d", resp.StatusCode)
	case wire.Instance == "":
		err = errors.New("no instance")
	case resp.Close || c.br.Buffered() > 0:
		err = errors.New("connection cannot be used again")
	}
	// A false stop means that the context has ended and its watch closes the connection.
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		p.drop(c)
		return outcome.Report{}, false, fmt.Errorf("load read: %w", err)
	}
	if header := resp.Header.Get(HeaderInstance); header != "" {
		// The header is written with the answer; the body may have been prepared earlier.
		wire.Instance = header
	}
	return outcome.Report{
		Instance: wire.Instance,
		Phase:    wire.Phase,
		Active:   max(wire.Active, 0),
		Slots:    max(wire.Slots, 0),
		Queued:   max(wire.Queued, 0),
	}, false, nil
}
