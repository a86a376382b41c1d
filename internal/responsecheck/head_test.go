package responsecheck

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

const bufferSize = 256

func nextHead(text string) (Head, error) {
	return NewReader(strings.NewReader(text), bufferSize).NextHead()
}

// Guards against a response with an invalid status that callers get as an answer or
// that hides another response in its body (MIXED).
func TestInvalidStatusIsRejected(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+12", "-00", " 99", "600", "999", "2000", "20", "2x0", "\x00\x00\x00", ""} {
		_, err := nextHead("HTTP/1.1 " + status + " X\r\n\r\n")
		assert.ErrorIs(t, err, ErrInvalidHead, "%q", status)
	}
}

// Guards against a sound response that is rejected for a rare status or reason.
func TestValidStatuses(t *testing.T) {
	for status := 100; status < 600; status++ {
		for _, reason := range []string{"", " ", " OK", " Very\tlong (\xe9!) reason"} {
			head, err := nextHead(fmt.Sprintf("HTTP/1.1 %d%s\r\n\r\n", status, reason))
			assert.NilError(t, err, "%d%s", status, reason)
			assert.Equal(t, head.Status, status)
			assert.Equal(t, head.Interim(), status < 200 && status != http.StatusSwitchingProtocols)
		}
	}
}

// Guards against bytes that are not HTTP/1 and that are taken for a response, and against
// a later version of HTTP/1 that is not.
func TestVersionsAndReasons(t *testing.T) {
	for _, line := range []string{"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK", "ICY 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 OK\r"} {
		_, err := nextHead(line + "\r\n\r\n")
		assert.ErrorIs(t, err, ErrInvalidHead, "%q", line)
	}
	for _, line := range []string{"HTTP/1.0 200 OK", "HTTP/1.2 200 OK", "HTTP/1.1  200  OK", "HTTP/1.1 200 \xff\xfe\t!"} {
		_, err := nextHead(line + "\r\n\r\n")
		assert.NilError(t, err, "%q", line)
	}
}

// tokenBytes are the bytes that names of fields may hold.
const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// Guards against a field whose name holds a blank or a control byte, and that callers
// get, or that changes where the body ends (MIXED).
func TestInvalidFieldNamesAreRejected(t *testing.T) {
	for b := range 256 {
		c := string([]byte{byte(b)})
		if strings.Contains(tokenBytes, c) || c == ":" || c == "\n" {
			continue
		}
		for _, name := range []string{"X" + c + "Y", "Content-Length" + c, c + "X"} {
			if name[0] == ' ' || name[0] == '\t' {
				continue // continues the line before
			}
			_, err := nextHead("HTTP/1.1 200 OK\r\nA: b\r\n" + name + ": 5\r\n\r\n")
			assert.ErrorIs(t, err, ErrInvalidHead, "%q", name)
		}
	}
	_, err := nextHead("HTTP/1.1 200 OK\r\n: 5\r\n\r\n")
	assert.ErrorIs(t, err, ErrInvalidHead)
}

// Guards against a sound response that is rejected for the name or value of a field.
func TestValidFields(t *testing.T) {
	for _, field := range []string{
		tokenBytes + ": 1", "_: 1", "1: 1", "x-a:1", "X: ", "X:", "X: a : b", "X:\t\xe9 ", "X: a\r\n continued: 1", "X: a\r\n\tb c", "X: a\r\n \r\nY: b",
	} {
		_, err := nextHead("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n")
		assert.NilError(t, err, "%q", field)
	}
}

// Guards against a head that is checked in part only because it arrives in pieces or is
// larger than the buffer, and against bytes behind it that are lost.
func TestHeadOfEachSizeInPieces(t *testing.T) {
	const rest = "body\r\n\r\nbody"
	for _, newline := range []string{"\r\n", "\n"} {
		for _, fieldBytes := range []int{0, 1, bufferSize - 30, bufferSize, bufferSize + 1, 5 * bufferSize, MaxHeadBytes - 100} {
			head := "HTTP/1.1 200 OK" + newline + "X: " + strings.Repeat("a", fieldBytes) + newline + newline
			for name, source := range map[string]io.Reader{
				"at once": strings.NewReader(head + rest),
				"bytes":   iotest.OneByteReader(strings.NewReader(head + rest)),
				"halves":  iotest.HalfReader(strings.NewReader(head + rest)),
			} {
				r := NewReader(source, bufferSize)
				got, err := r.NextHead()
				assert.NilError(t, err, "%s, %d bytes", name, len(head))
				assert.Equal(t, got, Head{Status: 200, Size: len(head)})
				all, err := io.ReadAll(r)
				assert.NilError(t, err)
				assert.Assert(t, string(all) == head+rest, "%s, %d bytes: %d bytes read", name, len(head), len(all))
			}
		}
	}
}

// Guards against bytes after a response that nobody notices because they are in no
// buffer that is looked at.
func TestGrownBufferHidesNoBytes(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 5*bufferSize) + "\r\n\r\n"
	source := strings.NewReader(head + strings.Repeat("b", 2*MaxHeadBytes))
	r := NewReader(source, bufferSize)
	_, err := r.NextHead()
	assert.NilError(t, err)
	for read := 0; source.Len() > 0; read++ {
		_, err := r.ReadByte()
		assert.NilError(t, err)
		assert.Equal(t, read+1+r.Buffered()+source.Len(), len(head)+2*MaxHeadBytes)
	}
}

// Guards against a head without end that is kept in memory, and against one that was cut
// off and is taken for a complete one.
func TestIncompleteHeads(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nX: "
	_, err := nextHead(start + strings.Repeat("a", MaxHeadBytes))
	assert.ErrorIs(t, err, ErrHeadTooLarge)
	for _, text := range []string{"", "H", start, start + "a\r\n", start + "a\r\n\r"} {
		_, err := nextHead(text)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%q", text)
	}
}
