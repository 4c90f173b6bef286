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

// storeAnswerTime is how long the store takes for an answer.
const storeAnswerTime = 4 * time.Millisecond

// storeRow is a row of the store. Deleted rows are kept for the feed.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]map[string]storeRow
	changed chan struct{}
}

func startStore() (*store, error) {
	s := &store{
		started: time.Now(),
		rows:    map[string]map[string]storeRow{},
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go http.Serve(l, mux)
	return s, nil
}

// put writes a row, or deletes it if the value is nil.
func (s *store) put(table, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value) // the values are maps of plain values
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(table, key, data)
}

// write writes a row with the current version. The caller holds the lock.
func (s *store) write(table, key string, data []byte) {
	if s.rows[table] == nil {
		s.rows[table] = map[string]storeRow{}
	}
	s.rows[table][key] = storeRow{
		Table:   table,
		Key:     key,
		Value:   data,
		Version: s.version,
		Deleted: data == nil,
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// removeWorkers removes the rows of workers in one transaction.
func (s *store) removeWorkers(workers []*worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, w := range workers {
		s.write("servers", w.id, nil)
	}
}

// changes returns the rows of a table after a version in the order of their versions. The caller holds the lock.
func (s *store) changes(table string, after uint64) []storeRow {
	rows := []storeRow{}
	for _, r := range s.rows[table] {
		if r.Version > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return int(a.Version) - int(b.Version) })
	return rows
}

func (s *store) respond(w http.ResponseWriter, status int, rows []storeRow, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	// An error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows":        rows,
		"truncated":   false,
		"row_version": version,
		"now_ms":      time.Since(s.started).Milliseconds(),
	})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	rows := slices.DeleteFunc(s.changes(r.URL.Query().Get("table"), 0), func(r storeRow) bool { return r.Deleted })
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	version := s.version
	s.mu.Unlock()
	s.respond(w, http.StatusOK, rows, version)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		rows, version, changed := s.changes(q.Get("table"), after), s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || over {
			s.respond(w, http.StatusOK, rows, version)
			return
		}
		select {
		case <-changed:
		case <-limit:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	var tx struct {
		Expect []storeRow `json:"expect"`
		Writes []storeRow `json:"writes"`
		Remove []storeRow `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, e := range tx.Expect {
		have := s.rows[e.Table][e.Key]
		if have.Deleted {
			have.Version = 0
		}
		if have.Version != e.Version {
			version := s.version
			s.mu.Unlock()
			s.respond(w, http.StatusPreconditionFailed, nil, version)
			return
		}
	}
	s.version++
	for _, row := range tx.Writes {
		s.write(row.Table, row.Key, row.Value)
	}
	for _, row := range tx.Remove {
		s.write(row.Table, row.Key, nil)
	}
	version := s.version
	s.mu.Unlock()
	s.respond(w, http.StatusOK, nil, version)
}
