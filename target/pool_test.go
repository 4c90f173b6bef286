package target

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"skylarkbeam/outcome"
	"skylarkbeam/simulation"
	"skylarkbeam/standin"
)

func TestMain(m *testing.M) { simulation.Main(m, "20260731") }

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// start runs a stand-in with a pool that leads to it. Its probe budget is large and usable at once.
func start(t testing.TB, switches standin.Behavior, change func(*Options)) (*standin.Target, *Pool) {
	t.Helper()
	s, err := standin.Start(standin.New(standin.Options{
		Name:     "worker",
		Behavior: switches,
	}), loopback)
	assert.NilError(t, err)
	opts := Options{
		Name:        "worker",
		Address:     s.Address,
		ProbeBudget: NewProbeBudget(1000, time.Now().Add(-time.Minute)),
	}
	if change != nil {
		change(&opts)
	}
	p := New(opts)
	t.Cleanup(func() {
		p.Close()
		_ = s.Close()
		select {
		case <-p.Done():
		case <-time.After(5 * time.Second):
			t.Errorf("%d connections of the pool are still open", p.OpenConnections())
		}
	})
	return s.Target, p
}

// newCall returns a call that is idempotent if it has no key.
func newCall(method, path, key, body string) *Call {
	call := &Call{
		Method:     method,
		Path:       path,
		Header:     http.Header{},
		Body:       []byte(body),
		Idempotent: key == "",
		Timeout:    2 * time.Second,
	}
	if key != "" {
		call.Header.Set("Idempotency-Key", key)
	}
	return call
}

// result sends a call and describes what became of it: "whole" or "foreign" for an answer that ended without an error,
// "truncated" for one that did not, or the outcome with its reason.
func result(ctx context.Context, p *Pool, call *Call) string {
	switch o := p.Send(ctx, call).(type) {
	case *outcome.NotRun:
		return "not-run " + string(o.Reason)
	case *outcome.Unknown:
		return "unknown " + string(o.Reason)
	case *outcome.Answered:
		defer func() { _ = o.Body.Close() }()
		have, err := io.ReadAll(o.Body)
		want := standin.ExpectedBody(call.Method, call.Path, call.Header.Get("Idempotency-Key"), call.Body)
		switch {
		case errors.Is(err, ErrTruncated):
			return "truncated"
		case err != nil:
			return err.Error()
		case o.Status != http.StatusOK:
			return fmt.Sprint(o.Status)
		case string(have) != string(want):
			return "foreign"
		}
		return "whole"
	}
	panic("target: Send returned no outcome")
}

func expect(t testing.TB, p *Pool, call *Call, want string) {
	t.Helper()
	assert.Equal(t, result(context.Background(), p, call), want, "%s %s", call.Method, call.Path)
}

