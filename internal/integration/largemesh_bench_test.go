package integration

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"parsleyturn/internal/gossip"
	"parsleyturn/internal/membership"
)

// BenchmarkNodeInLargeMesh measures the memory, CPU time, gossip traffic and
// platform reads of one real node process in a mesh of many nodes. The other
// nodes are gossip services in the process of the benchmark.
func BenchmarkNodeInLargeMesh(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				measureNode(b, n)
			}
		})
	}
}

func measureNode(b *testing.B, n int) {
	m := newMesh(b, 0)
	seed := fmt.Sprintf("127.%d.1.1:%d", m.net, portGossip)
	for i := range n - 1 {
		self := membership.Node{
			ID: fmt.Sprintf("member-%d", i), Incarnation: 1, GossipAddr: fmt.Sprintf("127.%d.%d.%d:%d", m.net, 1+i/200, 1+i%200, portGossip),
			LinkAddr: "127.0.0.1:1", AdminAddr: "127.0.0.1:1", Region: fmt.Sprintf("region-%d", i%6), Zone: fmt.Sprintf("zone-%d", i%23),
			Service: fmt.Sprintf("service-%d", i%110), Slots: 100,
		}
		s := gossip.New(self, self.GossipAddr, []string{seed}, zerolog.Nop())
		assert.NilError(b, s.Start(context.Background()))
		defer func() { _ = s.Stop(context.Background()) }()
	}
	address := fmt.Sprintf("127.%d.99.1", m.net)
	settings := filepath.Join(m.dir, "measured.toml")
	content := fmt.Sprintf("id = \"measured\"\nregion = \"region-0\"\navailability_zone = \"zone-0\"\nseeds = [%q]\nplatform = \"http://%s\"\n", seed, m.platformAddr())
	for key, port := range map[string]int{"caller_address": portCaller, "target_address": portTarget, "link_address": portLink, "gossip_address": portGossip, "admin_address": portAdmin} {
		content += fmt.Sprintf("%s = \"%s:%d\"\n", key, address, port)
	}
	assert.NilError(b, os.WriteFile(settings, []byte(content), 0o644))
	p := startProcess(b, filepath.Join(m.dir, "measured.log"), "parsleyturnd", settings)
	defer p.kill()
	admin := fmt.Sprintf("http://%s:%d", address, portAdmin)
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		listed, err := countLines(admin+"/v1/peers", `"id"`)
		if err != nil || listed < n {
			return poll.Continue("node lists %d of %d nodes: %v", listed, n, err)
		}
		return poll.Success()
	}, poll.WithTimeout(4*time.Minute), poll.WithDelay(500*time.Millisecond))
	time.Sleep(10 * time.Second)
	const seconds = 20
	before := scrape(b, admin)
	time.Sleep(seconds * time.Second)
	after := scrape(b, admin)
	rate := func(name string) float64 { return (after[name] - before[name]) / seconds }
	b.ReportMetric(after["process_resident_memory_bytes"]/1e6, "resident-MB")
	b.ReportMetric(after["process_resident_memory_anon_bytes"]/1e6, "anonymous-MB")
	b.ReportMetric(rate("process_cpu_seconds_total")*100, "%core")
	b.ReportMetric(rate("parsley_gossip_sent_bytes_total")+rate("parsley_gossip_received_bytes_total"), "gossip-B/s")
	b.ReportMetric(rate("parsley_platform_reads_total"), "platform-reads/s")
}

func countLines(url, part string) (int, error) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	n := 0
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if strings.Contains(sc.Text(), part) {
			n++
		}
	}
	return n, sc.Err()
}

func scrape(b *testing.B, admin string) map[string]float64 {
	b.Helper()
	resp, err := http.Get(admin + "/metrics")
	assert.NilError(b, err)
	defer resp.Body.Close()
	values := map[string]float64{}
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if name, value, ok := strings.Cut(sc.Text(), " "); ok {
			values[name], _ = strconv.ParseFloat(value, 64)
		}
	}
	return values
}
