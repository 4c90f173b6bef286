package route

// repeatShare is the largest share of repeats and hedges in first attempts that the design allows.
const repeatShare = 0.1

// repeatBurst lets a burst of failures be repeated at once, while the share holds over any longer time.
const repeatBurst = 10.0

// budget counts the attempts that may still be repeated or hedged. It starts empty, so that repeats never pass their
// share of first attempts, counted from the start.
type budget struct {
	tokens float64
}

func (b *budget) earn() {
	b.tokens = min(b.tokens+repeatShare, repeatBurst)
}

func (b *budget) has() bool {
	return b.tokens >= 1
}

func (b *budget) spend() {
	b.tokens--
}
