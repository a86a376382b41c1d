package configwatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"parsleyturn/internal/kernel"
	"parsleyturn/internal/routetable"
)

const (
	// readerDelay is the time in which a version that is known elsewhere may
	// still arrive at a reader from the store.
	readerDelay = 300 * time.Millisecond
	// peerDelay is the time after which the next peer is tried although the earlier
	// ones have not responded yet. It is longer than a peer holds a request, so that
	// peers that respond are not asked side by side.
	peerDelay        = relayWait + 50*time.Millisecond
	peerDialTimeout  = 300 * time.Millisecond
	peerFetchTimeout = relayWait + 300*time.Millisecond
	// maxSourceBytes bounds the source of a configuration. Rows of the store
	// have at most 64 KB; a deployment may allow more.
	maxSourceBytes = 16 << 20
)

// errNotNewer means that a peer has no later version.
var errNotNewer = errors.New("the peer has no later configuration")

// report says that a version of the configuration exists.
type report struct {
	version uint64
	// peer is the address of a node that has the version, or empty.
	peer string
	// at is the uptime of the first report of the version.
	at time.Duration
}

// reports holds the report of the highest version.
type reports struct {
	mu      sync.Mutex
	highest report
	changed chan struct{}
}

func (r *reports) latest() report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.highest
}

// add records a report and wakes the fetcher.
func (r *reports) add(version uint64, peer string, now time.Duration) {
	r.mu.Lock()
	switch {
	case version > r.highest.version:
		r.highest = report{version, peer, now}
	case version == r.highest.version && peer != "":
		r.highest.peer = peer
	}
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default: // the fetcher has not yet taken the previous wake-up
	}
}

// ObservePeerVersion handles the report that the peer at address has version v.
// A later version than the active one is fetched in the background.
func (s *Service) ObservePeerVersion(v uint64, address string) { s.report(v, address) }

func (s *Service) report(version uint64, peer string) {
	if version > s.Version() {
		s.reports.add(version, peer, kernel.Uptime())
	}
}

// fetchReported fetches reported versions until they are active.
func (s *Service) fetchReported(ctx context.Context) {
	delay := newBackoff()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.reports.changed:
		}
		for failures := 0; ctx.Err() == nil; {
			r := s.reports.latest()
			if s.fetchVersion(ctx, r) {
				break
			}
			failures++
			sleep(ctx, delay(failures))
		}
	}
}

// fetchVersion fetches the reported version: from readers, then from the peer
// that reported it, then from the store. A reader leaves the store to its watch.
// It reports whether the version is active or must come from the watch.
func (s *Service) fetchVersion(ctx context.Context, r report) bool {
	reader := s.isReader()
	if reader && s.waitVersion(ctx, r.version, readerDelay) {
		return true
	}
	if s.fetchFromPeers(ctx, r) || reader {
		return true
	}
	// The store is not asked beside the peers: copies for many nodes would fill the
	// link between the regions, and delay those that the readers wait for.
	return s.fetchFromStore(ctx, r)
}

// fetchFromPeers fetches the reported version from the peers in their order, and
// reports whether it is active. It goes on to the next peer when one has failed or
// after peerDelay, so that peers that do not respond delay the node by no more than
// that.
func (s *Service) fetchFromPeers(ctx context.Context, r report) bool {
	peers := s.peerSources(r)
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	results := make(chan bool, len(peers))
	next := time.NewTimer(0)
	defer next.Stop()
	for started, finished := 0, 0; finished < len(peers); {
		adopted := s.nextAdoption()
		if s.Version() >= r.version {
			return true
		}
		select {
		case <-next.C:
			if started < len(peers) {
				address := peers[started]
				running.Go(func() { results <- s.fetchFrom(ctx, r, address) })
				started++
				next.Reset(peerDelay)
			}
		case succeeded := <-results:
			if succeeded {
				return true
			}
			finished++
			next.Reset(0)
		case <-adopted:
		case <-ctx.Done():
			return false
		}
	}
	return s.Version() >= r.version
}

// fetchFromStore reads the current configuration from the store and reports
// whether it could be read.
func (s *Service) fetchFromStore(ctx context.Context, r report) bool {
	update, err := s.Source.ReadConfig(ctx)
	if err != nil {
		if ctx.Err() == nil {
			readErrors.Inc()
			s.Log.System.Warn().Err(err).Str("event", "config-fetch-failed").Uint64("reported", r.version).Uint64("version", s.Version()).Msg("failed to read a reported configuration from the store; retrying")
		}
		return false
	}
	if update.Table != nil {
		s.adoptFromStore(update)
	}
	return true // a peer that is ahead of the store reports its version again
}

// peerSources returns the addresses of the peers to fetch a reported version
// from.
func (s *Service) peerSources(r report) []string {
	var out []string
	if s.Readers != nil {
		out = s.Readers()
	}
	if r.peer != "" && !slices.Contains(out, r.peer) {
		out = append(out, r.peer)
	}
	return out
}

// fetchFrom fetches the configuration of a peer and reports whether the reported
// version is active.
func (s *Service) fetchFrom(ctx context.Context, r report, address string) bool {
	t, transfer, err := s.fetch(ctx, address)
	if errors.Is(err, errNotNewer) {
		return s.Version() >= r.version
	}
	if err != nil {
		if ctx.Err() == nil {
			readErrors.Inc()
			s.Log.System.Warn().Err(err).Str("event", "config-peer-failed").Uint64("reported", r.version).Uint64("version", s.Version()).Str("peer", address).Msg("failed to fetch configuration from peer")
		}
		return false
	}
	peerBytes.Add(len(t.Source))
	first := s.Version() == 0
	if s.Adopt(t, "peer "+address, transfer) && !first && s.isReader() {
		// No node may have announced it: the one that read it from the store may
		// have been refused or killed since.
		s.wakeAnnouncer()
	}
	return s.Version() >= r.version
}

// fetch returns the configuration of a peer and the duration of the transfer.
func (s *Service) fetch(ctx context.Context, address string) (*routetable.Table, time.Duration, error) {
	query := url.Values{afterParam: {strconv.FormatUint(s.Version(), 10)}, waitMSParam: {strconv.FormatInt(relayWait.Milliseconds(), 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, fmt.Errorf("invalid peer address %q: %w", address, err)
	}
	resp, err := s.peerClient.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	begin := kernel.Uptime()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified, http.StatusNotFound:
		return nil, 0, errNotNewer
	default:
		return nil, 0, fmt.Errorf("fetch configuration: peer %s returned status %d", address, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxSourceBytes))
	if err != nil {
		return nil, 0, err
	}
	transfer := kernel.Uptime() - begin
	t, err := s.Source.Decode(data)
	return t, transfer, err
}
