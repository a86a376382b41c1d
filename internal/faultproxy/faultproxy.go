// Package faultproxy relays TCP connections and UDP datagrams between the
// processes of a test and injects faults by source and destination.
//
// It is for tests only. Existing proxies configure faults per listener, which
// does not suffice: nodes advertise one address to all peers, so a network
// partition between two availability zones needs rules by source, and gossip
// uses UDP.
package faultproxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Rule sets the faults for traffic in one direction.
type Rule struct {
	// Drop discards datagrams and stalls connections while it is set. When
	// the rule is cleared, a stalled connection resumes without loss of data,
	// as TCP does after a partition.
	Drop bool
	// Delay is the additional one-way latency of data and datagrams.
	Delay time.Duration
	// Loss is the fraction of datagrams that are discarded, from 0 to 1.
	Loss float64
	// Limiter, if set, bounds the combined rate of all connections whose rules
	// share it. Datagrams are not limited.
	Limiter *Limiter
}

// RuleFunc returns the rule for traffic from one host to another. Hosts are IP
// addresses. It is called separately for each direction of a connection.
type RuleFunc func(from, to string) Rule

// Proxy relays connections and datagrams to any number of destinations.
type Proxy struct {
	mu        sync.Mutex
	rules     RuleFunc
	conns     map[*relayedConn]struct{}
	listeners []io.Closer
	closed    chan struct{}
	wg        sync.WaitGroup
}

// New returns a proxy without faults.
func New() *Proxy {
	return &Proxy{rules: func(_, _ string) Rule { return Rule{} }, conns: make(map[*relayedConn]struct{}), closed: make(chan struct{})}
}

// SetRules replaces the function that returns the rules. New rules also apply
// to open connections.
func (p *Proxy) SetRules(r RuleFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules = r
}

func (p *Proxy) rule(from, to string) Rule {
	p.mu.Lock()
	r := p.rules
	p.mu.Unlock()
	return r(from, to)
}

// Blackhole discards from now on all data, in both directions, on the open
// connections that from has opened to to, without closing them; new connections
// work. Empty strings match every host. It returns the number of connections that
// were not yet blackholed.
func (p *Proxy) Blackhole(from, to string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		if (from == "" || c.from == from) && (to == "" || c.to == to) && c.blackhole() {
			n++
		}
	}
	return n
}

// Reset closes the open connections that from has opened to to. Empty strings
// match every host. It returns the number of connections.
func (p *Proxy) Reset(from, to string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		if (from == "" || c.from == from) && (to == "" || c.to == to) {
			c.close()
			n++
		}
	}
	return n
}

// Close closes all listeners and connections and waits for the relays to end.
func (p *Proxy) Close() {
	close(p.closed)
	p.mu.Lock()
	for _, l := range p.listeners {
		_ = l.Close()
	}
	for c := range p.conns {
		c.close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// ListenTCP accepts connections at the address listen and relays them to
// destination. It returns the address that it listens on.
func (p *Proxy) ListenTCP(listen, destination string) (string, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return "", fmt.Errorf("fault proxy: %w", err)
	}
	p.mu.Lock()
	p.listeners = append(p.listeners, l)
	p.mu.Unlock()
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.wg.Add(1)
			go p.relay(c, destination)
		}
	}()
	return l.Addr().String(), nil
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

type relayedConn struct {
	from, to         string
	client, server   net.Conn
	mu               sync.Mutex
	blackholed       bool
	blackholeStarted chan struct{}
}

func (c *relayedConn) blackhole() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blackholed {
		return false
	}
	c.blackholed = true
	close(c.blackholeStarted)
	return true
}

func (c *relayedConn) close() {
	_ = c.client.Close()
	if c.server != nil {
		_ = c.server.Close()
	}
}

