package configwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"parsleyturn/internal/kernel"
)

const (
	// readerPollTimeout is the time after which a reader repeats its long poll,
	// so that one that the store has forgotten delays it by no more than that.
	readerPollTimeout = 20 * time.Second
	// standInPollTimeout is the time after which a follower that reads the store
	// looks for a leader again.
	standInPollTimeout = 5 * time.Second
	// standInStep is the additional time for which a follower with one more leader
	// waits before it reads the store, so that it can follow those that do so
	// first.
	standInStep = 50 * time.Millisecond
	// callCheckInterval is the interval at which a node that waits for the store
	// or a leader checks whether the call is still useful.
	callCheckInterval = 500 * time.Millisecond
	// deadCallTime is the time after the first report of a version by a peer in
	// which a call should have returned that version. It is longer than the
	// response time of a slow store.
	deadCallTime = 1500 * time.Millisecond
)

// minFirstRead and maxFirstRead bound the random time from the start after which a
// node without a configuration reads the store. Few of many nodes that start at
// once reach it, as gossip reports the version that the first ones have read.
const (
	minFirstRead = 50 * time.Millisecond
	maxFirstRead = 450 * time.Millisecond
)

// watcher is the state of the watch between two calls.
type watcher struct {
	*Service
	position Position
	// synced is set while position is the position of the last read.
	synced   bool
	failures int
	// unconfirmed is set after a failed call. The store may have been restored
	// from an older copy meanwhile, and would wait with a position that it cannot
	// know to be another's, so the next call does not wait for changes.
	unconfirmed bool
	// repeatedFor is the reported version for which a call was last repeated.
	repeatedFor uint64
	// leaderDead is set after a dead call of a leader. The next call is one of the
	// store.
	leaderDead bool
	// delay and standInDelay return the delay of a reader and of a follower after a
	// number of failed calls of the store in a row.
	delay, standInDelay func(failures int) time.Duration
}

func (s *Service) watch(ctx context.Context) {
	w := &watcher{Service: s, delay: newBackoff(maxBackoff), standInDelay: newBackoff(maxStandInBackoff)}
	w.start(ctx)
	for ctx.Err() == nil {
		leaders := s.leaders()
		if len(leaders) == 0 || w.leaderDead {
			w.leaderDead = false
			w.callStore(ctx)
			continue
		}
		leader, reachable := w.findLeader(ctx, leaders)
		if leader == "" && reachable {
			sleep(ctx, standInStep*time.Duration(len(leaders)-1))
			leader, _ = w.findLeader(ctx, leaders)
		}
		if leader != "" {
			w.follow(ctx, leader)
			continue
		}
		standIns.Inc()
		w.callStore(ctx)
	}
}

// start obtains a first configuration, if possible from a peer, and waits until the
// node knows its peers.
func (w *watcher) start(ctx context.Context) {
	if w.SettleTime == 0 {
		return
	}
	begin := kernel.Uptime()
	if !w.waitVersion(ctx, 1, minFirstRead+rand.N(maxFirstRead-minFirstRead)) {
		w.callStore(ctx)
	}
	sleep(ctx, w.SettleTime-(kernel.Uptime()-begin))
	w.synced = false // a reader reads what has changed meanwhile
}

// callStore makes one call of the store and handles its result.
func (w *watcher) callStore(ctx context.Context) {
	reader := w.isReader()
	dead, superseded, err := w.checked(ctx, func() bool { return w.isReader() == reader }, func(ctx context.Context) error {
		return w.readStore(ctx, reader)
	})
	switch {
	case err == nil:
		w.recordSuccess()
	case dead:
		w.recordDeadCall("store")
	case superseded: // the role has changed, or the service stops
	case errors.Is(err, ErrHistoryGone):
		w.Log.System.Info().Err(err).Str("event", "history-gone").Uint64("era", w.position.Era).Uint64("position", w.position.Version).Msg("history no longer available; reading the current state")
		w.synced = false
	default:
		w.recordFailure(err)
		delay := w.standInDelay
		if reader {
			delay = w.delay
		}
		sleep(ctx, delay(w.failures))
	}
}

// readStore makes the next call of the store.
func (w *watcher) readStore(ctx context.Context, reader bool) error {
	wait := standInPollTimeout
	switch {
	case !w.synced:
		return w.adoptUpdate(w.Source.ReadConfig(ctx))
	case w.unconfirmed:
		wait = 0
	case reader:
		wait = readerPollTimeout
	}
	return w.adoptUpdate(w.Source.WaitConfig(ctx, w.position, wait))
}

// checked makes a call that it cancels once the call has become useless: useful
// returns false, or the call is dead. It reports which of them happened.
func (w *watcher) checked(ctx context.Context, useful func() bool, call func(context.Context) error) (dead, superseded bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.callBegan.Store(int64(kernel.Uptime()))
	check := make(chan bool, 1)
	go func() {
		ticker := time.NewTicker(callCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				check <- false
				return
			case <-ticker.C:
				if isDead := w.isCallDead(); isDead || !useful() {
					cancel()
					check <- isDead
					return
				}
			}
		}
	}()
	err = call(ctx)
	superseded = ctx.Err() != nil
	cancel()
	return <-check, superseded, err
}

