package bootstrap

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"parsleyturn/internal/membership"
	"parsleyturn/internal/platformclient"
	standin "parsleyturn/internal/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fakeMembers struct {
	mu    sync.Mutex
	nodes []membership.Node
	seeds []string
}

func (f *fakeMembers) Nodes() []membership.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes
}

func (f *fakeMembers) SetDiscoveredSeeds(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = addresses
}

func (f *fakeMembers) discovered() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.seeds)
}

func node(zone string, i int) membership.Node {
	return membership.Node{ID: fmt.Sprintf("n%02d", i), Zone: zone, GossipAddr: fmt.Sprintf("10.0.0.%d:7002", i)}
}

func newTestService(t *testing.T, nodes ...membership.Node) (*Service, *fakeMembers, *platformclient.Client, *standin.Server) {
	t.Helper()
	store := standin.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	client, err := platformclient.New(server.URL)
	assert.NilError(t, err)
	members := &fakeMembers{nodes: nodes}
	s := New(client, zerolog.Nop())
	s.members, s.Store = members, client
	return s, members, client, store
}

func putRow(t *testing.T, c *platformclient.Client, n membership.Node, written time.Time) {
	t.Helper()
	data, err := msgpack.Marshal(row{n.ID, 1, n.GossipAddr, n.AdminAddr, written.UnixMilli()})
	assert.NilError(t, err)
	_, err = c.Put(context.Background(), Table, Key(n.Zone, n.ID), data, platformclient.Condition{})
	assert.NilError(t, err)
}

