package memtest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// Requests is the number of slots of the largest targets that the users name.
	Requests = 140
	// Duration is the time limit of requests to a target that sends without end.
	Duration = 500 * time.Millisecond
	// headSize is the size of heads that end.
	headSize = 60 << 10
)

// A Response is what a faulty target sends: Prefix, in which ID stands for the request
// ID, and then Filler without end.
type Response struct{ Prefix, Filler string }

// Responses returns responses without end, by name. idHeader is the header field in
// which targets repeat the request ID.
func Responses(idHeader string) map[string]Response {
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": ID\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	return map[string]Response{
		"status line":            {"HTTP/1.1 200 ", "a"},
		"no protocol":            {"", "\x00"},
		"line that is no head":   {strings.Repeat("\x00", headSize) + "\r\n", "\x00"},
		"empty lines":            {"", "\r\n"},
		"field":                  {"HTTP/1.1 200 OK\r\nX-Long: ", "a"},
		"fields":                 {"HTTP/1.1 200 OK\r\n", "X-F: 1\r\n"},
		"distinct fields":        {"HTTP/1.1 200 OK\r\n" + distinctFields(headSize), "X: 1\r\n"},
		"interim responses":      {"", "HTTP/1.1 103 Early Hints\r\nX-F: 1\r\n\r\n"},
		"large head, then body":  {head + distinctFields(headSize) + "\r\n", "a"},
		"body":                   {head + "\r\n", "a"},
		"body of a length":       {head + "Content-Length: 9000000000000000000\r\n\r\n", "a"},
		"chunks":                 {chunked, "1\r\na\r\n"},
		"chunk size":             {chunked, "0"},
		"chunk extension":        {chunked + "1;", "a"},
		"trailer":                {chunked + "0\r\n", "X-F: 1\r\n"},
		"trailer field":          {chunked + "0\r\nX-F: ", "a"},
		"bytes after a response": {head + "Content-Length: 2\r\n\r\nok", "a"},
		"responses to others":    {"", "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nContent-Length: 2\r\n\r\nok"},
	}
}

func distinctFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "F%d: 1\r\n", i)
	}
	return b.String()
}

// StartTarget starts a target that answers each request with r, and returns its
// address.
func StartTarget(tb testing.TB, idHeader string, r Response) string {
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
			go func() {
				defer c.Close()
				req, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				Flood(c, strings.ReplaceAll(r.Prefix, "ID", req.Header.Get(idHeader)), r.Filler, time.Now().Add(2*Duration))
			}()
		}
	}()
	return l.Addr().String()
}

// Repeat calls send in Requests goroutines, again and again until Duration has passed.
// Each call has an ID of its own.
func Repeat(send func(ctx context.Context, id string)) {
	ctx, cancel := context.WithTimeout(context.Background(), Duration)
	defer cancel()
	var running sync.WaitGroup
	for i := range Requests {
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				send(ctx, fmt.Sprintf("r%d-%d", i, n))
			}
		})
	}
	running.Wait()
}
