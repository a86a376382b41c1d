package gossip

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"parsleyturn/internal/membership"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startService(t *testing.T, id, advertise string, seeds ...string) (*Service, *atomic.Uint64) {
	t.Helper()
	self := membership.Node{ID: id, Incarnation: 1, GossipAddr: advertise, Zone: "a"}
	s := New(self, "127.0.0.1:0", seeds, zerolog.Nop())
	version := &atomic.Uint64{}
	s.ConfigVersion = version.Load
	s.OnConfigVersion = func(v uint64, from membership.Node) {
		if from.ID != "" && v > version.Load() {
			version.Store(v)
			s.AnnounceConfig(v)
		}
	}
	assert.NilError(t, s.Validate())
	assert.NilError(t, s.Start(context.Background()))
	t.Cleanup(func() { assert.NilError(t, s.Stop(context.Background())) })
	return s, version
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// Six services join over real sockets, five of them with the first as their
// seed. Guards against views that do not converge, and against updates,
// configuration versions and departures that do not reach all services.
func TestServicesOnLoopback(t *testing.T) {
	first, version := startService(t, "n0", "")
	services := []*Service{first}
	versions := []*atomic.Uint64{version}
	for i := 1; i < 6; i++ {
		s, v := startService(t, fmt.Sprintf("n%d", i), "", first.Self().GossipAddr)
		services, versions = append(services, s), append(versions, v)
	}
	all := func(ok func(i int, s *Service) bool) func() bool {
		return func() bool {
			for i, s := range services {
				if !ok(i, s) {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "every view holds all nodes", all(func(i int, s *Service) bool {
		return len(s.Nodes()) == 6 && s.Nodes()[0].ID == fmt.Sprintf("n%d", i)
	}))
	before := services[1].Generation()
	services[2].Update(func(n *membership.Node) { n.Service, n.Draining = "bookings", true })
	assert.Equal(t, services[2].Self().Service, "bookings")
	eventually(t, "update reaches all services", all(func(_ int, s *Service) bool {
		n, ok := s.Node("n2")
		return ok && n.Service == "bookings" && n.Draining
	}))
	assert.Assert(t, services[1].Generation() != before)
	versions[3].Store(7)
	eventually(t, "configuration version reaches all services", all(func(i int, _ *Service) bool { return versions[i].Load() == 7 }))
	assert.NilError(t, services[5].Leave(context.Background()))
	services = services[:5]
	eventually(t, "departure reaches all remaining services", all(func(_ int, s *Service) bool {
		n, ok := s.Node("n5")
		return ok && n.State == membership.Left && len(s.Nodes()) == 5 && len(s.View().NotLive()) == 1
	}))
}

// One service advertises the address of a UDP relay. Guards against responses
// that are sent to the source address of a datagram instead of the advertised
// address of its sender. Also guards against malformed datagrams and invalid
// updates that crash the service or are not counted.
func TestRelayAndMalformedInput(t *testing.T) {
	relay, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer relay.Close()
	behind, _ := startService(t, "behind", relay.LocalAddr().String())
	var relayed atomic.Int64
	go func() {
		buf := make([]byte, receiveBufferSize)
		for {
			n, err := relay.Read(buf)
			if err != nil {
				return
			}
			relayed.Add(1)
			_, _ = relay.WriteTo(buf[:n], behind.conn.LocalAddr())
		}
	}()
	other, _ := startService(t, "other", "", relay.LocalAddr().String())
	eventually(t, "both views hold both nodes", func() bool { return len(other.Nodes()) == 2 && len(behind.Nodes()) == 2 })
	count := relayed.Load()
	eventually(t, "responses pass through the relay", func() bool { return relayed.Load() > count+2 })
	bad := malformed.Get()
	_, err = relay.WriteTo([]byte("not a message"), behind.conn.LocalAddr())
	assert.NilError(t, err)
	eventually(t, "malformed datagram is counted", func() bool { return malformed.Get() == bad+1 })
	refused := refusedUpdates.Get()
	other.Update(func(n *membership.Node) { n.Service = string(make([]byte, membership.MaxStringBytes+1)) })
	assert.Equal(t, other.Self().Service, "")
	assert.Equal(t, refusedUpdates.Get(), refused+1)
}
