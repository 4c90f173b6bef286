package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// bucketsPerOctave is the number of latency buckets for each doubling. With 4, a bucket is 19% wide, which is
	// finer than the factors that are told apart.
	bucketsPerOctave = 4
	// latencyBuckets is the number of buckets, which reach from 1 ms to 65 s.
	latencyBuckets = 64
	// slowBuckets is the distance from the bucket of the old version's median from which on an answer is slow: a factor
	// of 2.4 to 2.8, depending on where in their buckets the two are.
	slowBuckets = 6
	// minMedianAnswers is the number of answers of the old version on a route below which its median is not used. The
	// median of 8 answers has an error of about a bucket.
	minMedianAnswers = 8

	// trialChance and finalChance are the probabilities of a difference by chance below which it counts: during the trial, in
	// which it is looked at up to four times a second, and once at its end. finalRouteChance is that of a single route, of
	// which any may differ by chance. The first is the probability of a z of 4, the others those
	// of about 2.4 and 2.5; see the table of error rates in docs/design/rollouts.md.
	trialChance      = 3.2e-5
	finalChance      = 0.008
	finalRouteChance = 0.006
	// minStratumAnswers is the number of answers of the new version on a route below which periods are joined. Periods with
	// one or two compare almost nothing.
	minStratumAnswers = 4
	// trialFailures and finalFailures are the differences of the shares of failures, below which a version is not bad.
	trialFailures = 0.03
	finalFailures = 0.015
	// minFailures is the number of failures below which a version is not bad.
	minFailures = 3
	// minSlow is the difference of the shares of slow answers below which a version is not bad.
	minSlow = 0.15
	// minSlowAnswers is the number of slow answers below which a version is not bad. Two were enough for a false alarm.
	minSlowAnswers = 4
)

// LatencyBucket returns the bucket of a latency in Results.
func LatencyBucket(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(bucketsPerOctave*math.Log2(ms)), latencyBuckets-1)
}

// Latencies are numbers of answers by latency bucket. In JSON, only buckets with answers are written: most entries of a large
// fleet have a few answers on each route.
type Latencies []int

// MarshalJSON writes pairs of a bucket and its number of answers.
func (l Latencies) MarshalJSON() ([]byte, error) {
	text := []byte{'['}
	for bucket, n := range l {
		if n == 0 {
			continue
		}
		if len(text) > 1 {
			text = append(text, ',')
		}
		text = strconv.AppendInt(text, int64(bucket), 10)
		text = append(text, ',')
		text = strconv.AppendInt(text, int64(n), 10)
	}
	return append(text, ']'), nil
}

// UnmarshalJSON reads what MarshalJSON writes.
func (l *Latencies) UnmarshalJSON(data []byte) error {
	var pairs []int
	if err := json.Unmarshal(data, &pairs); err != nil {
		return err
	}
	*l = nil
	for i := 0; i+1 < len(pairs); i += 2 {
		bucket := pairs[i]
		if bucket < 0 || bucket >= latencyBuckets {
			return errors.Newf("there is no latency bucket %d", bucket)
		}
		for len(*l) <= bucket {
			*l = append(*l, 0)
		}
		(*l)[bucket] += pairs[i+1]
	}
	return nil
}

// bucketLatency returns the latency in the middle of a bucket.
func bucketLatency(bucket int) time.Duration {
	return time.Duration(math.Exp2((float64(bucket)+0.5)/bucketsPerOctave) * float64(time.Millisecond))
}

// addLatency counts a latency.
func (r *Results) addLatency(d time.Duration) {
	bucket := LatencyBucket(d)
	for len(r.Latencies) <= bucket {
		r.Latencies = append(r.Latencies, 0)
	}
	r.Latencies[bucket]++
}

// add adds the results of others, times a factor that is 1 or -1.
func (r *Results) add(other Results, factor int) {
	r.Answers += factor * other.Answers
	r.Failures += factor * other.Failures
	for len(r.Latencies) < len(other.Latencies) {
		r.Latencies = append(r.Latencies, 0)
	}
	for i, n := range other.Latencies {
		r.Latencies[i] += factor * n
	}
}

