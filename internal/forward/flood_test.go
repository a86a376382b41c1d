package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/headers"
	"parsleyturn/internal/memtest"
	"parsleyturn/internal/wire"
)

// A faulty target answers all its requests at once with bytes that do not end. Guards
// against a node that keeps them until it runs out of memory.
func TestMemoryWhileTargetSendsWithoutEnd(t *testing.T) {
	memtest.SkipIfShort(t)
	for name, response := range memtest.Responses(headers.ContextToken) {
		t.Run(name, func(t *testing.T) {
			f := &Forwarder{}
			f.Configure(memtest.StartTarget(t, headers.ContextToken, response), memtest.Requests)
			peak := memtest.Peak(t, func() {
				memtest.Repeat(func(ctx context.Context, id string) {
					resp, err := f.Do(ctx, &wire.Request{ID: id, Method: http.MethodPost, Path: "/x"}, nil, time.Second, id)
					if err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
					}
				})
			})
			t.Logf("%s: %d KB", name, peak>>10)
			assert.Assert(t, peak < memtest.Bound)
		})
	}
}
