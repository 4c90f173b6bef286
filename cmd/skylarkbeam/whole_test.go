package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/standin"
)

// download reads a document and returns what became of it: "whole", "wrong" if it was handed over as complete and is
// not the wanted one, "broken" if the break was visible, or the refusal.
func download(client *http.Client, address, path, key string, slow bool) string {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Skylarkbeam-Caller", "reeftravel")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "broken"
	}
	defer resp.Body.Close()
	if outcome := resp.Header.Get("Skylarkbeam-Outcome"); outcome != "answered" {
		return outcome + " " + resp.Header.Get("Skylarkbeam-Reason")
	}
	var data []byte
	if slow {
		data, err = readSlowly(resp.Body, 256<<10, 20*time.Millisecond)
	} else {
		data, err = io.ReadAll(resp.Body)
	}
	switch {
	case err != nil:
		return "broken"
	case bytes.Equal(data, standin.ExpectedBody(http.MethodGet, path, key, nil)):
		return "whole"
	default:
		return "wrong"
	}
}

// Guards against an answer that is handed over as complete and is truncated or another call's: documents of 2 MB and
// of 2 KB, with and without a known length, some read slowly, while targets cut, cross, delay and withhold answers. The
// negative control is a plain client, which takes a crossed answer for its own.
func TestWholeAnswers(t *testing.T) {
	t.Parallel()
	p := startProcesses(t, `{"classes":{"agent":{"deadline":"2s"}}}`)
	t.Logf("seed %d", seed)
	documents := p.targetsOf("documents")
	for _, name := range documents {
		p.control(name, "PATCH", "switches", `{"delay":"300ms"}`)
	}
	faults := []standin.Fault{standin.FaultTruncatedBody, standin.FaultTruncatedChunkedBody, standin.FaultSwappedResponses, standin.FaultDelayedResponse, standin.FaultNoResponse}
	injected := newTally()
	injector := startLoad(p.t, 1, func(_, i int, random *rand.Rand) {
		fault := faults[i%len(faults)]
		injected.add(string(fault))
		target := documents[random.IntN(len(documents))]
		next := string(fault)
		if fault == standin.FaultSwappedResponses {
			next = "cross,cross"
		}
		p.control(target, "POST", "next?fault="+next, "")
		time.Sleep(70 * time.Millisecond)
	})
	results := newTally()
	client := newClient(5 * time.Second)
	calls := startLoad(p.t, 12, func(w, i int, random *rand.Rand) {
		size := 2 << 10
		if random.IntN(2) == 0 {
			size = 2 << 20
		}
		path := fmt.Sprintf("/documents/%d-%d?size=%d", w, i, size)
		if random.IntN(3) == 0 {
			path += "&chunked=1"
		}
		e := p.entries[random.IntN(len(p.entries))]
		results.add(fmt.Sprintf("%d KB %s", size>>10, download(client, e.caller, path, "", w < 4)))
		time.Sleep(10 * time.Millisecond)
	})
	time.Sleep(6 * time.Second)
	calls.stop()
	injector.stop()
	t.Logf("faults: %v; downloads: %v", injected, results)
	for _, size := range []string{"2 KB ", "2048 KB "} {
		assert.Equal(t, results.get(size+"wrong"), 0)
		assert.Assert(t, results.get(size+"whole") > 0)
	}
	assert.Assert(t, results.get("2048 KB broken") > 0, "no fault hit a streamed answer")
	// Negative control.
	target := p.targetsOf("availability")[0]
	wrong := 0
	var mu sync.Mutex
	for range 10 {
		p.control(target, "POST", "next?fault=cross,cross", "")
		var pair sync.WaitGroup
		for i := range 2 {
			pair.Go(func() {
				path := fmt.Sprintf("/availability/plain-%d?size=2048", i)
				r := p.direct(client, target, "GET", path, "")
				mu.Lock()
				defer mu.Unlock()
				if r.err == nil && r.body != string(standin.ExpectedBody("GET", path, "", nil)) {
					wrong++
				}
			})
		}
		pair.Wait()
	}
	t.Logf("negative control: a plain client took %d of 20 answers for its own that were not", wrong)
	assert.Assert(t, wrong > 0)
}