// clone returns a copy that shares nothing.
func (r Results) clone() Results {
	r.Latencies = slices.Clone(r.Latencies)
	return r
}

// measured returns the number of answers with a latency that counts, and those from a bucket on.
func (r Results) measured(from int) (all, slow int) {
	for i, n := range r.Latencies {
		all += n
		if i >= from {
			slow += n
		}
	}
	return all, slow
}

// median returns the bucket of the median latency. ok is false if there are too few answers.
func (r Results) median(least int) (bucket int, ok bool) {
	all, _ := r.measured(0)
	if all < max(least, 1) {
		return 0, false
	}
	sum := 0
	for i, n := range r.Latencies {
		if sum += n; 2*sum >= all {
			return i, true
		}
	}
	return len(r.Latencies) - 1, true
}

// Median returns the median latency, 0 if nothing was measured.
func (r Results) Median() time.Duration {
	bucket, ok := r.median(1)
	if !ok {
		return 0
	}
	return bucketLatency(bucket)
}

// Counts are results by route.
type Counts map[string]Comparison

// add adds the counts of others, times a factor that is 1 or -1.
func (c Counts) add(other Counts, factor int) {
	for route, results := range other {
		sum := c[route]
		sum.Old.add(results.Old, factor)
		sum.New.add(results.New, factor)
		c[route] = sum
	}
}

// total returns the sum over the routes.
func (c Counts) total() Comparison {
	var sum Comparison
	for _, results := range c {
		sum.Old.add(results.Old, 1)
		sum.New.add(results.New, 1)
	}
	return sum
}

// stratumSum is a stratified comparison of two shares, after Mantel and Haenszel.
type stratumSum struct {
	observed, expected float64
	difference, weight float64
	// total is the number of both versions that were compared, count that of the new one.
	total, count int
}

// add adds a stratum: of n1 answers of the new version, x1 have the property, and of n0 of the old one, x0.
func (s *stratumSum) add(n1, x1, n0, x0 int) {
	s.count += x1
	if n1 <= 0 || n0 <= 0 {
		return // The stratum compares nothing.
	}
	a, b, m := float64(n1), float64(n0), float64(x1+x0)
	n := a + b
	s.observed += float64(x1)
	s.expected += a * m / n
	s.total += x1 + x0
	w := a * b / n
	s.weight += w
	s.difference += w * (float64(x1)/a - float64(x0)/b)
}

func (s *stratumSum) merge(other stratumSum) {
	s.observed += other.observed
	s.expected += other.expected
	s.total += other.total
	s.difference += other.difference
	s.weight += other.weight
	s.count += other.count
}

// chance returns the probability that the new version has at least as many by chance, if both versions have the same share.
// Each of all those counted is one of the new version with the same probability, so their number has a binomial distribution.
// The usual z of the difference is too high for few: 5 failures in 102 answers beside 15 in 860 have a z of 2.9, which would
// be a chance of 0.2%, but happen in 1%.
func (s *stratumSum) chance() float64 {
	if s.observed <= s.expected || s.total == 0 {
		return 1
	}
	n, p := float64(s.total), s.expected/float64(s.total)
	if p >= 1 {
		return 1
	}
	logGamma := func(x float64) float64 {
		y, _ := math.Lgamma(x + 1)
		return y
	}
	k := s.observed
	term := math.Exp(logGamma(n) - logGamma(k) - logGamma(n-k) + k*math.Log(p) + (n-k)*math.Log1p(-p))
	sum := 0.0
	for ; k <= n && term > sum*1e-9; k++ {
		sum += term
		term *= (n - k) / (k + 1) * p / (1 - p)
	}
	return min(sum, 1)
}

// excess returns the difference of the shares.
func (s *stratumSum) excess() float64 {
	if s.weight == 0 {
		return 0
	}
	return s.difference / s.weight
}

