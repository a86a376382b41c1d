package departure

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"parsleyturn/internal/kernel"
)

const (
	// recordTimeout leaves the target's time limit of 1 s for an acknowledgement room
	// for the response.
	recordTimeout = 800 * time.Millisecond
	// loadTimeout bounds one attempt to read earlier departures.
	loadTimeout = 700 * time.Millisecond
	// loadRetryDelay is the time before the second attempt; it doubles with each one.
	loadRetryDelay = time.Second
	// returnTime is the time in which other nodes return departures once one of them
	// knows of this process. Without other nodes and the store there is no
	// configuration either, so that a wait of maxReturnWait delays no request.
	returnTime         = 500 * time.Millisecond
	maxReturnWait      = 3 * time.Second
	returnPollInterval = 20 * time.Millisecond
)

// Journal keeps the departures that a node acknowledges, and learns those that earlier
// processes of the node have acknowledged. The zero value and nil keep none.
type Journal struct {
	Recorder *Recorder
	// HasPeers reports whether other nodes know of this process.
	HasPeers func() bool
	// OnLearned is called with each earlier departure and with where it comes from. Set
	// it before Start.
	OnLearned func(d Departure, why string)
	// OnComplete is called once all departures that earlier processes have acknowledged
	// are learned. Without the call, some may be unknown. Set it before Start; nil means
	// none.
	OnComplete func()
	Log        zerolog.Logger

	loader kernel.Worker
	// announced closes firstAnnouncement.
	announced         sync.Once
	firstAnnouncement chan struct{}
	// attempted is closed once earlier departures are known or could not be read.
	attempted chan struct{}
}

// Keeps reports whether the journal keeps departures.
func (j *Journal) Keeps() bool { return j != nil && j.Recorder != nil }

// Start starts to wait for the first announcement of a target.
func (j *Journal) Start() {
	if !j.Keeps() {
		return
	}
	j.firstAnnouncement, j.attempted = make(chan struct{}), make(chan struct{})
	j.Recorder.Start()
	j.loader.Start(j.load)
}

// Stop ends the reading of earlier departures, and the writing of those that are not in
// the store.
func (j *Journal) Stop() {
	if j.Keeps() {
		j.loader.Stop()
		j.Recorder.Stop()
	}
}

// Close writes what is not in the store yet, until ctx ends. Call it before Stop when
// the node stops as planned.
func (j *Journal) Close(ctx context.Context) {
	if j.Keeps() {
		j.Recorder.EndSession(ctx)
	}
}

// Record returns once a departure would survive the end of this process, or an error
// that matches ErrNotRecorded.
func (j *Journal) Record(d Departure) error {
	if !j.Keeps() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	return j.Recorder.Record(ctx, d)
}

// Await waits until the departures are known that earlier processes of the node have
// acknowledged, or could not be read. It is called before an announcement is used.
func (j *Journal) Await() {
	if j == nil || j.attempted == nil {
		return
	}
	j.announced.Do(func() { close(j.firstAnnouncement) })
	<-j.attempted
}

// HandleReturned handles a departure that another node has held for this one.
func (j *Journal) HandleReturned(data []byte) {
	d, err := Decode(data)
	if err != nil {
		j.Log.Warn().Err(err).Str("event", "departure-malformed").Msg("departure that another node returned is ignored")
		return
	}
	j.OnLearned(d, "left before this process started, says a peer")
	j.Recorder.Adopt(d)
}

// load reads the earlier departures at the first announcement. If that fails, it tries
// again for as long as heartbeats from before the start of this process may arrive.
func (j *Journal) load(ctx context.Context) {
	select {
	case <-ctx.Done():
		close(j.attempted)
		return
	case <-j.firstAnnouncement:
	}
	begin := kernel.Uptime()
	err := j.loadOnce(ctx)
	if err != nil {
		j.awaitReturns(ctx)
	}
	close(j.attempted)
	j.Recorder.BeginSession()
	for delay := loadRetryDelay; err != nil && !errors.Is(err, errNoStore) && kernel.Uptime()-begin+delay < LateLimit; delay *= 2 {
		if !sleep(ctx, delay) {
			return
		}
		err = j.loadOnce(ctx)
	}
	if sleep(ctx, begin+LateLimit-kernel.Uptime()) {
		j.Recorder.EndEarlier()
	}
}

// sleep waits and reports whether ctx has not ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (j *Journal) loadOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	earlier, err := j.Recorder.Load(ctx)
	if err != nil {
		j.Log.Warn().Err(err).Str("event", "departures-unknown").Msg("departures before the start of this process could not be read from the store")
		return err
	}
	complete := j.Recorder.Complete()
	j.Log.Info().Str("event", "departures-read").Int("count", len(earlier)).Bool("complete", complete).Msg("departures before the start of this process have been read; if not complete, the store may lack some")
	for _, d := range earlier {
		j.OnLearned(d, "left before this process started")
	}
	if complete && j.OnComplete != nil {
		j.OnComplete()
	}
	return nil
}

// awaitReturns waits until other nodes have had the time to return the departures that
// they hold, which they do as soon as they know of this process.
func (j *Journal) awaitReturns(ctx context.Context) {
	begin := kernel.Uptime()
	for end := begin + maxReturnWait; j.HasPeers != nil && kernel.Uptime() < end; {
		if j.HasPeers() {
			end = min(end, kernel.Uptime()+returnTime)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(returnPollInterval):
		}
	}
}
