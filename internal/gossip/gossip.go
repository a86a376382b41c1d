// Package gossip exchanges the membership between nodes over UDP. It runs the
// state machine of package membership as a service of the kernel.
//
// Use Nodes and Node on the path of a request; they read an immutable snapshot
// without locking.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"parsleyturn/internal/kernel"
	"parsleyturn/internal/membership"
)

// Name is the name of the service in the kernel.
const Name = "gossip"

const (
	// maxDatagram is larger than any datagram sent, so that later versions
	// may send larger ones.
	maxDatagram = 8 << 10
	// ringSize covers the datagrams of a full exchange with one peer.
	ringSize = 512
	// socketBuffer holds such an exchange while the process does not run.
	socketBuffer = 1 << 20
	// publishInterval bounds how often a view of thousands of nodes is copied
	// while many records change.
	publishInterval = 20 * time.Millisecond
	leaveRounds     = 3
	leaveInterval   = 100 * time.Millisecond
)

// Service runs the membership of one node.
type Service struct {
	kernel.Base
	// Listen is the UDP address to bind. Datagrams carry its IP number as
	// their source, so it should not be the unspecified address.
	Listen string
	Seeds  []string
	Log    zerolog.Logger

	// ConfigVersion returns the configuration version in force, which rides
	// on every message. Set it before Start; nil means none.
	ConfigVersion func() uint64
	// OnConfigVersion is called when a peer has a higher configuration
	// version, and again about every second until it was announced here. Set
	// it before Start. It may block; versions reported meanwhile are queued.
	OnConfigVersion func(version uint64, from membership.Node)

	// OnSuperseded is called once when a later process under this node's id
	// appears. The others ignore this node from then on. Set it before Start.
	OnSuperseded func(by membership.Node)

	mu        sync.Mutex
	machine   *membership.Machine
	rng       *rand.Rand
	published time.Duration

	view   atomic.Pointer[View]
	conn   *net.UDPConn
	inbox  *kernel.Queue[[]byte]
	outbox *kernel.Queue[membership.Packet]
	events *kernel.Queue[membership.Event]
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a service for a node.
func New(self membership.Node, listen string, seeds []string, log zerolog.Logger) *Service {
	s := &Service{
		Listen: listen, Seeds: seeds, Log: log,
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		// New datagrams are worth more than old ones, as views converge.
		inbox:  kernel.NewQueue[[]byte](ringSize, kernel.DropOldest),
		outbox: kernel.NewQueue[membership.Packet](ringSize, kernel.DropOldest),
		// A dropped report of a version is repeated by the next message.
		events: kernel.NewQueue[membership.Event](16, kernel.DropOldest),
	}
	s.machine = membership.New(self, seeds, kernel.Uptime(), s.rng)
	s.view.Store(newView(s.machine))
	return s
}

// Validate checks what this node announces of itself.
func (s *Service) Validate() error { return s.Self().Validate() }

// View returns the current snapshot.
func (s *Service) View() *View { return s.view.Load() }

// Generation is the generation of the current snapshot.
func (s *Service) Generation() uint64 { return s.View().Generation }

// Self returns what this node announces of itself.
func (s *Service) Self() membership.Node { return s.View().all[0] }

// Nodes returns this node first and then all other live nodes. The slice is
// shared and must not be changed.
func (s *Service) Nodes() []membership.Node { return s.View().Nodes() }

// Node returns a node by id, in any state.
func (s *Service) Node(id string) (membership.Node, bool) { return s.View().Node(id) }

// Update changes what this node announces of itself. A change that could not
// be sent is logged and not made.
func (s *Service) Update(change func(n *membership.Node)) {
	s.with(func(now time.Duration) []membership.Packet {
		packets, err := s.machine.Update(now, s.rng, change)
		if err != nil {
			refusedUpdates.Inc()
			s.Log.Error().Err(err).Msg("change of this node's record refused")
		}
		return packets
	})
}

// ReclaimID claims this node's id back after OnSuperseded. Use it only where no
// other process can run under the id.
func (s *Service) ReclaimID() {
	s.with(func(now time.Duration) []membership.Packet { return s.machine.ReclaimID(now, s.rng) })
}

// AnnounceConfig makes version the configuration version of this node and
// sends it to four random nodes at once.
func (s *Service) AnnounceConfig(version uint64) {
	s.with(func(now time.Duration) []membership.Packet {
		return s.machine.AnnounceConfig(now, s.rng, version)
	})
}

// SetDiscoveredSeeds replaces the gossip addresses to try besides Seeds.
func (s *Service) SetDiscoveredSeeds(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.SetDiscoveredSeeds(addresses)
}

// Leave announces that this node departs. The announcement is repeated, as
// datagrams can be lost, and takes 200 ms. Call it before Stop.
func (s *Service) Leave(ctx context.Context) error {
	for i := range leaveRounds {
		if i > 0 {
			select {
			case <-ctx.Done():
				return fmt.Errorf("leave was announced %d of %d times: %w", i, leaveRounds, ctx.Err())
			case <-time.After(leaveInterval):
			}
		}
		s.with(func(now time.Duration) []membership.Packet { return s.machine.Leave(now, s.rng) })
	}
	return nil
}

// with calls the state machine for a change of this node, publishes the view
// and queues the datagrams.
func (s *Service) with(call func(now time.Duration) []membership.Packet) {
	s.mu.Lock()
	packets := call(kernel.Uptime())
	s.publish(0)
	s.mu.Unlock()
	s.post(packets)
}

// publish swaps the snapshot if the membership changed and the last snapshot
// is older than the given age.
func (s *Service) publish(age time.Duration) {
	now := kernel.Uptime()
	if s.machine.Generation() == s.Generation() || now-s.published < age {
		return
	}
	s.published = now
	s.view.Store(newView(s.machine))
}

func (s *Service) post(packets []membership.Packet) {
	for _, p := range packets {
		s.outbox.Put(p)
	}
}

// Start binds the socket and begins to exchange views.
func (s *Service) Start(context.Context) error {
	addr, err := net.ResolveUDPAddr("udp", s.Listen)
	if err != nil {
		return fmt.Errorf("gossip address %q: %w; use a form like 10.0.0.4:7002", s.Listen, err)
	}
	if s.conn, err = net.ListenUDP("udp", addr); err != nil {
		return fmt.Errorf("listen for gossip: %w", err)
	}
	if err := s.conn.SetReadBuffer(socketBuffer); err != nil {
		s.Log.Warn().Err(err).Msg("gossip socket keeps its default receive buffer")
	}
	if s.Self().GossipAddr == "" {
		s.Update(func(n *membership.Node) { n.GossipAddr = s.conn.LocalAddr().String() })
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for _, duty := range []func(context.Context){s.receive, s.drive, s.transmit, s.report} {
		s.wg.Go(func() { duty(ctx) })
	}
	return nil
}

// Stop ends the exchange without announcing a departure.
func (s *Service) Stop(context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	err := s.conn.Close()
	s.wg.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
