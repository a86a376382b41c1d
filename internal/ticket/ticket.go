// Package ticket makes a non-idempotent request run at most once.
//
// A ticket names one node and one incarnation of it. It is signed with a key
// that exists only in the memory of that incarnation, so a replaced VM cannot
// accept tickets of its predecessor. The ledger remembers used tickets until
// no repeat can be valid any more. Time is passed in as the monotonic time
// since the start of the process; pauses and clock changes do not matter,
// because only the issuer judges the expiry.
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

// Defaults of an issuer.
const (
	// DefaultLifetime is how long a ticket can be used for the first time.
	DefaultLifetime = 30 * time.Second
	signatureSize   = 16
	maxEncoded      = 512
)

// Errors of Parse and Verify.
var (
	ErrMalformed        = errors.New("ticket is malformed; send the value of Parsley-Ticket unchanged")
	ErrOtherIncarnation = errors.New("ticket was issued by another incarnation of the node; whether it was used is unknown")
	ErrExpired          = errors.New("ticket has expired")
	ErrWrongKind        = errors.New("ticket is for another kind of request; request one for this kind")
)

// Claims is the content of a ticket.
type Claims struct {
	NodeID      string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
	Kind        string `msgpack:"k"`
	Number      uint64 `msgpack:"u"`
	// ExpiresMicros is on the issuer's monotonic clock, in µs.
	ExpiresMicros int64 `msgpack:"e"`
}

// Parse reads the claims without checking the signature. Only the issuer can
// check it; other nodes need the claims to find the issuer.
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

// NewIssuer returns an issuer. key must be random and never leave the process.
func NewIssuer(nodeID string, incarnation uint64, key []byte, lifetime time.Duration) *Issuer {
	return &Issuer{nodeID: nodeID, incarnation: incarnation, key: key, lifetime: lifetime}
}

// Issue returns a new ticket for a kind. It is not safe for concurrent use.
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
// not check the expiry, which matters only for the first use.
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
