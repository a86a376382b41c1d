package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/wire"
)

// startTarget starts a target that answers the n-th request on each connection
// with what respond writes.
func startTarget(t *testing.T, respond func(w io.Writer, n int, token string)) *Forwarder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					respond(c, n, req.Header.Get(headers.ContextToken))
				}
			}()
		}
	}()
	f := &Forwarder{}
	f.Configure(l.Addr().String(), 4)
	return f
}

func do(f *Forwarder, token string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := f.Do(ctx, &wire.Request{ID: "r-" + token, Method: http.MethodPost, Path: "/x"}, nil, time.Second, token)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	return resp, err
}

// Guards against a refusal that a target sends once more on a kept connection and
// that is taken for the response to the next request, which the target runs
// (REFUSED, TWICE).
func TestRepeatedRefusalIsNotTakenForTheResponse(t *testing.T) {
	first := ""
	f := startTarget(t, func(w io.Writer, n int, token string) {
		refusal := "HTTP/1.1 503 Service Unavailable\r\nParsley-Outcome: not-run\r\nParsley-Context: %s\r\nContent-Length: 0\r\n\r\n"
		if token == "a" {
			first = token
			fmt.Fprintf(w, refusal, first)
			return
		}
		if n > 0 && first != "" {
			fmt.Fprintf(w, refusal, first)
		}
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nParsley-Context: %s\r\nContent-Length: 2\r\n\r\nok", token)
	})
	_, err := do(f, "first of the target") // connections are kept from now on
	assert.NilError(t, err)
	resp, err := do(f, "a")
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get(headers.ContextToken), "a")
	_, err = do(f, "b")
	assert.Assert(t, err != nil, "the refusal of request a was taken for the response to request b")
	assert.Equal(t, apierror.From(err).Outcome, apierror.Unknown)
	for _, token := range []string{"c", "d"} {
		resp, err = do(f, token)
		if err == nil { // on the connection of c, the target repeats the refusal for d
			assert.Equal(t, resp.Header.Get(headers.ContextToken), token)
		}
	}
}

// Guards against the late second copy of a response, without a context, that is taken
// for the response to the next request on the connection (MIXED): the next caller got
// a response that was not its own.
func TestRepeatedResponseWithoutContextIsNotTakenForTheNext(t *testing.T) {
	for _, before := range []int{0, 3} {
		answered := 0
		f := startTarget(t, func(w io.Writer, n int, token string) {
			if n > 0 && answered > before {
				fmt.Fprint(w, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold") // again
			}
			named := ""
			if answered < before {
				named = "Parsley-Context: " + token + "\r\n"
			}
			answered++
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%sX-For: %s\r\nContent-Length: 2\r\n\r\nok", named, token)
		})
		for i := range 6 {
			token := fmt.Sprint("t", i)
			resp, err := do(f, token)
			assert.NilError(t, err)
			assert.Equal(t, resp.Header.Get("X-For"), token, "request %d got the response to another one", i)
		}
	}
}

// Guards against a response whose head was cut off and that is taken for a complete
// one (MIXED, ORDER).
func TestTruncatedHeadIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"with length":    "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\n",
		"without length": "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nConnection: close\r\n\r\n",
	} {
		for cut := range len(head) {
			f := startTarget(t, func(w io.Writer, _ int, _ string) {
				_, _ = io.WriteString(w, head[:cut])
				_ = w.(net.Conn).Close()
			})
			_, err := do(f, "a")
			assert.Assert(t, err != nil, "%s: head cut off after %q", name, strings.ReplaceAll(head[:cut], "\r\n", "|"))
		}
	}
}