// Verdict is a judgment with its evidence.
type Verdict struct {
	Bad bool
	// Reason is the evidence in words.
	Reason string
}

// Evidence is what is known of both versions.
type Evidence struct {
	// Strata are the counts of one period each.
	Strata []Counts
	// Targets are the results of the targets of the new version.
	Targets map[string]Results
}

// Judge compares the new version with the old one. With final, the trial has ended and the judgment is made once;
// otherwise it is repeated and must be surer.
func (e Evidence) Judge(final bool) Verdict {
	whole := Counts{}
	for _, stratum := range e.Strata {
		whole.add(stratum, 1)
	}
	routes := slices.Sorted(maps.Keys(whole))
	var allFailures, allSlow stratumSum
	for _, route := range routes {
		// Without a median of the old version, no answer counts as slow.
		slowFrom := latencyBuckets
		if median, ok := whole[route].Old.median(minMedianAnswers); ok {
			slowFrom = median + slowBuckets
		}
		var failures, slow stratumSum
		for _, results := range e.periods(route) {
			failures.add(results.New.Answers, results.New.Failures, results.Old.Answers, results.Old.Failures)
			n1, x1 := results.New.measured(slowFrom)
			n0, x0 := results.Old.measured(slowFrom)
			slow.add(n1, x1, n0, x0)
		}
		if v := e.judge("route "+route, failures, slow, final, len(routes) > 1); v.Bad {
			return v
		}
		allFailures.merge(failures)
		allSlow.merge(slow)
	}
	return e.judge("all routes", allFailures, allSlow, final, false)
}

// periods returns the results of a route in successive periods, joined so that each has enough answers of the new version.
func (e Evidence) periods(route string) []Comparison {
	var periods []Comparison
	for _, stratum := range e.Strata {
		last := len(periods) - 1
		if last < 0 || periods[last].New.Answers >= minStratumAnswers {
			periods = append(periods, Comparison{})
			last++
		}
		results := stratum[route]
		periods[last].Old.add(results.Old, 1)
		periods[last].New.add(results.New, 1)
	}
	if last := len(periods) - 1; last > 0 && periods[last].New.Answers < minStratumAnswers {
		periods[last-1].Old.add(periods[last].Old, 1)
		periods[last-1].New.add(periods[last].New, 1)
		periods = periods[:last]
	}
	return periods
}

// judge applies the limits to the comparison of one route, one of many, or of all.
func (e Evidence) judge(where string, failures, slow stratumSum, final, oneOfMany bool) Verdict {
	limit, leastFailures := trialChance, trialFailures
	if final {
		limit, leastFailures = finalChance, finalFailures
		if oneOfMany {
			limit = finalRouteChance
		}
	}
	if chance, excess := failures.chance(), failures.excess(); chance < limit && excess > leastFailures && failures.count >= minFailures &&
		e.failsWithoutWorstTarget() {
		return verdict(where, "failures", failures, chance, excess)
	}
	if chance, excess := slow.chance(), slow.excess(); chance < limit && excess > minSlow && slow.count >= minSlowAnswers {
		return verdict(where, "slow answers", slow, chance, excess)
	}
	return Verdict{}
}

// failsWithoutWorstTarget reports whether the new version has enough failures besides those of the target that has most. A
// single broken target gets a larger part of the few requests of the new version than one of the old version gets of its.
func (e Evidence) failsWithoutWorstTarget() bool {
	sum, worst := 0, 0
	for _, t := range e.Targets {
		sum += t.Failures
		worst = max(worst, t.Failures)
	}
	return len(e.Targets) < 2 || sum-worst >= minFailures
}

func verdict(where, what string, s stratumSum, chance, excess float64) Verdict {
	return Verdict{
		Bad: true,
		Reason: fmt.Sprintf("%s: %d %s of the new version, %.1f expected, share higher by %.3f, by chance in %.2g",
			where, s.count, what, s.expected, excess, chance),
	}
}
