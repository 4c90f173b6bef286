package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in for a worker.
type worker struct {
	bench   *bench
	id      string
	service string
	slots   int
	address string
	born    int64

	// refuse tells whether the worker turns a request away without running it, and with which status. It may be nil.
	refuse func(r *arrival) (status int, retryAfter string)
	// work returns how long a request takes.
	work func(r *arrival) time.Duration
	// answer writes the answer to a request that has run. If it is nil, the answer is short.
	answer func(r *arrival) (keep bool)

	mu      sync.Mutex
	running int
	waiting int
	free    *sync.Cond
	// leaving says that the worker is about to end. It says so in all answers, with which its connections end.
	leaving bool
}

// leave makes the worker say that it is leaving.
func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

func (w *worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// arrival is a request at a worker.
type arrival struct {
	worker *worker
	conn   *workerConn
	id     string
	path   string
	at     time.Time
}

// workerConn is a connection to a worker.
type workerConn struct {
	net.Conn
	// late is an extra answer that is sent where the next answer is expected.
	late []byte
	// gone is closed when the other side has closed the connection.
	gone chan struct{}
}

// startWorker starts a worker in the zone of the entries and registers it.
func (b *bench) startWorker(id, service string, slots int, work time.Duration) *worker {
	return b.startWorkerIn("coast-a", id, service, slots, work, 0)
}

// startColdWorker starts a worker that is cold for some time, in the zone of the entries, and registers it.
func (b *bench) startColdWorker(id, service string, slots int, work, cold time.Duration) *worker {
	return b.startWorkerIn("coast-a", id, service, slots, work, cold)
}

// startWorkerIn starts a worker in a zone and registers it.
func (b *bench) startWorkerIn(zone, id, service string, slots int, work, cold time.Duration) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("%v", err)
	}
	w := &worker{
		bench:   b,
		id:      id,
		service: service,
		slots:   slots,
		address: l.Addr().String(),
		born:    time.Now().UnixMilli(),
		work:    func(*arrival) time.Duration { return work },
	}
	w.free = sync.NewCond(&w.mu)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(&workerConn{
				Conn: nc,
				gone: make(chan struct{}),
			})
		}
	}()
	b.mu.Lock()
	b.workers = append(b.workers, w)
	b.mu.Unlock()
	b.store.put("servers", id, map[string]any{
		"service":           service,
		"address":           w.address,
		"zone":              zone,
		"version":           "v1",
		"slots":             slots,
		"state":             "ready",
		"cold_remaining_ms": cold.Milliseconds(),
		"sequence":          1,
		"born":              w.born,
	})
	return w
}

// serve handles the requests of a connection one after the other.
func (w *worker) serve(c *workerConn) {
	defer c.Close()
	requests := make(chan *http.Request, 16)
	go func() {
		defer close(c.gone)
		defer close(requests)
		br := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			requests <- req
		}
	}()
	for req := range requests {
		if !w.handle(c, req) {
			return
		}
	}
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", w.running, w.waiting, w.slots)
}

// head returns the head of an answer.
func (w *worker) head(status int, id string, length int, more string) string {
	if id != "" {
		more = "Request-Id: " + id + "\r\n" + more
	}
	if w.isLeaving() {
		more = "Server-Leaving: 1\r\nConnection: close\r\n" + more
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nServer-Load: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n%s\r\n",
		status, http.StatusText(status), w.load(), length, more)
}

// handle handles one request. It returns false if the connection is to be closed.
func (w *worker) handle(c *workerConn, req *http.Request) bool {
	if c.late != nil {
		w.bench.note("%s sends its extra answer", w.id)
		late := c.late
		c.late = nil
		if _, err := c.Write(late); err != nil {
			return false
		}
	}
	if req.URL.Path == "/health" {
		status, leaving := http.StatusOK, w.isLeaving()
		if leaving {
			status = http.StatusServiceUnavailable
		}
		_, err := io.WriteString(c, w.head(status, "", 0, "Instance-Id: "+w.id+"\r\n"))
		return err == nil && !leaving
	}
	r := &arrival{
		worker: w,
		conn:   c,
		id:     req.Header.Get("Request-Id"),
		path:   req.URL.Path,
		at:     time.Now(),
	}
	if expected := req.Header.Get("Expected-Instance"); expected != "" && expected != w.id {
		_, err := io.WriteString(c, w.head(http.StatusMisdirectedRequest, r.id, 0, "Instance-Id: "+w.id+"\r\n"))
		return err == nil
	}
	if w.refuse != nil {
		if status, retryAfter := w.refuse(r); status != 0 {
			more := "Not-Executed: 1\r\n"
			if retryAfter != "" {
				more += "Retry-After: " + retryAfter + "\r\n"
			}
			w.bench.note("%s turns request %s away with %d, not run", w.id, r.id, status)
			_, err := io.WriteString(c, w.head(status, r.id, 0, more))
			return err == nil
		}
	}
	if !w.execute(r) {
		return false
	}
	if w.answer != nil {
		return w.answer(r)
	}
	return w.writeAnswer(r, "answer to "+r.id)
}

// execute waits for a slot and runs the request. It returns false if the caller has closed the connection.
func (w *worker) execute(r *arrival) bool {
	w.mu.Lock()
	w.waiting++
	for w.running >= w.slots {
		w.free.Wait()
	}
	w.waiting--
	w.running++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.free.Signal()
		w.mu.Unlock()
	}()
	w.bench.ran(r.id)
	w.bench.note("%s runs request %s (%s)", w.id, r.id, r.path)
	select {
	case <-time.After(w.work(r)):
		return true
	case <-r.conn.gone:
		w.bench.note("%s drops request %s: its connection was closed", w.id, r.id)
		return false
	}
}

// writeAnswer writes a complete answer.
func (w *worker) writeAnswer(r *arrival, body string) bool {
	w.bench.note("%s answers request %s with 200", w.id, r.id)
	_, err := io.WriteString(r.conn, w.head(http.StatusOK, r.id, len(body), "Server-Signature: s."+r.id+"\r\n")+body)
	return err == nil && !w.isLeaving()
}
