package deployment_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"skylarkbeam/deployment"
	"skylarkbeam/standin"
)

const (
	chainLevels  = 12
	chainTargets = 3
	chainSeed    = 20261204
	// chainProbes does not limit the calls: each dropped answer closes a connection, and the check of a new one is a probe.
	chainProbes = 1000
	// chainWork is the usual time of a call with all levels below it on a busy machine. Reads on reused connections are given
	// up as silent after ten times as long, which is the deadline of the callers.
	chainWork = 100 * time.Millisecond
)

// chain is a deployment in which each target of a level calls the service of the next level through an entry.
type chain struct {
	*deployment.Deployment
	levels int
	client *http.Client
	seed   uint64
}

func levelName(level int) string { return fmt.Sprintf("level%02d", level) }

// startChain starts a chain with one entry and waits until all its targets are warm.
func startChain(tb testing.TB, levels int, switches standin.Behavior) *chain {
	tb.Helper()
	var o deployment.Options
	for level := 1; level <= levels; level++ {
		o.Services = append(o.Services, deployment.Service{
			Name:            levelName(level),
			Targets:         chainTargets,
			ServiceTime:     chainWork,
			ProbesPerSecond: chainProbes,
			Behavior:        switches,
		})
	}
	d, err := deployment.Start(o)
	assert.NilError(tb, err)
	tb.Cleanup(d.Close)
	c := &chain{
		Deployment: d,
		levels:     levels,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
			},
		},
		seed: chainSeed,
	}
	tb.Cleanup(c.client.CloseIdleConnections)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	assert.NilError(tb, d.WaitWarm(ctx))
	for level := 1; level < levels; level++ {
		for _, t := range c.targets(level) {
			t.UpdateBehavior(func(s *standin.Behavior) { s.DependencyURL = c.url(level + 1) })
		}
	}
	return c
}

func (c *chain) url(level int) string {
	return "http://" + c.Entries[0].CallerAddress().String() + "/" + levelName(level) + "/tides"
}

func (c *chain) targets(level int) []*standin.Target {
	var list []*standin.Target
	for i := range chainTargets {
		list = append(list, c.Targets[fmt.Sprintf("%s-%d", levelName(level), i+1)].Target)
	}
	return list
}

// runs returns the calls that ran at each level.
func (c *chain) runs() []int {
	counts := make([]int, c.levels)
	for level := 1; level <= c.levels; level++ {
		for _, t := range c.targets(level) {
			counts[level-1] += t.Counts().Runs
		}
	}
	return counts
}

func (c *chain) reset() {
	for _, t := range c.Targets {
		t.Target.Reset()
	}
}

// result is what callers got.
type result struct {
	calls, answered int
	latencies       *hdrhistogram.Histogram // in microseconds
}

