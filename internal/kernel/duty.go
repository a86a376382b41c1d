package kernel

import (
	"context"
	"time"
)

// Worker is one goroutine of a service, which runs from Start to Stop. The zero
// value can be used.
type Worker struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// Start starts the goroutine. f must return soon after its context ends.
func (d *Worker) Start(f func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel, d.done = cancel, make(chan struct{})
	go func() {
		defer close(d.done)
		f(ctx)
	}()
}

// StartPeriodic starts a goroutine that calls f at intervals.
func (d *Worker) StartPeriodic(interval time.Duration, f func()) {
	d.Start(func(ctx context.Context) {
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

// Stop stops the goroutine and waits for it. It does nothing before Run.
func (d *Worker) Stop() {
	if d.cancel != nil {
		d.cancel()
		<-d.done
	}
}
