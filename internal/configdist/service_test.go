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

func sample(n int, changed string) []policy.File {
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

type world struct {
	t      testing.TB
	server *standin.Server
	store  *configstore.Store
}

func newWorld(t testing.TB) *world {
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, leaks) })
	w := &world{t: t, server: standin.New()}
	h := httptest.NewServer(w.server)
	t.Cleanup(h.Close)
	client, err := platformclient.New(h.URL)
	assert.NilError(t, err)
	w.store = configstore.New(client)
	return w
}

func (w *world) accept(base uint64, files []policy.File) configstore.Record {
	rec, err := w.store.Apply(w.t.Context(), configstore.Change{ChangeID: configstore.NewChangeID(), Base: base, Files: files})
	assert.NilError(w.t, err)
	return rec
}

type node struct {
	*Service
	addr     string
	requests atomic.Int64
}

// node returns a node that serves its configuration; it is not started.
func (w *world) node(peers ...string) *node {
	n := &node{Service: &Service{Store: w.store, Peers: func() []string { return peers }}}
	mux := http.NewServeMux()
	n.Mount(mux)
	h := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		n.requests.Add(1)
		mux.ServeHTTP(rw, r)
	}))
	w.t.Cleanup(h.Close)
	n.addr = strings.TrimPrefix(h.URL, "http://")
	return n
}

func (w *world) start(n *node) {
	assert.NilError(w.t, n.Start(w.t.Context()))
	w.t.Cleanup(func() { assert.NilError(w.t, n.Stop(context.Background())) })
}

func (w *world) await(n *node, version uint64) {
	w.t.Helper()
	poll.WaitOn(w.t, func(poll.LogT) poll.Result {
		if n.Version() == version {
			return poll.Success()
		}
		return poll.Continue("version %d in force", n.Version())
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against a node that fetches more than the changed file, or that goes
// to the platform although the announcing peer has the version.
func TestOneFileChangeFromPeer(t *testing.T) {
	w := newWorld(t)
	first := w.accept(0, sample(110, ""))
	a, b := w.node(), w.node()
	var announced atomic.Uint64
	b.OnAdopt = func(v uint64) { announced.Store(v) }
	for _, n := range []*node{a, b} {
		_, err := n.Adopt(first, sample(110, ""))
		assert.NilError(t, err)
		w.start(n)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if w.server.Counts().Reads >= 3 {
			return poll.Success()
		}
		return poll.Continue("first polls")
	})
	second := w.accept(1, sample(110, "retries = 1\n"))
	_, err := a.Adopt(second, sample(110, "retries = 1\n"))
	assert.NilError(t, err)
	before := w.server.Counts().Reads
	b.ObservePeerVersion(2, a.addr)
	w.await(b, 2)
	// The version is in force an instant before it is announced.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := announced.Load(); got != 2 {
			return poll.Continue("version %d was announced", got)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Second), poll.WithDelay(time.Millisecond))
	assert.Equal(t, a.requests.Load(), int64(2))
	assert.Equal(t, w.server.Counts().Reads, before)
	// A lower version is never adopted, wherever it is seen.
	b.ObservePeerVersion(1, a.addr)
	adopted, err := b.Adopt(first, sample(110, ""))
	assert.NilError(t, err)
	assert.Assert(t, !adopted && b.Version() == 2)
}

// Guards against a node that cannot start during an outage, or that stays
// with its peers' version once the platform is back.
func TestStartDuringOutage(t *testing.T) {
	w := newWorld(t)
	old := w.accept(0, sample(5, ""))
	newer := w.accept(1, sample(5, "retries = 1\n"))
	w.accept(2, sample(5, "retries = 2\n"))
	a, b := w.node(), w.node()
	_, err := a.Adopt(old, sample(5, ""))
	assert.NilError(t, err)
	_, err = b.Adopt(newer, sample(5, "retries = 1\n"))
	assert.NilError(t, err)
	w.server.SetFaults(standin.Faults{Refuse: true})
	n := w.node(a.addr, b.addr, "127.0.0.1:1")
	n.LiveNodes = func() int { return 3000 }
	n.SetLocalAddr(net.IPv4(127, 0, 0, 1))
	short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	assert.ErrorContains(t, n.AwaitFirst(short), "no configuration yet")
	w.start(n)
	assert.NilError(t, n.AwaitFirst(t.Context()))
	w.await(n, 2)
	w.server.SetFaults(standin.Faults{})
	w.await(n, 3)
}

// Guards against adoption of content that does not match or parse, and
// against a node that gives up after one bad peer.
func TestBadPeers(t *testing.T) {
	w := newWorld(t)
	first := w.accept(0, sample(3, ""))
	second := configstore.Record{Version: 2, Manifest: configstore.NewManifest(sample(3, "retries = 1\n"))}
	broken := configstore.Record{Version: 2, Manifest: configstore.NewManifest(sample(3, "retries = 99\n"))}
	liar := func(rec configstore.Record, content string) string {
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
	wrong, invalid := liar(second, "other"), liar(broken, string(sample(1, "retries = 99\n")[0].Content))
	good, n := w.node(), w.node()
	for _, x := range []*node{good, n} {
		_, err := x.Adopt(first, sample(3, ""))
		assert.NilError(t, err)
	}
	_, err := good.Adopt(second, sample(3, "retries = 1\n"))
	assert.NilError(t, err)
	w.server.SetFaults(standin.Faults{Refuse: true})
	before := rejected.Get()
	w.start(n)
	n.ObservePeerVersion(2, wrong)
	n.ObservePeerVersion(2, invalid)
	n.ObservePeerVersion(2, good.addr)
	w.await(n, 2)
	assert.Equal(t, rejected.Get()-before, uint64(2))
	assert.Equal(t, n.ActiveConfig().Policy.Kinds["k0"].Retries, 1)
}

// Guards against 3,000 starting nodes that read every file from the object
// store: peers give the files, the platform only the record.
func TestStartReadsFilesFromPeers(t *testing.T) {
	w := newWorld(t)
	rec := w.accept(0, sample(30, ""))
	a := w.node()
	_, err := a.Adopt(rec, sample(30, ""))
	assert.NilError(t, err)
	before := w.server.Counts().Reads
	n := w.node(a.addr)
	w.start(n)
	w.await(n, 1)
	assert.Equal(t, w.server.Counts().Reads-before, int64(1))
}

// Guards against a push that is adopted without its files, unchecked, or
// below the version in force.
func TestPush(t *testing.T) {
	w := newWorld(t)
	n := w.node()
	files := sample(2, "")
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