// waitFor polls until something holds.
func waitFor(t testing.TB, target *standin.Target, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s: %+v", what, target.Counts())
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// drain reads an answer to its end.
func drain(o outcome.Outcome) error {
	body := o.(*outcome.Answered).Body
	defer func() { _ = body.Close() }()
	_, err := io.Copy(io.Discard, body)
	return err
}

// Guards against answers that are altered on their way, and against a connection that is not reused.
func TestSend(t *testing.T) {
	target, p := start(t, standin.Behavior{}, nil)
	for _, path := range []string{"/a", "/a?size=0", "/b?size=300000", "/b?size=70000&chunked=1", "//c?x=%2F"} {
		expect(t, p, newCall("GET", path, "", ""), "whole")
		expect(t, p, newCall("POST", path, "key", "some body"), "whole")
	}
	for _, call := range []*Call{newCall("HEAD", "/a", "", ""), newCall("GET", "/a?status=204", "", ""), newCall("GET", "/a?status=304", "", "")} {
		answered := p.Send(t.Context(), call).(*outcome.Answered)
		assert.Assert(t, answered.Body == http.NoBody)
	}
	assert.Equal(t, target.RunsForKey("key"), 5)
	assert.Equal(t, target.OpenConnections(), 1)
	for _, call := range []*Call{newCall("CONNECT", "/", "", ""), newCall("A B", "/", "", ""), newCall("GET", "/a b", "", ""), newCall("GET", "a", "", "")} {
		expect(t, p, call, "not-run invalid")
	}
}

// Guards against a wrong account of what happened to a call. The control switches off the match of request ids and the
// need for a body of known extent; a caller then takes a foreign and a cut answer for its own.
func TestOutcomes(t *testing.T) {
	notRun := map[standin.Fault]string{
		standin.FaultClose:      "unknown broken",
		standin.FaultShed:       "not-run shed",
		standin.FaultError:      "500",
		standin.FaultNoResponse: "unknown silent",
	}
	run := map[standin.Fault]string{
		standin.FaultCloseBeforeResponse:         "unknown broken",
		standin.FaultReset:                       "unknown broken",
		standin.FaultTruncatedHeader:             "unknown broken",
		standin.FaultMissingBody:                 "truncated",
		standin.FaultTruncatedBody:               "truncated",
		standin.FaultTruncatedChunkedBody:        "truncated",
		standin.FaultTruncatedCloseDelimitedBody: "unknown truncated",
		standin.FaultDelayedResponse:             "unknown silent",
		standin.FaultSwappedResponses:            "unknown crossed",
		standin.FaultMalformedResponse:           "unknown broken",
		standin.FaultEndlessHeader:               "unknown broken",
		standin.FaultInformationalResponses:      "whole",
		standin.FaultDuplicateResponse:           "whole",
	}
	test := func(fault standin.Fault, want string, runs int) {
		for _, off := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s off=%v", fault, off), func(t *testing.T) {
				t.Parallel()
				target, p := start(t, standin.Behavior{
					ResponseDelay: standin.Duration(time.Second),
				}, nil)
				p.off.match, p.off.extent = off, off
				want := want
				if off && (fault == standin.FaultTruncatedCloseDelimitedBody || fault == standin.FaultSwappedResponses) {
					want = "foreign"
				}
				// The fault meets a reused connection, where the temptation to send again is greatest.
				expect(t, p, newCall("POST", "/first", "first", ""), "whole")
				target.InjectFaults(fault)
				call := newCall("POST", "/second", "second", "body")
				if fault == standin.FaultNoResponse || fault == standin.FaultDelayedResponse {
					call.Timeout = 200 * time.Millisecond
				}
				expect(t, p, call, want)
				assert.Equal(t, target.RunsForKey("second"), runs)
				expect(t, p, newCall("POST", "/third", "third", ""), "whole")
			})
		}
	}
	for fault, want := range notRun {
		test(fault, want, 0)
	}
	for fault, want := range run {
		test(fault, want, 1)
	}
	t.Run("refused", func(t *testing.T) {
		_, p := start(t, standin.Behavior{}, func(o *Options) { o.Address = netip.MustParseAddrPort("127.0.0.1:1") })
		expect(t, p, newCall("POST", "/", "key", ""), "not-run dial")
	})
	t.Run("limit", func(t *testing.T) {
		_, p := start(t, standin.Behavior{}, func(o *Options) { o.MaxConnections = 1 })
		answered := p.Send(t.Context(), newCall("GET", "/?size=10000000", "", "")).(*outcome.Answered)
		expect(t, p, newCall("GET", "/", "", ""), "not-run queue")
		assert.NilError(t, answered.Body.Close())
		_, err := answered.Body.Read(make([]byte, 1))
		assert.ErrorIs(t, err, errBodyClosed)
		expect(t, p, newCall("GET", "/", "", ""), "whole")
	})
}

