package configdist

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "parsleyturn/internal/rapidseed"
)

func newTestTracker() *Tracker { return NewTracker(rand.New(rand.NewPCG(1, 2))) }

// Guards against poll intervals so short that the nodes together exceed the
// reads that the platform handles, and against intervals without jitter, with
// which nodes poll at the same times.
func TestPollInterval(t *testing.T) {
	for live, bounds := range map[int][2]time.Duration{
		1: {2 * time.Second, 2500 * time.Millisecond}, 500: {9 * time.Second, 11 * time.Second}, 3000: {49 * time.Second, time.Minute},
	} {
		low, high := time.Hour, time.Duration(0)
		tr := newTestTracker()
		tr.VersionAdopted(1)
		for range 1000 {
			assert.Equal(t, tr.Next(tr.nextPoll, live).Kind, Poll)
			tr.PollSucceeded(0, live)
			low, high = min(low, tr.nextPoll), max(high, tr.nextPoll)
		}
		assert.Assert(t, low >= bounds[0] && high <= bounds[1] && high-low > low/10, "%d nodes: %v to %v", live, low, high)
	}
}

// Guards against a starting node that waits for an unreachable platform instead
// of asking its peers, or that polls it without backoff.
func TestBackoffBeforeFirstConfiguration(t *testing.T) {
	tr := newTestTracker()
	var now, last time.Duration
	for range 6 {
		assert.Equal(t, tr.Next(now, 100).Kind, Poll)
		tr.PollFailed(now, 100)
		assert.Equal(t, tr.Next(now, 100).Kind, QueryPeers)
		a := tr.Next(now, 100)
		assert.Equal(t, a.Kind, Wait)
		last, now = a.Until-now, a.Until
	}
	assert.Assert(t, last >= time.Second && last <= 2*time.Second, "%v", last)
	// The highest version among the peers is fetched first.
	tr.ObservePeerVersion(3, "a")
	tr.ObservePeerVersion(5, "b")
	assert.DeepEqual(t, tr.Next(0, 100), Action{Kind: Fetch, Version: 5, Peer: "b"})
	tr.VersionAdopted(5)
	// The node polls with the short backoff until the platform responds.
	assert.Equal(t, tr.Next(now, 3000).Kind, Poll)
	tr.PollFailed(now, 3000)
	assert.Assert(t, tr.Next(now, 3000).Until-now <= 2*time.Second)
	tr.PollSucceeded(now, 3000)
	assert.Assert(t, tr.Next(now, 3000).Until-now > 45*time.Second)
}

// Guards against a version that is fetched again from a peer that sent invalid
// content for it, and against nodes that all fall back to the platform at the
// same time.
func TestRejectingPeersAreNotRetried(t *testing.T) {
	var due []time.Duration
	for seed := range uint64(200) {
		tr := NewTracker(rand.New(rand.NewPCG(seed, 0)))
		tr.VersionAdopted(1)
		tr.PollSucceeded(0, 3000)
		for _, p := range []string{"a", "b", "c"} {
			tr.ObservePeerVersion(2, p)
			assert.DeepEqual(t, tr.Next(0, 3000), Action{Kind: Fetch, Version: 2, Peer: p})
			tr.FetchRejected(0, 3000, 2, p)
			tr.ObservePeerVersion(2, p)
		}
		a := tr.Next(0, 3000)
		assert.Equal(t, a.Kind, Wait)
		due = append(due, a.Until)
	}
	early := 0
	for _, d := range due {
		assert.Assert(t, d <= 2*time.Second)
		if d < 200*time.Millisecond {
			early++
		}
	}
	assert.Assert(t, early < 40, "%d of 200 nodes poll the platform within 0.2 s", early)
}

// Guards against continuous polling because of a version that peers announce
// but the platform does not know.
func TestUnknownVersionDoesNotCausePolls(t *testing.T) {
	tr := newTestTracker()
	tr.VersionAdopted(1)
	tr.PollSucceeded(0, 3000)
	for i := range 10 {
		now := time.Duration(i) * time.Second
		tr.ObservePeerVersion(1000, fmt.Sprint("peer", i))
		for a := tr.Next(now, 3000); a.Kind != Wait; a = tr.Next(now, 3000) {
			if a.Kind == Poll {
				tr.PollSucceeded(now, 3000)
			} else {
				tr.FetchFailed(now, 3000, a.Version)
			}
		}
	}
	assert.Assert(t, tr.nextPoll > 30*time.Second, "%v", tr.nextPoll)
}

// Guards against a fetch of a version that is not higher than the active one, a
// tracker that never returns Wait, and a poll later than the maximum interval.
func TestTrackerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTracker(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		var now time.Duration
		var version uint64
		actionsSinceWait, lastPoll := 0, time.Duration(0)
		versions := rapid.Uint64Range(0, 8)
		t.Repeat(map[string]func(*rapid.T){
			"hear": func(t *rapid.T) {
				tr.ObservePeerVersion(versions.Draw(t, "version"), rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "peer"))
				actionsSinceWait = 0
			},
			"push": func(t *rapid.T) {
				version = max(version, versions.Draw(t, "pushed"))
				tr.VersionAdopted(version)
			},
			"next": func(t *rapid.T) {
				a := tr.Next(now, 3000)
				actionsSinceWait++
				switch a.Kind {
				case Wait:
					assert.Assert(t, a.Until > now && a.Until <= now+maxPollInterval)
					now, actionsSinceWait = a.Until, 0
				case Fetch:
					assert.Assert(t, a.Version > version, "fetch of version %d while version %d is active", a.Version, version)
					reportFetch(t, tr, now, a, &version)
				case Poll:
					lastPoll = now
					if rapid.Bool().Draw(t, "platform answers") {
						tr.PollSucceeded(now, 3000)
					} else {
						tr.PollFailed(now, 3000)
					}
				}
				assert.Assert(t, actionsSinceWait < 100, "100 actions without Wait")
				assert.Assert(t, now-lastPoll <= maxPollInterval)
			},
		})
	})
}

func reportFetch(t *rapid.T, tr *Tracker, now time.Duration, a Action, version *uint64) {
	switch rapid.IntRange(0, 2).Draw(t, "result") {
	case 0:
		*version = a.Version
		tr.VersionAdopted(a.Version)
	case 1:
		tr.FetchFailed(now, 3000, a.Version)
	default:
		tr.FetchRejected(now, 3000, a.Version, a.Peer)
	}
}
