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

func start(t *testing.T, switches Switches) (*Target, *client) {
	t.Helper()
	target := New(Options{
		Name:     "worker",
		Switches: switches,
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

func (c *client) load() (l Load) {
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
	target, c := start(t, Switches{
		Slots: 2,
		Queue: 1,
		Work:  Duration(time.Minute),
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
	assert.Equal(t, target.Runs().Requests["fourth"], 0)
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
	target, c := start(t, Switches{
		Cold: Duration(300 * time.Millisecond),
		Bear: 2,
		Work: Duration(20 * time.Millisecond),
	})
	calls := func(n int) {
		var group sync.WaitGroup
		for range n {
			group.Go(func() { c.status("/") })
		}
		group.Wait()
	}
	calls(2)
	assert.Equal(t, target.Counts().Violations, 0)
	assert.Equal(t, c.load().Phase, outcome.PhaseCold)
	calls(3)
	assert.Equal(t, target.Counts().Violations, 1)
	assert.Equal(t, target.Counts().Peak, 3)
	eventually(t, target, "warm", func(r outcome.Report) bool { return r.Phase == outcome.PhaseWarm })
	calls(4)
	assert.Equal(t, target.Counts().Violations, 1)
	target.Set(func(s *Switches) { s.Cold = Duration(time.Minute) })
	assert.Equal(t, c.load().Phase, outcome.PhaseWarm, "a warm process became cold by the switch for the next one")
	instance := target.Instance()
	target.Restart(true)
	l := c.load()
	assert.Equal(t, l.Phase, outcome.PhaseCold)
	assert.Assert(t, l.Instance != instance)
}

// Guards against load reads that are current when they must lag, and against a wrong count of them.
func TestLoad(t *testing.T) {
	target, c := start(t, Switches{
		Slots: 1,
		Stale: Duration(300 * time.Millisecond),
		Work:  Duration(time.Minute),
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _, _ = c.do(ctx, "GET", "/", "id", "") }()
	eventually(t, target, "busy", func(r outcome.Report) bool { return r.Active == 1 })
	assert.Equal(t, c.load().Active, 0)
	time.Sleep(310 * time.Millisecond)
	assert.Equal(t, c.load().Active, 1)
	target.Set(func(s *Switches) {
		s.Fixed = &Load{
			Phase: outcome.PhaseWarm,
			Slots: 99,
		}
	})
	assert.Equal(t, c.load(), Load{
		Instance: target.Instance(),
		Phase:    outcome.PhaseWarm,
		Slots:    99,
	})
	assert.Equal(t, target.Counts().Loads, 3)

	now := time.Now()
	target.Reset()
	for _, at := range []time.Duration{0, 500, 999, 1000, 1400, 3000} {
		target.countLoad(now.Add(at * time.Millisecond))
	}
	assert.Equal(t, target.Counts().Window, 4, "500 ms to 1400 ms")
}

// Guards against crossed answers that are not each other's, and against an answer that says nothing of its request.
func TestCross(t *testing.T) {
	target, c := start(t, Switches{})
	target.Next(FaultCross, FaultCross)
	paths := []string{"/one", "/two"}
	var group sync.WaitGroup
	for i, path := range paths {
		group.Go(func() {
			resp, data, err := c.do(t.Context(), "GET", path, path, "")
			assert.Check(t, err)
			other := paths[1-i]
			assert.Check(t, resp.Header.Get("Skylarkbeam-Request") == other)
			assert.Check(t, data == string(Want("GET", other, "", nil)))
		})
	}
	group.Wait()
	assert.Assert(t, string(Want("POST", "/one", "a", nil)) != string(Want("POST", "/one", "b", nil)))
	assert.Equal(t, len(Want("GET", "/x/documents?size=5000", "", nil)), 5000)
}

// Guards against controls over HTTP that do not reach the target, or that apply in part.
func TestControl(t *testing.T) {
	target, c := start(t, Switches{})
	do := func(method, path, body string) int {
		resp, _, err := c.do(t.Context(), method, path, "", body)
		assert.NilError(t, err)
		return resp.StatusCode
	}
	assert.Equal(t, do("PATCH", "/standin/switches", `{"drain":true,"work":"5ms"}`), http.StatusOK)
	assert.Equal(t, c.status("/"), http.StatusServiceUnavailable)
	assert.Equal(t, target.Counts().Drained, 1)
	assert.Equal(t, do("PATCH", "/standin/switches", `{"drain":false,"colour":"red"}`), http.StatusBadRequest)
	assert.Equal(t, do("PATCH", "/standin/switches", `{"fault":"none"}`), http.StatusBadRequest)
	assert.Equal(t, target.Switches().Work, Duration(5*time.Millisecond))
	assert.Assert(t, target.Switches().Drain)
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
