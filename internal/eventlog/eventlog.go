// Package eventlog writes the structured log of a node: one line for each
// decision that affects a request or changes the node's view of the mesh.
// Writing never blocks, and the number of lines about requests is bounded: those
// about successful requests have a lower rate limit than those about refusals,
// failures and retries.
package eventlog

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	// flushInterval batches the lines of 100 ms into one write, because a system
	// call costs about as much as formatting a line.
	flushInterval = 100 * time.Millisecond
	// maxBufferedBytes bounds the lines that are buffered while standard output
	// blocks.
	maxBufferedBytes = 256 << 10
	// maxSuccessLines is the number of lines per second about requests that
	// succeeded at the first attempt. In the baseline scenario, a node gets
	// about 25 requests per second.
	maxSuccessLines = 10
	// maxFailureLines is the number of lines per second about refusals, failures
	// and retries. It is enough for ten times the baseline request rate.
	maxFailureLines = 250
)

var (
	linesDropped = metrics.NewCounter(`parsley_log_lines_dropped_total`)
	writeErrors  = metrics.NewCounter(`parsley_log_write_errors_total`)
)

// Writer buffers lines and writes them in the background.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	buf     bytes.Buffer
	dropped int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// NewWriter returns a Writer to out. It must be closed with Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a line, or drops it if the buffer is full or w is closed. It
// never returns an error.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buf.Len()+len(p) > maxBufferedBytes || w.closed {
		w.dropped++
		linesDropped.Inc()
		return len(p), nil
	}
	w.buf.Write(p)
	if w.buf.Len() == len(p) {
		w.wake <- struct{}{}
	}
	return len(p), nil
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		time.Sleep(flushInterval)
		w.flush()
	}
	w.flush()
}

func (w *Writer) flush() {
	w.mu.Lock()
	if w.dropped > 0 {
		w.buf.WriteString(`{"level":"warn","event":"log-lines-dropped"}` + "\n")
		w.dropped = 0
	}
	data := bytes.Clone(w.buf.Bytes())
	w.buf.Reset()
	w.mu.Unlock()
	if len(data) == 0 {
		return
	}
	if _, err := w.out.Write(data); err != nil {
		writeErrors.Inc()
	}
}

// Close writes the buffered lines and stops the writer.
func (w *Writer) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	close(w.wake)
	w.mu.Unlock()
	<-w.done
}

// Log has one logger for each class of events.
type Log struct {
	// System is for starts, stops, the state of dependencies and changes of the
	// node's view of the mesh. It has no rate limit, because the rate of these
	// events is bounded by their causes.
	System zerolog.Logger
	// Failure is for refusals, failures and retries of requests.
	Failure zerolog.Logger
	// Success is for requests that succeeded at the first attempt.
	Success zerolog.Logger
}

// timeFormat has milliseconds, so that lines of several nodes can be put in
// order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns the loggers of a node, which write to w.
func New(w io.Writer, node string) Log {
	base := zerolog.New(w).With().Timestamp().Str("node", node).Logger()
	return Log{
		System:  base,
		Failure: base.Sample(&zerolog.BurstSampler{Burst: maxFailureLines, Period: time.Second}),
		Success: base.Sample(&zerolog.BurstSampler{Burst: maxSuccessLines, Period: time.Second}),
	}
}

// Nop returns loggers that discard all lines.
func Nop() Log { return Log{zerolog.Nop(), zerolog.Nop(), zerolog.Nop()} }
