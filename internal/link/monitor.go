package link

import (
	"sync"
	"time"

	"parsleyturn/internal/wire"
)

// monitorInterval is the time between two looks at all connections. It is half
// of the shortest silence after which a peer is pinged.
const monitorInterval = 150 * time.Millisecond

// monitors notices silence and idleness of all connections of the process. A
// timer for each connection took most of the wake-ups of a node with hundreds
// of them.
var monitors monitor

type monitor struct {
	mu      sync.Mutex
	conns   map[*Conn]*watched
	running bool
}

// watched is what the monitor remembers of a connection.
type watched struct {
	idleSince time.Time
}

// add watches a connection until it ends.
func (m *monitor) add(c *Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conns == nil {
		m.conns = make(map[*Conn]*watched)
	}
	m.conns[c] = &watched{idleSince: time.Now()}
	if !m.running {
		m.running = true
		go m.run()
	}
}

// run looks at the connections until none is left.
func (m *monitor) run() {
	last := time.Now()
	for {
		time.Sleep(monitorInterval)
		now := time.Now()
		paused := now.Sub(last)
		last = now
		m.mu.Lock()
		for c, w := range m.conns {
			if c.Err() != nil {
				delete(m.conns, c)
				continue
			}
			c.check(w, now, paused)
		}
		if len(m.conns) == 0 {
			m.running = false
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
	}
}

// check closes the connection if its peer is silent or it was idle for too
// long, and pings a peer that may be silent. paused is the time since the last
// check.
func (c *Conn) check(w *watched, now time.Time, paused time.Duration) {
	if paused > c.timing.PingAfter*2 {
		c.touch() // this process was paused; give the peer time to be heard
	}
	c.mu.Lock()
	open := len(c.streams)
	c.mu.Unlock()
	if open == 0 {
		if c.client && now.Sub(w.idleSince) > c.timing.IdleTimeout {
			c.close(ErrIdle)
		}
		return
	}
	w.idleSince = now
	switch silent := c.silence(); {
	case silent > c.timing.PeerTimeout:
		connsSilent.Inc()
		c.close(ErrPeerTimeout)
	case silent > c.timing.PingAfter:
		_ = c.sendControl(wire.TypePing, 0, nil) // an error ends the connection, which the next check sees
	}
}
