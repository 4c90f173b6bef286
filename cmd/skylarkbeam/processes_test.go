package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkbeam/entry"
	"skylarkbeam/setting"
	"skylarkbeam/standin"
)

const startLimit = 60 * time.Second

// dumpTimeout is how long a process has to write the stacks of its goroutines.
const dumpTimeout = 5 * time.Second

// binaries are built once for all tests that start processes.
var binaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "skylarkbeam-test-")
	if err != nil {
		return "", err
	}
	build := exec.Command("go", "build", "-o", dir, "skylarkbeam/cmd/skylarkbeam", "skylarkbeam/cmd/standin-platform", "skylarkbeam/cmd/standin-target")
	out, err := build.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building: %w: %s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := binaries(); err == nil {
		os.RemoveAll(dir)
	}
	os.Exit(code)
}

// deployments bounds how many tests run their processes at once.
var deployments = make(chan struct{}, 3)

// processes is a deployment of examples/beaconwatch as separate processes, on ports that the system chose.
type processes struct {
	t        testing.TB
	dir      string
	platform string
	targets  map[string]string
	settings *setting.Settings
	setup    setup
	client   *http.Client

	mu      sync.Mutex
	entries []*entryProcess
}

type entryProcess struct {
	name    string
	domain  string
	caller  string
	control string
	cmd     *exec.Cmd
	log     *lockedBuffer
	// table and peers are the ways to the platform and from other entries, nil unless the setup has forwarders.
	table, peers *standin.Forwarder
}

// setup is what a test changes about the deployment.
type setup struct {
	// settings describe the deployment; those of examples/beaconwatch if nil.
	settings *setting.Settings
	// extra is a settings file that is merged last.
	extra string
	// targets are flags of the target stand-ins. The last flag of a kind counts.
	targets []string
	// forward puts a forwarder in front of the platform and of the control address of each entry.
	forward bool
	// apart gives each entry a loopback address of its own, so that no other process can take its ports while it restarts.
	apart bool
	// serve are the names of entries that run with -isolation serve.
	serve []string
	// seeds gives each entry the control addresses of those that are there when it starts.
	seeds bool
}

// quickCold shortens the cold start, which is the longest part of starting a deployment.
const quickCold = 300 * time.Millisecond

// startProcesses starts the platform, 30 targets and 6 entries, and applies the settings with extra ones merged last.
func startProcesses(t testing.TB, extra string) *processes {
	t.Helper()
	return startSetup(t, setup{
		extra: extra,
	})
}

func startSetup(t testing.TB, s setup) *processes {
	t.Helper()
	if s.settings == nil {
		folder, err := setting.LoadDir("../../examples/beaconwatch")
		assert.NilError(t, err)
		s.settings = folder.Settings
	}
	deployments <- struct{}{}
	t.Cleanup(func() { <-deployments })
	dir, err := binaries()
	assert.NilError(t, err)
	p := &processes{
		t:       t,
		dir:     dir,
		targets: map[string]string{},
		setup:   s,
		client: &http.Client{
			Timeout: 10 * time.Second,
		},
	}
	lines := p.start("standin-platform", "-listen", "127.0.0.1:0")
	p.platform = strings.TrimPrefix(<-lines, "listening on ")
	p.settings = s.settings
	for name, service := range s.settings.Services {
		args := []string{"-service", name, "-slots", "2", "-cold", "1s", "-work", "4ms"}
		args = append(args, s.targets...)
		for target := range service.Targets {
			args = append(args, target+"=127.0.0.1:0")
		}
		lines := p.start("standin-target", args...)
		for range service.Targets {
			target, address, _ := strings.Cut(<-lines, " ")
			p.targets[target] = address
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.settings.Entries)) {
		p.entries = append(p.entries, p.startEntry(name, s.settings.Entries[name].Domain))
	}
	p.apply(s.settings, s.extra)
	p.waitReady()
	return p
}

// start starts a program and returns its lines of output.
func (p *processes) start(program string, args ...string) <-chan string {
	cmd := exec.Command(filepath.Join(p.dir, program), args...)
	out, err := cmd.StdoutPipe()
	assert.NilError(p.t, err)
	cmd.Stderr = os.Stderr
	assert.NilError(p.t, cmd.Start())
	p.t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	lines := make(chan string, 64)
	go func() {
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			lines <- scanner.Text()
		}
		close(lines)
	}()
	return lines
}

