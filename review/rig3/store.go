package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"sync"
	"time"
)

type rowID struct{ table, part, key string }

type row struct {
	value   string
	ver     uint64
	dropped bool
}

// store is a stand-in of the platform's metadata store: rows-get, rows-feed and rows-tx.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	ver     uint64
	changed chan struct{}
	begin   time.Time
}

func newStore() *store {
	return &store{rows: map[rowID]row{}, changed: make(chan struct{}), begin: time.Now()}
}

// notify wakes the feeds. s.mu must be held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[rowID{table, "", key}] = row{value: base64.StdEncoding.EncodeToString(value), ver: s.ver}
	s.notify()
}

func (s *store) now() string {
	return strconv.FormatInt(time.Since(s.begin).Milliseconds(), 10) + "ms"
}

func encode(id rowID, r row) map[string]any {
	m := map[string]any{"table": id.table, "part": id.part, "key": id.key, "value": r.value, "ver": r.ver}
	if r.dropped {
		m["tombstone"] = true
	}
	return m
}

func reply(w http.ResponseWriter, status int, m map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(m) // fails only if the caller has left
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /-/rows-get":
		s.get(w, r)
	case "GET /-/rows-feed":
		s.feed(w, r)
	case "POST /-/rows-tx":
		s.transact(w, r)
	default:
		http.NotFound(w, r)
	}
}

// entrance is the way of one machine to the store.
type entrance struct {
	store *store

	mu      sync.Mutex
	silent  bool
	waiting int // long polls for changes of the configuration
}

// setSilent begins or ends a time in which the machine gets no response.
func (e *entrance) setSilent(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = silent
}

func (e *entrance) isSilent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silent
}

// isReader reports whether the machine waits for changes of the configuration.
func (e *entrance) isReader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.waiting > 0
}

func (e *entrance) countWaiting(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting += n
}

// ServeHTTP passes a call on to the store. A call that arrives in a silent time is not
// performed. A response that is due in it is lost, and its connection delivers nothing
// further.
func (e *entrance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/rows-feed" && r.URL.Query().Get("table") == "op" {
		e.countWaiting(1)
		defer e.countWaiting(-1)
	}
	response := httptest.NewRecorder()
	if !e.isSilent() {
		e.store.ServeHTTP(response, r)
	}
	if e.isSilent() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(response.Code)
	_, _ = w.Write(response.Body.Bytes()) // fails only if the caller has left
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []map[string]any{}
	for id, v := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && !v.dropped && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			out = append(out, encode(id, v))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i]["key"].(string) < out[j]["key"].(string) })
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n < limit {
		limit = n
	}
	more := len(out) > limit
	if more {
		out = out[:limit]
	}
	reply(w, http.StatusOK, map[string]any{"rows": out, "hasMore": more, "ver": s.ver, "now": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		changed, ver := s.changed, s.ver
		out := []map[string]any{}
		for id, v := range s.rows {
			if id.table == q.Get("table") && v.ver > after {
				out = append(out, encode(id, v))
			}
		}
		s.mu.Unlock()
		sort.Slice(out, func(i, j int) bool { return out[i]["ver"].(uint64) < out[j]["ver"].(uint64) })
		if len(out) > 0 || last {
			reply(w, http.StatusOK, map[string]any{"rows": out, "ver": ver, "now": s.now()})
			return
		}
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var m struct {
		ExpectedRevision []struct {
			Table, Part, Key string
			Ver              uint64
		}
		Puts   []struct{ Table, Part, Key, Value string }
		Remove []struct{ Table, Part, Key string }
	}
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond) // platform.txn
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []map[string]any{}, false
	for _, e := range m.ExpectedRevision {
		id := rowID{e.Table, e.Part, e.Key}
		ver := uint64(0)
		if v, ok := s.rows[id]; ok && !v.dropped {
			ver = v.ver
			current = append(current, encode(id, v))
		}
		conflict = conflict || ver != e.Ver
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "now": s.now()})
		return
	}
	for _, p := range m.Puts {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.ver++
	for _, p := range m.Puts {
		s.rows[rowID{p.Table, p.Part, p.Key}] = row{value: p.Value, ver: s.ver}
	}
	for _, p := range m.Remove {
		s.rows[rowID{p.Table, p.Part, p.Key}] = row{ver: s.ver, dropped: true}
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now": s.now()})
}
