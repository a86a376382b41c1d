package loadgen

import (
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"parsleyturn/internal/loadgen/baseline"
	"parsleyturn/internal/settings"
	"parsleyturn/internal/standin/target"
)

// Topology writes a deployment in which every VM has its own address of
// 127.0.0.0/8.
type Topology struct {
	// Name is akwaaba or campanario.
	Name string
	// Scale multiplies slots and connections of a target. Service times and
	// the number of targets stay.
	Scale     float64
	OutputDir string
	// Baseline writes baseline nodes instead of nodes.
	Baseline bool
	// Subnet is the second number of all addresses.
	Subnet int
}

// Ports of a VM.
const (
	portCallers  = "8080"
	portLoopback = "7000"
	portLink     = "7100"
	portGossip   = "7200"
	portAdmin    = "7300"
	portTarget   = "9000"
	portControl  = "9100"
	portPlatform = "8000"
	seedCount    = 3
)

// vm is one VM of a deployment.
type vm struct {
	id, ip, region, zone string
	service              *service
}

func (v *vm) address(port string) string { return net.JoinHostPort(v.ip, port) }

// Write writes the files of the deployment and commands.txt, which has one
// command a line.
func (t *Topology) Write() error {
	u, ok := users[t.Name]
	if !ok {
		return fmt.Errorf("unknown deployment %q; use akwaaba or campanario", t.Name)
	}
	if t.Scale <= 0 || t.Scale > 1 {
		return fmt.Errorf("scale is %g; use a number above 0 and up to 1", t.Scale)
	}
	if t.Subnet < 1 || t.Subnet > 254 {
		return fmt.Errorf("subnet is %d; use 1 to 254", t.Subnet)
	}
	w := &topologyWriter{Topology: t, user: &u}
	w.place()
	w.mkdir("nodes")
	w.mkdir("targets")
	w.targets()
	if t.Baseline {
		w.baselineNodes()
	} else {
		w.nodes()
	}
	for i := range w.vms {
		w.targetCommand(&w.vms[i])
	}
	w.deployment()
	w.file("commands.txt", []byte(strings.Join(w.commands, "\n")+"\n"))
	return w.err
}

// topologyWriter keeps the first error.
type topologyWriter struct {
	*Topology
	user     *user
	vms      []vm
	commands []string
	err      error
}

func (w *topologyWriter) mkdir(name string) {
	if err := os.MkdirAll(filepath.Join(w.OutputDir, name), 0o755); err != nil && w.err == nil {
		w.err = fmt.Errorf("create folder: %w; choose a folder that can be written", err)
	}
}

func (w *topologyWriter) file(name string, content []byte) {
	if w.err != nil {
		return
	}
	if err := os.WriteFile(filepath.Join(w.OutputDir, name), content, 0o644); err != nil {
		w.err = fmt.Errorf("write file: %w; choose a folder that can be written", err)
	}
}

func (w *topologyWriter) toml(name string, v any) {
	content, err := toml.Marshal(v)
	if err != nil && w.err == nil {
		w.err = fmt.Errorf("encode %s: %w", name, err)
	}
	w.file(name, content)
}

func (w *topologyWriter) command(parts ...string) {
	w.commands = append(w.commands, strings.Join(parts, " "))
}

// place gives each target a VM. The targets of a service alternate between
// the regions and then between the two availability zones of each.
func (w *topologyWriter) place() {
	for s := range w.user.services {
		svc := &w.user.services[s]
		for i := range svc.targets {
			region := w.user.regions[i%2]
			w.vms = append(w.vms, vm{
				id: svc.name + "-" + strconv.Itoa(i+1), ip: fmt.Sprintf("127.%d.%d.%d", w.Subnet, s+1, i+1),
				region: region, zone: strings.ReplaceAll(strings.ToLower(region), " ", "-") + "-" + strconv.Itoa(i/2%2+1), service: svc,
			})
		}
	}
}

func (w *topologyWriter) platform() string {
	return fmt.Sprintf("127.%d.0.1:%s", w.Subnet, portPlatform)
}

func scaled(n int, scale float64) int { return max(int(math.Round(float64(n)*scale)), 1) }

// targets writes one file per service; what differs between its targets is in
// the flags.
func (w *topologyWriter) targets() {
	for _, svc := range w.user.services {
		w.toml(filepath.Join("targets", svc.name+".toml"), target.Config{
			Service: svc.name, Slots: scaled(svc.slots, w.Scale), Connections: scaled(svc.connections, w.Scale),
			NoAnnounce: w.Baseline, Routes: svc.routes, Seed: 1,
		})
	}
}

func (w *topologyWriter) targetCommand(v *vm) {
	w.command("standin-target", "--config", filepath.Join(w.OutputDir, "targets", v.service.name+".toml"),
		"--address", v.address(portTarget), "--control", v.address(portControl), "--node", "http://"+v.address(portLoopback))
}

func (w *topologyWriter) nodes() {
	w.command("standin-platform", "--listen", w.platform())
	w.command("parsleyctl", "--platform", "http://"+w.platform(), "config", "apply", "--why", "loopback-deployment", filepath.Join("examples", w.Name, "config"))
	var seeds []string
	for i := range min(seedCount, len(w.vms)) {
		seeds = append(seeds, w.vms[i].address(portGossip))
	}
	for i := range w.vms {
		v := &w.vms[i]
		name := filepath.Join("nodes", v.id+".toml")
		w.toml(name, settings.Node{
			ID: v.id, Region: v.region, AvailabilityZone: v.zone,
			CallerAddress: v.address(portCallers), TargetAddress: v.address(portLoopback), LinkAddress: v.address(portLink),
			GossipAddress: v.address(portGossip), AdminAddress: v.address(portAdmin),
			AdvertiseLink: v.address(portLink), AdvertiseGossip: v.address(portGossip), AdvertiseAdmin: v.address(portAdmin),
			Seeds: seeds, Platform: "http://" + w.platform(),
			DrainLimitMS: 60000, MaxBodyBytes: 16 << 20, TicketLifetimeMS: 30000, LogLevel: "info",
		})
		w.command("parsleyturnd", filepath.Join(w.OutputDir, name))
	}
}

func (w *topologyWriter) baselineNodes() {
	var c baseline.Config
	for s := range w.user.services {
		svc := &w.user.services[s]
		r := baseline.Route{PathPrefix: svc.routes[0].PathPrefix}
		for i := range w.vms {
			if w.vms[i].service == svc {
				r.Targets = append(r.Targets, w.vms[i].address(portTarget))
			}
		}
		c.Routes = append(c.Routes, r)
	}
	w.toml("baseline.toml", c)
	for i := range w.vms {
		v := &w.vms[i]
		w.command("baseline-node", "--config", filepath.Join(w.OutputDir, "baseline.toml"),
			"--listen", v.address(portCallers), "--listen", v.address(portLoopback))
	}
}

func (w *topologyWriter) deployment() {
	var d Deployment
	for i := range w.vms {
		v := &w.vms[i]
		d.Nodes = append(d.Nodes, v.address(portCallers))
		d.Targets = append(d.Targets, Target{Service: v.service.name, ControlAddress: v.address(portControl)})
	}
	w.toml("deployment.toml", d)
}
