// Package regionlimiter applies the budget of the link between regions to the
// traffic of one node, in both directions: requests and responses that the node
// sends to other regions, and responses that it receives from them.
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

// Name is the service's name in the kernel.
const Name = "crossregion"

const (
	refreshInterval = time.Second
	// assumedHeadBytes is the size assumed for the head of a request or
	// response.
	assumedHeadBytes = 500
	// sizeWeight is the weight of a new response in the moving average of the
	// response size of a kind.
	sizeWeight = 0.1
	// maxKinds bounds the kinds whose response size is kept.
	maxKinds = 10000
)

var (
	sentBytes     = metrics.NewCounter(`parsley_region_sent_bytes_total`)
	receivedBytes = metrics.NewCounter(`parsley_region_received_bytes_total`)
	deniedCalls   = metrics.NewCounter(`parsley_region_calls_denied_total`)
	pacedSeconds  = metrics.NewFloatCounter(`parsley_region_paced_seconds_total`)
)

// Service holds the budgets of one node for both directions.
type Service struct {
	kernel.Base
	Region string

	gossip *gossip.Service
	config *configdist.Service

	mu           sync.Mutex
	outgoing     *regionbudget.Budget
	incoming     *regionbudget.Budget
	budgetConfig regionbudget.Config
	// responseSizes holds the moving average of the size of response bodies in
	// bytes by kind.
	responseSizes map[string]float64

	refreshLoop kernel.Worker
}

func (s *Service) Provision(k *kernel.Kernel) error {
	var err error
	if s.gossip, err = kernel.Lookup[*gossip.Service](k, gossip.Name); err != nil {
		return err
	}
	s.config, err = kernel.Lookup[*configdist.Service](k, configdist.Name)
	s.responseSizes = make(map[string]float64)
	s.resetBudgets(regionbudget.Config{})
	return err
}

// resetBudgets replaces both budgets. After Start, s.mu must be held.
func (s *Service) resetBudgets(cfg regionbudget.Config) {
	s.budgetConfig = cfg
	s.outgoing, s.incoming = regionbudget.New(cfg), regionbudget.New(cfg)
}

// Start begins to update the budgets periodically from the policy and from the
// number of nodes that share the link.
func (s *Service) Start(context.Context) error {
	s.refreshLoop.StartPeriodic(refreshInterval, s.refresh)
	return nil
}

// Stop ends the periodic update.
func (s *Service) Stop(context.Context) error {
	s.refreshLoop.Stop()
	return nil
}

// refresh updates the budgets, and announces by gossip whether this node uses the
// link.
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
	if cfg := s.policyBudget(); cfg != s.budgetConfig {
		s.resetBudgets(cfg)
	}
	s.outgoing.SetOtherNodes(now, others)
	s.incoming.SetOtherNodes(now, others)
	inUse := s.outgoing.InUse(now) || s.incoming.InUse(now)
	s.mu.Unlock()
	if inUse != self.UsesRegionLink {
		s.gossip.Update(func(n *membership.Node) { n.UsesRegionLink = inUse })
	}
}

// policyBudget returns the limits that the policy sets for the region, the
// defaults if it sets none, or the current limits if there is no configuration
// yet.
func (s *Service) policyBudget() regionbudget.Config {
	c := s.config.ActiveConfig()
	if c == nil {
		return s.budgetConfig
	}
	r, ok := c.Policy.Regions[s.Region]
	if !ok {
		return regionbudget.Config{}
	}
	return regionbudget.Config{BitsPerSecond: float64(r.LinkBytesPerSecond) * 8, ReservePriority: r.LinkReservedPriority}
}

