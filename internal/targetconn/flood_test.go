package targetconn

import (
	"context"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/memtest"
)

// A faulty target answers all its requests at once with bytes that do not end. Guards
// against a node that keeps them until it runs out of memory.
func TestMemoryWhileTargetSendsWithoutEnd(t *testing.T) {
	memtest.SkipIfShort(t)
	for name, response := range memtest.Responses("X-Id") {
		t.Run(name, func(t *testing.T) {
			address := memtest.StartTarget(t, "X-Id", response)
			var p Pool
			defer p.Close()
			peak := memtest.Peak(t, func() {
				memtest.Repeat(func(ctx context.Context, id string) {
					resp, err := p.Do(ctx, address, request(id))
					if err == nil && resp.BodyRest != nil {
						_, _ = io.Copy(io.Discard, resp.BodyRest)
						_ = resp.BodyRest.Close()
					}
				})
			})
			t.Logf("%s: %d KB", name, peak>>10)
			assert.Assert(t, peak < memtest.Bound)
		})
	}
}
