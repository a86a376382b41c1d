package ingress

import (
	"math/rand/v2"
	"time"

	"parsleyturn/internal/apierror"
)

const (
	// soon is the pause after a refusal whose cause passes in a moment, such as
	// a target that is being replaced.
	soon = 200 * time.Millisecond
	// startPause is the pause after a refusal by a node that knows no target of
	// the service or no configuration. Targets announce themselves every 1.5 s,
	// so a mesh that has just started knows them after 1 to 2 s.
	startPause = 800 * time.Millisecond
	// overloadPause is the pause after a refusal for overload. It is spread over
	// twice its length, so that the callers do not come back together.
	overloadPause = 500 * time.Millisecond
)

// retryAfter is when the caller should come back.
func retryAfter(f *apierror.Error) time.Duration {
	if f.RetryAfter > 0 {
		return f.RetryAfter
	}
	pause := soon
	switch f.Code {
	case apierror.Overloaded, apierror.DeadlineExceeded:
		pause = overloadPause
	case apierror.NoTarget, apierror.Starting:
		pause = startPause
	}
	return pause + rand.N(pause)
}
