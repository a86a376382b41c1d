// Package link multiplexes calls between two nodes over one TCP connection.
//
// The dialing side opens streams; the accepting side serves them. Bodies are
// split into chunks, and the writer sends one chunk of each stream in turn, so
// that a large download does not delay a short response. If streams are open and
// the peer sends nothing, not even responses to pings, the connection is closed.
package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyturn/internal/bytebudget"
	"parsleyturn/internal/wire"
)

// Limits of a connection.
const (
	// streamWindow is the number of body bytes that a sender may send before
	// the receiver grants more.
	streamWindow = 256 << 10
	// maxPending bounds the body bytes that a stream buffers for the writer.
	maxPending = 64 << 10
	// maxControl bounds the queued bytes of control frames and short bodies. A
	// connection whose peer reads too slowly to stay below it is closed.
	maxControl = 4 << 20
	// maxControlTotal bounds these bytes of all connections of the process. Beyond it,
	// a connection may have maxControlShare.
	maxControlTotal = 16 << 20
	maxControlShare = 64 << 10
	// maxKeptBuffer is the size of the largest write buffers that a connection keeps.
	maxKeptBuffer = 64 << 10
	// readBuffer is the size in bytes of the receive buffer. It holds several
	// short messages and is kept small, because it is allocated for each
	// connection, of which a node can have hundreds.
	readBuffer = 8 << 10
	// maxStreams bounds the open streams of one connection.
	maxStreams = 65536
	// maxUnread bounds the body bytes of all connections of the process that were
	// received and not read. A body beyond it is given up. It holds the windows of 96
	// bodies whose readers are slow.
	maxUnread = 96 * streamWindow
	// maxServed bounds the memory of all requests that are being served, besides their
	// bodies. Others are refused.
	maxServed = 8 << 20
	// servedStreamSize is the memory of a request besides its message, and headerSize
	// that of a header field besides its texts.
	servedStreamSize = 4 << 10
	headerSize       = 48
)

// queuedControl is the number of bytes that maxControlTotal bounds.
var queuedControl atomic.Int64

// unread and served count what maxUnread and maxServed bound.
var unread, served = bytebudget.New(maxUnread), bytebudget.New(maxServed)

// Timeouts are the timeouts of a connection. All must be set; DefaultTimeouts
// returns the defaults.
type Timeouts struct {
	// PingAfter is the time without data from the peer after which pings are
	// sent while streams are open. Default 500 ms.
	PingAfter time.Duration
	// PeerTimeout is the time without data from the peer after which a
	// connection with open streams is closed. Default 1.5 s.
	PeerTimeout time.Duration
	// IdleTimeout is the time without streams after which the dialing side
	// closes the connection. Default 60 s.
	IdleTimeout time.Duration
	// HandshakeTimeout bounds dialing and, separately, the exchange of Hello.
	// Default 1 s.
	HandshakeTimeout time.Duration
}

func DefaultTimeouts() Timeouts {
	return Timeouts{PingAfter: 500 * time.Millisecond, PeerTimeout: 1500 * time.Millisecond, IdleTimeout: time.Minute, HandshakeTimeout: time.Second}
}

// Errors of a connection.
var (
	ErrPeerTimeout    = errors.New("nothing received from the peer within the timeout; retry the call on a new connection if it is idempotent")
	ErrIdle           = errors.New("connection closed after the idle timeout")
	ErrClosed         = errors.New("connection closed; open a new one")
	ErrGoAway         = errors.New("the peer accepts no new streams; use another node")
	ErrTooManyStreams = fmt.Errorf("more than %d open streams on one connection; reduce the load", maxStreams)
	errProtocol       = errors.New("protocol violation; check that both nodes run compatible versions")
	// ErrUnread means that a body was given up because too many received bytes wait
	// for slow readers.
	ErrUnread    = errors.New("too many received bytes wait for slow readers; try again later")
	errSlowPeer  = errors.New("peer reads control messages too slowly; connection closed")
	ErrWrongPeer = errors.New("wrong node at this address; refresh the membership")
)

var (
	connsClosed     = metrics.NewCounter(`parsley_link_connections_closed_total`)
	connsSilent     = metrics.NewCounter(`parsley_link_connections_silent_total`)
	framesMalformed = metrics.NewCounter(`parsley_link_frames_malformed_total`)
	bytesSent       = metrics.NewCounter(`parsley_link_sent_bytes_total`)
	bytesRecv       = metrics.NewCounter(`parsley_link_received_bytes_total`)
	bodiesGivenUp   = metrics.NewCounter(`parsley_link_bodies_given_up_total`)
	_               = metrics.NewGauge(`parsley_link_unread_bytes`, func() float64 { return float64(unread.Used()) })
	_               = metrics.NewGauge(`parsley_link_served_bytes`, func() float64 { return float64(served.Used()) })
	messagesInvalid = metrics.NewCounter(`parsley_link_messages_invalid_total`)
	lateMessages    = metrics.NewCounter(`parsley_link_late_messages_total`)
)

