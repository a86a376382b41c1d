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
)

// linkService accepts the links of other nodes.
type linkService struct {
	kernel.Base
	address string
	server  *link.Server
	log     eventlog.Log
}

// Start listens for links.
func (s *linkService) Start(context.Context) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen for links: %w", err)
	}
	go func() {
		if err := s.server.Serve(l); err != nil && !errors.Is(err, net.ErrClosed) {
			s.log.System.Error().Err(err).Str("event", "listener-lost").Msg("no more links are accepted")
		}
	}()
	return nil
}

// Stop closes the links.
func (s *linkService) Stop(context.Context) error {
	s.server.Close()
	return nil
}

// controlTimeout bounds the short exchanges of readiness, announcements and
// metrics.
const controlTimeout = 5 * time.Second

// httpService serves a small HTTP interface of the node.
type httpService struct {
	kernel.Base
	address string
	handler http.Handler
	log     eventlog.Log
	server  *http.Server
}

// Start listens.
func (s *httpService) Start(context.Context) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.address, err)
	}
	s.server = &http.Server{Handler: s.handler, ReadTimeout: controlTimeout, IdleTimeout: time.Minute}
	go func() {
		if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.System.Error().Err(err).Str("event", "listener-lost").Str("address", s.address).Msg("interface is gone")
		}
	}()
	return nil
}

// Stop closes the interface.
func (s *httpService) Stop(context.Context) error { return s.server.Close() }
