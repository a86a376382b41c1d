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
	// maxBootstrapRows bounds the number of rows read; 23 availability zones
	// keep 5 rows each.
	maxBootstrapRows = 1000
	// maxPushNodes is the number of nodes that a new version is pushed to. The
	// others get it from these nodes.
	maxPushNodes     = 5
	waitInterval     = 100 * time.Millisecond
	maxResponseBytes = 4 << 20
)

// delivery is the result of distributing a version to the known nodes.
type delivery struct {
	Known  int `json:"known"`
	Pushed int `json:"pushed"`
	Active int `json:"in_force"`
	// Failures maps the address of each node whose push or poll failed to the
	// reason.
	Failures map[string]string `json:"failures,omitempty"`
	// Unreachable counts the nodes in Failures that cannot be reached and were
	// not given with --nodes. Rows of the bootstrap table remain for minutes
	// after their nodes have stopped, so these nodes are no error.
	Unreachable int `json:"silent"`
	waited      bool
}

func (d delivery) summary(version uint64) string {
	if d.Known == 0 {
		return "no nodes are known, so nothing was pushed; nodes find the version by polling within 60 s; use --nodes to push it"
	}
	of, n := "pushed", d.Pushed
	if d.waited {
		of, n = "known", d.Known
	}
	s := fmt.Sprintf("pushed to %d of %d known nodes; %d of %d %s nodes have version %d active", d.Pushed, d.Known, d.Active, n, of, version)
	for _, addr := range slices.Sorted(maps.Keys(d.Failures)) {
		s += fmt.Sprintf("\n  %s: %s", printable(addr), printable(d.Failures[addr]))
	}
	return s
}

// incompleteError returns an error if --wait was given and not all reachable
// nodes have activated the version.
func (d delivery) incompleteError(wait time.Duration, version uint64) error {
	if wait <= 0 || d.Active+d.Unreachable == d.Known {
		return nil
	}
	return fmt.Errorf("version %d was accepted, but after %v %d of %d known nodes have not activated it; check them with 'parsleyctl status'; do not apply again",
		version, wait, d.Known-d.Unreachable-d.Active, d.Known)
}

// knownNodes returns the nodes given with --nodes and those in the bootstrap
// table. Rows or a table that cannot be read are ignored, because nodes get
// the version without a push too, only later.
func (t *tool) knownNodes(ctx context.Context, client *platformclient.Client) []string {
	nodes := t.flagNodes()
	rows, err := client.List(ctx, tableBootstrap, "", "", maxBootstrapRows)
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

// flagNodes returns the nodes given with --nodes or PARSLEY_NODES.
func (t *tool) flagNodes() []string {
	var nodes []string
	for _, n := range strings.Split(t.nodes, ",") {
		if n = strings.TrimSpace(n); n != "" {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// bootstrapAddr returns the administration address in a bootstrap row, or "" if
// there is none. A row holds one node as JSON or msgpack.
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

// deliver pushes a version to a few nodes and, with --wait, waits until all
// known nodes have activated it.
func (t *tool) deliver(ctx context.Context, nodes []string, rec configstore.Record, before configstore.Manifest, files []policy.File) delivery {
	d := delivery{Known: len(nodes), Failures: map[string]string{}}
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	// Rows of the bootstrap table can name nodes that have stopped, so other
	// nodes are tried in place of those that fail, until at least
	// 3*maxPushNodes pushes were made.
	for remaining := nodes; len(remaining) > 0 && d.Active < maxPushNodes && d.Pushed < 3*maxPushNodes; {
		batch := remaining[:min(maxPushNodes-d.Active, len(remaining))]
		remaining = remaining[len(batch):]
		d.Pushed += len(batch)
		d.Active += t.forEachNode(batch, &d, func(addr string) error { return t.push(ctx, addr, rec, before, files) })
	}
	if t.waitTimeout > 0 {
		d.waited = true
		t.awaitVersion(ctx, nodes, rec.Version, &d)
	}
	return d
}

// forEachNode calls f for all nodes concurrently, records failures in d and
// returns the number of successes.
func (t *tool) forEachNode(nodes []string, d *delivery, f func(addr string) error) int {
	given := t.flagNodes()
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
			if errors.As(err, new(*net.OpError)) && !slices.Contains(given, addr) {
				d.Unreachable++
			}
		})
	}
	wg.Wait()
	return ok
}

// push sends the files that changed since the previous version. If the node
// reports others as missing, it sends them in a second request.
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
			return fmt.Errorf("encode push request: %w", err)
		}
		status, respBody, err := t.callNode(ctx, http.MethodPost, addr, configdist.PathPush, body)
		if err != nil {
			return err
		}
		var out configdist.PushResponse
		if err := json.Unmarshal(respBody, &out); err != nil {
			return fmt.Errorf("status %d: the body is not a push response; check that this is an administration address", status)
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
	return errors.New("the node reported missing files twice; it will fetch the version itself")
}

