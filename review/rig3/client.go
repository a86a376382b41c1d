package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	node       string
	status     int
	stamp, got string
	retryAfter string
	body       string
	err        error
	sent, at   time.Time
}

// request is one client attempt.
type request struct {
	id, method, host, path, body string
	deadline                     time.Duration
}

// send sends a request on a new connection to the outbound address of a VM.
func (l *lab) send(n *node, r request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+n.address(callerPort)+r.path, strings.NewReader(r.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = r.host
	req.Header.Set("Parsleyturn-Request-Id", r.id)
	req.Header.Set("Parsleyturn-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	sent := time.Now()
	l.logf("client: sends %s to %s", r.id, n.name)
	a := answer{node: n.name, sent: sent}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.body = resp.StatusCode, string(data)
		a.stamp, a.got, a.retryAfter = resp.Header.Get("Parsleyturn-Server-Stamp"), resp.Header.Get("Parsleyturn-Request-Id"), resp.Header.Get("Retry-After")
	}
	a.err, a.at = err, time.Now()
	l.logf("client: %s gets status %d, stamp %q, error %v", r.id, a.status, a.stamp, a.err)
	return a
}
