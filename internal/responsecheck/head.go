package responsecheck

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// MaxHeadBytes bounds the head of a response, in bytes. It fits into a frame of a link,
// also as a message. The settings of callers allow heads of 16 KB.
const MaxHeadBytes = 32 << 10

// Errors of NextHead.
var (
	// ErrInvalidHead means that the head of a response breaks HTTP/1.1.
	ErrInvalidHead = errors.New("the head of the target's response is not valid HTTP/1.1; correct what the target sends")
	// ErrHeadTooLarge means that the head of a response does not end within MaxHeadBytes.
	ErrHeadTooLarge = errors.New("the head of the target's response is too large; send fewer or shorter fields")
)

// Head describes the head of a response.
type Head struct {
	Status int
	// Size is the number of bytes up to the body.
	Size int
}

// Interim reports whether another response to the same request follows.
func (h Head) Interim() bool {
	return h.Status < http.StatusOK && h.Status != http.StatusSwitchingProtocols
}

// Reader reads the responses of a target.
type Reader struct {
	*bufio.Reader
	source io.Reader
}

// NewReader returns a Reader with a buffer of size bytes, which grows for a larger head.
func NewReader(r io.Reader, size int) *Reader { return &Reader{bufio.NewReaderSize(r, size), r} }

// NextHead waits for the whole head of the next response and checks it, without reading
// it. It rejects what net/http accepts although HTTP/1.1 does not; all else is left to
// net/http. An error matches ErrInvalidHead or ErrHeadTooLarge, or is that of the
// connection.
func (r *Reader) NextHead() (Head, error) {
	scanned, size := 0, 0
	for size == 0 {
		if err := r.awaitByte(scanned); err != nil {
			return Head{}, err
		}
		received, err := r.Peek(r.Buffered())
		if err != nil {
			return Head{}, err
		}
		size = headSize(received, scanned)
		scanned = len(received)
	}
	head, err := r.Peek(size)
	if err != nil {
		return Head{}, err
	}
	status, err := check(head)
	if err != nil {
		return Head{}, fmt.Errorf("%w: %w", ErrInvalidHead, err)
	}
	return Head{Status: status, Size: size}, nil
}

// awaitByte waits until more than n bytes are in the buffer.
func (r *Reader) awaitByte(n int) error {
	if n >= MaxHeadBytes {
		return ErrHeadTooLarge
	}
	if n == r.Size() {
		if err := r.grow(); err != nil {
			return err
		}
	}
	_, err := r.Peek(n + 1)
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// grow replaces the buffer by one of MaxHeadBytes.
func (r *Reader) grow() error {
	received, err := r.Peek(r.Buffered())
	if err != nil {
		return err
	}
	r.Reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(received)), r.source), MaxHeadBytes)
	return nil
}

// headSize returns the number of bytes up to the end of the first empty line, or 0 if
// there is none. The first scanned bytes contain none.
func headSize(received []byte, scanned int) int {
	for at := max(scanned-len("\n\r"), 0); ; {
		i := bytes.IndexByte(received[at:], '\n')
		if i < 0 {
			return 0
		}
		at += i + 1
		rest := received[at:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + 2
		}
	}
}

// check returns the status of a response, or an error if its head breaks HTTP/1.1 in a
// way that net/http accepts.
func check(head []byte) (status int, err error) {
	line, fields := cutLine(head)
	version, status, err := checkStatusLine(line)
	if err != nil {
		return 0, err
	}
	for len(fields) > 0 {
		line, fields = cutLine(fields)
		if err := checkField(line, version); err != nil {
			return 0, err
		}
	}
	return status, nil
}

// cutLine returns the first line without its end, and what follows it.
func cutLine(text []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(text, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// checkField checks the name of a field. net/http takes "Content-Length :" for another
// field than Content-Length, and ignores Transfer-Encoding in HTTP/1.0, so that chunks
// would be passed on with their framing (RFC 9112, section 6.1). Lines that continue a
// field, and the empty one that ends the head, have no name.
func checkField(line, version []byte) error {
	if len(line) == 0 || line[0] == ' ' || line[0] == '\t' {
		return nil
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch {
	case !isToken(name):
		return fmt.Errorf("%.60q is not the name of a field", name)
	case string(version) == "HTTP/1.0" && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return errors.New("HTTP/1.0 has no Transfer-Encoding")
	}
	return nil
}

// isControl reports whether r is a control character other than a tab.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// isToken reports whether s is a token of RFC 9110, section 5.6.2.
func isToken(s []byte) bool {
	for _, c := range s {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		digit := '0' <= c && c <= '9'
		if !letter && !digit && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return len(s) > 0
}

// checkStatusLine checks the first line of a response. As net/http does, it allows for
// a missing reason and for several blanks.
func checkStatusLine(line []byte) (version []byte, status int, err error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if !bytes.HasPrefix(version, []byte("HTTP/1.")) {
		return nil, 0, fmt.Errorf("version %.20q is not HTTP/1", version)
	}
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if bytes.ContainsFunc(reason, isControl) {
		return nil, 0, fmt.Errorf("reason %.60q has control characters", reason)
	}
	if len(code) != 3 {
		return nil, 0, fmt.Errorf("status %.20q does not have three digits", code)
	}
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return nil, 0, fmt.Errorf("status %q does not have three digits", code)
		}
		status = 10*status + int(digit-'0')
	}
	// RFC 9110, section 15: values outside of this range are invalid.
	if status < 100 || status > 599 {
		return nil, 0, fmt.Errorf("status %q is not between 100 and 599", code)
	}
	return version, status, nil
}
