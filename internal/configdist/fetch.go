package configdist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"parsleyturn/internal/configstore"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/policy"
)

// Limits of a fetch.
const (
	// pollTimeout bounds the read of the accepted version. It is shorter than
	// the timeout of the platform's client, so that a starting node soon falls
	// back to its peers.
	pollTimeout = time.Second
	// peerTimeout bounds one request to a peer. Three unresponsive peers and
	// the platform must fit into the 5 s within which every node has to adopt
	// a new version.
	peerTimeout = time.Second
	// collectTimeout bounds the fetch of all files of one version. Files that
	// were fetched by then are kept for the next attempt.
	collectTimeout = 10 * time.Second
	// extraTimePerFile is added to peerTimeout for each file to fetch.
	extraTimePerFile = 20 * time.Millisecond
	// maxRecordBytes is enough for a record of 1,000 files with about 150
	// bytes each, and for longer file names.
	maxRecordBytes = 1 << 20
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 32 << 10
	// peersFirstMinFiles is the number of missing files from which on peers
	// are tried before the object store, which 3,000 nodes must not read at
	// the same time.
	peersFirstMinFiles = 4
)

// fileCache holds files that were fetched for a version not yet adopted, so
// that a failed fetch can resume. The keys are content hashes. If a file would
// make it larger than policy.MaxTotalBytes, the other files are removed.
type fileCache struct {
	mu    sync.Mutex
	files map[string][]byte
	bytes int
}

func (c *fileCache) get(hash string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	content, ok := c.files[hash]
	return content, ok
}

func (c *fileCache) put(hash string, content []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.files == nil || c.bytes+len(content) > policy.MaxTotalBytes {
		c.files, c.bytes = map[string][]byte{}, 0
	}
	c.files[hash] = content
	c.bytes += len(content)
}

func (c *fileCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.files, c.bytes = nil, 0
}

// localContent returns the content with the given hash from the active
// configuration or the cache of fetched files.
func (s *Service) localContent(hash string) ([]byte, bool) {
	if c := s.current.Load(); c != nil {
		if content, ok := c.byHash[hash]; ok {
			return content, true
		}
	}
	return s.fetchedFiles.get(hash)
}

// source fetches the content with the given hash. The caller has to verify the
// hash.
type source func(ctx context.Context, hash string) ([]byte, error)

var errHashMismatch = errors.New("file content does not match its hash")

// sources returns the sources for a version that the platform has, in the order
// to try them. Peers come first if many files are missing, as at start.
func (s *Service) sources(rec configstore.Record) []source {
	out := []source{s.platformSource}
	for _, p := range s.randomPeers(2) {
		out = append(out, s.peerSource(p))
	}
	if s.countMissing(rec) >= peersFirstMinFiles {
		out = append(out[1:], s.platformSource)
	}
	return out
}

// countMissing returns how many files of a version the node does not have.
func (s *Service) countMissing(rec configstore.Record) int {
	n := 0
	for _, hash := range rec.Manifest.Files {
		if _, ok := s.localContent(hash); !ok {
			n++
		}
	}
	return n
}

func (s *Service) platformSource(ctx context.Context, hash string) ([]byte, error) {
	content, err := s.Store.File(ctx, hash)
	if err == nil {
		filesFromPlatform.Inc()
	}
	if errors.Is(err, configstore.ErrHashMismatch) {
		rejected.Inc()
	}
	return content, err
}

// peerSource returns a source that fetches from a peer. After an error other
// than an HTTP error status, such as a timeout, it fails without further
// requests.
func (s *Service) peerSource(peer string) source {
	var peerErr error
	return func(ctx context.Context, hash string) ([]byte, error) {
		if peerErr != nil {
			return nil, peerErr
		}
		content, err := s.getPeer(ctx, peer, "/v1/config/files/"+hash, policy.MaxFileBytes)
		var status *statusError
		if err != nil && !errors.As(err, &status) {
			peerErr = err
		}
		if err == nil {
			filesFromPeers.Inc()
		}
		return content, err
	}
}

