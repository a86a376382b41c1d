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
	// watchDelay is the time in which a version that is known elsewhere may still
	// arrive from the store or the leader.
	watchDelay = 300 * time.Millisecond
	// peerDelay is the time after which the next peer is tried although the earlier
	// ones have not responded yet. It is longer than a peer holds a request, so that
	// peers that respond are not asked side by side.
	peerDelay        = relayWait + 50*time.Millisecond
	peerDialTimeout  = 300 * time.Millisecond
	peerFetchTimeout = relayWait + 300*time.Millisecond
	// maxSourceBytes bounds the source of a configuration, after decompression. A
	// response of the store holds at most 1 MB.
	maxSourceBytes = 4 << 20
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 32 << 10
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

// refute drops a report whose peer turned out not to have the version, so that it
// does not hide later reports. Gossip repeats reports that are true.
func (r *reports) refute(untrue report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.highest == untrue {
		r.highest = report{}
	}
}

// fetchReported fetches reported versions.
func (s *Service) fetchReported(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.reports.changed:
		}
		s.fetchVersion(ctx, s.reports.latest())
	}
}

// fetchVersion fetches the reported version from readers, then from the peer that
// reported it, unless the watch receives it soon. Reading the store is left to the
// watch: copies for many nodes would fill the link between the regions. Gossip
// repeats a report of a version that this node could not fetch.
func (s *Service) fetchVersion(ctx context.Context, r report) {
	if s.Version() == 0 || !s.waitVersion(ctx, r.version, watchDelay) {
		s.fetchFromPeers(ctx, r)
	}
}

// fetchFromPeers fetches the reported version from the peers in their order. It goes on to the next peer when one has failed or
// after peerDelay, so that peers that do not respond delay the node by no more than
// that.
func (s *Service) fetchFromPeers(ctx context.Context, r report) {
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
			return
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
				return
			}
			finished++
			next.Reset(0)
		case <-adopted:
		case <-ctx.Done():
			return
		}
	}
}

// peerSources returns the addresses of the peers to fetch a reported version
// from. A node without a configuration asks the peer that reported it first, as it
// may know other readers than its peers.
func (s *Service) peerSources(r report) []string {
	var out []string
	if s.Readers != nil {
		out = s.Readers()
	}
	switch {
	case r.peer == "" || slices.Contains(out, r.peer):
		return out
	case s.Version() == 0:
		return append([]string{r.peer}, out...)
	}
	return append(out, r.peer)
}

// fetchFrom fetches the configuration of a peer and reports whether the reported
// version is active.
func (s *Service) fetchFrom(ctx context.Context, r report, address string) bool {
	t, transfer, err := s.fetch(ctx, address)
	if err == nil {
		peerBytes.Add(len(t.Source))
		s.Adopt(t, "peer "+address, transfer)
	}
	switch {
	case err == nil || errors.Is(err, errNotNewer):
		if address == r.peer && s.Version() < r.version {
			s.Log.System.Warn().Str("event", "config-report-untrue").Uint64("reported", r.version).Uint64("version", s.Version()).Str("peer", address).Msg("the peer does not have the configuration version that it reported; ignoring the report")
			s.reports.refute(r)
		}
	case ctx.Err() == nil:
		readErrors.Inc()
		s.Log.System.Warn().Err(err).Str("event", "config-peer-failed").Uint64("reported", r.version).Uint64("version", s.Version()).Str("peer", address).Msg("failed to fetch configuration from peer")
	}
	return s.Version() >= r.version
}

// fetch returns the configuration of a peer and the duration of the transfer.
func (s *Service) fetch(ctx context.Context, address string) (*routetable.Table, time.Duration, error) {
	query := url.Values{afterParam: {strconv.FormatUint(s.Version(), 10)}, waitMSParam: {strconv.FormatInt(relayWait.Milliseconds(), 10)}}
	t, transfer, _, err := s.request(ctx, s.peerClient, address, query)
	return t, transfer, err
}

// request asks a node for its configuration. The error matches errNotNewer if the
// node has no later one than the query says; the header is valid then, too.
func (s *Service) request(ctx context.Context, client *http.Client, address string, query url.Values) (*routetable.Table, time.Duration, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, nil, fmt.Errorf("invalid peer address %q: %w", address, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, 0, nil, err
	}
	defer resp.Body.Close()
	begin := kernel.Uptime()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified, http.StatusNotFound:
		return nil, 0, resp.Header, errNotNewer
	default:
		return nil, 0, nil, fmt.Errorf("fetch configuration: peer %s returned status %d", address, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxSourceBytes))
	if err != nil {
		return nil, 0, nil, err
	}
	transfer := kernel.Uptime() - begin
	t, err := s.Source.Decode(data)
	return t, transfer, resp.Header, err
}
