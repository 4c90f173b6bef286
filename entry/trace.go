package entry

import (
	"net/http"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"skylarkbeam/outcome"
	"skylarkbeam/route"
)

// The messages of the lines that tell of one call. skylarkbeam explain looks for them.
const (
	msgPlaced   = "placed"
	msgFailed   = "attempt ended without an answer"
	msgRepeated = "repeated"
	msgHedged   = "hedged"
	msgRefused  = "refused"
	msgGivenUp  = "given up"
	msgAnswered = "answered"
	msgGone     = "the caller went away"
)

// trace writes a line about a call. Its fields are made only if the line is written.
func (e *Entry) trace(level zapcore.Level, c *call, msg string, fields func() []zap.Field) {
	line := e.calls.Check(level, msg)
	if line == nil {
		return
	}
	now := e.timers.Now()
	line.Write(append(fields(),
		zap.String("request", c.id),
		zap.String("route", c.promise.route),
		zap.String("service", c.service.name),
		zap.Duration("elapsed", now.Sub(c.arrived)),
		zap.Duration("before", c.waited),
		zap.Duration("left", c.deadline.Sub(now)),
		zap.Uint64("state", c.view.version),
	)...)
}

// tracePlaced tells on what the choice of a target was based.
func (e *Entry) tracePlaced(c *call, p *route.Permit) {
	e.trace(zapcore.DebugLevel, c, msgPlaced, func() []zap.Field {
		return []zap.Field{
			zap.String("target", p.Target),
			zap.String("domain", p.Domain),
			zap.Int32("attempt", c.runs.Load()),
			zap.Duration("waited", c.admitted.Sub(c.arrived)),
			zap.Float64("load", p.Estimate.Load),
			zap.Float64("slowness", p.Estimate.Slowdown),
			zap.Float64("drag", p.Estimate.LatencyRatio),
			zap.Duration("age", p.Estimate.ReportAge),
			zap.Duration("expected", p.Estimate.ExpectedLatency),
			zap.Bool("cold", p.Estimate.Cold),
		}
	})
}

// traceFailed tells of an attempt that ended without an answer.
func (e *Entry) traceFailed(c *call, target string, start time.Time, reason outcome.Reason, ran string) {
	e.trace(zapcore.InfoLevel, c, msgFailed, func() []zap.Field {
		return []zap.Field{
			zap.String("target", target),
			zap.String("reason", string(reason)),
			zap.String("run", ran),
			zap.Duration("took", e.timers.Now().Sub(start)),
		}
	})
}

// traceAgain tells of a further attempt.
func (e *Entry) traceAgain(c *call, msg string, reason outcome.Reason) {
	e.trace(zapcore.InfoLevel, c, msg, func() []zap.Field {
		return []zap.Field{
			zap.String("reason", string(reason)),
			zap.Int32("runs", c.runs.Load()),
		}
	})
}

// traceRefused tells why a call gets no answer of a target.
func (e *Entry) traceRefused(c *call, no *Refusal) {
	msg := msgGivenUp
	if no.NotRun() {
		msg = msgRefused
	}
	if c.request.Context().Err() != nil {
		msg = msgGone
	}
	e.trace(zapcore.InfoLevel, c, msg, func() []zap.Field {
		return []zap.Field{
			zap.String("reason", string(no.Reason)),
			zap.Duration("retry", no.RetryAfter),
			zap.Int32("runs", c.runs.Load()),
			zap.Int("attempts", len(c.tried)),
			zap.String("text", no.Message),
		}
	})
}

// traceUnparsed tells why a request was refused that names no service, or came before there were settings.
func (e *Entry) traceUnparsed(r *http.Request, no *Refusal) {
	e.calls.Info(msgRefused,
		zap.String("reason", string(no.Reason)),
		zap.Duration("retry", no.RetryAfter),
		zap.String("text", no.Message),
		zap.String("request", e.protocol.RequestID(r)),
		zap.String("host", r.Host),
		zap.String("path", r.URL.Path),
		zap.Uint64("state", e.view.Load().version),
	)
}

// traceAnswered tells of an answer of a target. Late answers and failures of targets are kept before others.
func (e *Entry) traceAnswered(c *call, a *answer) {
	level := zapcore.DebugLevel
	late := c.promise.aim > 0 && e.timers.Now().After(c.aim())
	if late {
		e.counters.late.Inc()
	}
	if late || a.Status >= 500 {
		level = zapcore.InfoLevel
	}
	e.trace(level, c, msgAnswered, func() []zap.Field {
		return []zap.Field{
			zap.Int("status", a.Status),
			zap.String("target", a.target),
			zap.Int64("length", a.length),
			zap.Bool("late", late),
		}
	})
}

// traceDialFailed tells why there is no connection to a target or to another entry.
func (e *Entry) traceDialFailed(kind, name string, err error) {
	e.calls.Debug("no connection", zap.String(kind, name), zap.String("error", err.Error()))
}