// awaitVersion polls all nodes until they have the version or waitTimeout has
// passed. A round of polls that was cut short by the timeout replaces the
// result in d only if it has at least as many active nodes.
func (t *tool) awaitVersion(ctx context.Context, nodes []string, version uint64, d *delivery) {
	ctx, cancel := context.WithTimeout(ctx, t.waitTimeout)
	defer cancel()
	for {
		round := delivery{Failures: map[string]string{}}
		round.Active = t.forEachNode(nodes, &round, func(addr string) error { return t.hasVersion(ctx, addr, version) })
		if ctx.Err() == nil || round.Active >= d.Active {
			d.Active, d.Failures, d.Unreachable = round.Active, round.Failures, round.Unreachable
		}
		if round.Active+round.Unreachable == len(nodes) {
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
	status, body, err := t.callNode(ctx, http.MethodGet, addr, configdist.PathRecord, nil)
	if err != nil {
		return err
	}
	var rec configstore.Record
	if status != http.StatusOK || json.Unmarshal(body, &rec) != nil {
		return fmt.Errorf("status %d: no active configuration", status)
	}
	if rec.Version < version {
		return fmt.Errorf("version %d is active", rec.Version)
	}
	return nil
}

func (t *tool) callNode(ctx context.Context, method, addr, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, badInput("address %q: %v; use an address such as 10.0.0.4:7003", addr, err)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("no response from node %s: %w; check the address and that the node is running", addr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read response of node %s: %w; try again", addr, err)
	}
	return resp.StatusCode, respBody, nil
}

// nodeStatus holds the fields of the response to GET /v1/status that the text
// output shows.
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

// state returns the content of the STATE column.
func (s *nodeStatus) state() string {
	switch {
	case s.Draining:
		return "draining"
	case !s.Ready:
		return "starting"
	}
	return "ready"
}

// target returns the service and the state of the node's local target.
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
		wg.Go(func() { views[i] = t.fetchStatus(ctx, addr) })
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
	if err := t.write(views, func() { t.printTable(tab, "") }); err != nil {
		return err
	}
	if len(failed) > 0 {
		return fmt.Errorf("%d of %d nodes returned no status: %s", len(failed), len(views), strings.Join(failed, "; "))
	}
	return nil
}

// checkNodeAddr rejects a URL or a name without a port before it is used as
// the host of a request.
func checkNodeAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" || port == "" || strings.Contains(addr, "/") {
		return badInput("%q is not the administration address of a node; use an address such as 10.0.0.4:7003", addr)
	}
	return nil
}

func (t *tool) fetchStatus(ctx context.Context, addr string) statusView {
	status, body, err := t.callNode(ctx, http.MethodGet, addr, "/v1/status", nil)
	switch {
	case err != nil:
		return statusView{Address: addr, Error: err.Error()}
	case status != http.StatusOK || !json.Valid(body):
		return statusView{Address: addr, Error: fmt.Sprintf("node %s responded with status %d; check that this is an administration address", addr, status)}
	}
	return statusView{Address: addr, Status: body}
}

func (t *tool) drain(ctx context.Context) error {
	if err := checkNodeAddr(t.adminAddr); err != nil {
		return err
	}
	status, _, err := t.callNode(ctx, http.MethodPost, t.adminAddr, "/v1/drain", nil)
	if err != nil {
		return err
	}
	if status >= 300 {
		return fmt.Errorf("node %s responded with status %d to the drain request; check that this is an administration address", t.adminAddr, status)
	}
	return t.write(map[string]string{"address": t.adminAddr, "state": "draining"}, func() {
		t.printf("node %s is draining; it stops when its requests in flight are finished; check it with 'parsleyctl status %s'", t.adminAddr, t.adminAddr)
	})
}
