// Package bootstrap stores a few gossip addresses of each availability zone in
// a table of the platform, so that a starting node finds other nodes without
// configured seeds.
//
// It supplements package gossip and does nothing without a platform.
package bootstrap

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyturn/internal/gossip"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/membership"
	"parsleyturn/internal/platformclient"
	"parsleyturn/internal/wire"
)

// Name is the name of the service in the kernel.
const Name = "bootstrap"

// Table is the platform's table of bootstrap rows.
const Table = "bootstrap"

const (
	// writersPerZone is the number of nodes per availability zone, those with
	// the lowest IDs, that write a row each. When all nodes start at once, those
	// write that find fewer rows of their zone.
	writersPerZone = 3
	writeInterval  = 30 * time.Second
	// maxAge is four write intervals, so that a few missed writes do no harm.
	maxAge = 2 * time.Minute
	// maxRows limits one read; 23 availability zones have 69 rows.
	maxRows = 256
	// The backoff between reads limits 3,000 nodes that start together without
	// seeds to about 100 reads per second.
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
)

var (
	readCount    = metrics.NewCounter(`parsley_bootstrap_reads_total`)
	writeCount   = metrics.NewCounter(`parsley_bootstrap_writes_total`)
	deleteCount  = metrics.NewCounter(`parsley_bootstrap_deletes_total`)
	errorCount   = metrics.NewCounter(`parsley_bootstrap_errors_total`)
	malformedRow = metrics.NewCounter(`parsley_bootstrap_malformed_total`)
)

// row is the stored value of a bootstrap row.
type row struct {
	ID          string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
	GossipAddr  string `msgpack:"g"`
	// AdminAddr lets the operators' tool discover nodes.
	AdminAddr string `msgpack:"a"`
	// WrittenMS is the Unix time of the write in ms, by the writer's clock.
	WrittenMS int64 `msgpack:"w"`
}

// Members is the part of the gossip service that Service uses.
type Members interface {
	// Nodes returns the live nodes, this node first.
	Nodes() []membership.Node
	// SetDiscoveredSeeds replaces the gossip addresses that are tried in
	// addition to the configured seeds.
	SetDiscoveredSeeds(addresses []string)
}

// RowStore is the part of the platform that Service uses. It is implemented by
// *platformclient.Client.
type RowStore interface {
	List(ctx context.Context, table, prefix, after string, limit int) ([]platformclient.Row, error)
	Put(ctx context.Context, table, key string, data []byte, cond platformclient.Condition) (string, error)
	Delete(ctx context.Context, table, key string) error
}

// Service periodically writes this node's row if the node is a writer of its
// availability zone, and reads the rows while no other node is in the view.
type Service struct {
	kernel.Base
	// Store is the platform's table service, or nil for none.
	Store RowStore
	Log   zerolog.Logger
	// Now returns the wall-clock time. New sets it to time.Now.
	Now func() time.Time

	// FirstReadDelay is the maximum delay of the first read. A node that finds too
	// few rows of its availability zone then writes its own at once. If the read
	// fails, the first write is delayed by a random time between FirstWriteDelay
	// and twice that. The defaults of 1 s and 5 s suit thousands of nodes that
	// start together.
	FirstReadDelay, FirstWriteDelay time.Duration

	members      Members
	observations rowObservations
	// zoneRows and lowerIDs are the numbers of fresh rows of other nodes, and of
	// those with lower IDs, that the last read found in this node's availability
	// zone. They are used while no other node is in the view, so that not every
	// node writes when all start at once.
	zoneRows, lowerIDs int
	// writtenKey is the key of the row that this node wrote, or empty.
	writtenKey string
	// rewrite wakes the service to write the row of this node again.
	rewrite chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}
}

// New returns a service. store is nil if there is no platform.
func New(store RowStore, log zerolog.Logger) *Service {
	return &Service{Store: store, Log: log, Now: time.Now, FirstReadDelay: minBackoff, FirstWriteDelay: writeInterval / 6, observations: rowObservations{}, rewrite: make(chan struct{}, 1)}
}

// Provision looks up the gossip service.
func (s *Service) Provision(k *kernel.Kernel) error {
	var err error
	s.members, err = kernel.Lookup[Members](k, gossip.Name)
	return err
}

