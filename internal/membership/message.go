package membership

import "encoding/binary"

// kind is the type of a message.
type kind uint64

const (
	kindPing kind = iota
	kindAck
	// kindPingRequest asks the receiver to probe a third node.
	kindPingRequest
	// kindPingReply tells the sender of a ping request that the third node
	// acknowledged the ping.
	kindPingReply
	// kindNotice has no payload of its own, only the header and updates.
	kindNotice
	// kindPull requests the records of live nodes with IDs after a cursor.
	kindPull
	// kindState carries records sent in response to a pull.
	kindState
	// kindDigest carries the hashes of all buckets.
	kindDigest
	// kindSummary carries the hashes of the records in differing buckets.
	kindSummary
	// kindWant requests the records with the given hashes.
	kindWant
	// kindRecords carries bulk records, which the receiver does not queue as
	// updates for other nodes.
	kindRecords
	// kindDeposit asks the receiver to hold a deposit of the sender.
	kindDeposit
	// kindDepositAck acknowledges a deposit or its return.
	kindDepositAck
	// kindReturn returns a deposit to a later process of its owner.
	kindReturn
	// kindHandOver asks the receiver to hold a deposit that the sender has held for
	// another node.
	kindHandOver
	kindEnd
)

// message is a decoded datagram. Its header identifies the sender and the
// address to reply to, because the source address of the packet may be that of
// a relay.
type message struct {
	kind          kind
	from          string
	incarnation   uint64
	version       uint64
	replyTo       string
	configVersion uint64
	// seq matches a response to its request.
	seq uint64
	// subject and address identify the third node of an indirect probe. In a
	// pull and its response, subject is the cursor.
	subject string
	address string
	// continuation is endOfView, endOfBatch or moreInBatch, for a datagram of
	// a batch of records.
	continuation uint64
	// hashes are the payload of a digest, summary or want. buckets holds the
	// numbers of the buckets that a summary covers.
	hashes  []uint64
	buckets []byte
	// data is a deposit. In a hand-over, subject is the node that left it, and owner the
	// incarnation of that node.
	data    []byte
	owner   uint64
	records []record
}

func (w *writer) header(m *message) {
	w.uint(protocolVersion)
	w.uint(uint64(m.kind))
	w.string(m.from)
	w.uint(m.incarnation)
	w.uint(m.version)
	w.address(m.replyTo)
	w.uint(m.configVersion)
	w.uint(m.seq)
	switch m.kind {
	case kindPingRequest:
		w.string(m.subject)
		w.address(m.address)
	case kindPingReply, kindPull:
		w.string(m.subject)
	case kindState:
		w.string(m.subject)
		w.uint(m.continuation)
	case kindDigest:
		b := make([]byte, 0, 4*len(m.hashes))
		for _, h := range m.hashes {
			b = binary.BigEndian.AppendUint32(b, uint32(h))
		}
		w.bytes(b)
	case kindSummary:
		w.bytes(m.buckets)
		w.hashes(m.hashes)
	case kindWant:
		w.hashes(m.hashes)
	case kindHandOver:
		w.string(m.subject)
		w.uint(m.owner)
		w.bytes(m.data)
	case kindDeposit, kindReturn:
		w.bytes(m.data)
	}
}

func (w *writer) hashes(hashes []uint64) {
	b := make([]byte, 0, 8*len(hashes))
	for _, h := range hashes {
		b = binary.BigEndian.AppendUint64(b, h)
	}
	w.bytes(b)
}

// decode decodes and checks a complete datagram, so that a malformed one has no
// effect.
func decode(data []byte) (*message, error) {
	payload, err := unseal(data)
	if err != nil {
		return nil, err
	}
	r := newReader(payload)
	if v := r.uint("protocol version", 1<<16); r.err == nil && v != protocolVersion {
		r.fail("protocol version", "%d is not the supported version %d", v, protocolVersion)
	}
	m := &message{}
	m.kind = kind(r.uint("kind", uint64(kindEnd)-1))
	m.from = r.string("sender")
	if m.from == "" {
		r.fail("sender", "empty")
	}
	m.incarnation = r.uint("sender incarnation", maxCounter)
	m.version = r.uint("sender version", maxCounter)
	m.replyTo = r.address("reply address")
	m.configVersion = r.uint("config version", ^uint64(0))
	m.seq = r.uint("sequence number", ^uint64(0))
	r.payload(m)
	for r.err == nil && r.src.Len() > 0 {
		m.records = append(m.records, r.record())
	}
	if r.err != nil {
		return nil, r.err
	}
	return m, nil
}

func (r *reader) payload(m *message) {
	switch m.kind {
	case kindPingRequest:
		m.subject = r.string("subject")
		m.address = r.address("subject address")
	case kindPingReply, kindPull:
		m.subject = r.string("subject")
	case kindState:
		m.subject = r.string("cursor")
		m.continuation = r.uint("more", moreInBatch)
	case kindDigest:
		b := r.bytes("digest")
		if r.err == nil && len(b) != 4*bucketCount {
			r.fail("digest", "%d bytes instead of %d", len(b), 4*bucketCount)
			return
		}
		for ; len(b) >= 4; b = b[4:] {
			m.hashes = append(m.hashes, uint64(binary.BigEndian.Uint32(b)))
		}
	case kindSummary:
		m.buckets = r.bytes("buckets")
		r.hashes(m)
	case kindWant:
		r.hashes(m)
	case kindHandOver:
		m.subject = r.string("owner")
		m.owner = r.uint("owner incarnation", maxCounter)
		m.data = r.deposit()
	case kindDeposit, kindReturn:
		m.data = r.deposit()
	}
}

func (r *reader) deposit() []byte {
	data := r.bytes("deposit")
	if len(data) > MaxDepositBytes {
		r.fail("deposit", "%d bytes exceed %d", len(data), MaxDepositBytes)
	}
	return data
}

func (r *reader) hashes(m *message) {
	b := r.bytes("hashes")
	if len(b)%8 != 0 {
		r.fail("hashes", "%d bytes is not a multiple of 8", len(b))
		return
	}
	for ; len(b) >= 8; b = b[8:] {
		m.hashes = append(m.hashes, binary.BigEndian.Uint64(b))
	}
}
