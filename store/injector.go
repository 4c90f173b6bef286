package store

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// faultInjector holds the faults in force and decides which requests fail.
type faultInjector struct {
	mu           sync.Mutex
	faults       Faults
	random       *rand.Rand
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
}

func newInjector() *faultInjector {
	in := &faultInjector{}
	in.set(Faults{})
	return in
}

func (in *faultInjector) set(f Faults) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.faults = f
	in.random = rand.New(rand.NewPCG(f.LostCommits.Seed, 0))
	in.writeLimiter = newLimiter(f.WritesPerSecond)
	in.readLimiter = newLimiter(f.ReadsPerSecond)
}

// newLimiter allows a burst of a tenth of a second's requests, so that a limit also holds over less than a second.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}

func (in *faultInjector) get() Faults {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.faults
}

// admit applies the faults that fail a request on arrival. selectLimiter is nil for requests without a rate limit.
func (in *faultInjector) admit(now time.Time, selectLimiter func(*faultInjector) *rate.Limiter) (Faults, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.faults.Unavailable {
		return in.faults, newError(Unavailable, errors.New("platform is unavailable"))
	}
	if selectLimiter != nil && !selectLimiter(in).AllowN(now, 1) {
		return in.faults, newError(Throttled, errors.New("rate limit of the platform exceeded"))
	}
	return in.faults, nil
}

func selectWriteLimiter(in *faultInjector) *rate.Limiter { return in.writeLimiter }
func selectReadLimiter(in *faultInjector) *rate.Limiter  { return in.readLimiter }

// nextCommitLoss reports whether the next commit is lost, and where.
func (in *faultInjector) nextCommitLoss() (CommitLoss, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	loss := in.faults.LostCommits
	switch {
	case loss.Count > 0:
		in.faults.LostCommits.Count--
	case loss.Probability > 0 && in.random.Float64() < loss.Probability:
	default:
		return loss, false
	}
	if loss.Point == LossPointRandom {
		loss.Point = definiteLossPoints[in.random.IntN(len(definiteLossPoints))]
	}
	return loss, true
}
