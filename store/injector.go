package store

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// injector decides which requests fail and how.
type injector struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
	writes *rate.Limiter
	reads  *rate.Limiter
}

func newInjector() *injector {
	in := &injector{}
	in.set(Faults{})
	return in
}

func (in *injector) set(f Faults) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.faults = f
	in.random = rand.New(rand.NewPCG(f.LostCommits.Seed, 0))
	in.writes = limiter(f.WritesPerSecond)
	in.reads = limiter(f.ReadsPerSecond)
}

// limiter allows a burst of a tenth of a second, so that a limit also holds over much less than a second.
func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}

func (in *injector) get() Faults {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.faults
}

// admit applies the faults that refuse a request on arrival. A nil limit stands for requests without one.
func (in *injector) admit(now time.Time, limit func(*injector) *rate.Limiter) (Faults, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.faults.Unavailable {
		return in.faults, fault(Unavailable, errors.New("the platform is down"))
	}
	if limit != nil && !limit(in).AllowN(now, 1) {
		return in.faults, fault(Throttled, errors.New("the platform's limit of requests per second is exceeded"))
	}
	return in.faults, nil
}

func writeLimit(in *injector) *rate.Limiter { return in.writes }
func readLimit(in *injector) *rate.Limiter  { return in.reads }

// lose tells whether the answer of the next commit is lost, and when that commit takes effect.
func (in *injector) lose() (CommitLoss, bool) {
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
		loss.Point = points[in.random.IntN(len(points))]
	}
	return loss, true
}
