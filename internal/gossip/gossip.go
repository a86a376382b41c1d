// Package gossip runs the membership protocol over UDP. Its Service is a kernel
// service around the state machine of package membership.
//
// Nodes, Node and View read an immutable snapshot without locking and are
// suitable for the request path.
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
	// receiveBufferSize exceeds membership.MaxDatagram, so that later versions
	// can send larger datagrams.
	receiveBufferSize = 8 << 10
	// queueCapacity is enough for the datagrams of a full exchange with one
	// peer.
	queueCapacity = 512
	// socketBuffer is enough for a full exchange with one peer while the
	// process is not scheduled.
	socketBuffer = 1 << 20
	// publishInterval limits how often a view of thousands of nodes is copied
	// while many records change.
	publishInterval = 20 * time.Millisecond
	leaveRounds     = 3
	leaveInterval   = 100 * time.Millisecond
)

// Service runs the membership protocol for one node.
type Service struct {
	kernel.Base
	// Listen is the UDP address to bind. It should not be the unspecified
	// address, because its IP address is the source of all datagrams.
	Listen string
	Seeds  []string
	Log    zerolog.Logger

	// ConfigVersion returns the active configuration version, which is sent
	// with every message. Set it before Start; nil means none.
	ConfigVersion func() uint64
	// OnConfigVersion is called when a peer has a higher configuration
	// version, and again about every second until this node announces that
	// version. Set it before Start. It may block; versions reported meanwhile
	// are queued.
	OnConfigVersion func(version uint64, from membership.Node)

	// OnSuperseded is called once for each later process that runs under this
	// node's ID. The other nodes ignore this process from then on. Set it before
	// Start.
	OnSuperseded func(by membership.Node)

	// OnReturned is called with each deposit that another node returns. It may be
	// called more than once, and must not block. Set it before Start.
	OnReturned func(data []byte)

	mu      sync.Mutex
	machine *membership.Machine
	// deposited has a channel for each call of Deposit, by sequence number.
	deposited   map[uint64]chan struct{}
	rng         *rand.Rand
	publishedAt time.Duration

	view   atomic.Pointer[View]
	conn   *net.UDPConn
	inbox  *kernel.Queue[[]byte]
	outbox *kernel.Queue[membership.Packet]
	events *kernel.Queue[membership.Event]
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns the gossip service of a node whose initial record is self.
func New(self membership.Node, listen string, seeds []string, log zerolog.Logger) *Service {
	s := &Service{
		Listen: listen, Seeds: seeds, Log: log,
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		// When a queue is full, the oldest datagrams are dropped, because newer
		// ones carry more recent state.
		inbox:  kernel.NewQueue[[]byte](queueCapacity, kernel.DropOldest),
		outbox: kernel.NewQueue[membership.Packet](queueCapacity, kernel.DropOldest),
		// A dropped ConfigVersion event is reported again with a later message.
		events:    kernel.NewQueue[membership.Event](16, kernel.DropOldest),
		deposited: make(map[uint64]chan struct{}),
	}
	s.machine = membership.New(self, seeds, kernel.Uptime(), s.rng)
	s.view.Store(newView(s.machine))
	return s
}

// Validate checks this node's own record.
func (s *Service) Validate() error { return s.Self().Validate() }

// View returns the current snapshot.
func (s *Service) View() *View { return s.view.Load() }

// Generation returns View.Generation of the current snapshot, a number that
// increases whenever the membership changes.
func (s *Service) Generation() uint64 { return s.View().Generation }

// Self returns this node's own record.
func (s *Service) Self() membership.Node { return s.View().all[0] }

// Nodes returns the live nodes, this node first. The slice is shared and must
// not be modified.
func (s *Service) Nodes() []membership.Node { return s.View().Nodes() }

// Node returns the record of a node by ID, whatever its state.
func (s *Service) Node(id string) (membership.Node, bool) { return s.View().Node(id) }

// Update changes this node's own record and announces it. An invalid change is
// logged and not applied.
func (s *Service) Update(change func(n *membership.Node)) {
	s.updateMachine(func(now time.Duration) []membership.Packet {
		packets, err := s.machine.Update(now, s.rng, change)
		if err != nil {
			refusedUpdates.Inc()
			s.Log.Error().Err(err).Msg("update of this node's membership record rejected")
		}
		return packets
	})
}

// ReclaimID makes other nodes accept this process again after OnSuperseded. Use
// it only where no other process can run under the node's ID.
func (s *Service) ReclaimID() {
	s.updateMachine(func(now time.Duration) []membership.Packet { return s.machine.ReclaimID(now, s.rng) })
}

// AnnounceConfig sets the configuration version of this node. A version higher
// than the previous one is sent at once to four random nodes; others are
// ignored.
func (s *Service) AnnounceConfig(version uint64) {
	s.updateMachine(func(now time.Duration) []membership.Packet {
		return s.machine.AnnounceConfig(now, s.rng, version)
	})
}

// SetDiscoveredSeeds replaces the gossip addresses that are tried in addition
// to Seeds.
func (s *Service) SetDiscoveredSeeds(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.SetDiscoveredSeeds(addresses)
}

// Deposit leaves data with other nodes, which return it to a later process under this
// node's ID; see OnReturned. It returns nil once enough of them hold it, or an error if
// ctx ends before, which it must do.
func (s *Service) Deposit(ctx context.Context, data []byte) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return errors.New("deposit: the context has no deadline")
	}
	done := make(chan struct{})
	s.mu.Lock()
	seq, packets, err := s.machine.Deposit(kernel.Uptime(), s.rng, data, time.Until(deadline))
	if err == nil {
		s.deposited[seq] = done
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.deposited, seq)
	}()
	s.enqueue(packets)
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("too few other nodes hold the deposit: %w", ctx.Err())
	}
}

