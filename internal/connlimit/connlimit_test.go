package connlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A crowd of 5 times the share comes at once and keeps its connections, leaves and
// comes back. Guards against more open connections than there are descriptors, against
// the refusal of new callers while others are idle, against closing connections on which
// a request is read or served, and against a limiter that stays full.
func TestCrowdComesLeavesAndComesBack(t *testing.T) {
	const limit, refusals, crowd = 200, 25, 1000
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		l := New(Config{Limit: limit, RefusalLimit: refusals})
		now := time.Duration(0)
		open := map[*Conn]state{}
		for wave := range 3 {
			admitted, refused, waited := 0, 0, 0
			for range crowd {
				now += time.Duration(rnd.IntN(4)) * time.Millisecond
				if !l.CanOpen(now) {
					waited++
				} else {
					_, idleBefore, _ := l.Counts()
					c, closed := l.Open(now, nil)
					if closed != nil {
						assert.Equal(t, open[closed], idle, "a connection was closed that is not idle")
						for other, s := range open {
							assert.Assert(t, s != idle || other.closed || other.since >= closed.since, "a connection was closed that was idle for less time than another")
						}
						delete(open, closed)
					}
					if c.Refused() {
						assert.Equal(t, idleBefore, 0, "a caller was refused while others were idle")
						refused++
					} else {
						admitted++
					}
					open[c] = reading
				}
				total, _, refusedOpen := l.Counts()
				assert.Assert(t, total-refusedOpen <= limit && refusedOpen <= refusals)
				assert.Equal(t, total, len(open))
				// Some of the connections go on: a request is read, served, answered.
				for c, s := range open {
					if rnd.IntN(20) != 0 {
						continue
					}
					switch {
					case s == reading:
						assert.Assert(t, l.Serving(now, c))
						open[c] = serving
					case s == serving && (c.Refused() || !l.KeepAlive(now, c)):
						l.Close(c)
						delete(open, c)
					case s == serving:
						l.Idle(now, c)
						open[c] = idle
					}
				}
			}
			assert.Assert(t, admitted > crowd/4, "seed %d, wave %d: %d admitted, %d refused, %d waited", seed, wave, admitted, refused, waited)
			for c := range open {
				l.Close(c)
			}
			clear(open)
			total, idleLeft, refusedLeft := l.Counts()
			assert.Equal(t, total+idleLeft+refusedLeft, 0)
			c, closed := l.Open(now, nil)
			assert.Assert(t, !c.Refused() && closed == nil, "a caller was refused after the crowd had left")
			l.Close(c)
		}
	}
}

// Guards against a request that is served on a connection that was closed for another
// one while its first bytes arrived.
func TestClosedConnectionIsNotServed(t *testing.T) {
	l := New(Config{Limit: 1, RefusalLimit: 1})
	first, _ := l.Open(0, nil)
	assert.Assert(t, l.Serving(0, first))
	l.Idle(0, first)
	_, closed := l.Open(0, nil)
	assert.Equal(t, closed, first)
	l.Reading(0, first)
	assert.Assert(t, !l.Serving(0, first))
	open, idleLeft, _ := l.Counts()
	assert.Equal(t, open, 1)
	assert.Equal(t, idleLeft, 0)
}

// Guards against timeouts that close connections with a request, and against those that
// have no effect after the configuration changed.
func TestTimeouts(t *testing.T) {
	l := New(Config{Limit: 10, RefusalLimit: 1})
	at := func(n int) time.Duration { return time.Duration(n) * time.Second }
	waiting, _ := l.Open(at(0), "waiting")
	served, _ := l.Open(at(0), "served")
	l.Serving(at(0), served)
	quiet, _ := l.Open(at(0), "quiet")
	l.Idle(at(1), quiet)
	assert.Equal(t, len(l.Expire(at(2), at(15), at(3))), 0)
	assert.DeepEqual(t, values(l.Expire(at(3), at(15), at(3))), []any{"waiting"})
	assert.Equal(t, len(l.Expire(at(15), at(15), at(3))), 0)
	assert.DeepEqual(t, values(l.Expire(at(15), at(10), at(3))), []any{"quiet"})
	assert.Equal(t, len(l.Expire(at(100), 0, 0)), 0)
	assert.Assert(t, waiting.closed && quiet.closed && !served.closed)
}

func values(conns []*Conn) (out []any) {
	for _, c := range conns {
		out = append(out, c.Value)
	}
	return out
}

// Guards against a process that runs out of descriptors below its limit and goes on
// accepting, and against one that never takes as many connections again.
func TestLimitIsLoweredWhileDescriptorsAreShort(t *testing.T) {
	l := New(Config{Limit: 1000, RefusalLimit: 10})
	for range 100 {
		c, _ := l.Open(0, nil)
		l.Idle(0, c)
	}
	assert.Equal(t, len(l.OutOfDescriptors(0)), pressureStep)
	_, closed := l.Open(time.Second, nil)
	assert.Assert(t, closed != nil)
	_, closed = l.Open(pressureTime, nil)
	assert.Assert(t, closed == nil)
}

// Guards against shares that exceed the limit, or leave a use without any.
func TestSharesFitTheLimit(t *testing.T) {
	for _, limit := range []int{128, 256, 1024, 3900, 7992, 1 << 20} {
		s := Divide(limit)
		total := s.Callers + s.Refusals + s.Links + s.Target + s.Store + s.Control + s.Files
		assert.Assert(t, total <= limit, "%d of %d", total, limit)
		assert.Assert(t, s.Callers >= limit/4 && s.Refusals > 0 && s.Links > 0 && s.Target > 0 && s.Store > 0 && s.Control > 0 && s.Files > 0, "%d: %+v", limit, s)
	}
}
