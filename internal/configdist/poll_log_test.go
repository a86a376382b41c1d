package configdist

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	standin "parsleyturn/internal/standin/platform"
)

// Guards against an outage of the platform that the log does not show, and
// against a log line for every failed poll.
func TestOutageIsLoggedOnce(t *testing.T) {
	w := newWorld(t)
	w.accept(0, sample(1, ""))
	var log bytes.Buffer
	s := &Service{Store: w.store, Log: zerolog.New(&log)}
	s.init()
	w.server.SetFaults(standin.Faults{Refuse: true})
	s.poll(t.Context())
	s.poll(t.Context())
	w.server.SetFaults(standin.Faults{})
	s.poll(t.Context())
	s.poll(t.Context())
	assert.Equal(t, strings.Count(log.String(), "cannot be polled"), 1, log.String())
	assert.Equal(t, strings.Count(log.String(), "answers again"), 1, log.String())
	assert.Equal(t, s.Version(), uint64(1))
}
