package node_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"parsleyturn/internal/headers"
	standin "parsleyturn/internal/standin/platform"
)

// BenchmarkAddedLatency measures the latency that the two nodes on the path
// add to a call, compared with direct calls in the same run. Calls start at a
// fixed rate (open loop), whether or not earlier ones have finished.
func BenchmarkAddedLatency(b *testing.B) {
	plat := httptest.NewServer(standin.New())
	b.Cleanup(plat.Close)
	applyPolicy(b, plat.URL)
	n1 := startNode(b, "a", plat.URL)
	b.Cleanup(func() { _ = n1.Stop() })
	n2 := startNode(b, "b", plat.URL, n1.settings.GossipAddress)
	b.Cleanup(func() { _ = n2.Stop() })
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Millisecond)
		_, _ = io.WriteString(w, strings.Repeat("x", 1000))
	}))
	b.Cleanup(target.Close)
	announce(b, n2, "directory", strings.TrimPrefix(target.URL, "http://"))
	path := "/directory/x"
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		resp, _ := sendRequest(b, http.MethodGet, "http://"+n1.settings.CallerAddress+path, nil)
		if resp.StatusCode == 200 {
			return poll.Success()
		}
		return poll.Continue("status %d", resp.StatusCode)
	}, poll.WithTimeout(10*time.Second))

	const rate = 1000 // calls a second; about 2 in flight at the target
	direct, via := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	b.ResetTimer()
	openLoop(b, rate, direct, target.URL+path)
	openLoop(b, rate, via, "http://"+n1.settings.CallerAddress+path)
	b.StopTimer()
	for _, q := range []float64{50, 99} {
		name := strconv.Itoa(int(q))
		b.ReportMetric(float64(direct.ValueAtQuantile(q)), "direct-p"+name+"-µs")
		b.ReportMetric(float64(via.ValueAtQuantile(q)-direct.ValueAtQuantile(q)), "added-p"+name+"-µs")
	}
}

func openLoop(b *testing.B, rate int, h *hdrhistogram.Histogram, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i := range b.N {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		wg.Add(1)
		go func() {
			defer wg.Done()
			req, _ := http.NewRequest(http.MethodGet, url, nil)
			req.Header.Set(headers.DeadlineMS, "1000")
			resp, err := client.Do(req)
			if !assert.Check(b, err) {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			assert.Check(b, resp.StatusCode == 200)
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(time.Since(due).Microseconds())
		}()
	}
	wg.Wait()
}
