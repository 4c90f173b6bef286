package memory

import "time"

const (
	// progressWindow is the time in which a sender must deliver progressBytes: 64 KiB/s. At 10 Mbit/s, 19 bodies can arrive at
	// once. A lost packet is sent again within a second or two.
	progressWindow = 5 * time.Second
	progressBytes  = 320 << 10
)

// Progress says whether a sender is too slow to keep the memory that its body holds. Only the time in which it was waited for
// counts.
type Progress struct {
	received int
	waited   time.Duration
}

// Left returns how long the sender may be waited for.
func (p *Progress) Left() time.Duration { return max(progressWindow-p.waited, 0) }

// Record records bytes and the time for which they were waited for.
func (p *Progress) Record(n int, waited time.Duration) {
	p.received += n
	p.waited += waited
	if p.received >= progressBytes {
		p.received, p.waited = 0, 0
	}
}
