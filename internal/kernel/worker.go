package kernel

import (
	"context"
	"time"
)

// Worker runs one background goroutine of a service. The zero value is ready to
// use.
type Worker struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// Start starts a goroutine that runs f. f must return soon after its context is
// canceled.
func (w *Worker) Start(f func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel, w.done = cancel, make(chan struct{})
	go func() {
		defer close(w.done)
		f(ctx)
	}()
}

// StartPeriodic starts a goroutine that calls f at the given interval.
func (w *Worker) StartPeriodic(interval time.Duration, f func()) {
	w.Start(func(ctx context.Context) {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				f()
			}
		}
	})
}

// Stop stops the goroutine and waits for it. It does nothing if none was started.
func (w *Worker) Stop() {
	if w.cancel != nil {
		w.cancel()
		<-w.done
	}
}
