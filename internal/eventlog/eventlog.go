// Package eventlog writes the structured log of a node: one line for each
// decision that touches a request or changes what the node believes. Writing
// never blocks, and the number of lines is bounded: lines of successes have a
// smaller allowance than those of refusals, failures and repeats.
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
	// flushInterval joins the lines of a tenth of a second into one write, as
	// each system call costs about as much as formatting a line.
	flushInterval = 100 * time.Millisecond
	// maxBuffered bounds the lines that wait while standard output does not
	// take them.
	maxBuffered = 256 << 10
	// successLines is the number of lines a second about requests that
	// succeeded at their first target. The baseline day has about 25 requests
	// a second at a node.
	successLines = 10
	// failureLines is the number of lines a second about refusals, failures
	// and repeats. Ten times the usual rate of requests fits.
	failureLines = 250
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

// NewWriter returns a writer to out, which is closed with Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It drops the line if too many wait.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buf.Len()+len(p) > maxBuffered || w.closed {
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

// Close writes what is queued and ends the writer.
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

// Log has one logger for each class of lines.
type Log struct {
	// System is for starts, stops, dependencies and changes of belief. It has
	// no allowance, as these are bounded by their causes.
	System zerolog.Logger
	// Failure is for refusals, failures and repeats of requests.
	Failure zerolog.Logger
	// Success is for requests that succeeded.
	Success zerolog.Logger
}

// timeFormat gives lines of several nodes their order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns the loggers of a node that write to w.
func New(w io.Writer, node string) Log {
	base := zerolog.New(w).With().Timestamp().Str("node", node).Logger()
	return Log{
		System:  base,
		Failure: base.Sample(&zerolog.BurstSampler{Burst: failureLines, Period: time.Second}),
		Success: base.Sample(&zerolog.BurstSampler{Burst: successLines, Period: time.Second}),
	}
}

// Nop returns loggers that write nothing.
func Nop() Log { return Log{zerolog.Nop(), zerolog.Nop(), zerolog.Nop()} }
