package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/standin"
)

// seed starts all random sequences of the tests with processes.
const seed = 20261204

func (p *processes) kill(e *entryProcess) {
	assert.NilError(p.t, e.cmd.Process.Kill())
	e.cmd.Wait()
}

func (p *processes) pause(e *entryProcess) { p.signal(e, syscall.SIGSTOP) }
func (p *processes) wake(e *entryProcess)  { p.signal(e, syscall.SIGCONT) }

func (p *processes) signal(e *entryProcess, s syscall.Signal) {
	assert.NilError(p.t, e.cmd.Process.Signal(s))
}

// entry returns the entry with the number that its name in the example has.
func (p *processes) entry(n int) *entryProcess {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries[n-1]
}

// replace starts a process under the name of an entry, which gets the load of that name from now on.
func (p *processes) replace(n int) {
	old := p.entry(n)
	e := p.startEntry(old.name, old.domain)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries[n-1] = e
}

// isolate cuts an entry from the platform and, in both directions, from its peers.
func (p *processes) isolate(e *entryProcess) {
	e.table.Partition()
	e.peers.Partition()
	for _, other := range p.entries {
		if other != e {
			other.peers.Partition(e.name)
		}
	}
}

// isolateOneWay cuts an entry from the platform and its peers, but only its requests and the answers that it gives, or
// only the answers that it gets and the requests to it.
func (p *processes) isolateOneWay(e *entryProcess, w standin.Direction) {
	e.table.PartitionOneWay(w)
	e.peers.PartitionOneWay(standin.Requests + standin.Responses - w)
	for _, other := range p.entries {
		if other != e {
			other.peers.PartitionOneWay(w, e.name)
		}
	}
}

func (p *processes) heal() {
	for _, e := range p.entries {
		e.table.Heal()
		e.peers.Heal()
	}
}

// targetsIn returns the names of the targets that the selection contains, sorted.
func (p *processes) targetsIn(selected func(service, domain string) bool) []string {
	var names []string
	for service, s := range p.settings.Services {
		for name, t := range s.Targets {
			if selected(service, t.Domain) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

func (p *processes) targetsOf(service string) []string {
	return p.targetsIn(func(s, _ string) bool { return s == service })
}

// keys returns the runs by key at the targets.
func (p *processes) keys(targets []string) map[string]int {
	sum := map[string]int{}
	for _, name := range targets {
		var runs standin.RunCounts
		p.read(name, "runs", &runs)
		for key, n := range runs.ByKey {
			sum[key] += n
		}
	}
	return sum
}

func (p *processes) counts(target string) standin.Counts {
	var state struct{ Counts standin.Counts }
	p.read(target, "", &state)
	return state.Counts
}

// read does not stop the test by itself, because it is used in goroutines.
func (p *processes) read(target, path string, into any) {
	resp, err := p.client.Get("http://" + p.targets[target] + "/standin/" + path)
	if assert.Check(p.t, err) {
		defer resp.Body.Close()
		assert.Check(p.t, json.NewDecoder(resp.Body).Decode(into))
	}
}

// control changes a stand-in: "PATCH switches" with a body, "POST next?fault=drop", "POST restart".
func (p *processes) control(target, method, path, body string) {
	req, err := http.NewRequest(method, "http://"+p.targets[target]+"/standin/"+path, strings.NewReader(body))
	if !assert.Check(p.t, err) {
		return
	}
	resp, err := p.client.Do(req)
	if assert.Check(p.t, err) {
		resp.Body.Close()
		assert.Check(p.t, resp.StatusCode == http.StatusOK, "%s %s: %s", method, path, resp.Status)
	}
}

// restart makes a target a new instance. Unless keep is set that closes all connections, the one of this request too.
func (p *processes) restart(target string, keep bool) {
	url := "http://" + p.targets[target] + "/standin/restart"
	if keep {
		url += "?keep=1"
	}
	resp, err := p.client.Post(url, "", nil)
	if err == nil {
		resp.Body.Close()
	}
	assert.Check(p.t, err == nil || !keep, "restart %s: %v", target, err)
}

// load runs workers until it is stopped.
type load struct {
	once    sync.Once
	done    chan struct{}
	workers sync.WaitGroup
}

// startLoad calls work again and again in each worker, with a random sequence of the worker's own, until the end of the test
// at the latest: a worker that reports a failure after that ends the whole test program.
func startLoad(t testing.TB, workers int, work func(worker, i int, random *rand.Rand)) *load {
	l := &load{
		done: make(chan struct{}),
	}
	for w := range workers {
		l.workers.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(w)))
			for i := 0; ; i++ {
				select {
				case <-l.done:
					return
				default:
					work(w, i, random)
				}
			}
		})
	}
	t.Cleanup(l.stop)
	return l
}

func (l *load) stop() {
	l.once.Do(func() { close(l.done) })
	l.workers.Wait()
}

// newClient returns a client with connections of its own that does not wait for long at a paused entry.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 64,
		},
	}
}

// direct sends a call to a target without an entry, as a plain HTTP client does.
func (p *processes) direct(client *http.Client, target, method, path, key string) result {
	req, err := http.NewRequest(method, "http://"+p.targets[target]+path, nil)
	if err != nil {
		return result{
			err: err,
		}
	}
	if key != "" {
		req.Header.Set("Skylarkbeam-Key", key)
	}
	return perform(client, req)
}

// tally counts by name; it is safe for concurrent use.
type tally struct {
	mu sync.Mutex
	n  map[string]int
}

func newTally() *tally {
	return &tally{
		n: map[string]int{},
	}
}

func (c *tally) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[name]++
}

func (c *tally) get(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[name]
}

func (c *tally) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.n)
}

// kind sums up a result in a word or two.
func (r result) kind() string {
	switch {
	case r.err != nil:
		return "broken"
	case r.outcome() == "answered":
		return "answered"
	default:
		return r.outcome() + " " + r.header.Get("Skylarkbeam-Reason")
	}
}

// readSlowly reads a body at a limited speed.
func readSlowly(body io.Reader, chunk int, pause time.Duration) ([]byte, error) {
	var all bytes.Buffer
	for {
		_, err := io.CopyN(&all, body, int64(chunk))
		if err == io.EOF {
			return all.Bytes(), nil
		}
		if err != nil {
			return all.Bytes(), err
		}
		time.Sleep(pause)
	}
}
