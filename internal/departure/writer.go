package departure

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"parsleyturn/internal/kernel"
)

// signal wakes the writer.
func (r *Recorder) signal() {
	select {
	case r.wake <- struct{}{}:
	default: // it is awake
	}
}

// run writes what is not in the store, until ctx ends.
func (r *Recorder) run(ctx context.Context) {
	for delay := minRetry; ; {
		var wait time.Duration
		if err := r.writeMissing(ctx); err == nil {
			wait, delay = r.untilRenewal(), minRetry
		} else {
			// The jitter spreads the calls of nodes that lost the store together.
			wait, delay = delay/2+rand.N(delay/2), min(2*delay, r.maxDelay())
		}
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
			delay = minRetry
		case <-time.After(wait):
		}
	}
}

// maxDelay returns the longest time between two attempts to write what is missing now.
func (r *Recorder) maxDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ledger.Pending()) == 0 {
		return maxSessionRetry
	}
	return maxRetry
}

// writeMissing writes the session, if it is due, and the departures that are not in the
// store. It ends with the first error, after which other nodes get the departures.
func (r *Recorder) writeMissing(ctx context.Context) error {
	if r.store == nil {
		return nil
	}
	r.mu.Lock()
	pending, renew := r.ledger.Pending(), r.wantsSession && kernel.Uptime() >= r.renewSession
	r.mu.Unlock()
	var err error
	if renew {
		err = r.writeSession(ctx)
	}
	var deposits sync.WaitGroup
	defer deposits.Wait()
	for _, d := range pending {
		if err == nil {
			if err = r.writeDeparture(ctx, &d, 1); err == nil {
				writtenLater.Inc()
				r.log.Info().Str("event", "departure-written-later").Str("target", d.TargetID).Int64("born", d.StartedAtMillis).Msg("departure of the target is in the store")
				continue
			}
		}
		deposits.Go(func() { r.depositAgain(ctx, &d) })
	}
	return err
}

// depositAgain leaves a departure with other nodes once more, as those that held it may
// have stopped. It waits for at most depositTimeout.
func (r *Recorder) depositAgain(ctx context.Context, d *Departure) {
	if r.depositor == nil || r.now().Sub(time.UnixMilli(d.StatedAtMillis)).Abs() > LateLimit {
		return // no heartbeat from before it can arrive any more
	}
	data, err := msgpack.Marshal(d)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, depositTimeout)
	defer cancel()
	_ = r.deposit(ctx, data) // there may be no other node
}
