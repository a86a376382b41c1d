package configwatch

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// followWait is the time for which a reader holds the request of a follower.
	followWait = 20 * time.Second
	// followTimeout bounds the time from the end of followWait to the response.
	followTimeout = time.Second
	// leaderDelay is the time after which the next leader is asked although the
	// earlier ones have not responded yet.
	leaderDelay = 50 * time.Millisecond
	// leaderTimeout bounds the response of a leader that is asked whether it is in
	// contact with the store.
	leaderTimeout = 450 * time.Millisecond
	// Keep-alive probes detect within 2 s that a leader's VM is gone.
	leaderProbeIdle      = time.Second
	leaderProbeInterval  = 500 * time.Millisecond
	leaderProbeCount     = 2
	leaderUnackedTimeout = 2 * time.Second
)

var (
	errNoContact  = errors.New("the node is not in contact with the store")
	errNoPosition = errors.New("the response has no valid position in the history of the store")
)

// contact tells whether a reader receives the changes of the store, and the
// position up to which its active configuration is current.
type contact struct {
	mu       sync.Mutex
	position Position
	// lost is closed while there is no contact.
	lost   chan struct{}
	gained bool
}

func (c *contact) gain(p Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.gained {
		c.gained, c.lost = true, make(chan struct{})
	}
	c.position = p
}

func (c *contact) lose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gained {
		c.gained = false
		close(c.lost)
	}
}

// state returns the position, a channel that is closed when the contact is lost,
// and whether there is contact.
func (c *contact) state() (p Position, lost <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position, c.lost, c.gained
}

// newLeaderDialer returns a dialer whose connections fail soon after the peer's VM
// has become unreachable.
func newLeaderDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         peerDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: leaderProbeIdle, Interval: leaderProbeInterval, Count: leaderProbeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optionErr error
			err := c.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(leaderUnackedTimeout.Milliseconds()))
			})
			return errors.Join(err, optionErr)
		},
	}
}

// findLeader returns the first leader that responds that it is in contact with the
// store, or "", and whether any leader responded. It activates the configurations
// of those that respond.
func (w *watcher) findLeader(ctx context.Context, leaders []string) (leader string, reachable bool) {
	type result struct {
		leader string
		update Update
		err    error
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout+leaderDelay*time.Duration(len(leaders)))
	results := make(chan result, len(leaders))
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	next := time.NewTimer(0)
	defer next.Stop()
	for started, finished := 0, 0; finished < len(leaders); {
		select {
		case <-next.C:
			if started < len(leaders) {
				leader := leaders[started]
				running.Go(func() {
					ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
					defer cancel()
					u, err := w.poll(ctx, leader, 0)
					results <- result{leader, u, err}
				})
				started++
				next.Reset(leaderDelay)
			}
		case r := <-results:
			finished++
			if r.err == nil || errors.Is(r.err, errNoContact) {
				reachable = true
				w.adoptFromLeader(r.leader, r.update)
			}
			if r.err == nil {
				return r.leader, true
			}
			next.Reset(0)
		case <-ctx.Done():
			return "", reachable
		}
	}
	return "", reachable
}

// poll waits at a leader for a later configuration than the active one, for up to
// wait. The error matches errNoContact if the leader is not in contact with the
// store; it may have a later configuration nevertheless.
func (s *Service) poll(ctx context.Context, leader string, wait time.Duration) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+followTimeout)
	defer cancel()
	query := url.Values{followParam: {"1"}, afterParam: {strconv.FormatUint(s.Version(), 10)}, waitMSParam: {strconv.FormatInt(wait.Milliseconds(), 10)}}
	t, transfer, header, err := s.request(ctx, s.leaderClient, leader, query)
	if err != nil && !errors.Is(err, errNotNewer) {
		return Update{}, err
	}
	u := Update{Table: t, Transfer: transfer}
	text := header.Get(positionHeader)
	if text == "" {
		return u, fmt.Errorf("%s: %w", leader, errNoContact)
	}
	if u.Position, err = parsePosition(text); err != nil {
		return u, fmt.Errorf("%s: %w", leader, err)
	}
	return u, nil
}

// String returns the form of the position in the header of a response.
func (p Position) String() string {
	return strconv.FormatUint(p.Era, 10) + "-" + strconv.FormatUint(p.Version, 10)
}

func parsePosition(text string) (Position, error) {
	era, version, _ := strings.Cut(text, "-")
	e, eraErr := strconv.ParseUint(era, 10, 63)
	v, versionErr := strconv.ParseUint(version, 10, 63)
	if eraErr != nil || versionErr != nil {
		return Position{}, fmt.Errorf("%w: %q", errNoPosition, text)
	}
	return Position{Era: e, Version: v}, nil
}

// serveFollower responds to a follower once this node has a later configuration
// than the version after, its contact with the store is lost, or wait is over.
func (s *Service) serveFollower(w http.ResponseWriter, r *http.Request, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for waiting := wait > 0; ; {
		adopted := s.nextAdoption()
		// The configuration is loaded after the position, so that it is not older.
		position, lost, inContact := s.contact.state()
		active := s.current.Load()
		newer := active != nil && active.Version > after
		if newer || !inContact || !waiting {
			if inContact {
				w.Header().Set(positionHeader, position.String())
			}
			s.respond(w, r, active, after)
			return
		}
		select {
		case <-adopted:
		case <-lost:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
