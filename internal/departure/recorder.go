package departure

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyturn/internal/announcement"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/platformclient"
	"parsleyturn/internal/wire"
)

// Table is the platform's table of departures. It has a row for each target that has
// left lately, and one for the session of each node.
const Table = "departures"

const (
	// attemptTimeout bounds one attempt to write, so that a second one can be made
	// while the target waits for its acknowledgement. A store that is sixty times
	// slower than usual responds within 240 ms.
	attemptTimeout = 380 * time.Millisecond
	writeAttempts  = 2
	// storePatience is the time after which other nodes suffice to keep a departure.
	storePatience = 400 * time.Millisecond
	// retention is how long a row is kept. It exceeds LateLimit by more than the
	// clocks of two VMs differ.
	retention = 10 * time.Minute
	// maxDeleted bounds the expired rows that are deleted after a write.
	maxDeleted    = 8
	deleteTimeout = 10 * time.Second
	// pageRows is the number of rows of an availability zone that are read at a time,
	// and maxPages bounds the pages.
	pageRows = 500
	maxPages = 20
	// sessionLength is the time for which the row of a session is valid after it was
	// written, and sessionRenewal the time after which it is written again. The row is
	// kept for longer by more than the clocks of two VMs differ.
	sessionLength  = retention / 2
	sessionRenewal = 4 * time.Minute
	// minRetry and maxRetry bound the time between attempts to write departures that are
	// not in the store. If only the session is missing, maxSessionRetry is the bound:
	// after a long outage, all nodes write theirs.
	minRetry        = 250 * time.Millisecond
	maxRetry        = time.Second
	maxSessionRetry = 10 * time.Second
	// depositTimeout bounds an attempt to leave a departure with other nodes again.
	depositTimeout = time.Second
)

var (
	recorded      = metrics.NewCounter(`parsley_departures_recorded_total`)
	writtenLater  = metrics.NewCounter(`parsley_departures_written_later_total`)
	notRecorded   = metrics.NewCounter(`parsley_departures_not_recorded_total`)
	readCount     = metrics.NewCounter(`parsley_departures_reads_total`)
	readErrors    = metrics.NewCounter(`parsley_departures_read_errors_total`)
	malformedRows = metrics.NewCounter(`parsley_departures_malformed_rows_total`)
)

// ErrNotRecorded means that the node would forget a departure if it restarted.
var ErrNotRecorded = errors.New("the departure of the target is in effect, but neither the platform's store nor other nodes keep it; announce it again")

var (
	errNoStore = errors.New("there is no platform")
	errNoNodes = errors.New("there are no other nodes")
	// errNodesOnly means that other nodes hold a departure that a later process would
	// not miss if they lost it.
	errNodesOnly = errors.New("other nodes hold the departure, which does not suffice")
)

// What keeps a departure, in the log.
const (
	keptByStore = "store"
	keptByNodes = "nodes"
)

// RowStore is the part of the platform that Recorder uses.
type RowStore interface {
	List(ctx context.Context, table, prefix, after string, limit int) ([]platformclient.Row, error)
	Put(ctx context.Context, table, key string, data []byte, cond platformclient.Condition) (string, error)
	Delete(ctx context.Context, table, key string) error
}

// Depositor leaves data with other nodes for the next process of this node. It is
// implemented by *gossip.Service.
type Depositor interface {
	Deposit(ctx context.Context, data []byte) error
}

// Recorder keeps the departures of a node's targets in the platform's store. Each has
// a row of its own, so that a write that takes effect late replaces no other. One that
// could not be written is written as soon as the store is back.
//
// The other nodes hold each departure for a short time as well. They return it to the
// next process of the node (membership.Returned), also while the store is down.
type Recorder struct {
	// Sessions lets the memory of other nodes suffice for an acknowledgement while the
	// store is away; see Ledger. The node must not use a target that may have left
	// before its process started unless Journal.OnComplete was called. Set it before
	// Start.
	Sessions bool

	store     RowStore
	depositor Depositor
	// zonePrefix and nodePrefix begin the keys of the availability zone and of the
	// node. sessionKey is the key of the session of this process.
	zonePrefix, nodePrefix, sessionKey string
	log                                zerolog.Logger
	now                                func() time.Time

	// busy is held by the calls that must not overlap.
	busy chan struct{}
	// wake wakes the writer after a change of the ledger.
	wake   chan struct{}
	writer kernel.Worker

	mu     sync.Mutex
	ledger Ledger
	// expired has the keys of rows that are no longer needed.
	expired []string
	// wantsSession is set while the process keeps a session, and renewSession is the
	// uptime of the next write of its row.
	wantsSession bool
	renewSession time.Duration
}

