// Package linkserver serves calls of other nodes: it adapts the streams of the
// link to the executor.
package linkserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/executor"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/link"
	"parsleyturn/internal/regionlimiter"
	"parsleyturn/internal/wire"
)

// Name is the name of the service in the kernel.
const Name = "linkserver"

// shortBody is the size up to which an answer leaves in one piece.
const shortBody = wire.MaxData

// Service accepts the links of other nodes.
type Service struct {
	kernel.Base
	Address      string
	Region       string
	MaxBodyBytes int64
	Hello        func() wire.Hello
	Timing       link.Timing
	Log          zerolog.Logger

	executor *executor.Service
	cross    *regionlimiter.Service
	server   *link.Server
	active   atomic.Int64
}

// Provision finds the executor.
func (s *Service) Provision(k *kernel.Kernel) error {
	var err error
	if s.executor, err = kernel.Lookup[*executor.Service](k, executor.Name); err != nil {
		return err
	}
	s.cross, err = kernel.Lookup[*regionlimiter.Service](k, regionlimiter.Name)
	s.server = &link.Server{Hello: s.Hello, Timing: s.Timing, Handler: s.handle}
	return err
}

// Start listens for links.
func (s *Service) Start(context.Context) error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return fmt.Errorf("listen for links: %w; free the address or change link_address", err)
	}
	go func() {
		if err := s.server.Serve(l); err != nil {
			s.Log.Error().Err(err).Msg("link listener failed")
		}
	}()
	return nil
}

// Stop closes all links.
func (s *Service) Stop(context.Context) error {
	s.server.Close()
	return nil
}

// GoAway asks peers to open no more streams.
func (s *Service) GoAway() { s.server.GoAway("draining") }

// InFlight is the number of requests of other nodes being answered.
func (s *Service) InFlight() int { return int(s.active.Load()) }

// handle serves one call.
func (s *Service) handle(stream *link.Stream) {
	s.active.Add(1)
	defer s.active.Add(-1)
	req := stream.Request
	arrived := kernel.Uptime()
	body, err := s.readBody(stream)
	if err != nil {
		refuse(stream, &executor.Refusal{Err: apierror.From(err), Load: s.executor.Load(), Allowance: req.Allowance})
		return
	}
	// The time that the body took to arrive counts.
	req.RemainingMicros -= (kernel.Uptime() - arrived).Microseconds()
	answer, err := s.executor.Execute(stream.Context(), &req, body)
	if err != nil {
		var r *executor.Refusal
		if !errors.As(err, &r) {
			r = &executor.Refusal{Err: apierror.From(err), Load: s.executor.Load()}
		}
		refuse(stream, r)
		return
	}
	defer answer.Body.Close()
	if err := s.respond(stream, answer); err != nil {
		_ = stream.Finish(wire.End{Aborted: true})
	}
}

func (s *Service) readBody(stream *link.Stream) ([]byte, error) {
	if !stream.Request.HasBody {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, s.MaxBodyBytes+1))
	if err != nil {
		return nil, apierror.New(apierror.BadRequest, outcomeBefore(stream), "request body is incomplete: %w", err)
	}
	if int64(len(body)) > s.MaxBodyBytes {
		return nil, apierror.New(apierror.TooLarge, outcomeBefore(stream), "request body is longer than %d bytes", s.MaxBodyBytes)
	}
	return body, nil
}

// outcomeBefore is the outcome of a request that is refused before its ticket
// was looked at: an earlier use of the ticket may have run.
func outcomeBefore(stream *link.Stream) apierror.Outcome {
	if stream.Request.Ticket != "" {
		return apierror.Unknown
	}
	return apierror.NotRun
}

func refuse(stream *link.Stream, r *executor.Refusal) {
	_ = stream.Refuse(&wire.Refused{
		Code: r.Err.Code, Outcome: r.Err.Outcome, Message: r.Err.Message,
		RetryAfterMillis: r.Err.RetryAfter.Milliseconds(), Allowance: r.Allowance, Load: r.Load,
	})
}

var buffers = sync.Pool{New: func() any { b := make([]byte, shortBody); return &b }}

// respond sends the answer. One that is known to be short leaves in one piece.
func (s *Service) respond(stream *link.Stream, a *executor.Response) error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	head := &wire.Response{Status: a.Status, Headers: a.Headers, Load: a.Load, Ticket: a.Ticket}
	if a.Length >= 0 && a.Length <= shortBody {
		if stream.Request.Region != s.Region {
			s.cross.RecordSent(stream.Request.Priority, int(a.Length))
		}
		body := (*buf)[:a.Length]
		if _, err := io.ReadFull(a.Body, body); err != nil {
			_ = stream.Respond(head)
			return err
		}
		// The slot is released at the end of the body, not at its last byte.
		if _, err := a.Body.Read(make([]byte, 1)); err != io.EOF {
			_ = stream.Respond(head)
			return link.ErrTruncated
		}
		return stream.RespondComplete(head, body, a.Trailer())
	}
	if err := stream.Respond(head); err != nil {
		return err
	}
	var w io.Writer = onlyWriter{stream}
	if stream.Request.Region != s.Region {
		paced := s.cross.PacedWriter(stream.Context(), stream, stream.Request.Priority, a.Length)
		defer paced.Close()
		w = paced
	}
	if _, err := io.CopyBuffer(w, onlyReader{a.Body}, *buf); err != nil {
		return err
	}
	return stream.Finish(a.Trailer())
}

// onlyWriter and onlyReader keep io.CopyBuffer on the given buffer.
type (
	onlyWriter struct{ io.Writer }
	onlyReader struct{ io.Reader }
)
