package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"skylarkbeam/outcome"
)

// client calls one stand-in.
type client struct {
	t    *testing.T
	base string
	http http.Client
}

func start(t *testing.T, switches Behavior) (*Target, *client) {
	t.Helper()
	target := New(Options{
		Name:     "worker",
		Behavior: switches,
	})
	s, err := Start(target, netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	c := &client{
		t:    t,
		base: "http://" + s.Address.String(),
		http: http.Client{
			Transport: &http.Transport{},
		},
	}
	t.Cleanup(func() {
		c.http.CloseIdleConnections()
		assert.NilError(t, s.Close())
	})
	return target, c
}

// do sends a request and returns the answer with its whole body.
func (c *client) do(ctx context.Context, method, path, id, body string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, strings.NewReader(body))
	assert.NilError(c.t, err)
	req.Header.Set("Skylarkbeam-Request", id)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

func (c *client) status(path string) int {
	resp, _, err := c.do(c.t.Context(), "GET", path, "id", "")
	assert.NilError(c.t, err)
	return resp.StatusCode
}

func (c *client) load() (l LoadReport) {
	_, data, err := c.do(c.t.Context(), "GET", "/skylarkbeam/load", "id", "")
	assert.NilError(c.t, err)
	assert.NilError(c.t, json.Unmarshal([]byte(data), &l))
	return l
}

func eventually(t *testing.T, target *Target, what string, ok func(outcome.Report) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		target.mu.Lock()
		r := target.report()
		target.mu.Unlock()
		if ok(r) {
			return poll.Success()
		}
		return poll.Continue("%s: %+v", what, r)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against a stand-in that runs more calls than it has slots, queues without a bound, or keeps the slot of a
// caller that went away.
func TestSlots(t *testing.T) {
	target, c := start(t, Behavior{
		Slots:       2,
		QueueLimit:  1,
		ServiceTime: Duration(time.Minute),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for range 3 {
		group.Go(func() { _, _, _ = c.do(ctx, "GET", "/", "id", "") })
	}
	eventually(t, target, "full", func(r outcome.Report) bool { return r.Active == 2 && r.Queued == 1 })
	resp, _, err := c.do(t.Context(), "GET", "/", "fourth", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get("Skylarkbeam-Outcome"), "not-run")
	assert.Equal(t, resp.Header.Get("Skylarkbeam-Request"), "fourth")
	assert.Equal(t, resp.Header.Get("Skylarkbeam-Load"), "2/2/1")
	assert.Equal(t, target.Runs().ByRequest["fourth"], 0)
	cancel()
	group.Wait()
	eventually(t, target, "empty", func(r outcome.Report) bool { return r.Active == 0 && r.Queued == 0 })
	assert.Equal(t, target.Counts().Canceled, 3)
	// The time left ends a call too.
	req, err := http.NewRequest("GET", c.base+"/", nil)
	assert.NilError(t, err)
	req.Header.Set("Skylarkbeam-Timeout", "20ms")
	_, err = c.http.Do(req)
	assert.ErrorContains(t, err, "EOF")
	eventually(t, target, "empty", func(r outcome.Report) bool { return r.Active == 0 })
}

// Guards against calls beyond what a cold target bears that are not counted, and against a cold start that does not end.
func TestCold(t *testing.T) {
	target, c := start(t, Behavior{
		ColdDuration:    Duration(300 * time.Millisecond),
		ColdConcurrency: 2,
		ServiceTime:     Duration(20 * time.Millisecond),
	})
	calls := func(n int) {
		var group sync.WaitGroup
		for range n {
			group.Go(func() { c.status("/") })
		}
		group.Wait()
	}
	calls(2)
	assert.Equal(t, target.Counts().ColdViolations, 0)
	assert.Equal(t, c.load().Phase, outcome.PhaseCold)
	calls(3)
	assert.Equal(t, target.Counts().ColdViolations, 1)
	assert.Equal(t, target.Counts().MaxColdConcurrency, 3)
	eventually(t, target, "warm", func(r outcome.Report) bool { return r.Phase == outcome.PhaseWarm })
	calls(4)
	assert.Equal(t, target.Counts().ColdViolations, 1)
	target.UpdateBehavior(func(s *Behavior) { s.ColdDuration = Duration(time.Minute) })
	assert.Equal(t, c.load().Phase, outcome.PhaseWarm, "a warm process became cold by the switch for the next one")
	instance := target.Instance()
	target.Restart(true)
	l := c.load()
	assert.Equal(t, l.Phase, outcome.PhaseCold)
	assert.Assert(t, l.Instance != instance)
}

// Guards against load reads that are current when they must lag, and against a wrong count of them.
func TestLoad(t *testing.T) {
	target, c := start(t, Behavior{
		Slots:         1,
		LoadReportAge: Duration(300 * time.Millisecond),
		ServiceTime:   Duration(time.Minute),
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _, _ = c.do(ctx, "GET", "/", "id", "") }()
	eventually(t, target, "busy", func(r outcome.Report) bool { return r.Active == 1 })
	assert.Equal(t, c.load().Active, 0)
	time.Sleep(310 * time.Millisecond)
	assert.Equal(t, c.load().Active, 1)
	target.UpdateBehavior(func(s *Behavior) {
		s.FixedLoad = &LoadReport{
			Phase: outcome.PhaseWarm,
			Slots: 99,
		}
	})
	assert.Equal(t, c.load(), LoadReport{
		Instance: target.Instance(),
		Phase:    outcome.PhaseWarm,
		Slots:    99,
	})
	assert.Equal(t, target.Counts().LoadReads, 3)

	now := time.Now()
	target.Reset()
	for _, at := range []time.Duration{0, 500, 999, 1000, 1400, 3000} {
		target.countLoad(now.Add(at * time.Millisecond))
	}
	assert.Equal(t, target.Counts().MaxLoadReadsPerSecond, 4, "500 ms to 1400 ms")
}

// Guards against crossed answers that are not each other's, and against an answer that says nothing of its request.
func TestCross(t *testing.T) {
	target, c := start(t, Behavior{})
	target.InjectFaults(FaultSwappedResponses, FaultSwappedResponses)
	paths := []string{"/one", "/two"}
	var group sync.WaitGroup
	for i, path := range paths {
		group.Go(func() {
			resp, data, err := c.do(t.Context(), "GET", path, path, "")
			assert.Check(t, err)
			other := paths[1-i]
			assert.Check(t, resp.Header.Get("Skylarkbeam-Request") == other)
			assert.Check(t, data == string(ExpectedBody("GET", other, "", nil)))
		})
	}
	group.Wait()
	assert.Assert(t, string(ExpectedBody("POST", "/one", "a", nil)) != string(ExpectedBody("POST", "/one", "b", nil)))
	assert.Equal(t, len(ExpectedBody("GET", "/x/documents?size=5000", "", nil)), 5000)
}

// Guards against controls over HTTP that do not reach the target, or that apply in part.
func TestControl(t *testing.T) {
	target, c := start(t, Behavior{})
	do := func(method, path, body string) int {
		resp, _, err := c.do(t.Context(), method, path, "", body)
		assert.NilError(t, err)
		return resp.StatusCode
	}
	assert.Equal(t, do("PATCH", "/standin/switches", `{"drain":true,"work":"5ms"}`), http.StatusOK)
	assert.Equal(t, c.status("/"), http.StatusServiceUnavailable)
	assert.Equal(t, target.Counts().DrainingCalls, 1)
	assert.Equal(t, do("PATCH", "/standin/switches", `{"drain":false,"colour":"red"}`), http.StatusBadRequest)
	assert.Equal(t, do("PATCH", "/standin/switches", `{"fault":"none"}`), http.StatusBadRequest)
	assert.Equal(t, target.Behavior().ServiceTime, Duration(5*time.Millisecond))
	assert.Assert(t, target.Behavior().Draining)
	instance := target.Instance()
	assert.Equal(t, do("POST", "/standin/restart?keep=1", ""), http.StatusOK)
	assert.Assert(t, target.Instance() != instance)
	assert.Equal(t, do("POST", "/standin/next?fault=error,shed", ""), http.StatusOK)
	assert.Equal(t, c.status("/"), http.StatusInternalServerError)
	assert.Equal(t, c.status("/"), http.StatusServiceUnavailable)
	assert.Equal(t, c.status("/"), http.StatusOK)
	assert.Equal(t, do("POST", "/standin/reset", ""), http.StatusOK)
	assert.Equal(t, target.Counts(), Counts{})
	for _, path := range []string{"/standin/", "/standin/runs"} {
		_, data, err := c.do(t.Context(), "GET", path, "", "")
		assert.NilError(t, err)
		assert.Assert(t, json.Valid([]byte(data)))
	}
}

// Guards against a stand-in for a bad version that fails elsewhere than it is told to, or in all calls.
func TestFaultyVersion(t *testing.T) {
	target, c := start(t, Behavior{
		Version:    "v2",
		Fault:      FaultError,
		FaultPath:  "/b/",
		FaultShare: 0.5,
	})
	failed := 0
	for range 100 {
		assert.Equal(t, c.status("/a/x"), http.StatusOK)
		if c.status("/b/x") == http.StatusInternalServerError {
			failed++
		}
	}
	assert.Assert(t, failed > 10 && failed < 90, "%d of 100 failed", failed)
	assert.Equal(t, target.Behavior().Version, "v2")
}
