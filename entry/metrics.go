package entry

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"skylarkbeam/outcome"
)

// Metrics are the metrics of one entry. They are in a set of their own, so that several entries in one process do not
// share them.
type Metrics struct {
	set      *metrics.Set
	refusals map[outcome.Reason]*metrics.Counter
	retries  map[outcome.Reason]*metrics.Counter
	outcomes map[string]*metrics.Counter

	calls           *metrics.Counter
	dispatches      *metrics.Counter
	relays          *metrics.Counter
	replays         *metrics.Counter
	brokenResponses *metrics.Counter
	hedgeWins       *metrics.Counter
	coldTransitions *metrics.Counter
	targetsWarmed   *metrics.Counter
	probes          *metrics.Counter
	lateResponses   *metrics.Counter
	duration        *metrics.Histogram
	retryAfter      *metrics.Histogram
	loadReads       map[string]*metrics.Counter
	limitsNamed     *metrics.Counter
	invalidLimits   *metrics.Counter
	targetsLeaving  *metrics.Counter
	targetPauses    *metrics.Counter

	rolloutReports        *metrics.Counter
	rolloutReportFailures *metrics.Counter
	rolloutStoreCalls     *metrics.Counter
	// callersGone counts calls that did not run because their callers left, by where they waited.
	callersGone     map[place]*metrics.Counter
	collections     *metrics.Counter
	contactFailures *metrics.Counter
	workspaces      workspaceUsage
	// asks are the messages for permits, failedAsks those without an answer, and lent the permits lent to all entries.
	asks               *metrics.Counter
	failedAsks         *metrics.Counter
	lent               *metrics.Counter
	permitsReturned    *metrics.Counter
	contactlessPermits *metrics.Counter
}

// Results of load reads, as label values.
const (
	loadReadAnswered   = "answered"
	loadReadLate       = "late"
	loadReadOverBudget = "budget"
)

// NewMetrics creates the metrics with the counters of all reasons at zero, so that reasons that have not occurred are
// exported as well.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	m := &Metrics{
		set:             set,
		refusals:        map[outcome.Reason]*metrics.Counter{},
		retries:         map[outcome.Reason]*metrics.Counter{},
		outcomes:        map[string]*metrics.Counter{},
		calls:           set.NewCounter("skylarkbeam_calls_total"),
		dispatches:      set.NewCounter("skylarkbeam_dispatches_total"),
		relays:          set.NewCounter("skylarkbeam_relays_total"),
		replays:         set.NewCounter("skylarkbeam_replays_total"),
		brokenResponses: set.NewCounter("skylarkbeam_broken_answers_total"),
		hedgeWins:       set.NewCounter("skylarkbeam_hedge_wins_total"),
		coldTransitions: set.NewCounter("skylarkbeam_target_falls_total"),
		targetsWarmed:   set.NewCounter("skylarkbeam_targets_warmed_total"),
		probes:          set.NewCounter("skylarkbeam_probes_total"),
		lateResponses:   set.NewCounter("skylarkbeam_late_answers_total"),
		duration:        set.NewHistogram("skylarkbeam_call_seconds"),
		retryAfter:      set.NewHistogram("skylarkbeam_retry_after_seconds"),
		loadReads:       map[string]*metrics.Counter{},
		limitsNamed:     set.NewCounter("skylarkbeam_limits_total"),
		targetsLeaving:  set.NewCounter("skylarkbeam_targets_leaving_total"),
		targetPauses:    set.NewCounter("skylarkbeam_target_pauses_total"),
		invalidLimits:   set.NewCounter("skylarkbeam_invalid_limits_total"),

		contactFailures:    set.NewCounter("skylarkbeam_contact_failures_total"),
		asks:               set.NewCounter("skylarkbeam_allowance_asks_total"),
		failedAsks:         set.NewCounter("skylarkbeam_allowance_failed_asks_total"),
		lent:               set.NewCounter("skylarkbeam_allowance_lent_total"),
		permitsReturned:    set.NewCounter("skylarkbeam_allowance_returned_total"),
		contactlessPermits: set.NewCounter("skylarkbeam_allowance_contactless_total"),

		rolloutReports:        set.NewCounter("skylarkbeam_rollout_reports_total"),
		rolloutReportFailures: set.NewCounter("skylarkbeam_rollout_report_failures_total"),
		rolloutStoreCalls:     set.NewCounter("skylarkbeam_rollout_store_calls_total"),
		callersGone:           map[place]*metrics.Counter{},
		collections:           set.NewCounter("skylarkbeam_memory_collections_total"),
	}
	for _, at := range places {
		m.callersGone[at] = set.NewCounter(fmt.Sprintf("skylarkbeam_callers_gone_total{waiting=%q}", at))
	}
	for _, result := range []string{loadReadAnswered, loadReadLate, loadReadOverBudget} {
		m.loadReads[result] = set.NewCounter(fmt.Sprintf("skylarkbeam_load_reads_total{result=%q}", result))
	}
	for _, r := range slices.Concat(outcome.Refusals, outcome.Retries) {
		m.refusals[r] = set.NewCounter(fmt.Sprintf("skylarkbeam_refusals_total{reason=%q}", r))
	}
	for _, r := range outcome.Retries {
		m.retries[r] = set.NewCounter(fmt.Sprintf("skylarkbeam_retries_total{reason=%q}", r))
	}
	for _, o := range []string{outcomeAnswered, outcomeNotRun, outcomeUnknown, outcomeFailed} {
		m.outcomes[o] = set.NewCounter(fmt.Sprintf("skylarkbeam_outcomes_total{outcome=%q}", o))
	}
	return m
}

