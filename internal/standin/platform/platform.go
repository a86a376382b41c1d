// Package platform implements a stand-in for the platform's service:
// transactional tables and an object store in memory, with faults that can be
// changed at run time.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	client "parsleyturn/internal/platformclient"
)

// Faults are the faults of the stand-in. The zero value means no faults.
type Faults struct {
	// DelayMS is a delay before the processing of every request, in ms.
	DelayMS int64 `json:"delay_ms"`
	// Refuse returns 503 for all requests.
	Refuse bool `json:"refuse"`
	// RefuseWrites returns 503 for writes only.
	RefuseWrites bool `json:"refuse_writes"`
	// Hang blocks all requests until the caller cancels them.
	Hang bool `json:"hang"`
	// DropResponses is the number of further writes that are processed but
	// whose connection is closed without a response.
	DropResponses int `json:"lose_answers"`
	// HoldWrites is the number of further writes whose connection is closed
	// without a response and which are processed only by ReleaseHeldWrites, as
	// if the network had delivered them late.
	HoldWrites int `json:"hold_writes"`
	// DropWrites is the number of further writes whose connection is closed
	// without a response and which are never processed.
	DropWrites int `json:"lose_unwritten"`
}

// Counts are the numbers of requests received, including those that a fault
// refused or dropped, and without those to the control API.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

type row struct {
	data []byte
	etag string
}

// Server is the http.Handler of the stand-in.
type Server struct {
	mux *http.ServeMux

	mu       sync.Mutex
	tables   map[string]map[string]row
	objects  map[string][]byte
	lastETag uint64
	faults   Faults
	counts   Counts
	held     []*http.Request
}

// New returns a stand-in without tables and objects.
func New() *Server {
	s := &Server{mux: http.NewServeMux(), tables: map[string]map[string]row{}, objects: map[string][]byte{}}
	s.mux.HandleFunc("GET /tables/{table}/{key}", s.get)
	s.mux.HandleFunc("PUT /tables/{table}/{key}", s.put)
	s.mux.HandleFunc("DELETE /tables/{table}/{key}", s.remove)
	s.mux.HandleFunc("GET /tables/{table}", s.list)
	s.mux.HandleFunc("POST /transactions", s.transact)
	s.mux.HandleFunc("PUT /objects/{name}", s.putObject)
	s.mux.HandleFunc("GET /objects/{name}", s.getObject)
	return s
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the numbers of requests received so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ServeHTTP applies the faults and serves the request. Faults do not affect the
// control API under /standin.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/standin/") {
		s.control(w, r)
		return
	}
	write := r.Method != http.MethodGet
	s.mu.Lock()
	f := s.faults
	if write {
		s.counts.Writes++
	} else {
		s.counts.Reads++
	}
	dropResponse := write && consumeFault(&s.faults.DropResponses)
	holdWrite := write && !dropResponse && consumeFault(&s.faults.HoldWrites)
	dropWrite := write && !dropResponse && !holdWrite && consumeFault(&s.faults.DropWrites)
	s.mu.Unlock()
	if f.Hang {
		<-r.Context().Done()
		return
	}
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	if f.Refuse || (write && f.RefuseWrites) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused by an injected fault", http.StatusServiceUnavailable)
		return
	}
	switch {
	case dropResponse:
		s.mux.ServeHTTP(discardWriter{http.Header{}}, r)
		panic(http.ErrAbortHandler)
	case holdWrite:
		s.holdWrite(r)
		panic(http.ErrAbortHandler)
	case dropWrite:
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// consumeFault decrements the remaining count of a fault and reports whether
// the fault applies to the current request.
func consumeFault(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// holdWrite stores a copy of the request that stays valid after its connection
// is closed.
func (s *Server) holdWrite(r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	held := r.Clone(context.Background())
	held.Body = io.NopCloser(bytes.NewReader(body))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = append(s.held, held)
}

// ReleaseHeldWrites processes the held writes in order of arrival and returns
// their number.
func (s *Server) ReleaseHeldWrites() int {
	s.mu.Lock()
	held := s.held
	s.held = nil
	s.mu.Unlock()
	for _, r := range held {
		s.mux.ServeHTTP(discardWriter{http.Header{}}, r)
	}
	return len(held)
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ h http.Header }

func (d discardWriter) Header() http.Header         { return d.h }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/standin/faults" && r.Method == http.MethodPut:
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	case r.URL.Path == "/standin/release" && r.Method == http.MethodPost:
		_ = json.NewEncoder(w).Encode(s.ReleaseHeldWrites())
	case r.URL.Path == "/standin/counts":
		_ = json.NewEncoder(w).Encode(s.Counts())
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	stored, ok := s.tables[r.PathValue("table")][r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("ETag", stored.etag)
	_, _ = w.Write(stored.data)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	op := client.Operation{Table: r.PathValue("table"), Key: r.PathValue("key"), Value: data}
	op.Condition.IfMatch = r.Header.Get("If-Match")
	op.Condition.IfNoneMatch = r.Header.Get("If-None-Match") == "*"
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.preconditionHolds(op) {
		http.Error(w, "precondition failed", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", s.write(op))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) preconditionHolds(op client.Operation) bool {
	stored, ok := s.tables[op.Table][op.Key]
	if op.Condition.IfNoneMatch && ok {
		return false
	}
	return op.Condition.IfMatch == "" || (ok && stored.etag == op.Condition.IfMatch)
}

func (s *Server) write(op client.Operation) string {
	t := s.tables[op.Table]
	if t == nil {
		t = map[string]row{}
		s.tables[op.Table] = t
	}
	s.lastETag++
	etag := fmt.Sprintf("%q", strconv.FormatUint(s.lastETag, 10))
	t[op.Key] = row{op.Value, etag}
	return etag
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tables[r.PathValue("table")], r.PathValue("key"))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 1000 {
		limit = 1000
	}
	rows := []client.Row{}
	s.mu.Lock()
	for k, v := range s.tables[r.PathValue("table")] {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			rows = append(rows, client.Row{Key: k, Data: v.data, ETag: v.etag})
		}
	}
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	_ = json.NewEncoder(w).Encode(rows[:min(limit, len(rows))])
}

func (s *Server) transact(w http.ResponseWriter, r *http.Request) {
	var t client.Transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, op := range t.Operations {
		if !s.preconditionHolds(op) {
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(client.ConflictError{Index: i, Table: op.Table, Key: op.Key})
			return
		}
	}
	for _, op := range t.Operations {
		s.write(op)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.objects[r.PathValue("name")] = data
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	data, ok := s.objects[r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}
