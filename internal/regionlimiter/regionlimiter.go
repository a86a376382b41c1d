// Package regionlimiter applies the budget of the link between regions to the
// traffic of one node. It keeps the node's part of both directions: what the
// node sends, and what answers from other regions bring back.
package regionlimiter

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyturn/internal/configdist"
	"parsleyturn/internal/gossip"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/membership"
	"parsleyturn/internal/regionbudget"
)

// Name is the name of the service in the kernel.
const Name = "crossregion"

const (
	refreshInterval = time.Second
	// headBytes is the size assumed for the head of a request or an answer.
	headBytes = 500
	// sizeWeight is the weight of a new answer in the expected size of a kind.
	sizeWeight = 0.1
	maxKinds   = 10000
)

var (
	sentBytes     = metrics.NewCounter(`parsley_region_sent_bytes_total`)
	receivedBytes = metrics.NewCounter(`parsley_region_received_bytes_total`)
	deniedCalls   = metrics.NewCounter(`parsley_region_calls_denied_total`)
	pacedSeconds  = metrics.NewFloatCounter(`parsley_region_paced_seconds_total`)
)

// Service holds the budgets of one node.
type Service struct {
	kernel.Base
	Region string

	gossip *gossip.Service
	conf   *configdist.Service

	mu       sync.Mutex
	sending  *regionbudget.Budget
	incoming *regionbudget.Budget
	config   regionbudget.Config
	sizes    map[string]float64

	duty kernel.Worker
}

// Provision finds the other services.
func (s *Service) Provision(k *kernel.Kernel) error {
	var err error
	if s.gossip, err = kernel.Lookup[*gossip.Service](k, gossip.Name); err != nil {
		return err
	}
	s.conf, err = kernel.Lookup[*configdist.Service](k, configdist.Name)
	s.sizes = make(map[string]float64)
	s.reset(regionbudget.Config{})
	return err
}

// reset must be called with s.mu held or before Start.
func (s *Service) reset(cfg regionbudget.Config) {
	s.config = cfg
	s.sending, s.incoming = regionbudget.New(cfg), regionbudget.New(cfg)
}

// Start begins to follow the policy and the number of nodes that share the
// link.
func (s *Service) Start(context.Context) error {
	s.duty.StartPeriodic(refreshInterval, s.refresh)
	return nil
}

// Stop ends the duty of Start.
func (s *Service) Stop(context.Context) error {
	s.duty.Stop()
	return nil
}

func (s *Service) refresh() {
	others := 0
	self := s.gossip.Self()
	for _, n := range s.gossip.Nodes() {
		if n.ID != self.ID && n.Region == s.Region && n.UsesRegionLink {
			others++
		}
	}
	now := kernel.Uptime()
	s.mu.Lock()
	if cfg := s.declared(); cfg != s.config {
		s.reset(cfg)
	}
	s.sending.SetOtherNodes(now, others)
	s.incoming.SetOtherNodes(now, others)
	uses := s.sending.InUse(now) || s.incoming.InUse(now)
	s.mu.Unlock()
	if uses != self.UsesRegionLink {
		s.gossip.Update(func(n *membership.Node) { n.UsesRegionLink = uses })
	}
}

// declared is the budget that the policy declares for the region.
func (s *Service) declared() regionbudget.Config {
	c := s.conf.ActiveConfig()
	if c == nil {
		return s.config
	}
	r, ok := c.Policy.Regions[s.Region]
	if !ok {
		return regionbudget.Config{}
	}
	return regionbudget.Config{BitsPerSecond: float64(r.LinkBytesPerSecond) * 8, ReservePriority: r.LinkReservedPriority}
}

// Allows reports whether a call may go to another region now: its request and
// the answer expected for its kind must fit into the node's part of the link
// within the remaining time.
func (s *Service) Allows(kind string, priority, requestBytes int, remaining time.Duration) bool {
	now := kernel.Uptime()
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := headBytes + int(s.sizes[kind])
	ok := s.sending.MaySend(now, priority, headBytes+requestBytes, remaining) && s.incoming.MaySend(now, priority, answer, remaining)
	if !ok {
		deniedCalls.Inc()
	}
	return ok
}

// RecordSent accounts for a request that went to another region.
func (s *Service) RecordSent(priority, requestBytes int) {
	n := headBytes + requestBytes
	sentBytes.Add(n)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sending.Charge(kernel.Uptime(), priority, n)
}

// TrackBody wraps the body of an answer from another region, accounts for its
// bytes and learns the usual size for the kind.
func (s *Service) TrackBody(kind string, priority int, body io.ReadCloser) io.ReadCloser {
	s.mu.Lock()
	expected := headBytes + int(s.sizes[kind])
	t := s.incoming.StartTransfer(kernel.Uptime(), priority, expected)
	s.mu.Unlock()
	return &incomingBody{ReadCloser: body, s: s, kind: kind, transfer: t}
}

type incomingBody struct {
	io.ReadCloser
	s        *Service
	kind     string
	transfer *regionbudget.Transfer
	n        int
	ended    bool
}

func (b *incomingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	receivedBytes.Add(n)
	b.n += n
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	// The sender paces the body; here its bytes are only accounted for.
	b.transfer.Reserve(kernel.Uptime(), n)
	if err == io.EOF {
		b.s.learn(b.kind, b.n)
		b.end()
	}
	return n, err
}

func (b *incomingBody) Close() error {
	b.s.mu.Lock()
	b.end()
	b.s.mu.Unlock()
	return b.ReadCloser.Close()
}

// end must be called with s.mu held.
func (b *incomingBody) end() {
	if !b.ended {
		b.ended = true
		b.transfer.End(kernel.Uptime())
	}
}

// learn must be called with s.mu held.
func (s *Service) learn(kind string, n int) {
	size, ok := s.sizes[kind]
	switch {
	case ok:
		s.sizes[kind] = size + sizeWeight*(float64(n)-size)
	case len(s.sizes) < maxKinds:
		s.sizes[kind] = float64(n)
	}
}

// PacedWriter paces a body that is sent to another region. Close ends the transfer.
func (s *Service) PacedWriter(ctx context.Context, w io.Writer, priority int, length int64) io.WriteCloser {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &pacedWriter{ctx: ctx, w: w, s: s, transfer: s.sending.StartTransfer(kernel.Uptime(), priority, int(max(length, 0)))}
}

type pacedWriter struct {
	ctx      context.Context
	w        io.Writer
	s        *Service
	transfer *regionbudget.Transfer
}

// Write sends p in chunks, each at its time.
func (p *pacedWriter) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		p.s.mu.Lock()
		n := min(len(b)-written, p.s.sending.ChunkSize())
		r := p.transfer.Reserve(kernel.Uptime(), n)
		p.s.mu.Unlock()
		if r.Wait > 0 {
			pacedSeconds.Add(r.Wait.Seconds())
			if !sleep(p.ctx, r.Wait) {
				p.s.mu.Lock()
				p.s.sending.Cancel(kernel.Uptime(), r)
				p.s.mu.Unlock()
				return written, context.Cause(p.ctx)
			}
		}
		m, err := p.w.Write(b[written : written+n])
		sentBytes.Add(m)
		written += m
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Close ends the transfer.
func (p *pacedWriter) Close() error {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.transfer.End(kernel.Uptime())
	return nil
}
