package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// target starts a server that sends the given responses on each connection, one
// for each request and in this order. ID in a response stands for the request
// ID.
func target(t *testing.T, responses ...string) (string, *int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	conns := new(int)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			*conns++
			go serve(c, responses)
		}
	}()
	return l.Addr().String(), conns
}

func serve(c net.Conn, responses []string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for _, a := range responses {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, strings.ReplaceAll(a, "ID", req.Header.Get("X-Id")))
	}
	_, _ = br.ReadByte()
}

func request(id string) *Request {
	return &Request{Method: "GET", URI: "/x", Host: "h", Header: http.Header{"X-Id": {id}}, ID: id, IDHeader: "X-Id"}
}

func do(p *Pool, address, id string) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return p.Do(ctx, address, request(id))
}

const ok = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nok"

// Guards against taking a late extra response to an earlier request for the
// response to the next request on the connection.
func TestExtraResponsesAreSkipped(t *testing.T) {
	extra := "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
	address, conns := target(t, ok, extra+ok, ok)
	var p Pool
	for i := range 3 {
		resp, err := do(&p, address, fmt.Sprintf("r%d", i))
		assert.NilError(t, err)
		assert.Equal(t, string(resp.Body), "ok")
	}
	assert.Equal(t, *conns, 1)
}

// Guards against a target whose interim responses, as common servers send them, are taken
// for its response (502), and against more of them than a target has reason to send.
func TestInterimResponsesAreSkipped(t *testing.T) {
	const proceed, hints = "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	address, conns := target(t, proceed+hints+ok, strings.Repeat(hints, maxInterimResponses)+ok, ok)
	var p Pool
	defer p.Close()
	for i := range 3 {
		resp, err := do(&p, address, fmt.Sprintf("r%d", i))
		assert.NilError(t, err)
		assert.Equal(t, string(resp.Body), "ok")
	}
	assert.Equal(t, *conns, 1)
	for name, response := range map[string]string{
		"too many":         strings.Repeat(proceed, maxInterimResponses+1) + ok,
		"another protocol": "HTTP/1.1 101 Switching Protocols\r\nX-Id: ID\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n",
	} {
		address, _ := target(t, response)
		var p Pool
		_, err := do(&p, address, "r")
		assert.Assert(t, errors.Is(err, ErrInvalidResponse), "%s: %v", name, err)
	}
}

// Guards against reusing a connection on which the target sent more bytes than
// the response, which would be read as the response to the next request.
func TestConnectionsWithExtraBytesAreNotReused(t *testing.T) {
	address, conns := target(t, ok+"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong")
	var p Pool
	for i := range 2 {
		resp, err := do(&p, address, fmt.Sprintf("r%d", i))
		assert.NilError(t, err)
		assert.Equal(t, string(resp.Body), "ok")
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, *conns, 2)
}

const (
	refusal        = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n"
	unnamedRefusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

// Guards against a refusal that a target sends once more and that is taken for the
// response to a request that it runs (REFUSED, TWICE). It may name an earlier
// request, or none.
func TestRepeatedRefusalIsNotTakenForTheResponse(t *testing.T) {
	for name, c := range map[string]struct {
		responses []string
		// want are the statuses of the responses; 0 stands for an error.
		want []int
	}{
		"of an earlier request":            {[]string{ok, refusal + ok}, []int{200, 200}},
		"of an earlier request, twice":     {[]string{ok, refusal + refusal + ok}, []int{200, 200}},
		"of no request":                    {[]string{ok, unnamedRefusal + ok}, []int{200, 0}},
		"of no request, after another one": {[]string{refusal + unnamedRefusal + ok}, []int{0}},
		"of no request, first response":    {[]string{unnamedRefusal}, []int{503}},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := target(t, c.responses...)
			var p Pool
			defer p.Close()
			for i, want := range c.want {
				resp, err := do(&p, address, fmt.Sprintf("r%d", i))
				if want == 0 {
					assert.ErrorIs(t, err, ErrInvalidResponse)
					continue
				}
				assert.NilError(t, err)
				assert.Equal(t, resp.Status, want)
			}
		})
	}
}

// Guards against a response whose head was cut off and that is taken for a complete
// one with an empty or a short body (MIXED, ORDER).
func TestTruncatedHeadIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"with length":    "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nContent-Length: 12\r\n\r\n",
		"without length": "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nConnection: close\r\n\r\n",
		"chunked":        "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for cut := range len(head) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, strings.ReplaceAll(head, "ID", "r1")[:cut])
				}
				_ = c.Close()
			}()
			var p Pool
			_, err = do(&p, l.Addr().String(), "r1")
			assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "%s: head cut off after %q: %v", name, head[:cut], err)
			_ = l.Close()
		}
	}
}

