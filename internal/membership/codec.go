package membership

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxDatagram is the size of the largest datagram sent, in bytes. It leaves
// room for tunnel headers within an MTU of 1,500 bytes.
const MaxDatagram = 1200

const (
	protocolVersion = 1
	// maxString limits the bytes of each string. A record whose addresses are
	// IP addresses then always fits into a datagram: four strings of 128 bytes,
	// three addresses and the numbers.
	maxString = 128
	maxSlots  = 1 << 24
	fullFlag  = 0x10
	// maxCounter limits incarnations and versions, so that incrementing them
	// never overflows.
	maxCounter = 1<<63 - 1
	// checksumSize is the size of the hash at the end of a datagram. The UDP
	// checksum does not cover corruption within a relay, and a corrupted
	// incarnation that was accepted would exclude a node permanently.
	checksumSize = 4
)

const (
	flagCold = 1 << iota
	flagDraining
	flagRegionLink
	flagsEnd
)

// MalformedError reports a datagram that is not a valid message. Such a
// datagram changes nothing.
type MalformedError struct {
	// Field is the part of the message that could not be decoded.
	Field   string
	Problem string
}

// Error implements error. The text also names a remedy.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("gossip datagram: field %q: %s; check that every node runs a compatible version", e.Field, e.Problem)
}

// record is the record of a node as it is sent. A short record, with full
// unset, omits the addresses and attributes, which the receiver already has.
type record struct {
	node Node
	full bool
}

// writer encodes msgpack values into a datagram.
type writer struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
}

func newWriter() *writer {
	w := &writer{}
	w.enc = msgpack.NewEncoder(&w.buf)
	w.enc.UseCompactInts(true)
	return w
}

// The methods below ignore errors, because encoding into a bytes.Buffer cannot
// fail.

func (w *writer) uint(v uint64)   { _ = w.enc.EncodeUint(v) }
func (w *writer) string(v string) { _ = w.enc.EncodeString(v) }
func (w *writer) bytes(v []byte)  { _ = w.enc.EncodeBytes(v) }

// address writes an IP address and port as 6 or 18 bytes, and any other text
// as a string.
func (w *writer) address(s string) {
	if ap, err := netip.ParseAddrPort(s); err == nil && ap.Addr().Zone() == "" && ap.String() == s {
		if b, err := ap.MarshalBinary(); err == nil {
			w.bytes(b)
			return
		}
	}
	w.string(s)
}

func (w *writer) record(n *Node, full bool) {
	tag := uint64(n.State)
	if full {
		tag |= fullFlag
	}
	w.uint(tag)
	w.string(n.ID)
	w.uint(n.Incarnation)
	w.uint(n.Version)
	if !full {
		return
	}
	w.address(n.LinkAddr)
	w.address(n.GossipAddr)
	w.address(n.AdminAddr)
	w.string(n.Region)
	w.string(n.Zone)
	w.string(n.Service)
	w.uint(uint64(max(n.Slots, 0)))
	var flags uint64
	for i, set := range [...]bool{n.Cold, n.Draining, n.UsesRegionLink} {
		if set {
			flags |= 1 << i
		}
	}
	w.uint(flags)
}

// seal appends the checksum to the payload of a datagram.
func seal(payload []byte) []byte {
	return binary.BigEndian.AppendUint32(payload, uint32(xxhash.Sum64(payload)))
}

// unseal verifies the checksum of a datagram and returns the payload.
func unseal(data []byte) ([]byte, error) {
	n := len(data) - checksumSize
	if n < 0 {
		return nil, &MalformedError{"checksum", fmt.Sprintf("%d bytes are too few to hold a checksum", len(data))}
	}
	if binary.BigEndian.Uint32(data[n:]) != uint32(xxhash.Sum64(data[:n])) {
		return nil, &MalformedError{"checksum", "does not match the content"}
	}
	return data[:n], nil
}

// reader decodes msgpack values. After the first error, which it keeps, it
// reads nothing more.
type reader struct {
	src *bytes.Reader
	dec *msgpack.Decoder
	err *MalformedError
}

func newReader(data []byte) *reader {
	src := bytes.NewReader(data)
	return &reader{src: src, dec: msgpack.NewDecoder(src)}
}

func (r *reader) fail(field, format string, args ...any) {
	if r.err == nil {
		r.err = &MalformedError{field, fmt.Sprintf(format, args...)}
	}
}

func (r *reader) uint(field string, limit uint64) uint64 {
	if r.err != nil {
		return 0
	}
	v, err := r.dec.DecodeUint64()
	if err != nil {
		r.fail(field, "%v", err)
	} else if v > limit {
		r.fail(field, "%d exceeds %d", v, limit)
	}
	return v
}

func (r *reader) string(field string) string {
	if r.err != nil {
		return ""
	}
	v, err := r.dec.DecodeString()
	if err != nil {
		r.fail(field, "%v", err)
	} else if len(v) > maxString {
		r.fail(field, "%d bytes exceed %d", len(v), maxString)
	}
	return v
}

func (r *reader) bytes(field string) []byte {
	if r.err != nil {
		return nil
	}
	v, err := r.dec.DecodeBytes()
	if err != nil {
		r.fail(field, "%v", err)
	}
	return v
}

func (r *reader) address(field string) string {
	if r.err != nil {
		return ""
	}
	if code, err := r.dec.PeekCode(); err == nil && msgpcode.IsString(code) {
		return r.string(field)
	}
	var ap netip.AddrPort
	if err := ap.UnmarshalBinary(r.bytes(field)); err != nil || !ap.IsValid() {
		r.fail(field, "not an IP address and port")
		return ""
	}
	return ap.String()
}

func (r *reader) record() record {
	tag := r.uint("record", fullFlag|uint64(Left))
	rec := record{full: tag&fullFlag != 0}
	if s := tag &^ fullFlag; s > uint64(Left) {
		r.fail("state", "%d is not a node state", s)
	} else {
		rec.node.State = State(s)
	}
	n := &rec.node
	n.ID = r.string("id")
	if n.ID == "" {
		r.fail("id", "empty")
	}
	n.Incarnation = r.uint("incarnation", maxCounter)
	n.Version = r.uint("version", maxCounter)
	if !rec.full {
		return rec
	}
	n.LinkAddr = r.address("link address")
	n.GossipAddr = r.address("gossip address")
	n.AdminAddr = r.address("admin address")
	n.Region = r.string("region")
	n.Zone = r.string("zone")
	n.Service = r.string("service")
	n.Slots = int(r.uint("slots", maxSlots))
	flags := r.uint("flags", flagsEnd-1)
	n.Cold, n.Draining, n.UsesRegionLink = flags&flagCold != 0, flags&flagDraining != 0, flags&flagRegionLink != 0
	return rec
}