// Guards against an answer that reaches the next call on its connection after its own call was given up. The control
// reuses such a connection.
func TestLate(t *testing.T) {
	for off, want := range map[bool]string{false: "whole", true: "foreign"} {
		target, p := start(t, standin.Behavior{
			ResponseDelay: standin.Duration(100 * time.Millisecond),
		}, nil)
		p.off.giveUp, p.off.match, p.off.alive = off, off, off
		target.InjectFaults(standin.FaultDelayedResponse)
		first := newCall("POST", "/first", "first", "")
		first.Timeout = 50 * time.Millisecond
		expect(t, p, first, "unknown silent")
		expect(t, p, newCall("POST", "/second", "second", ""), want)
	}
}

// Guards against a call that runs twice because the sender resends it after a broken connection. The control is
// http.Transport, which resends a POST with an Idempotency-Key.
func TestResend(t *testing.T) {
	target, p := start(t, standin.Behavior{}, nil)
	expect(t, p, newCall("POST", "/", "warm", ""), "whole")
	target.InjectFaults(standin.FaultCloseBeforeResponse)
	expect(t, p, newCall("POST", "/", "pool", ""), "unknown broken")
	assert.Equal(t, target.RunsForKey("pool"), 1)

	client := http.Client{
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	send := func() {
		req, err := http.NewRequest("POST", "http://"+p.opts.Address.String()+"/", nil)
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", "transport")
		req.Header.Set("Skylarkbeam-Key", "transport")
		resp, err := client.Do(req)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	send()
	target.InjectFaults(standin.FaultCloseBeforeResponse)
	send()
	assert.Equal(t, target.RunsForKey("transport"), 3, "two calls")
}

// Guards against a "not run" for a call whose first attempt within Send may have run. The control forgets that attempt.
func TestSecondAttemptRefused(t *testing.T) {
	for off, want := range map[bool]string{false: "unknown silent", true: "not-run shed"} {
		target, p := start(t, standin.Behavior{}, func(o *Options) { o.FirstByteTimeout = 50 * time.Millisecond })
		p.off.unknown = off
		expect(t, p, newCall("GET", "/first", "", ""), "whole")
		target.BlackholeConnections(true)
		target.InjectFaults(standin.FaultNone, standin.FaultShed)
		expect(t, p, newCall("GET", "/second", "", ""), want)
		assert.Equal(t, target.Counts().Runs, 2)
	}
}

// Guards against a call that is refused or unknown because the target closed an idle connection. The control does not
// look for that.
func TestClosedIdle(t *testing.T) {
	for off, want := range map[bool]string{false: "whole", true: "unknown broken"} {
		target, p := start(t, standin.Behavior{}, nil)
		p.off.alive = off
		expect(t, p, newCall("POST", "/first", "first", ""), "whole")
		target.Restart(false)
		time.Sleep(20 * time.Millisecond)
		expect(t, p, newCall("POST", "/second", "second", ""), want)
	}
}

// Guards against calls that are lost on connections that went silent. The controls send non-idempotent calls on
// connections of any age, and wait for an idempotent call's answer until its deadline.
func TestSilent(t *testing.T) {
	tests := []struct {
		name     string
		key      string
		off      bool
		run      bool // calls on silent connections run
		want     string
		wantRuns int
	}{
		{
			name:     "non-idempotent",
			key:      "key",
			want:     "whole",
			wantRuns: 1,
		},
		{
			name:     "non-idempotent, runs",
			key:      "key",
			run:      true,
			want:     "whole",
			wantRuns: 1,
		},
		{
			name: "non-idempotent, off",
			key:  "key",
			off:  true,
			want: "unknown silent",
		},
		{
			name:     "non-idempotent, off, runs",
			key:      "key",
			off:      true,
			run:      true,
			want:     "unknown silent",
			wantRuns: 1,
		},
		{
			name:     "idempotent",
			want:     "whole",
			wantRuns: 1,
		},
		{
			name:     "idempotent, runs",
			run:      true,
			want:     "whole",
			wantRuns: 2,
		},
		{
			name: "idempotent, off",
			off:  true,
			want: "unknown silent",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			target, p := start(t, standin.Behavior{}, func(o *Options) { o.FirstByteTimeout = 100 * time.Millisecond })
			p.off.recent, p.off.silence = test.off, test.off
			var answers []outcome.Outcome
			for range 5 {
				answers = append(answers, p.Send(t.Context(), newCall("GET", "/", "", "")))
			}
			for _, answered := range answers {
				assert.NilError(t, drain(answered))
			}
			assert.Equal(t, target.OpenConnections(), 5)
			target.BlackholeConnections(test.run)
			target.Reset()
			time.Sleep(recent + 50*time.Millisecond)
			begin := time.Now()
			expect(t, p, newCall("POST", "/x", test.key, ""), test.want)
			if !test.off {
				assert.Assert(t, time.Since(begin) < time.Second, "took %s", time.Since(begin))
			}
			assert.Equal(t, target.Counts().Runs, test.wantRuns)
		})
	}
}

// Guards against warm calls at a target that restarted and is cold again. The control does not check new connections.
func TestInstance(t *testing.T) {
	for off, want := range map[bool]string{false: "not-run instance", true: "whole"} {
		var reports []outcome.Report
		target, p := start(t, standin.Behavior{
			ColdDuration: standin.Duration(time.Minute),
		}, func(o *Options) { o.OnReport = func(r outcome.Report) { reports = append(reports, r) } })
		p.off.check = off
		call := newCall("POST", "/", "key", "")
		call.Instance = target.Instance()
		expect(t, p, call, "whole")
		target.Restart(false)
		time.Sleep(20 * time.Millisecond)
		target.Reset()
		expect(t, p, call, want)
		assert.Equal(t, target.Counts().ColdViolations != 0, off)
		assert.Equal(t, reports[len(reports)-1].Instance, target.Instance())
		// Connections that are kept through a restart do not lead to the former instance either, once one has reported.
		if !off {
			kept := newCall("GET", "/", "", "")
			answers := []outcome.Outcome{p.Send(t.Context(), kept), p.Send(t.Context(), kept)}
			for _, answered := range answers {
				assert.NilError(t, drain(answered))
			}
			kept.Instance = target.Instance()
			target.Restart(true)
			expect(t, p, newCall("GET", "/", "", ""), "whole")
			p.learned = p.learned.Add(-2 * recent) // Only the connections can tell now.
			expect(t, p, kept, "not-run instance")
		}
		// A caller with a permit for a cold call, or one that knows the new instance, is served without another probe.
		loads := target.Counts().LoadReads
		call.Instance = ""
		expect(t, p, call, "whole")
		call.Instance = target.Instance()
		expect(t, p, call, "whole")
		assert.Equal(t, target.Counts().LoadReads, loads)
	}
}

// Guards against a burst of calls at a warm target that is refused because the probe budget checks only one new
// connection, and against evidence from before a connection was open. The control takes a check for each connection.
func TestEvidence(t *testing.T) {
	// How many calls are answered, from and to; on a busy machine some start late or wait too long.
	for off, want := range map[bool][2]int{false: {15, 20}, true: {1, 5}} {
		target, p := start(t, standin.Behavior{
			Slots:       20,
			ServiceTime: standin.Duration(10 * time.Millisecond),
		}, func(o *Options) { o.ProbeBudget = NewProbeBudget(1, time.Now().Add(-time.Minute)) })
		p.off.evidence = off
		have := make([]string, 20)
		var group sync.WaitGroup
		for i := range have {
			group.Go(func() {
				call := newCall("POST", "/", "key", "")
				call.Instance = target.Instance()
				have[i] = result(t.Context(), p, call)
			})
		}
		group.Wait()
		whole := 0
		for _, h := range have {
			if h == "whole" {
				whole++
			}
		}
		assert.Assert(t, whole >= want[0] && whole <= want[1], "%v", have)
		assert.Equal(t, target.Counts().LoadReads, 1)
	}

	// Only a request that was written after a connection was open confirms it.
	target, p := start(t, standin.Behavior{}, nil)
	expect(t, p, newCall("GET", "/", "", ""), "whole")
	c, reason := p.connect(t.Context(), time.Now().Add(time.Second))
	assert.Equal(t, reason, outcome.Reason(""))
	defer p.drop(c)
	evident := func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.evident(c)
	}
	assert.Assert(t, !evident())
	expect(t, p, newCall("GET", "/", "", ""), "whole")
	assert.Assert(t, evident())
	assert.Equal(t, target.OpenConnections(), 2)
}