func (p *Proxy) relay(client net.Conn, destination string) {
	defer p.wg.Done()
	c := &relayedConn{from: hostOf(client.RemoteAddr().String()), to: hostOf(destination), client: client, blackholeStarted: make(chan struct{})}
	// A connection is not set up while the rule drops traffic from the client.
	if !p.waitWhileDropped(c, c.from, c.to) {
		c.close()
		return
	}
	server, err := net.DialTimeout("tcp", destination, time.Second)
	if err != nil {
		if tc, ok := client.(*net.TCPConn); ok {
			_ = tc.SetLinger(0) // reset, as when no process listens
		}
		c.close()
		return
	}
	c.server = server
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.forward(c, client, server, c.from, c.to) }()
	go func() { defer wg.Done(); p.forward(c, server, client, c.to, c.from) }()
	wg.Wait()
	c.close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

const dropPollInterval = 5 * time.Millisecond

// waitWhileDropped waits until the rule no longer drops traffic or the
// connection is blackholed. It returns false if the proxy is closed first.
func (p *Proxy) waitWhileDropped(c *relayedConn, from, to string) bool {
	for p.rule(from, to).Drop {
		select {
		case <-p.closed:
			return false
		case <-c.blackholeStarted:
			return true
		case <-time.After(dropPollInterval):
		}
	}
	return true
}

type chunk struct {
	data []byte
	due  time.Time
}

// forward relays one direction of a connection. It reads on while earlier chunks
// are delayed, so that the delay does not limit the throughput.
func (p *Proxy) forward(c *relayedConn, src, dst net.Conn, from, to string) {
	chunks := make(chan chunk, 256)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ch := range chunks {
			if !p.deliver(c, dst, ch, from, to) {
				_ = src.Close()
				for range chunks {
				}
				return
			}
		}
		if tc, ok := dst.(*net.TCPConn); ok {
			_ = tc.CloseWrite()
		}
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			r := p.rule(from, to)
			chunks <- chunk{append([]byte(nil), buf[:n]...), time.Now().Add(r.Delay)}
		}
		if err != nil {
			break
		}
	}
	close(chunks)
	<-done
}

// deliver writes a chunk once the rule no longer drops traffic, the limiter lets
// it pass and its delay is over, or discards it if the connection is blackholed.
// It returns false if the connection or the proxy is closed.
func (p *Proxy) deliver(c *relayedConn, dst net.Conn, ch chunk, from, to string) bool {
	if !p.waitWhileDropped(c, from, to) {
		return false
	}
	if l := p.rule(from, to).Limiter; l != nil {
		l.Wait(len(ch.data))
	}
	if wait := time.Until(ch.due); wait > 0 {
		time.Sleep(wait)
	}
	select {
	case <-c.blackholeStarted:
		return true // discard the data and keep the connection open
	default:
	}
	_, err := dst.Write(ch.data)
	return err == nil
}

// ListenUDP relays datagrams that arrive at the address listen to destination
// and returns the address that it listens on. There is no return path, because
// gossip replies to the advertised address of the sender.
func (p *Proxy) ListenUDP(listen, destination string) (string, error) {
	addr, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return "", fmt.Errorf("fault proxy: %w", err)
	}
	dst, err := net.ResolveUDPAddr("udp", destination)
	if err != nil {
		return "", fmt.Errorf("fault proxy: %w", err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return "", fmt.Errorf("fault proxy: %w", err)
	}
	p.mu.Lock()
	p.listeners = append(p.listeners, conn)
	p.mu.Unlock()
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.relayDatagrams(conn, dst)
	}()
	return conn.LocalAddr().String(), nil
}

func (p *Proxy) relayDatagrams(conn *net.UDPConn, dst *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		n, src, err := conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		r := p.rule(src.IP.String(), dst.IP.String())
		if r.Drop || (r.Loss > 0 && rand.Float64() < r.Loss) {
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		if r.Delay == 0 {
			_, _ = conn.WriteToUDP(data, dst)
			continue
		}
		time.AfterFunc(r.Delay, func() { _, _ = conn.WriteToUDP(data, dst) })
	}
}

// Limiter bounds the combined byte rate of all callers of Wait.
type Limiter struct {
	mu   sync.Mutex
	rate float64
	next time.Time
}

// NewLimiter returns a limiter for a rate in bytes per second.
func NewLimiter(bytesPerSecond float64) *Limiter { return &Limiter{rate: bytesPerSecond} }

// Wait blocks until n more bytes may pass.
func (l *Limiter) Wait(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	wait := l.next.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}
