package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"parsleyturn/internal/wire"
)

// ErrTruncated means that the sender aborted a body, or that its length is not
// the declared one.
var ErrTruncated = errors.New("body is truncated; retry the request if it is idempotent")

// ErrCanceled means that the peer canceled the call.
var ErrCanceled = errors.New("call canceled by the peer")

// ErrInvalidStatus means that the head of a response has a status that HTTP does not
// have. Nodes of earlier versions may pass on one of their target.
var ErrInvalidStatus = errors.New("the status of the response is not between 100 and 599; correct what the target sends")

// RefusedError is an error response that the peer node itself generated.
type RefusedError struct{ wire.Refused }

func (e *RefusedError) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// Stream is one call. The dialing side sends a request and receives a
// response; the accepting side does the reverse. A stream is used by at most
// one reading and one writing goroutine.
type Stream struct {
	// Request is the head of the request.
	Request wire.Request

	conn   *Conn
	id     uint32
	ctx    context.Context
	cancel context.CancelCauseFunc

	// Receiving side, guarded by mu.
	mu        sync.Mutex
	resp      *wire.Response
	refused   *wire.Refused
	buf       []byte // received body bytes; those before off have been read
	off       int
	dropped   bool  // further body bytes are not kept
	received  int64 // body bytes received so far
	ungranted int   // body bytes read since the last window grant
	end       *wire.End
	err       error
	notify    chan struct{} // wakes wait

	// Sending side, guarded by conn.mu.
	pending  []byte        // body bytes that are not sent yet
	sent     int64         // body bytes sent so far
	window   int           // body bytes that the receiver still allows
	endFrame *wire.End     // set until the End frame is sent
	inReady  bool          // the stream is in conn.ready
	writable chan struct{} // wakes Write
}

func newStream(parent context.Context, c *Conn, id uint32) *Stream {
	ctx, cancel := context.WithCancelCause(parent)
	return &Stream{
		conn: c, id: id, ctx: ctx, cancel: cancel, window: streamWindow,
		notify: make(chan struct{}, 1), writable: make(chan struct{}, 1),
	}
}

// Context returns a context that is canceled when either side cancels the call,
// the stream is released or the connection is closed.
func (s *Stream) Context() context.Context { return s.ctx }

// Peer returns the Hello of the node on the other side.
func (s *Stream) Peer() wire.Hello { return s.conn.peer }

// queueComplete queues a head, a body and its end. If the body fits into one
// frame, the frames are adjacent, so that they are sent in one write. If
// bodyFollows is set, the rest of the body follows with Write. conn.mu must be
// held.
func (s *Stream) queueComplete(t wire.Type, head any, body []byte, end wire.End, bodyFollows bool) error {
	c := s.conn
	if err := c.queueControl(t, s.id, head); err != nil {
		return err
	}
	if len(body) > 0 && (bodyFollows || len(body) > wire.MaxData) {
		s.pending = append(s.pending, body...)
		if !bodyFollows {
			s.endFrame = &end
		}
		s.makeReady()
		return nil
	}
	if len(body) > 0 {
		before := len(c.control)
		c.control = wire.AppendHeader(c.control, wire.TypeData, s.id, len(body))
		c.control = append(c.control, body...)
		c.countControl(before)
		s.window -= len(body)
		s.sent += int64(len(body))
	}
	if bodyFollows {
		return nil
	}
	defer s.releaseServed()
	return c.queueControl(wire.TypeEnd, s.id, &end)
}

// makeReady adds the stream to conn.ready if it has body bytes that the window
// allows, or only its End frame left to send. conn.mu must be held.
func (s *Stream) makeReady() {
	if !s.inReady && (len(s.pending) > 0 && s.window > 0 || len(s.pending) == 0 && s.endFrame != nil) {
		s.inReady = true
		s.conn.ready = append(s.conn.ready, s)
		s.conn.signal()
	}
}

// takeChunk appends the next chunk of the body to batch and, after the last one,
// the End frame. conn.mu must be held.
func (s *Stream) takeChunk(batch []byte) []byte {
	s.inReady = false
	n := min(len(s.pending), wire.MaxData, s.window)
	if n > 0 {
		batch = wire.AppendHeader(batch, wire.TypeData, s.id, n)
		batch = append(batch, s.pending[:n]...)
		s.pending = s.pending[:copy(s.pending, s.pending[n:])]
		s.window -= n
		s.sent += int64(n)
		select {
		case s.writable <- struct{}{}:
		default:
		}
	}
	if len(s.pending) == 0 && s.endFrame != nil {
		if framed, err := wire.AppendMessage(batch, wire.TypeEnd, s.id, s.endFrame); err == nil {
			batch = framed
		}
		s.endFrame = nil
		s.releaseServed()
	}
	s.makeReady()
	return batch
}

