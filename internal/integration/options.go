package integration

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	// TestMain builds the programs under test, which the test cache does not
	// track. This import makes cached results depend on their code.
	_ "parsleyturn/internal/node"
)

// meshOptions are the settings in which the meshes of the tests differ.
type meshOptions struct {
	// policy and routes are appended to those that every mesh has.
	policy, routes string
	// slots of each target. Default 4.
	slots int
	// drainLimitMS bounds the graceful shutdown of a node. Default 20,000 ms.
	drainLimitMS int
}

func (o meshOptions) withDefaults() meshOptions {
	if o.slots == 0 {
		o.slots = 4
	}
	if o.drainLimitMS == 0 {
		o.drainLimitMS = 20000
	}
	return o
}

// meshSlots bounds the number of meshes that parallel tests run at the same
// time. A mesh of two zones has 13 processes.
var meshSlots = make(chan struct{}, 6)

// parallelMesh waits for a free slot in meshSlots and starts a mesh for a
// parallel test.
func parallelMesh(t *testing.T, n int, opts meshOptions) *mesh {
	t.Helper()
	meshSlots <- struct{}{}
	t.Cleanup(func() { <-meshSlots })
	return newMeshWith(t, n, opts)
}

// metric reads a counter from the node's GET /metrics. It returns 0 if the node
// does not respond or does not list the counter.
func (h *host) metric(name string) int {
	client := &http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get(h.adminURL() + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	for _, line := range strings.Split(string(body), "\n") {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			n, _ := strconv.Atoi(v)
			return n
		}
	}
	return 0
}

// metric sums a counter over all nodes.
func (m *mesh) metric(name string) int {
	n := 0
	for _, h := range m.hosts {
		n += h.metric(name)
	}
	return n
}

// doRequest sends one request with the given headers, without retries, and
// reads the complete response.
func (m *mesh) doRequest(ctx context.Context, entry *host, method, path string, h map[string]string) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, entry.callerURL()+path, nil)
	if err != nil {
		return nil, nil, err
	}
	for k, v := range h {
		req.Header.Set(k, v)
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}
