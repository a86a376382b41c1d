// Package demo runs a small mesh in one process as a demonstration, with
// stand-ins for the platform and the targets.
package demo

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"parsleyturn/internal/configstore"
	"parsleyturn/internal/headers"
	"parsleyturn/internal/node"
	"parsleyturn/internal/platformclient"
	"parsleyturn/internal/policy"
	"parsleyturn/internal/settings"
	standin "parsleyturn/internal/standin/platform"
	"parsleyturn/internal/standin/target"
)

//go:embed policy.toml
var policyFile []byte

const readyTimeout = 15 * time.Second

// vm is one simulated VM of the mesh, with a node and a target.
type vm struct {
	id, region, zone, service string
}

var vms = []vm{
	{"ashanti-1-directory", "Ashanti", "ashanti-1", "directory"},
	{"ashanti-1-bookings", "Ashanti", "ashanti-1", "bookings"},
	{"accra-1-directory", "Greater Accra", "accra-1", "directory"},
	{"accra-1-reports", "Greater Accra", "accra-1", "reports"},
}

// Mesh is a running mesh of nodes, targets and a stand-in platform.
type Mesh struct {
	// CallerAddress and AdminAddress are the caller and administration
	// addresses of the first node.
	CallerAddress string
	AdminAddress  string
	// PlatformURL is the base URL of the stand-in platform.
	PlatformURL string
	// AdminAddresses are the administration addresses of all nodes.
	AdminAddresses []string

	platform *http.Server
	// stopNodes has one function per node, in the order of their start. Each
	// stops its node at most once.
	stopNodes []func() error
	targets   []*target.Server
}

// Start starts the mesh and waits until it is ready. callerAddress and
// adminAddress are the addresses of the first node; all other addresses are
// chosen by the operating system.
func Start(ctx context.Context, callerAddress, adminAddress string, log zerolog.Logger) (*Mesh, error) {
	m := &Mesh{CallerAddress: callerAddress, AdminAddress: adminAddress}
	if err := m.start(ctx, log); err != nil {
		return nil, errors.Join(err, m.Stop())
	}
	return m, nil
}

func (m *Mesh) start(ctx context.Context, log zerolog.Logger) error {
	if err := m.startPlatform(ctx); err != nil {
		return err
	}
	seeds := []string{}
	for i, v := range vms {
		s, err := m.nodeSettings(i, v, seeds)
		if err != nil {
			return err
		}
		n, err := node.New(s, log)
		if err != nil {
			return err
		}
		if err := n.Start(ctx); err != nil {
			return err
		}
		m.stopNodes = append(m.stopNodes, stopWhenDraining(n))
		m.AdminAddresses = append(m.AdminAddresses, s.AdminAddress)
		if i == 0 {
			seeds = append(seeds, s.GossipAddress)
			m.CallerAddress, m.AdminAddress = s.CallerAddress, s.AdminAddress
		}
		if err := m.startTarget(ctx, v, s.TargetListenAddress); err != nil {
			return err
		}
	}
	return m.awaitReady(ctx)
}

// stopWhenDraining returns a function that stops the node once, and also calls it
// when a drain is requested through the administration API.
func stopWhenDraining(n *node.Node) func() error {
	stop := sync.OnceValue(n.Stop)
	go func() {
		<-n.Draining()
		_ = stop()
	}()
	return stop
}

// startPlatform starts the stand-in platform and applies the policy.
func (m *Mesh) startPlatform(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for stand-in platform: %w", err)
	}
	m.PlatformURL = "http://" + l.Addr().String()
	m.platform = &http.Server{Handler: standin.New(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = m.platform.Serve(l) }()
	client, err := platformclient.New(m.PlatformURL)
	if err != nil {
		return err
	}
	_, err = configstore.New(client).Apply(ctx, configstore.Change{
		ChangeID: "demo", Author: "parsleydemo", Reason: "first configuration", Action: "apply", Time: time.Now(),
		Files: []policy.File{{Name: "10-demo.toml", Content: policyFile}},
	})
	return err
}

func (m *Mesh) nodeSettings(i int, v vm, seeds []string) (*settings.Node, error) {
	addresses := make([]string, 5)
	for j := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free address: %w", err)
		}
		addresses[j] = l.Addr().String()
		defer l.Close()
	}
	if i == 0 {
		addresses[0], addresses[4] = m.CallerAddress, m.AdminAddress
	}
	content := fmt.Sprintf(`id = %q
region = %q
availability_zone = %q
caller_address = %q
target_address = %q
link_address = %q
gossip_address = %q
admin_address = %q
platform = %q
`, v.id, v.region, v.zone, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], m.PlatformURL)
	s, err := settings.Parse(v.id, []byte(content))
	if err != nil {
		return nil, err
	}
	s.Seeds = seeds
	return s, nil
}

func (m *Mesh) startTarget(ctx context.Context, v vm, nodeAddress string) error {
	cfg := target.Config{
		Service: v.service, Node: "http://" + nodeAddress, Slots: 20, Connections: 200, Seed: 1,
		Routes: []target.Route{
			{PathPrefix: "/directory/", TimeMS: 5, Distribution: "lognormal", BodyBytes: 160, Text: true},
			{PathPrefix: "/bookings/", TimeMS: 20, BodyBytes: 160, Text: true, SubCalls: []target.SubCall{{Method: "GET", Path: "/directory/{id}"}}},
			{PathPrefix: "/reports/", TimeMS: 10, BodyBytes: 1_000_000, Text: true},
		},
	}
	t, err := target.New(cfg)
	if err != nil {
		return err
	}
	if err := t.Start(ctx); err != nil {
		return err
	}
	m.targets = append(m.targets, t)
	return nil
}

// awaitReady waits until the first node serves requests to each service.
func (m *Mesh) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, probe := range []struct{ method, path string }{
		{http.MethodGet, "/directory/ready"}, {http.MethodGet, "/reports/ready"}, {http.MethodPost, "/bookings/ready"},
	} {
		for {
			if m.serves(ctx, probe.method, probe.path) {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("mesh is not ready: no successful response to %s %s within %s; show the log of the nodes with --verbose", probe.method, probe.path, readyTimeout)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func (m *Mesh) serves(ctx context.Context, method, path string) bool {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.CallerAddress+path, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	// Requests without a ticket get one if there is a target.
	return resp.StatusCode == http.StatusOK || resp.Header.Get(headers.Ticket) != ""
}

// Stop drains and stops the nodes, then stops the targets and the platform.
func (m *Mesh) Stop() error {
	var errs []error
	for i := len(m.stopNodes) - 1; i >= 0; i-- {
		errs = append(errs, m.stopNodes[i]())
	}
	for _, t := range m.targets {
		t.Stop()
	}
	if m.platform != nil {
		errs = append(errs, m.platform.Close())
	}
	return errors.Join(errs...)
}
