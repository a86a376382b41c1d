package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"parsleyturn/internal/configdist"
	"parsleyturn/internal/configstore"
	"parsleyturn/internal/membership"
	"parsleyturn/internal/platformclient"
	"parsleyturn/internal/policy"
)

const (
	tableBootstrap = "bootstrap"
	// maxBootstrap bounds the rows read; 23 availability zones keep 5 each.
	maxBootstrap = 1000
	// maxPushed is the number of nodes that a new version is pushed to. The
	// others learn of it from them.
	maxPushed     = 5
	waitInterval  = 100 * time.Millisecond
	maxNodeAnswer = 4 << 20
)

// delivery says which nodes are known to have a version in force.
type delivery struct {
	Known   int `json:"known"`
	Pushed  int `json:"pushed"`
	InForce int `json:"in_force"`
	// Failures maps nodes that do not have the version to the reason.
	Failures map[string]string `json:"failures,omitempty"`
	// Silent counts the nodes among them that only the bootstrap table names
	// and that cannot be reached, as its rows outlive their nodes by minutes.
	Silent int `json:"silent"`
	waited bool
}

func (d delivery) summary(version uint64) string {
	if d.Known == 0 {
		return "no nodes are known, so nothing was pushed; nodes find the version by polling within 60 s, or give --nodes to push it"
	}
	of, n := "pushed", d.Pushed
	if d.waited {
		of, n = "known", d.Known
	}
	s := fmt.Sprintf("pushed to %d of %d known nodes; %d of %d %s nodes have version %d in force", d.Pushed, d.Known, d.InForce, n, of, version)
	for _, addr := range slices.Sorted(maps.Keys(d.Failures)) {
		s += fmt.Sprintf("\n  %s: %s", printable(addr), printable(d.Failures[addr]))
	}
	return s
}

// failure is an error if nodes were waited for and did not follow.
func (d delivery) failure(wait time.Duration, version uint64) error {
	if wait <= 0 || d.InForce+d.Silent == d.Known {
		return nil
	}
	return fmt.Errorf("version %d was accepted, but after %v %d of %d known nodes do not have it in force; check them with 'parsleyctl status'; do not apply again",
		version, wait, d.Known-d.Silent-d.InForce, d.Known)
}

// known returns the nodes given on the command line and those in the
// bootstrap table. Rows that cannot be read are passed over, and so is a
// table that cannot be read: the push only speeds up distribution.
func (t *tool) known(ctx context.Context, client *platformclient.Client) []string {
	nodes := t.named()
	rows, err := client.List(ctx, tableBootstrap, "", "", maxBootstrap)
	if err != nil {
		rows = nil
	}
	for _, row := range rows {
		if addr := bootstrapAddr(row.Data); addr != "" {
			nodes = append(nodes, addr)
		}
	}
	slices.Sort(nodes)
	return slices.Compact(nodes)
}

