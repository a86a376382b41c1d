package wire

import (
	"bytes"
	"fmt"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"parsleyturn/internal/apierror"
)

// ProtocolVersion is exchanged in Hello. A connection between nodes with
// different versions is closed.
const ProtocolVersion = 1

// Hello is the first message that each side of a connection sends.
type Hello struct {
	Protocol      int    `msgpack:"p"`
	NodeID        string `msgpack:"n"`
	Incarnation   uint64 `msgpack:"i"`
	ConfigVersion uint64 `msgpack:"c"`
}

// Header is one HTTP header field, encoded as two strings.
type Header struct {
	Name  string
	Value string
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (h *Header) EncodeMsgpack(enc *msgpack.Encoder) error {
	return enc.EncodeMulti(h.Name, h.Value)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (h *Header) DecodeMsgpack(dec *msgpack.Decoder) error {
	var err error
	if h.Name, err = dec.DecodeString(); err != nil {
		return fmt.Errorf("header name: %w", err)
	}
	if h.Value, err = dec.DecodeString(); err != nil {
		return fmt.Errorf("header value: %w", err)
	}
	return nil
}

// Limits of the collections in messages. The msgpack library allocates memory
// for the declared length before it reads the elements, so without limits a
// frame of a few bytes could make a node allocate tens of megabytes.
const (
	// maxHeaders exceeds the number of the shortest header fields that a payload holds.
	maxHeaders    = MaxPayload / 3
	maxThresholds = 1000
)

// Headers are the header fields of a request or response.
type Headers []Header

// DecodeMsgpack decodes the fields and rejects more than maxHeaders.
func (h *Headers) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > maxHeaders {
		return fmt.Errorf("%d header fields; at most %d are accepted", n, maxHeaders)
	}
	*h = make(Headers, max(n, 0))
	for i := range *h {
		if err := (*h)[i].DecodeMsgpack(dec); err != nil {
			return err
		}
	}
	return nil
}

// Thresholds maps a service to the lowest priority that it admits.
type Thresholds map[string]int

// DecodeMsgpack decodes the thresholds and rejects more than maxThresholds.
func (t *Thresholds) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeMapLen()
	if err != nil {
		return err
	}
	if n > maxThresholds {
		return fmt.Errorf("%d thresholds; at most %d are accepted", n, maxThresholds)
	}
	*t = make(Thresholds, max(n, 0))
	for range n {
		service, err := dec.DecodeString()
		if err != nil {
			return err
		}
		if (*t)[service], err = dec.DecodeInt(); err != nil {
			return err
		}
	}
	return nil
}

// Request is the head of a request. Its body, if HasBody is set, follows in
// Data frames. An End frame ends the request. Only package router sets Allowance,
// ClientAccount, Depth, Ticket and IssueTicket; only package dispatch sets Host,
// CallerService and the fields of the call chain.
type Request struct {
	ID      string  `msgpack:"id"`
	Kind    string  `msgpack:"k"`
	Service string  `msgpack:"s"`
	Method  string  `msgpack:"m"`
	Path    string  `msgpack:"u"`
	Headers Headers `msgpack:"h"`
	// RemainingMicros is the time left until the deadline, in µs. Durations are
	// sent instead of points in time, so that the clocks of the VMs need not be
	// synchronized.
	RemainingMicros int64 `msgpack:"d"`
	Priority        int   `msgpack:"p"`
	// Allowance is the number of retries that the receiver may use for
	// sub-calls.
	Allowance     int    `msgpack:"a"`
	ClientAccount string `msgpack:"b"`
	// Depth is 1 for a caller's request and increases by 1 with each level of
	// sub-calls.
	Depth int `msgpack:"l"`
	// Ticket is the ticket of a non-idempotent request.
	Ticket string `msgpack:"t"`
	// IssueTicket asks for a ticket instead of running the request.
	IssueTicket   bool `msgpack:"it"`
	NonIdempotent bool `msgpack:"ni"`
	// Region is the region of the sending node.
	Region string `msgpack:"r"`
	// ConfigVersion is the version of the sending node's configuration.
	ConfigVersion uint64 `msgpack:"c"`
	// HasBody says that Data frames follow. It is set by Conn.Open of package
	// link.
	HasBody bool `msgpack:"hb"`
	// Host is the value of the caller's Host header.
	Host string `msgpack:"ho"`
	// CallerService is the service of the VM from which the request came.
	CallerService string `msgpack:"cs"`
	// ChainAgeMicros is the time in µs since the root request of the call
	// chain arrived, and ChainRank the urgency of that request's route; 0 is
	// the most urgent. ChainDepth is the number of sub-calls between the root
	// request and this one; 0 means that this is the root request.
	ChainAgeMicros int64 `msgpack:"ca"`
	ChainRank      int   `msgpack:"cr"`
	ChainDepth     int   `msgpack:"cd"`
	// ChainRetried is set if this request, or one of its parents in the call
	// chain, was sent to a target before.
	ChainRetried bool `msgpack:"rp"`
	// MaxWaitMicros bounds the time for which the request waits for a slot; 0 means
	// the bound of the receiving node.
	MaxWaitMicros int64 `msgpack:"mw,omitempty"`
	// LeavingTarget is the target of the receiving node that the sender knows to
	// leave. The receiver may have restarted since the target said so.
	LeavingTarget Target `msgpack:"lv,omitempty"`
}

