package ingress

import (
	"math/rand/v2"
	"time"

	"parsleyturn/internal/apierror"
)

// Minimum retry delays. retryAfter adds up to the same time again at random, so
// that callers do not retry at the same time.
const (
	// shortRetryDelay is the retry delay after a refusal with a short-lived cause,
	// such as a target that is being replaced.
	shortRetryDelay = 200 * time.Millisecond
	// startRetryDelay is the retry delay after a refusal by a node that has no
	// configuration or knows no target of the service. Targets announce
	// themselves every 1.5 s, so a mesh that has just started knows them after
	// 1 to 2 s.
	startRetryDelay = 800 * time.Millisecond
	// overloadRetryDelay is the retry delay after a refusal because of overload
	// or because the request could not finish before its deadline.
	overloadRetryDelay = 500 * time.Millisecond
)

// retryAfter returns the delay after which the caller should retry: the one that
// f specifies or one according to its code.
func retryAfter(f *apierror.Error) time.Duration {
	if f.RetryAfter > 0 {
		return f.RetryAfter
	}
	delay := shortRetryDelay
	switch f.Code {
	case apierror.Overloaded, apierror.DeadlineExceeded:
		delay = overloadRetryDelay
	case apierror.NoTarget, apierror.Starting:
		delay = startRetryDelay
	}
	return delay + rand.N(delay)
}