// named returns the nodes of the command line.
func (t *tool) named() []string {
	var nodes []string
	for _, n := range strings.Split(t.nodes, ",") {
		if n = strings.TrimSpace(n); n != "" {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// bootstrapAddr finds the administration address in a row, which holds one
// node as JSON or msgpack.
func bootstrapAddr(data []byte) string {
	var n membership.Node
	if json.Unmarshal(data, &n) != nil || n.AdminAddr == "" {
		n = membership.Node{}
		if msgpack.Unmarshal(data, &n) != nil {
			return ""
		}
	}
	if _, _, err := net.SplitHostPort(n.AdminAddr); err != nil {
		return ""
	}
	return n.AdminAddr
}

// deliver pushes a version to a few nodes and, with --wait, waits for all
// known ones.
func (t *tool) deliver(ctx context.Context, nodes []string, rec configstore.Record, before configstore.Manifest, files []policy.File) delivery {
	d := delivery{Known: len(nodes), Failures: map[string]string{}}
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	// Nodes that fail are replaced by others, in at most three rounds, as rows
	// of the bootstrap table can name nodes that are gone.
	for rest := nodes; len(rest) > 0 && d.InForce < maxPushed && d.Pushed < 3*maxPushed; {
		batch := rest[:min(maxPushed-d.InForce, len(rest))]
		rest = rest[len(batch):]
		d.Pushed += len(batch)
		d.InForce += t.each(batch, &d, func(addr string) error { return t.push(ctx, addr, rec, before, files) })
	}
	if t.wait > 0 {
		d.waited = true
		t.await(ctx, nodes, rec.Version, &d)
	}
	return d
}

// each calls f for all nodes at once, notes failures and returns the number
// of successes.
func (t *tool) each(nodes []string, d *delivery, f func(addr string) error) int {
	named := t.named()
	var mu sync.Mutex
	var wg sync.WaitGroup
	ok := 0
	for _, addr := range nodes {
		wg.Go(func() {
			err := f(addr)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				ok++
				return
			}
			d.Failures[addr] = err.Error()
			if errors.As(err, new(*net.OpError)) && !slices.Contains(named, addr) {
				d.Silent++
			}
		})
	}
	wg.Wait()
	return ok
}

// push sends the files that changed, and then those that the node asks for.
func (t *tool) push(ctx context.Context, addr string, rec configstore.Record, before configstore.Manifest, files []policy.File) error {
	content := map[string][]byte{}
	p := configdist.PushRequest{Record: rec, Files: map[string][]byte{}}
	for _, f := range files {
		hash := rec.Manifest.Files[f.Name]
		content[hash] = f.Content
		if before.Files[f.Name] != hash {
			p.Files[hash] = f.Content
		}
	}
	for range 2 {
		body, err := json.Marshal(p)
		if err != nil {
			return fmt.Errorf("encode push: %w", err)
		}
		status, answer, err := t.call(ctx, http.MethodPost, addr, configdist.PathPush, body)
		if err != nil {
			return err
		}
		var out configdist.PushResponse
		if err := json.Unmarshal(answer, &out); err != nil {
			return fmt.Errorf("status %d: the answer is not that of a push; check that this is an administration address", status)
		}
		switch {
		case status == http.StatusOK && out.Version >= rec.Version:
			return nil
		case len(out.Missing) == 0:
			return fmt.Errorf("status %d: %s", status, out.Message)
		}
		for _, hash := range out.Missing {
			p.Files[hash] = content[hash]
		}
	}
	return errors.New("the node asked for files twice; it will fetch the version itself")
}

// await asks all nodes for their version until they have it or time is up.
func (t *tool) await(ctx context.Context, nodes []string, version uint64, d *delivery) {
	ctx, cancel := context.WithTimeout(ctx, t.wait)
	defer cancel()
	for {
		round := delivery{Failures: map[string]string{}}
		round.InForce = t.each(nodes, &round, func(addr string) error { return t.hasVersion(ctx, addr, version) })
		if ctx.Err() == nil || round.InForce >= d.InForce {
			d.InForce, d.Failures, d.Silent = round.InForce, round.Failures, round.Silent
		}
		if round.InForce+round.Silent == len(nodes) {
			return
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (t *tool) hasVersion(ctx context.Context, addr string, version uint64) error {
	status, body, err := t.call(ctx, http.MethodGet, addr, configdist.PathRecord, nil)
	if err != nil {
		return err
	}
	var rec configstore.Record
	if status != http.StatusOK || json.Unmarshal(body, &rec) != nil {
		return fmt.Errorf("status %d: no configuration in force", status)
	}
	if rec.Version < version {
		return fmt.Errorf("version %d in force", rec.Version)
	}
	return nil
}

func (t *tool) call(ctx context.Context, method, addr, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, badInput("address %q: %v; use a form like 10.0.0.4:7003", addr, err)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("no answer from node %s: %w; check the address and that the node runs", addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxNodeAnswer))
	if err != nil {
		return 0, nil, fmt.Errorf("answer of node %s broke off: %w; try again", addr, err)
	}
	return resp.StatusCode, answer, nil
}

// nodeStatus holds the fields of GET /v1/status that are shown as text.
type nodeStatus struct {
	Node          membership.Node `json:"node"`
	ConfigVersion uint64          `json:"config_version"`
	Draining      bool            `json:"draining"`
	Ready         bool            `json:"ready"`
	Target        struct {
		State string `json:"state"`
	} `json:"target"`
	TargetPresent bool `json:"target_present"`
	Load          struct {
		Limit  int `json:"limit"`
		Queued int `json:"queued"`
	} `json:"load"`
	InFlight int `json:"in_flight"`
}

// state sums up what the node does.
func (s *nodeStatus) state() string {
	switch {
	case s.Draining:
		return "draining"
	case !s.Ready:
		return "starting"
	}
	return "ready"
}

// target names the service and the state of the node's own target.
func (s *nodeStatus) target() string {
	if !s.TargetPresent {
		return "none"
	}
	return strings.TrimSpace(s.Node.Service + " " + s.Target.State)
}

type statusView struct {
	Address string          `json:"address"`
	Error   string          `json:"error,omitempty"`
	Status  json.RawMessage `json:"status,omitempty"`
}

func (t *tool) status(ctx context.Context) error {
	for _, addr := range t.adminAddrs {
		if err := checkNodeAddr(addr); err != nil {
			return err
		}
	}
	views := make([]statusView, len(t.adminAddrs))
	var wg sync.WaitGroup
	for i, addr := range t.adminAddrs {
		wg.Go(func() { views[i] = t.statusOf(ctx, addr) })
	}
	wg.Wait()
	tab := table{header: []string{"NODE", "ID", "REGION", "ZONE", "STATE", "CONFIG", "TARGET", "IN FLIGHT", "LIMIT", "QUEUED"}}
	var failed []string
	for i := range views {
		v := &views[i]
		var s nodeStatus
		if v.Error == "" && json.Unmarshal(v.Status, &s) != nil {
			v.Error = fmt.Sprintf("the status of node %s cannot be decoded; check that this is an administration address", v.Address)
		}
		if v.Error != "" {
			failed = append(failed, v.Error)
			tab.add(v.Address, "", "", "", "no answer", "", "", "", "", "")
			continue
		}
		tab.add(v.Address, s.Node.ID, s.Node.Region, s.Node.Zone, s.state(), fmt.Sprint(s.ConfigVersion), s.target(),
			fmt.Sprint(s.InFlight), fmt.Sprint(s.Load.Limit), fmt.Sprint(s.Load.Queued))
	}
	if err := t.write(views, func() { t.print(tab, "") }); err != nil {
		return err
	}
	if len(failed) > 0 {
		return fmt.Errorf("%d of %d nodes gave no status: %s", len(failed), len(views), strings.Join(failed, "; "))
	}
	return nil
}

// checkNodeAddr keeps a URL or a bare name from being looked up as a host.
func checkNodeAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" || port == "" || strings.Contains(addr, "/") {
		return badInput("%q is not the administration address of a node; use a form like 10.0.0.4:7003", addr)
	}
	return nil
}

func (t *tool) statusOf(ctx context.Context, addr string) statusView {
	status, body, err := t.call(ctx, http.MethodGet, addr, "/v1/status", nil)
	switch {
	case err != nil:
		return statusView{Address: addr, Error: err.Error()}
	case status != http.StatusOK || !json.Valid(body):
		return statusView{Address: addr, Error: fmt.Sprintf("node %s answered status %d; check that this is an administration address", addr, status)}
	}
	return statusView{Address: addr, Status: body}
}

func (t *tool) drain(ctx context.Context) error {
	if err := checkNodeAddr(t.adminAddr); err != nil {
		return err
	}
	status, _, err := t.call(ctx, http.MethodPost, t.adminAddr, "/v1/drain", nil)
	if err != nil {
		return err
	}
	if status >= 300 {
		return fmt.Errorf("node %s answered status %d to the drain; check that this is an administration address", t.adminAddr, status)
	}
	return t.write(map[string]string{"address": t.adminAddr, "state": "draining"}, func() {
		t.printf("node %s drains; it stops when its requests in flight are finished, follow it with 'parsleyctl status %s'", t.adminAddr, t.adminAddr)
	})
}
