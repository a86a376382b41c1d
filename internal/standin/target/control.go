package target

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// controlHandler serves the control API:
//
//	GET  /standin/faults    returns the current faults
//	PUT  /standin/faults    replaces the faults
//	POST /standin/faults    changes only the given faults
//	GET  /standin/record    returns the records, one JSON object per line;
//	                        ?method= selects a method
//	GET  /standin/counters  returns the counters
//	POST /standin/reset     clears the records, the counters and the faults
//	POST /standin/drain     drains for at most ?limit_ms= (default 60,000)
func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, r *http.Request) { s.changeFaults(w, r, Faults{}) })
	mux.HandleFunc("POST /standin/faults", func(w http.ResponseWriter, r *http.Request) { s.changeFaults(w, r, s.Faults()) })
	mux.HandleFunc("GET /standin/record", s.serveRecord)
	mux.HandleFunc("GET /standin/counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counters()) })
	mux.HandleFunc("POST /standin/reset", func(w http.ResponseWriter, _ *http.Request) {
		s.Reset()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /standin/drain", s.serveDrain)
	return mux
}

func (s *Server) changeFaults(w http.ResponseWriter, r *http.Request, f Faults) {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, "faults: "+err.Error()+"; send a JSON object with known fields", http.StatusBadRequest)
		return
	}
	if err := s.SetFaults(f); err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveRecord(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	for _, rec := range s.recorder.snapshot(r.URL.Query().Get("method")) {
		if err := enc.Encode(&rec); err != nil {
			return
		}
	}
}

func (s *Server) serveDrain(w http.ResponseWriter, r *http.Request) {
	limit := 60 * time.Second
	if v := r.URL.Query().Get("limit_ms"); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 0 {
			http.Error(w, "limit_ms is not a non-negative integer", http.StatusBadRequest)
			return
		}
		limit = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	writeJSON(w, map[string]int{"unfinished": s.Drain(ctx)})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
