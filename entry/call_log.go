package entry

import (
	"net/http"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"skylarkbeam/outcome"
	"skylarkbeam/route"
)

// Messages of the log lines about single calls. The command skylarkbeam explain searches for them.
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

// logCall logs a line about a call. fields is called only if the level is enabled.
func (e *Entry) logCall(level zapcore.Level, c *call, msg string, fields func() []zap.Field) {
	checked := e.callLog.Check(level, msg)
	if checked == nil {
		return
	}
	now := e.timers.Now()
	checked.Write(append(fields(),
		zap.String("request", c.id),
		zap.String("route", c.policy.route),
		zap.String("service", c.service.name),
		zap.Duration("elapsed", now.Sub(c.arrivedAt)),
		zap.Duration("before", c.elapsedBefore),
		zap.Duration("left", c.deadline.Sub(now)),
		zap.Uint64("state", c.snapshot.version),
	)...)
}

// logPlaced logs the choice of a target and the load values that it is based on.
func (e *Entry) logPlaced(c *call, p *route.Permit) {
	e.logCall(zapcore.DebugLevel, c, msgPlaced, func() []zap.Field {
		fields := []zap.Field{
			zap.String("target", p.Target),
			zap.String("domain", p.Domain),
			zap.Int32("attempt", c.runs.Load()),
			zap.Duration("waited", c.admittedAt.Sub(c.arrivedAt)),
			zap.Float64("load", p.Estimate.Load),
			zap.Float64("slowness", p.Estimate.Slowdown),
			zap.Float64("drag", p.Estimate.LatencyRatio),
			zap.Duration("age", p.Estimate.ReportAge),
			zap.Duration("expected", p.Estimate.ExpectedLatency),
			zap.Bool("cold", p.Estimate.Cold),
		}
		if e.rollouts.concerns(c.service.name) {
			fields = append(fields, zap.String("version", p.Version))
		}
		return fields
	})
}

// logAttemptFailed logs an attempt that ended without a response.
func (e *Entry) logAttemptFailed(c *call, target string, start time.Time, reason outcome.Reason, ran string) {
	e.logCall(zapcore.InfoLevel, c, msgFailed, func() []zap.Field {
		return []zap.Field{
			zap.String("target", target),
			zap.String("reason", string(reason)),
			zap.String("run", ran),
			zap.Duration("took", e.timers.Now().Sub(start)),
		}
	})
}

// logRetry logs a retry or hedge.
func (e *Entry) logRetry(c *call, msg string, reason outcome.Reason) {
	e.logCall(zapcore.InfoLevel, c, msg, func() []zap.Field {
		return []zap.Field{
			zap.String("reason", string(reason)),
			zap.Int32("runs", c.runs.Load()),
		}
	})
}

// logRefused logs why a call has no response from a target.
func (e *Entry) logRefused(c *call, refusal *Refusal) {
	msg := msgGivenUp
	if refusal.NotRun() {
		msg = msgRefused
	}
	waiting := zap.Skip()
	if c.request.Context().Err() != nil {
		msg = msgGone
		if refusal.NotRun() {
			waiting = e.recordGone(c)
		}
	}
	e.logCall(zapcore.InfoLevel, c, msg, func() []zap.Field {
		return []zap.Field{
			zap.String("reason", string(refusal.Reason)),
			zap.Duration("retry", refusal.RetryAfter),
			zap.Int32("runs", c.runs.Load()),
			zap.Int("attempts", len(c.tried)),
			zap.String("text", refusal.Message),
			waiting,
		}
	})
}

// logUnparsed logs a request that was refused before a call was created: it has no valid service, caller or key, or
// it arrived before the first settings.
func (e *Entry) logUnparsed(r *http.Request, refusal *Refusal) {
	e.callLog.Info(msgRefused,
		zap.String("reason", string(refusal.Reason)),
		zap.Duration("retry", refusal.RetryAfter),
		zap.String("text", refusal.Message),
		zap.String("request", e.protocol.RequestID(r)),
		zap.String("host", r.Host),
		zap.String("path", printablePath(r)),
		zap.Uint64("state", e.snapshot.Load().version),
	)
}

// logAnswered logs a response from a target. Late responses and server errors have a higher level, so that they are
// dropped last.
func (e *Entry) logAnswered(c *call, resp *response) {
	level := zapcore.DebugLevel
	late := c.policy.latencyObjective > 0 && e.timers.Now().After(c.softDeadline())
	if late {
		e.metrics.lateResponses.Inc()
	}
	if late || resp.Status >= 500 {
		level = zapcore.InfoLevel
	}
	e.logCall(level, c, msgAnswered, func() []zap.Field {
		return []zap.Field{
			zap.Int("status", resp.Status),
			zap.String("target", resp.target),
			zap.Int64("length", resp.length),
			zap.Bool("late", late),
		}
	})
}

// logDialError logs a failed connection to a target or to another entry.
func (e *Entry) logDialError(kind, name string, err error) {
	e.callLog.Debug("no connection", zap.String(kind, name), zap.String("error", err.Error()))
}