func (p *processes) startEntry(name, domain string) *entryProcess {
	address := "127.0.0.1:0"
	if p.setup.apart {
		address = fmt.Sprintf("127.0.0.%d:0", 11+len(p.entries))
	}
	return p.startEntryAt(name, domain, address, address)
}

// startEntryAt starts an entry at given addresses, such as those of a process that has ended.
func (p *processes) startEntryAt(name, domain, caller, control string) *entryProcess {
	e := &entryProcess{
		name:   name,
		domain: domain,
		log:    &lockedBuffer{},
	}
	args := []string{"serve", "-name", name, "-domain", domain, "-caller", caller, "-control", control}
	if p.setup.forward {
		e.table, e.peers = p.forwarder(netip.MustParseAddrPort(p.platform)), p.forwarder(netip.AddrPort{})
		args = append(args, "-platform", e.table.Address().String(), "-advertise", e.peers.Address().String())
	} else {
		args = append(args, "-platform", p.platform)
	}
	if p.setup.seeds {
		var seeds []string
		for _, other := range p.entries {
			seeds = append(seeds, other.control)
		}
		args = append(args, "-seeds", strings.Join(seeds, ","))
	}
	if slices.Contains(p.setup.serve, name) {
		args = append(args, "-isolation", "serve")
	}
	e.cmd = exec.Command(filepath.Join(p.dir, "skylarkbeam"), args...)
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	assert.NilError(p.t, e.cmd.Start())
	p.t.Cleanup(func() {
		e.cmd.Process.Signal(syscall.SIGCONT)
		if p.t.Failed() {
			// A process that is there writes the stacks of its goroutines. One that has ended before shows how.
			e.cmd.Process.Signal(syscall.SIGQUIT)
			defer time.AfterFunc(dumpTimeout, func() { e.cmd.Process.Kill() }).Stop()
		} else {
			e.cmd.Process.Kill()
		}
		e.cmd.Wait()
		if p.t.Failed() {
			p.t.Logf("log of %s (%v):\n%s", name, e.cmd.ProcessState, e.log)
		}
	})
	p.until("entry "+name+" serves", func() bool {
		for _, line := range strings.Split(e.log.String(), "\n") {
			var row struct{ Msg, Caller, Control string }
			if json.Unmarshal([]byte(line), &row) == nil && row.Msg == "serving" {
				e.caller, e.control = callerField(line), row.Control
				if e.peers != nil {
					e.peers.SetUpstream(netip.MustParseAddrPort(e.control))
				}
				return true
			}
		}
		return false
	})
	return e
}

// forwarder starts a forwarder that ends with the test.
func (p *processes) forwarder(upstream netip.AddrPort) *standin.Forwarder {
	f, err := standin.StartForwarder(upstream)
	assert.NilError(p.t, err)
	p.t.Cleanup(f.Close)
	return f
}

// callerField returns the last field named caller: the log library uses the same name for the line of code.
func callerField(line string) string {
	_, rest, _ := strings.Cut(line, `"msg":"serving"`)
	var row struct{ Caller string }
	json.Unmarshal([]byte("{"+strings.TrimPrefix(rest, ",")), &row)
	return row.Caller
}

func (p *processes) apply(settings *setting.Settings, extra string) {
	dir := p.t.TempDir()
	for name, s := range settings.Services {
		s.Cold.Time = setting.Duration(quickCold)
		settings.Services[name] = s
	}
	data, err := settings.Encode()
	assert.NilError(p.t, err)
	assert.NilError(p.t, os.WriteFile(filepath.Join(dir, "10-base.json"), data, 0o600))
	assert.NilError(p.t, os.WriteFile(filepath.Join(dir, "20-addresses.json"), p.addresses(settings), 0o600))
	assert.NilError(p.t, os.WriteFile(filepath.Join(dir, "30-extra.json"), []byte(extra), 0o600))
	p.until("settings are accepted", func() bool {
		out, err := p.command("apply", dir)
		assert.Assert(p.t, !strings.Contains(out, "fault"), "the settings are invalid: %s", out)
		return err == nil
	})
}

