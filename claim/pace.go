package claim

import "time"

const (
	// minSpacing keeps one entry at 40 transactions a second. Six entries then use 240 of the 300 writes a second of the
	// platform; with 20 ms they used 97% of them, and writes of membership were throttled together with claims.
	minSpacing = 25 * time.Millisecond
	maxSpacing = 160 * time.Millisecond
	// maxDelay is less than waitLimit, so that no call is refused only because of the retries before it.
	maxDelay = maxSpacing
)

// pace spaces the transactions of a ledger. A transaction that goes at once, as a retry does, delays the later ones, up
// to maxDelay.
type pace struct {
	next    time.Time
	spacing time.Duration
}

func (p *pace) spend(now time.Time) {
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(p.spacing)
	if latest := now.Add(maxDelay); p.next.After(latest) {
		p.next = latest
	}
}

func (p *pace) throttled() { p.spacing = min(2*p.spacing, maxSpacing) }
func (p *pace) accepted()  { p.spacing = max(p.spacing*7/8, minSpacing) }
