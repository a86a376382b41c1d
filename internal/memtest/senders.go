package memtest

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// Senders is the number of processes that send without end at the same time.
const Senders = 500

// Request is what a faulty client sends: Prefix and then Filler without end.
type Request = Response

// Requests returns requests without end to a path, by name. fields are header fields that
// the server requires.
func RequestsTo(method, path, host, fields string) map[string]Request {
	head := method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + fields
	return map[string]Request{
		"nothing":               {"", ""},
		"no protocol":           {"", "\x00"},
		"empty lines":           {"", "\r\n"},
		"method":                {"", "A"},
		"path":                  {method + " /", "a"},
		"field":                 {head + "X-Long: ", "a"},
		"fields":                {head, "X-F: 1\r\n"},
		"distinct fields":       {head + distinctFields(headSize), "X: 1\r\n"},
		"body of a length":      {head + "Content-Length: 9000000000\r\n\r\n", "a"},
		"body":                  {head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("400\r\n"+strings.Repeat("a", 0x400)+"\r\n", 16)},
		"short chunks":          {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		"chunk extension":       {head + "Transfer-Encoding: chunked\r\n\r\n1;", "a"},
		"trailer":               {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-F: 1\r\n"},
		"requests in a row":     {"", head + "Content-Length: 0\r\n\r\n"},
		"body of the length":    {head + "Content-Length: 4000000\r\n\r\n", "a"},
		"body that is too long": {head + "Content-Length: 5000000\r\n\r\n", "a"},
	}
}

// Send sends r on Senders connections to an address for Duration.
func Send(tb testing.TB, address string, r Request) {
	tb.Helper()
	deadline := time.Now().Add(Duration)
	var running sync.WaitGroup
	for range Senders {
		running.Go(func() {
			for time.Now().Before(deadline) {
				c, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				if r.Filler == "" {
					time.Sleep(time.Until(deadline))
				} else {
					Flood(c, r.Prefix, r.Filler, deadline)
				}
				_ = c.Close()
			}
		})
	}
	running.Wait()
}
