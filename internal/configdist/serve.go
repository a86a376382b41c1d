package configdist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	kithttp "github.com/go-kit/kit/transport/http"

	"parsleyturn/internal/configstore"
	"parsleyturn/internal/policy"
)

// Paths of the handlers.
const (
	PathRecord = "/v1/config/record"
	PathFiles  = "/v1/config/files/{hash}"
	PathPush   = "/v1/config"
)

// maxPushBytes bounds a push. 16 MiB hold 330 files of 30 KiB in base64.
const maxPushBytes = 16 << 20

// PushRequest gives an accepted version to a node.
type PushRequest struct {
	Record configstore.Record `json:"record"`
	// Files maps hashes to content. Files that the node has may be left out.
	Files map[string][]byte `json:"files"`
}

// PushResponse is the answer to a push.
type PushResponse struct {
	// Version is the version in force after the push.
	Version uint64 `json:"version"`
	Adopted bool   `json:"adopted"`
	// Missing lists hashes that the node lacks, with status 422. The push has
	// to be repeated with their content.
	Missing []string `json:"missing,omitempty"`
	Message string   `json:"message,omitempty"`
}

// Mount adds the handlers to the administration API.
func (s *Service) Mount(mux *http.ServeMux) {
	mux.Handle("GET "+PathRecord, s.RecordHandler())
	mux.Handle("GET "+PathFiles, s.FileHandler())
	mux.Handle("POST "+PathPush, s.PushHandler())
}

// RecordHandler serves the record in force, or 404 before the first one.
func (s *Service) RecordHandler() http.Handler {
	endpoint := func(context.Context, any) (any, error) {
		if c := s.ActiveConfig(); c != nil {
			return c.Record, nil
		}
		return nil, errors.New("no configuration is in force yet; ask another node")
	}
	fail := func(_ context.Context, err error, w http.ResponseWriter) {
		http.Error(w, err.Error(), http.StatusNotFound)
	}
	return kithttp.NewServer(endpoint, kithttp.NopRequestDecoder, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(fail))
}

// FileHandler serves content by the path value "hash", also that of a version
// still being fetched.
func (s *Service) FileHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, ok := s.local(r.PathValue("hash"))
		if !ok {
			http.Error(w, "this node does not have the content; ask another node or the platform", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(content)
	})
}

// PushHandler adopts a pushed version. Status 200 means that the node has the
// version or a higher one in force, 422 that files are missing, and 400 that
// the push is refused.
func (s *Service) PushHandler() http.Handler {
	endpoint := func(_ context.Context, request any) (any, error) {
		return s.push(request.(PushRequest)), nil
	}
	decode := func(_ context.Context, r *http.Request) (any, error) {
		var p PushRequest
		if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxPushBytes)).Decode(&p); err != nil {
			return nil, fmt.Errorf("decode push: %w; send record and files as JSON of at most %d bytes", err, maxPushBytes)
		}
		return p, nil
	}
	fail := func(ctx context.Context, err error, w http.ResponseWriter) {
		_ = kithttp.EncodeJSONResponse(ctx, w, pushAnswer{PushResponse{Version: s.Version(), Message: err.Error()}, http.StatusBadRequest})
	}
	return kithttp.NewServer(endpoint, decode, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(fail))
}

// pushAnswer adds the status, which go-kit writes.
type pushAnswer struct {
	PushResponse
	status int
}

// StatusCode implements the StatusCoder of go-kit.
func (a pushAnswer) StatusCode() int { return a.status }

func (s *Service) push(p PushRequest) pushAnswer {
	if p.Record.Version <= s.Version() {
		return pushAnswer{PushResponse{Version: s.Version()}, http.StatusOK}
	}
	files := make([]policy.File, 0, len(p.Record.Manifest.Files))
	var missing []string
	for name, hash := range p.Record.Manifest.Files {
		content, ok := p.Files[hash]
		if !ok {
			content, ok = s.local(hash)
		}
		if !ok {
			missing = append(missing, hash)
		}
		files = append(files, policy.File{Name: name, Content: content})
	}
	if len(missing) > 0 {
		return pushAnswer{PushResponse{Version: s.Version(), Missing: missing, Message: "repeat the push with the missing files"}, http.StatusUnprocessableEntity}
	}
	ok, err := s.Adopt(p.Record, files)
	if err != nil {
		return pushAnswer{PushResponse{Version: s.Version(), Message: err.Error()}, http.StatusBadRequest}
	}
	return pushAnswer{PushResponse{Version: s.Version(), Adopted: ok}, http.StatusOK}
}
