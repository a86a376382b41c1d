package meshnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

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

// httpReadTimeout bounds reading the short requests for readiness,
// announcements and metrics.
const httpReadTimeout = 5 * time.Second

// maxHeadBytes bounds the heads of these requests, which have no header fields of the
// callers.
const maxHeadBytes = 8 << 10

// httpEndpoint serves one of the node's HTTP interfaces other than the one for
// callers.
type httpEndpoint struct {
	kernel.Base
	address string
	handler http.Handler
	log     eventlog.Log
	server  *http.Server
}

func (s *httpEndpoint) Start(context.Context) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.address, err)
	}
	s.server = &http.Server{Handler: s.handler, ReadTimeout: httpReadTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: maxHeadBytes}
	go func() {
		if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.System.Error().Err(err).Str("event", "listener-lost").Str("address", s.address).Msg("HTTP listener failed; no more requests are accepted")
		}
	}()
	return nil
}

func (s *httpEndpoint) Stop(context.Context) error { return s.server.Close() }
