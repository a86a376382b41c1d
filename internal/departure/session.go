package departure

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"parsleyturn/internal/kernel"
	"parsleyturn/internal/wire"
)

// sessionPart follows the node's part of the key of a session. Other keys have no
// further slash.
const sessionPart = "session/"

// session is the value of the row of a session.
type session struct {
	// WrittenAtMillis is the time of the write in Unix ms, by the clock of the node.
	WrittenAtMillis int64 `msgpack:"sw"`
}

// isSessionExpired reports whether the session of another node has ended without being
// deleted. A row of another writer is kept.
func (r *Recorder) isSessionExpired(data []byte) bool {
	var s session
	if wire.CheckDepth(data) != nil || msgpack.Unmarshal(data, &s) != nil || s.WrittenAtMillis <= 0 {
		return false
	}
	return r.now().Sub(time.UnixMilli(s.WrittenAtMillis)).Abs() > retention
}

// BeginSession starts to keep a session, if the recorder uses them.
func (r *Recorder) BeginSession() {
	if !r.Sessions {
		return
	}
	r.mu.Lock()
	r.wantsSession = true
	r.mu.Unlock()
	r.signal()
}

// EndSession writes what is not in the store and then deletes the session, so that the
// next process of the node finds that nothing is missing. Call it when the node stops.
func (r *Recorder) EndSession(ctx context.Context) {
	if r.store == nil || r.lock(ctx) != nil {
		return
	}
	defer r.unlock()
	_ = r.writeMissing(ctx) // the session remains
	r.mu.Lock()
	wanted := r.wantsSession
	r.wantsSession = false
	ended := r.ledger.EndSession()
	r.mu.Unlock()
	switch {
	case !wanted:
	case !ended:
		r.log.Warn().Str("event", "departures-pending").Msg("departures of targets are not in the store; the next process of this node will confirm its target")
	default:
		if err := r.store.Delete(ctx, Table, r.sessionKey); err != nil {
			r.log.Debug().Err(err).Msg("cannot delete the session; the next process of this node will confirm its target")
		}
	}
}

// EndEarlier deletes the sessions of earlier processes. Call it once no heartbeat from
// before the start of this process can arrive.
func (r *Recorder) EndEarlier() {
	r.mu.Lock()
	keys := r.ledger.EndEarlier()
	r.mu.Unlock()
	r.delete(keys)
}

// untilRenewal returns the time until the session has to be written again.
func (r *Recorder) untilRenewal() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.wantsSession {
		return sessionRenewal
	}
	return max(r.renewSession-kernel.Uptime(), 0)
}

// writeSession writes the row of the session.
func (r *Recorder) writeSession(ctx context.Context) error {
	data, err := msgpack.Marshal(session{WrittenAtMillis: r.now().UnixMilli()})
	if err != nil {
		return err
	}
	begin := kernel.Uptime()
	if err := r.write(ctx, r.sessionKey, data, 1); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.wantsSession {
		if !r.ledger.NodesSuffice(begin) {
			r.log.Info().Str("event", "departure-session").Msg("the store has a session of this process: other nodes suffice to keep departures while the store is away")
		}
		r.ledger.BeginSession(begin + sessionLength)
		r.renewSession = begin + sessionRenewal
	}
	return nil
}
