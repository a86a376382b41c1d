// Package wire defines the frames and messages of the protocol between nodes.
//
// A frame is a 4-byte big-endian payload length, a 1-byte type, a 4-byte
// big-endian stream ID and the payload. Control payloads are msgpack; the
// payload of a Data frame is raw bytes.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Frame sizes in bytes.
const (
	HeaderSize = 9
	// MaxPayload bounds the payload of every frame, so that a corrupt length
	// cannot make the receiver allocate without limit.
	MaxPayload = 64 << 10
	// MaxData bounds the payload of a Data frame. It limits how long one
	// frame of a large body can delay a short message on the same link.
	MaxData = 16 << 10
)

// Type is the type of a frame. Except for DATA, whose payload is part of a body,
// and CANCEL, PING and PONG, which have no payload, each type carries the message
// of the same name.
type Type uint8

const (
	TypeHello Type = iota + 1
	TypeRequest
	TypeData
	TypeEnd
	TypeResponse
	TypeRefused
	TypeCancel
	TypeWindow
	TypePing
	TypePong
	TypeGoAway
	typeLimit // one more than the last type
)

var typeNames = [...]string{
	TypeHello: "HELLO", TypeRequest: "REQUEST", TypeData: "DATA", TypeEnd: "END",
	TypeResponse: "RESPONSE", TypeRefused: "REFUSED", TypeCancel: "CANCEL",
	TypeWindow: "WINDOW", TypePing: "PING", TypePong: "PONG", TypeGoAway: "GOAWAY",
}

// String returns the name of the frame type.
func (t Type) String() string {
	if t == 0 || t >= typeLimit {
		return fmt.Sprintf("Type(%d)", uint8(t))
	}
	return typeNames[t]
}

// Frame is one protocol frame. Payload is only valid until the next read from
// the same Reader.
type Frame struct {
	Type    Type
	Stream  uint32
	Payload []byte
}

// FrameError reports a malformed frame that was received, or a message that is
// too long for a frame. After a malformed frame the connection must be closed,
// because the position of the next frame is unknown.
type FrameError struct {
	Type   Type
	Length uint32
	Reason string
}

func (e *FrameError) Error() string {
	return fmt.Sprintf("frame %s of %d bytes: %s; close the connection and check that the peer is a parsleyturn node of a compatible version", e.Type, e.Length, e.Reason)
}

// Reader reads frames from a byte stream.
type Reader struct {
	r      io.Reader
	header [HeaderSize]byte
	buf    []byte
}

// NewReader returns a frame reader. r should be buffered.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Next reads a frame. It returns *FrameError for a malformed frame, io.EOF at the
// end of the stream, and io.ErrUnexpectedEOF if the stream ends within a frame.
func (r *Reader) Next() (Frame, error) {
	if _, err := io.ReadFull(r.r, r.header[:]); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(r.header[:4])
	f := Frame{Type: Type(r.header[4]), Stream: binary.BigEndian.Uint32(r.header[5:])}
	if f.Type == 0 || f.Type >= typeLimit {
		return Frame{}, &FrameError{f.Type, length, "unknown type"}
	}
	if length > MaxPayload {
		return Frame{}, &FrameError{f.Type, length, fmt.Sprintf("longer than %d bytes", MaxPayload)}
	}
	if cap(r.buf) < int(length) {
		r.buf = make([]byte, length)
	}
	f.Payload = r.buf[:length]
	if _, err := io.ReadFull(r.r, f.Payload); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return Frame{}, err
	}
	return f, nil
}

// AppendHeader appends a frame header to dst. length is that of the payload.
func AppendHeader(dst []byte, t Type, stream uint32, length int) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(length))
	dst = append(dst, byte(t))
	return binary.BigEndian.AppendUint32(dst, stream)
}
