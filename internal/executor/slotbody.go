package executor

import (
	"io"
	"sync"
)

// slotBody releases the slot when the body ends, fails with an error or is closed.
type slotBody struct {
	io.ReadCloser
	release func(err error)
	once    sync.Once
}

func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.once.Do(func() { b.release(nil) })
	case err != nil:
		b.once.Do(func() { b.release(err) })
	}
	return n, err
}

func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.release(nil) })
	return err
}

// endBody releases the slot of a request whose body has ended or was closed, or could
// not be read because of err.
func (s *Service) endBody(id uint64, r *RunningRequest, err error) {
	if err != nil {
		s.logBroken(r, err)
	}
	s.finish(id, r, err == nil)
}

// logBroken logs that the response to a request is not complete and valid, unless the
// request was canceled or reached its deadline.
func (s *Service) logBroken(r *RunningRequest, err error) {
	if r.ctx.Err() == nil {
		s.Log.Warn().Str("event", "target-response-broken").Str("request", r.Request.ID).Str("kind", r.Request.Kind).Str("service", r.Request.Service).
			Err(err).Msg("the target's response cannot be passed on")
	}
}
