package targethost

import (
	"errors"
	"io"

	"parsleyturn/internal/apierror"
	"parsleyturn/internal/bytebudget"
	"parsleyturn/internal/link"
	"parsleyturn/internal/wire"
)

// MaxBufferedBody is the number of bytes of a request body that are kept in
// memory. They are read before the request waits for a slot, and a request
// with a shorter body can be sent again. The rest of a longer body is read as
// the target consumes it.
const MaxBufferedBody = 64 << 10

// maxBodyBytes bounds the request bodies, or their first parts, of other nodes that are
// in memory together.
const maxBodyBytes = 16 << 20

// ServeStream serves a call from another node.
func (h *Host) ServeStream(s *link.Stream) {
	body, bodyRest, free, err := h.requestBody(s)
	defer free()
	switch {
	case errors.Is(err, bytebudget.ErrExhausted) || errors.Is(err, link.ErrUnread):
		f := apierror.New(apierror.Overloaded, apierror.NotRun, "%w", err)
		h.logSendError(&s.Request, s.Refuse(&wire.Refused{Code: f.Code, Outcome: f.Outcome, Message: f.Message, Load: h.Load()}))
		return
	case err != nil:
		s.Cancel() // the caller disconnected or the link was lost, so nobody waits for a response
		return
	}
	response, refusal := h.Serve(s.Context(), &s.Request, body, bodyRest)
	load := h.Load()
	if refusal != nil {
		h.logSendError(&s.Request, s.Refuse(&wire.Refused{
			Code: refusal.Code, Outcome: refusal.Outcome, Message: refusal.Message,
			RetryAfterMillis: refusal.RetryAfter.Milliseconds(), Load: load, SentToTarget: refusal.SentToTarget, Final: refusal.Final, LeavingTarget: refusal.LeavingTarget,
		}))
		return
	}
	resp := &wire.Response{Status: response.Status, Headers: response.Headers, Load: load, Overload: response.Overload, LeavingTarget: response.LeavingTarget}
	if response.BodyRest == nil {
		h.refuseUnsendable(s, s.RespondComplete(resp, response.Body, wire.End{}))
		return
	}
	defer response.BodyRest.Close()
	if err := s.Respond(resp); err != nil {
		h.refuseUnsendable(s, err)
		return
	}
	_, err = s.Write(response.Body)
	if err == nil {
		_, err = io.Copy(writerOnly{s}, response.BodyRest)
	}
	h.logSendError(&s.Request, errors.Join(err, s.Finish(wire.End{Aborted: err != nil})))
}

// refuseUnsendable handles the error of sending the head of a response. If it does not
// fit into a message, the calling node gets an error in its place.
func (h *Host) refuseUnsendable(s *link.Stream, err error) {
	var tooLong *wire.FrameError
	if errors.As(err, &tooLong) {
		f := apierror.New(apierror.TargetFailed, apierror.Unknown, "the head of the target's response is too large to be passed on")
		err = errors.Join(err, s.Refuse(&wire.Refused{Code: f.Code, Outcome: f.Outcome, Message: f.Message, Load: h.Load(), SentToTarget: true}))
	}
	h.logSendError(&s.Request, err)
}

type writerOnly struct{ io.Writer }

// logSendError logs that a response did not reach the calling node.
func (h *Host) logSendError(req *wire.Request, err error) {
	if err == nil {
		return
	}
	h.Log.Failure.Info().Err(err).Str("event", "answer-not-sent").Str("request", req.ID).Str("route", req.Kind).Msg("response could not be sent to the calling node")
}

// requestBody reads a short body completely. For a long one, it returns the
// first part and a reader for the rest. free must be called when the body is no longer
// used.
func (h *Host) requestBody(s *link.Stream) (body []byte, rest io.Reader, free func(), err error) {
	if !s.Request.HasBody {
		return nil, nil, func() {}, nil
	}
	body, free, err = h.bodies.Read(s, -1, MaxBufferedBody)
	if err != nil || len(body) < MaxBufferedBody {
		return body, nil, free, err
	}
	return body, s, free, nil
}