// NewRecorder returns the recorder of a node. store is nil if there is no platform, and
// depositor if there are no other nodes.
func NewRecorder(store RowStore, depositor Depositor, zone, nodeID string, log zerolog.Logger) *Recorder {
	zonePrefix := url.PathEscape(zone) + "/"
	nodePrefix := zonePrefix + url.PathEscape(nodeID) + "/"
	return &Recorder{
		store: store, depositor: depositor, zonePrefix: zonePrefix, nodePrefix: nodePrefix,
		sessionKey: fmt.Sprintf("%s%s%016x", nodePrefix, sessionPart, rand.Uint64()), log: log, now: time.Now,
		busy: make(chan struct{}, 1), wake: make(chan struct{}, 1),
	}
}

// Start starts to write what could not be written at once.
func (r *Recorder) Start() { r.writer.Start(r.run) }

// Stop stops writing.
func (r *Recorder) Stop() { r.writer.Stop() }

// key returns the key of the row of a departure.
func (r *Recorder) key(d *Departure) string {
	return fmt.Sprintf("%s%016x", r.nodePrefix, xxhash.Sum64String(d.TargetID+"/"+strconv.FormatInt(d.StartedAtMillis, 10)))
}

// lock waits until no other call uses the recorder.
func (r *Recorder) lock(ctx context.Context) error {
	select {
	case r.busy <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Recorder) unlock() { <-r.busy }

// Record returns once a departure is kept: the store has acknowledged it or, if the
// store has not within storePatience, enough other nodes hold it and suffice. The error
// matches ErrNotRecorded. The departure is written later in any case.
func (r *Recorder) Record(ctx context.Context, d Departure) error {
	if !r.add(d) {
		return nil
	}
	keptBy := ""
	err := r.lock(ctx)
	if err == nil {
		defer r.unlock()
		keptBy, err = r.keep(ctx, &d)
	}
	if keptBy != keptByStore {
		r.signal()
	}
	if err != nil {
		notRecorded.Inc()
		r.log.Warn().Err(err).Str("event", "departure-not-recorded").Str("target", d.TargetID).Int64("born", d.StartedAtMillis).Msg("departure of the target is not kept; not acknowledged")
		return fmt.Errorf("%w: %w", ErrNotRecorded, err)
	}
	recorded.Inc()
	r.log.Info().Str("event", "departure-recorded").Str("target", d.TargetID).Int64("born", d.StartedAtMillis).Str("by", keptBy).Msg("departure of the target is kept")
	go r.delete(r.takeExpired())
	return nil
}

// Adopt writes a departure that an earlier process has left with other nodes, unless it
// is in the store.
func (r *Recorder) Adopt(d Departure) {
	if r.add(d) {
		r.signal()
	}
}

// add adds a departure that is in effect, and reports whether it has to be written.
func (r *Recorder) add(d Departure) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Add(r.key(&d), d)
}

func (r *Recorder) nodesSuffice() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.NodesSuffice(kernel.Uptime())
}

// suffices reports whether d, which is in the store, excludes as many heartbeats as a
// later statement about the same incarnation.
func (d *Departure) suffices(later *Departure) bool {
	switch {
	case d.final():
		return true
	case d.Sequence == 0:
		return d.StatedAtMillis >= later.StatedAtMillis
	}
	return later.Sequence != 0 && d.Sequence >= later.Sequence
}

// keep gives a departure to the store and to other nodes, and returns which of them
// keeps it.
func (r *Recorder) keep(ctx context.Context, d *Departure) (by string, err error) {
	data, err := msgpack.Marshal(d)
	if err != nil {
		return "", fmt.Errorf("encode the departure: %w", err)
	}
	stored, held := make(chan error, 1), make(chan error, 1)
	go func() { stored <- r.writeDeparture(context.WithoutCancel(ctx), d, writeAttempts) }()
	go func() { held <- r.deposit(ctx, data) }()
	patience := time.NewTimer(storePatience)
	defer patience.Stop()
	var errs []error
	for heldByNodes, waiting := false, true; ; {
		select {
		case err := <-stored:
			if err == nil {
				return keptByStore, nil
			}
			errs, waiting = append(errs, err), false
		case err := <-held:
			if err == nil && !r.nodesSuffice() {
				err = errNodesOnly
			}
			if heldByNodes = err == nil; !heldByNodes {
				errs = append(errs, err)
			}
		case <-patience.C:
			waiting = false
		}
		if heldByNodes && !waiting {
			return keptByNodes, nil
		}
		if len(errs) == 2 {
			return "", errors.Join(errs...)
		}
	}
}

func (r *Recorder) deposit(ctx context.Context, data []byte) error {
	if r.depositor == nil {
		return errNoNodes
	}
	return r.depositor.Deposit(ctx, data)
}

// writeDeparture writes the row of a departure.
func (r *Recorder) writeDeparture(ctx context.Context, d *Departure, attempts int) error {
	data, err := msgpack.Marshal(d)
	if err != nil {
		return fmt.Errorf("encode the departure: %w", err)
	}
	key := r.key(d)
	if err := r.write(ctx, key, data, attempts); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ledger.Written(key, *d) {
		r.signal()
	}
	return nil
}

