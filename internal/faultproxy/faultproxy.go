// Package faultproxy relays TCP connections and UDP datagrams between the
// processes of a test and injects faults by source and destination.
//
// It is for tests only. A ready-made proxy with faults per listener does not
// fit: nodes advertise one address to all peers, so a cut between two
// availability zones needs rules by source, and gossip uses UDP.
package faultproxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Rule is what happens to traffic in one direction.
type Rule struct {
	// Drop discards datagrams and stalls connections while it is set. A
	// stalled connection goes on where it was when the rule is cleared, as
	// TCP does after a partition.
	Drop bool
	// Delay is added to everything, one way.
	Delay time.Duration
	// Loss is the share of datagrams that are discarded.
	Loss float64
	// Limiter, if set, is shared by all traffic with the rule.
	Limiter *Limiter
}

// RuleFunc finds the rule for traffic from one host to another. Hosts are IP
// numbers; both directions of a connection are asked for separately.
type RuleFunc func(from, to string) Rule

// Proxy relays to any number of destinations.
type Proxy struct {
	mu        sync.Mutex
	rules     RuleFunc
	conns     map[*pair]struct{}
	listeners []io.Closer
	closed    chan struct{}
	wg        sync.WaitGroup
}

// New returns a proxy that passes everything on.
func New() *Proxy {
	return &Proxy{rules: func(_, _ string) Rule { return Rule{} }, conns: make(map[*pair]struct{}), closed: make(chan struct{})}
}

// SetRules replaces the rules. They also apply to open connections.
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

// Blackhole makes the open connections between two hosts go silent for good,
// while new ones work. Empty strings match every host. It returns the number
// of connections.
func (p *Proxy) Blackhole(from, to string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		if (from == "" || c.from == from) && (to == "" || c.to == to) && c.silence() {
			n++
		}
	}
	return n
}

// Reset closes the open connections between two hosts.
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

// Close ends all relays.
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

// ListenTCP relays connections to listen on to destination.
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

// pair is one relayed connection.
type pair struct {
	from, to string
	a, b     net.Conn
	mu       sync.Mutex
	dead     bool
	silent   chan struct{}
}

func (c *pair) silence() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return false
	}
	c.dead = true
	close(c.silent)
	return true
}

func (c *pair) close() {
	_ = c.a.Close()
	if c.b != nil {
		_ = c.b.Close()
	}
}

func (p *Proxy) relay(a net.Conn, destination string) {
	defer p.wg.Done()
	c := &pair{from: hostOf(a.RemoteAddr().String()), to: hostOf(destination), a: a, silent: make(chan struct{})}
	// A cut network does not complete the connection.
	if !p.waitWhileDropped(c, c.from, c.to) {
		c.close()
		return
	}
	b, err := net.DialTimeout("tcp", destination, time.Second)
	if err != nil {
		if tc, ok := a.(*net.TCPConn); ok {
			_ = tc.SetLinger(0) // refuse with a reset, as a dead process does
		}
		c.close()
		return
	}
	c.b = b
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.copy(c, a, b, c.from, c.to) }()
	go func() { defer wg.Done(); p.copy(c, b, a, c.to, c.from) }()
	wg.Wait()
	c.close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

const pollDropped = 5 * time.Millisecond

// waitWhileDropped returns false when the relay ends before the rule does.
func (p *Proxy) waitWhileDropped(c *pair, from, to string) bool {
	for p.rule(from, to).Drop {
		select {
		case <-p.closed:
			return false
		case <-c.silent:
			return true
		case <-time.After(pollDropped):
		}
	}
	return true
}

type chunk struct {
	data []byte
	due  time.Time
}

// copy relays one direction. Reading goes on during a delay, so that the
// delay does not limit the throughput.
func (p *Proxy) copy(c *pair, src, dst net.Conn, from, to string) {
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

func (p *Proxy) deliver(c *pair, dst net.Conn, ch chunk, from, to string) bool {
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
	case <-c.silent:
		return true // swallowed: nothing arrives any more, nothing is closed
	default:
	}
	_, err := dst.Write(ch.data)
	return err == nil
}

// ListenUDP relays datagrams to listen on to destination. Answers need no way
// back, as gossip answers to the advertised address of the sender.
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

// Limiter bounds the bytes per second of all traffic that shares it.
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