// isCallDead reports whether the current call should have returned a version that
// a peer has. Nothing else may tell that the request or its response was lost. A
// call is repeated only once for each version, as the store may refuse the node or
// may have lost the version.
func (w *watcher) isCallDead() bool {
	r, now := w.reports.latest(), kernel.Uptime()
	return r.version > w.received.Load() && r.version != w.repeatedFor && min(now-r.at, now-time.Duration(w.callBegan.Load())) >= deadCallTime
}

// recordDeadCall prepares the repetition of a dead call. What it should have
// returned may be lost, so the current state is read.
func (w *watcher) recordDeadCall(callee string) {
	reported := w.reports.latest().version
	w.repeatedFor, w.synced = reported, false
	repeatedCalls.Inc()
	w.Log.System.Warn().Str("event", "config-call-repeated").Str("callee", callee).Uint64("reported", reported).
		Dur("age", kernel.Uptime()-time.Duration(w.callBegan.Load())).Msg("a call has not returned a version that a peer has; reading the store again")
}

func (w *watcher) adoptUpdate(update Update, err error) error {
	if err != nil {
		return err
	}
	w.setPosition(update.Position)
	if update.Table != nil {
		w.recordReceived(update.Table.Version)
		storeBytes.Add(len(update.Table.Source))
		w.Adopt(update.Table, "store", update.Transfer)
	}
	// Followers may rely on the position once the table is active.
	w.contact.gain(update.Position)
	return nil
}

// setPosition sets the position of the last read, and detects a store that has been
// restored from an older copy.
func (w *watcher) setPosition(p Position) {
	before := w.position
	w.position, w.synced = p, true
	if before == (Position{}) || before.Era == p.Era {
		return
	}
	restores.Inc()
	w.Log.System.Warn().Str("event", "store-restored").Uint64("era", p.Era).Uint64("era_before", before.Era).Uint64("position", p.Version).Uint64("position_before", before.Version).
		Uint64("version", w.Version()).Msg("the store has been restored from an older copy; writing the rows of this node again")
	if w.OnRestore != nil {
		w.OnRestore()
	}
}

// recordReceived records that the watch has received a version.
func (s *Service) recordReceived(version uint64) {
	s.received.Store(max(s.received.Load(), version))
}

func (w *watcher) recordSuccess() {
	if w.failures > 0 {
		w.Log.System.Info().Str("event", "dependency-regained").Str("dependency", "store").Int("failures", w.failures).Msg("reading from the store succeeds again")
	}
	w.failures, w.unconfirmed = 0, false
}

// recordFailure counts a failed call. The position is kept, so that the next call
// returns only what has changed.
func (w *watcher) recordFailure(err error) {
	readErrors.Inc()
	w.contact.lose()
	w.unconfirmed = true
	if w.failures++; w.failures == 1 {
		w.Log.System.Warn().Err(err).Str("event", "dependency-lost").Str("dependency", "store").Bool("reader", w.isReader()).Uint64("version", w.Version()).Dur("age", w.Age()).Msg("failed to read from the store; retrying")
	}
}

// follow waits for changes at a leader until that fails or the node no longer has
// this leader.
func (w *watcher) follow(ctx context.Context, leader string) {
	w.contact.lose()
	w.Log.System.Info().Str("event", "config-leader").Str("leader", leader).Uint64("version", w.Version()).Msg("following the configuration of another node")
	isLeader := func() bool { return slices.Contains(w.leaders(), leader) }
	for ctx.Err() == nil && isLeader() {
		dead, superseded, err := w.checked(ctx, isLeader, func(ctx context.Context) error {
			u, err := w.poll(ctx, leader, followWait)
			if err == nil {
				w.adoptFromLeader(leader, u)
			}
			return err
		})
		switch {
		case err == nil:
			w.recordSuccess()
			continue
		case dead:
			w.leaderDead = true
			w.recordDeadCall(leader)
		case !superseded:
			w.Log.System.Info().Err(err).Str("event", "config-leader-lost").Str("leader", leader).Uint64("version", w.Version()).Msg("the leader does not supply the configuration any more; looking for another one")
		}
		return
	}
}

// adoptFromLeader activates what a leader has responded.
func (w *watcher) adoptFromLeader(leader string, u Update) {
	if u.Table != nil {
		w.recordReceived(u.Table.Version)
		peerBytes.Add(len(u.Table.Source))
		w.Adopt(u.Table, "leader "+leader, u.Transfer)
	}
	if u.Position != (Position{}) {
		w.setPosition(u.Position)
		w.unconfirmed = false
	}
}
