package wire

import (
	"bytes"
	"fmt"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"parsleyturn/internal/apierror"
)

// ProtocolVersion is exchanged in Hello. Nodes with different versions do not
// talk to each other.
const ProtocolVersion = 1

// Hello is the first message of both sides of a connection.
type Hello struct {
	Protocol      int    `msgpack:"p"`
	NodeID        string `msgpack:"n"`
	Incarnation   uint64 `msgpack:"i"`
	ConfigVersion uint64 `msgpack:"c"`
}

// Header is one HTTP header field. On the wire it is two strings.
type Header struct {
	Name  string
	Value string
}

// EncodeMsgpack writes the field.
func (h *Header) EncodeMsgpack(enc *msgpack.Encoder) error {
	return enc.EncodeMulti(h.Name, h.Value)
}

// DecodeMsgpack reads the field.
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

// Limits of collections in messages. The codec allocates for the announced
// length before it reads the elements, so a frame of a few bytes could
// otherwise make a node allocate tens of megabytes.
const (
	maxHeaders    = 1000
	maxThresholds = 1000
)

// Headers are the header fields of a request or an answer.
type Headers []Header

// DecodeMsgpack reads the fields and bounds their number.
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

// Thresholds are the lowest priorities admitted, by service.
type Thresholds map[string]int

// DecodeMsgpack reads the thresholds and bounds their number.
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

// Request is the head of a request. Its body follows in Data frames and ends
// with End.
type Request struct {
	ID      string  `msgpack:"id"`
	Kind    string  `msgpack:"k"`
	Service string  `msgpack:"s"`
	Method  string  `msgpack:"m"`
	Path    string  `msgpack:"u"`
	Headers Headers `msgpack:"h"`
	// RemainingMicros is the time left in µs. Durations travel instead of
	// points in time, so that clocks of VMs need not agree.
	RemainingMicros int64 `msgpack:"d"`
	Priority        int   `msgpack:"p"`
	// Allowance is the number of retries moved to the receiver.
	Allowance     int    `msgpack:"a"`
	ClientAccount string `msgpack:"b"`
	// Depth is 1 for a caller's request and grows by 1 with each sub-call.
	Depth int `msgpack:"l"`
	// Ticket is set for non-idempotent requests.
	Ticket string `msgpack:"t"`
	// IssueTicket asks for a ticket instead of running the request.
	IssueTicket   bool   `msgpack:"it"`
	NonIdempotent bool   `msgpack:"ni"`
	Region        string `msgpack:"r"`
	ConfigVersion uint64 `msgpack:"c"`
	// HasBody says that Data frames follow.
	HasBody bool `msgpack:"hb"`
	// Host is the host that the caller asked for.
	Host string `msgpack:"ho"`
	// CallerService is the service of the VM on which the request began.
	CallerService string `msgpack:"cs"`
	// ChainAgeMicros is the time in µs since the request at the start of the
	// call chain arrived, and ChainRank the urgency of its route; 0 is the most
	// urgent. ChainDepth is the number of calls since; 0 is that request itself.
	ChainAgeMicros int64 `msgpack:"ca"`
	ChainRank      int   `msgpack:"cr"`
	ChainDepth     int   `msgpack:"cd"`
	// ChainRetried is set if the request, or one above it in its call chain, was
	// sent to a target before.
	ChainRetried bool `msgpack:"rp"`
}

// Load is the state of a node's admission, sent with every answer.
type Load struct {
	InFlight int `msgpack:"i" json:"in_flight"`
	Limit    int `msgpack:"l" json:"limit"`
	Queued   int `msgpack:"q" json:"queued"`
	// Threshold is the lowest priority that is admitted now.
	Threshold int `msgpack:"t" json:"threshold"`
	// LongThreshold is the lowest priority of long work that is admitted now.
	LongThreshold int    `msgpack:"lt" json:"long_threshold"`
	Draining      bool   `msgpack:"d" json:"draining"`
	Cold          bool   `msgpack:"c" json:"cold"`
	ConfigVersion uint64 `msgpack:"v" json:"config_version"`
}

// Response is the head of an answer.
type Response struct {
	Status  int     `msgpack:"s"`
	Headers Headers `msgpack:"h"`
	Load    Load    `msgpack:"l"`
	// Ticket answers a request with IssueTicket.
	Ticket string `msgpack:"t"`
	// Overload is set on a failure of the target if one of its calls, or one
	// further down, was refused for want of room.
	Overload bool `msgpack:"ov"`
}

// End ends a body. The body is whole only if Length equals the number of
// bytes received and Aborted is false.
type End struct {
	Length  int64 `msgpack:"n"`
	Aborted bool  `msgpack:"x"`
	// Allowance is the unused part of the request's allowance.
	Allowance int `msgpack:"a"`
	// Thresholds has the highest threshold met by sub-calls, by service.
	Thresholds Thresholds `msgpack:"t"`
	// RefusedDownstream is set if a sub-call was refused for overload.
	RefusedDownstream bool `msgpack:"r"`
}

// Refused is an answer made by the node instead of its target.
type Refused struct {
	Code             apierror.Code    `msgpack:"c"`
	Outcome          apierror.Outcome `msgpack:"o"`
	Message          string           `msgpack:"m"`
	RetryAfterMillis int64            `msgpack:"r"`
	Allowance        int              `msgpack:"a"`
	Load             Load             `msgpack:"l"`
	// Reached is set if the request was sent to the target, which may have
	// refused it.
	Reached bool `msgpack:"u"`
	// Final is set if other nodes would refuse the request too.
	Final bool `msgpack:"f"`
}

// Window grants the sender of a body more bytes.
type Window struct {
	Bytes int `msgpack:"b"`
}

// GoAway tells the peer to open no further streams.
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

// AppendMessage appends a control frame with msg as payload to dst.
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

// Decode reads the payload of a control frame into msg.
func Decode(f Frame, msg any) error {
	if err := msgpack.Unmarshal(f.Payload, msg); err != nil {
		return fmt.Errorf("decode %s message of %d bytes: %w", f.Type, len(f.Payload), err)
	}
	return nil
}
