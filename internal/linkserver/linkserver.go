// Package linkserver serves the requests of other nodes: it accepts link
// connections and passes the request of each stream to the executor.
//
// It serves nodes with the product's own interface; on the users' platform,
// package targethost serves the streams of other nodes.
package linkserver

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/bytebudget"
	"parsleyturn/internal/executor"
	"parsleyturn/internal/kernel"
	"parsleyturn/internal/link"
	"parsleyturn/internal/listener"
	"parsleyturn/internal/regionlimiter"
	"parsleyturn/internal/wire"
)

// Name is the service's name in the kernel.
const Name = "linkserver"

// maxBufferedBody is the size in bytes up to which a response body is buffered
// and sent together with the head.
const maxBufferedBody = wire.MaxData

// maxBodyBytes bounds the request bodies that are in memory together, unless one of
// MaxBodyBytes needs more while its buffer grows.
const maxBodyBytes = 32 << 20

// Service accepts link connections of other nodes.
type Service struct {
	kernel.Base
	Address      string
	Region       string
	MaxBodyBytes int64
	Hello        func() wire.Hello
	Timeouts     link.Timeouts
	Log          zerolog.Logger
	// OnListenerLost is called if no more connections can be accepted.
	OnListenerLost func(err error)

	executor      *executor.Service
	regionLimiter *regionlimiter.Service
	server        *link.Server
	bodies        *bytebudget.Budget
	inFlight      atomic.Int64
}

// Provision looks up the executor and the region limiter.
func (s *Service) Provision(k *kernel.Kernel) error {
	var err error
	if s.executor, err = kernel.Lookup[*executor.Service](k, executor.Name); err != nil {
		return err
	}
	s.regionLimiter, err = kernel.Lookup[*regionlimiter.Service](k, regionlimiter.Name)
	s.bodies = bytebudget.New(max(maxBodyBytes, 2*s.MaxBodyBytes))
	s.server = &link.Server{Hello: s.Hello, Timeouts: s.Timeouts, Handler: s.handle}
	return err
}

// Start listens for link connections.
func (s *Service) Start(context.Context) error {
	l, err := listener.Listen(s.Address, "links", s.Log)
	if err != nil {
		return err
	}
	l.OnLost = s.OnListenerLost
	go func() { _ = s.server.Serve(l) }() // the listener reports its loss
	return nil
}

// Stop closes the listener and all link connections.
func (s *Service) Stop(context.Context) error {
	s.server.Close()
	return nil
}

// GoAway tells peers to open no more streams, because the node is draining.
func (s *Service) GoAway() { s.server.GoAway("draining") }

// InFlight returns the number of requests of other nodes in flight.
func (s *Service) InFlight() int { return int(s.inFlight.Load()) }

// handle runs the request of a stream and sends the response or a refusal. If
// the body of the response fails, it aborts the body.
func (s *Service) handle(stream *link.Stream) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	req := stream.Request
	arrived := kernel.Uptime()
	ctx, hold := bytebudget.NewHold(stream.Context())
	defer hold.End()
	body, free, err := s.readBody(stream)
	bytebudget.Attach(ctx, free)
	if err != nil {
		refuse(stream, &executor.Refusal{Err: apierror.From(err), Load: s.executor.Load(), Allowance: req.Allowance})
		return
	}
	// The time that the body took to arrive counts towards the deadline.
	req.RemainingMicros -= (kernel.Uptime() - arrived).Microseconds()
	response, err := s.executor.Execute(ctx, &req, body)
	if err != nil {
		var r *executor.Refusal
		if !errors.As(err, &r) {
			r = &executor.Refusal{Err: apierror.From(err), Load: s.executor.Load()}
		}
		refuse(stream, r)
		return
	}
	defer response.Body.Close()
	err = s.respond(stream, response)
	var tooLong *wire.FrameError
	switch {
	case errors.As(err, &tooLong):
		f := apierror.New(apierror.TargetFailed, apierror.Unknown, "the head of the target's response is too large to be passed on")
		refuse(stream, &executor.Refusal{Err: f, Load: response.Load, Allowance: response.Trailer().Allowance})
	case err != nil:
		_ = stream.Finish(wire.End{Aborted: true})
	}
}

func (s *Service) readBody(stream *link.Stream) (body []byte, free func(), err error) {
	if !stream.Request.HasBody {
		return nil, func() {}, nil
	}
	body, free, err = s.bodies.Read(stream, -1, s.MaxBodyBytes+1)
	switch {
	case errors.Is(err, bytebudget.ErrExhausted) || errors.Is(err, link.ErrUnread):
		return nil, free, apierror.New(apierror.Overloaded, outcomeBeforeTicketCheck(stream), "%w", err)
	case err != nil:
		return nil, free, apierror.New(apierror.BadRequest, outcomeBeforeTicketCheck(stream), "request body is incomplete: %w", err)
	case int64(len(body)) > s.MaxBodyBytes:
		return nil, free, apierror.New(apierror.TooLarge, outcomeBeforeTicketCheck(stream), "request body is longer than %d bytes", s.MaxBodyBytes)
	}
	return body, free, nil
}

// outcomeBeforeTicketCheck returns the outcome of a request that is refused
// before its ticket, if it has one, was checked. With a ticket it is Unknown,
// because an earlier request with the same ticket may have been executed.
func outcomeBeforeTicketCheck(stream *link.Stream) apierror.Outcome {
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

var bufferPool = sync.Pool{New: func() any { b := make([]byte, maxBufferedBody); return &b }}

// respond sends the response. A short body of known length is buffered and sent
// together with the head; other bodies are streamed, and paced if the request
// came from another region. After an error the body still has to be ended.
func (s *Service) respond(stream *link.Stream, response *executor.Response) error {
	buf := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buf)
	head := &wire.Response{Status: response.Status, Headers: response.Headers, Load: response.Load, Ticket: response.Ticket}
	if response.Length >= 0 && response.Length <= maxBufferedBody {
		if stream.Request.Region != s.Region {
			s.regionLimiter.RecordSent(stream.Request.Priority, int(response.Length))
		}
		body := (*buf)[:response.Length]
		if _, err := io.ReadFull(response.Body, body); err != nil {
			_ = stream.Respond(head)
			return err
		}
		// The executor releases the slot when Read returns io.EOF, not with the
		// last byte of the body.
		if _, err := response.Body.Read(make([]byte, 1)); err != io.EOF {
			_ = stream.Respond(head)
			return link.ErrTruncated
		}
		return stream.RespondComplete(head, body, response.Trailer())
	}
	if err := stream.Respond(head); err != nil {
		return err
	}
	var w io.Writer = onlyWriter{stream}
	if stream.Request.Region != s.Region {
		paced := s.regionLimiter.PacedWriter(stream.Context(), stream, stream.Request.Priority, response.Length)
		defer paced.Close()
		w = paced
	}
	if _, err := io.CopyBuffer(w, onlyReader{response.Body}, *buf); err != nil {
		return err
	}
	return stream.Finish(response.Trailer())
}

// onlyWriter and onlyReader hide io.ReaderFrom and io.WriterTo, so that
// io.CopyBuffer uses the given buffer.
type (
	onlyWriter struct{ io.Writer }
	onlyReader struct{ io.Reader }
)