// write writes a row. A write whose response is lost is repeated, up to the given
// number of attempts.
func (r *Recorder) write(ctx context.Context, key string, data []byte, attempts int) error {
	if r.store == nil {
		return errNoStore
	}
	var err error
	for range attempts {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		_, err = r.store.Put(attempt, Table, key, data, platformclient.Condition{})
		cancel()
		if !errors.Is(err, platformclient.ErrUnknownOutcome) {
			return err
		}
	}
	return err
}

// Rewrite writes the rows of the node again, for a store that may have lost them.
func (r *Recorder) Rewrite() {
	r.mu.Lock()
	r.ledger.Lose()
	r.renewSession = 0
	r.mu.Unlock()
	r.signal()
}

// Load returns the departures that this process and earlier ones of the node have
// recorded, the latest one last.
func (r *Recorder) Load(ctx context.Context) ([]Departure, error) {
	if err := r.lock(ctx); err != nil {
		return nil, err
	}
	defer r.unlock()
	if r.store == nil {
		return nil, errNoStore
	}
	readCount.Inc()
	rows, err := r.readZone(ctx)
	if err != nil {
		readErrors.Inc()
		return nil, fmt.Errorf("read the departures: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expired = nil
	var sessions []string
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, r.zonePrefix) {
			continue
		}
		if strings.Contains(row.Key, "/"+sessionPart) {
			if strings.HasPrefix(row.Key, r.nodePrefix) {
				if row.Key != r.sessionKey {
					sessions = append(sessions, row.Key)
				}
			} else if r.isSessionExpired(row.Data) {
				r.expired = append(r.expired, row.Key)
			}
			continue
		}
		d, err := Decode(row.Data)
		switch {
		case err != nil:
			malformedRows.Inc()
			r.log.Warn().Err(err).Str("event", "departure-malformed").Str("key", row.Key).Msg("row of a departure ignored")
		case row.Key == r.key(&d):
			if !r.ledger.Written(row.Key, d) {
				r.signal()
			}
		case r.isExpired(&d):
			r.expired = append(r.expired, row.Key)
		}
	}
	r.ledger.Read(sessions)
	return r.ledger.Stored(), nil
}

// readZone reads the rows of the availability zone.
func (r *Recorder) readZone(ctx context.Context) ([]platformclient.Row, error) {
	var rows []platformclient.Row
	for after, page := "", 0; page < maxPages; page++ {
		next, err := r.store.List(ctx, Table, r.zonePrefix, after, pageRows)
		if err != nil {
			return nil, err
		}
		rows = append(rows, next...)
		if len(next) < pageRows {
			return rows, nil
		}
		after = next[len(next)-1].Key
	}
	return nil, fmt.Errorf("table %q has more than %d rows of this availability zone", Table, maxPages*pageRows)
}

// Complete reports whether the store has all departures that earlier processes of the
// node have acknowledged.
func (r *Recorder) Complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Complete()
}

// isExpired reports whether no heartbeat from before the departure can arrive any
// more.
func (r *Recorder) isExpired(d *Departure) bool {
	return r.now().Sub(time.UnixMilli(d.StatedAtMillis)).Abs() > retention
}

// takeExpired returns the keys of up to maxDeleted expired rows.
func (r *Recorder) takeExpired() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expired = append(r.expired, r.ledger.Forget(r.isExpired)...)
	n := min(len(r.expired), maxDeleted)
	taken := r.expired[:n:n]
	r.expired = r.expired[n:]
	return taken
}

// delete deletes rows. Those that remain are deleted by a node that starts later.
func (r *Recorder) delete(keys []string) {
	ctx, cancel := context.WithTimeout(context.Background(), deleteTimeout)
	defer cancel()
	for _, key := range keys {
		if err := r.store.Delete(ctx, Table, key); err != nil {
			r.log.Debug().Err(err).Str("key", key).Msg("cannot delete the expired row of a departure")
		}
	}
}

// Decode decodes and checks a departure from a row or a deposit, which may come from
// another writer.
func Decode(data []byte) (Departure, error) {
	var d Departure
	if err := wire.CheckDepth(data); err != nil {
		return d, fmt.Errorf("departure: %w", err)
	}
	if err := msgpack.Unmarshal(data, &d); err != nil {
		return d, fmt.Errorf("departure: %w", err)
	}
	if err := announcement.CheckName("target id", d.TargetID); err != nil {
		return d, err
	}
	if d.StartedAtMillis < 0 || d.Sequence < 0 || d.StatedAtMillis <= 0 {
		return d, fmt.Errorf("departure of target %q: start %d ms, sequence %d, stated at %d ms; want positive numbers", d.TargetID, d.StartedAtMillis, d.Sequence, d.StatedAtMillis)
	}
	return d, nil
}
