// Package platform is a stand-in for the platform's service: a transactional
// table and an object store in memory, with faults that can be set.
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

// Faults changes how the stand-in answers.
type Faults struct {
	// DelayMS is added to every answer, in ms.
	DelayMS int64 `json:"delay_ms"`
	// Refuse answers 503 to everything.
	Refuse bool `json:"refuse"`
	// RefuseWrites answers 503 to writes only.
	RefuseWrites bool `json:"refuse_writes"`
	// Hang gives no answer until the caller gives up.
	Hang bool `json:"hang"`
	// DropResponses cuts the connection after this many further writes took
	// effect.
	DropResponses int `json:"lose_answers"`
	// HoldWrites cuts the connection of this many further writes at once and
	// keeps them back until ReleaseHeld, as a network does that delivers a
	// write late.
	HoldWrites int `json:"hold_writes"`
	// DropWrites cuts the connection of this many further writes, which
	// never take effect.
	DropWrites int `json:"lose_unwritten"`
}

// Counts is what the stand-in has served.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

type row struct {
	data []byte
	etag string
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	mux *http.ServeMux

	mu      sync.Mutex
	tables  map[string]map[string]row
	objects map[string][]byte
	next    uint64
	faults  Faults
	counts  Counts
	held    []*http.Request
}

// New returns an empty stand-in.
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

// SetFaults changes the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns what has been served.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ServeHTTP applies the faults and serves the request. The fault controls
// under /standin are never affected by faults.
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
	lose := write && spend(&s.faults.DropResponses)
	hold := write && !lose && spend(&s.faults.HoldWrites)
	drop := write && !lose && !hold && spend(&s.faults.DropWrites)
	s.mu.Unlock()
	if f.Hang {
		<-r.Context().Done()
		return
	}
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	if f.Refuse || (write && f.RefuseWrites) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused by a fault of the stand-in", http.StatusServiceUnavailable)
		return
	}
	switch {
	case lose:
		s.mux.ServeHTTP(discard{http.Header{}}, r)
		panic(http.ErrAbortHandler)
	case hold:
		s.hold(r)
		panic(http.ErrAbortHandler)
	case drop:
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// spend counts a fault down and reports whether it applies.
func spend(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// hold keeps a copy of the request that outlives its connection.
func (s *Server) hold(r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	late := r.Clone(context.Background())
	late.Body = io.NopCloser(bytes.NewReader(body))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = append(s.held, late)
}

// ReleaseHeldWrites lets the writes that were kept back arrive and returns their
// number.
func (s *Server) ReleaseHeldWrites() int {
	s.mu.Lock()
	held := s.held
	s.held = nil
	s.mu.Unlock()
	for _, r := range held {
		s.mux.ServeHTTP(discard{http.Header{}}, r)
	}
	return len(held)
}

// discard swallows an answer that is to be lost.
type discard struct{ h http.Header }

func (d discard) Header() http.Header         { return d.h }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

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
	v, ok := s.tables[r.PathValue("table")][r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("ETag", v.etag)
	_, _ = w.Write(v.data)
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
	if !s.holds(op) {
		http.Error(w, "precondition failed", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", s.write(op))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) holds(op client.Operation) bool {
	v, ok := s.tables[op.Table][op.Key]
	if op.Condition.IfNoneMatch && ok {
		return false
	}
	return op.Condition.IfMatch == "" || (ok && v.etag == op.Condition.IfMatch)
}

func (s *Server) write(op client.Operation) string {
	t := s.tables[op.Table]
	if t == nil {
		t = map[string]row{}
		s.tables[op.Table] = t
	}
	s.next++
	etag := fmt.Sprintf("%q", strconv.FormatUint(s.next, 10))
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
	values := []client.Row{}
	s.mu.Lock()
	for k, v := range s.tables[r.PathValue("table")] {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			values = append(values, client.Row{Key: k, Data: v.data, ETag: v.etag})
		}
	}
	s.mu.Unlock()
	sort.Slice(values, func(i, j int) bool { return values[i].Key < values[j].Key })
	_ = json.NewEncoder(w).Encode(values[:min(limit, len(values))])
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
		if !s.holds(op) {
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
