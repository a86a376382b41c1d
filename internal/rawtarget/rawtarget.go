// Package rawtarget is a target for tests that writes the bytes of its responses itself.
// It can respond before it has read the request, and end the connection in each of the
// ways that TCP has.
package rawtarget

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// End is how the connection ends after a response.
type End int

const (
	// Close sends nothing more and reads the rest of the request.
	Close End = iota
	// CloseUnread sends nothing more and then resets the connection, without having read
	// the rest of the request.
	CloseUnread
	// Reset resets the connection.
	Reset
	// Keep keeps the connection open and reads the rest of the request. It answers no
	// other request on the connection.
	Keep
)

// transitTime is more than bytes need to cross the loopback interface.
const transitTime = 30 * time.Millisecond

// Response is what a target sends.
type Response struct {
	// Bytes are sent as they are, except that ID stands for the request ID.
	Bytes string
	// Early makes the target respond as soon as it has the head of the request.
	Early bool
	// Burst ends the connection at once. Otherwise the response has been received
	// before.
	Burst bool
	End   End
}

// TB is the part of testing.TB that Start uses.
type TB interface {
	Helper()
	Fatal(args ...any)
	Cleanup(f func())
}

// Start starts a target that sends a response to the first request on each connection,
// and returns its address. idHeader is the field that carries the request ID.
func Start(tb TB, idHeader string, respond func(r *http.Request) Response) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn), idHeader, respond)
		}
	}()
	return l.Addr().String()
}

func serve(c *net.TCPConn, idHeader string, respond func(r *http.Request) Response) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
	if err != nil {
		return
	}
	r := respond(req)
	if !r.Early {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	r.Send(c, req.Header.Get(idHeader))
}

// Send sends the response to the request with the ID and ends the connection.
func (r Response) Send(c *net.TCPConn, id string) {
	defer c.Close()
	if _, err := io.WriteString(c, strings.ReplaceAll(r.Bytes, "ID", id)); err != nil {
		return
	}
	if !r.Burst {
		time.Sleep(transitTime)
	}
	switch r.End {
	case Close:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	case CloseUnread:
		_ = c.CloseWrite()
		time.Sleep(transitTime)
		_ = c.SetLinger(0)
	case Reset:
		_ = c.SetLinger(0)
	case Keep:
		_, _ = io.Copy(io.Discard, c)
	}
}
