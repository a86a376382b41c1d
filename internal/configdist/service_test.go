package configdist

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"parsleyturn/internal/configstore"
	"parsleyturn/internal/platformclient"
	"parsleyturn/internal/policy"
	standin "parsleyturn/internal/standin/platform"
)

func sampleFiles(n int, changed string) []policy.File {
	files := make([]policy.File, n)
	for i := range files {
		content := fmt.Sprintf("team = \"t%d\"\n[service.s%d]\n[kind.k%d]\nservice = \"s%d\"\npath_prefix = \"/s%d/\"\npriority = 5\n", i, i, i, i, i)
		if i == 0 {
			content += changed
		}
		files[i] = policy.File{Name: fmt.Sprintf("%04d.toml", i), Content: []byte(content)}
	}
	return files
}

type fixture struct {
	t      testing.TB
	server *standin.Server
	store  *configstore.Store
}

func newFixture(t testing.TB) *fixture {
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, leaks) })
	f := &fixture{t: t, server: standin.New()}
	h := httptest.NewServer(f.server)
	t.Cleanup(h.Close)
	client, err := platformclient.New(h.URL)
	assert.NilError(t, err)
	f.store = configstore.New(client)
	return f
}

func (f *fixture) acceptVersion(base uint64, files []policy.File) configstore.Record {
	rec, err := f.store.Apply(f.t.Context(), configstore.Change{ChangeID: configstore.NewChangeID(), Base: base, Files: files})
	assert.NilError(f.t, err)
	return rec
}

type node struct {
	*Service
	addr     string
	requests atomic.Int64
}

// newNode returns a node that serves its configuration but is not started.
func (f *fixture) newNode(peers ...string) *node {
	n := &node{Service: &Service{Store: f.store, Peers: func() []string { return peers }}}
	mux := http.NewServeMux()
	n.Mount(mux)
	h := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		n.requests.Add(1)
		mux.ServeHTTP(rw, r)
	}))
	f.t.Cleanup(h.Close)
	n.addr = strings.TrimPrefix(h.URL, "http://")
	return n
}

func (f *fixture) startNode(n *node) {
	assert.NilError(f.t, n.Start(f.t.Context()))
	f.t.Cleanup(func() { assert.NilError(f.t, n.Stop(context.Background())) })
}

func (f *fixture) awaitVersion(n *node, version uint64) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if n.Version() == version {
			return poll.Success()
		}
		return poll.Continue("version %d is active", n.Version())
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against a node that fetches more than the changed file, or that reads
// from the platform although the announcing peer has the version.
func TestOneFileChangeFromPeer(t *testing.T) {
	f := newFixture(t)
	first := f.acceptVersion(0, sampleFiles(110, ""))
	a, b := f.newNode(), f.newNode()
	var announced atomic.Uint64
	b.OnAdopt = func(v uint64) { announced.Store(v) }
	for _, n := range []*node{a, b} {
		_, err := n.Adopt(first, sampleFiles(110, ""))
		assert.NilError(t, err)
		f.startNode(n)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.server.Counts().Reads >= 3 {
			return poll.Success()
		}
		return poll.Continue("waiting for the first polls")
	})
	second := f.acceptVersion(1, sampleFiles(110, "retries = 1\n"))
	_, err := a.Adopt(second, sampleFiles(110, "retries = 1\n"))
	assert.NilError(t, err)
	before := f.server.Counts().Reads
	b.ObservePeerVersion(2, a.addr)
	f.awaitVersion(b, 2)
	// The version becomes active shortly before OnAdopt is called.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := announced.Load(); got != 2 {
			return poll.Continue("OnAdopt was last called for version %d", got)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Second), poll.WithDelay(time.Millisecond))
	assert.Equal(t, a.requests.Load(), int64(2))
	assert.Equal(t, f.server.Counts().Reads, before)
	// A lower version is not adopted, whether a peer announces it or it is
	// passed to Adopt.
	b.ObservePeerVersion(1, a.addr)
	adopted, err := b.Adopt(first, sampleFiles(110, ""))
	assert.NilError(t, err)
	assert.Assert(t, !adopted && b.Version() == 2)
}

