package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in for a worker.
type worker struct {
	d        *deployment
	id       string
	service  string
	slots    int
	listener net.Listener

	mu      sync.Mutex
	running int
	// work is how long a request takes.
	work time.Duration
	// loseEach is the number of requests of which the worker runs one without giving its answer; 0 for none.
	loseEach int
	runs     []ranRequest
}

// ranRequest is a request that has run.
type ranRequest struct {
	worker, service, id, method, uri, body string
	at                                     time.Time
}

func (d *deployment) startWorker(id, service, zone string) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		d:        d,
		id:       id,
		service:  service,
		slots:    2,
		listener: l,
		work:     20 * time.Millisecond,
	}
	go func() { _ = http.Serve(l, w) }()
	d.workers = append(d.workers, w)
	d.store.put("servers", id, map[string]any{
		"service":           service,
		"address":           l.Addr().String(),
		"zone":              zone,
		"version":           "v1",
		"slots":             w.slots,
		"state":             "ready",
		"cold_remaining_ms": 0,
		"sequence":          1,
		"born":              time.Now().UnixMilli(),
	})
	return w, nil
}

// set changes the worker.
func (w *worker) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// ran returns the requests that have run.
func (w *worker) ran() []ranRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]ranRequest(nil), w.runs...)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(resp http.ResponseWriter, req *http.Request) {
	header := resp.Header()
	if req.URL.Path == "/health" {
		w.mu.Lock()
		defer w.mu.Unlock()
		header.Set("Instance-Id", w.id)
		header.Set("Server-Load", w.load())
		return
	}
	id := req.Header.Get("Request-Id")
	header.Set("Request-Id", id)
	header.Set("Keep-Alive", "timeout=10")
	if expected := req.Header.Get("Expected-Instance"); expected != "" && expected != w.id {
		header.Set("Instance-Id", w.id)
		resp.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	header.Set("Server-Load", w.load())
	if w.running >= w.slots {
		w.mu.Unlock()
		w.d.record("worker %s turns request %q away", w.id, id)
		header.Set("Not-Executed", "1")
		resp.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.running++
	w.runs = append(w.runs, ranRequest{
		worker:  w.id,
		service: w.service,
		id:      id,
		method:  req.Method,
		uri:     req.RequestURI,
		body:    string(body),
		at:      time.Now(),
	})
	work, lose := w.work, w.loseEach > 0 && len(w.runs)%w.loseEach == w.loseEach/2
	w.mu.Unlock()
	w.d.record("worker %s (%s) runs %s %s of request %q, body of %d bytes", w.id, w.service, req.Method, req.RequestURI, id, len(body))
	time.Sleep(work)
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	if lose {
		w.d.record("worker %s closes the connection without the answer to request %q", w.id, id)
		panic(http.ErrAbortHandler)
	}
	text := fmt.Sprintf("%s ran %s for %s %s", w.service, id, req.Method, req.RequestURI)
	header.Set("Server-Signature", "signature-of-"+w.id)
	header.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(resp, text)
}

// load returns the value of the header Server-Load. The caller holds the lock.
func (w *worker) load() string { return fmt.Sprintf("%d,0,%d,100", w.running, w.slots) }
