package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"parsleyturn/internal/wire"
)

// Pool dials connections to other nodes and keeps one for each address.
type Pool struct {
	// Hello describes this node to peers.
	Hello func() wire.Hello
	// LocalIP, if set, is the source address of the connections.
	LocalIP  net.IP
	Timeouts Timeouts
	// OnClose, if set, is called when a connection was closed.
	OnClose func(peer wire.Hello, reason error)

	mu     sync.Mutex
	conns  map[string]*pooledConn
	closed bool
}

// pooledConn is the connection to one address.
type pooledConn struct {
	// lock guards conn and is held while dialing. It is acquired by sending a
	// value, so that waiting for it can end with the waiter's context.
	lock chan struct{}
	conn *Conn
}

// Get returns the connection to address and dials if there is no usable one. If
// nodeID is not empty, the peer must be that node.
func (p *Pool) Get(ctx context.Context, address, nodeID string) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if p.conns == nil {
		p.conns = make(map[string]*pooledConn)
	}
	slot := p.conns[address]
	if slot == nil {
		slot = &pooledConn{lock: make(chan struct{}, 1)}
		p.conns[address] = slot
	}
	p.mu.Unlock()

	select {
	case slot.lock <- struct{}{}:
		defer func() { <-slot.lock }()
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the connection to node at %s: %w", address, ctx.Err())
	}
	if slot.conn != nil && slot.conn.Usable() && (nodeID == "" || slot.conn.peer.NodeID == nodeID) {
		return slot.conn, nil
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if nodeID != "" && conn.peer.NodeID != nodeID {
		conn.Close()
		return nil, fmt.Errorf("found node %q at %s, expected %q: %w", conn.peer.NodeID, address, nodeID, ErrWrongPeer)
	}
	slot.conn = conn
	return conn, nil
}

// GetConfirmed is like Get for a call that must not be sent again: the peer has
// responded on the connection lately. A connection without calls can have gone
// silent long ago without an error, so the peer is pinged on it. If no response
// arrives within PingAfter, the peer is slow or the connection is dead: a new
// connection is made, and whichever responds first is used.
func (p *Pool) GetConfirmed(ctx context.Context, address, nodeID string) (*Conn, error) {
	conn, err := p.Get(ctx, address, nodeID)
	if err != nil || conn.heardLately() {
		return conn, err
	}
	pong := conn.nextPong()
	if err := conn.sendControl(wire.TypePing, 0, nil); err != nil {
		return p.Get(ctx, address, nodeID)
	}
	slow := time.NewTimer(p.Timeouts.PingAfter)
	defer slow.Stop()
	select {
	case <-pong:
		return conn, nil
	case <-conn.Done():
		return p.Get(ctx, address, nodeID)
	case <-slow.C:
		return p.replaceUnless(ctx, conn, pong, address, nodeID)
	case <-ctx.Done():
		return nil, fmt.Errorf("confirm the connection to node at %s: %w", address, ctx.Err())
	}
}

// replaceUnless replaces a connection by a new one, unless a pong is received on it
// first.
func (p *Pool) replaceUnless(ctx context.Context, old *Conn, pong <-chan struct{}, address, nodeID string) (*Conn, error) {
	dialed := make(chan error, 1)
	var fresh *Conn
	dialCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		var err error
		fresh, err = p.dial(dialCtx, address)
		dialed <- err
	}()
	select {
	case <-pong:
		cancel()
		if err := <-dialed; err == nil {
			fresh.Close()
		}
		return old, nil
	case err := <-dialed:
		if err != nil {
			return nil, err
		}
	}
	if fresh.peer.NodeID != nodeID && nodeID != "" {
		fresh.Close()
		return nil, fmt.Errorf("found node %q at %s, expected %q: %w", fresh.peer.NodeID, address, nodeID, ErrWrongPeer)
	}
	connsSilent.Inc()
	return p.install(ctx, address, old, fresh)
}

// install puts a new connection in the place of an old one, and returns the one to
// use: another call may have replaced the old one already.
func (p *Pool) install(ctx context.Context, address string, old, fresh *Conn) (*Conn, error) {
	p.mu.Lock()
	slot := p.conns[address]
	p.mu.Unlock()
	if slot == nil { // the pool was closed
		fresh.Close()
		return nil, ErrClosed
	}
	select {
	case slot.lock <- struct{}{}:
		defer func() { <-slot.lock }()
	case <-ctx.Done():
		fresh.Close()
		return nil, fmt.Errorf("wait for the connection to node at %s: %w", address, ctx.Err())
	}
	if slot.conn != old && slot.conn != nil && slot.conn.Usable() {
		fresh.Close()
		return slot.conn, nil
	}
	slot.conn = fresh
	return fresh, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	d := net.Dialer{Timeout: p.Timeouts.HandshakeTimeout}
	if p.LocalIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: p.LocalIP}
	}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial node at %s: %w", address, err)
	}
	c := newConn(nc, true, p.Timeouts, nil)
	// Closing nc ends the handshake when ctx ends, so that a peer that does not
	// respond does not delay the call beyond its deadline.
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	err = c.handshake(p.Hello())
	if !stop() && err == nil {
		// ctx has ended and its AfterFunc closes nc, so the connection must not
		// be used for other calls.
		c.Close()
		err = ctx.Err()
	}
	if err != nil {
		_ = nc.Close()
		return nil, fmt.Errorf("connect to node at %s: %w", address, err)
	}
	if p.OnClose != nil {
		go func() {
			<-c.Done()
			p.OnClose(c.peer, c.Err())
		}()
	}
	return c, nil
}

// Close closes all connections. Later calls of Get fail with ErrClosed.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	conns := p.conns
	p.conns = nil
	p.mu.Unlock()
	for _, slot := range conns {
		slot.lock <- struct{}{}
		if slot.conn != nil {
			slot.conn.Close()
		}
		<-slot.lock
	}
}

// Server accepts connections of other nodes.
type Server struct {
	Hello    func() wire.Hello
	Timeouts Timeouts
	Handler  Handler

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	listener net.Listener
	draining bool
}

// Serve accepts connections until the listener is closed, and then returns nil. Any other
// error of the listener ends it, so the listener has to outlive those that pass (package
// listener).
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.conns = make(map[*Conn]struct{})
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("accept link connection: %w", err)
		}
		go s.serveConn(nc)
	}
}

func (s *Server) serveConn(nc net.Conn) {
	c := newConn(nc, false, s.Timeouts, s.Handler)
	if err := c.handshake(s.Hello()); err != nil {
		framesMalformed.Inc()
		_ = nc.Close()
		return
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	draining := s.draining
	s.mu.Unlock()
	if draining {
		c.GoAway("draining")
	}
	<-c.Done()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// GoAway tells all peers, also those that connect later, to open no more
// streams.
func (s *Server) GoAway(reason string) {
	s.mu.Lock()
	s.draining = true
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.GoAway(reason)
	}
}

// Unfinished returns the number of calls from other nodes whose responses have not
// been written completely. Bytes that are queued for a link count as one call.
func (s *Server) Unfinished() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		n += c.unfinished()
	}
	return n
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}
