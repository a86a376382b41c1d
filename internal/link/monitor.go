package link

import (
	"sync"
	"time"

	"parsleyturn/internal/wire"
)

// monitorInterval is the time between two checks of all connections. It is half
// of the shortest PingAfter that nodes use, 300 ms.
const monitorInterval = 150 * time.Millisecond

// connMonitor enforces the timeouts of all connections of the process with a
// single timer. One timer per connection caused most of the wake-ups of a node
// with hundreds of connections.
var connMonitor monitor

type monitor struct {
	mu      sync.Mutex
	conns   map[*Conn]*monitoredConn
	running bool
}

type monitoredConn struct {
	// lastActive is the time of the last check that found open streams, or the
	// time of add.
	lastActive time.Time
}

// add monitors a connection until it is closed.
func (m *monitor) add(c *Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conns == nil {
		m.conns = make(map[*Conn]*monitoredConn)
	}
	m.conns[c] = &monitoredConn{lastActive: time.Now()}
	if !m.running {
		m.running = true
		go m.run()
	}
}

// run checks the connections until none is left.
func (m *monitor) run() {
	last := time.Now()
	for {
		time.Sleep(monitorInterval)
		now := time.Now()
		elapsed := now.Sub(last)
		last = now
		m.mu.Lock()
		for c, w := range m.conns {
			if c.Err() != nil {
				delete(m.conns, c)
				continue
			}
			c.check(w, now, elapsed)
		}
		if len(m.conns) == 0 {
			m.running = false
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
	}
}

// check closes a connection with open streams if nothing was received for
// PeerTimeout, and pings the peer if nothing was received for PingAfter. It
// closes a connection without streams after IdleTimeout if this side dialed it.
// elapsed is the time since the last check.
func (c *Conn) check(m *monitoredConn, now time.Time, elapsed time.Duration) {
	if elapsed > c.timeouts.PingAfter*2 {
		c.restartTimeouts() // this process was paused; give the peer time to respond
	}
	c.mu.Lock()
	open := len(c.streams)
	c.mu.Unlock()
	if open == 0 {
		if c.client && now.Sub(m.lastActive) > c.timeouts.IdleTimeout {
			c.close(ErrIdle)
		}
		return
	}
	m.lastActive = now
	switch silence := c.sinceTimeoutStart(); {
	case silence > c.timeouts.PeerTimeout:
		connsSilent.Inc()
		c.close(ErrPeerTimeout)
	case silence > c.timeouts.PingAfter:
		_ = c.sendControl(wire.TypePing, 0, nil) // on an error the connection is closed, which the next check finds
	}
}
