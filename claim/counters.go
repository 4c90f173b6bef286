package claim

import "github.com/VictoriaMetrics/metrics"

// Counters of all managers of the process.
var (
	transactionsTotal = metrics.NewCounter("skylarkbeam_claim_transactions_total")
	lostTotal         = metrics.NewCounter("skylarkbeam_claim_lost_total")
	fencedTotal       = metrics.NewCounter("skylarkbeam_claim_fenced_total")
	freedTotal        = metrics.NewCounter("skylarkbeam_claim_freed_total")
	lapsedTotal       = metrics.NewCounter("skylarkbeam_claim_lapsed_total")
	outagesTotal      = metrics.NewCounter("skylarkbeam_claim_outages_total")

	grantedTotal     = metrics.NewCounter(`skylarkbeam_claims_total{decision="granted"}`)
	doneTotal        = metrics.NewCounter(`skylarkbeam_claims_total{decision="done"}`)
	busyTotal        = metrics.NewCounter(`skylarkbeam_claims_total{decision="busy"}`)
	mismatchTotal    = metrics.NewCounter(`skylarkbeam_claims_total{decision="mismatch"}`)
	unavailableTotal = metrics.NewCounter(`skylarkbeam_claims_total{decision="unavailable"}`)
)

func countDecision(d Decision) {
	switch d.(type) {
	case *Granted:
		grantedTotal.Inc()
	case *Done:
		doneTotal.Inc()
	case *Busy:
		busyTotal.Inc()
	case *Mismatch:
		mismatchTotal.Inc()
	case *Unavailable:
		unavailableTotal.Inc()
	}
}
