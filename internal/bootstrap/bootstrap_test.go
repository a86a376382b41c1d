package bootstrap

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"slices"
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

func (f *fakeMembers) learned() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.seeds)
}

func node(zone string, i int) membership.Node {
	return membership.Node{ID: fmt.Sprintf("n%02d", i), Zone: zone, GossipAddr: fmt.Sprintf("10.0.0.%d:7002", i)}
}

func service(t *testing.T, nodes ...membership.Node) (*Service, *fakeMembers, *platformclient.Client, *standin.Server) {
	t.Helper()
	table := standin.New()
	server := httptest.NewServer(table)
	t.Cleanup(server.Close)
	client, err := platformclient.New(server.URL)
	assert.NilError(t, err)
	members := &fakeMembers{nodes: nodes}
	s := New(client, zerolog.Nop())
	s.members, s.Store = members, client
	return s, members, client, table
}

func put(t *testing.T, c *platformclient.Client, n membership.Node, written time.Time) {
	t.Helper()
	data, err := msgpack.Marshal(row{n.ID, 1, n.GossipAddr, n.AdminAddr, written.UnixMilli()})
	assert.NilError(t, err)
	_, err = c.Put(context.Background(), Table, Key(n.Zone, n.ID), data, platformclient.Condition{})
	assert.NilError(t, err)
}

// Guards against more than five writers per zone, and against a node that
// keeps its row when it is no longer among the lowest.
func TestOnlyLowestIdsWrite(t *testing.T) {
	ctx := context.Background()
	others := []membership.Node{node("b", 0), node("b", 1), node("a/1", 1), node("a/1", 2), node("a/1", 3), node("a/1", 4)}
	s, members, client, _ := service(t, append([]membership.Node{node("a/1", 9)}, others...)...)
	s.write(ctx)
	rows, err := client.List(ctx, Table, "a%2F1/", "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Key, "a%2F1/n09")
	members.nodes = append(members.nodes, node("a/1", 5))
	s.write(ctx)
	_, err = client.Get(ctx, Table, Key("a/1", "n09"))
	assert.Assert(t, errors.Is(err, platformclient.ErrNotFound))
}

// Guards against old rows that are tried, and against a reader with a wrong
// clock that finds nobody or deletes the rows of others.
func TestAgeOfRows(t *testing.T) {
	ctx := context.Background()
	s, members, client, _ := service(t, node("a", 9))
	wall := time.Now()
	put(t, client, node("a", 1), wall)
	put(t, client, node("a", 2), wall.Add(-3*time.Minute))
	put(t, client, node("b", 3), wall.Add(-time.Minute))
	put(t, client, node("b", 4), wall.Add(time.Hour))
	_, err := client.Put(ctx, Table, "b/broken", []byte{0xc1}, platformclient.Condition{})
	assert.NilError(t, err)
	s.join(ctx)
	assert.DeepEqual(t, members.learned(), []string{"10.0.0.1:7002", "10.0.0.3:7002"})
	put(t, client, node("b", 4), wall.Add(time.Hour))
	s.join(ctx)
	assert.DeepEqual(t, members.learned(), []string{"10.0.0.1:7002", "10.0.0.3:7002", "10.0.0.4:7002"})
	s.Now = func() time.Time { return wall.Add(24 * time.Hour) }
	s.write(ctx)
	rows, err := client.List(ctx, Table, "", "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 6)
	for key, seen := range s.ages {
		seen.since -= maxAge + time.Second
		s.ages[key] = seen
	}
	put(t, client, node("a", 1), wall)
	s.write(ctx)
	rows, err = client.List(ctx, Table, "a/", "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 2) // n02 was deleted; n01 changed and n09 is the own row
}

// Guards against a service that does not read at the start, gives up while the
// platform is down, or leaves its row behind.
func TestRunThroughOutage(t *testing.T) {
	ctx := context.Background()
	s, members, client, table := service(t, node("a", 9))
	put(t, client, node("a", 1), time.Now())
	table.SetFaults(standin.Faults{Refuse: true})
	s.FirstReadDelay, s.FirstWriteDelay = time.Millisecond, 50*time.Millisecond
	assert.NilError(t, s.Start(ctx))
	before := table.Counts().Reads
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if table.Counts().Reads > before {
			return poll.Success()
		}
		return poll.Continue("no read")
	})
	table.SetFaults(standin.Faults{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(members.learned()) == 1 {
			return poll.Success()
		}
		return poll.Continue("no seed")
	})
	assert.NilError(t, s.Stop(ctx))
	_, err := client.Get(ctx, Table, Key("a", "n09"))
	assert.Assert(t, errors.Is(err, platformclient.ErrNotFound))
	none := New(nil, zerolog.Nop())
	assert.NilError(t, none.Start(ctx))
	assert.NilError(t, none.Stop(ctx))
}
