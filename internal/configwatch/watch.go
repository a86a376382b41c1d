package configwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"parsleyturn/internal/kernel"
)

const (
	// readerPollTimeout is the time after which a reader repeats its long poll,
	// so that one that the store has forgotten delays it by no more than that.
	readerPollTimeout = 10 * time.Second
	// announceInterval is the time after which a reader renews the announcement,
	// and firstAnnounceDelay the time from its start to the first one. A random
	// time of up to half of them is added.
	announceInterval = 18 * time.Second
	// firstAnnounceDelay leaves a starting process time to learn whether it is a
	// reader, so that few of many that start together announce.
	firstAnnounceDelay = time.Second
	// followerPollTimeout is the time without an announcement after which a
	// follower takes the readers for cut off from the store. It exceeds the
	// longest time between two announcements.
	followerPollTimeout = 30 * time.Second
	// callCheckInterval is the interval at which a node that waits for the store
	// checks whether the call is still useful.
	callCheckInterval = 500 * time.Millisecond
	// deadCallTime is the time after the first report of a version by a peer in
	// which a call to the store should have returned that version. It is longer
	// than the response time of a slow store.
	deadCallTime = 1500 * time.Millisecond
)

// watcher is the state of the watch between two calls of the store.
type watcher struct {
	*Service
	reader   bool
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
}

func (s *Service) watch(ctx context.Context) {
	w := &watcher{Service: s, reader: s.isReader()}
	delay := newBackoff()
	for ctx.Err() == nil {
		w.updateRole()
		callCtx, cancel := context.WithCancel(ctx)
		s.storeCall.Store(int64(kernel.Uptime()))
		check := w.checkCall(callCtx, cancel)
		err := w.step(callCtx)
		superseded := callCtx.Err() != nil
		cancel()
		dead := <-check
		switch {
		case err == nil:
			w.recordSuccess()
		case dead:
			w.recordDeadCall()
		case superseded: // the role has changed, or the service stops
		case errors.Is(err, ErrHistoryGone):
			s.Log.System.Info().Err(err).Str("event", "history-gone").Uint64("era", w.position.Era).Uint64("position", w.position.Version).Msg("history no longer available; reading the current state")
			w.synced = false
		default:
			w.recordFailure(err)
			sleep(ctx, delay(w.failures))
		}
	}
}

func (s *Service) isReader() bool { return s.IsReader == nil || s.IsReader() }

// updateRole discards the position of a follower that becomes a reader, as it may
// be later than changes of the configuration that the follower did not read.
func (w *watcher) updateRole() {
	if reader := w.isReader(); reader != w.reader {
		roles.Inc()
		w.Log.System.Info().Str("event", "config-role").Bool("reader", reader).Uint64("version", w.Version()).Msg("reading configurations from the store began or ended")
		w.reader, w.synced = reader, w.synced && !reader
	}
}

// checkCall calls cancel when the current call has become useless: the role has
// changed, or the call is dead. The returned channel receives whether it is dead
// once ctx has ended.
func (w *watcher) checkCall(ctx context.Context, cancel func()) <-chan bool {
	dead := make(chan bool, 1)
	reader := w.reader
	go func() {
		ticker := time.NewTicker(callCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				dead <- false
				return
			case <-ticker.C:
				if isDead := w.isCallDead(); isDead || w.isReader() != reader {
					cancel()
					dead <- isDead
					return
				}
			}
		}
	}()
	return dead
}

// isCallDead reports whether the current call should have returned a version that
// a peer has. Nothing else may tell that the store did not get the call, or that
// its response was lost. A call is repeated only once for each version, as the
// store may refuse the node or may have lost the version.
func (w *watcher) isCallDead() bool {
	r, now := w.reports.latest(), kernel.Uptime()
	return r.version > w.received.Load() && r.version != w.repeatedFor && min(now-r.at, now-time.Duration(w.storeCall.Load())) >= deadCallTime
}

// recordDeadCall prepares the repetition of a dead call. What it should have
// returned may be lost, so the current state is read.
func (w *watcher) recordDeadCall() {
	reported := w.reports.latest().version
	w.repeatedFor, w.synced = reported, false
	repeatedCalls.Inc()
	w.Log.System.Warn().Str("event", "store-call-repeated").Uint64("reported", reported).Bool("reader", w.reader).
		Dur("age", kernel.Uptime()-time.Duration(w.storeCall.Load())).Msg("the store has not returned a version that a peer has; repeating the call")
}

