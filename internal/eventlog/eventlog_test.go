package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// Guards against a node that blocks on its log output, and against lines that
// are dropped without a log entry that says so.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	begin := time.Now()
	for range 3 * maxBufferedBytes / len(line) {
		_, err := w.Write(line)
		assert.NilError(t, err)
		if w.dropped == 0 && time.Since(begin) > 5*time.Second {
			t.Fatal("Write blocks while the output is blocked")
		}
	}
	assert.Assert(t, time.Since(begin) < 2*time.Second)
	close(out.release)
	w.Close()
	assert.Assert(t, strings.Contains(out.buf.String(), "log-lines-dropped"))
}

// Guards against failure lines that are dropped because success lines use up the
// rate limit, and against a log volume that grows with the load. The failure
// occurs when thousands of requests per second succeed while a few fail.
func TestSuccessesDoNotDisplaceFailures(t *testing.T) {
	var buf bytes.Buffer
	w := NewWriter(&buf)
	l := New(w, "n")
	for i := range 5000 {
		l.Success.Info().Str("event", "answered").Send()
		if i%50 == 0 {
			l.Failure.Info().Str("event", "refused").Send()
		}
	}
	w.Close()
	assert.Equal(t, strings.Count(buf.String(), `"refused"`), 100)
	successes := strings.Count(buf.String(), `"answered"`)
	assert.Assert(t, successes > 0 && successes <= 3*maxSuccessLines, "%d success lines", successes)
}
