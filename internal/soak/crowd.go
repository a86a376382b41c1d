package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"parsleyturn/platform/platformtest"
)

const (
	// descriptors is the limit of a node process, and descriptorsPerVM what it gets
	// beside for its links.
	descriptors, descriptorsPerVM = 256, 4
	// crowdSize is the number of clients that come at once, more than a node process
	// has descriptors for.
	crowdSize = 320
	// arrivalInterval is the time between two of them.
	arrivalInterval = 2 * time.Millisecond
	// leaverCount is the number of clients that leave before they get a response, and
	// the patience of each is at most maxPatience.
	leaverCount = 40
	maxPatience = 300 * time.Millisecond
)

// newClient returns a client that keeps one connection open.
func newClient() *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &http.Client{Timeout: deadline + 500*time.Millisecond, Transport: t}
}

// nextCrowd returns a number for the clients of a fault.
func (r *run) nextCrowd() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crowds++
	return r.crowds
}

// crowd lets many clients come at once to a node. Each leaves its connection open. In
// the meantime, connections of other nodes to it are reset, and other clients leave.
// Every request of the crowd must be answered or refused.
func (r *run) crowd(v *vm, length time.Duration) {
	number := r.nextCrowd()
	var clients sync.WaitGroup
	var unanswered atomic.Int32
	var first atomic.Value
	for i := range crowdSize {
		c := newClient()
		defer c.CloseIdleConnections()
		clients.Go(func() {
			id := fmt.Sprintf("read-%d-crowd%d-%d", v.index, number, i)
			resp := r.sendRequest(c, v, http.MethodGet, "/read/x", id, "")
			if r.ctx.Err() != nil {
				return
			}
			r.recorder.checkResponse(id, resp)
			if resp.Err != nil {
				unanswered.Add(1)
				first.CompareAndSwap(nil, id+": "+resp.Err.Error())
			}
		})
		r.sleep(arrivalInterval)
	}
	r.meshProxy.Reset("", v.ip)
	r.leave(v)
	clients.Wait()
	r.sleep(length)
	if n := unanswered.Load(); n > 0 {
		r.recorder.addViolation("vm-%d neither served nor refused %d of %d requests of a crowd, first %v", v.index, n, crowdSize, first.Load())
	}
}

// leave lets many clients send a request to a node and leave before they have a
// response.
func (r *run) leave(v *vm) {
	number := r.nextCrowd()
	var clients sync.WaitGroup
	for i := range leaverCount {
		clients.Go(func() {
			ctx, cancel := context.WithTimeout(r.ctx, maxPatience*time.Duration(i+1)/leaverCount)
			defer cancel()
			c := newClient()
			defer c.CloseIdleConnections()
			id := fmt.Sprintf("read-%d-leaver%d-%d", v.index, number, i)
			resp := platformtest.Send(ctx, c, platformtest.Request{Address: v.callerAddress, Host: host, Method: http.MethodGet, Path: "/read/x", ID: id, Deadline: deadline})
			switch {
			case resp.Err == nil:
				r.recorder.checkResponse(id, resp)
			case errors.Is(resp.Err, context.DeadlineExceeded):
				r.recorder.recordLeft(id)
			}
		})
	}
	clients.Wait()
}
