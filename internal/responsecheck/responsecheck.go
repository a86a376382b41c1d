// Package responsecheck tells broken responses of targets from complete ones, where
// net/http does not, and counts them.
package responsecheck

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
)

var (
	resetResponses     = metrics.NewCounter(`parsley_target_responses_broken_total{why="reset"}`)
	truncatedResponses = metrics.NewCounter(`parsley_target_responses_broken_total{why="truncated"}`)
	invalidResponses   = metrics.NewCounter(`parsley_target_responses_broken_total{why="invalid"}`)
)

// Count counts a response that could not be read because of err. Requests that this
// process ended are not counted.
func Count(err error) {
	switch {
	case errors.Is(err, net.ErrClosed), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
	case errors.Is(err, ErrReset), errors.Is(err, syscall.ECONNRESET):
		resetResponses.Inc()
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		truncatedResponses.Inc()
	default:
		invalidResponses.Inc()
	}
}
