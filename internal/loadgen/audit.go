package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"parsleyturn/internal/standin/target"
)

// Audit compares the responses that clients got with what the targets executed.
type Audit struct {
	// Executions counts started executions, sub-calls included.
	Executions int64 `json:"executions"`
	// Duplicates counts executions of POST requests beyond the first for each
	// request ID and path.
	Duplicates int64 `json:"doubled"`
	// ExecutedDespiteRefusal counts executions of jobs, sub-calls included, whose
	// client got "not run" or no connection in every attempt.
	ExecutedDespiteRefusal int64 `json:"ran_though_refused"`
	// WorkSeconds is the processing time of all executions; WastedShare is the
	// share of it whose response was not delivered.
	WorkSeconds float64 `json:"work_seconds"`
	WastedShare float64 `json:"wasted_share"`
	// Dropped counts requests beyond the maximum size of the targets' records,
	// whose executions the audit cannot check.
	Dropped  int64    `json:"dropped"`
	Examples []string `json:"examples,omitempty"`
}

const controlTimeout = 30 * time.Second

// callControl sends a request to the control API of the target.
func (t *Target) callControl(ctx context.Context, method, path, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.ControlAddress+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call control API of a target: %w; check that the deployment is running", err)
	}
	if resp.StatusCode >= 300 {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return nil, fmt.Errorf("target %s returned %s for %s %s: %s", t.ControlAddress, resp.Status, method, path, strings.TrimSpace(string(text)))
	}
	return resp, nil
}

// callAllTargets calls the control APIs of all targets in parallel.
func (d *Deployment) callAllTargets(ctx context.Context, method, path, body string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	errs := make([]error, len(d.Targets))
	var wg sync.WaitGroup
	for i := range d.Targets {
		wg.Go(func() {
			resp, err := d.Targets[i].callControl(ctx, method, path, body)
			if err == nil {
				resp.Body.Close()
			}
			errs[i] = err
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// audit reads the counters and records of all targets. notRun holds the request
// IDs of jobs that got "not run" or no connection in every attempt.
func (d *Deployment) audit(ctx context.Context, notRun map[string]bool) (*Audit, error) {
	a := &Audit{}
	executed := map[string]bool{}
	var work, wasted int64
	for i := range d.Targets {
		t := &d.Targets[i]
		var c target.Counters
		if err := t.readControl(ctx, "/standin/counters", func(dec *json.Decoder) error { return dec.Decode(&c) }); err != nil {
			return nil, err
		}
		a.Executions += c.Started
		a.Dropped += c.Dropped
		work += c.WorkMicros
		wasted += c.WastedMicros
		err := t.readControl(ctx, "/standin/record", func(dec *json.Decoder) error {
			for {
				var r target.Record
				if err := dec.Decode(&r); err == io.EOF {
					return nil
				} else if err != nil {
					return err
				}
				a.addRecord(&r, t, executed, notRun)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	a.WorkSeconds = float64(work) / 1e6
	if work > 0 {
		a.WastedShare = float64(wasted) / float64(work)
	}
	return a, nil
}

func (t *Target) readControl(ctx context.Context, path string, read func(*json.Decoder) error) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, err := t.callControl(ctx, "GET", path, "")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := read(json.NewDecoder(resp.Body)); err != nil {
		return fmt.Errorf("target %s, %s: %w", t.ControlAddress, path, err)
	}
	return nil
}

func (a *Audit) addRecord(r *target.Record, t *Target, executed, notRun map[string]bool) {
	if r.StartedMicros == 0 {
		return
	}
	if r.Method == http.MethodPost {
		key := r.Path + " " + r.RequestID
		if executed[key] {
			a.Duplicates++
			a.addExample("doubled: %s %s at %s", r.RequestID, r.Path, t.ControlAddress)
		}
		executed[key] = true
	}
	if notRun[r.RequestID] {
		a.ExecutedDespiteRefusal++
		a.addExample("ran though refused: %s %s at %s", r.RequestID, r.Path, t.ControlAddress)
	}
}

func (a *Audit) addExample(format string, args ...any) {
	if len(a.Examples) < maxExamples {
		a.Examples = append(a.Examples, fmt.Sprintf(format, args...))
	}
}
