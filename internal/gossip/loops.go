package gossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyturn/internal/kernel"
	"parsleyturn/internal/membership"
)

var (
	malformed       = metrics.NewCounter(`parsley_gossip_malformed_total`)
	readErrors      = metrics.NewCounter(`parsley_gossip_read_errors_total`)
	sendErrors      = metrics.NewCounter(`parsley_gossip_send_errors_total`)
	droppedReceived = metrics.NewCounter(`parsley_gossip_dropped_total{ring="received"}`)
	droppedSent     = metrics.NewCounter(`parsley_gossip_dropped_total{ring="sent"}`)
	droppedEvents   = metrics.NewCounter(`parsley_gossip_dropped_total{ring="events"}`)
	sentBytes       = metrics.NewCounter(`parsley_gossip_sent_bytes_total`)
	sentDatagrams   = metrics.NewCounter(`parsley_gossip_sent_datagrams_total`)
	receivedBytes   = metrics.NewCounter(`parsley_gossip_received_bytes_total`)
	receivedCount   = metrics.NewCounter(`parsley_gossip_received_datagrams_total`)
	refusedUpdates  = metrics.NewCounter(`parsley_gossip_refused_updates_total`)
	pauses          = metrics.NewCounter(`parsley_gossip_pauses_total`)
	stateChanges    = [...]*metrics.Counter{
		membership.Alive:   metrics.NewCounter(`parsley_gossip_state_changes_total{state="alive"}`),
		membership.Suspect: metrics.NewCounter(`parsley_gossip_state_changes_total{state="suspect"}`),
		membership.Lost:    metrics.NewCounter(`parsley_gossip_state_changes_total{state="lost"}`),
		membership.Left:    metrics.NewCounter(`parsley_gossip_state_changes_total{state="left"}`),
	}
)

// receive queues the datagrams read from the socket.
func (s *Service) receive(ctx context.Context) {
	buf := make([]byte, receiveBufferSize)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			readErrors.Inc()
			select {
			case <-ctx.Done():
				return
			case <-time.After(membership.TickInterval): // avoids a busy loop if the error persists
			}
			continue
		}
		receivedBytes.Add(n)
		receivedCount.Inc()
		s.inbox.Put(slices.Clone(buf[:n]))
	}
}

// runMachine passes received datagrams and ticks to the state machine.
func (s *Service) runMachine(ctx context.Context) {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	var reported [3]uint64
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-s.inbox.Items():
			s.handleDatagram(data)
		case <-ticker.C:
			s.tick()
			s.countDropped(&reported)
		}
	}
}

func (s *Service) handleDatagram(data []byte) {
	s.mu.Lock()
	packets, err := s.machine.Receive(kernel.Uptime(), s.rng, data)
	events := s.machine.Events()
	s.publish(publishInterval)
	s.mu.Unlock()
	if err != nil {
		malformed.Inc()
		return
	}
	s.enqueue(packets)
	s.handleEvents(events)
}

func (s *Service) tick() {
	kernel.ObserveSuspension()
	var version uint64
	if s.ConfigVersion != nil {
		version = s.ConfigVersion()
	}
	s.mu.Lock()
	now := kernel.Uptime()
	packets := s.machine.Tick(now, s.rng)
	packets = append(packets, s.machine.AnnounceConfig(now, s.rng, version)...)
	events := s.machine.Events()
	s.publish(0)
	s.mu.Unlock()
	s.enqueue(packets)
	s.handleEvents(events)
}

func (s *Service) countDropped(reported *[3]uint64) {
	dropped := [...]uint64{s.inbox.Dropped(), s.outbox.Dropped(), s.events.Dropped()}
	for i, c := range [...]*metrics.Counter{droppedReceived, droppedSent, droppedEvents} {
		c.Add(int(dropped[i] - reported[i]))
		reported[i] = dropped[i]
	}
}

// handleEvents logs events, counts pauses and state changes, and queues events
// for the callbacks. All lost nodes share one log line, and so do the nodes that
// became alive or left, because the loss of a region would produce thousands of
// lines.
func (s *Service) handleEvents(events []membership.Event) {
	var lost, changed []string
	for _, e := range events {
		switch e.Kind {
		case membership.ConfigVersion:
			s.events.Put(e)
		case membership.Superseded:
			s.events.Put(e)
			s.Log.Error().Uint64("incarnation", e.Node.Incarnation).Msg("a later process runs under this node's id; stop this process or give it another id")
		case membership.Deposited:
			s.reportDeposited(e.Version)
		case membership.Returned:
			if s.OnReturned != nil {
				s.OnReturned(e.Data)
			}
		case membership.Resumed:
			pauses.Inc()
			s.Log.Warn().Msg("this process was paused; suspicion timeouts are extended by the pause")
		case membership.StateChanged:
			stateChanges[e.Node.State].Inc()
			switch e.Node.State {
			case membership.Lost:
				lost = append(lost, e.Node.ID)
			case membership.Alive, membership.Left:
				changed = append(changed, e.Node.ID+" "+e.Node.State.String())
			}
		}
	}
	const listed = 5
	if len(lost) > 0 {
		s.Log.Warn().Int("count", len(lost)).Strs("nodes", lost[:min(listed, len(lost))]).Msg("nodes lost")
	}
	if len(changed) > 0 {
		s.Log.Info().Int("count", len(changed)).Strs("nodes", changed[:min(listed, len(changed))]).Msg("nodes changed state")
	}
}

// transmit writes the queued datagrams to the socket.
func (s *Service) transmit(ctx context.Context) {
	for {
		p, ok := s.outbox.Get(ctx)
		if !ok {
			return
		}
		to, err := netip.ParseAddrPort(p.To)
		if err == nil {
			_, err = s.conn.WriteToUDPAddrPort(p.Data, to)
		}
		if err != nil {
			sendErrors.Inc()
			continue
		}
		sentBytes.Add(len(p.Data))
		sentDatagrams.Inc()
	}
}

// runCallbacks calls OnConfigVersion and OnSuperseded for queued events. The
// callbacks may block.
func (s *Service) runCallbacks(ctx context.Context) {
	for {
		e, ok := s.events.Get(ctx)
		if !ok {
			return
		}
		switch {
		case e.Kind == membership.ConfigVersion && s.OnConfigVersion != nil:
			s.OnConfigVersion(e.Version, e.Node)
		case e.Kind == membership.Superseded && s.OnSuperseded != nil:
			s.OnSuperseded(e.Node)
		}
	}
}
