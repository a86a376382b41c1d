package link

import (
	"context"
	"errors"
	"fmt"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/wire"
)

// readLoop receives frames until the connection is closed.
func (c *Conn) readLoop(r *wire.Reader) {
	for {
		f, err := r.Next()
		if err != nil {
			var fe *wire.FrameError
			if errors.As(err, &fe) {
				framesMalformed.Inc()
			}
			c.close(fmt.Errorf("read from node %q: %w", c.peer.NodeID, err))
			return
		}
		bytesRecv.Add(wire.HeaderSize + len(f.Payload))
		c.recordReceived()
		if err := c.dispatch(f); err != nil {
			framesMalformed.Inc()
			c.close(fmt.Errorf("node %q: %w", c.peer.NodeID, err))
			return
		}
	}
}

func (c *Conn) dispatch(f wire.Frame) error {
	switch f.Type {
	case wire.TypePing:
		return c.sendPong()
	case wire.TypePong:
		c.notifyPong()
		return nil
	case wire.TypeGoAway:
		c.goAway.Store(true)
		return nil
	case wire.TypeRequest:
		return c.accept(f)
	}
	c.mu.Lock()
	s := c.streams[f.Stream]
	c.mu.Unlock()
	if s == nil {
		// The stream was canceled or finished on this side. Its late frames are
		// dropped; they cannot reach another call, since IDs are not reused.
		lateMessages.Inc()
		return nil
	}
	return s.receive(f)
}

// accept starts serving a stream opened by the peer.
func (c *Conn) accept(f wire.Frame) error {
	if c.client || c.handler == nil {
		return fmt.Errorf("REQUEST on a connection that serves no requests: %w", errProtocol)
	}
	// The message is not decoded if there is no memory for it.
	size := servedStreamSize + int64(len(f.Payload))
	admitted := served.Take(size)
	var req wire.Request
	var invalid error
	if admitted {
		invalid = wire.Decode(f, &req)
		if fields := int64(len(req.Headers) * headerSize); served.Take(fields) {
			size += fields
		} else {
			served.Give(size)
			admitted = false
		}
	}
	s, err := c.openServed(f, &req, admitted, invalid)
	if s == nil {
		if admitted {
			served.Give(size)
		}
		return err
	}
	go func() {
		c.handler(s)
		s.dropBody() // the handler of a connection that was closed reads no more
		served.Give(size)
	}()
	return nil
}

// openServed opens a stream of the peer. If its request is not served, it refuses it
// and returns no stream.
func (c *Conn) openServed(f wire.Frame, req *wire.Request, admitted bool, invalid error) (*Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.err != nil:
		return nil, c.err // nobody would end the stream
	case f.Stream <= c.lastID:
		return nil, fmt.Errorf("stream ID %d is not greater than the previous one, %d: %w", f.Stream, c.lastID, errProtocol)
	case len(c.streams) >= maxStreams:
		return nil, fmt.Errorf("too many open streams: %w", errProtocol)
	}
	c.lastID = f.Stream
	if !admitted {
		return nil, c.queueControl(wire.TypeRefused, f.Stream, &wire.Refused{Code: apierror.Overloaded, Outcome: apierror.NotRun, Message: "too many requests of other nodes are being served"})
	}
	if invalid != nil {
		messagesInvalid.Inc()
		e := apierror.New(apierror.BadRequest, apierror.NotRun, "%w", invalid)
		return nil, c.queueControl(wire.TypeRefused, f.Stream, &wire.Refused{Code: e.Code, Outcome: e.Outcome, Message: e.Message, Final: true})
	}
	s := newStream(context.Background(), c, f.Stream)
	s.Request = *req
	c.streams[s.id] = s
	return s, nil
}
