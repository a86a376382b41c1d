package targethost

import (
	"context"
	"time"

	"parsleyturn/internal/departure"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/wire"
)

const (
	// recordTimeout leaves the target's time limit of 1 s for an acknowledgement room
	// for the response.
	recordTimeout = 800 * time.Millisecond
	// loadTimeout bounds one attempt to read earlier departures.
	loadTimeout = 700 * time.Millisecond
	// returnTime is the time in which other nodes return departures once one of them
	// knows of this process. Without other nodes and the store there is no
	// configuration either, so that a wait of maxReturnWait delays no request.
	returnTime         = 500 * time.Millisecond
	maxReturnWait      = 3 * time.Second
	returnPollInterval = 20 * time.Millisecond
	// loadRetryDelay is the time before the second attempt; it doubles with each one.
	loadRetryDelay = time.Second
)

// DepartureLog keeps the departures of the node's targets beyond the end of the
// process.
type DepartureLog interface {
	// Record returns once a departure is kept, or an error that matches
	// departure.ErrNotRecorded.
	Record(ctx context.Context, d departure.Departure) error
	// Load returns the departures that were recorded.
	Load(ctx context.Context) ([]departure.Departure, error)
}

// departure returns the departure that an announcement states.
func (a *Announcement) departure() departure.Departure {
	return departure.Departure{TargetID: a.ID, StartedAtMillis: a.StartedAtMillis, Sequence: a.Sequence, StatedAtMillis: time.Now().UnixMilli()}
}

// withdrawal returns the departure of the announced target for good.
func (a *Announcement) withdrawal() departure.Departure {
	d := a.departure()
	d.Sequence = 0
	return d
}

// recordDeparture returns once a departure would survive the end of this process.
func (h *Host) recordDeparture(d departure.Departure) error {
	if h.Departures == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	return h.Departures.Record(ctx, d)
}

// awaitEarlierDepartures waits until the departures are known that earlier processes
// of the node have acknowledged, or could not be read.
func (h *Host) awaitEarlierDepartures() {
	if h.Departures == nil {
		return
	}
	h.announced.Do(func() { close(h.firstAnnouncement) })
	<-h.loadAttempted
}

// loadDepartures reads the earlier departures at the first announcement. If that
// fails, it tries again for as long as heartbeats from before the start of this
// process may arrive.
func (h *Host) loadDepartures(ctx context.Context) {
	select {
	case <-ctx.Done():
		close(h.loadAttempted)
		return
	case <-h.firstAnnouncement:
	}
	begin := kernel.Uptime()
	err := h.loadDeparturesOnce(ctx)
	if err != nil {
		h.awaitReturns(ctx)
	}
	close(h.loadAttempted)
	for delay := loadRetryDelay; err != nil && kernel.Uptime()-begin+delay < departure.LateLimit; delay *= 2 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		err = h.loadDeparturesOnce(ctx)
	}
}

// awaitReturns waits until other nodes have had the time to return the departures that
// they hold, which they do as soon as they know of this process.
func (h *Host) awaitReturns(ctx context.Context) {
	if h.HasPeers == nil {
		return
	}
	begin := kernel.Uptime()
	for end := begin + maxReturnWait; kernel.Uptime() < end; {
		if h.HasPeers() {
			end = min(end, kernel.Uptime()+returnTime)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(returnPollInterval):
		}
	}
}

func (h *Host) loadDeparturesOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	earlier, err := h.Departures.Load(ctx)
	if err != nil {
		h.Log.System.Warn().Err(err).Str("event", "departures-unknown").Msg("departures before the start of this process could not be read; a target that has left may be used again")
		return err
	}
	h.Log.System.Info().Str("event", "departures-read").Int("count", len(earlier)).Msg("departures before the start of this process are known")
	for _, d := range earlier {
		h.learnDeparture(d, "left before this process started")
	}
	return nil
}

// learnDeparture drains the target if it is the one that has left, also if it is
// announced only later.
func (h *Host) learnDeparture(d departure.Departure, why string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := kernel.Uptime()
	h.departed.Add(d, now)
	if h.known && !h.target.Draining && h.departed.Covers(h.target.ID, h.target.StartedAtMillis, h.target.Sequence, now) {
		h.target.Draining = true
		h.publish(why)
	}
}

// HandleReturnedDeparture handles a departure that another node has held for this one.
func (h *Host) HandleReturnedDeparture(data []byte) {
	d, err := departure.Decode(data)
	if err != nil {
		h.Log.System.Warn().Err(err).Str("event", "departure-malformed").Msg("departure that another node returned is ignored")
		return
	}
	h.learnDeparture(d, "left before this process started, says a peer")
}

// learnLeaving handles the statement of another node that a target of this node
// leaves.
func (h *Host) learnLeaving(t wire.Target) {
	if t.StartedAtMillis == 0 {
		return // none, or an incarnation that cannot be told from a later one
	}
	h.learnDeparture(departure.Departure{TargetID: t.ID, StartedAtMillis: t.StartedAtMillis, StatedAtMillis: time.Now().UnixMilli()}, "leaving, says a peer")
}