// Only the three nodes with the lowest IDs of an availability zone write a row.
// Guards against too few writers because nodes of other zones are counted, and
// against a node that keeps its row after three nodes with lower IDs have joined.
func TestOnlyLowestIdsWrite(t *testing.T) {
	ctx := context.Background()
	others := []membership.Node{node("b", 0), node("b", 1), node("a/1", 1), node("a/1", 2)}
	s, members, client, _ := newTestService(t, append([]membership.Node{node("a/1", 9)}, others...)...)
	s.writeRow(ctx)
	rows, err := client.List(ctx, Table, "a%2F1/", "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Key, "a%2F1/n09")
	members.nodes = append(members.nodes, node("a/1", 5))
	s.writeRow(ctx)
	_, err = client.Get(ctx, Table, Key("a/1", "n09"))
	assert.Assert(t, errors.Is(err, platformclient.ErrNotFound))
}

// Many nodes of one zone start at once with an empty table. Guards against nodes
// that call the store more often than once each, apart from the few that write a
// row, and against a zone without rows.
func TestManyNodesStartWithFewCalls(t *testing.T) {
	const nodes = 60
	ctx := context.Background()
	_, _, client, store := newTestService(t, node("a", 0))
	for i := range nodes {
		s := New(client, zerolog.Nop())
		s.members = &fakeMembers{nodes: []membership.Node{node("a", i)}}
		s.FirstReadDelay, s.FirstWriteDelay = 300*time.Millisecond, 100*time.Millisecond
		assert.NilError(t, s.Start(ctx))
		t.Cleanup(func() { assert.NilError(t, s.Stop(ctx)) })
	}
	time.Sleep(minBackoff / 2) // later reads are those of nodes that found no peer
	counts := store.Counts()
	assert.Assert(t, counts.Reads <= nodes, "%d reads", counts.Reads)
	assert.Assert(t, counts.Writes >= writersPerZone && counts.Writes < nodes/4, "%d writes", counts.Writes)
	rows, err := client.List(ctx, Table, "a/", "", nodes)
	assert.NilError(t, err)
	assert.Equal(t, int64(len(rows)), counts.Writes)
}

// Rows are old, malformed, or written by a node whose clock is an hour ahead.
// Guards against trying the addresses of old or malformed rows, against never
// trying a row that changes but has a wrong timestamp, and against a writer
// whose clock is a day ahead and which deletes the rows of other nodes.
func TestAgeOfRows(t *testing.T) {
	ctx := context.Background()
	s, members, client, _ := newTestService(t, node("a", 0))
	wall := time.Now()
	putRow(t, client, node("a", 1), wall)
	putRow(t, client, node("a", 2), wall.Add(-3*time.Minute))
	putRow(t, client, node("b", 3), wall.Add(-time.Minute))
	putRow(t, client, node("b", 4), wall.Add(time.Hour))
	_, err := client.Put(ctx, Table, "b/broken", []byte{0xc1}, platformclient.Condition{})
	assert.NilError(t, err)
	s.discoverSeeds(ctx)
	assert.DeepEqual(t, members.discovered(), []string{"10.0.0.1:7002", "10.0.0.3:7002"})
	putRow(t, client, node("b", 4), wall.Add(time.Hour))
	s.discoverSeeds(ctx)
	assert.DeepEqual(t, members.discovered(), []string{"10.0.0.1:7002", "10.0.0.3:7002", "10.0.0.4:7002"})
	s.Now = func() time.Time { return wall.Add(24 * time.Hour) }
	s.writeRow(ctx)
	rows, err := client.List(ctx, Table, "", "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 6)
	for key, seen := range s.observations {
		seen.since -= maxAge + time.Second
		s.observations[key] = seen
	}
	putRow(t, client, node("a", 1), wall)
	s.writeRow(ctx)
	rows, err = client.List(ctx, Table, "a/", "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 2) // n02 was deleted; n01 has changed, and n00 is this node's own row
}

// Another writer leaves odd rows in the table. Guards against one that ends the node
// or hides the others.
func TestOddRowsAreSkipped(t *testing.T) {
	ctx := context.Background()
	s, members, client, _ := newTestService(t, node("a", 0))
	encode := func(r any) []byte {
		data, err := msgpack.Marshal(r)
		assert.NilError(t, err)
		return data
	}
	now := time.Now().UnixMilli()
	odd := map[string][]byte{
		"nested": []byte(strings.Repeat("\x91", 60000)), "nested field": []byte("\x81\xa3odd" + strings.Repeat("\x91", 60000)),
		"port": encode(row{"n90", 1, "10.0.0.1:99999", "", now}), "no port": encode(row{"n91", 1, "10.0.0.1", "", now}), "port 0": encode(row{"n92", 1, "10.0.0.1:0", "", now}),
		"long id": encode(row{strings.Repeat("n", 10000), 1, "10.0.0.1:7", "", now}), "number": encode(map[string]any{"n": "n93", "g": "10.0.0.1:7", "i": "92233720368547758070"}),
		"list": encode([]int{1}), "empty": nil, "length": []byte("\x81\xa1g\xdb\xff\xff\xff\xff"),
	}
	for name, data := range odd {
		_, err := client.Put(ctx, Table, "a/"+url.PathEscape(name), data, platformclient.Condition{})
		assert.NilError(t, err)
	}
	putRow(t, client, node("z", 1), time.Now())
	before := malformedRow.Get()
	assert.Assert(t, s.discoverSeeds(ctx))
	assert.DeepEqual(t, members.discovered(), []string{"10.0.0.1:7002"})
	assert.Equal(t, malformedRow.Get()-before, uint64(len(odd)))
}

// The platform refuses requests when the service starts, and recovers later.
// Guards against a service that does not read at the start, that stops reading
// after a failed read, or that leaves a row behind when it stops.
func TestRunThroughOutage(t *testing.T) {
	ctx := context.Background()
	s, members, client, store := newTestService(t, node("a", 9))
	putRow(t, client, node("a", 1), time.Now())
	store.SetFaults(standin.Faults{Refuse: true})
	s.FirstReadDelay, s.FirstWriteDelay = time.Millisecond, 50*time.Millisecond
	assert.NilError(t, s.Start(ctx))
	before := store.Counts().Reads
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if store.Counts().Reads > before {
			return poll.Success()
		}
		return poll.Continue("no rows have been read")
	})
	store.SetFaults(standin.Faults{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(members.discovered()) == 1 {
			return poll.Success()
		}
		return poll.Continue("no seed has been discovered")
	})
	assert.NilError(t, s.Stop(ctx))
	_, err := client.Get(ctx, Table, Key("a", "n09"))
	assert.Assert(t, errors.Is(err, platformclient.ErrNotFound))
	none := New(nil, zerolog.Nop())
	assert.NilError(t, none.Start(ctx))
	assert.NilError(t, none.Stop(ctx))
}
