package target

import (
	"context"
	"net"
	"sync"
)

// slots limits the number of requests processed concurrently. Further requests
// wait in an unbounded FIFO queue.
type slots struct {
	mu      sync.Mutex
	limit   int
	running int
	waiting []*waiter
}

type waiter struct {
	ready chan struct{}
	// canceled waiters stay in the queue and are skipped by release.
	canceled bool
}

// acquire waits for a slot until ctx ends. With shed it returns false and no
// error immediately if none is free.
func (s *slots) acquire(ctx context.Context, shed bool) (ok bool, err error) {
	s.mu.Lock()
	if s.running < s.limit {
		s.running++
		s.mu.Unlock()
		return true, nil
	}
	if shed {
		s.mu.Unlock()
		return false, nil
	}
	w := &waiter{ready: make(chan struct{})}
	s.waiting = append(s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return true, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-w.ready:
		return true, nil // granted just before ctx ended; the caller releases it
	default:
		w.canceled = true
		return false, ctx.Err()
	}
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.waiting) > 0 {
		w := s.waiting[0]
		s.waiting[0] = nil
		s.waiting = s.waiting[1:]
		if !w.canceled {
			close(w.ready)
			return
		}
	}
	s.running--
}

func (s *slots) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.waiting {
		if !w.canceled {
			queued++
		}
	}
	return s.running, queued
}

// limitListener accepts a connection only while fewer than cap(open) are open.
type limitListener struct {
	net.Listener
	// open holds one element for each open connection.
	open   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{Listener: l, open: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits until fewer than the maximum number of connections are open,
// then accepts the next one.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.open <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.open
		return nil, err
	}
	return &limitConn{Conn: c, release: sync.OnceFunc(func() { <-l.open })}, nil
}

// Close closes the listener and unblocks Accept.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitConn struct {
	net.Conn
	release func()
}

// Close closes the connection, which no longer counts towards the limit.
func (c *limitConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
