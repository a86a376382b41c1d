package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"parsleyturn/internal/headers"
	"parsleyturn/internal/targetstatus"
)

const (
	announceInterval = time.Second
	announceTimeout  = time.Second
)

func (s *Server) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if !s.Faults().StopAnnouncing {
			// After a failure the next heartbeat announces the state again.
			_ = s.Announce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Announce sends one announcement to the node.
func (s *Server) Announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	content, err := json.Marshal(s.announcement())
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, s.cfg.Node+"/parsley/target", bytes.NewReader(content))
	if err != nil {
		return fmt.Errorf("create announcement request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	s.mu.Lock()
	if s.nodeProcess != "" {
		req.Header.Set(headers.Process, s.nodeProcess)
	}
	s.mu.Unlock()
	resp, err := s.client.Do(req)
	if err != nil {
		return fmt.Errorf("send announcement: %w", err)
	}
	defer resp.Body.Close()
	s.mu.Lock()
	s.nodeProcess = resp.Header.Get(headers.Process)
	s.mu.Unlock()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if resp.StatusCode >= 300 {
		return fmt.Errorf("send announcement: node returned status %s: %s", resp.Status, bytes.TrimSpace(text))
	}
	return nil
}

func (s *Server) announcement() targetstatus.Announcement {
	s.mu.Lock()
	state := s.state
	s.mu.Unlock()
	if state == targetstatus.Ready && time.Since(s.started) < s.cfg.coldStart() {
		state = targetstatus.Cold
	}
	return targetstatus.Announcement{
		Service: s.cfg.Service, Address: s.Addr(), Slots: s.cfg.Slots, Connections: s.cfg.Connections,
		ColdStartMS: s.cfg.ColdStartMS, State: state, Incarnation: s.incarnation,
	}
}

// setState changes the state and announces it immediately.
func (s *Server) setState(ctx context.Context, state targetstatus.State) {
	s.mu.Lock()
	s.state = state
	announceStopped := s.faults.StopAnnouncing
	s.mu.Unlock()
	if s.cfg.Node != "" && !s.cfg.NoAnnounce && !announceStopped {
		_ = s.Announce(ctx)
	}
}
