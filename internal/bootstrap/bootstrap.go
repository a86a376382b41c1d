// Package bootstrap keeps a few gossip addresses of each availability zone in
// the platform, so that a starting node finds the others without a seed.
//
// It runs beside package gossip and does nothing without a platform.
package bootstrap

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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
)

// Name is the name of the service in the kernel.
const Name = "bootstrap"

// Table is the platform's table of bootstrap rows.
const Table = "bootstrap"

const (
	// writersPerZone nodes with the lowest ids write a row each.
	writersPerZone = 5
	writeInterval  = 30 * time.Second
	// maxAge is four missed writes.
	maxAge = 2 * time.Minute
	// maxRows bounds one read; 23 availability zones have 115 rows.
	maxRows = 256
	// The backoff keeps 3,000 nodes that start together, without seeds, at
	// about 100 reads a second.
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

// row is the value of a bootstrap row.
type row struct {
	ID          string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
	GossipAddr  string `msgpack:"g"`
	// AdminAddr lets the operators' tool find nodes.
	AdminAddr string `msgpack:"a"`
	// WrittenMS is the writer's time of day in ms since 1970.
	WrittenMS int64 `msgpack:"w"`
}

// Members is the part of the gossip service that is used here.
type Members interface {
	// Nodes returns this node first and then the other live nodes.
	Nodes() []membership.Node
	// SetDiscoveredSeeds replaces the learned gossip addresses to join.
	SetDiscoveredSeeds(addresses []string)
}

// RowStore is the part of the platform used here; *platform.Client implements it.
type RowStore interface {
	List(ctx context.Context, table, prefix, after string, limit int) ([]platformclient.Row, error)
	Put(ctx context.Context, table, key string, data []byte, cond platformclient.Condition) (string, error)
	Delete(ctx context.Context, table, key string) error
}

// Service writes this node's row when it is due, and reads the rows while the
// node knows nobody.
type Service struct {
	kernel.Base
	// Store is the platform's table service, or nil for none.
	Store RowStore
	Log   zerolog.Logger
	// Now is the time of day; the default is time.Now.
	Now func() time.Time

	// FirstReadDelay and FirstWrite bound the time until the first read and the first
	// write. The defaults of 1 s and 5 s suit thousands of nodes that start
	// together.
	FirstReadDelay, FirstWriteDelay time.Duration

	members Members
	ages    ages
	// lower is the number of fresh rows of the own zone with lower ids, found
	// by the last read. It counts while the node knows nobody, so that not
	// every node writes when all start at once.
	lower int
	// written is the key of the row that this node wrote, if any.
	written string
	cancel  context.CancelFunc
	done    chan struct{}
}

// New returns a service; rows may be nil.
func New(rows RowStore, log zerolog.Logger) *Service {
	return &Service{Store: rows, Log: log, Now: time.Now, FirstReadDelay: minBackoff, FirstWriteDelay: writeInterval / 6, ages: ages{}}
}

// Provision finds the gossip service.
func (s *Service) Provision(k *kernel.Kernel) error {
	var err error
	s.members, err = kernel.Lookup[Members](k, gossip.Name)
	return err
}

// Start begins to read and write rows.
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

// Stop ends reading and writing. It removes the row of this node if it wrote
// one, so that starting nodes do not try an address that is gone.
func (s *Service) Stop(ctx context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	select {
	case <-s.done:
	case <-ctx.Done():
		return fmt.Errorf("stop of bootstrap: %w", ctx.Err())
	}
	if s.written == "" {
		return nil
	}
	if err := s.Store.Delete(ctx, Table, s.written); err != nil {
		errorCount.Inc()
		s.Log.Warn().Err(err).Msg("bootstrap row not removed; it expires after 2 minutes")
	}
	return nil
}

func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	// The jitter of the first read spreads the reads of nodes that start
	// together. The first write comes later, when the lowest ids of the zone
	// are known.
	nextWrite := kernel.Uptime() + s.FirstWriteDelay + rand.N(s.FirstWriteDelay)
	nextRead, backoff := kernel.Uptime()+rand.N(s.FirstReadDelay), minBackoff
	for {
		now := kernel.Uptime()
		if now >= nextRead {
			if len(s.members.Nodes()) == 1 {
				s.join(ctx)
				backoff = min(2*backoff, maxBackoff)
			} else {
				backoff = minBackoff
			}
			nextRead = kernel.Uptime() + backoff/2 + rand.N(backoff)
		}
		if now >= nextWrite {
			s.write(ctx)
			nextWrite = kernel.Uptime() + writeInterval - writeInterval/10 + rand.N(writeInterval/5)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(0, min(nextRead, nextWrite)-kernel.Uptime())):
		}
	}
}

