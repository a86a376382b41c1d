package node_test

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/configdist"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/memtest"
	standin "parsleyturn/internal/standin/platform"
)

// Faulty callers, targets and operators send bytes that do not end to the listeners of a
// node. Guards against a node that keeps them until it runs out of memory.
func TestMemoryWhileClientsSendWithoutEnd(t *testing.T) {
	testMemoryWhileClientsSend(t, func(listener, request string) bool { return !isLargeDistinct(listener, request) })
}

// The same for heads of many short fields, which take ten times their size in memory.
func TestMemoryWhileClientsSendDistinctFields(t *testing.T) {
	testMemoryWhileClientsSend(t, isLargeDistinct)
}

// isLargeDistinct reports whether a request has many distinct fields and is sent to a
// listener that takes large heads.
func isLargeDistinct(listener, request string) bool {
	return request == "distinct fields" && listener != "operators"
}

// testMemoryWhileClientsSend measures the memory of a node while clients send each of the
// requests that are included.
func testMemoryWhileClientsSend(t *testing.T, includes func(listener, request string) bool) {
	memtest.SkipIfShort(t)
	plat := httptest.NewServer(standin.New())
	t.Cleanup(plat.Close)
	applyPolicy(t, plat.URL)
	n := startNode(t, "a", plat.URL)
	t.Cleanup(func() { _ = n.Stop() })
	id := headers.RequestID + ": x\r\n"
	for _, l := range []struct {
		name, address string
		requests      map[string]memtest.Request
	}{
		{"callers", n.settings.CallerAddress, memtest.RequestsTo("POST", "/directory/x", "h.example", id)},
		{"target", n.settings.TargetListenAddress, memtest.RequestsTo("PUT", "/parsley/target", "h.example", "")},
		{"operators", n.settings.AdminAddress, memtest.RequestsTo("POST", configdist.PathPush, "h.example", "")},
	} {
		for name, request := range l.requests {
			if !includes(l.name, name) {
				continue
			}
			t.Run(l.name+", "+name, func(t *testing.T) {
				peak := memtest.Peak(t, func() { memtest.Send(t, l.address, request) })
				t.Logf("%s, %s: %d KB", l.name, name, peak>>10)
				assert.Check(t, peak < memtest.Bound)
			})
		}
	}
}
