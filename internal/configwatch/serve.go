package configwatch

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"parsleyturn/internal/routetable"
)

// relayWait is the time for which a node holds a request for a version that it
// does not have yet.
const relayWait = 400 * time.Millisecond

// Path is the HTTP path at which a node serves its configuration to peers. A
// request names the version that the peer has, and the time in milliseconds for
// which the response may be delayed until there is a later one. A follower wants
// to know besides whether the node is in contact with the store: then the response
// has the position up to which the configuration is current.
const (
	Path           = "/mesh/config"
	afterParam     = "after"
	waitMSParam    = "wait_ms"
	followParam    = "follow"
	positionHeader = "Config-Position"
	gzipEncoding   = "gzip"
)

// activeTable is a table with its compressed source for peers.
type activeTable struct {
	*routetable.Table
	compress   sync.Once
	compressed []byte
}

// gzipSource returns the compressed source. It is compressed once for all peers.
func (a *activeTable) gzipSource() []byte {
	a.compress.Do(func() {
		var buf bytes.Buffer
		w, _ := gzip.NewWriterLevel(&buf, gzip.BestSpeed) // fails only for an invalid level
		_, _ = w.Write(a.Source)                          // writing to a bytes.Buffer cannot fail
		_ = w.Close()
		a.compressed = buf.Bytes()
	})
	return a.compressed
}

// ServeHTTP serves the source of the active configuration to peers. The status is
// 404 if there is none, and 304 if the peer has it.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := queryUint(query, afterParam)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMS, err := queryUint(query, waitMSParam)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if query.Get(followParam) != "" {
		// The server's time limit for reading a request would end the long poll.
		if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		s.serveFollower(w, r, after, time.Duration(min(waitMS, uint64(followWait.Milliseconds())))*time.Millisecond)
		return
	}
	s.waitVersion(r.Context(), after+1, time.Duration(min(waitMS, uint64(relayWait.Milliseconds())))*time.Millisecond)
	s.respond(w, r, s.current.Load(), after)
}

// respond sends a configuration to a peer that has the version after.
func (s *Service) respond(w http.ResponseWriter, r *http.Request, active *activeTable, after uint64) {
	switch {
	case active == nil:
		http.Error(w, "this node has no active configuration", http.StatusNotFound)
		return
	case after > 0 && active.Version <= after:
		w.WriteHeader(http.StatusNotModified)
		return
	}
	body := active.Source
	if strings.Contains(r.Header.Get("Accept-Encoding"), gzipEncoding) {
		w.Header().Set("Content-Encoding", gzipEncoding)
		body = active.gzipSource()
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a peer that did not receive all of it fetches it again
}

// queryUint returns a parameter, or 0 if it is missing.
func queryUint(query url.Values, name string) (uint64, error) {
	text := query.Get(name)
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, fmt.Errorf("parameter %s: %q is not a number", name, text)
	}
	return v, nil
}
