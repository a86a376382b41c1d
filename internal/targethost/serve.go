package targethost

import (
	"errors"
	"io"

	"parsleyturn/internal/link"
	"parsleyturn/internal/wire"
)

// MaxBufferedBody is the size up to which a request body is kept, so that the
// request can be sent again, and read before the request waits for a slot.
// Longer bodies are read as the target takes them.
const MaxBufferedBody = 64 << 10

// ServeStream answers a call of another node.
func (h *Host) ServeStream(s *link.Stream) {
	body, more, err := requestBody(s)
	if err != nil {
		return // the caller gave up or its link is lost, so nobody waits
	}
	answer, refusal := h.Serve(s.Context(), &s.Request, body, more)
	load := h.Load()
	if refusal != nil {
		h.noteSend(&s.Request, s.Refuse(&wire.Refused{
			Code: refusal.Code, Outcome: refusal.Outcome, Message: refusal.Message,
			RetryAfterMillis: refusal.RetryAfter.Milliseconds(), Load: load, Reached: refusal.Reached, Final: refusal.Final,
		}))
		return
	}
	resp := &wire.Response{Status: answer.Status, Headers: answer.Headers, Load: load, Overload: answer.Overload}
	if answer.BodyRest == nil {
		h.noteSend(&s.Request, s.RespondWhole(resp, answer.Body, wire.End{}))
		return
	}
	defer answer.BodyRest.Close()
	if err := s.Respond(resp); err != nil {
		h.noteSend(&s.Request, err)
		return
	}
	_, err = s.Write(answer.Body)
	if err == nil {
		_, err = io.Copy(writerOnly{s}, answer.BodyRest)
	}
	h.noteSend(&s.Request, errors.Join(err, s.Finish(wire.End{Aborted: err != nil})))
}

type writerOnly struct{ io.Writer }

// noteSend logs that an answer did not reach the node that asked.
func (h *Host) noteSend(req *wire.Request, err error) {
	if err == nil {
		return
	}
	h.Log.Failure.Info().Err(err).Str("event", "answer-not-sent").Str("request", req.ID).Str("route", req.Kind).Msg("the node that asked did not get the answer")
}

// requestBody reads a short body whole and returns a reader for the rest of a
// long one.
func requestBody(s *link.Stream) ([]byte, io.Reader, error) {
	if !s.Request.HasBody {
		return nil, nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(s, MaxBufferedBody))
	if err != nil {
		return nil, nil, err
	}
	if len(body) < MaxBufferedBody {
		return body, nil, nil
	}
	return body, s, nil
}
