// Package callerconn keeps the connections of a server's clients within its share of
// descriptors. It closes idle connections first, the longest idle first, and has new ones
// refused when there are none (package connlimit). It applies the timeouts and the limit
// for heads that are in force, also after they have changed.
package callerconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"parsleyturn/internal/connlimit"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/listener"
)

const (
	sweepInterval = 250 * time.Millisecond
	// roomInterval is the interval at which a listener without room checks whether a
	// lowered limit has ended.
	roomInterval = 20 * time.Millisecond
	// headSlack is the number of bytes that may be read ahead of the end of a head.
	headSlack = 4 << 10
)

// Errors of Begin and Check.
var (
	// ErrRefused means that there are too many connections, and that the request must
	// be refused.
	ErrRefused = errors.New("the node has too many connections; try again later")
	// ErrClosed means that the connection was closed before the request was read.
	ErrClosed = errors.New("the connection was closed for others that were not idle")
	// ErrLeft means that the client has closed the connection.
	ErrLeft = errors.New("the client has closed its connection")
)

// Limits are the limits of connections that may change while the server runs. A value
// of 0 means none.
type Limits struct {
	// IdleTimeout is the time without a request after which a connection is closed,
	// and HeaderTimeout the time in which a head must be received.
	IdleTimeout, HeaderTimeout time.Duration
	// MaxHeadBytes bounds the head of a request.
	MaxHeadBytes int
}

// Options configures a Listener.
type Options struct {
	// Name tells the listener in metrics and logs.
	Name  string
	Limit connlimit.Config
	// Limits returns the limits in force.
	Limits func() Limits
	Log    zerolog.Logger
}

// Listener accepts the connections of clients for an http.Server.
type Listener struct {
	base    *listener.Listener
	options Options
	refused *metrics.Counter
	// closedFor counts the connections that were closed, by the reason.
	closedFor struct{ others, idle, header, head *metrics.Counter }
	sweeper   kernel.Worker

	mu      sync.Mutex
	room    *sync.Cond
	limiter *connlimit.Limiter
	closed  bool
	// refusing is set during a spell in which connections are refused.
	refusing bool
}

// New returns a Listener that accepts the connections of base.
func New(base *listener.Listener, o Options) *Listener {
	l := &Listener{base: base, options: o, limiter: connlimit.New(o.Limit)}
	l.room = sync.NewCond(&l.mu)
	base.OnShort = l.handleShortage
	l.refused = metrics.GetOrCreateCounter(fmt.Sprintf(`parsley_connections_refused_total{listener=%q}`, o.Name))
	closed := func(why string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf(`parsley_connections_closed_total{listener=%q,why=%q}`, o.Name, why))
	}
	l.closedFor.others, l.closedFor.idle, l.closedFor.header, l.closedFor.head = closed("others"), closed("idle"), closed("header"), closed("head_size")
	registerGauges(l)
	l.sweeper.StartPeriodic(sweepInterval, l.sweep)
	return l
}

// Attach makes a server report the state of the listener's connections.
func (l *Listener) Attach(s *http.Server) {
	s.ConnState = l.setState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
}

// Accept waits until there is room for a connection, and accepts it.
func (l *Listener) Accept() (net.Conn, error) {
	if err := l.awaitRoom(); err != nil {
		return nil, err
	}
	nc, err := l.base.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, listener: l}
	c.allowHead()
	l.mu.Lock()
	entry, idle := l.limiter.Open(kernel.Uptime(), c)
	c.entry = entry
	l.noteRefusal(entry.Refused())
	l.mu.Unlock()
	if idle != nil {
		l.closeConn(idle, l.closedFor.others)
	}
	return c, nil
}