// Start starts reading and writing rows.
func (s *Service) Start(context.Context) error {
	s.done = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if s.Store == nil {
		close(s.done)
		return nil
	}
	go s.run(ctx)
	return nil
}

// Stop stops reading and writing, and deletes the row that this node wrote, if
// any, so that starting nodes do not try an address that is no longer in use.
func (s *Service) Stop(ctx context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	select {
	case <-s.done:
	case <-ctx.Done():
		return fmt.Errorf("stop the bootstrap service: %w", ctx.Err())
	}
	if s.writtenKey == "" {
		return nil
	}
	if err := s.Store.Delete(ctx, Table, s.writtenKey); err != nil {
		errorCount.Inc()
		s.Log.Warn().Err(err).Msg("cannot delete the bootstrap row of this node; it expires after 2 minutes")
	}
	return nil
}

// Rewrite writes the row of this node again, if it is a writer, after the delay of
// the first write. It is for a store that may have lost the row.
func (s *Service) Rewrite() {
	select {
	case s.rewrite <- struct{}{}:
	default: // a rewrite is pending
	}
}

func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	// The jitter spreads the reads and writes of nodes that start together.
	firstWrite := func() time.Duration { return kernel.Uptime() + s.FirstWriteDelay + rand.N(s.FirstWriteDelay) }
	laterWrite := func() time.Duration {
		return kernel.Uptime() + writeInterval - writeInterval/10 + rand.N(writeInterval/5)
	}
	nextRead, backoff := kernel.Uptime()+rand.N(s.FirstReadDelay), minBackoff
	nextWrite := firstWrite() + s.FirstReadDelay
	for discovered := false; ; {
		now := kernel.Uptime()
		if now >= nextRead {
			if len(s.members.Nodes()) == 1 {
				succeeded := s.discoverSeeds(ctx)
				if succeeded && !discovered {
					nextWrite = laterWrite()
					if s.zoneRows < writersPerZone {
						s.putRow(ctx)
					}
				}
				discovered = discovered || succeeded
				backoff = min(2*backoff, maxBackoff)
			} else {
				backoff = minBackoff
			}
			nextRead = kernel.Uptime() + backoff/2 + rand.N(backoff)
		}
		if now >= nextWrite {
			s.writeRow(ctx)
			nextWrite = laterWrite()
		}
		select {
		case <-ctx.Done():
			return
		case <-s.rewrite:
			nextWrite = min(nextWrite, firstWrite())
		case <-time.After(max(0, min(nextRead, nextWrite)-kernel.Uptime())):
		}
	}
}

// Key returns the key of a node's row. Zone and ID are escaped, so that a slash
// in either of them cannot make two keys equal.
func Key(zone, id string) string { return url.PathEscape(zone) + "/" + url.PathEscape(id) }

// rank returns the number of live nodes of this node's availability zone that have
// lower IDs. While no other node is in the view, it is lowerIDs.
func rank(nodes []membership.Node, lowerIDs int) int {
	if len(nodes) > 1 {
		lowerIDs = 0
	}
	for _, n := range nodes[1:] {
		if n.Zone == nodes[0].Zone && n.ID < nodes[0].ID {
			lowerIDs++
		}
	}
	return lowerIDs
}

// writeRow writes this node's row if the node is a writer, and deletes it
// otherwise. The first writer of the availability zone deletes expired rows.
func (s *Service) writeRow(ctx context.Context) {
	nodes := s.members.Nodes()
	rank := rank(nodes, s.lowerIDs)
	if nodes[0].State != membership.Alive || rank >= writersPerZone {
		s.deleteOwnRow(ctx)
		return
	}
	if s.putRow(ctx) && rank == 0 {
		s.deleteExpired(ctx, nodes[0].Zone)
	}
}

// putRow writes this node's row and reports whether it succeeded.
func (s *Service) putRow(ctx context.Context) bool {
	self := s.members.Nodes()[0]
	data, err := msgpack.Marshal(row{self.ID, self.Incarnation, self.GossipAddr, self.AdminAddr, s.Now().UnixMilli()})
	if err != nil {
		s.recordError("encoding the bootstrap row", err)
		return false
	}
	// The write is unconditional: a row has a single writer, and a repeated
	// write is harmless. The key is set before the write, because the row may
	// have been written even if the response is lost.
	s.writtenKey = Key(self.Zone, self.ID)
	writeCount.Inc()
	// A write that is canceled may take effect after the deletion that follows.
	if _, err := s.Store.Put(context.WithoutCancel(ctx), Table, s.writtenKey, data, platformclient.Condition{}); err != nil {
		s.recordError("writing the bootstrap row", err)
		return false
	}
	return true
}