// Key returns the key of a node's row. Zone and id are escaped, so that a
// slash in either cannot make two keys equal.
func Key(zone, id string) string { return url.PathEscape(zone) + "/" + url.PathEscape(id) }

// writes reports whether this node is among the lowest live ids of its zone.
// lower counts instead while the node knows nobody.
func writes(nodes []membership.Node, lower int) bool {
	if len(nodes) > 1 {
		lower = 0
	}
	for _, n := range nodes[1:] {
		if n.Zone == nodes[0].Zone && n.ID < nodes[0].ID {
			lower++
		}
	}
	return lower < writersPerZone
}

// write writes the row if it is this node's turn. A node that has no turn any
// more deletes its row.
func (s *Service) write(ctx context.Context) {
	nodes := s.members.Nodes()
	self := nodes[0]
	key := Key(self.Zone, self.ID)
	if self.State != membership.Alive || !writes(nodes, s.lower) {
		s.withdraw(ctx)
		return
	}
	data, err := msgpack.Marshal(row{self.ID, self.Incarnation, self.GossipAddr, self.AdminAddr, s.Now().UnixMilli()})
	if err != nil {
		s.failed("encode bootstrap row", err)
		return
	}
	// The write needs no condition: a row has one writer, and a repeated write
	// does no harm. The key counts as written even if the answer was lost.
	s.written = key
	writeCount.Inc()
	if _, err := s.Store.Put(ctx, Table, key, data, platformclient.Condition{}); err != nil {
		s.failed("write bootstrap row", err)
		return
	}
	s.clean(ctx, self.Zone)
}

func (s *Service) withdraw(ctx context.Context) {
	if s.written == "" {
		return
	}
	deleteCount.Inc()
	if err := s.Store.Delete(ctx, Table, s.written); err != nil {
		s.failed("delete bootstrap row", err)
		return
	}
	s.written = ""
}

func (s *Service) failed(what string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	errorCount.Inc()
	s.Log.Debug().Err(err).Msg(what + " failed")
}

// join reads the rows and passes fresh addresses on.
func (s *Service) join(ctx context.Context) {
	self := s.members.Nodes()[0]
	rows, err := s.read(ctx, "")
	if err != nil {
		s.failed("read bootstrap rows", err)
		return
	}
	zone := url.PathEscape(self.Zone) + "/"
	s.lower = 0
	var addresses []string
	for _, r := range rows {
		if r.value.ID == self.ID || !s.ages.fresh(r, s.Now(), kernel.Uptime()) {
			continue
		}
		addresses = append(addresses, r.value.GossipAddr)
		if strings.HasPrefix(r.key, zone) && r.value.ID < self.ID {
			s.lower++
		}
	}
	s.members.SetDiscoveredSeeds(addresses)
}

// clean deletes expired rows of the own availability zone. Rows of a zone
// without any writer stay until it has one again; readers ignore them.
func (s *Service) clean(ctx context.Context, zone string) {
	rows, err := s.read(ctx, url.PathEscape(zone)+"/")
	if err != nil {
		s.failed("read bootstrap rows", err)
		return
	}
	for _, r := range rows {
		if r.key == s.written || !s.ages.expired(r, kernel.Uptime()) {
			continue
		}
		deleteCount.Inc()
		if err := s.Store.Delete(ctx, Table, r.key); err != nil {
			s.failed("delete expired bootstrap row", err)
		}
	}
}

type keyedRow struct {
	key   string
	etag  string
	value row
	// malformed rows are not used, but expire like others.
	malformed bool
}

func (s *Service) read(ctx context.Context, prefix string) ([]keyedRow, error) {
	readCount.Inc()
	values, err := s.Store.List(ctx, Table, prefix, "", maxRows)
	if err != nil {
		return nil, err
	}
	rows := make([]keyedRow, 0, len(values))
	for _, v := range values {
		r := keyedRow{key: v.Key, etag: v.ETag}
		if err := msgpack.Unmarshal(v.Data, &r.value); err != nil || r.value.GossipAddr == "" || r.value.ID == "" {
			malformedRow.Inc()
			r.malformed = true
		}
		rows = append(rows, r)
	}
	s.ages.observe(rows, kernel.Uptime(), func(key string) bool {
		return len(values) < maxRows && strings.HasPrefix(key, prefix)
	})
	return rows, nil
}
