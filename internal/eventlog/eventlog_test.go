package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Guards against a node that waits for its log, and against lines that vanish
// without a trace.
func TestWriterNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := NewWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	begin := time.Now()
	for range 3 * maxBuffered / len(line) {
		_, err := w.Write(line)
		assert.NilError(t, err)
		if w.dropped == 0 && time.Since(begin) > 5*time.Second {
			t.Fatal("writes block")
		}
	}
	assert.Assert(t, time.Since(begin) < 2*time.Second)
	close(out.release)
	w.Close()
	assert.Assert(t, strings.Contains(out.buf.String(), "log-lines-dropped"))
}

// The pattern: thousands of requests a second succeed while some fail. Guards
// against lines of failures that are lost behind those of successes, and
// against a volume that grows with the load.
func TestFailuresAreLoggedBesideManySuccesses(t *testing.T) {
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
	assert.Assert(t, successes > 0 && successes <= 3*successLines, "%d lines of successes", successes)
}
