package configdist

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Times of polling and limits of what is remembered.
const (
	// pollsPerSecond is what all nodes together put on the platform.
	pollsPerSecond = 50
	minPoll        = 2 * time.Second
	maxPoll        = time.Minute
	// minRetry and maxRetry bound the backoff while a configuration is
	// wanted and cannot be had.
	minRetry = 200 * time.Millisecond
	maxRetry = 2 * time.Second
	// fallbacksPerSecond spreads the nodes that turn to the platform because
	// no peer could give a version. It stays below the 2,000 reads a second
	// that the platform handles.
	fallbacksPerSecond = 1500
	// triesBeforePlatform is the number of peers tried for a version before
	// the platform is.
	triesBeforePlatform = 3
	maxCandidates       = 4
	maxPeersOfVersion   = 16
	// maxAsked is the number of peers asked for their version when the
	// platform does not answer.
	maxAsked = 3
)

// ActionKind says what to do next.
type ActionKind int

// Kinds of actions.
const (
	// Wait for a hint or until the time Until.
	Wait ActionKind = iota
	// Poll the platform, and report with Polled or PollFailed.
	Poll
	// QueryPeers up to three peers for their version, and report with Hear.
	QueryPeers
	// Fetch a version from a peer, and report with Adopted, Failed or Refused.
	Fetch
)

// Action is the next step towards the newest configuration.
type Action struct {
	Kind    ActionKind
	Until   time.Duration
	Version uint64
	// Peer is the administration address to fetch from.
	Peer string
}

// candidate is a version higher than the one in force.
type candidate struct {
	version uint64
	// peers announced the version and were not tried yet.
	peers []string
	// failed peers are tried again after a poll failed; refused peers gave
	// content that is wrong and are not.
	failed, refused []string
	tries           int
	// scheduled is set once the version has called for an early poll. A draw
	// per failed peer would favor early polls.
	scheduled bool
	// quietUntil is set when the platform did not know the version or gave
	// wrong content for it. Until then it calls for no early poll.
	quietUntil time.Duration
}

// Tracker decides when to poll the platform and which version to fetch from
// whom. It is pure: times are monotonic and passed in. It never asks for a
// version that is not above the one in force. It is not safe for concurrent
// use.
type Tracker struct {
	rand    *rand.Rand
	version uint64
	// confirmed is set once the platform has answered. A node that started
	// from peers polls with the short backoff until then.
	confirmed  bool
	ask        bool
	nextPoll   time.Duration
	retry      time.Duration
	candidates []*candidate
}

// NewTracker returns a tracker of a node without a configuration. Its first
// poll is due at once.
func NewTracker(r *rand.Rand) *Tracker {
	return &Tracker{rand: r, retry: minRetry}
}

// Next returns the next action for a node among live nodes.
func (t *Tracker) Next(now time.Duration, live int) Action {
	if t.ask {
		t.ask = false
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
		// A poll without a report is repeated after one interval.
		t.nextPoll = now + pollInterval(live, 0.5)
		return Action{Kind: Poll}
	}
	return Action{Kind: Wait, Until: t.nextPoll}
}

// ObservePeerVersion notes that a peer has a version. Versions that are not above the one
// in force are ignored.
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
	known := slices.Contains(c.peers, peer) || slices.Contains(c.failed, peer) || slices.Contains(c.refused, peer)
	if !known && len(c.peers)+len(c.failed)+len(c.refused) < maxPeersOfVersion {
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

// add inserts a candidate, highest version first. When there are too many,
// one that the platform did not confirm goes first, then the lowest.
func (t *Tracker) add(version uint64) *candidate {
	if len(t.candidates) == maxCandidates {
		drop := slices.IndexFunc(t.candidates, func(c *candidate) bool { return c.quietUntil > 0 })
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

// FetchFailed notes that a peer did not give a version.
func (t *Tracker) FetchFailed(now time.Duration, live int, version uint64) {
	c := t.find(version)
	if c == nil || c.scheduled || now < c.quietUntil || (len(c.peers) > 0 && c.tries < triesBeforePlatform) {
		return
	}
	c.scheduled = true
	spread := min(max(time.Duration(live)*time.Second/fallbacksPerSecond, minRetry), maxRetry)
	t.nextPoll = min(t.nextPoll, now+t.upTo(spread))
}

// FetchRejected notes that a peer gave content for a version that does not match
// its hash or is no configuration. The peer is not asked for it again.
func (t *Tracker) FetchRejected(now time.Duration, live int, version uint64, peer string) {
	if c := t.find(version); c != nil {
		c.failed = slices.DeleteFunc(c.failed, func(p string) bool { return p == peer })
		if !slices.Contains(c.refused, peer) {
			c.refused = append(c.refused, peer)
		}
	}
	t.FetchFailed(now, live, version)
}

// VersionAdopted notes the version in force.
func (t *Tracker) VersionAdopted(version uint64) {
	if version <= t.version {
		return
	}
	t.version = version
	t.candidates = slices.DeleteFunc(t.candidates, func(c *candidate) bool { return c.version <= version })
}

// PollSucceeded notes that the platform answered, after its version was adopted or
// refused. Candidates that remain are not known to the platform.
func (t *Tracker) PollSucceeded(now time.Duration, live int) {
	t.confirmed = true
	if t.version == 0 {
		// Nothing was accepted yet, or its content was refused.
		t.backOff(now)
		return
	}
	t.retry = minRetry
	t.nextPoll = now + t.interval(live)
	for _, c := range t.candidates {
		c.quietUntil, c.scheduled = t.nextPoll, false
	}
}

// PollFailed notes that the platform did not answer, or that the content of
// its version could not be read.
func (t *Tracker) PollFailed(now time.Duration, live int) {
	wanted := t.version == 0 || slices.ContainsFunc(t.candidates, func(c *candidate) bool { return now >= c.quietUntil })
	if !wanted && t.confirmed {
		t.nextPoll = now + t.interval(live)
		return
	}
	t.ask = wanted
	for _, c := range t.candidates {
		c.peers, c.failed, c.tries, c.scheduled = append(c.peers, c.failed...), nil, 0, false
	}
	t.backOff(now)
}

// backOff sets the next poll with half of the wait as jitter.
func (t *Tracker) backOff(now time.Duration) {
	t.nextPoll = now + t.retry/2 + t.upTo(t.retry/2)
	t.retry = min(2*t.retry, maxRetry)
}

func (t *Tracker) interval(live int) time.Duration {
	return pollInterval(live, t.rand.Float64())
}

// pollInterval is live/50 s, clamped so that it stays within 2 to 60 s with a
// jitter of 0.9 to 1.1. luck is within 0 to 1.
func pollInterval(live int, luck float64) time.Duration {
	mean := float64(live) * float64(time.Second) / pollsPerSecond
	mean = min(max(mean, float64(minPoll)/0.9), float64(maxPoll)/1.1)
	return time.Duration(mean * (0.9 + 0.2*luck))
}

func (t *Tracker) upTo(d time.Duration) time.Duration {
	return time.Duration(t.rand.Float64() * float64(d))
}
