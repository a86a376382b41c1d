// Package connlimit decides which connections a server keeps when there are more than it
// has descriptors for: idle ones are closed first, the longest idle first, and then new
// ones are refused.
//
// It has no network, clock or goroutines of its own.
package connlimit

import (
	"container/list"
	"time"
)

// Config has the limits of a Limiter.
type Config struct {
	// Limit is the number of connections that are served.
	Limit int
	// RefusalLimit is the number of connections beside them that may be open until
	// their refusal is sent.
	RefusalLimit int
}

const (
	// highWaterPercent is the share of the limit from which on responses close their
	// connections, so that callers do not send requests on connections that are about
	// to be closed.
	highWaterPercent = 75
	// pressureTime is how long the limit stays lowered after the process ran out of
	// descriptors, and pressureStep the number of connections by which it is below
	// those that were open then.
	pressureTime = 10 * time.Second
	pressureStep = 32
)

// state is what a connection does.
type state uint8

const (
	// reading means that a request is read, or expected on a new connection.
	reading state = iota
	serving
	idle
)

// Conn is a connection. Value is for the caller.
type Conn struct {
	Value any

	refused bool
	state   state
	// since is when the state began.
	since time.Duration
	// idleElement is the position in the list of idle connections.
	idleElement *list.Element
	closed      bool
}

// Refused reports whether the connection gets a refusal only.
func (c *Conn) Refused() bool { return c.refused }

// Limiter counts connections. It is not safe for concurrent use.
type Limiter struct {
	config Config
	// lowered is a lower limit, which holds until loweredUntil.
	lowered      int
	loweredUntil time.Duration

	open    map[*Conn]struct{}
	refused int
	// idle has the idle connections, the longest idle first.
	idle *list.List
}

// New returns a Limiter.
func New(c Config) *Limiter {
	return &Limiter{config: c, open: make(map[*Conn]struct{}), idle: list.New()}
}

// limit returns the number of connections that may be served at present.
func (l *Limiter) limit(now time.Duration) int {
	if now < l.loweredUntil {
		return min(l.config.Limit, l.lowered)
	}
	return l.config.Limit
}

// served returns the number of connections that are not refused.
func (l *Limiter) served() int { return len(l.open) - l.refused }

// Counts returns the number of open connections, of the idle ones among them, and of
// those that get a refusal.
func (l *Limiter) Counts() (open, idle, refused int) { return len(l.open), l.idle.Len(), l.refused }

// CanOpen reports whether another connection can be opened. Otherwise, no connection
// should be accepted until one is closed.
func (l *Limiter) CanOpen(now time.Duration) bool {
	return l.served() < l.limit(now) || l.idle.Len() > 0 || l.refused < l.config.RefusalLimit
}

// Open adds a connection. It returns the idle connection that must be closed for it, or
// nil. If there is none, the new one is refused.
func (l *Limiter) Open(now time.Duration, value any) (c, toClose *Conn) {
	c = &Conn{Value: value, since: now}
	if l.served() >= l.limit(now) {
		if toClose = l.longestIdle(); toClose != nil {
			l.Close(toClose)
		} else {
			c.refused = true
			l.refused++
		}
	}
	l.open[c] = struct{}{}
	return c, toClose
}

func (l *Limiter) longestIdle() *Conn {
	if e := l.idle.Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}

// Reading records that a request arrives on a connection.
func (l *Limiter) Reading(now time.Duration, c *Conn) { l.setState(now, c, reading) }

// Serving records that a request has been read. It returns false if the connection was
// closed meanwhile: the request must not be served then.
func (l *Limiter) Serving(now time.Duration, c *Conn) bool {
	l.setState(now, c, serving)
	return !c.closed
}

// Idle records that a connection waits for another request.
func (l *Limiter) Idle(now time.Duration, c *Conn) { l.setState(now, c, idle) }

func (l *Limiter) setState(now time.Duration, c *Conn, s state) {
	if c.closed {
		return
	}
	if c.idleElement != nil {
		l.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
	c.state, c.since = s, now
	if s == idle {
		c.idleElement = l.idle.PushBack(c)
	}
}

// Close removes a connection that is closed. It may be called more than once.
func (l *Limiter) Close(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	if c.idleElement != nil {
		l.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
	if c.refused {
		l.refused--
	}
	delete(l.open, c)
}

// KeepAlive reports whether a connection may be kept after the response.
func (l *Limiter) KeepAlive(now time.Duration, c *Conn) bool {
	return !c.refused && l.served()*100 < l.limit(now)*highWaterPercent
}

// Expire removes and returns the connections that have been idle for idleTimeout, and
// those on which a request has been awaited or read for headerTimeout. A timeout of 0
// has no effect.
func (l *Limiter) Expire(now, idleTimeout, headerTimeout time.Duration) []*Conn {
	var out []*Conn
	for c := range l.open {
		timeout := headerTimeout
		switch c.state {
		case serving:
			continue
		case idle:
			timeout = idleTimeout
		}
		if timeout > 0 && now-c.since >= timeout {
			out = append(out, c)
		}
	}
	for _, c := range out {
		l.Close(c)
	}
	return out
}

// OutOfDescriptors records that the process could not open a descriptor although the
// limit allowed it. It lowers the limit for a while, and removes and returns the idle
// connections beyond it.
func (l *Limiter) OutOfDescriptors(now time.Duration) []*Conn {
	l.lowered, l.loweredUntil = max(len(l.open)-pressureStep, 1), now+pressureTime
	var out []*Conn
	for l.served() > l.lowered && l.idle.Len() > 0 {
		c := l.longestIdle()
		l.Close(c)
		out = append(out, c)
	}
	return out
}
