// Package listener accepts connections through passing errors, such as a lack of
// descriptors.
package listener

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	// minPause and maxPause bound the time before the next attempt after an error.
	minPause = 5 * time.Millisecond
	maxPause = 100 * time.Millisecond
)

// Listener is a net.Listener whose Accept returns an error only if it was closed or can
// accept no more connections.
type Listener struct {
	net.Listener
	// Log gets a line at the start and at the end of a spell of errors.
	Log zerolog.Logger
	// OnShort, if set, is called when the process has no descriptor for a connection.
	OnShort func()
	// OnLost, if set, is called when no more connections can be accepted although the
	// listener was not closed.
	OnLost func(err error)

	name      string
	errors    *metrics.Counter
	closed    chan struct{}
	closeOnce sync.Once
}

// Listen listens on a TCP address. name tells the listener in metrics and logs.
func Listen(address, name string, log zerolog.Logger) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s on %s: %w; free the address or change the settings", name, address, err)
	}
	return New(l, name, log), nil
}

// New returns a Listener that accepts the connections of l.
func New(l net.Listener, name string, log zerolog.Logger) *Listener {
	return &Listener{
		Listener: l, Log: log, name: name, closed: make(chan struct{}),
		errors: metrics.GetOrCreateCounter(fmt.Sprintf(`parsley_accept_errors_total{listener=%q}`, name)),
	}
}

// Accept waits for the next connection. After Close it returns net.ErrClosed, also
// between two attempts.
func (l *Listener) Accept() (net.Conn, error) {
	failures, pause := 0, minPause
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			if failures > 0 {
				l.Log.Info().Str("event", "accept-regained").Str("listener", l.name).Int("failures", failures).Msg("connections are accepted again")
			}
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.errors.Inc()
		if isLost(err) {
			l.Log.Error().Err(err).Str("event", "listener-lost").Str("listener", l.name).Msg("listener failed; no more connections are accepted until the process is restarted")
			if l.OnLost != nil {
				l.OnLost(err)
			}
			return nil, err
		}
		if failures++; failures == 1 {
			l.Log.Warn().Err(err).Str("event", "accept-failed").Str("listener", l.name).Msg("a connection could not be accepted; trying again")
		}
		if isShort(err) && l.OnShort != nil {
			l.OnShort()
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
		pause = min(2*pause, maxPause)
	}
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// isLost reports whether an error of accept is one of the listener itself. All others
// are those of a connection, or pass.
func isLost(err error) bool {
	for _, e := range []error{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP, syscall.EFAULT} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// isShort reports whether an error says that there is no descriptor or memory for a
// connection.
func isShort(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