// CountRefusal counts a refusal by its reason.
func (m *Metrics) CountRefusal(r outcome.Reason) {
	if counter, ok := m.refusals[r]; ok {
		counter.Inc()
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("skylarkbeam_refusals_total{reason=%q}", r)).Inc()
}

// CountRetry counts a retry or hedge by its reason.
func (m *Metrics) CountRetry(r outcome.Reason) {
	if counter, ok := m.retries[r]; ok {
		counter.Inc()
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("skylarkbeam_retries_total{reason=%q}", r)).Inc()
}

// nonzero returns the counters of refusals, retries and outcomes that are not zero.
func (m *Metrics) nonzero() map[string]uint64 {
	counts := map[string]uint64{}
	add := func(kind, name string, counter *metrics.Counter) {
		if n := counter.Get(); n > 0 {
			counts[kind+" "+name] = n
		}
	}
	for reason, counter := range m.refusals {
		add("refused", string(reason), counter)
	}
	for reason, counter := range m.retries {
		add("retried", string(reason), counter)
	}
	for name, counter := range m.outcomes {
		add("outcome", name, counter)
	}
	return counts
}

// recordWait records how long a call of a service waited for admission.
func (m *Metrics) recordWait(service string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("skylarkbeam_wait_seconds{service=%q}", service)).Update(d.Seconds())
}

// recordAttempt records the duration of an attempt at a target of a service.
func (m *Metrics) recordAttempt(service string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("skylarkbeam_attempt_seconds{service=%q}", service)).Update(d.Seconds())
}

// registerServiceGauges registers the gauges of a service. They are never unregistered.
func (m *Metrics) registerServiceGauges(service string, inflight, waiting func() float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf("skylarkbeam_service_in_flight{service=%q}", service), inflight)
	m.set.GetOrCreateGauge(fmt.Sprintf("skylarkbeam_service_waiting{service=%q}", service), waiting)
}

// RegisterGauge registers a value that is computed when the metrics are read.
func (m *Metrics) RegisterGauge(name string, value func() float64) {
	m.set.NewGauge(name, value)
}

// WritePrometheus writes all metrics, including those of the Go runtime and the process, in the Prometheus text
// format.
func (m *Metrics) WritePrometheus(w io.Writer) {
	m.set.WritePrometheus(w)
	m.workspaces.writeMetrics(w)
	// The default set contains the metrics of package claim.
	metrics.WritePrometheus(w, true)
}
