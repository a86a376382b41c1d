// Package ticket ensures at-most-once execution of non-idempotent requests.
//
// A ticket names the incarnation of the node that issued it. It is signed with a
// key that exists only in the memory of that incarnation, so a replacement VM
// cannot accept tickets of its predecessor. A DedupStore keeps used tickets for a
// retention time after their expiry; a retry after that is told that the outcome
// is unknown. Time is passed in as the monotonic time since the start of the
// process. VM pauses and clock changes are harmless, because only the issuer
// checks the expiry.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// DefaultLifetime is the time after issue within which a ticket must be first
	// used.
	DefaultLifetime = 30 * time.Second
	signatureSize   = 16
	maxEncoded      = 512
)

// Errors of Parse and Verify.
var (
	ErrMalformed        = errors.New("ticket is malformed; send the value of Parsley-Ticket unchanged")
	ErrOtherIncarnation = errors.New("ticket was issued by another incarnation of the node; whether it was used is unknown")
	// ErrExpired is unused: DedupStore.Use reports an expired ticket as a Status.
	ErrExpired   = errors.New("ticket has expired")
	ErrWrongKind = errors.New("ticket is for another kind of request; request one for this kind")
)

// Claims is the signed content of a ticket.
type Claims struct {
	NodeID      string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
	Kind        string `msgpack:"k"`
	// Number is unique among the tickets of an incarnation.
	Number uint64 `msgpack:"u"`
	// ExpiresMicros is the expiry in µs on the issuer's monotonic clock.
	ExpiresMicros int64 `msgpack:"e"`
}

// Parse decodes the claims without checking the signature. Only the issuer can
// check it; other nodes use the claims to find the issuer.
func Parse(s string) (Claims, error) {
	c, _, _, err := decode(s)
	return c, err
}

func decode(s string) (Claims, []byte, []byte, error) {
	var c Claims
	if len(s) > maxEncoded {
		return c, nil, nil, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil || len(raw) <= signatureSize {
		return c, nil, nil, ErrMalformed
	}
	body, sig := raw[:len(raw)-signatureSize], raw[len(raw)-signatureSize:]
	if err := msgpack.Unmarshal(body, &c); err != nil || c.NodeID == "" {
		return Claims{}, nil, nil, ErrMalformed
	}
	return c, body, sig, nil
}

// Issuer signs and verifies the tickets of one incarnation of a node.
type Issuer struct {
	nodeID      string
	incarnation uint64
	key         []byte
	lifetime    time.Duration
	next        uint64
}

// NewIssuer returns an issuer. key must be random and must not leave the
// process.
func NewIssuer(nodeID string, incarnation uint64, key []byte, lifetime time.Duration) *Issuer {
	return &Issuer{nodeID: nodeID, incarnation: incarnation, key: key, lifetime: lifetime}
}

// Issue returns a new ticket for a request kind. It is not safe for concurrent
// use.
func (i *Issuer) Issue(now time.Duration, kind string) (string, error) {
	i.next++
	body, err := msgpack.Marshal(&Claims{
		NodeID: i.nodeID, Incarnation: i.incarnation, Kind: kind, Number: i.next,
		ExpiresMicros: (now + i.lifetime).Microseconds(),
	})
	if err != nil {
		return "", fmt.Errorf("encode ticket: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(append(body, i.sign(body)...)), nil
}

func (i *Issuer) sign(body []byte) []byte {
	mac := hmac.New(sha256.New, i.key)
	mac.Write(body)
	return mac.Sum(nil)[:signatureSize]
}

// Verify checks that this incarnation issued the ticket for the kind. It does
// not check the expiry, which applies only to the first use; see DedupStore.Use.
func (i *Issuer) Verify(s, kind string) (Claims, error) {
	c, body, sig, err := decode(s)
	if err != nil {
		return c, err
	}
	if c.NodeID != i.nodeID || c.Incarnation != i.incarnation || !hmac.Equal(sig, i.sign(body)) {
		return c, ErrOtherIncarnation
	}
	if c.Kind != kind {
		return c, ErrWrongKind
	}
	return c, nil
}
