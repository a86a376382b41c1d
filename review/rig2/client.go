package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// outcome is what a client has seen of one attempt.
type outcome struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int
	err    error
	stamp  string
	body   string
}

// served reports whether the client has got a success that counts.
func (o *outcome) served() bool {
	return o.err == nil && o.status >= 200 && o.status < 300 && o.stamp != ""
}

var requestCount atomic.Int64

// newID returns the id of a client's attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+requestCount.Add(1)) }

// send sends one attempt of a client to the node of its machine.
func (r *rig) send(c *http.Client, n *node, method, host, uri, body string, deadline time.Duration) outcome {
	o := outcome{id: newID(), sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+n.caller()+uri, strings.NewReader(body))
	if err != nil {
		o.err = err
		return o
	}
	req.Host = host
	req.Header.Set("Parsleyturn-Request-Id", o.id)
	req.Header.Set("Parsleyturn-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := *c
	client.Timeout = deadline
	resp, err := client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		o.status, o.stamp, o.body = resp.StatusCode, resp.Header.Get("Parsleyturn-Server-Stamp"), string(data)
	}
	o.err, o.took = err, time.Since(o.sent)
	r.note("| client at %s: %s %s %s: status %d, %v after %d ms", n.name, o.id, method, uri, o.status, o.err, o.took.Milliseconds())
	return o
}