// reportDeposited ends the call of Deposit with a sequence number.
func (s *Service) reportDeposited(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if done := s.deposited[seq]; done != nil {
		close(done)
		delete(s.deposited, seq)
	}
}

// HandOver gives the deposits of other nodes to nodes that hold them in place of this
// one, three times within 200 ms or until ctx ends. Call it when the node stops.
func (s *Service) HandOver(ctx context.Context) {
	for round := range leaveRounds {
		if round > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(leaveInterval):
			}
		}
		sent := 0
		s.updateMachine(func(now time.Duration) []membership.Packet {
			packets := s.machine.HandOver(now, s.rng)
			sent = len(packets)
			return packets
		})
		if sent == 0 {
			return
		}
	}
}

// Leave announces that this node leaves. Because datagrams can be lost, it sends
// the announcement three times within 200 ms. Call it before Stop.
func (s *Service) Leave(ctx context.Context) error {
	for i := range leaveRounds {
		if i > 0 {
			select {
			case <-ctx.Done():
				return fmt.Errorf("departure of this node was announced %d of %d times: %w", i, leaveRounds, ctx.Err())
			case <-time.After(leaveInterval):
			}
		}
		s.updateMachine(func(now time.Duration) []membership.Packet { return s.machine.Leave(now, s.rng) })
	}
	return nil
}

// updateMachine calls the state machine with the current time, publishes the
// view and queues the datagrams.
func (s *Service) updateMachine(call func(now time.Duration) []membership.Packet) {
	s.mu.Lock()
	packets := call(kernel.Uptime())
	s.publish(0)
	s.mu.Unlock()
	s.enqueue(packets)
}

// publish replaces the snapshot if the membership has changed and the current
// snapshot is at least minAge old.
func (s *Service) publish(minAge time.Duration) {
	now := kernel.Uptime()
	if s.machine.Generation() == s.Generation() || now-s.publishedAt < minAge {
		return
	}
	s.publishedAt = now
	s.view.Store(newView(s.machine))
}

func (s *Service) enqueue(packets []membership.Packet) {
	for _, p := range packets {
		s.outbox.Put(p)
	}
}

// Start binds the socket and starts the goroutines of the service.
func (s *Service) Start(context.Context) error {
	addr, err := net.ResolveUDPAddr("udp", s.Listen)
	if err != nil {
		return fmt.Errorf("gossip address %q: %w; use a form like 10.0.0.4:7002", s.Listen, err)
	}
	if s.conn, err = net.ListenUDP("udp", addr); err != nil {
		return fmt.Errorf("listen for gossip datagrams: %w", err)
	}
	if err := s.conn.SetReadBuffer(socketBuffer); err != nil {
		s.Log.Warn().Err(err).Msg("cannot enlarge the receive buffer of the gossip socket; keeping the default size")
	}
	if s.Self().GossipAddr == "" {
		s.Update(func(n *membership.Node) { n.GossipAddr = s.conn.LocalAddr().String() })
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for _, task := range []func(context.Context){s.receive, s.runMachine, s.transmit, s.runCallbacks} {
		s.wg.Go(func() { task(ctx) })
	}
	return nil
}

// Stop stops the service without announcing that the node leaves.
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