// collect returns the files of a version and fetches those that the node does
// not have. It fails with *RejectedError if the manifest is invalid, and with
// another error if a file is available from no source. That error matches
// errHashMismatch if a peer returned content with another hash.
func (s *Service) collect(ctx context.Context, rec configstore.Record, sources []source) ([]policy.File, error) {
	if len(rec.Manifest.Files) > policy.MaxFiles {
		return nil, reject(rec.Version, fmt.Errorf("too many files in its manifest: %d", len(rec.Manifest.Files)))
	}
	files := make([]policy.File, 0, len(rec.Manifest.Files))
	for name, hash := range rec.Manifest.Files {
		if !configstore.ValidHash(hash) {
			return nil, reject(rec.Version, fmt.Errorf("invalid hash %q in its manifest", hash))
		}
		content, err := s.content(ctx, hash, sources)
		if err != nil {
			return nil, fmt.Errorf("configuration version %d, file %q: %w", rec.Version, name, err)
		}
		files = append(files, policy.File{Name: name, Content: content})
	}
	slices.SortFunc(files, func(a, b policy.File) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return files, nil
}

func (s *Service) content(ctx context.Context, hash string, sources []source) ([]byte, error) {
	if content, ok := s.localContent(hash); ok {
		return content, nil
	}
	errs := []error{}
	for _, get := range sources {
		content, err := get(ctx, hash)
		if err == nil && configstore.Hash(content) != hash {
			rejected.Inc()
			err = errHashMismatch
		}
		if err == nil {
			s.fetchedFiles.put(hash, content)
			return content, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

// fetch fetches a version from a peer and reports the result to the tracker.
func (s *Service) fetch(ctx context.Context, a Action) {
	fetches.Inc()
	err := s.fetchFrom(ctx, a)
	s.tracker.VersionAdopted(s.Version())
	if err == nil || ctx.Err() != nil {
		return
	}
	fetchesFailed.Inc()
	s.Log.Debug().Err(err).Str("peer", a.Peer).Uint64("version", a.Version).Msg("configuration fetch failed")
	if errors.As(err, new(*RejectedError)) || errors.Is(err, errHashMismatch) {
		s.tracker.FetchRejected(kernel.Uptime(), s.liveNodes(), a.Version, a.Peer)
	} else {
		s.tracker.FetchFailed(kernel.Uptime(), s.liveNodes(), a.Version)
	}
}

func (s *Service) fetchFrom(ctx context.Context, a Action) error {
	rec, err := s.peerRecord(ctx, a.Peer)
	if err != nil {
		return err
	}
	if rec.Version < a.Version {
		return fmt.Errorf("node %s announced configuration version %d but has version %d", a.Peer, a.Version, rec.Version)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout+time.Duration(s.countMissing(rec))*extraTimePerFile)
	defer cancel()
	files, err := s.collect(ctx, rec, []source{s.peerSource(a.Peer)})
	if err != nil {
		return err
	}
	_, err = s.Adopt(rec, files)
	return err
}

// queryPeers asks random peers for their active version.
func (s *Service) queryPeers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range s.randomPeers(maxQueriedPeers) {
		wg.Go(func() {
			if rec, err := s.peerRecord(ctx, p); err == nil {
				s.ObservePeerVersion(rec.Version, p)
			}
		})
	}
	wg.Wait()
}

// randomPeers returns up to n random peers.
func (s *Service) randomPeers(n int) []string {
	peers := slices.Clone(s.peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

func (s *Service) peerRecord(ctx context.Context, peer string) (configstore.Record, error) {
	body, err := s.getPeer(ctx, peer, "/v1/config/record", maxRecordBytes)
	if err != nil {
		return configstore.Record{}, err
	}
	var rec configstore.Record
	if err := json.Unmarshal(body, &rec); err != nil {
		return configstore.Record{}, fmt.Errorf("decode configuration record of node %s: %w", peer, err)
	}
	return rec, nil
}

// statusError is a response of a peer with a status other than 200.
type statusError struct {
	peer   string
	status int
}

func (e *statusError) Error() string {
	return fmt.Sprintf("node %s responded with status %d", e.peer, e.status)
}

func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     10 * time.Second,

		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// SetLocalAddr sets the source address of connections to peers, which must be an
// address of this VM. It must be called before Start.
func (s *Service) SetLocalAddr(ip net.IP) {
	s.init()
	d := net.Dialer{Timeout: peerTimeout, LocalAddr: &net.TCPAddr{IP: ip}}
	s.client.Transport.(*http.Transport).DialContext = d.DialContext
}

func (s *Service) getPeer(ctx context.Context, peer, path string, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+path, nil)
	if err != nil {
		return nil, fmt.Errorf("invalid administration address of node %q: %w", peer, err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &statusError{peer, resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = fmt.Errorf("node %s sent more than %d bytes for %s", peer, limit, path)
	}
	return body, err
}
