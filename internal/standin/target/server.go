package target

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"parsleyturn/internal/targetstatus"
)

// Server is a running stand-in.
type Server struct {
	cfg         Config
	incarnation string
	mux         *http.ServeMux
	slots       slots
	recorder    *recorder
	history     loadHistory
	client      *http.Client

	mu     sync.Mutex
	faults Faults
	state  targetstatus.State
	// nodeProcess identifies the process of the node that the last announcement reached.
	nodeProcess string
	inFlight    int
	// idle is closed when inFlight falls to 0 while Drain waits.
	idle chan struct{}

	started  time.Time
	listener net.Listener
	control  net.Listener
	servers  []*http.Server
	cancel   context.CancelFunc
	workers  sync.WaitGroup
	announce chan struct{}
}

// New validates the configuration, opens its record file and returns a stand-in
// that is not started.
func New(cfg Config) (*Server, error) {
	if err := cfg.Validate("target configuration"); err != nil {
		return nil, err
	}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, fmt.Errorf("create incarnation: %w", err)
	}
	s := &Server{
		cfg: cfg, incarnation: hex.EncodeToString(b[:]), mux: http.NewServeMux(),
		slots: slots{limit: cfg.Slots}, recorder: newRecorder(cfg.MaxRecords),
		state: targetstatus.Ready, announce: make(chan struct{}, 1),
	}
	if cfg.RecordFile != "" {
		f, err := os.OpenFile(cfg.RecordFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, fmt.Errorf("open record file: %w; correct record_file", err)
		}
		s.recorder.file = f
	}
	s.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: cfg.Slots, IdleConnTimeout: 90 * time.Second, DisableCompression: true,
	}}
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.mux.HandleFunc("GET /healthz", s.serveHealth)
	s.mux.Handle("/standin/", s.controlHandler())
	s.mux.HandleFunc("/", s.serve)
	return s, nil
}

// Start listens, serves requests and starts the announcements.
func (s *Server) Start(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", s.cfg.Address)
	if err != nil {
		return fmt.Errorf("listen for requests: %w; choose a free address", err)
	}
	s.listener = newLimitListener(l, s.cfg.Connections)
	if s.cfg.ControlAddress != "" {
		if s.control, err = lc.Listen(ctx, "tcp", s.cfg.ControlAddress); err != nil {
			l.Close()
			return fmt.Errorf("listen for control API: %w; choose a free address", err)
		}
	}
	s.started = time.Now()
	workerCtx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.serveListener(s.listener, s.mux)
	if s.control != nil {
		s.serveListener(s.control, s.controlHandler())
	}
	s.startWorker(func() { s.sampleLoad(workerCtx) })
	if s.cfg.Node != "" && !s.cfg.NoAnnounce {
		s.startWorker(func() { s.announceLoop(workerCtx) })
	}
	return nil
}

func (s *Server) serveListener(l net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	s.servers = append(s.servers, srv)
	s.startWorker(func() { _ = srv.Serve(l) })
}

func (s *Server) startWorker(f func()) {
	s.workers.Add(1)
	go func() {
		defer s.workers.Done()
		f()
	}()
}

// Addr returns the address of the request listener. It is valid after Start.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// ControlAddr returns the address of the control API. It is valid after Start.
func (s *Server) ControlAddr() string {
	if s.control == nil {
		return s.Addr()
	}
	return s.control.Addr().String()
}

// Stop stops the server immediately and closes the connections of requests in
// flight. For a graceful stop, call Drain first.
func (s *Server) Stop() {
	if s.cancel == nil {
		return
	}
	s.cancel()
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	s.workers.Wait()
	s.client.CloseIdleConnections()
}

// Drain announces the state draining, waits until no requests are in flight or
// ctx ends, and then announces the state stopping. It returns the number of
// requests still in flight.
func (s *Server) Drain(ctx context.Context) int {
	s.setState(ctx, targetstatus.Draining)
	s.mu.Lock()
	idle := make(chan struct{})
	if s.inFlight == 0 {
		close(idle)
	} else {
		s.idle = idle
	}
	s.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	s.setState(context.WithoutCancel(ctx), targetstatus.Stopping)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = nil
	return s.inFlight
}

func (s *Server) requestStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

func (s *Server) requestFinished() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.inFlight == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults validates and replaces the faults.
func (s *Server) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	f.slowUntil = time.Now().Add(time.Duration(f.SlowMS) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	return nil
}

// Records returns a copy of the records.
func (s *Server) Records() []Record { return s.recorder.snapshot("") }

// Counters returns the totals since the last reset.
func (s *Server) Counters() Counters { return s.recorder.totals() }

// Reset clears the records, the counters and the faults.
func (s *Server) Reset() {
	s.recorder.reset()
	_ = s.SetFaults(Faults{})
}
