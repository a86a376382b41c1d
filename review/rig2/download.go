package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"parsleyturn/platform/platformtest"
)

// slowDownload: clients download reports of 200 KB from the upstream of their own
// machine. The upstream sends the head of a response at once, and the body half a second
// later. The operator lowers the timeout of the route below that.
func slowDownload(r *rig) (string, error) {
	const (
		bodyBytes = 200_000
		work      = 500 * time.Millisecond
		deadline  = 1500 * time.Millisecond
		counted   = 40 * time.Second
		pause     = 300 * time.Millisecond
		// allowed is the number of connections that may be closed without an answer.
		allowed = 3
	)
	ip, err := freeNet()
	if err != nil {
		return "", err
	}
	info := platformtest.Route{Name: "info", Host: host, PathPrefix: "/info/", Kind: "safe", Timeout: "800ms", Service: "reports", MaxAttempts: 2}
	report := platformtest.Route{Name: "report", Host: host, PathPrefix: "/report/", Kind: "download", Timeout: "800ms", Service: "reports", MaxAttempts: 2}
	store, address, err := r.startStore([]platformtest.Route{info, report})
	if err != nil {
		return "", err
	}
	n := &node{rig: r, name: "sidecar-z1-1", ip: ip(1), zone: "z1", service: "reports", store: address}
	if err := n.start(); err != nil {
		return "", err
	}
	u := &upstream{rig: r, id: "i-1", service: "reports", node: n, slots: 40}
	u.answer = func(w http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, "/info/") {
			_, _ = io.WriteString(w, "info") // fails only if the node has left
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(bodyBytes))
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(work):
			_, _ = w.Write(make([]byte, bodyBytes))
		case <-req.Context().Done():
			r.note("| upstream %s: the node has closed the connection of %s", u.id, req.Header.Get("Parsleyturn-Request-Id"))
		}
	}
	if err := u.start(); err != nil {
		return "", err
	}
	if err := waitReady(n); err != nil {
		return "", err
	}
	c := &keptClient{rig: r, node: n}
	defer c.close()
	for end := time.Now().Add(15 * time.Second); c.get("/info/x", deadline) != whole || c.get("/report/x", deadline) != whole; time.Sleep(pause) {
		if time.Now().After(end) {
			return "", fmt.Errorf("the mesh does not serve")
		}
	}
	time.Sleep(stabilityWindow)
	if r.trouble {
		report.Timeout = "300ms"
		if err := store.PutConfig(2, []platformtest.Route{info, report}); err != nil {
			return "", err
		}
		r.note("version 2 is acknowledged: the timeout of the route is %s", report.Timeout)
	}
	time.Sleep(configBound + stabilityWindow)
	count := map[string]int{}
	for end := time.Now().Add(counted); time.Now().Before(end); time.Sleep(pause) {
		// The report is asked for on a connection that has carried a request before.
		if c.get("/info/x", deadline) == whole && c.conn != nil {
			count[c.get("/report/x", deadline)]++
		}
	}
	r.note("reports that were asked for on kept connections: %v", count)
	if count[nothing] > allowed {
		return fmt.Sprintf("%d kept connections were closed without a byte of an answer, after their requests had been passed on to a sound upstream", count[nothing]), nil
	}
	return "", nil
}

// What a client has got on a kept connection.
const (
	whole   = "whole answer"
	partial = "incomplete answer"
	nothing = "closed without an answer"
	failure = "failure"
	silence = "no answer in time"
)

// keptClient sends requests over one connection, which it opens again after it has been
// closed.
type keptClient struct {
	rig  *rig
	node *node
	conn net.Conn
	br   *bufio.Reader
}

func (c *keptClient) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// get sends a request and returns what has come of it.
func (c *keptClient) get(uri string, deadline time.Duration) string {
	id, begin := newID(), time.Now()
	result, detail := c.exchange(id, uri, deadline)
	c.rig.note("| client at %s: %s GET %s: %s (%s) after %d ms", c.node.name, id, uri, result, detail, time.Since(begin).Milliseconds())
	return result
}

func (c *keptClient) exchange(id, uri string, deadline time.Duration) (result, detail string) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.node.caller(), time.Second)
		if err != nil {
			return silence, err.Error()
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nParsleyturn-Request-Id: %s\r\nParsleyturn-Deadline-Ms: %d\r\n\r\n", uri, host, id, deadline.Milliseconds())
	_, err := io.WriteString(c.conn, head)
	if err == nil {
		_, err = c.br.Peek(1)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.close()
		return silence, err.Error()
	case err != nil:
		c.close()
		return nothing, err.Error()
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		c.close()
		return partial, err.Error()
	}
	data, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		c.close()
		return partial, err.Error()
	case resp.Close:
		c.close()
	}
	if resp.StatusCode != http.StatusOK {
		return failure, resp.Status
	}
	return whole, fmt.Sprintf("%d bytes", len(data))
}