// Guards against any warm call at a target that restarts under the load of three entries. The control does not check
// new connections.
func TestRestartUnderLoad(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("off=%v", off), func(t *testing.T) {
			t.Parallel()
			target, first := start(t, standin.Behavior{
				Slots:        100,
				ColdDuration: standin.Duration(30 * time.Millisecond),
				ServiceTime:  standin.Duration(time.Millisecond),
			}, nil)
			time.Sleep(40 * time.Millisecond)
			var believed atomic.Value
			believed.Store(target.Instance())
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			var whole atomic.Int32
			for range 3 {
				opts := first.opts
				opts.ProbeBudget = NewProbeBudget(10, time.Now().Add(-time.Minute))
				p := New(opts)
				defer p.Close()
				p.off.check = off
				for range 4 {
					group.Go(func() {
						for ctx.Err() == nil {
							call := newCall("POST", "/", "key", "")
							call.Instance = believed.Load().(string)
							if result(ctx, p, call) == "whole" {
								whole.Add(1)
							}
							time.Sleep(time.Millisecond)
						}
					})
				}
			}
			// On a busy machine 10 restarts are over before enough calls were answered.
			deadline := time.Now().Add(30 * time.Second)
			for i := 0; i < 10 || whole.Load() <= 100 && time.Now().Before(deadline); i++ {
				time.Sleep(60 * time.Millisecond)
				target.Restart(false)
				time.Sleep(40 * time.Millisecond)
				believed.Store(target.Instance())
			}
			cancel()
			group.Wait()
			counts := target.Counts()
			t.Logf("%d calls answered, %d at the cold target, %d load reads", whole.Load(), counts.ColdViolations, counts.LoadReads)
			assert.Equal(t, counts.ColdViolations > 0, off)
			assert.Assert(t, whole.Load() > 100)
		})
	}
}