// releaseServed releases a served stream after its response has been queued.
// The dialing side releases its streams with Close or Cancel. conn.mu must be
// held.
func (s *Stream) releaseServed() {
	if !s.conn.client {
		delete(s.conn.streams, s.id)
		s.dropBody()
		s.cancel(context.Canceled)
	}
}

// Write queues body bytes for sending. It blocks while maxPending bytes are
// queued, for example because the peer grants no window.
func (s *Stream) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		s.conn.mu.Lock()
		if err := s.conn.err; err != nil {
			s.conn.mu.Unlock()
			return written, err
		}
		n := min(maxPending-len(s.pending), len(p)-written)
		if n > 0 {
			s.pending = append(s.pending, p[written:written+n]...)
			written += n
			s.makeReady()
		}
		s.conn.mu.Unlock()
		if written == len(p) {
			break
		}
		select {
		case <-s.writable:
		case <-s.ctx.Done():
			return written, context.Cause(s.ctx)
		}
	}
	return written, nil
}

// Finish ends the body that this side sends. It sets the length in end.
func (s *Stream) Finish(end wire.End) error {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if s.conn.err != nil {
		return s.conn.err
	}
	end.Length = s.sent + int64(len(s.pending))
	s.endFrame = &end
	s.makeReady()
	return nil
}

// Respond sends the head of the response. The body follows with Write and is
// ended with Finish. The stream is released when the End frame is sent.
func (s *Stream) Respond(resp *wire.Response) error {
	return s.conn.sendControl(wire.TypeResponse, s.id, resp)
}

// RespondComplete sends a response with its complete body. It sets the length in
// end.
func (s *Stream) RespondComplete(resp *wire.Response, body []byte, end wire.End) error {
	end.Length = int64(len(body))
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	return s.queueComplete(wire.TypeResponse, resp, body, end, false)
}

// Refuse sends an error response of the node and releases the stream.
func (s *Stream) Refuse(r *wire.Refused) error {
	err := s.conn.sendControl(wire.TypeRefused, s.id, r)
	s.release()
	return err
}

// Response waits for the head of the response. It returns *RefusedError if the
// peer refused the request, and an error that matches ErrInvalidStatus if the head is not
// that of a response.
func (s *Stream) Response() (*wire.Response, error) {
	for {
		s.mu.Lock()
		resp, refused, err := s.resp, s.refused, s.err
		s.mu.Unlock()
		switch {
		case resp != nil && (resp.Status < 100 || resp.Status > 599):
			return nil, fmt.Errorf("%w: status %d", ErrInvalidStatus, resp.Status)
		case resp != nil:
			return resp, nil
		case refused != nil:
			return nil, &RefusedError{*refused}
		case err != nil:
			return nil, err
		}
		if err := s.wait(); err != nil {
			return nil, err
		}
	}
}

// wait blocks until a frame has arrived or the call has failed. It returns an
// error if the context ended first.
func (s *Stream) wait() error {
	select {
	case <-s.notify:
		return nil
	case <-s.ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.err != nil || s.end != nil || s.refused != nil {
			return nil // the result arrived as ctx ended; report the result
		}
		return context.Cause(s.ctx)
	}
}

// Read returns body bytes, io.EOF after a complete body, ErrTruncated after an
// incomplete one, or the reason why the call failed.
func (s *Stream) Read(p []byte) (int, error) {
	for {
		s.mu.Lock()
		if s.off < len(s.buf) {
			n := copy(p, s.buf[s.off:])
			s.off += n
			unread.Give(int64(n))
			if s.off == len(s.buf) {
				s.buf, s.off = s.buf[:0], 0
			}
			s.ungranted += n
			grant := 0
			if s.ungranted >= streamWindow/2 && s.end == nil {
				grant, s.ungranted = s.ungranted, 0
			}
			s.mu.Unlock()
			if grant > 0 {
				_ = s.conn.sendControl(wire.TypeWindow, s.id, &wire.Window{Bytes: grant})
			}
			return n, nil
		}
		end, err, received := s.end, s.err, s.received
		s.mu.Unlock()
		if end != nil {
			if end.Aborted || end.Length != received {
				return 0, ErrTruncated
			}
			return 0, io.EOF
		}
		if err != nil {
			return 0, err
		}
		if err := s.wait(); err != nil {
			return 0, err
		}
	}
}

