package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// MaxDepth is the largest nesting of a message that is decoded.
const MaxDepth = 16

// ErrTooDeep is the error of a message that is nested more deeply than MaxDepth. The
// msgpack library skips unknown fields by recursion, so that a message of 64 KiB could
// otherwise take hundreds of times as much stack.
var ErrTooDeep = errors.New("msgpack message is nested too deeply; check that the sender is a parsleyturn node of a compatible version")

var errIncomplete = errors.New("msgpack message ends early")

// CheckDepth returns ErrTooDeep if a msgpack value is nested more deeply than
// MaxDepth. Other errors of the value are left to the decoder.
func CheckDepth(data []byte) error {
	// left has the number of values that are missing at each level.
	var left [MaxDepth + 1]uint64
	left[0] = 1
	for depth := 0; depth >= 0; {
		if left[depth] == 0 {
			depth--
			continue
		}
		left[depth]--
		children, size, err := element(data)
		if err != nil {
			return nil // the decoder reports it
		}
		data = data[size:]
		if children == 0 {
			continue
		}
		if depth == MaxDepth {
			return fmt.Errorf("%d levels: %w", depth+1, ErrTooDeep)
		}
		depth++
		left[depth] = children
	}
	return nil
}

// element returns the number of values within the first msgpack value of data, and the
// number of bytes before them.
func element(data []byte) (children uint64, size int, err error) {
	if len(data) == 0 {
		return 0, 0, errIncomplete
	}
	code := data[0]
	lengthBytes, fixed, perLength := 0, 0, uint64(0)
	switch {
	case code <= 0x7f || code >= 0xe0: // fixint
	case code <= 0x8f: // fixmap
		children = 2 * uint64(code&0x0f)
	case code <= 0x9f: // fixarray
		children = uint64(code & 0x0f)
	case code <= 0xbf: // fixstr
		fixed = int(code & 0x1f)
	case code <= 0xc3: // nil, never used, false, true
	case code <= 0xc6: // bin 8, 16, 32
		lengthBytes = 1 << (code - 0xc4)
	case code <= 0xc9: // ext 8, 16, 32, with a type
		lengthBytes, fixed = 1<<(code-0xc7), 1
	case code <= 0xcb: // float 32, 64
		fixed = 4 << (code - 0xca)
	case code <= 0xd3: // uint and int 8 to 64
		fixed = 1 << ((code - 0xcc) & 3)
	case code <= 0xd8: // fixext 1 to 16, with a type
		fixed = 1 + 1<<(code-0xd4)
	case code <= 0xdb: // str 8, 16, 32
		lengthBytes = 1 << (code - 0xd9)
	case code <= 0xdd: // array 16, 32
		lengthBytes, perLength = 2<<(code-0xdc), 1
	default: // map 16, 32
		lengthBytes, perLength = 2<<(code-0xde), 2
	}
	size = 1 + lengthBytes + fixed
	if len(data) < size {
		return 0, 0, errIncomplete
	}
	length := bigEndian(data[1 : 1+lengthBytes])
	if perLength > 0 {
		return length * perLength, size, nil
	}
	if length > uint64(len(data)-size) {
		return 0, 0, errIncomplete
	}
	return children, size + int(length), nil
}

func bigEndian(b []byte) uint64 {
	var padded [8]byte
	copy(padded[8-len(b):], b)
	return binary.BigEndian.Uint64(padded[:])
}
