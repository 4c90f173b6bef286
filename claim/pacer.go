package claim

import "time"

const (
	// minTransactionInterval limits one entry to 40 transactions per second. Six entries then use 240 of the 300 writes
	// per second of the platform. With 20 ms they used 97% of them, and membership writes were throttled together with
	// claims.
	minTransactionInterval = 25 * time.Millisecond
	// maxTransactionInterval bounds the interval on a table that throttles.
	maxTransactionInterval = 160 * time.Millisecond
	// maxPacingDelay is less than acquireTimeout, so that no call is refused only because of preceding retries.
	maxPacingDelay = maxTransactionInterval
)

// pacer spaces the transactions of a manager. A transaction that starts at once, as a retry does, delays later ones by
// up to maxPacingDelay.
type pacer struct {
	nextStart time.Time
	interval  time.Duration
}

// reserve accounts for a transaction that starts now.
func (p *pacer) reserve(now time.Time) {
	if p.nextStart.Before(now) {
		p.nextStart = now
	}
	p.nextStart = p.nextStart.Add(p.interval)
	if latest := now.Add(maxPacingDelay); p.nextStart.After(latest) {
		p.nextStart = latest
	}
}

// slowDown doubles the interval after a transaction was throttled or rejected.
func (p *pacer) slowDown() { p.interval = min(2*p.interval, maxTransactionInterval) }

// speedUp shortens the interval after a transaction was accepted.
func (p *pacer) speedUp() { p.interval = max(p.interval*7/8, minTransactionInterval) }
