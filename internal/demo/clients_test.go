package demo

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"parsleyturn/internal/headers"
)

// uploadBytes is the size of an upload, more than clients send without consent.
const uploadBytes = 2_000_000

// ticketFor returns a ticket for a booking.
func ticketFor(t *testing.T, address string) string {
	t.Helper()
	resp, err := http.Post("http://"+address+"/bookings/saddle", "", nil)
	assert.NilError(t, err)
	reason, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	ticket := resp.Header.Get(headers.Ticket)
	assert.Assert(t, ticket != "", "status %d: %s", resp.StatusCode, reason)
	return ticket
}

// upload sends a booking in parts, and returns the status of the response. If consent is
// set, the last part is sent after the consent to it.
func upload(t *testing.T, address string, consent bool, parts ...string) int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	br := bufio.NewReader(c)
	for i, part := range parts {
		if consent && i == len(parts)-1 {
			line, err := br.ReadString('\n')
			assert.NilError(t, err)
			assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
			_, err = br.ReadString('\n')
			assert.NilError(t, err)
		}
		_, err := io.WriteString(c, part)
		assert.NilError(t, err)
	}
	resp, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	content, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	if resp.StatusCode != http.StatusOK {
		t.Logf("status %d: %s", resp.StatusCode, content)
	}
	return resp.StatusCode
}

// Uploads as curl, Go's client and Python's send them. Guards against clients that await
// consent to send a body and get none, or an error.
func TestUploadsOfClientLibraries(t *testing.T) {
	m, err := Start(context.Background(), freeAddress(t), freeAddress(t), zerolog.Nop())
	assert.NilError(t, err)
	defer func() {
		http.DefaultClient.CloseIdleConnections()
		assert.NilError(t, m.Stop())
	}()
	body := strings.Repeat("x", uploadBytes)
	head := func(fields string) string {
		return fmt.Sprintf("POST /bookings/saddle HTTP/1.1\r\nHost: %s\r\nAccept: */*\r\nParsley-Ticket: %s\r\n%s\r\n", m.CallerAddress, ticketFor(t, m.CallerAddress), fields)
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", uploadBytes)
	assert.Equal(t, upload(t, m.CallerAddress, true, head(length+"Expect: 100-continue\r\n"), body), http.StatusOK, "curl")
	assert.Equal(t, upload(t, m.CallerAddress, true, head("Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n"), fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", uploadBytes, body)), http.StatusOK, "curl, chunked")
	assert.Equal(t, upload(t, m.CallerAddress, false, head("Accept-Encoding: identity\r\n"+length), body), http.StatusOK, "Python http.client")

	client := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: 5 * time.Second, DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+m.CallerAddress+"/bookings/saddle", bytes.NewReader([]byte(body)))
	assert.NilError(t, err)
	req.Header.Set("Expect", "100-continue")
	req.Header.Set(headers.Ticket, ticketFor(t, m.CallerAddress))
	begin := time.Now()
	resp, err := client.Do(req)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK, "Go")
	assert.Assert(t, time.Since(begin) < 4*time.Second, "the consent was not sent")
}