// addresses overrides the addresses of the example by those that the system chose.
func (p *processes) addresses(settings *setting.Settings) []byte {
	type addressed struct {
		Address string `json:"address"`
	}
	type serviceOverride struct {
		Targets map[string]addressed `json:"targets"`
	}
	var override struct {
		Services map[string]serviceOverride `json:"services"`
	}
	override.Services = map[string]serviceOverride{}
	for name, s := range settings.Services {
		targets := map[string]addressed{}
		for target := range s.Targets {
			targets[target] = addressed{
				Address: p.targets[target],
			}
		}
		override.Services[name] = serviceOverride{
			Targets: targets,
		}
	}
	data, err := json.Marshal(override)
	assert.NilError(p.t, err)
	return data
}

// command runs an operator's command against the first entry.
func (p *processes) command(name string, args ...string) (string, error) {
	full := append([]string{name, "-entry", p.entries[0].control}, args...)
	out, err := exec.Command(filepath.Join(p.dir, "skylarkbeam"), full...).CombinedOutput()
	return string(out), err
}

// waitReady waits until every entry knows every target to be warm.
func (p *processes) waitReady() {
	p.until("all targets are warm everywhere", func() bool {
		for _, e := range p.entries {
			s := p.status(e)
			if s == nil || !s.Contact || len(s.TargetStatuses) != len(p.targets) {
				return false
			}
			for _, phase := range s.TargetStatuses {
				if phase.WarmInstance == "" {
					return false
				}
			}
		}
		return true
	})
}

func (p *processes) status(e *entryProcess) *entry.Status {
	resp, err := p.client.Get("http://" + e.control + "/skylarkbeam/status")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var s entry.Status
	if json.NewDecoder(resp.Body).Decode(&s) != nil {
		return nil
	}
	return &s
}

// until polls a condition until the limit for starting and recovering.
func (p *processes) until(what string, ok func() bool) {
	p.t.Helper()
	deadline := time.Now().Add(startLimit)
	for !ok() {
		if time.Now().After(deadline) {
			p.t.Fatalf("not within %s: %s", startLimit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// faults sets the faults of the platform stand-in.
func (p *processes) faults(body string) {
	p.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+p.platform+"/control/faults", strings.NewReader(body))
	assert.NilError(p.t, err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := p.client.Do(req)
	assert.NilError(p.t, err)
	resp.Body.Close()
	assert.Equal(p.t, resp.StatusCode/100, 2)
}

// runs returns how often the targets of all services ran calls with the key.
func (p *processes) runs(key string) int {
	p.t.Helper()
	n := 0
	for _, address := range p.targets {
		resp, err := p.client.Get("http://" + address + "/standin/runs")
		assert.NilError(p.t, err)
		var runs struct{ Keys map[string]int }
		assert.NilError(p.t, json.NewDecoder(resp.Body).Decode(&runs))
		resp.Body.Close()
		n += runs.Keys[key]
	}
	return n
}

// result is what a caller gets.
type result struct {
	status  int
	header  http.Header
	body    string
	err     error
	elapsed time.Duration
}

func (r result) outcome() string { return r.header.Get("Skylarkbeam-Outcome") }

// whole tells whether the answer is the whole answer to the request: the stand-in's bodies depend on all of it.
func (r result) whole(method, path, key, body string) bool {
	return r.err == nil && r.outcome() == "answered" && r.body == string(standin.ExpectedBody(method, path, key, []byte(body)))
}

func (p *processes) call(client *http.Client, address, method, path, caller, key, body string) result {
	req, err := http.NewRequest(method, "http://"+address+path, io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return result{
			err: err,
		}
	}
	req.Header.Set("Skylarkbeam-Caller", caller)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return perform(client, req)
}

// perform sends a request and reads the whole answer.
func perform(client *http.Client, req *http.Request) result {
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return result{
			err:     err,
			header:  http.Header{},
			elapsed: time.Since(start),
		}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return result{
		status:  resp.StatusCode,
		header:  resp.Header,
		body:    string(data),
		err:     err,
		elapsed: time.Since(start),
	}
}

// lockedBuffer collects the log of a process.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
