package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"parsleyturn/internal/configdist"
	"parsleyturn/internal/membership"
	"parsleyturn/internal/platformclient"
	"parsleyturn/internal/policy"
	standin "parsleyturn/internal/standin/platform"
)

func run(t *testing.T, want int, args ...string) (string, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	got := Run(t.Context(), args, &out, &errOut)
	assert.Equal(t, got, want, "%v\n%s%s", args, out.String(), errOut.String())
	return out.String(), errOut.String()
}

func writeDir(t *testing.T, content string) string {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "10.toml"), []byte(content), 0o600))
	return dir
}

func sampleConfig(extra string) string {
	return "team = \"a\"\n[service.s]\n[kind.k]\nservice = \"s\"\npath_prefix = \"/\"\npriority = 5\n" + extra
}

func startPlatform(t *testing.T) (*standin.Server, string) {
	server := standin.New()
	h := httptest.NewServer(server)
	t.Cleanup(h.Close)
	return server, h.URL
}

// startNode serves the admin API of a node that gets its configuration only by
// pushes.
func startNode(t *testing.T) (*configdist.Service, string) {
	s := &configdist.Service{}
	mux := http.NewServeMux()
	s.Mount(mux)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"node":{"id":"n1","zone":"z1"},"config_version":%d,"ready":true,"load":{"Limit":7}}`, s.Version())
	})
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) })
	h := httptest.NewServer(mux)
	t.Cleanup(h.Close)
	return s, strings.TrimPrefix(h.URL, "http://")
}

// Guards against an accepted change that is not pushed to nodes, and against
// output of audit, history and rollback that does not match the accepted
// versions.
func TestChangeLifecycle(t *testing.T) {
	_, url := startPlatform(t)
	node, addr := startNode(t)
	p := "--platform=" + url
	run(t, ExitOK, "config", "check", writeDir(t, sampleConfig("")))
	out, _ := run(t, ExitOK, p, "--nodes", addr, "config", "apply", writeDir(t, sampleConfig("")), "--why", "first", "--who", "ama", "--wait", "2s")
	assert.Assert(t, strings.Contains(out, "pushed to 1 of 1 known nodes; 1 of 1 known nodes have version 1 active"), out)
	out, _ = run(t, ExitOK, p, "config", "diff", writeDir(t, sampleConfig("retries = 2\n")))
	assert.Equal(t, out, "TABLE   KEY      OLD  NEW  FILE\nkind.k  retries  0    2    10.toml\n")
	run(t, ExitOK, p, "--nodes", addr, "config", "apply", writeDir(t, sampleConfig("retries = 2\n")), "--why", "more", "--who", "kofi")
	assert.Equal(t, node.ActiveConfig().Policy.Kinds["k"].Retries, 2)
	out, _ = run(t, ExitOK, p, "config", "apply", writeDir(t, sampleConfig("retries = 2\n")), "--why", "again")
	assert.Assert(t, strings.Contains(out, "nothing to accept"), out)
	out, _ = run(t, ExitOK, p, "config", "show")
	assert.Assert(t, strings.Contains(out, "kind.k     retries         2      10.toml    a\n"), out)
	out, _ = run(t, ExitOK, p, "--output=json", "--nodes", addr, "config", "rollback", "1", "--why", "worse", "--who", "ama")
	var view changeView
	assert.NilError(t, json.Unmarshal([]byte(out), &view))
	assert.Equal(t, view.Version, uint64(3))
	assert.Equal(t, view.Delivery.Active, 1)
	assert.DeepEqual(t, view.Differences, []policy.Difference{{Table: "kind.k", Key: "retries", Old: "2", New: "0"}})
	out, _ = run(t, ExitOK, p, "config", "history")
	lines := strings.Split(out, "\n")
	assert.Assert(t, strings.HasPrefix(lines[1], "3 ") && strings.Contains(lines[1], "rollback"), out)
	out, _ = run(t, ExitOK, p, "audit", "--after", "1", "--limit", "1")
	assert.Assert(t, strings.Contains(out, "kofi") && strings.Count(out, "\n") == 2, out)
	out, _ = run(t, ExitOK, "status", addr)
	assert.Assert(t, strings.Contains(out, "n1  -       z1    ready  3       none    0          7"), out)
	run(t, ExitOK, "drain", addr)
}

// Guards against exit codes that do not match the type of the failure, since
// scripts depend on them, and against messages without a remedy.
func TestExitCodes(t *testing.T) {
	server, url := startPlatform(t)
	p := "--platform=" + url
	dir := writeDir(t, sampleConfig(""))
	run(t, ExitOK, "--help")
	run(t, ExitOK, p, "config", "apply", dir, "--why", "first")
	other := writeDir(t, sampleConfig("retries = 1\n"))
	_, msg := run(t, ExitConflict, p, "config", "apply", other, "--why", "late", "--base", "0")
	assert.Assert(t, strings.Contains(msg, "(first)") && strings.Contains(msg, "kind.k     path_prefix"), msg)
	_, msg = run(t, ExitBadInput, "--output=json", "config", "check", writeDir(t, sampleConfig("retries = 99\n")))
	var view struct{ Error errorView }
	assert.NilError(t, json.Unmarshal([]byte(msg), &view))
	assert.Equal(t, view.Error.Problems[0].Line, 7)
	for _, args := range [][]string{
		{"config"}, {"config", "check", filepath.Join(dir, "none")}, {"config", "check", t.TempDir()}, {"config", "show"},
		{p, "config", "apply", dir}, {p, "config", "apply", dir, "--why", " "}, {p, "config", "rollback", "9", "--why", "x"},
		{p, "config", "rollback", "abc", "--why", "x"}, {p, "config", "rollback", "0", "--why", "x"},
		{"--platform=nowhere", "audit"}, {p, "audit", "--limit=0"}, {"--output=xml", "audit"},
	} {
		_, msg := run(t, ExitBadInput, args...)
		assert.Assert(t, strings.Contains(msg, ";"), "the message has no remedy: %s", msg)
	}
	out, _ := run(t, ExitFailed, "status", "127.0.0.1:1")
	assert.Assert(t, strings.Contains(out, "no answer"), out)
	for _, addr := range []string{"http://127.0.0.1:1", "node-1", "127.0.0.1"} {
		run(t, ExitBadInput, "status", addr)
		run(t, ExitBadInput, "drain", addr)
		run(t, ExitBadInput, p, "--nodes", addr, "config", "apply", dir, "--why", "x")
	}
	run(t, ExitBadInput, p, "config", "apply", dir, "--why", "x", "--base=-7")
	run(t, ExitFailed, "drain", "127.0.0.1:1")
	_, msg = run(t, ExitFailed, p, "--nodes=127.0.0.1:1", "config", "apply", other, "--why", "x", "--wait=100ms")
	assert.Assert(t, strings.Contains(msg, "version 2 was accepted, but"), msg)

	server.SetFaults(standin.Faults{RefuseWrites: true})
	_, msg = run(t, ExitUnavailable, p, "config", "apply", dir, "--why", "x")
	assert.Assert(t, strings.Contains(msg, "nothing was accepted"), msg)
	server.SetFaults(standin.Faults{Refuse: true})
	run(t, ExitUnavailable, p, "config", "history")
	server.SetFaults(standin.Faults{})
	lossy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && !strings.HasPrefix(r.URL.Path, "/objects/") {
			panic(http.ErrAbortHandler)
		}
		server.ServeHTTP(w, r)
	}))
	t.Cleanup(lossy.Close)
	_, msg = run(t, ExitUnknown, "--platform", lossy.URL, "config", "apply", dir, "--why", "x")
	assert.Assert(t, strings.Contains(msg, "may have been accepted as version 3"), msg)
}

// Guards against bootstrap rows that are malformed, have another encoding or
// name a stopped node and that keep the tool from pushing to the other nodes.
func TestBootstrapRows(t *testing.T) {
	_, url := startPlatform(t)
	client, err := platformclient.New(url)
	assert.NilError(t, err)
	_, a := startNode(t)
	_, b := startNode(t)
	asJSON, err := json.Marshal(membership.Node{AdminAddr: a})
	assert.NilError(t, err)
	asMsgpack, err := msgpack.Marshal(membership.Node{AdminAddr: b})
	assert.NilError(t, err)
	stopped, err := json.Marshal(membership.Node{AdminAddr: "127.0.0.1:1"})
	assert.NilError(t, err)
	for i, row := range [][]byte{asJSON, asMsgpack, stopped, []byte("?"), nil, []byte(`{"admin_address":"x"}`), []byte("[1]")} {
		_, err := client.Put(t.Context(), tableBootstrap, fmt.Sprint(i), row, platformclient.Condition{})
		assert.NilError(t, err)
	}
	out, _ := run(t, ExitOK, "--platform="+url, "--nodes="+a, "config", "apply", writeDir(t, sampleConfig("")), "--why", "x", "--wait=2s")
	assert.Assert(t, strings.Contains(out, "2 of 3 known nodes have version 1 active"), out)
}

// Guards against example configurations that the tool rejects or whose kinds no
// longer match the requests, and have the priority and flags, that
// docs/design.md gives for the two deployments.
func TestExamples(t *testing.T) {
	for name, want := range map[string]map[string]string{
		"akwaaba": {"GET /directory/x": "browse", "POST /bookings/": "book", "GET /bookings/7": "booking-status",
			"GET /reports/7": "download-report", "PUT /partners/x": "partner-call"},
		"campanario": {"GET /catalogo/x": "catalogue", "POST /pedidos/": "order", "GET /pedidos/7": "casting-status",
			"GET /archivo/7": "download-archive", "GET /fundicion/x": "foundry-call"},
	} {
		dir := filepath.Join("..", "..", "examples", name, "config")
		run(t, ExitOK, "config", "check", dir)
		_, m, err := loadDir(dir)
		assert.NilError(t, err)
		for request, kind := range want {
			method, path, _ := strings.Cut(request, " ")
			k, ok := m.Policy.Match(method, path)
			assert.Assert(t, ok && k.Name == kind, "%s: %s", request, k.Name)
			assert.Equal(t, k.NonIdempotent, method == "POST")
			assert.Equal(t, k.Priority == policy.MaxPriority, method == "POST")
			assert.Equal(t, k.Long, strings.HasPrefix(kind, "download"))
		}
		assert.Equal(t, len(m.Policy.Regions), 2)
	}
}

// Guards against a trace that omits or misorders the lines of a request or its
// sub-calls, or that includes lines of other requests.
func TestTrace(t *testing.T) {
	dir := t.TempDir()
	entry, target := filepath.Join(dir, "entry.log"), filepath.Join(dir, "target.log")
	assert.NilError(t, os.WriteFile(entry, []byte(`not a log line
{"node":"n1","event":"refused","request":"r1","status":503,"time":"2026-01-02T00:00:00.300Z"}
{"node":"n1","event":"answered","request":"r2","time":"2026-01-02T00:00:00.100Z"}
{"node":"n1","event":"attempt-failed","request":"r1","to":"n2","time":"2026-01-02T00:00:00.200Z"}
`), 0o600))
	assert.NilError(t, os.WriteFile(target, []byte(`  1.3 n2 {"node":"n2","event":"host-refused","request":"r1","code":"overloaded","time":"2026-01-02T00:00:00.150Z"}
{"node":"n2","event":"host-refused","request":"r1.5","time":"2026-01-02T00:00:00.120Z"}
{"node":"n2","event":"answered","request":"call","cause":"r1","status":500,"time":"2026-01-02T00:00:00.110Z"}
{"node":"n2","event":"attempt-failed","request":"deep","cause":"call","time":"2026-01-02T00:00:00.105Z"}
{"node":"n2","event":"attempt-failed","request":"other","cause":"r2","time":"2026-01-02T00:00:00.104Z"}
`), 0o600))
	out, _ := run(t, ExitOK, "trace", "r1", entry, target)
	var events []string
	for line := range strings.Lines(out) {
		if f := strings.Fields(line); len(f) > 3 {
			events = append(events, f[2]+" "+f[3])
		}
	}
	assert.DeepEqual(t, events, []string{"REQUEST EVENT", "deep attempt-failed", "call answered", "r1.5 host-refused", "r1 host-refused", "r1 attempt-failed", "r1 refused"})
	assert.Assert(t, strings.Contains(out, "code=overloaded"))
	out, _ = run(t, ExitOK, "trace", "unknown", entry)
	assert.Assert(t, strings.Contains(out, "no log line is about the request"))
	run(t, ExitBadInput, "trace", "r1", filepath.Join(dir, "none"))
}
