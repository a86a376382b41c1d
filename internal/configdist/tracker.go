package configdist

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Poll intervals and limits of the stored candidates.
const (
	// pollsPerSecond is the poll rate of all nodes together.
	pollsPerSecond  = 50
	minPollInterval = 2 * time.Second
	maxPollInterval = time.Minute
	// minBackoff and maxBackoff bound the time between polls while the node
	// needs a configuration that it could not get.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// fallbacksPerSecond is the rate at which nodes fall back to the platform
	// after no peer could provide a version. It stays below the 2,000 reads a
	// second that the platform handles.
	fallbacksPerSecond = 1500
	// triesBeforePoll is the number of peers tried for a version before the
	// platform is polled.
	triesBeforePoll    = 3
	maxCandidates      = 4
	maxPeersPerVersion = 16
	// maxQueriedPeers is the number of peers asked for their version when
	// the platform does not respond.
	maxQueriedPeers = 3
)

// ActionKind is the kind of an Action.
type ActionKind int

const (
	// Wait means to wait for an announcement from a peer until Action.Until at
	// the latest.
	Wait ActionKind = iota
	// Poll means to poll the platform, then call PollSucceeded or PollFailed.
	Poll
	// QueryPeers means to ask up to three peers for their version and to pass
	// each response to ObservePeerVersion.
	QueryPeers
	// Fetch means to fetch Action.Version from Action.Peer, then call
	// VersionAdopted, FetchFailed or FetchRejected.
	Fetch
)

// Action is the next step to get the newest configuration.
type Action struct {
	Kind    ActionKind
	Until   time.Duration
	Version uint64
	// Peer is the administration address to fetch from.
	Peer string
}

// candidate is an announced version higher than the active one.
type candidate struct {
	version uint64
	// peers announced the version and have not been tried yet.
	peers []string
	// Peers in failed were tried and are tried again after a failed poll. Peers
	// in rejected sent invalid content and are not tried again.
	failed, rejected []string
	tries            int
	// earlyPollScheduled is set once the version has caused an early poll to be
	// scheduled. Drawing another random time for each failed peer would move
	// the poll forward, since the earliest time is used.
	earlyPollScheduled bool
	// noEarlyPollUntil is set when the platform did not know the version or
	// returned invalid content for it. Until that time the version causes no
	// early poll.
	noEarlyPollUntil time.Duration
}

// Tracker decides when to poll the platform, and which version to fetch from
// which peer. It does no I/O and reads no clock; callers pass in monotonic
// times. It never fetches a version that is not above the active one. It is not
// safe for concurrent use.
type Tracker struct {
	rand    *rand.Rand
	version uint64
	// pollSucceeded is set by the first successful poll. Until then a node that
	// got its configuration from peers keeps polling with the short backoff.
	pollSucceeded bool
	queryPeers    bool
	nextPoll      time.Duration
	backoff       time.Duration
	candidates    []*candidate
}

// NewTracker returns a tracker for a node without a configuration. The first
// poll is due immediately.
func NewTracker(r *rand.Rand) *Tracker {
	return &Tracker{rand: r, backoff: minBackoff}
}

// Next returns the next action. live is the number of live nodes.
func (t *Tracker) Next(now time.Duration, live int) Action {
	if t.queryPeers {
		t.queryPeers = false
		return Action{Kind: QueryPeers}
	}
	for _, c := range t.candidates {
		if len(c.peers) > 0 {
			peer := c.peers[0]
			c.peers = c.peers[1:]
			c.tries++
			c.failed = append(c.failed, peer)
			return Action{Kind: Fetch, Version: c.version, Peer: peer}
		}
	}
	if now >= t.nextPoll {
		// If the caller does not report the result, the next poll is due after
		// one interval.
		t.nextPoll = now + pollInterval(live, 0.5)
		return Action{Kind: Poll}
	}
	return Action{Kind: Wait, Until: t.nextPoll}
}

// ObservePeerVersion records that a peer has a version. Versions that are not
// above the active one are ignored.
func (t *Tracker) ObservePeerVersion(version uint64, peer string) {
	if version <= t.version || peer == "" {
		return
	}
	c := t.find(version)
	if c == nil {
		if c = t.add(version); c == nil {
			return
		}
	}
	known := slices.Contains(c.peers, peer) || slices.Contains(c.failed, peer) || slices.Contains(c.rejected, peer)
	if !known && len(c.peers)+len(c.failed)+len(c.rejected) < maxPeersPerVersion {
		c.peers = append(c.peers, peer)
	}
}

func (t *Tracker) find(version uint64) *candidate {
	for _, c := range t.candidates {
		if c.version == version {
			return c
		}
	}
	return nil
}

