package claim

import "github.com/VictoriaMetrics/metrics"

// The counters cover all ledgers of the process.
var (
	transactions = metrics.NewCounter("skylarkbeam_claim_transactions_total")
	lost         = metrics.NewCounter("skylarkbeam_claim_lost_total")
	fenced       = metrics.NewCounter("skylarkbeam_claim_fenced_total")
	freed        = metrics.NewCounter("skylarkbeam_claim_freed_total")
	lapsed       = metrics.NewCounter("skylarkbeam_claim_lapsed_total")
	outages      = metrics.NewCounter("skylarkbeam_claim_outages_total")

	granted     = metrics.NewCounter(`skylarkbeam_claims_total{decision="granted"}`)
	done        = metrics.NewCounter(`skylarkbeam_claims_total{decision="done"}`)
	busy        = metrics.NewCounter(`skylarkbeam_claims_total{decision="busy"}`)
	mismatch    = metrics.NewCounter(`skylarkbeam_claims_total{decision="mismatch"}`)
	notRecorded = metrics.NewCounter(`skylarkbeam_claims_total{decision="unavailable"}`)
)

func count(d Decision) {
	switch d.(type) {
	case *Granted:
		granted.Inc()
	case *Done:
		done.Inc()
	case *Busy:
		busy.Inc()
	case *Mismatch:
		mismatch.Inc()
	case *Unavailable:
		notRecorded.Inc()
	}
}