// call sends one read to the first level and returns the status, or 0 without a whole answer.
func (c *chain) call(ctx context.Context, timeout time.Duration) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(1), nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Skylarkbeam-Caller", "web")
	req.Header.Set("Skylarkbeam-Timeout", timeout.String())
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// load sends reads to the first level. Each worker pauses between its calls for a random time.
func (c *chain) load(workers, calls int, pause time.Duration) result {
	sum := result{
		calls:     workers * calls,
		latencies: hdrhistogram.New(1, 10_000_000, 3),
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	for worker := range workers {
		random := rand.New(rand.NewPCG(c.seed, uint64(worker)))
		group.Go(func() {
			for range calls {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(pause)))
				start := time.Now()
				status := c.call(context.Background(), time.Second)
				took := time.Since(start)
				mu.Lock()
				if status == http.StatusOK {
					sum.answered++
				}
				_ = sum.latencies.RecordValue(took.Microseconds())
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return sum
}

// BenchmarkChain prints how many calls run at each level for each call of the caller, and how long a call takes. Run it with
// -benchtime 1x.
func BenchmarkChain(b *testing.B) {
	const (
		workers = 8
		calls   = 250
		work    = standin.Duration(time.Millisecond)
	)
	scenarios := []struct {
		name   string
		levels int
		work   standin.Duration
		slow   float64 // of one target of the last level
		move   bool    // another target becomes the slow one every 100 ms
		stall  bool    // all targets of the last level are slow for 60 of every 400 ms
		drop   float64 // part of the calls at each target whose answer is dropped after they ran
	}{
		{
			name:   "1-sound",
			levels: 1,
		},
		{
			name:   "12-sound",
			levels: chainLevels,
		},
		{
			name:   "12-moving",
			levels: chainLevels,
			work:   work,
			slow:   30,
			move:   true,
		},
		{
			name:   "12-stall",
			levels: chainLevels,
			work:   work,
			slow:   60,
			stall:  true,
		},
		{
			name:   "12-drop1",
			levels: chainLevels,
			work:   work,
			drop:   0.01,
		},
		{
			name:   "12-drop10",
			levels: chainLevels,
			work:   work,
			drop:   0.1,
		},
	}
	for _, s := range scenarios {
		for _, unmarked := range []bool{true, false} {
			b.Run(fmt.Sprintf("%s/unmarked=%t", s.name, unmarked), func(b *testing.B) {
				for range b.N {
					c := startChain(b, s.levels, standin.Behavior{
						Slots:           16,
						ServiceTime:     s.work,
						OmitRetryHeader: unmarked,
						DiscardRuns:     true,
					})
					c.load(workers, 100, 2*time.Millisecond)
					if s.slow > 0 {
						b.Cleanup(c.straggle(s.slow, s.move, s.stall))
					}
					c.drop(s.drop)
					c.reset()
					r := c.load(workers, calls, 2*time.Millisecond)
					var runs []string
					for _, n := range c.runs() {
						runs = append(runs, fmt.Sprintf("%.2f", float64(n)/float64(r.calls)))
					}
					b.Logf("seed %d, %d of %d answered, p50 %.2f ms, p99 %.2f ms, runs of each level %v", c.seed, r.answered, r.calls,
						float64(r.latencies.ValueAtQuantile(50))/1000, float64(r.latencies.ValueAtQuantile(99))/1000, runs)
				}
			})
		}
	}
}

// drop gives each target a random sequence of calls whose answers are dropped.
func (c *chain) drop(part float64) {
	if part == 0 {
		return
	}
	for level := 1; level <= c.levels; level++ {
		for i, t := range c.targets(level) {
			random := rand.New(rand.NewPCG(c.seed, uint64(level*chainTargets+i)))
			faults := make([]standin.Fault, 20000)
			for j := range faults {
				if random.Float64() < part {
					faults[j] = standin.FaultCloseBeforeResponse
				}
			}
			t.InjectFaults(faults...)
		}
	}
}

// straggle makes one target of the last level slow. With move, another one takes its place every 100 ms. The returned
// function ends the moves.
func (c *chain) straggle(slow float64, move, stall bool) func() {
	last := c.targets(c.levels)
	set := func(t *standin.Target, slow float64) {
		t.UpdateBehavior(func(s *standin.Behavior) { s.Slowdown = slow })
	}
	set(last[0], slow)
	done := make(chan struct{})
	if !move && !stall {
		return func() {}
	}
	var group sync.WaitGroup
	if stall {
		group.Go(func() {
			for {
				for _, phase := range []struct {
					slow float64
					time time.Duration
				}{
					{
						slow: slow,
						time: 60 * time.Millisecond,
					},
					{
						slow: 1,
						time: 340 * time.Millisecond,
					},
				} {
					for _, t := range last {
						set(t, phase.slow)
					}
					select {
					case <-done:
						return
					case <-time.After(phase.time):
					}
				}
			}
		})
		return func() {
			close(done)
			group.Wait()
		}
	}
	group.Go(func() {
		random := rand.New(rand.NewPCG(c.seed, 1<<32))
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			at := random.IntN(len(last))
			for i, t := range slices.All(last) {
				set(t, 1)
				if i == at {
					set(t, slow)
				}
			}
		}
	})
	return func() {
		close(done)
		group.Wait()
	}
}