// Allows reports whether a call may be sent to another region now: the node's
// share of the link must be able to carry the request and a response of the
// size expected for the kind within the remaining time.
func (s *Service) Allows(kind string, priority, requestBytes int, remaining time.Duration) bool {
	now := kernel.Uptime()
	s.mu.Lock()
	defer s.mu.Unlock()
	responseBytes := assumedHeadBytes + int(s.responseSizes[kind])
	ok := s.outgoing.MaySend(now, priority, assumedHeadBytes+requestBytes, remaining) && s.incoming.MaySend(now, priority, responseBytes, remaining)
	if !ok {
		deniedCalls.Inc()
	}
	return ok
}

// RecordSent accounts for a request, or a response with a short body, that is
// sent to another region without pacing.
func (s *Service) RecordSent(priority, bodyBytes int) {
	n := assumedHeadBytes + bodyBytes
	sentBytes.Add(n)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outgoing.Charge(kernel.Uptime(), priority, n)
}

// TrackBody wraps the body of a response from another region. The wrapper
// accounts for the bytes read and, when the body has been read to its end,
// updates the expected response size of the kind.
func (s *Service) TrackBody(kind string, priority int, body io.ReadCloser) io.ReadCloser {
	s.mu.Lock()
	expected := assumedHeadBytes + int(s.responseSizes[kind])
	t := s.incoming.StartTransfer(kernel.Uptime(), priority, expected)
	s.mu.Unlock()
	return &trackedBody{ReadCloser: body, s: s, kind: kind, transfer: t}
}

type trackedBody struct {
	io.ReadCloser
	s        *Service
	kind     string
	transfer *regionbudget.Transfer
	received int
	ended    bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	receivedBytes.Add(n)
	b.received += n
	b.s.mu.Lock()
	defer b.s.mu.Unlock()
	// The sender paces the body. The receiver only accounts for its bytes.
	b.transfer.Reserve(kernel.Uptime(), n)
	if err == io.EOF {
		b.s.updateResponseSize(b.kind, b.received)
		b.end()
	}
	return n, err
}

func (b *trackedBody) Close() error {
	b.s.mu.Lock()
	b.end()
	b.s.mu.Unlock()
	return b.ReadCloser.Close()
}

// end ends the transfer once. s.mu must be held.
func (b *trackedBody) end() {
	if !b.ended {
		b.ended = true
		b.transfer.End(kernel.Uptime())
	}
}

// updateResponseSize updates the moving average of the response size of a kind.
// s.mu must be held.
func (s *Service) updateResponseSize(kind string, bytes int) {
	size, ok := s.responseSizes[kind]
	switch {
	case ok:
		s.responseSizes[kind] = size + sizeWeight*(float64(bytes)-size)
	case len(s.responseSizes) < maxKinds:
		s.responseSizes[kind] = float64(bytes)
	}
}

// PacedWriter returns a writer that paces a body sent to another region. length
// is the size of the body in bytes, or negative if it is not known. The writer
// must be closed.
func (s *Service) PacedWriter(ctx context.Context, w io.Writer, priority int, length int64) io.WriteCloser {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &pacedWriter{ctx: ctx, w: w, s: s, transfer: s.outgoing.StartTransfer(kernel.Uptime(), priority, int(max(length, 0)))}
}

type pacedWriter struct {
	ctx      context.Context
	w        io.Writer
	s        *Service
	transfer *regionbudget.Transfer
}

// Write writes b in chunks and waits before each until the budget allows it.
func (p *pacedWriter) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		p.s.mu.Lock()
		n := min(len(b)-written, p.s.outgoing.ChunkSize())
		r := p.transfer.Reserve(kernel.Uptime(), n)
		p.s.mu.Unlock()
		if r.Wait > 0 {
			pacedSeconds.Add(r.Wait.Seconds())
			if !sleep(p.ctx, r.Wait) {
				p.s.mu.Lock()
				p.s.outgoing.Cancel(kernel.Uptime(), r)
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

// sleep waits for d. It returns false if ctx ends first.
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

// Close ends the transfer; it does not close the underlying writer.
func (p *pacedWriter) Close() error {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.transfer.End(kernel.Uptime())
	return nil
}