// Trailer returns the End message, and whether it has been received.
func (s *Stream) Trailer() (wire.End, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end == nil {
		return wire.End{}, false
	}
	return *s.end, true
}

// receive handles a frame of this stream other than REQUEST.
func (s *Stream) receive(f wire.Frame) error {
	switch f.Type {
	case wire.TypeWindow:
		return s.receiveWindow(f)
	case wire.TypeCancel:
		s.fail(ErrCanceled)
		return nil
	case wire.TypeData:
		return s.receiveData(f.Payload)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.signal()
	switch f.Type {
	case wire.TypeResponse:
		if s.resp != nil || s.refused != nil {
			return fmt.Errorf("second response on stream %d: %w", s.id, errProtocol)
		}
		resp := new(wire.Response)
		if s.decode(f, resp) {
			s.resp = resp
		}
		return nil
	case wire.TypeRefused:
		if s.resp != nil || s.refused != nil {
			return fmt.Errorf("second response on stream %d: %w", s.id, errProtocol)
		}
		refused := new(wire.Refused)
		if s.decode(f, refused) {
			s.refused = refused
		}
		return nil
	case wire.TypeEnd:
		if s.conn.client && s.resp == nil && s.refused == nil && s.err == nil {
			s.err = fmt.Errorf("the call ended without a response: %w", ErrTruncated)
		}
		end := new(wire.End)
		if s.decode(f, end) {
			s.end = end
		}
		return nil
	}
	return fmt.Errorf("unexpected %s on stream %d: %w", f.Type, s.id, errProtocol)
}

// decode decodes a message and reports whether it is valid. An invalid one fails this
// call only: the other calls of the connection have nothing to do with it. s.mu must be
// held.
func (s *Stream) decode(f wire.Frame, msg any) bool {
	err := wire.Decode(f, msg)
	if err == nil {
		return true
	}
	messagesInvalid.Inc()
	if s.err == nil {
		s.err = err
	}
	return false
}

func (s *Stream) receiveData(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != nil {
		return fmt.Errorf("DATA after END on stream %d: %w", s.id, errProtocol)
	}
	if len(s.buf)-s.off+len(p) > streamWindow {
		return fmt.Errorf("more DATA than the window allows on stream %d: %w", s.id, errProtocol)
	}
	s.received += int64(len(p))
	if s.dropped {
		return nil
	}
	if !unread.Take(int64(len(p))) {
		bodiesGivenUp.Inc()
		s.drop()
		if s.err == nil {
			s.err = ErrUnread
		}
		s.signal()
		return nil
	}
	if s.off > 0 && len(s.buf)+len(p) > cap(s.buf) {
		s.buf = s.buf[:copy(s.buf, s.buf[s.off:])]
		s.off = 0
	}
	s.buf = append(s.buf, p...)
	s.signal()
	return nil
}

// drop frees the body bytes that have not been read, and those that arrive later. s.mu
// must be held.
func (s *Stream) drop() {
	s.dropped = true
	unread.Give(int64(len(s.buf) - s.off))
	s.buf, s.off = nil, 0
}

func (s *Stream) dropBody() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop()
}

func (s *Stream) receiveWindow(f wire.Frame) error {
	var w wire.Window
	if err := wire.Decode(f, &w); err != nil {
		return err
	}
	if w.Bytes <= 0 || w.Bytes > streamWindow {
		return fmt.Errorf("invalid window of %d bytes on stream %d: %w", w.Bytes, s.id, errProtocol)
	}
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.window = min(s.window+w.Bytes, streamWindow)
	s.makeReady()
	return nil
}

func (s *Stream) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// fail ends the call with err, unless it has failed already.
func (s *Stream) fail(err error) {
	s.mu.Lock()
	if s.err == nil {
		s.err = err
	}
	s.mu.Unlock()
	s.signal()
	s.cancel(err)
}

// Cancel releases the stream and, unless the call has ended, tells the peer to
// cancel it.
func (s *Stream) Cancel() {
	s.mu.Lock()
	ended := s.err != nil || s.end != nil || s.refused != nil
	s.mu.Unlock()
	if !ended {
		_ = s.conn.sendControl(wire.TypeCancel, s.id, nil)
	}
	s.release()
}

// Close releases the stream without telling the peer. Frames that arrive later
// are dropped.
func (s *Stream) Close() { s.release() }

func (s *Stream) release() {
	s.conn.mu.Lock()
	if s.conn.streams[s.id] == s {
		delete(s.conn.streams, s.id)
	}
	s.conn.mu.Unlock()
	s.dropBody()
	s.cancel(context.Canceled)
}
