package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"parsleyturn/internal/admin"
	"parsleyturn/internal/standin/target"
)

func (h *host) addr(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

func (h *host) callerURL() string { return "http://" + h.addr(portCaller) }

func (h *host) adminURL() string { return "http://" + h.addr(portAdmin) }

func (h *host) controlURL() string { return "http://" + h.addr(portControl) }

// proxyIP is the address of the proxy through which other nodes reach the host.
func (h *host) proxyIP() string {
	return strings.Replace(h.ip, fmt.Sprintf("127.%d.", h.mesh.net), fmt.Sprintf("127.%d.%d", h.mesh.net, 10), 1)
}

func (h *host) startNode() {
	m := h.mesh
	seeds := []string{}
	for _, s := range m.hosts {
		if s != h && s.service == "directory" {
			seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", s.proxyIP(), portGossip)))
		}
	}
	content := fmt.Sprintf(`id = %q
region = %q
availability_zone = %q
caller_address = %q
target_address = %q
link_address = %q
gossip_address = %q
admin_address = %q
advertise_link = "%s:%d"
advertise_gossip = "%s:%d"
advertise_admin = "%s:%d"
seeds = [%s]
platform = "http://127.%d.100.1:%d"
drain_limit_ms = %d
ticket_lifetime_ms = 30000
`, h.id, h.region, h.zone, h.addr(portCaller), h.addr(portTarget), h.addr(portLink), h.addr(portGossip), h.addr(portAdmin),
		h.proxyIP(), portLink, h.proxyIP(), portGossip, h.proxyIP(), portAdmin, strings.Join(seeds, ", "), m.net, portPlatform, m.opts.drainLimitMS)
	path := filepath.Join(m.dir, h.id+".toml")
	assert.NilError(m.t, os.WriteFile(path, []byte(content), 0o644))
	h.node = startProcess(m.t, filepath.Join(m.dir, h.id+".log"), "parsleyturnd", path)
}

func (h *host) startTarget() {
	m := h.mesh
	content := fmt.Sprintf(`service = %q
address = %q
control_address = %q
node = "http://%s"
slots = %d
connections = 100
seed = 7
record_file = %q

[[route]]
path_prefix = "/directory/"
time_ms = 5
body_bytes = 500

[[route]]
path_prefix = "/directory/slow"
time_ms = 400
body_bytes = 500

[[route]]
path_prefix = "/bookings/"
time_ms = 20
body_bytes = 300
[[route.sub_call]]
method = "GET"
path = "/directory/{id}"

[[route]]
path_prefix = "/bookings/slow"
time_ms = 400
body_bytes = 300

[[route]]
path_prefix = "/reports/"
time_ms = 5
body_bytes = 200000
chunk_bytes = 10000
chunk_delay_ms = 25

[[route]]
path_prefix = "/reports/big"
`, h.service, h.addr(portUpstream), h.addr(portControl), h.addr(portTarget), h.slots, h.recordFile) + m.opts.routes
	path := filepath.Join(m.dir, h.id+"-target.toml")
	assert.NilError(m.t, os.WriteFile(path, []byte(content), 0o644))
	h.target = startProcess(m.t, filepath.Join(m.dir, h.id+"-target.log"), "standin-target", "--config", path)
}

// setTargetFaults replaces the faults of the host's target.
func (h *host) setTargetFaults(f target.Faults) { h.mesh.putJSON(h.controlURL()+"/standin/faults", f) }

// status reads the node's status from its administration API.
func (h *host) status() (admin.Status, error) {
	var s admin.Status
	client := &http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get(h.adminURL() + "/v1/status")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// peersWithTarget counts the nodes in the node's membership view that have a
// target and are neither lost nor draining.
func (h *host) peersWithTarget() (int, error) {
	resp, err := h.mesh.client.Get(h.adminURL() + "/v1/peers")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var nodes []struct {
		Service  string `json:"service"`
		State    int    `json:"state"`
		Draining bool   `json:"draining"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&nodes); err != nil {
		return 0, err
	}
	n := 0
	for _, p := range nodes {
		if p.Service != "" && p.State <= 1 && !p.Draining {
			n++
		}
	}
	return n, nil
}
