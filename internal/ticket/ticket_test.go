package ticket

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// recordedResponses counts the entries that hold a response.
func (d *DedupStore) recordedResponses() int {
	n := 0
	for e := d.oldest; e != nil; e = e.newer {
		n++
	}
	return n
}

// Guards against a memory leak: 1000 small responses expire one after the other
// without reaching the limit in bytes, and must not stay in the list.
func TestExpiredResponsesAreRemoved(t *testing.T) {
	store := NewDedupStore(time.Second, 1<<20)
	for i := range 1000 {
		now := time.Duration(i) * time.Second
		c := Claims{Number: uint64(i), ExpiresMicros: (now + time.Second).Microseconds()}
		store.Use(now, c)
		store.Finish(c, Done, &Response{Body: []byte("x")})
	}
	assert.Assert(t, store.Len() <= 3 && store.recordedResponses() == store.Len() && store.bytes == store.Len(), "store holds %d entries and %d responses, want at most 3 entries with one response each", store.Len(), store.recordedResponses())
}

// Guards against executing a ticket twice, executing an expired ticket,
// reporting a used ticket as never executed, returning another response than
// the recorded one, and exceeding the limit in bytes, after any sequence of
// operations and times.
func TestDedupStoreProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const retention, maxBytes = 5 * time.Second, 30
		store, now := NewDedupStore(retention, maxBytes), time.Duration(0)
		fresh, running := map[uint64]bool{}, map[uint64]bool{}
		responses := map[uint64]*Response{}
		claims := func(t *rapid.T) Claims {
			n := rapid.Uint64Range(0, 9).Draw(t, "number")
			return Claims{Number: n, ExpiresMicros: (time.Duration(n) * time.Second).Microseconds()}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond },
			"use": func(t *rapid.T) {
				c := claims(t)
				status, response := store.Use(now, c)
				n := c.Number
				switch {
				case status == Fresh && fresh[n]:
					t.Fatalf("ticket %d is fresh on a second use", n)
				case status == Fresh && now >= time.Duration(n)*time.Second:
					t.Fatalf("ticket %d is fresh after its expiry", n)
				case (status == Void || status == Expired) && fresh[n]:
					t.Fatalf("ticket %d was executed, but is reported as never executed", n)
				case running[n] != (status == Running) && status != Fresh:
					t.Fatalf("ticket %d is reported with wrong status %d", n, status)
				case status == Done && response != responses[n]:
					t.Fatalf("ticket %d returned a response other than the recorded one", n)
				}
				if status == Fresh {
					fresh[n], running[n] = true, true
				}
			},
			"finish": func(t *rapid.T) {
				c := claims(t)
				response := &Response{Body: make([]byte, rapid.IntRange(0, 20).Draw(t, "size"))}
				if running[c.Number] {
					responses[c.Number] = response
				}
				delete(running, c.Number)
				store.Finish(c, Done, response)
			},
			"": func(t *rapid.T) {
				bytes := 0
				for e := store.oldest; e != nil; e = e.newer {
					bytes += len(e.response.Body)
				}
				if bytes != store.bytes || bytes > maxBytes || store.recordedResponses() > store.Len() || store.Len() != len(store.expiry) {
					t.Fatalf("store holds %d bytes in %d responses of %d entries, but counts %d bytes", bytes, store.recordedResponses(), store.Len(), store.bytes)
				}
			},
		})
	})
}

// Guards against peer input that crashes the parser or is accepted as a ticket
// without the issuer's signature.
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
			t.Fatalf("accepted ticket %+v, which was never issued", verified)
		}
	})
}

// Guards against accepting a ticket of another incarnation when both
// incarnations happen to have the same key.
func TestTicketOfAnotherIncarnationIsRejected(t *testing.T) {
	tk, err := NewIssuer("node", 6, []byte("key"), DefaultLifetime).Issue(0, "order")
	assert.NilError(t, err)
	_, err = NewIssuer("node", 7, []byte("key"), DefaultLifetime).Verify(tk, "order")
	assert.ErrorIs(t, err, ErrOtherIncarnation)
}

// Guards against recorded responses that take memory without bound because only their
// bodies are counted: a faulty target sends heads of 30 KB.
func TestHeadersOfRecordedResponsesAreBounded(t *testing.T) {
	const maxBytes = 1 << 20
	store := NewDedupStore(time.Minute, maxBytes)
	large := strings.Repeat("a", 30<<10)
	for n := range uint64(200) {
		c := Claims{Number: n, ExpiresMicros: time.Hour.Microseconds()}
		status, _ := store.Use(0, c)
		assert.Equal(t, status, Fresh)
		store.Finish(c, Done, &Response{Status: 200, Headers: [][2]string{{"X-Long", large}}})
	}
	kept := 0
	for e := store.oldest; e != nil; e = e.newer {
		kept += len(e.response.Headers[0][1])
	}
	assert.Assert(t, kept > 0 && kept <= maxBytes, "%d bytes of headers are kept", kept)
}
