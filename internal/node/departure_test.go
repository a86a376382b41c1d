package node_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"parsleyturn/internal/headers"
	"parsleyturn/internal/node"
	standin "parsleyturn/internal/standin/platform"
	"parsleyturn/internal/targetstatus"
)

// putState sends one announcement and returns the status of the response.
func putState(t *testing.T, n *testNode, state targetstatus.State, incarnation string) int {
	t.Helper()
	status, _ := putStateAfter(t, n, state, incarnation, "")
	return status
}

// putStateAfter is putState for a target that names the process of the node that its
// last announcement reached. It returns the one that this one has reached.
func putStateAfter(t *testing.T, n *testNode, state targetstatus.State, incarnation, process string) (status int, reached string) {
	t.Helper()
	body, err := json.Marshal(&targetstatus.Announcement{
		Service: "bookings", Address: "127.0.0.1:9", Slots: 10, Connections: 50, State: state, Incarnation: incarnation,
	})
	assert.NilError(t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+n.settings.TargetListenAddress+"/parsley/target", bytes.NewReader(body))
	assert.NilError(t, err)
	req.Close = true // a kept connection would be that of a process that has ended
	if process != "" {
		req.Header.Set(headers.Process, process)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get(headers.Process)
}

// stateAt returns the state of the target that the node reports.
func stateAt(t *testing.T, n *testNode) targetstatus.State {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+n.settings.TargetListenAddress+"/parsley/target", nil)
	assert.NilError(t, err)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	var a targetstatus.Announcement
	assert.NilError(t, json.Unmarshal(data, &a), "%s", data)
	return a.State
}

// A target drains or stops, its node restarts, and an announcement that the target
// sent before arrives late. Guards against new work for a target that has left, and
// against a later process of the target that is taken for the one that left.
func TestTargetThatLeftIsNotUsedAfterRestartOfItsNode(t *testing.T) {
	for _, left := range []targetstatus.State{targetstatus.Draining, targetstatus.Stopping} {
		t.Run(string(left), func(t *testing.T) {
			plat := httptest.NewServer(standin.New())
			t.Cleanup(plat.Close)
			n := startNode(t, "a", plat.URL)
			assert.Equal(t, putState(t, n, targetstatus.Ready, "1"), http.StatusNoContent)
			assert.Equal(t, putState(t, n, left, "1"), http.StatusNoContent)
			assert.Equal(t, putState(t, n, targetstatus.Ready, "1"), http.StatusNoContent)
			assert.Equal(t, stateAt(t, n), targetstatus.Draining)
			assert.NilError(t, n.Stop())

			again, err := node.New(n.settings, zerolog.Nop())
			assert.NilError(t, err)
			assert.NilError(t, again.Start(t.Context()))
			t.Cleanup(func() { _ = again.Stop() })
			assert.Equal(t, putState(t, n, targetstatus.Ready, "1"), http.StatusNoContent)
			assert.Equal(t, stateAt(t, n), targetstatus.Draining)
			assert.Equal(t, putState(t, n, targetstatus.Ready, "2"), http.StatusNoContent)
			assert.Equal(t, stateAt(t, n), targetstatus.Ready)
		})
	}
}

// Guards against an acknowledgement of a departure that nothing keeps: the platform is
// away and there is no other node.
func TestDepartureThatIsNotKeptIsNotAcknowledged(t *testing.T) {
	plat := standin.New()
	server := httptest.NewServer(plat)
	t.Cleanup(server.Close)
	n := startNode(t, "a", server.URL)
	t.Cleanup(func() { _ = n.Stop() })
	assert.Equal(t, putState(t, n, targetstatus.Ready, "1"), http.StatusNoContent)
	plat.SetFaults(standin.Faults{Refuse: true})
	assert.Equal(t, putState(t, n, targetstatus.Draining, "1"), http.StatusServiceUnavailable)
	assert.Equal(t, stateAt(t, n), targetstatus.Draining)
	plat.SetFaults(standin.Faults{})
	assert.Equal(t, putState(t, n, targetstatus.Draining, "1"), http.StatusNoContent)
}

// A target leaves, the platform goes away, the node is killed, and an announcement from
// before arrives late. Guards against a departure that is taken for none because it
// cannot be read, and against a target that is lost although it says that it is ready.
func TestDepartureIsNotForgottenWhileThePlatformIsAway(t *testing.T) {
	plat := standin.New()
	server := httptest.NewServer(plat)
	t.Cleanup(server.Close)
	n := startNode(t, "a", server.URL)
	assert.Equal(t, putState(t, n, targetstatus.Ready, "1"), http.StatusNoContent)
	assert.Equal(t, putState(t, n, targetstatus.Draining, "1"), http.StatusNoContent)
	plat.SetFaults(standin.Faults{Refuse: true})
	assert.NilError(t, n.Stop())
	again, err := node.New(n.settings, zerolog.Nop())
	assert.NilError(t, err)
	assert.NilError(t, again.Start(t.Context()))
	t.Cleanup(func() { _ = again.Stop() })

	assert.Equal(t, putState(t, n, targetstatus.Ready, "1"), http.StatusNoContent)
	assert.Equal(t, stateAt(t, n), targetstatus.Draining)
	_, process := putStateAfter(t, n, targetstatus.Ready, "2", "")
	assert.Equal(t, stateAt(t, n), targetstatus.Draining)
	assert.Assert(t, process != "")
	_, _ = putStateAfter(t, n, targetstatus.Ready, "2", process)
	assert.Equal(t, stateAt(t, n), targetstatus.Ready)
	assert.Equal(t, putState(t, n, targetstatus.Ready, "1"), http.StatusNoContent)
	assert.Equal(t, stateAt(t, n), targetstatus.Ready, "a late announcement of another incarnation took the place of the target")
}

// Guards against an acknowledgement of a departure that only other nodes hold: it would
// be forgotten if all nodes were killed while the platform is away.
func TestOtherNodesDoNotSufficeForADeparture(t *testing.T) {
	plat := standin.New()
	server := httptest.NewServer(plat)
	t.Cleanup(server.Close)
	a := startNode(t, "a", server.URL)
	t.Cleanup(func() { _ = a.Stop() })
	b := startNode(t, "b", server.URL, a.settings.GossipAddress)
	t.Cleanup(func() { _ = b.Stop() })
	assert.Equal(t, putState(t, b, targetstatus.Ready, "1"), http.StatusNoContent)
	time.Sleep(time.Second) // the nodes know each other
	plat.SetFaults(standin.Faults{Refuse: true})
	assert.Equal(t, putState(t, b, targetstatus.Draining, "1"), http.StatusServiceUnavailable)
	assert.Equal(t, stateAt(t, b), targetstatus.Draining)
	plat.SetFaults(standin.Faults{})
	assert.Equal(t, putState(t, b, targetstatus.Draining, "1"), http.StatusNoContent)
}