// Handler serves a stream of an accepted connection. Each call runs in its own
// goroutine.
type Handler func(s *Stream)

// Conn is one connection between two nodes.
type Conn struct {
	nc       net.Conn
	client   bool // this side dialed
	peer     wire.Hello
	timeouts Timeouts
	handler  Handler

	// timeoutStart is when the time that counts towards PingAfter and PeerTimeout
	// began, in µs since start.
	timeoutStart atomic.Int64
	start        time.Time
	// receivedAt is when something was last received, in µs since start.
	receivedAt atomic.Int64
	goAway     atomic.Bool   // the peer accepts no more streams
	wake       chan struct{} // wakes writeLoop
	done       chan struct{} // closed with the connection

	mu      sync.Mutex
	control []byte    // queued control frames and short bodies
	ready   []*Stream // streams with a chunk or END to send
	// pongQueued is set while control has a PONG.
	pongQueued bool
	// writing is set while a batch is written to the connection.
	writing bool
	streams map[uint32]*Stream
	lastID  uint32 // of the stream that was opened or accepted last
	err     error  // reason why the connection was closed
	// pong, if not nil, is closed and cleared when a pong is received.
	pong chan struct{}
}

func newConn(nc net.Conn, client bool, timeouts Timeouts, h Handler) *Conn {
	c := &Conn{
		nc: nc, client: client, timeouts: timeouts, handler: h, start: time.Now(),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
		streams: make(map[uint32]*Stream),
	}
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetNoDelay(true) // Nagle's algorithm can delay a chunk by up to 40 ms
	}
	return c
}

// handshake exchanges Hello, starts the goroutines that read and write, and
// registers the connection with the monitor.
func (c *Conn) handshake(local wire.Hello) error {
	_ = c.nc.SetDeadline(time.Now().Add(c.timeouts.HandshakeTimeout))
	hello, err := wire.AppendMessage(nil, wire.TypeHello, 0, &local)
	if err != nil {
		return err
	}
	if _, err := c.nc.Write(hello); err != nil {
		return fmt.Errorf("send HELLO: %w", err)
	}
	r := wire.NewReader(bufio.NewReaderSize(c.nc, readBuffer))
	f, err := r.Next()
	if err != nil {
		return fmt.Errorf("receive HELLO: %w", err)
	}
	if f.Type != wire.TypeHello {
		return fmt.Errorf("first frame is %s instead of HELLO: %w", f.Type, errProtocol)
	}
	if err := wire.Decode(f, &c.peer); err != nil {
		return err
	}
	if c.peer.Protocol != wire.ProtocolVersion {
		return fmt.Errorf("peer %q speaks protocol %d and not %d: %w", c.peer.NodeID, c.peer.Protocol, wire.ProtocolVersion, errProtocol)
	}
	_ = c.nc.SetDeadline(time.Time{})
	c.recordReceived()
	go c.readLoop(r)
	go c.writeLoop()
	connMonitor.add(c)
	return nil
}

// Peer returns the Hello that the peer sent.
func (c *Conn) Peer() wire.Hello { return c.peer }

// Err returns the reason why the connection was closed, or nil if it is open.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Usable reports whether new streams can be opened.
func (c *Conn) Usable() bool { return !c.goAway.Load() && c.Err() == nil }

// Open starts a call with the given body, which may be nil. If bodyFollows is
// set, the caller sends the rest of the body with Write and ends it with
// Finish.
func (c *Conn) Open(ctx context.Context, req *wire.Request, body []byte, bodyFollows bool) (*Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkCanOpen(); err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	// The ID is assigned and the head queued under the same lock, because the
	// peer accepts only increasing IDs.
	c.lastID++
	s := newStream(ctx, c, c.lastID)
	head := *req
	head.HasBody = bodyFollows || len(body) > 0
	s.Request = head
	if len(c.streams) == 0 {
		c.restartTimeouts() // the idle time before this call does not count towards PeerTimeout
	}
	if err := s.queueComplete(wire.TypeRequest, &head, body, wire.End{Length: int64(len(body))}, bodyFollows); err != nil {
		return nil, err
	}
	c.streams[s.id] = s
	return s, nil
}

// checkCanOpen returns the reason why no stream can be opened, or nil. c.mu must
// be held.
func (c *Conn) checkCanOpen() error {
	switch {
	case c.err != nil:
		return c.err
	case c.goAway.Load():
		return ErrGoAway
	case len(c.streams) >= maxStreams:
		return ErrTooManyStreams
	case c.lastID == ^uint32(0):
		c.goAway.Store(true) // stream IDs are never reused
		return ErrGoAway
	}
	return nil
}

