package executor

import (
	"context"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/headers"
	"parsleyturn/internal/memtest"
	"parsleyturn/internal/targetstatus"
)

// A faulty target answers all non-idempotent requests at once with bodies that do not
// end. Guards against a node that keeps so much of each that it runs out of memory.
func TestMemoryWhileTargetSendsBodiesWithoutEnd(t *testing.T) {
	memtest.SkipIfShort(t)
	r := newTestExecutor(t, memtest.Requests)
	address := memtest.StartTarget(t, headers.ContextToken, memtest.Response{
		Prefix: "HTTP/1.1 200 OK\r\n" + headers.ContextToken + ": ID\r\n\r\n", Filler: strings.Repeat("a", 1000),
	})
	assert.NilError(t, r.targetStatus.HandleAnnouncement(targetstatus.Announcement{
		Service: "s", Address: address, Slots: memtest.Requests, Connections: memtest.Requests, State: targetstatus.Ready, Incarnation: "2",
	}))
	peak := memtest.Peak(t, func() {
		memtest.Repeat(func(ctx context.Context, id string) {
			resp, err := r.Execute(ctx, newRequest("/"+id, r.issueTestTicket(t)), nil)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	})
	t.Logf("%d KB", peak>>10)
	assert.Assert(t, peak < memtest.Bound)
}
