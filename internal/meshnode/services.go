package meshnode

import (
	"context"
	"net/http"
	"time"

	"parsleyturn/internal/callerconn"
	"parsleyturn/internal/connlimit"
	"parsleyturn/internal/eventlog"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/link"
	"parsleyturn/internal/listener"
)

// linkListener accepts connections from other nodes (see package link).
type linkListener struct {
	kernel.Base
	address string
	server  *link.Server
	log     eventlog.Log
	onLost  func(err error)
}

func (s *linkListener) Start(context.Context) error {
	l, err := listener.Listen(s.address, "links", s.log.System)
	if err != nil {
		return err
	}
	l.OnLost = s.onLost
	go func() { _ = s.server.Serve(l) }() // the listener reports its loss
	return nil
}

func (s *linkListener) Stop(context.Context) error {
	s.server.Close()
	return nil
}

// Limits of the requests for readiness, announcements and metrics, which are short.
const (
	httpReadTimeout = 5 * time.Second
	httpIdleTimeout = time.Minute
	maxHeadBytes    = 8 << 10
)

// httpEndpoint serves one of the node's HTTP interfaces other than the one for
// callers.
type httpEndpoint struct {
	kernel.Base
	name        string
	address     string
	handler     http.Handler
	connections connlimit.Config
	log         eventlog.Log
	onLost      func(err error)

	listener *callerconn.Listener
	server   *http.Server
}

func (s *httpEndpoint) Start(context.Context) error {
	base, err := listener.Listen(s.address, s.name, s.log.System)
	if err != nil {
		return err
	}
	base.OnLost = s.onLost
	limits := callerconn.Limits{IdleTimeout: httpIdleTimeout, HeaderTimeout: httpReadTimeout, MaxHeadBytes: maxHeadBytes}
	s.listener = callerconn.New(base, callerconn.Options{Name: s.name, Limit: s.connections, Limits: func() callerconn.Limits { return limits }, Log: s.log.System})
	s.server = &http.Server{Handler: callerconn.Handler(s.handler), ReadTimeout: httpReadTimeout, MaxHeaderBytes: maxHeadBytes}
	s.listener.Attach(s.server)
	go func() { _ = s.server.Serve(s.listener) }() // the listener reports its loss
	return nil
}

func (s *httpEndpoint) Stop(context.Context) error {
	err := s.server.Close()
	s.listener.Stop()
	return err
}