// add inserts a candidate, ordered by descending version. When the list is full,
// it removes a candidate that the platform did not know, or else the lowest. It
// returns nil if the lowest of all is the new version itself.
func (t *Tracker) add(version uint64) *candidate {
	if len(t.candidates) == maxCandidates {
		drop := slices.IndexFunc(t.candidates, func(c *candidate) bool { return c.noEarlyPollUntil > 0 })
		if drop < 0 {
			drop = maxCandidates - 1
			if t.candidates[drop].version > version {
				return nil
			}
		}
		t.candidates = slices.Delete(t.candidates, drop, drop+1)
	}
	c := &candidate{version: version}
	at := slices.IndexFunc(t.candidates, func(o *candidate) bool { return o.version < version })
	if at < 0 {
		at = len(t.candidates)
	}
	t.candidates = slices.Insert(t.candidates, at, c)
	return c
}

// FetchFailed records that a version could not be fetched from a peer. After
// triesBeforePoll tries, or when no peer is left, it schedules an early poll of
// the platform, unless one was scheduled before or noEarlyPollUntil forbids it.
func (t *Tracker) FetchFailed(now time.Duration, live int, version uint64) {
	c := t.find(version)
	if c == nil || c.earlyPollScheduled || now < c.noEarlyPollUntil || (len(c.peers) > 0 && c.tries < triesBeforePoll) {
		return
	}
	c.earlyPollScheduled = true
	spread := min(max(time.Duration(live)*time.Second/fallbacksPerSecond, minBackoff), maxBackoff)
	t.nextPoll = min(t.nextPoll, now+t.randomDuration(spread))
}

// FetchRejected records that a peer sent content for a version that does not
// match its hash or is not a valid configuration. The version is not fetched
// from this peer again.
func (t *Tracker) FetchRejected(now time.Duration, live int, version uint64, peer string) {
	if c := t.find(version); c != nil {
		c.failed = slices.DeleteFunc(c.failed, func(p string) bool { return p == peer })
		if !slices.Contains(c.rejected, peer) {
			c.rejected = append(c.rejected, peer)
		}
	}
	t.FetchFailed(now, live, version)
}

// VersionAdopted records the active version.
func (t *Tracker) VersionAdopted(version uint64) {
	if version <= t.version {
		return
	}
	t.version = version
	t.candidates = slices.DeleteFunc(t.candidates, func(c *candidate) bool { return c.version <= version })
}

// PollSucceeded records a successful poll, after the version of the platform was
// adopted or rejected. The remaining candidates are not known to the platform.
func (t *Tracker) PollSucceeded(now time.Duration, live int) {
	t.pollSucceeded = true
	if t.version == 0 {
		// No version was accepted yet, or its content was rejected.
		t.scheduleBackoff(now)
		return
	}
	t.backoff = minBackoff
	t.nextPoll = now + t.randomPollInterval(live)
	for _, c := range t.candidates {
		c.noEarlyPollUntil, c.earlyPollScheduled = t.nextPoll, false
	}
}

// PollFailed records that the platform did not respond, or that the content of
// its version could not be read. If the node needs a version, the peers that
// were tried are tried again and other peers are asked for their version.
func (t *Tracker) PollFailed(now time.Duration, live int) {
	needed := t.version == 0 || slices.ContainsFunc(t.candidates, func(c *candidate) bool { return now >= c.noEarlyPollUntil })
	if !needed && t.pollSucceeded {
		t.nextPoll = now + t.randomPollInterval(live)
		return
	}
	t.queryPeers = needed
	for _, c := range t.candidates {
		c.peers, c.failed, c.tries, c.earlyPollScheduled = append(c.peers, c.failed...), nil, 0, false
	}
	t.scheduleBackoff(now)
}

// scheduleBackoff schedules the next poll. Half of the delay is random.
func (t *Tracker) scheduleBackoff(now time.Duration) {
	t.nextPoll = now + t.backoff/2 + t.randomDuration(t.backoff/2)
	t.backoff = min(2*t.backoff, maxBackoff)
}

func (t *Tracker) randomPollInterval(live int) time.Duration {
	return pollInterval(live, t.rand.Float64())
}

// pollInterval returns live/50 s with a jitter factor of 0.9 to 1.1, limited to
// 2 to 60 s. random is in the range 0 to 1.
func pollInterval(live int, random float64) time.Duration {
	mean := float64(live) * float64(time.Second) / pollsPerSecond
	mean = min(max(mean, float64(minPollInterval)/0.9), float64(maxPollInterval)/1.1)
	return time.Duration(mean * (0.9 + 0.2*random))
}

func (t *Tracker) randomDuration(d time.Duration) time.Duration {
	return time.Duration(t.rand.Float64() * float64(d))
}
