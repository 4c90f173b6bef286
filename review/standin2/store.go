package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store.
type store struct {
	handler http.Handler

	mu      sync.Mutex
	version uint64
	rows    map[string]map[string]storeRow
	changed chan struct{}
	// resetting makes the store reset each connection on which it is called.
	resetting bool
	// watches is the number of watches in flight by entry.
	watches map[string]int
}

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func newStore() *store {
	s := &store{
		version: 1,
		rows:    map[string]map[string]storeRow{},
		changed: make(chan struct{}),
		watches: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	s.handler = mux
	return s
}

// listen returns an address of the store for one entry, which tells the calls of the entries apart.
func (s *store) listen(entry string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.isResetting() {
				reset(w)
				return
			}
			r.Header.Set(headerEntry, entry)
			s.handler.ServeHTTP(w, r)
		}))
	}()
	return l.Addr().String(), nil
}

// headerEntry names the entry that makes a call, within this program.
const headerEntry = "Review-Entry"

func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

func (s *store) isResetting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resetting
}

// setResetting begins or ends an outage.
func (s *store) setResetting(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetting = on
	close(s.changed)
	s.changed = make(chan struct{})
}

// watchers returns the entries with a watch in flight.
func (s *store) watchers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, n := range s.watches {
		if n > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (s *store) countWatch(entry string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches[entry] += n
}

// put writes a row, or removes it if the value is nil.
func (s *store) put(table, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(table, "", key, data)
}

// write writes a row with the present version. The caller holds the lock.
func (s *store) write(table, part, key string, data []byte) {
	if s.rows[table] == nil {
		s.rows[table] = map[string]storeRow{}
	}
	s.rows[table][key] = storeRow{
		Table:   table,
		Part:    part,
		Key:     key,
		Value:   data,
		Version: s.version,
		Deleted: data == nil,
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) respond(w http.ResponseWriter, rows []storeRow, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	if rows == nil {
		rows = []storeRow{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows":        rows,
		"truncated":   false,
		"row_version": version,
		"now_ms":      time.Now().UnixMilli(),
	})
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Writes []storeRow `json:"writes"`
		Remove []storeRow `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, row := range tx.Writes {
		s.write(row.Table, row.Part, row.Key, row.Value)
	}
	for _, row := range tx.Remove {
		s.write(row.Table, row.Part, row.Key, nil)
	}
	s.respond(w, nil, s.version)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []storeRow
	for _, row := range s.rows[q.Get("table")] {
		if !row.Deleted && row.Part == q.Get("part") && row.Key >= q.Get("from") {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	s.respond(w, list, s.version)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	s.countWatch(r.Header.Get(headerEntry), 1)
	defer s.countWatch(r.Header.Get(headerEntry), -1)
	for timedOut := false; ; {
		if s.isResetting() {
			reset(w)
			return
		}
		s.mu.Lock()
		var list []storeRow
		for _, row := range s.rows[q.Get("table")] {
			if row.Version > after {
				list = append(list, row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(list) > 0 || timedOut {
			slices.SortFunc(list, func(a, b storeRow) int { return int(a.Version) - int(b.Version) })
			s.respond(w, list, version)
			return
		}
		select {
		case <-changed:
		case <-limit:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}