// Guards against a given-up call that keeps its slot at the target, and against a connection that stays open.
func TestGiveUp(t *testing.T) {
	target, p := start(t, standin.Behavior{
		ServiceTime: standin.Duration(time.Minute),
	}, nil)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	assert.Equal(t, result(ctx, p, newCall("POST", "/", "key", "")), "unknown canceled")
	assert.Equal(t, p.OpenConnections(), 0)
	waitFor(t, target, "the call is given up", func() bool { return target.Counts().Canceled == 1 && target.OpenConnections() == 0 })

	target.UpdateBehavior(func(s *standin.Behavior) { s.ServiceTime = 0 })
	ctx, cancel = context.WithCancel(t.Context())
	answered := p.Send(ctx, newCall("GET", "/?size=100000000", "", "")).(*outcome.Answered)
	cancel()
	_, err := io.Copy(io.Discard, answered.Body)
	assert.ErrorIs(t, err, ErrTruncated)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, p.OpenConnections(), 0)
}

// Guards against a planned stop that interrupts a call, and against connections that outlive the pool.
func TestClose(t *testing.T) {
	target, p := start(t, standin.Behavior{
		ServiceTime: standin.Duration(100 * time.Millisecond),
	}, nil)
	have := make(chan string)
	go func() { have <- result(t.Context(), p, newCall("POST", "/?size=1000000", "key", "")) }()
	waitFor(t, target, "the call runs", func() bool { return target.Counts().Runs == 1 })
	p.Close()
	expect(t, p, newCall("POST", "/", "late", ""), "not-run leaving")
	select {
	case <-p.Done():
		t.Fatal("done before the end of the call")
	default:
	}
	assert.Equal(t, <-have, "whole")
	<-p.Done()
	assert.Equal(t, p.OpenConnections(), 0)
}
