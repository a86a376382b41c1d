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

// URL paths of the handlers.
const (
	PathRecord = "/v1/config/record"
	PathFiles  = "/v1/config/files/{hash}"
	PathPush   = "/v1/config"
)

// maxPushBytes bounds the body of a push. 330 files of 30 KiB in base64 fit in
// 16 MiB.
const maxPushBytes = 16 << 20

// PushRequest sends an accepted version to a node.
type PushRequest struct {
	Record configstore.Record `json:"record"`
	// Files maps hashes to content. Files that the node already has may be
	// omitted.
	Files map[string][]byte `json:"files"`
}

// PushResponse is the response to a push.
type PushResponse struct {
	// Version is the active version after the push.
	Version uint64 `json:"version"`
	Adopted bool   `json:"adopted"`
	// Missing lists the hashes of files that the node does not have, with
	// status 422. The push has to be retried with their content.
	Missing []string `json:"missing,omitempty"`
	Message string   `json:"message,omitempty"`
}

// Mount registers the handlers of the administration API.
func (s *Service) Mount(mux *http.ServeMux) {
	mux.Handle("GET "+PathRecord, s.RecordHandler())
	mux.Handle("GET "+PathFiles, s.FileHandler())
	mux.Handle("POST "+PathPush, s.PushHandler())
}

// RecordHandler serves the record of the active configuration, or 404 before
// the first one.
func (s *Service) RecordHandler() http.Handler {
	endpoint := func(context.Context, any) (any, error) {
		if c := s.ActiveConfig(); c != nil {
			return c.Record, nil
		}
		return nil, errors.New("this node has no configuration yet; ask another node")
	}
	encodeError := func(_ context.Context, err error, w http.ResponseWriter) {
		http.Error(w, err.Error(), http.StatusNotFound)
	}
	return kithttp.NewServer(endpoint, kithttp.NopRequestDecoder, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(encodeError))
}

// FileHandler serves the file content with the hash in the path value "hash",
// including files of a version that is still being fetched.
func (s *Service) FileHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, ok := s.localContent(r.PathValue("hash"))
		if !ok {
			http.Error(w, "this node has no file with this hash; ask another node or the platform", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(content)
	})
}

// PushHandler adopts a pushed version. Status 200 means that this version or a
// higher one is active, 422 that files are missing, and 400 that the push is
// malformed or too large or that its configuration is invalid.
func (s *Service) PushHandler() http.Handler {
	endpoint := func(_ context.Context, request any) (any, error) {
		return s.push(request.(PushRequest)), nil
	}
	decode := func(_ context.Context, r *http.Request) (any, error) {
		var p PushRequest
		if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxPushBytes)).Decode(&p); err != nil {
			return nil, fmt.Errorf("decode push request: %w; send record and files as JSON of at most %d bytes", err, maxPushBytes)
		}
		return p, nil
	}
	encodeError := func(ctx context.Context, err error, w http.ResponseWriter) {
		_ = kithttp.EncodeJSONResponse(ctx, w, pushResult{PushResponse{Version: s.Version(), Message: err.Error()}, http.StatusBadRequest})
	}
	return kithttp.NewServer(endpoint, decode, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(encodeError))
}

// pushResult adds the HTTP status that go-kit writes.
type pushResult struct {
	PushResponse
	status int
}

// StatusCode implements kithttp.StatusCoder.
func (a pushResult) StatusCode() int { return a.status }

func (s *Service) push(p PushRequest) pushResult {
	if p.Record.Version <= s.Version() {
		return pushResult{PushResponse{Version: s.Version()}, http.StatusOK}
	}
	files := make([]policy.File, 0, len(p.Record.Manifest.Files))
	var missing []string
	for name, hash := range p.Record.Manifest.Files {
		content, ok := p.Files[hash]
		if !ok {
			content, ok = s.localContent(hash)
		}
		if !ok {
			missing = append(missing, hash)
		}
		files = append(files, policy.File{Name: name, Content: content})
	}
	if len(missing) > 0 {
		return pushResult{PushResponse{Version: s.Version(), Missing: missing, Message: "retry the push with the missing files"}, http.StatusUnprocessableEntity}
	}
	ok, err := s.Adopt(p.Record, files)
	if err != nil {
		return pushResult{PushResponse{Version: s.Version(), Message: err.Error()}, http.StatusBadRequest}
	}
	return pushResult{PushResponse{Version: s.Version(), Adopted: ok}, http.StatusOK}
}
