package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/standin"
)

// downloads starts downloads of 24 MB each from an entry, whose callers take about 7 s to read them. The function
// returned waits for them and returns how many were whole. All have begun when downloads returns, so they must not reach a target
// that is made slow.
func (p *processes) downloads(e *entryProcess, n int) func() (whole int) {
	const size = 24 << 20
	var group sync.WaitGroup
	var mu sync.Mutex
	whole := 0
	started := make(chan struct{}, n)
	for i := range n {
		group.Go(func() {
			path := fmt.Sprintf("/reservations/%s-%d?size=%d", e.name, i, size)
			req, err := http.NewRequest(http.MethodGet, "http://"+e.caller+path, nil)
			if !assert.Check(p.t, err) {
				return
			}
			req.Header.Set("Skylarkbeam-Caller", "reeftravel")
			client := newClient(30 * time.Second)
			resp, err := client.Do(req)
			started <- struct{}{}
			if !assert.Check(p.t, err) {
				return
			}
			defer resp.Body.Close()
			if equalSlowly(resp.Body, standin.ExpectedContent(http.MethodGet, path, "", nil), size/70, 100*time.Millisecond) {
				mu.Lock()
				whole++
				mu.Unlock()
			}
		})
	}
	for range n {
		<-started
	}
	return func() int {
		group.Wait()
		return whole
	}
}

// equalSlowly reads a body at a limited speed and reports whether it is the wanted one. It compares them piece by piece:
// with the race detector, the wanted bodies take 1.1 s of processor time each, and when several downloads ended at once,
// the callers and connections of other tests in this process stood still for up to 0.7 s.
func equalSlowly(have, want io.Reader, chunk int, pause time.Duration) bool {
	haveChunk, wantChunk := make([]byte, chunk), make([]byte, chunk)
	for {
		n, err := io.ReadFull(have, haveChunk)
		wantN, wantErr := io.ReadFull(want, wantChunk)
		if !bytes.Equal(haveChunk[:n], wantChunk[:wantN]) || err != wantErr {
			return false
		}
		if err != nil {
			return err == io.EOF || err == io.ErrUnexpectedEOF
		}
		time.Sleep(pause)
	}
}

// setVMs sets the platform's list of VMs.
func (p *processes) setVMs(body string) {
	req, err := http.NewRequest(http.MethodPut, "http://"+p.platform+"/control/vms", strings.NewReader(body))
	assert.NilError(p.t, err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := p.client.Do(req)
	assert.NilError(p.t, err)
	resp.Body.Close()
	assert.Equal(p.t, resp.StatusCode/100, 2)
}

// Guards against a planned stop that cuts long downloads, and against new work at a target later than 5 s after its own
// phase, or the list of VMs, says that it is leaving. The negative controls are a killed entry, a target that restarts,
// and a target that is listed but not as leaving.
func TestLeaving(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, `{"limits":{"keep":"2s"},`+longDeadlines+`}`)
	t.Logf("seed %d", seed)
	documents, availability := p.targetsOf("documents"), p.targetsOf("availability")
	busy, drained, listed, present := documents[0], documents[1], availability[0], availability[1]
	watched := []string{busy, drained, listed, present}
	long, longResults := p.longCalls(p.entries[2:], []string{busy}, 7*time.Second)
	assert.Assert(t, len(long) > 0)
	calls := p.mixedLoad(2, func(*entryProcess, result) {})
	load := startLoad(p.t, 6, func(w, i int, _ *rand.Rand) {
		p.call(p.client, p.entry(3+w%3).caller, "GET", "/documents/x", "reeftravel", fmt.Sprintf("%s/d-%d-%d", p.entry(3+w%3).name, w, i), "")
		time.Sleep(10 * time.Millisecond)
	})
	stopped, killed := p.entry(1), p.entry(2)
	p.until("a call reaches the target that is to drain", func() bool { return p.counts(drained).Calls > 0 })
	// Nothing may come between the start of the downloads and the kill: what the kernel has taken from a killed process
	// still arrives, which after some seconds is all that is left of a download.
	graceful, cut := p.downloads(stopped, 3), p.downloads(killed, 3)
	start := time.Now()
	assert.NilError(t, stopped.cmd.Process.Signal(syscall.SIGTERM))
	p.kill(killed)
	for _, name := range []string{busy, drained} {
		p.control(name, "PATCH", "switches", `{"drain":true}`)
	}
	p.setVMs(fmt.Sprintf(`[{"name":%q,"address":"127.0.0.1","leaving":true},{"name":%q,"address":"127.0.0.1"}]`, listed, present))
	time.Sleep(time.Until(start.Add(drainLimit)))
	before := map[string]int{}
	for _, name := range watched {
		before[name] = p.counts(name).Calls
	}
	time.Sleep(3 * time.Second)
	after := map[string]int{}
	for _, name := range watched {
		after[name] = p.counts(name).Calls - before[name]
	}
	t.Logf("calls from 5 s to 8 s after the notice: %d and %d at the draining targets (%d refused by them before), %d at the listed one, %d at one listed but not leaving",
		after[busy], after[drained], p.counts(busy).DrainingCalls+p.counts(drained).DrainingCalls, after[listed], after[present])
	assert.Equal(t, after[busy], 0)
	assert.Equal(t, after[drained], 0)
	assert.Equal(t, after[listed], 0)
	assert.Assert(t, after[present] > 0)
	kept, broken := graceful(), cut()
	assert.NilError(t, stopped.cmd.Wait())
	t.Logf("downloads whole: %d of 3 at the entry that stopped after %s, %d of 3 at the killed one",
		kept, time.Since(start).Round(100*time.Millisecond), broken)
	assert.Equal(t, kept, 3)
	assert.Equal(t, broken, 0)
	for _, r := range longResults() {
		assert.Check(t, r.outcome() == "answered")
	}
	t.Logf("%d calls of 7 s were in flight at the draining target; none was cut", len(long))
	calls.stop()
	load.stop()
	// Negative control: a target that restarts instead of draining cuts what is in flight.
	p.control(present, "PATCH", "switches", `{"work":"1s"}`)
	result := make(chan result, 1)
	go func() {
		result <- p.direct(p.client, present, "POST", "/availability/x", "cut")
	}()
	p.until("the call runs", func() bool { return p.keys([]string{present})["cut"] == 1 })
	p.restart(present, false)
	assert.Assert(t, (<-result).err != nil)
}
