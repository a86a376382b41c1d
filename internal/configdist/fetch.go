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

// Limits of fetching.
const (
	// pollTimeout bounds the read of the accepted version. It is shorter than
	// that of the platform's client, so that a starting node turns to its
	// peers soon.
	pollTimeout = time.Second
	// peerTimeout bounds one answer of a peer, so that three silent peers and
	// the platform still fit into the 5 s within which a version is in force.
	peerTimeout = time.Second
	// collectTimeout bounds the files of one version. What was fetched by then
	// is kept for the next attempt.
	collectTimeout = 10 * time.Second
	// fileTime is added to peerTimeout for each file that a peer is to give.
	fileTime = 20 * time.Millisecond
	// maxRecordBytes bounds a record: 1,000 files at about 150 bytes, with
	// room for long names.
	maxRecordBytes = 1 << 20
	// manyFiles is the number of missing files from which on peers are asked
	// before the object store, which 3,000 nodes must not read at once.
	manyFiles = 4
)

// fileCache holds content that was fetched for a version not yet adopted, so
// that a fetch that broke off goes on where it ended.
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

// local returns content that the node has, in force or fetched.
func (s *Service) local(hash string) ([]byte, bool) {
	if c := s.current.Load(); c != nil {
		if content, ok := c.byHash[hash]; ok {
			return content, true
		}
	}
	return s.fetched.get(hash)
}

// source gives the content with a hash. The content is not trusted.
type source func(ctx context.Context, hash string) ([]byte, error)

var errWrongContent = errors.New("the content does not match its hash")

// sources are those for a version that the platform has. Peers come first if
// many files are missing, as in a node that starts.
func (s *Service) sources(rec configstore.Record) []source {
	out := []source{s.platformSource}
	for _, p := range s.somePeers(2) {
		out = append(out, s.peerSource(p))
	}
	if s.missing(rec) >= manyFiles {
		out = append(out[1:], s.platformSource)
	}
	return out
}

// missing counts the files of a version that the node lacks.
func (s *Service) missing(rec configstore.Record) int {
	n := 0
	for _, hash := range rec.Manifest.Files {
		if _, ok := s.local(hash); !ok {
			n++
		}
	}
	return n
}

func (s *Service) platformSource(ctx context.Context, hash string) ([]byte, error) {
	content, err := s.Store.File(ctx, hash)
	if err == nil {
		storeFiles.Inc()
	}
	if errors.Is(err, configstore.ErrHashMismatch) {
		rejected.Inc()
	}
	return content, err
}

// peerSource asks a peer until it fails otherwise than by lacking a file.
func (s *Service) peerSource(peer string) source {
	var lost error
	return func(ctx context.Context, hash string) ([]byte, error) {
		if lost != nil {
			return nil, lost
		}
		content, err := s.getPeer(ctx, peer, "/v1/config/files/"+hash, policy.MaxFileBytes)
		var status *statusError
		if err != nil && !errors.As(err, &status) {
			lost = err
		}
		if err == nil {
			peerFiles.Inc()
		}
		return content, err
	}
}

// collect brings together the files of a version. Files that the node has are
// not fetched. It fails if no source has a file; the error matches
// errWrongContent if a source gave other content than asked for.
func (s *Service) collect(ctx context.Context, rec configstore.Record, sources []source) ([]policy.File, error) {
	if len(rec.Manifest.Files) > policy.MaxFiles {
		return nil, refuse(rec.Version, fmt.Errorf("its manifest has %d files", len(rec.Manifest.Files)))
	}
	files := make([]policy.File, 0, len(rec.Manifest.Files))
	for name, hash := range rec.Manifest.Files {
		if !configstore.ValidHash(hash) {
			return nil, refuse(rec.Version, fmt.Errorf("its manifest has the hash %q", hash))
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
	if content, ok := s.local(hash); ok {
		return content, nil
	}
	errs := []error{}
	for _, get := range sources {
		content, err := get(ctx, hash)
		if err == nil && configstore.Hash(content) != hash {
			rejected.Inc()
			err = errWrongContent
		}
		if err == nil {
			s.fetched.put(hash, content)
			return content, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

// fetch gets a version from a peer and reports to the tracker.
func (s *Service) fetch(ctx context.Context, a Action) {
	fetches.Inc()
	err := s.fetchFrom(ctx, a)
	s.tracker.VersionAdopted(s.Version())
	if err == nil || ctx.Err() != nil {
		return
	}
	fetchFailed.Inc()
	s.Log.Debug().Err(err).Str("peer", a.Peer).Uint64("version", a.Version).Msg("configuration fetch failed")
	if errors.As(err, new(*RejectedError)) || errors.Is(err, errWrongContent) {
		s.tracker.FetchRejected(kernel.Uptime(), s.live(), a.Version, a.Peer)
	} else {
		s.tracker.FetchFailed(kernel.Uptime(), s.live(), a.Version)
	}
}

func (s *Service) fetchFrom(ctx context.Context, a Action) error {
	rec, err := s.peerRecord(ctx, a.Peer)
	if err != nil {
		return err
	}
	if rec.Version < a.Version {
		return fmt.Errorf("node %s announced configuration version %d and has %d", a.Peer, a.Version, rec.Version)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout+time.Duration(s.missing(rec))*fileTime)
	defer cancel()
	files, err := s.collect(ctx, rec, []source{s.peerSource(a.Peer)})
	if err != nil {
		return err
	}
	_, err = s.Adopt(rec, files)
	return err
}

// ask learns the versions of a few peers.
func (s *Service) ask(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range s.somePeers(maxAsked) {
		wg.Go(func() {
			if rec, err := s.peerRecord(ctx, p); err == nil {
				s.ObservePeerVersion(rec.Version, p)
			}
		})
	}
	wg.Wait()
}

// somePeers returns up to n peers by lot.
func (s *Service) somePeers(n int) []string {
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

// statusError is an answer of a peer other than 200.
type statusError struct {
	peer   string
	status int
}

func (e *statusError) Error() string {
	return fmt.Sprintf("node %s answered status %d", e.peer, e.status)
}

func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     10 * time.Second,
	}}
}

// SetLocalAddr makes connections to peers leave from the given address of this
// VM. It has to be called before Start.
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
		return nil, fmt.Errorf("address of node %q: %w", peer, err)
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
