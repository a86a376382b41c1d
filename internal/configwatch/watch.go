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
	// announceInterval is the time after which a reader renews the announcement.
	// A random time of up to half of it is added.
	announceInterval = 18 * time.Second
	// followerPollTimeout is the time without an announcement after which a
	// follower takes the readers for cut off from the store. It exceeds the
	// longest time between two announcements.
	followerPollTimeout = 30 * time.Second
	// roleCheckInterval is the interval at which a node that waits for the store
	// checks whether its role has changed.
	roleCheckInterval = time.Second
)

// watcher is the state of the watch between two calls of the store.
type watcher struct {
	*Service
	reader   bool
	position Position
	// synced is set while position is the position of the last read.
	synced   bool
	failures int
}

func (s *Service) watch(ctx context.Context) {
	w := &watcher{Service: s, reader: s.isReader()}
	delay := newBackoff()
	for ctx.Err() == nil {
		w.updateRole()
		callCtx, cancel := context.WithCancel(ctx)
		stop := w.cancelOnRoleChange(callCtx, cancel)
		s.storeCall.Store(int64(kernel.Uptime()))
		err := w.step(callCtx)
		superseded := callCtx.Err() != nil
		cancel()
		<-stop
		switch {
		case err == nil:
			w.recordSuccess()
		case superseded: // the role has changed, or the service stops
		case errors.Is(err, ErrHistoryGone):
			s.Log.System.Info().Err(err).Str("event", "history-gone").Uint64("position", uint64(w.position)).Msg("history no longer available; reading the current state")
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

// cancelOnRoleChange calls cancel when the role changes. The returned channel is
// closed once ctx has ended and no check runs any more.
func (w *watcher) cancelOnRoleChange(ctx context.Context, cancel func()) <-chan struct{} {
	done := make(chan struct{})
	reader := w.reader
	go func() {
		defer close(done)
		ticker := time.NewTicker(roleCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				if w.isReader() != reader {
					cancel()
					return
				}
			}
		}
	}()
	return done
}

// step makes one call of the store according to the role of the node.
func (w *watcher) step(ctx context.Context) error {
	switch {
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
	w.synced, w.position = true, position
	// A node without a configuration fetches whatever the readers have.
	w.report(max(version, w.Version(), 1), "")
	return nil
}

func (w *watcher) adoptUpdate(update Update, err error) error {
	if err != nil {
		return err
	}
	w.synced, w.position = true, update.Position
	if update.Table != nil {
		w.adoptFromStore(update)
	}
	return nil
}

func (s *Service) adoptFromStore(update Update) {
	storeBytes.Add(len(update.Table.Source))
	// The first version that a process reads is seldom new, and many processes
	// may start together.
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
	w.position = position
	if version > 0 {
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
	w.failures = 0
}

// recordFailure counts a failed call. The position stays valid, so that the next
// call returns only what has changed.
func (w *watcher) recordFailure(err error) {
	readErrors.Inc()
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

// announceVersions announces the versions that this node reads from the store,
// and renews the announcement while the node is a reader.
func (s *Service) announceVersions(ctx context.Context) {
	delay := newBackoff()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.announce:
		case <-time.After(announceInterval + rand.N(announceInterval/2)):
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
