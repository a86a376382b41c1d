package callerconn

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"parsleyturn/internal/connlimit"
)

// Values of headLeft.
const (
	// unlimited: no head is being read.
	unlimited = -1
	// exceeded: the head was too large, and the client has been told.
	exceeded = -2
)

var errHeadTooLarge = errors.New("the head of the request is too large")

// headTooLarge is the response to a request whose head is too large.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Conn is the connection of a client.
type Conn struct {
	net.Conn
	listener *Listener
	entry    *connlimit.Conn
	// headLeft is the number of bytes that may still be read of a head.
	headLeft atomic.Int64
}

// allowHead starts to count the bytes of a head.
func (c *Conn) allowHead() {
	c.headLeft.Store(unlimited)
	if n := c.listener.options.Limits().MaxHeadBytes; n > 0 {
		c.headLeft.Store(int64(n + headSlack))
	}
}

// Read reads from the connection. A head that is too large is answered here, as the
// server would have kept all of it.
func (c *Conn) Read(p []byte) (int, error) {
	left := c.headLeft.Load()
	if left == 0 || left == exceeded {
		if c.headLeft.CompareAndSwap(0, exceeded) {
			c.listener.closedFor.head.Inc()
			_, _ = c.Conn.Write([]byte(headTooLarge))
		}
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeadTooLarge} // net/http answers other errors
	}
	if left > 0 {
		p = p[:min(int64(len(p)), left)]
	}
	n, err := c.Conn.Read(p)
	if left > 0 {
		// Begin may have ended the head meanwhile.
		c.headLeft.CompareAndSwap(left, left-int64(n))
	}
	return n, err
}

// CloseWrite ends the output, so that a peer that still sends can read the response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// gauges has the listener that each set of gauges describes. A process has one for each
// name, but for tests.
var (
	gaugesMu sync.Mutex
	gauges   = map[string]*Listener{}
)

// registerGauges makes the gauges of a listener's name describe it.
func registerGauges(l *Listener) {
	gaugesMu.Lock()
	defer gaugesMu.Unlock()
	name := l.options.Name
	_, registered := gauges[name]
	gauges[name] = l
	if registered {
		return
	}
	count := func(of func(open, idle, refused int) int) func() float64 {
		return func() float64 {
			gaugesMu.Lock()
			l := gauges[name]
			gaugesMu.Unlock()
			l.mu.Lock()
			defer l.mu.Unlock()
			return float64(of(l.limiter.Counts()))
		}
	}
	gauge := func(state string, of func(open, idle, refused int) int) {
		metrics.NewGauge(fmt.Sprintf(`parsley_connections{listener=%q,state=%q}`, name, state), count(of))
	}
	gauge("open", func(open, _, _ int) int { return open })
	gauge("idle", func(_, idle, _ int) int { return idle })
	gauge("refused", func(_, _, refused int) int { return refused })
	metrics.NewGauge(fmt.Sprintf(`parsley_connections_limit{listener=%q}`, name), func() float64 {
		gaugesMu.Lock()
		defer gaugesMu.Unlock()
		return float64(gauges[name].options.Limit.Limit)
	})
}