// step makes one call of the store according to the role of the node.
func (w *watcher) step(ctx context.Context) error {
	switch {
	case w.synced && w.unconfirmed:
		return w.confirmPosition(ctx)
	case w.reader && w.synced:
		return w.adoptUpdate(w.Source.WaitConfig(ctx, w.position, readerPollTimeout))
	case w.reader:
		return w.adoptUpdate(w.Source.ReadConfig(ctx))
	case w.synced:
		return w.awaitAnnouncement(ctx)
	}
	version, position, err := w.Source.ReadVersion(ctx)
	if err != nil {
		return err
	}
	w.setPosition(position)
	w.recordReceived(version)
	// A node without a configuration fetches whatever the readers have.
	w.report(max(version, w.Version(), 1), "")
	return nil
}

// confirmPosition makes a call that returns at once what has changed since the
// last read.
func (w *watcher) confirmPosition(ctx context.Context) error {
	if w.reader {
		return w.adoptUpdate(w.Source.WaitConfig(ctx, w.position, 0))
	}
	version, position, err := w.Source.WaitVersion(ctx, w.position, 0)
	if err != nil {
		return err
	}
	w.setPosition(position)
	w.recordReceived(version)
	w.report(version, "")
	return nil
}

func (w *watcher) adoptUpdate(update Update, err error) error {
	if err != nil {
		return err
	}
	w.setPosition(update.Position)
	if update.Table != nil {
		w.recordReceived(update.Table.Version)
		w.adoptFromStore(update)
	}
	return nil
}

// setPosition sets the position of the last read, and detects a store that has been
// restored from an older copy. A reader then announces its version again, as the
// announcement may be gone.
func (w *watcher) setPosition(p Position) {
	before := w.position
	w.position, w.synced = p, true
	if before == (Position{}) || before.Era == p.Era {
		return
	}
	restores.Inc()
	w.Log.System.Warn().Str("event", "store-restored").Uint64("era", p.Era).Uint64("era_before", before.Era).Uint64("position", p.Version).Uint64("position_before", before.Version).
		Uint64("version", w.Version()).Msg("the store has been restored from an older copy; writing the rows of this node again")
	if w.reader {
		w.wakeAnnouncer()
	}
	if w.OnRestore != nil {
		w.OnRestore()
	}
}

// recordReceived records that the store has returned a version.
func (s *Service) recordReceived(version uint64) {
	s.received.Store(max(s.received.Load(), version))
}

func (s *Service) adoptFromStore(update Update) {
	storeBytes.Add(len(update.Table.Source))
	// The first version of a process is announced after firstAnnounceDelay.
	first := s.Version() == 0
	if s.Adopt(update.Table, "store", update.Transfer) && !first {
		s.wakeAnnouncer()
	}
}

// awaitAnnouncement waits for the next announcement. Without one, it reads the
// configuration itself.
func (w *watcher) awaitAnnouncement(ctx context.Context) error {
	version, position, err := w.Source.WaitVersion(ctx, w.position, followerPollTimeout)
	if err != nil {
		return err
	}
	w.setPosition(position)
	if version > 0 {
		w.recordReceived(version)
		w.report(version, "")
		return nil
	}
	w.Log.System.Info().Str("event", "config-unannounced").Uint64("version", w.Version()).Dur("age", w.Age()).Msg("no reader has announced a version lately; reading the configuration from the store")
	update, err := w.Source.ReadConfig(ctx)
	if err != nil {
		return err
	}
	if update.Table != nil {
		w.adoptFromStore(update)
	}
	return nil
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
	w.unconfirmed = true
	if w.failures++; w.failures == 1 {
		w.Log.System.Warn().Err(err).Str("event", "dependency-lost").Str("dependency", "store").Bool("reader", w.reader).Uint64("version", w.Version()).Dur("age", w.Age()).Msg("failed to read from the store; retrying")
	}
}

func (s *Service) wakeAnnouncer() {
	select {
	case s.announce <- struct{}{}:
	default: // the announcer has not yet taken the previous wake-up and will announce the latest version
	}
}

// announceVersions announces the versions that this node reads from the store or,
// as a reader, has from a peer, and renews the announcement while the node is a
// reader.
func (s *Service) announceVersions(ctx context.Context) {
	delay := newBackoff()
	for interval := firstAnnounceDelay; ctx.Err() == nil; interval = announceInterval {
		select {
		case <-ctx.Done():
			return
		case <-s.announce:
		case <-time.After(interval + rand.N(interval/2)):
			if !s.isReader() {
				continue
			}
		}
		for failures := 0; s.Version() > 0 && ctx.Err() == nil; {
			err := s.Source.AnnounceVersion(ctx, s.Version())
			if err == nil {
				break
			}
			if failures++; failures == 1 {
				s.Log.System.Warn().Err(err).Str("event", "config-announce-failed").Uint64("version", s.Version()).Msg("failed to announce the configuration version; retrying")
			}
			sleep(ctx, delay(failures))
		}
	}
}
