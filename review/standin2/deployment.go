package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is a small deployment: entries in processes of their own, and the stand-ins of this program.
type deployment struct {
	started time.Time
	folder  string
	store   *store
	workers []*worker

	mu        sync.Mutex
	log       io.WriteCloser
	processes []*exec.Cmd
	closed    bool
}

func newDeployment() (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	log, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	return &deployment{
		started: time.Now(),
		folder:  folder,
		store:   newStore(),
		log:     log,
	}, nil
}

// record writes a line of the record.
func (d *deployment) record(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		fmt.Fprintf(d.log, "%8.3f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, values...))
	}
}

// close ends all processes that were started.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	for _, p := range d.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	d.log.Close()
	os.RemoveAll(d.folder)
}

// rule is a route of the desired state.
func rule(name, kind, prefix, service string) map[string]any {
	return map[string]any{
		"name":              name,
		"kind":              kind,
		"target_latency_ms": 400,
		"priority":          1,
		"match":             map[string]any{"prefix": prefix},
		"action":            map[string]any{"service": service, "timeout_ms": 3000, "attempts": 2},
	}
}

// host is the host of all routes.
const host = "stays.example"

// configure writes a desired state and returns when the store has acknowledged it.
func (d *deployment) configure(version int, services []string, rules ...map[string]any) {
	var clusters []map[string]any
	for _, name := range services {
		clusters = append(clusters, map[string]any{
			"name":              name,
			"health_check_path": "/health",
			"max_connections":   220,
			"cold_start_s":      3.0,
			"cold_per_s":        3.4,
		})
	}
	d.store.put("op", "config", map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    1 << 20,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
		"listeners": []map[string]any{{"host": host, "rules": rules}},
		"clusters":  clusters,
	})
	var list []string
	for _, r := range rules {
		list = append(list, fmt.Sprintf("%s %s to %s", r["kind"], r["match"].(map[string]any)["prefix"], r["action"].(map[string]any)["service"]))
	}
	d.record("the store acknowledges desired state %d: %s", version, strings.Join(list, "; "))
}

// entry is one process of the program.
type entry struct {
	name, caller, ready string
	cmd                 *exec.Cmd
}

const settings = `
node_name = %q
role = "entry"
machine_class = "frontend"
serves = ["frontend", "control_plane", "directory"]
ip_address = %q
zone = %q
region = "r"
seed_nodes = [%s]
bootstrap = true
heartbeat_interval_ms = 1500
[zones]
a = "r"
b = "r"
c = "r"
[listen_addresses]
frontend = %q
ready = %q
control_plane = %q
directory = %q
[limits]
cpu_share = 0.8
cpu_cores = 1
memory_mb = 674
file_descriptors = 10250
link_mbps = 2500.0
disk_mb = 0
[bounds]
contact_ms = 3000
configuration_apply_ms = 2000
drain_timeout_ms = 2000
grace_period_s = 6
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_slack = 58
evacuation_ms = 5000
ttl_max_s = 5
probes_per_s = 60
[platform]
address = %q
form = "table"
writes_per_s = 400
reads_per_s = 2000
`

// startEntries starts entries and waits until all are ready.
func (d *deployment) startEntries(count int) ([]*entry, error) {
	root, err := filepath.Abs("../..")
	if err != nil {
		return nil, err
	}
	var entries []*entry
	var seeds []string
	for i := range count {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250, 1+i)
		var ports [4]string
		for k := range ports {
			l, err := net.Listen("tcp", ip+":0")
			if err != nil {
				return nil, err
			}
			ports[k] = l.Addr().String()
			l.Close()
		}
		e := &entry{
			name:   fmt.Sprintf("entry-%d", i+1),
			caller: ports[0],
			ready:  ports[1],
		}
		platform, err := d.store.listen(e.name)
		if err != nil {
			return nil, err
		}
		path := filepath.Join(d.folder, e.name+".toml")
		text := fmt.Sprintf(settings, e.name, ip, string(rune('a'+i%3)), strings.Join(seeds, ","),
			ports[0], ports[1], ports[2], ports[3], platform)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return nil, err
		}
		seeds = append(seeds, fmt.Sprintf("%q", ports[2]))
		e.cmd = exec.Command(filepath.Join(root, "target", "skylarkbeam"), "serve", "-metrics", "9100")
		e.cmd.Dir = root
		e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SKYLARKBEAM_BOOT=" + path}
		e.cmd.SysProcAttr = &syscall.SysProcAttr{
			Pdeathsig: syscall.SIGKILL,
		}
		if err := e.cmd.Start(); err != nil {
			return nil, err
		}
		d.mu.Lock()
		d.processes = append(d.processes, e.cmd)
		d.mu.Unlock()
		d.record("%s starts, callers connect to %s", e.name, e.caller)
		entries = append(entries, e)
	}
	for _, e := range entries {
		if err := e.awaitReady(); err != nil {
			return nil, err
		}
	}
	time.Sleep(5 * time.Second) // The entries find each other.
	d.record("all entries are ready")
	return entries, nil
}

func (e *entry) awaitReady() error {
	for range 150 {
		resp, err := http.Get("http://" + e.ready + "/readiness")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", e.name)
}