// noteRefusal counts refusals, and logs the start and the end of a spell of them. l.mu
// must be held.
func (l *Listener) noteRefusal(refused bool) {
	if refused {
		l.refused.Inc()
	}
	if refused == l.refusing {
		return
	}
	l.refusing = refused
	open, idle, refusals := l.limiter.Counts()
	l.options.Log.Warn().Str("event", "connections-refused").Str("listener", l.options.Name).Bool("refusing", refused).Int("open", open).Int("idle", idle).Int("refused", refusals).
		Int("limit", l.options.Limit.Limit).Msg("connections beyond the share of descriptors are refused, or no longer are")
}

func (l *Listener) awaitRoom() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && !l.limiter.CanOpen(kernel.Uptime()) {
		timer := time.AfterFunc(roomInterval, l.room.Broadcast)
		l.room.Wait()
		timer.Stop()
	}
	if l.closed {
		return net.ErrClosed
	}
	return nil
}

// Close closes the listener. Its connections stay open.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.room.Broadcast()
	l.mu.Unlock()
	return l.base.Close()
}

// Stop ends the supervision of the connections, which must all be closed.
func (l *Listener) Stop() { l.sweeper.Stop() }

// Addr returns the address of the listener.
func (l *Listener) Addr() net.Addr { return l.base.Addr() }

func (l *Listener) closeConn(entry *connlimit.Conn, why *metrics.Counter) {
	why.Inc()
	_ = entry.Value.(*Conn).Conn.Close()
}

// handleShortage closes idle connections when the process has no descriptor left.
func (l *Listener) handleShortage() {
	l.mu.Lock()
	idle := l.limiter.OutOfDescriptors(kernel.Uptime())
	l.mu.Unlock()
	for _, c := range idle {
		l.closeConn(c, l.closedFor.others)
	}
}

// sweep closes the connections whose timeouts have passed.
func (l *Listener) sweep() {
	limits := l.options.Limits()
	now := kernel.Uptime()
	l.mu.Lock()
	idle := l.limiter.Expire(now, limits.IdleTimeout, 0)
	late := l.limiter.Expire(now, 0, limits.HeaderTimeout)
	if len(idle)+len(late) > 0 {
		l.room.Broadcast()
	}
	l.mu.Unlock()
	for _, c := range idle {
		l.closeConn(c, l.closedFor.idle)
	}
	for _, c := range late {
		l.closeConn(c, l.closedFor.header)
	}
}

// setState implements http.Server.ConnState.
func (l *Listener) setState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	now := kernel.Uptime()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateActive:
		l.limiter.Reading(now, c.entry)
	case http.StateIdle:
		c.allowHead()
		l.limiter.Idle(now, c.entry)
	case http.StateHijacked, http.StateClosed:
		l.limiter.Close(c.entry)
		l.room.Broadcast()
	}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// Begin must be called when the head of a request has been read. After an error, the
// request must not be served; ErrRefused allows a response.
func Begin(ctx context.Context) error {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return nil // of a server without a Listener, as in tests
	}
	c.headLeft.Store(unlimited)
	l := c.listener
	l.mu.Lock()
	serve := l.limiter.Serving(kernel.Uptime(), c.entry)
	l.mu.Unlock()
	switch {
	case !serve:
		return ErrClosed
	case c.entry.Refused():
		return ErrRefused
	}
	return nil
}

// Handler serves the requests of connections within the share with h, and refuses others
// with 503.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := Begin(r.Context())
		switch {
		case errors.Is(err, ErrClosed):
			panic(http.ErrAbortHandler)
		case err != nil:
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// Check returns ErrLeft if the client has closed the connection of a request. A client
// may leave while its connection waits to be accepted, or its request to be read.
func Check(ctx context.Context) error {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok && c.hasLeft() {
		return ErrLeft
	}
	return nil
}

// KeepAlive reports whether the connection of a request may be kept after the response.
func KeepAlive(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return true
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.listener.limiter.KeepAlive(kernel.Uptime(), c.entry)
}

// hasLeft reports whether the peer has closed the connection and nothing is left to
// read.
func (c *Conn) hasLeft() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	// Control does not wait for the read that the server has begun in the background.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return left || err != nil
}
