package target

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	loadSampleInterval = 100 * time.Millisecond
	maxLoadLag         = 60 * time.Second
)

// LoadReport is the response of GET /load. Faults can delay and distort it.
type LoadReport struct {
	Running int  `json:"running"`
	Queued  int  `json:"queued"`
	Slots   int  `json:"slots"`
	Healthy bool `json:"healthy"`
}

// loadHistory is a ring buffer of the samples of the last maxLoadLag.
type loadHistory struct {
	mu      sync.Mutex
	samples [maxLoadLag / loadSampleInterval]LoadReport
	count   int
}

func (h *loadHistory) add(l LoadReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples[h.count%len(h.samples)] = l
	h.count++
}

// at returns the sample of the given age, or the oldest one if all are newer.
func (h *loadHistory) at(age time.Duration) LoadReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	offset := int(age/loadSampleInterval) + 1
	offset = min(offset, h.count, len(h.samples))
	if offset == 0 {
		return LoadReport{Healthy: true}
	}
	return h.samples[(h.count-offset)%len(h.samples)]
}

func (s *Server) sampleLoad(ctx context.Context) {
	ticker := time.NewTicker(loadSampleInterval)
	defer ticker.Stop()
	for {
		s.history.add(s.currentLoad())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// currentLoad returns the actual load, without the effect of faults. The target
// is healthy while fewer than 10 requests per slot are queued.
func (s *Server) currentLoad() LoadReport {
	running, queued := s.slots.load()
	return LoadReport{Running: running, Queued: queued, Slots: s.cfg.Slots, Healthy: queued < 10*s.cfg.Slots}
}

// reportedLoad returns the load as changed by the faults.
func (s *Server) reportedLoad() LoadReport {
	f := s.Faults()
	l := s.currentLoad()
	if f.LoadLagMS > 0 {
		l = s.history.at(time.Duration(f.LoadLagMS) * time.Millisecond)
	}
	if f.LoadFactor > 0 {
		l.Running, l.Queued = int(float64(l.Running)*f.LoadFactor), int(float64(l.Queued)*f.LoadFactor)
	}
	if f.Health != "" {
		l.Healthy = f.Health == "up"
	}
	return l
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.reportedLoad())
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !s.reportedLoad().Healthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
