package entry

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"skylarkbeam/outcome"
)

// Metrics are the metrics of one entry. They live in a set of their own, so that several entries in one process do not
// share them.
type Metrics struct {
	set      *metrics.Set
	refusals map[outcome.Reason]*metrics.Counter
	retries  map[outcome.Reason]*metrics.Counter
	outcomes map[string]*metrics.Counter

	calls     *metrics.Counter
	dispatch  *metrics.Counter
	relays    *metrics.Counter
	replays   *metrics.Counter
	breaks    *metrics.Counter
	hedgeWins *metrics.Counter
	falls     *metrics.Counter
	warmed    *metrics.Counter
	probes    *metrics.Counter
	late      *metrics.Counter
	duration  *metrics.Histogram
	retry     *metrics.Histogram
	reads     map[string]*metrics.Counter
}

// Results of load reads, as label values.
const (
	readAnswered = "answered"
	readLate     = "late"
	readRefused  = "budget"
)

// NewMetrics creates the metrics with every reason at zero, so that a reason that never occurred is visible as such.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	c := &Metrics{
		set:       set,
		refusals:  map[outcome.Reason]*metrics.Counter{},
		retries:   map[outcome.Reason]*metrics.Counter{},
		outcomes:  map[string]*metrics.Counter{},
		calls:     set.NewCounter("skylarkbeam_calls_total"),
		dispatch:  set.NewCounter("skylarkbeam_dispatches_total"),
		relays:    set.NewCounter("skylarkbeam_relays_total"),
		replays:   set.NewCounter("skylarkbeam_replays_total"),
		breaks:    set.NewCounter("skylarkbeam_broken_answers_total"),
		hedgeWins: set.NewCounter("skylarkbeam_hedge_wins_total"),
		falls:     set.NewCounter("skylarkbeam_target_falls_total"),
		warmed:    set.NewCounter("skylarkbeam_targets_warmed_total"),
		probes:    set.NewCounter("skylarkbeam_probes_total"),
		late:      set.NewCounter("skylarkbeam_late_answers_total"),
		duration:  set.NewHistogram("skylarkbeam_call_seconds"),
		retry:     set.NewHistogram("skylarkbeam_retry_after_seconds"),
		reads:     map[string]*metrics.Counter{},
	}
	for _, result := range []string{readAnswered, readLate, readRefused} {
		c.reads[result] = set.NewCounter(fmt.Sprintf("skylarkbeam_load_reads_total{result=%q}", result))
	}
	for _, r := range slices.Concat(outcome.Refusals, outcome.Retries) {
		c.refusals[r] = set.NewCounter(fmt.Sprintf("skylarkbeam_refusals_total{reason=%q}", r))
	}
	for _, r := range outcome.Retries {
		c.retries[r] = set.NewCounter(fmt.Sprintf("skylarkbeam_retries_total{reason=%q}", r))
	}
	for _, o := range []string{outcomeAnswered, outcomeNotRun, outcomeUnknown, outcomeFailed} {
		c.outcomes[o] = set.NewCounter(fmt.Sprintf("skylarkbeam_outcomes_total{outcome=%q}", o))
	}
	return c
}

// CountRefusal counts a refusal.
func (c *Metrics) CountRefusal(r outcome.Reason) {
	if counter, ok := c.refusals[r]; ok {
		counter.Inc()
		return
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("skylarkbeam_refusals_total{reason=%q}", r)).Inc()
}

// CountRetry counts an attempt that follows an earlier one of the same call, by the reason for it.
func (c *Metrics) CountRetry(r outcome.Reason) {
	if counter, ok := c.retries[r]; ok {
		counter.Inc()
		return
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("skylarkbeam_retries_total{reason=%q}", r)).Inc()
}

// nonzero returns the counters by reason that have counted something.
func (c *Metrics) nonzero() map[string]uint64 {
	counts := map[string]uint64{}
	add := func(kind, name string, counter *metrics.Counter) {
		if n := counter.Get(); n > 0 {
			counts[kind+" "+name] = n
		}
	}
	for reason, counter := range c.refusals {
		add("refused", string(reason), counter)
	}
	for reason, counter := range c.retries {
		add("retried", string(reason), counter)
	}
	for name, counter := range c.outcomes {
		add("outcome", name, counter)
	}
	return counts
}

// waited takes the time that a call of a service waited for its turn.
func (c *Metrics) waited(service string, d time.Duration) {
	c.set.GetOrCreateHistogram(fmt.Sprintf("skylarkbeam_wait_seconds{service=%q}", service)).Update(d.Seconds())
}

// attempted takes the time that an attempt at a target of a service took.
func (c *Metrics) attempted(service string, d time.Duration) {
	c.set.GetOrCreateHistogram(fmt.Sprintf("skylarkbeam_attempt_seconds{service=%q}", service)).Update(d.Seconds())
}

// watch registers the gauges of a service, which stay for as long as the process runs.
func (c *Metrics) watch(service string, inflight, waiting func() float64) {
	c.set.GetOrCreateGauge(fmt.Sprintf("skylarkbeam_service_in_flight{service=%q}", service), inflight)
	c.set.GetOrCreateGauge(fmt.Sprintf("skylarkbeam_service_waiting{service=%q}", service), waiting)
}

// RegisterGauge registers a value that is computed when the metrics are read.
func (c *Metrics) RegisterGauge(name string, value func() float64) {
	c.set.NewGauge(name, value)
}

// WritePrometheus writes all metrics, those of the Go runtime and the process included, in the Prometheus text format.
func (c *Metrics) WritePrometheus(w io.Writer) {
	c.set.WritePrometheus(w)
	// The default set has the counters of the claims.
	metrics.WritePrometheus(w, true)
}