// Guards against a node that cannot start during an outage of the platform, or
// that keeps the version of its peers after the platform is back.
func TestStartDuringOutage(t *testing.T) {
	f := newFixture(t)
	old := f.acceptVersion(0, sampleFiles(5, ""))
	newer := f.acceptVersion(1, sampleFiles(5, "retries = 1\n"))
	f.acceptVersion(2, sampleFiles(5, "retries = 2\n"))
	a, b := f.newNode(), f.newNode()
	_, err := a.Adopt(old, sampleFiles(5, ""))
	assert.NilError(t, err)
	_, err = b.Adopt(newer, sampleFiles(5, "retries = 1\n"))
	assert.NilError(t, err)
	f.server.SetFaults(standin.Faults{Refuse: true})
	n := f.newNode(a.addr, b.addr, "127.0.0.1:1")
	n.LiveNodes = func() int { return 3000 }
	n.SetLocalAddr(net.IPv4(127, 0, 0, 1))
	short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	assert.ErrorContains(t, n.AwaitFirst(short), "no configuration yet")
	f.startNode(n)
	assert.NilError(t, n.AwaitFirst(t.Context()))
	f.awaitVersion(n, 2)
	f.server.SetFaults(standin.Faults{})
	f.awaitVersion(n, 3)
}

// Guards against adoption of content that does not match its hash or does not
// parse, and against a node that stops trying other peers after two of them
// sent invalid content.
func TestBadPeers(t *testing.T) {
	f := newFixture(t)
	first := f.acceptVersion(0, sampleFiles(3, ""))
	second := configstore.Record{Version: 2, Manifest: configstore.NewManifest(sampleFiles(3, "retries = 1\n"))}
	broken := configstore.Record{Version: 2, Manifest: configstore.NewManifest(sampleFiles(3, "retries = 99\n"))}
	badPeer := func(rec configstore.Record, content string) string {
		h := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == PathRecord {
				_ = json.NewEncoder(rw).Encode(rec)
				return
			}
			_, _ = rw.Write([]byte(content))
		}))
		t.Cleanup(h.Close)
		return strings.TrimPrefix(h.URL, "http://")
	}
	wrong, invalid := badPeer(second, "other"), badPeer(broken, string(sampleFiles(1, "retries = 99\n")[0].Content))
	good, n := f.newNode(), f.newNode()
	for _, x := range []*node{good, n} {
		_, err := x.Adopt(first, sampleFiles(3, ""))
		assert.NilError(t, err)
	}
	_, err := good.Adopt(second, sampleFiles(3, "retries = 1\n"))
	assert.NilError(t, err)
	f.server.SetFaults(standin.Faults{Refuse: true})
	before := rejected.Get()
	f.startNode(n)
	n.ObservePeerVersion(2, wrong)
	n.ObservePeerVersion(2, invalid)
	n.ObservePeerVersion(2, good.addr)
	f.awaitVersion(n, 2)
	assert.Equal(t, rejected.Get()-before, uint64(2))
	assert.Equal(t, n.ActiveConfig().Policy.Kinds["k0"].Retries, 1)
}

// Guards against starting nodes that read every file from the object store,
// which would overload it when 3,000 nodes start. The files have to come from
// peers and only the record from the platform.
func TestStartReadsFilesFromPeers(t *testing.T) {
	f := newFixture(t)
	rec := f.acceptVersion(0, sampleFiles(30, ""))
	a := f.newNode()
	_, err := a.Adopt(rec, sampleFiles(30, ""))
	assert.NilError(t, err)
	before := f.server.Counts().Reads
	n := f.newNode(a.addr)
	f.startNode(n)
	f.awaitVersion(n, 1)
	assert.Equal(t, f.server.Counts().Reads-before, int64(1))
}

// Guards against a push that is adopted although files are missing, content
// does not match its hash, or the version is below the active one.
func TestPush(t *testing.T) {
	f := newFixture(t)
	n := f.newNode()
	files := sampleFiles(2, "")
	push := func(version uint64, content map[string][]byte) (int, PushResponse) {
		body, err := json.Marshal(PushRequest{configstore.Record{Version: version, Manifest: configstore.NewManifest(files)}, content})
		assert.NilError(t, err)
		resp, err := http.Post("http://"+n.addr+PathPush, "application/json", bytes.NewReader(body))
		assert.NilError(t, err)
		defer resp.Body.Close()
		var out PushResponse
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&out))
		return resp.StatusCode, out
	}
	hash0, hash1 := configstore.Hash(files[0].Content), configstore.Hash(files[1].Content)
	status, out := push(5, map[string][]byte{hash0: files[0].Content})
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	assert.DeepEqual(t, out.Missing, []string{hash1})
	status, _ = push(5, map[string][]byte{hash0: files[0].Content, hash1: []byte("team = \"x\"")})
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Equal(t, n.Version(), uint64(0))
	_, out = push(5, map[string][]byte{hash0: files[0].Content, hash1: files[1].Content})
	assert.DeepEqual(t, out, PushResponse{Version: 5, Adopted: true})
	status, out = push(4, nil)
	assert.Equal(t, status, http.StatusOK)
	assert.DeepEqual(t, out, PushResponse{Version: 5})
	http.DefaultClient.CloseIdleConnections()
}