func (s *Service) deleteOwnRow(ctx context.Context) {
	if s.writtenKey == "" {
		return
	}
	deleteCount.Inc()
	if err := s.Store.Delete(ctx, Table, s.writtenKey); err != nil {
		s.recordError("deleting the bootstrap row of this node", err)
		return
	}
	s.writtenKey = ""
}

func (s *Service) recordError(operation string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	errorCount.Inc()
	s.Log.Debug().Err(err).Msg(operation + " failed")
}

// discoverSeeds reads the rows of all availability zones, passes the fresh
// addresses to the gossip service and sets zoneRows and lowerIDs. It reports
// whether the rows could be read.
func (s *Service) discoverSeeds(ctx context.Context) bool {
	self := s.members.Nodes()[0]
	rows, err := s.readRows(ctx, "")
	if err != nil {
		s.recordError("reading the bootstrap rows", err)
		return false
	}
	zone := url.PathEscape(self.Zone) + "/"
	s.zoneRows, s.lowerIDs = 0, 0
	var addresses []string
	for _, r := range rows {
		if r.value.ID == self.ID || !s.observations.fresh(r, s.Now(), kernel.Uptime()) {
			continue
		}
		addresses = append(addresses, r.value.GossipAddr)
		if strings.HasPrefix(r.key, zone) {
			s.zoneRows++
			if r.value.ID < self.ID {
				s.lowerIDs++
			}
		}
	}
	s.members.SetDiscoveredSeeds(addresses)
	return true
}

// deleteExpired deletes expired rows of this node's availability zone. The rows
// of a zone without a writer remain until it has one again; readers ignore
// them.
func (s *Service) deleteExpired(ctx context.Context, zone string) {
	rows, err := s.readRows(ctx, url.PathEscape(zone)+"/")
	if err != nil {
		s.recordError("reading the bootstrap rows of the availability zone", err)
		return
	}
	for _, r := range rows {
		if r.key == s.writtenKey || !s.observations.expired(r, kernel.Uptime()) {
			continue
		}
		deleteCount.Inc()
		if err := s.Store.Delete(ctx, Table, r.key); err != nil {
			s.recordError("deleting an expired bootstrap row", err)
		}
	}
}

type keyedRow struct {
	key   string
	etag  string
	value row
	// malformed rows are not used for joining, but expire like other rows.
	malformed bool
}

// decodeRow decodes and checks the value of a row, which another writer may have left.
func decodeRow(data []byte, into *row) error {
	if err := wire.CheckDepth(data); err != nil {
		return fmt.Errorf("bootstrap row: %w", err)
	}
	if err := msgpack.Unmarshal(data, into); err != nil {
		return fmt.Errorf("bootstrap row: %w", err)
	}
	if into.ID == "" || len(into.ID) > membership.MaxStringBytes {
		return fmt.Errorf("bootstrap row: the node ID has %d bytes; want 1 to %d", len(into.ID), membership.MaxStringBytes)
	}
	if a, err := netip.ParseAddrPort(into.GossipAddr); err != nil || a.Port() == 0 {
		return fmt.Errorf("bootstrap row: gossip address %q is not an IP address and port", into.GossipAddr)
	}
	return nil
}

func (s *Service) readRows(ctx context.Context, prefix string) ([]keyedRow, error) {
	readCount.Inc()
	values, err := s.Store.List(ctx, Table, prefix, "", maxRows)
	if err != nil {
		return nil, err
	}
	rows := make([]keyedRow, 0, len(values))
	for _, v := range values {
		r := keyedRow{key: v.Key, etag: v.ETag}
		if err := decodeRow(v.Data, &r.value); err != nil {
			malformedRow.Inc()
			r.malformed = true
			r.value = row{}
		}
		rows = append(rows, r)
	}
	s.observations.observe(rows, kernel.Uptime(), func(key string) bool {
		return len(values) < maxRows && strings.HasPrefix(key, prefix)
	})
	return rows, nil
}