// Guards against accepting an incomplete or malformed response, or one to
// another request, as valid, and against reporting its request as not sent.
func TestInvalidResponsesAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"no answer":        "",
		"not HTTP":         "hello there\r\n\r\n",
		"truncated body":   "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 20\r\n\r\nhalf",
		"truncated chunk":  "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal",
		"no id":            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"other id":         "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nok",
		"content encoding": "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", req.Header.Get("X-Id")))
			}
			_ = c.Close()
		}()
		var p Pool
		_, err = do(&p, l.Addr().String(), "r")
		assert.Assert(t, err != nil, name)
		assert.Assert(t, !errors.Is(err, ErrNotSent), name)
		_ = l.Close()
	}
}

// endlessTarget starts a server that sends prefix and then filler without end, and
// returns its address and a channel that receives the number of bytes sent on a
// connection once that is closed.
func endlessTarget(t *testing.T, prefix, filler string) (string, <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sent := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n, err := io.WriteString(c, strings.ReplaceAll(prefix, "ID", req.Header.Get("X-Id")))
		block := strings.Repeat(filler, 4096/len(filler)+1)
		for err == nil {
			var m int
			m, err = io.WriteString(c, block)
			n += m
		}
		sent <- n
	}()
	return l.Addr().String(), sent
}

// maxUnread is more than the socket buffers of both ends hold on loopback.
const maxUnread = 16 << 20

// Guards against a target whose bytes never become a response: a head without end
// would be kept in memory until the deadline of the request.
func TestHeadWithoutEndIsCutOff(t *testing.T) {
	for name, bytes := range map[string]struct{ prefix, filler string }{
		"status line":   {"HTTP/1.1 200 ", "a"},
		"one field":     {"HTTP/1.1 200 OK\r\nX-Long: ", "a"},
		"many fields":   {"HTTP/1.1 200 OK\r\n", "X-F: 1\r\n"},
		"no protocol":   {"", "\x00"},
		"empty lines":   {"", "\r\n"},
		"1xx responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := endlessTarget(t, bytes.prefix, bytes.filler)
			var p Pool
			defer p.Close()
			begin := time.Now()
			_, err := do(&p, address, "a")
			assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "%v", err)
			assert.Assert(t, time.Since(begin) < time.Second, "the response was read for %v", time.Since(begin))
			n := <-sent
			assert.Assert(t, n < maxUnread, "%d bytes were sent before the connection was closed", n)
		})
	}
}

// Guards against a body without end that is read ahead of its reader, or that is
// still received after the reader has closed it.
func TestBodyWithoutEndIsReadOnDemand(t *testing.T) {
	address, sent := endlessTarget(t, "HTTP/1.1 200 OK\r\nX-Id: ID\r\n\r\n", "a")
	var p Pool
	defer p.Close()
	resp, err := p.Do(t.Context(), address, request("a"))
	assert.NilError(t, err)
	assert.Assert(t, len(resp.Body) <= MaxBufferedBody+1)
	n, err := io.CopyN(io.Discard, resp.BodyRest, 1<<20)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(1<<20))
	assert.NilError(t, resp.BodyRest.Close())
	assert.Assert(t, <-sent < 1<<20+maxUnread)
}

// Guards against treating a request as possibly run although the target refused
// the connection.
func TestRefusedConnectionIsErrNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	_ = l.Close()
	var p Pool
	_, err = do(&p, address, "r")
	assert.Assert(t, errors.Is(err, ErrNotSent))
}

// Guards against sending a request on an idle connection that the target has
// closed after its response.
func TestClosedIdleConnectionsAreReplaced(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	conns := 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns++
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.WriteString(c, strings.ReplaceAll(ok, "ID", req.Header.Get("X-Id")))
			}
			_ = c.Close()
		}
	}()
	var p Pool
	for i := range 5 {
		_, err := do(&p, l.Addr().String(), fmt.Sprintf("r%d", i))
		assert.NilError(t, err)
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, conns, 5)
}

// Guards against a connection that stays open after the context of its request
// has ended, so that the target continues to run the request.
func TestCancelClosesTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	closed := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var p Pool
	_, err = p.Do(ctx, l.Addr().String(), request("r"))
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection is still open 1 s after the context ended")
	}
}

// Guards against reusing a connection beyond the idle timeout that the target
// announces.
func TestIdleTime(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": defaultIdleTimeout, "timeout=10": 8500 * time.Millisecond, "max=3, timeout=5": 3500 * time.Millisecond, "timeout=1": 0, "timeout=x": defaultIdleTimeout,
	} {
		assert.Equal(t, idleTime(http.Header{"Keep-Alive": {value}}), want, value)
	}
}
