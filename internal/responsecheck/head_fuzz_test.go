package responsecheck

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/rawtarget"
)

// Guards against a head whose end, status or names are others for net/http than for the
// check.
func FuzzNextHead(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	for _, response := range rawtarget.InvalidFields(head) {
		f.Add([]byte(response))
	}
	for _, response := range []string{head + rawtarget.Whole, "HTTP/1.0 200\nX: a\n b: c\n \n\nbody", "HTTP/1.1 000 X\r\n\r\n" + head + "\r\n", "HTTP/1.1 103 X\r\n\r\n", "\r\n\r\n", head + " \r\n\t\r\n\r\n\r\n"} {
		f.Add([]byte(response))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		next, err := NewReader(bytes.NewReader(response), 64).NextHead()
		if err != nil {
			return
		}
		source := bytes.NewReader(response)
		r := bufio.NewReader(source)
		got, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		assert.Equal(t, got.StatusCode, next.Status)
		assert.Equal(t, len(response)-source.Len()-r.Buffered(), next.Size, "the head of %q", response)
		for name := range got.Header {
			assert.Assert(t, isToken([]byte(name)), "%q", name)
		}
	})
}
