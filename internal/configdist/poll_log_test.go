package configdist

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	standin "parsleyturn/internal/standin/platform"
)

// Guards against an outage of the platform that is not logged, and against a
// log line for every failed poll.
func TestOutageIsLoggedOnce(t *testing.T) {
	f := newFixture(t)
	f.acceptVersion(0, sampleFiles(1, ""))
	var log bytes.Buffer
	s := &Service{Store: f.store, Log: zerolog.New(&log)}
	s.init()
	f.server.SetFaults(standin.Faults{Refuse: true})
	s.poll(t.Context())
	s.poll(t.Context())
	f.server.SetFaults(standin.Faults{})
	s.poll(t.Context())
	s.poll(t.Context())
	assert.Equal(t, strings.Count(log.String(), "platform poll failed"), 1, log.String())
	assert.Equal(t, strings.Count(log.String(), "platform reachable again"), 1, log.String())
	assert.Equal(t, s.Version(), uint64(1))
}