// Target identifies an incarnation of a target. The zero value stands for none.
type Target struct {
	ID string `msgpack:"n,omitempty"`
	// StartedAtMillis is the start of the incarnation in Unix ms.
	StartedAtMillis int64 `msgpack:"s,omitempty"`
}

// Load is the state of a node's admission control and target, sent with every
// response and refusal.
type Load struct {
	InFlight int `msgpack:"i" json:"in_flight"`
	Limit    int `msgpack:"l" json:"limit"`
	Queued   int `msgpack:"q" json:"queued"`
	// Threshold is the lowest priority that is admitted.
	Threshold int `msgpack:"t" json:"threshold"`
	// LongThreshold is the lowest priority that is admitted for requests
	// classified as long.
	LongThreshold int `msgpack:"lt" json:"long_threshold"`
	// Draining is set if the node or its target shuts down, or if the node has
	// no usable target.
	Draining bool `msgpack:"d" json:"draining"`
	// Cold is set while the target is slow after its start.
	Cold          bool   `msgpack:"c" json:"cold"`
	ConfigVersion uint64 `msgpack:"v" json:"config_version"`
}

// Response is the head of a response.
type Response struct {
	Status  int     `msgpack:"s"`
	Headers Headers `msgpack:"h"`
	Load    Load    `msgpack:"l"`
	// Ticket is set in the response to a request with IssueTicket.
	Ticket string `msgpack:"t"`
	// Overload is set if the target responded with a server error after one of
	// its sub-calls, direct or indirect, was refused for lack of capacity.
	Overload bool `msgpack:"ov"`
	// LeavingTarget is the target that responded, if it said that it leaves.
	LeavingTarget Target `msgpack:"lv,omitempty"`
}

// End ends a body. The body is complete only if Length equals the number of
// bytes received and Aborted is false.
type End struct {
	Length  int64 `msgpack:"n"`
	Aborted bool  `msgpack:"x"`
	// Allowance is the unused part of the request's retry allowance.
	Allowance int `msgpack:"a"`
	// Thresholds maps each service that sub-calls were sent to, directly or
	// indirectly, to the highest threshold that it reported.
	Thresholds Thresholds `msgpack:"t"`
	// RefusedDownstream is set if a sub-call was refused for overload.
	RefusedDownstream bool `msgpack:"r"`
}

// Refused is an error response that the node sends instead of its target.
type Refused struct {
	Code             apierror.Code    `msgpack:"c"`
	Outcome          apierror.Outcome `msgpack:"o"`
	Message          string           `msgpack:"m"`
	RetryAfterMillis int64            `msgpack:"r"`
	Allowance        int              `msgpack:"a"`
	Load             Load             `msgpack:"l"`
	// SentToTarget is set if the request was, or may have been, sent to the
	// target. The target may have refused it.
	SentToTarget bool `msgpack:"u"`
	// Final is set if every other node would refuse the request too.
	Final bool `msgpack:"f"`
	// LeavingTarget is the target of the node, if it is known to leave.
	LeavingTarget Target `msgpack:"lv,omitempty"`
}

// Window is sent by the receiver of a body and allows the sender to send Bytes
// more bytes.
type Window struct {
	Bytes int `msgpack:"b"`
}

// GoAway tells the peer to open no more streams on the connection.
type GoAway struct {
	Reason string `msgpack:"r"`
}

var encoders = sync.Pool{New: func() any {
	buf := new(bytes.Buffer)
	enc := msgpack.NewEncoder(buf)
	enc.UseCompactInts(true)
	return &encoder{buf, enc}
}}

type encoder struct {
	buf *bytes.Buffer
	enc *msgpack.Encoder
}

// AppendMessage encodes msg and appends it to dst as a control frame.
func AppendMessage(dst []byte, t Type, stream uint32, msg any) ([]byte, error) {
	e := encoders.Get().(*encoder)
	defer encoders.Put(e)
	e.buf.Reset()
	if err := e.enc.Encode(msg); err != nil {
		return dst, fmt.Errorf("encode %s message: %w", t, err)
	}
	if e.buf.Len() > MaxPayload {
		return dst, &FrameError{t, uint32(e.buf.Len()), fmt.Sprintf("longer than %d bytes", MaxPayload)}
	}
	dst = AppendHeader(dst, t, stream, e.buf.Len())
	return append(dst, e.buf.Bytes()...), nil
}

// Decode decodes the payload of a control frame into msg.
func Decode(f Frame, msg any) error {
	if err := CheckDepth(f.Payload); err != nil {
		return fmt.Errorf("decode %s message of %d bytes: %w", f.Type, len(f.Payload), err)
	}
	if err := msgpack.Unmarshal(f.Payload, msg); err != nil {
		return fmt.Errorf("decode %s message of %d bytes: %w", f.Type, len(f.Payload), err)
	}
	return nil
}