// sendControl locks c.mu and queues a control frame.
func (c *Conn) sendControl(t wire.Type, stream uint32, msg any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queueControl(t, stream, msg)
}

// queueControl queues a control frame; msg may be nil. c.mu must be held.
func (c *Conn) queueControl(t wire.Type, stream uint32, msg any) error {
	if c.err != nil {
		return c.err
	}
	if len(c.control) > maxControl || len(c.control) > maxControlShare && queuedControl.Load() > maxControlTotal {
		go c.close(errSlowPeer)
		return errSlowPeer
	}
	defer c.countControl(len(c.control))
	var err error
	if msg == nil {
		c.control = wire.AppendHeader(c.control, t, stream, 0)
	} else if c.control, err = wire.AppendMessage(c.control, t, stream, msg); err != nil {
		return err
	}
	c.signal()
	return nil
}

// countControl counts the bytes that were added to c.control since it had the given
// length. c.mu must be held.
func (c *Conn) countControl(before int) { queuedControl.Add(int64(len(c.control) - before)) }

// sendPong queues a PONG, unless the last one has not been sent yet.
func (c *Conn) sendPong() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pongQueued {
		return nil
	}
	c.pongQueued = true
	return c.queueControl(wire.TypePong, 0, nil)
}

func (c *Conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// writeLoop sends queued frames until the connection is closed.
func (c *Conn) writeLoop() {
	var batch []byte
	for {
		select {
		case <-c.wake:
		case <-c.done:
			return
		}
		for {
			if cap(batch) > maxKeptBuffer {
				batch = nil
			}
			var control int
			batch, control = c.nextBatch(batch[:0])
			if len(batch) == 0 {
				break
			}
			_, err := c.nc.Write(batch)
			queuedControl.Add(-int64(control))
			if err != nil {
				c.close(fmt.Errorf("write to node %q: %w", c.peer.NodeID, err))
				return
			}
			bytesSent.Add(len(batch))
		}
	}
}

// nextBatch appends all queued control frames and one chunk of each ready
// stream to batch, and returns the number of bytes of the former.
func (c *Conn) nextBatch(batch []byte) ([]byte, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	control := len(c.control)
	batch = append(batch, c.control...)
	if c.control = c.control[:0]; cap(c.control) > maxKeptBuffer {
		c.control = nil
	}
	c.pongQueued = false
	ready := c.ready
	c.ready = nil
	for _, s := range ready {
		batch = s.takeChunk(batch)
	}
	c.writing = len(batch) > 0
	return batch, control
}

// unfinished returns the number of open streams, or 1 if there are none and bytes
// are still to be written.
func (c *Conn) unfinished() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.err != nil:
		return 0
	case len(c.streams) == 0 && (c.writing || len(c.control) > 0 || len(c.ready) > 0):
		return 1
	}
	return len(c.streams)
}

// restartTimeouts restarts the time that counts towards PingAfter and PeerTimeout.
func (c *Conn) restartTimeouts() { c.timeoutStart.Store(time.Since(c.start).Microseconds()) }

func (c *Conn) recordReceived() {
	c.receivedAt.Store(time.Since(c.start).Microseconds())
	c.restartTimeouts()
}

// heardLately reports whether something was received within PeerTimeout.
func (c *Conn) heardLately() bool {
	return time.Since(c.start)-time.Duration(c.receivedAt.Load())*time.Microsecond <= c.timeouts.PeerTimeout
}

// nextPong returns a channel that is closed when the next pong is received.
func (c *Conn) nextPong() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pong == nil {
		c.pong = make(chan struct{})
	}
	return c.pong
}

func (c *Conn) notifyPong() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pong != nil {
		close(c.pong)
		c.pong = nil
	}
}

func (c *Conn) sinceTimeoutStart() time.Duration {
	return time.Since(c.start) - time.Duration(c.timeoutStart.Load())*time.Microsecond
}

// GoAway tells the peer to open no more streams. Open streams continue.
func (c *Conn) GoAway(reason string) {
	_ = c.sendControl(wire.TypeGoAway, 0, &wire.GoAway{Reason: reason})
}

// Close closes the connection; its open streams fail with ErrClosed.
func (c *Conn) Close() { c.close(ErrClosed) }

func (c *Conn) close(reason error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = reason
	queuedControl.Add(-int64(len(c.control)))
	c.control = nil
	streams := c.streams
	c.streams = make(map[uint32]*Stream)
	c.mu.Unlock()
	connsClosed.Inc()
	close(c.done)
	_ = c.nc.Close()
	for _, s := range streams {
		s.fail(reason)
	}
}

// Done returns a channel that is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }
