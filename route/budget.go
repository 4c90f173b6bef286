package route

// repeatShare is the default share of repeats and hedges in first attempts.
const repeatShare = 0.1

// repeatBurst lets a burst of failures be repeated at once, while the share holds over any longer time.
const repeatBurst = 10.0

// hedgeReserve is the part of the budget that hedges leave to repeats: a hedge makes a slow call faster, a repeat saves one
// that would fail.
const hedgeReserve = 3.0

// budget counts the attempts that may still be repeated or hedged. It starts empty, so that repeats never pass their
// share of first attempts, counted from the start.
type budget struct {
	tokens float64
}

func (b *budget) earn(share float64) {
	b.tokens = min(b.tokens+share, repeatBurst)
}

func (b *budget) has(hedge bool) bool {
	if hedge {
		return b.tokens >= 1+hedgeReserve
	}
	return b.tokens >= 1
}

func (b *budget) spend() {
	b.tokens--
}
