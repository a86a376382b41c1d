package ticket

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// recorded counts the entries in the list of answers.
func (l *DedupStore) recorded() int {
	n := 0
	for e := l.oldest; e != nil; e = e.newer {
		n++
	}
	return n
}

// Guards against references to expired answers that pile up while the bound
// in bytes is never reached.
func TestExpiredAnswersLeaveNothing(t *testing.T) {
	l := NewDedupStore(time.Second, 1<<20)
	for i := range 1000 {
		now := time.Duration(i) * time.Second
		c := Claims{Number: uint64(i), ExpiresMicros: (now + time.Second).Microseconds()}
		l.Use(now, c)
		l.Finish(c, Done, &Response{Body: []byte("x")})
	}
	assert.Assert(t, l.Len() <= 3 && l.recorded() == l.Len() && l.bytes == l.Len(), "%d entries, %d answers", l.Len(), l.recorded())
}

// Guards against a ticket that is fresh twice, a recorded answer that changes,
// and memory beyond the bounds, over any sequence of operations and times.
func TestLedgerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const retention, maxBytes = 5 * time.Second, 30
		l, now := NewDedupStore(retention, maxBytes), time.Duration(0)
		fresh, running := map[uint64]bool{}, map[uint64]bool{}
		answers := map[uint64]*Response{}
		claims := func(t *rapid.T) Claims {
			n := rapid.Uint64Range(0, 9).Draw(t, "number")
			return Claims{Number: n, ExpiresMicros: (time.Duration(n) * time.Second).Microseconds()}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond },
			"use": func(t *rapid.T) {
				c := claims(t)
				status, answer := l.Use(now, c)
				n := c.Number
				switch {
				case status == Fresh && fresh[n]:
					t.Fatalf("ticket %d is fresh twice", n)
				case status == Fresh && now >= time.Duration(n)*time.Second:
					t.Fatalf("ticket %d is fresh after its expiry", n)
				case (status == Void || status == Expired) && fresh[n]:
					t.Fatalf("ticket %d ran and is reported as never run", n)
				case running[n] != (status == Running) && status != Fresh:
					t.Fatalf("ticket %d is reported as %d", n, status)
				case status == Done && answer != answers[n]:
					t.Fatalf("ticket %d has another answer", n)
				}
				if status == Fresh {
					fresh[n], running[n] = true, true
				}
			},
			"finish": func(t *rapid.T) {
				c := claims(t)
				a := &Response{Body: make([]byte, rapid.IntRange(0, 20).Draw(t, "size"))}
				if running[c.Number] {
					answers[c.Number] = a
				}
				delete(running, c.Number)
				l.Finish(c, Done, a)
			},
			"": func(t *rapid.T) {
				bytes := 0
				for e := l.oldest; e != nil; e = e.newer {
					bytes += len(e.answer.Body)
				}
				if bytes != l.bytes || bytes > maxBytes || l.recorded() > l.Len() || l.Len() != len(l.expiry) {
					t.Fatalf("%d bytes in %d answers of %d entries, counted as %d bytes", bytes, l.recorded(), l.Len(), l.bytes)
				}
			},
		})
	})
}

// Guards against input from peers that crashes the parser or passes as a
// ticket without the issuer's signature.
func FuzzParseVerify(f *testing.F) {
	issuer := NewIssuer("node", 7, []byte("key"), DefaultLifetime)
	valid, err := issuer.Issue(0, "order")
	assert.NilError(f, err)
	f.Add(valid)
	f.Add(strings.ToUpper(valid))
	f.Fuzz(func(t *testing.T, s string) {
		claims, err := Parse(s)
		verified, verifyErr := issuer.Verify(s, "order")
		if err != nil {
			assert.ErrorIs(t, verifyErr, ErrMalformed)
			return
		}
		if verifyErr == nil && (verified != claims || claims.NodeID != "node" || claims.Incarnation != 7 || claims.Number != 1) {
			t.Fatalf("accepted %+v, which was never issued", verified)
		}
	})
}

// Guards against a ticket of another incarnation that passes because of its
// signature alone.
func TestTicketOfAnotherIncarnation(t *testing.T) {
	tk, err := NewIssuer("node", 6, []byte("key"), DefaultLifetime).Issue(0, "order")
	assert.NilError(t, err)
	_, err = NewIssuer("node", 7, []byte("key"), DefaultLifetime).Verify(tk, "order")
	assert.ErrorIs(t, err, ErrOtherIncarnation)
}
